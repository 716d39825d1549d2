package state

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

// View returns the planner's input at the time now: the state's zones, teams and
// jobs that have not ended, and the given workers with their quarantine.
func View(now time.Time, s carawayshift.State, workers []carawayshift.Worker) carawayshift.View {
	v := carawayshift.View{
		Objective: carawayshift.Objective(s.Config[configObjective]),
		Zones:     make([]carawayshift.Zone, 0, len(s.Zones)),
		Teams:     make([]carawayshift.Team, 0, len(s.Teams)),
		Workers:   slices.Clone(workers),
	}
	if v.Objective == "" {
		v.Objective = carawayshift.ObjectiveCompletion
	}
	for _, name := range slices.Sorted(maps.Keys(s.Zones)) {
		v.Zones = append(v.Zones, s.Zones[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Teams)) {
		v.Teams = append(v.Teams, s.Teams[name])
	}
	v.Jobs = openJobs(s.Jobs)
	for i, w := range v.Workers {
		v.Workers[i].Quarantined = w.Quarantined || s.Quarantine[w.Name].After(now)
	}
	slices.SortFunc(v.Workers, func(a, b carawayshift.Worker) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

func openJobs(all map[uint64]carawayshift.Job) []carawayshift.Job {
	var jobs []carawayshift.Job
	for _, j := range all {
		if !j.State.Ended() {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b carawayshift.Job) int { return cmp.Compare(a.ID, b.ID) })
	return jobs
}
