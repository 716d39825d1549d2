package replica

import (
	"context"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
)

// diskCheckPause is the time between two checks of the other voters' disks, in election
// timeouts. The checks load the disks.
const diskCheckPause = 4

// stallTimeout is how long a write of the leader's disk may take before another host
// should lead. A disk that is only slow takes less: electionTimeout must be well above
// the time of a commit.
func (r *Replica) stallTimeout() time.Duration { return r.cfg.ElectionTimeout / 2 }

// diskStalled reports whether a write has taken longer than stallTimeout, and the disks of
// the other voters were not checked recently. The caller holds r.mu.
func (r *Replica) diskStalled(l *leaderState) bool {
	return !r.writingSince.IsZero() && time.Since(r.writingSince) >= r.stallTimeout() &&
		time.Since(l.disksChecked) >= diskCheckPause*r.cfg.ElectionTimeout
}

// workingDisks returns the other voters that can write to their disks in less time than a
// candidate waits for a vote.
func (r *Replica) workingDisks(ctx context.Context) map[string]bool {
	r.mu.Lock()
	list := voters(r.members())
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, r.voteTimeout())
	defer cancel()
	var mu sync.Mutex
	working := map[string]bool{}
	var wg sync.WaitGroup
	for _, m := range list {
		if m.Host == r.cfg.Host {
			continue
		}
		wg.Go(func() {
			if r.call(ctx, m.Host, methodDisk, diskCheck{}, &diskCheck{}) == nil {
				mu.Lock()
				defer mu.Unlock()
				working[m.Host] = true
			}
		})
	}
	wg.Wait()
	return working
}

// handleDisk replies once a write has reached the disk.
func (r *Replica) handleDisk(context.Context, string, []byte) ([]byte, error) {
	if !r.checkingDisk.CompareAndSwap(false, true) {
		return nil, notRun("the disk is being checked", retryRemedy)
	}
	defer r.checkingDisk.Store(false)
	if err := r.journal.CheckDisk(); err != nil {
		return nil, err
	}
	return carawayshift.Encode(diskCheck{})
}

// handOver gives the leadership to a healthy voter because the disk of this host does not
// answer: nothing is committed, but heartbeats go on, so that the voters would not elect
// another leader. Commands whose entries were not written by then end with
// OutcomeUnknown, so that callers repeat them at the next leader.
//
// It first makes sure that the disks of most voters work: if all are slow, an election
// would fail, and this host commits at least something.
func (r *Replica) handOver(l *leaderState) {
	working := r.workingDisks(l.ctx)
	r.mu.Lock()
	l.disksChecked = time.Now()
	if r.lead != l || l.transferee != "" || r.writingSince.IsZero() || len(working) < majority(len(voters(r.members()))) {
		r.mu.Unlock()
		return
	}
	// A voter that lacks committed entries would lose the election.
	p := r.transferTarget(func(host string) bool { return working[host] && l.peers[host].match >= r.commit })
	if p == nil {
		r.mu.Unlock()
		return
	}
	l.transferee = p.host
	r.mu.Unlock()
	r.log.WithField("event", "disk stalled").WithField("successor", p.host).Error("the disk does not answer: this host gives up the leadership")
	// The request goes on when this host learns of the new term.
	ctx, cancel := context.WithTimeout(context.Background(), r.callTimeout())
	defer cancel()
	var reply electRequest
	err := r.call(ctx, p.host, methodElect, electRequest{Term: l.term}, &reply)
	if err != nil {
		r.log.WithError(err).WithField("successor", p.host).Warn("the successor did not start an election; the other voters will elect a leader")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lead == l {
		r.stepDown("its disk does not answer")
	}
	if r.writingSince.IsZero() {
		return
	}
	for index, w := range r.waiters {
		w.finish(nil, outcomeUnknown("the disk of the leader does not answer"))
		delete(r.waiters, index)
	}
}
