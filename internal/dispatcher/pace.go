package dispatcher

import (
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/speed"
)

const (
	// minPaceProgress is the progress in percentage points from which a rate is measured,
	// minPaceTime the time: reports round the progress and arrive with delays.
	minPaceProgress = 10
	minPaceTime     = 400 * time.Millisecond
)

// launch is what the runs that are started together share: the members of a gang, or a
// single run.
type launch struct {
	// begun is when the last of them is known to have begun, zero if none is.
	begun time.Time
	// speed is that of the slowest runner.
	speed float64
}

// pace measures how fast a run works. launch is nil for an adopted run.
type pace struct {
	launch   *launch
	progress int
	at       time.Time
}

// nominal returns how long a run that took a time takes at the middle speed.
func (p *pace) nominal(took time.Duration) time.Duration {
	if p.launch == nil {
		return took
	}
	return time.Duration(float64(took) * p.launch.speed)
}

// launches returns the launch of each start. The caller holds t.mu.
func (t *leaderTerm) launches(starts []carawayshift.DispatchStart) []*launch {
	list := make([]*launch, len(starts))
	for i, s := range starts {
		together := i > 0 && stepOf(s.Task) == stepOf(starts[i-1].Task) && t.d.cfg.Table.Requirements(s.Task).Gang
		if together {
			list[i] = list[i-1]
		} else {
			list[i] = &launch{speed: math.Inf(1)}
		}
		speed, known := t.speeds[s.Runner]
		if !known {
			speed = 1
		}
		list[i].speed = min(list[i].speed, speed)
	}
	return list
}

// observePace records how fast a run has worked since the last record. ended is true if it
// has finished, which tells nothing of a member of a gang. The caller holds s.t.mu.
func (s *session) observePace(task carawayshift.TaskName, r *run, percent int, ended bool) {
	need := r.requirements
	if s.t.d.cfg.Speeds == nil || need.LongRunning || need.BestEffort || r.stopping {
		return
	}
	now, p := time.Now(), &r.pace
	if percent == 0 {
		return // a member of a gang that waits for the others
	}
	if p.at.IsZero() {
		p.progress, p.at = percent, now
		if p.launch != nil && !p.launch.begun.IsZero() && !r.resumed {
			p.progress, p.at = 0, p.launch.begun
		}
	}
	if percent >= fullProgress && (!ended || need.Gang) {
		return // it may have been complete for a while
	}
	progress, took := percent-p.progress, now.Sub(p.at)
	if progress < minPaceProgress || took < minPaceTime {
		return
	}
	s.t.d.cfg.Speeds.Observe(carawayshift.PaceObservation{
		Task: task, Run: r.number, Runner: s.agent.ID, Incarnation: s.agent.Incarnation,
		Rate: float64(progress) / took.Seconds(), Gang: need.Gang, At: now,
		Remote: need.DataRack != "" && need.DataRack != s.agent.Rack,
	})
	p.progress, p.at = percent, now
}

// updateSpeeds returns the speeds of the runners that differ, and logs which have changed.
// The caller holds t.mu.
func (t *leaderTerm) updateSpeeds(agents []carawayshift.Agent, now time.Time) map[string]float64 {
	if t.d.cfg.Speeds == nil {
		return nil
	}
	known, speeds := t.d.cfg.Speeds.Speeds(now), map[string]float64{}
	for _, a := range agents {
		x, differs := known[a.ID]
		differs = differs && x.Incarnation == a.Incarnation
		if differs {
			speeds[a.ID] = x.Speed
		}
		if _, before := t.speeds[a.ID]; differs != before {
			t.logSpeed(a, x.Speed, differs)
		}
	}
	t.speeds = speeds
	return speeds
}

func (t *leaderTerm) logSpeed(a carawayshift.Agent, speed float64, differs bool) {
	entry := t.log.WithFields(logrus.Fields{"event": "runner speed", "runner": a.ID, "zone": a.Zone})
	if !differs {
		entry.Info("runner is no longer known to be faster or slower than others")
		return
	}
	entry.WithField("speed", math.Round(speed*100)/100).Info("runner is faster or slower than others; planning with its speed")
}

// speedGauges returns the number of known speeds and their distribution.
func speedGauges(e *speed.Estimator, now time.Time) map[string]float64 {
	if e == nil {
		return nil
	}
	var list []float64
	for _, x := range e.Snapshot(time.Time{}, now) {
		list = append(list, x.Speed)
	}
	v := map[string]float64{"carawayshift_runner_speeds_known": float64(len(list))}
	if len(list) == 0 {
		return v
	}
	slices.Sort(list)
	v[`carawayshift_runner_speed{share="0.1"}`] = list[len(list)/10]
	v[`carawayshift_runner_speed{share="0.5"}`] = list[len(list)/2]
	v[`carawayshift_runner_speed{share="0.9"}`] = list[len(list)*9/10]
	return v
}
