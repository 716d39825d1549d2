package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/maintenance"
	"carawayshift.example/carawayshift/pkg/pause"
)

const (
	// waveInterval is the interval at which the states of the machines are
	// fetched while a wave is in progress.
	waveInterval = 700 * time.Millisecond
	// servicesTimeout bounds a call to the platform's services.
	servicesTimeout = 3 * time.Second
)

// maintenanceLoop carries out maintenance waves until the term ends.
func (t *leaderTerm) maintenanceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, waveInterval)
		for _, w := range t.d.cfg.Table.Waves() {
			if !w.Complete() && ctx.Err() == nil {
				t.advanceWave(ctx, w)
			}
		}
	}
}

func (t *leaderTerm) advanceWave(ctx context.Context, w carawayshift.Wave) {
	call, cancel := context.WithTimeout(ctx, servicesTimeout)
	defer cancel()
	list, err := t.d.cfg.Machines.List(call)
	if err != nil {
		t.log.WithError(err).WithField("event", "machines unknown").Warn("listing the machines failed")
		return
	}
	listed := map[string]carawayshift.Machine{}
	for _, m := range list {
		listed[m.Name] = m
	}
	if t.recordDone(ctx, w, listed) {
		return // the next iteration sees the new state of the wave
	}
	for _, m := range w.Started {
		_, present := listed[m]
		if !slices.Contains(w.Done, m) && (!present || !t.isConfirmed(w.ID, m)) {
			t.requestMaintenance(ctx, w, m)
		}
	}
	start, drain := maintenance.Next(maintenance.Input{
		Now: time.Now(), Wave: w, Machines: t.waveMachines(w, listed), Duration: t.d.cfg.Timing.Maintenance + waveInterval,
	})
	t.setDraining(append(drain, start...))
	for _, m := range start {
		if t.propose(ctx, &carawayshift.BatchChange{Upkeep: []carawayshift.WaveStep{{Wave: w.ID, Machine: m}}}) != nil {
			return
		}
		t.requestMaintenance(ctx, w, m)
	}
}

type waveMachine struct {
	wave    int
	machine string
}

// isConfirmed reports whether a maintenance request of this term for the
// machine was confirmed.
func (t *leaderTerm) isConfirmed(wave int, machine string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maintenanceConfirmed[waveMachine{wave, machine}]
}

// isGone reports whether the platform answered in this term that there is no such
// machine.
func (t *leaderTerm) isGone(wave int, machine string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maintenanceGone[waveMachine{wave, machine}]
}

// recordDone records the machines that have returned from maintenance or no
// longer exist. That a machine is not listed proves nothing: it may have moved to a
// page that was read before, or its entry could not be read.
func (t *leaderTerm) recordDone(ctx context.Context, w carawayshift.Wave, listed map[string]carawayshift.Machine) bool {
	var steps []carawayshift.WaveStep
	for _, m := range w.Machines {
		if slices.Contains(w.Done, m) {
			continue
		}
		returned := t.isConfirmed(w.ID, m) && listed[m].State == carawayshift.MachineUp
		if returned || t.isGone(w.ID, m) {
			steps = append(steps, carawayshift.WaveStep{Wave: w.ID, Machine: m, Done: true})
		}
	}
	return len(steps) > 0 && t.propose(ctx, &carawayshift.BatchChange{Upkeep: steps}) == nil
}

func (t *leaderTerm) requestMaintenance(ctx context.Context, w carawayshift.Wave, machine string) {
	call, cancel := context.WithTimeout(ctx, servicesTimeout)
	defer cancel()
	err := t.awaitPermission(call)
	if err == nil {
		err = t.d.cfg.Machines.Upkeep(call, t.d.cfg.Host, t.term, machine, w.ID)
	}
	entry := t.log.WithFields(logrus.Fields{"event": "upkeep", "wave": w.ID, "machine": machine})
	switch carawayshift.KindOf(err) {
	case carawayshift.Conflict:
		entry.WithError(err).Warn("a newer leader has sent a request for this machine")
		t.resign()
	case carawayshift.NotFound:
		entry.WithError(err).Info("machine no longer exists")
		t.mu.Lock()
		t.maintenanceGone[waveMachine{w.ID, machine}] = true
		t.mu.Unlock()
	default:
		if err != nil {
			entry.WithError(err).Warn("maintenance request not confirmed, retrying")
			return
		}
		entry.Info("maintenance requested")
		t.mu.Lock()
		t.maintenanceConfirmed[waveMachine{w.ID, machine}] = true
		t.mu.Unlock()
	}
}

func (t *leaderTerm) setDraining(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = map[string]bool{}
	for _, n := range names {
		t.draining[n] = true
	}
}

// waveMachines combines the platform's list of machines with the open runs. The
// maintenance of a machine that is not listed is requested like that of others: the
// response shows whether it exists.
func (t *leaderTerm) waveMachines(w carawayshift.Wave, listed map[string]carawayshift.Machine) []maintenance.Machine {
	_, openRuns := t.d.cfg.Table.OpenWork()
	available := t.countAvailable(openRuns)
	var out []maintenance.Machine
	for _, name := range w.Machines {
		found, present := listed[name]
		m := maintenance.Machine{Name: name, Up: !present || found.State == carawayshift.MachineUp}
		onMachine := map[carawayshift.TaskName]int{}
		for _, o := range openRuns {
			if o.Runner != found.Runner {
				continue
			}
			m.Runs++
			step := stepOf(o.Task)
			onMachine[step]++
			unavailable := o.Requirements.Count - available[step]
			m.Blocked = m.Blocked || o.Requirements.MaxUnavailable > 0 && unavailable+onMachine[step] > o.Requirements.MaxUnavailable
		}
		out = append(out, m)
	}
	return out
}

// countAvailable counts the tasks of each step that have run for longer than
// Timing.ReadyDelay and so count as available.
func (t *leaderTerm) countAvailable(openRuns []carawayshift.OpenRun) map[carawayshift.TaskName]int {
	n := map[carawayshift.TaskName]int{}
	for _, o := range openRuns {
		if time.Since(o.Ordered) > t.d.cfg.Timing.ReadyDelay {
			n[stepOf(o.Task)]++
		}
	}
	return n
}
