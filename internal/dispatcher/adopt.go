package dispatcher

import (
	"time"

	"carawayshift.example/carawayshift"
)

// adoptOpenRuns adopts the runs that were started in an earlier term. Runs
// whose runner is unknown are recorded as lost once their leases have certainly
// expired. It returns true if a session has adopted a run. The caller holds t.mu while
// it handles all runs, so that the next renewal covers all runs of a runner.
func (t *leaderTerm) adoptOpenRuns(openRuns []carawayshift.OpenRun) (adopted bool) {
	for _, o := range openRuns {
		if t.requested[o.Task] == o.Run {
			continue
		}
		if t.adopt(o) {
			adopted = true
			continue
		}
		if t.earlierLeasesEnded() {
			t.requested[o.Task] = o.Run // it is not adopted any more
			t.enqueueLoss(carawayshift.RunEnd{Task: o.Task, Run: o.Run, Checkpoint: o.Checkpoint}, lossUnreported)
		}
	}
	for _, s := range t.sessions {
		s.endAdoption()
	}
	return adopted
}

// leaseExpiry is the time after the start of the term after which a lease that an earlier
// leader granted has expired, even on a runner whose clock is slow: the earlier leader sends
// nothing after that start. The time of a call is a margin for the estimate of the clock that
// it used.
func (t *leaderTerm) leaseExpiry() time.Duration {
	lease := float64(t.d.cfg.Timing.Lease)
	return time.Duration(lease*(1+2*clockDrift)) + callTimeout
}

// earlierLeasesEnded reports whether all leases that earlier leaders granted have certainly
// expired. What this leader knows of a runner, such as its clock, tells nothing of them.
func (t *leaderTerm) earlierLeasesEnded() bool { return time.Since(t.started) > t.leaseExpiry() }

// adopt assigns a run of an earlier term to its runner's session. It returns false
// if the runner has no session yet. The caller holds t.mu.
func (t *leaderTerm) adopt(o carawayshift.OpenRun) bool {
	s := t.sessions[o.Runner]
	if s == nil {
		return false
	}
	t.requested[o.Task] = o.Run
	s.adopt(o)
	return true
}
