package operator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/state"
)

// rows returns all rows of a table, with values in the order of
// statement.Columns.
func (v *view) rows(table string) [][]any {
	switch table {
	case "jobs":
		return v.jobRows()
	case "teams":
		return v.teamRows()
	case "guarantees":
		return v.guaranteeRows()
	case "zones":
		return v.zoneRows()
	case "workers":
		return v.workerRows()
	case "runners":
		return v.runnerRows()
	case "hosts":
		return v.hostRows()
	case "notes":
		return v.noteRows()
	case "quarantine":
		return v.quarantineRows()
	case "config":
		return v.configRows()
	}
	leader, term := v.handler.cfg.Log.Leader()
	return [][]any{{v.Version, v.Index, leader, term}}
}

func (v *view) jobRows() [][]any {
	var rows [][]any
	for _, id := range slices.Sorted(maps.Keys(v.Jobs)) {
		j := v.Jobs[id]
		rows = append(rows, []any{
			j.ID, j.Name, j.Team, string(j.State), j.Tasks, j.Accelerators, j.Urgent, j.Due, j.Declared, j.Zone, j.Started,
			v.noteCount(fmt.Sprintf("job %d", id)), j.Reason,
			j.Size(), j.Cores, j.Memory, j.Attempt, j.Failures, j.Borrowed, j.Checkpoint, j.Submitted, j.Ended, j.By,
		})
	}
	return rows
}

// usage counts the active jobs with their accelerators, and the waiting jobs.
type usage struct {
	accelerators, borrowed, jobs, waiting int
}

// countUsage returns the usage by team, by zone and by worker.
func (v *view) countUsage() (teams, zones, workers map[string]usage) {
	teams, zones, workers = make(map[string]usage), make(map[string]usage), make(map[string]usage)
	for _, j := range v.Jobs {
		t, z := teams[j.Team], zones[j.Zone]
		if j.State == carawayshift.JobWaiting {
			t.waiting++
		}
		if j.Active() {
			t.accelerators += j.Size()
			z.accelerators += j.Size()
			z.jobs++
			if j.Borrowed {
				t.borrowed += j.Size()
			}
			for _, p := range j.Placements {
				w := workers[p.Worker]
				w.accelerators += p.Accelerators
				workers[p.Worker] = w
			}
		}
		teams[j.Team], zones[j.Zone] = t, z
	}
	return teams, zones, workers
}

func (v *view) teamRows() [][]any {
	teams, _, _ := v.countUsage()
	var rows [][]any
	for _, name := range slices.Sorted(maps.Keys(v.Teams)) {
		t, u := v.Teams[name], teams[name]
		rows = append(rows, []any{
			name, formatCells(t.Guarantee), t.Accelerators(), u.accelerators, u.borrowed, u.waiting, t.RateLimit, t.RunTimeRatio, v.noteCount("team " + name),
		})
	}
	return rows
}

func formatCells(g []carawayshift.CellCount) string {
	var parts []string
	for _, c := range g {
		parts = append(parts, fmt.Sprintf("%dx%d", c.Count, c.Size))
	}
	return strings.Join(parts, ", ")
}

// guaranteeRows returns one row for each team and cell size, with the number of
// cells that the planner can't fit on the present workers.
func (v *view) guaranteeRows() [][]any {
	type key struct {
		team string
		size int
	}
	missing := make(map[key]int)
	for _, s := range v.plan().Shortfalls {
		missing[key{s.Team, s.Size}] += s.Missing
	}
	var rows [][]any
	for _, name := range slices.Sorted(maps.Keys(v.Teams)) {
		for _, c := range v.Teams[name].Guarantee {
			short, condition := missing[key{name, c.Size}], "met"
			if short > 0 {
				condition = "short"
			}
			rows = append(rows, []any{name, c.Size, c.Count, short, condition})
		}
	}
	return rows
}

// plan runs the planner on the view's state and the present workers.
func (v *view) plan() carawayshift.Plan {
	workers := v.handler.cfg.Workers()
	return v.handler.cfg.Planner.Plan(v.now, state.View(v.now, v.State, workers))
}

func (v *view) zoneRows() [][]any {
	_, zones, _ := v.countUsage()
	workers, accelerators := make(map[string]int), make(map[string]int)
	for _, w := range v.handler.cfg.Workers() {
		workers[w.Zone]++
		accelerators[w.Zone] += w.Accelerators
	}
	var rows [][]any
	for _, name := range slices.Sorted(maps.Keys(v.Zones)) {
		z, u, condition := v.Zones[name], zones[name], "in"
		if z.Drained {
			condition = "out"
		}
		free := accelerators[name] - u.accelerators
		rows = append(rows, []any{
			name, z.Region, condition, z.Changed, z.By, z.Reason, workers[name], accelerators[name], free, u.jobs, v.noteCount("zone " + name),
		})
	}
	return rows
}

func (v *view) workerRows() [][]any {
	_, _, used := v.countUsage()
	ws := slices.Clone(v.handler.cfg.Workers())
	slices.SortFunc(ws, func(a, b carawayshift.Worker) int { return cmp.Compare(a.Name, b.Name) })
	var rows [][]any
	for _, w := range ws {
		condition := "ready"
		if w.Leaving {
			condition = "leaving"
		}
		if w.Quarantined || v.Quarantine[w.Name].After(v.now) {
			condition = "quarantined"
		}
		free := w.Accelerators - used[w.Name].accelerators
		rows = append(rows, []any{
			w.Name, w.Zone, w.Rack, condition, w.Accelerators, free, w.Cores, w.Memory, len(w.Tasks), w.Seen, v.noteCount("worker " + w.Name), w.Address,
		})
	}
	return rows
}

func (v *view) runnerRows() [][]any {
	rs := slices.Clone(v.handler.cfg.Runners())
	slices.SortFunc(rs, func(a, b carawayshift.Runner) int { return cmp.Compare(a.Name, b.Name) })
	var rows [][]any
	for _, r := range rs {
		condition := "ready"
		if r.Leaving {
			condition = "leaving"
		}
		rows = append(rows, []any{r.Name, r.Zone, r.Service, condition, r.Slots, r.Connections, r.Seen, v.noteCount("runner " + r.Name), r.Address})
	}
	return rows
}

func (v *view) hostRows() [][]any {
	hosts := v.handler.cfg.Hosts(v.ctx)
	slices.SortFunc(hosts, func(a, b HostVersion) int { return cmp.Compare(a.Name, b.Name) })
	var rows [][]any
	for _, host := range hosts {
		condition := "current"
		if host.Version < v.Version {
			condition = "behind"
		}
		if host.Age > neverReportedAge {
			host.Age = 0
		}
		rows = append(rows, []any{host.Name, host.Version, condition, host.Age, v.noteCount("host " + host.Name)})
	}
	return rows
}

func (v *view) noteRows() [][]any {
	var rows [][]any
	for _, n := range v.Notes {
		rows = append(rows, []any{n.ID, n.At, n.By, n.Object, n.Text})
	}
	return rows
}

func (v *view) quarantineRows() [][]any {
	var rows [][]any
	for _, name := range slices.Sorted(maps.Keys(v.Quarantine)) {
		condition := "active"
		if !v.Quarantine[name].After(v.now) {
			condition = "ended"
		}
		rows = append(rows, []any{name, v.Quarantine[name], condition, v.noteCount("worker " + name)})
	}
	return rows
}

func (v *view) configRows() [][]any {
	var rows [][]any
	if _, ok := v.Config[objective]; !ok {
		rows = append(rows, []any{objective, string(carawayshift.ObjectiveCompletion)})
	}
	for _, key := range slices.Sorted(maps.Keys(v.Config)) {
		rows = append(rows, []any{key, v.Config[key]})
	}
	return rows
}
