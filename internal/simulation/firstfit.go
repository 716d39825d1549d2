package simulation

import (
	"time"

	"carawayshift.example/carawayshift"
)

// firstFit is the baseline: jobs in the order of submission, each on the first
// workers with room in the first zone that holds the gang. Jobs that don't fit
// are passed. Guarantees are ignored.
type firstFit struct{}

func (firstFit) CheckGuarantees(carawayshift.View) error { return nil }

type room struct{ accelerators, cores, memory int }

func (firstFit) Plan(_ time.Time, v carawayshift.View) carawayshift.Plan {
	var p carawayshift.Plan
	out := map[string]bool{}
	for _, z := range v.Zones {
		out[z.Name] = z.Drained
	}
	rooms, byName := make([]room, len(v.Workers)), make(map[string]int, len(v.Workers))
	for i, w := range v.Workers {
		byName[w.Name] = i
		if !out[w.Zone] {
			rooms[i] = room{w.Accelerators, w.Cores, w.Memory}
		}
	}
	for _, j := range v.Jobs {
		for _, t := range j.Placements {
			rooms[byName[t.Worker]].take(&j, 1)
		}
		if j.State == carawayshift.JobRunning && out[j.Zone] {
			p.Stops = append(p.Stops, carawayshift.Stop{Job: j.ID, Attempt: j.Attempt})
		}
	}
	for i := range v.Jobs {
		if v.Jobs[i].State == carawayshift.JobWaiting {
			firstFitJob(&p, &v, rooms, &v.Jobs[i])
		}
	}
	return p
}

func (r *room) take(j *carawayshift.Job, n int) {
	r.accelerators -= n * j.Accelerators
	r.cores -= n * j.Cores
	r.memory -= n * j.Memory
}

func (r *room) holds(j *carawayshift.Job) bool {
	return r.accelerators >= j.Accelerators && r.cores >= j.Cores && r.memory >= j.Memory
}

func firstFitJob(p *carawayshift.Plan, v *carawayshift.View, rooms []room, j *carawayshift.Job) {
	for _, z := range v.Zones {
		if ps := firstFitZone(z.Name, v.Workers, rooms, j); ps != nil {
			p.Starts = append(p.Starts, carawayshift.Start{Job: j.ID, Zone: z.Name, Placements: ps})
			return
		}
	}
}

func firstFitZone(zone string, ws []carawayshift.Worker, rooms []room, j *carawayshift.Job) []carawayshift.TaskPlacement {
	var ps []carawayshift.TaskPlacement
	var at []int
	for i := range ws {
		for ws[i].Zone == zone && len(ps) < j.Tasks && rooms[i].holds(j) {
			rooms[i].take(j, 1)
			at = append(at, i)
			ps = append(ps, carawayshift.TaskPlacement{Task: len(ps), Worker: ws[i].Name, Incarnation: ws[i].Incarnation, Accelerators: j.Accelerators})
		}
	}
	if len(ps) == j.Tasks {
		return ps
	}
	for _, i := range at {
		rooms[i].take(j, -1)
	}
	return nil
}
