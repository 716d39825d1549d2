package simulation

import (
	"time"

	"carawayshift.example/carawayshift"
)

// firstFit is the baseline planner. It places jobs in the order of submission,
// each on the first workers with enough free resources in the first zone that has
// room for the gang. Jobs that don't fit are skipped. Guarantees are ignored.
type firstFit struct{}

func (firstFit) CheckGuarantees(carawayshift.View) error { return nil }

type freeResources struct{ accelerators, cores, memory int }

func (firstFit) Plan(_ time.Time, v carawayshift.View) carawayshift.Plan {
	var p carawayshift.Plan
	drained := map[string]bool{}
	for _, z := range v.Zones {
		drained[z.Name] = z.Drained
	}
	free, byName := make([]freeResources, len(v.Workers)), make(map[string]int, len(v.Workers))
	for i, w := range v.Workers {
		byName[w.Name] = i
		if !drained[w.Zone] {
			free[i] = freeResources{w.Accelerators, w.Cores, w.Memory}
		}
	}
	for _, j := range v.Jobs {
		for _, t := range j.Placements {
			free[byName[t.Worker]].take(&j, 1)
		}
		if j.State == carawayshift.JobRunning && drained[j.Zone] {
			p.Stops = append(p.Stops, carawayshift.Stop{Job: j.ID, Attempt: j.Attempt})
		}
	}
	for i := range v.Jobs {
		if v.Jobs[i].State == carawayshift.JobWaiting {
			firstFitJob(&p, &v, free, &v.Jobs[i])
		}
	}
	return p
}

func (f *freeResources) take(j *carawayshift.Job, n int) {
	f.accelerators -= n * j.Accelerators
	f.cores -= n * j.Cores
	f.memory -= n * j.Memory
}

func (f *freeResources) fits(j *carawayshift.Job) bool {
	return f.accelerators >= j.Accelerators && f.cores >= j.Cores && f.memory >= j.Memory
}

func firstFitJob(p *carawayshift.Plan, v *carawayshift.View, free []freeResources, j *carawayshift.Job) {
	for _, z := range v.Zones {
		if ps := firstFitZone(z.Name, v.Workers, free, j); ps != nil {
			p.Starts = append(p.Starts, carawayshift.Start{Job: j.ID, Zone: z.Name, Placements: ps})
			return
		}
	}
}

func firstFitZone(zone string, ws []carawayshift.Worker, free []freeResources, j *carawayshift.Job) []carawayshift.TaskPlacement {
	var ps []carawayshift.TaskPlacement
	var used []int
	for i := range ws {
		for ws[i].Zone == zone && len(ps) < j.Tasks && free[i].fits(j) {
			free[i].take(j, 1)
			used = append(used, i)
			ps = append(ps, carawayshift.TaskPlacement{Task: len(ps), Worker: ws[i].Name, Incarnation: ws[i].Incarnation, Accelerators: j.Accelerators})
		}
	}
	if len(ps) == j.Tasks {
		return ps
	}
	for _, i := range used {
		free[i].take(j, -1)
	}
	return nil
}
