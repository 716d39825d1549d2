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
	// waveEvery is the interval of looks at the machines while a wave runs.
	waveEvery = 700 * time.Millisecond
	// servicesTimeout bounds a call to the platform's services.
	servicesTimeout = 3 * time.Second
)

// tend carries out waves of upkeep until the tenure ends.
func (t *tenure) tend(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, waveEvery)
		for _, w := range t.d.cfg.Table.Waves() {
			if !w.Complete() && ctx.Err() == nil {
				t.tendWave(ctx, w)
			}
		}
	}
}

func (t *tenure) tendWave(ctx context.Context, w carawayshift.Wave) {
	call, cancel := context.WithTimeout(ctx, servicesTimeout)
	defer cancel()
	list, err := t.d.cfg.Machines.List(call)
	if err != nil {
		t.log.WithError(err).WithField("event", "machines unknown").Warn("the machines' service did not answer")
		return
	}
	listed := map[string]carawayshift.Machine{}
	for _, m := range list {
		listed[m.Name] = m
	}
	if t.noteDone(ctx, w, listed) {
		return // the next look sees the new state of the wave
	}
	for _, m := range w.Started {
		if !slices.Contains(w.Done, m) && !t.serviced(w.ID, m) {
			t.sendUpkeep(ctx, w, m)
		}
	}
	order, empty := maintenance.Next(maintenance.Input{
		Now: time.Now(), Wave: w, Machines: t.waveMachines(w, listed), Duration: t.d.cfg.Timing.Upkeep + waveEvery,
	})
	t.setEmptying(append(empty, order...))
	for _, m := range order {
		if t.propose(ctx, &carawayshift.BatchChange{Upkeep: []carawayshift.WaveStep{{Wave: w.ID, Machine: m}}}) != nil {
			return
		}
		t.sendUpkeep(ctx, w, m)
	}
}

type waveMachine struct {
	wave    int
	machine string
}

// serviced tells whether this tenure's order for a machine was confirmed.
func (t *tenure) serviced(wave int, machine string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.upkept[waveMachine{wave, machine}]
}

// noteDone records the machines that are back, or were removed.
func (t *tenure) noteDone(ctx context.Context, w carawayshift.Wave, listed map[string]carawayshift.Machine) bool {
	var steps []carawayshift.WaveStep
	for _, m := range w.Machines {
		if slices.Contains(w.Done, m) {
			continue
		}
		found, present := listed[m]
		back := t.serviced(w.ID, m) && found.State == carawayshift.MachineUp
		if !present || back {
			steps = append(steps, carawayshift.WaveStep{Wave: w.ID, Machine: m, Done: true})
		}
	}
	return len(steps) > 0 && t.propose(ctx, &carawayshift.BatchChange{Upkeep: steps}) == nil
}

func (t *tenure) sendUpkeep(ctx context.Context, w carawayshift.Wave, machine string) {
	call, cancel := context.WithTimeout(ctx, servicesTimeout)
	defer cancel()
	err := t.d.cfg.Machines.Upkeep(call, t.d.cfg.Host, t.term, machine, w.ID)
	entry := t.log.WithFields(logrus.Fields{"event": "upkeep", "wave": w.ID, "machine": machine})
	switch carawayshift.KindOf(err) {
	case carawayshift.Conflict:
		entry.WithError(err).Warn("a newer leader has ordered this machine")
		t.resign()
	case carawayshift.NotFound:
		entry.WithError(err).Info("machine is gone")
	default:
		if err != nil {
			entry.WithError(err).Warn("upkeep not confirmed, it is ordered again")
			return
		}
		entry.Info("upkeep ordered")
		t.mu.Lock()
		t.upkept[waveMachine{w.ID, machine}] = true
		t.mu.Unlock()
	}
}

func (t *tenure) setEmptying(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.emptying = map[string]bool{}
	for _, n := range names {
		t.emptying[n] = true
	}
}

// waveMachines joins the platform's list with the open runs.
func (t *tenure) waveMachines(w carawayshift.Wave, listed map[string]carawayshift.Machine) []maintenance.Machine {
	_, holdings := t.d.cfg.Table.OpenWork()
	atWork := t.atWork(holdings)
	var out []maintenance.Machine
	for _, name := range w.Machines {
		m := maintenance.Machine{Name: name, Up: listed[name].State == carawayshift.MachineUp}
		leaving := map[carawayshift.TaskName]int{}
		for _, h := range holdings {
			if h.Runner != listed[name].Runner {
				continue
			}
			m.Runs++
			step := stepOf(h.Task)
			leaving[step]++
			away := h.Requirements.Count - atWork[step]
			m.Blocked = m.Blocked || h.Requirements.MaxUnavailable > 0 && away+leaving[step] > h.Requirements.MaxUnavailable
		}
		out = append(out, m)
	}
	return out
}

// atWork counts the tasks of each step that have run for so long that their
// absence no longer counts.
func (t *tenure) atWork(holdings []carawayshift.OpenRun) map[carawayshift.TaskName]int {
	n := map[carawayshift.TaskName]int{}
	for _, h := range holdings {
		if time.Since(h.Ordered) > t.d.cfg.Timing.Notice {
			n[stepOf(h.Task)]++
		}
	}
	return n
}
