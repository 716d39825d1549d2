package dispatcher

import (
	"context"
	"maps"
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
		var draining []string
		for _, w := range t.d.cfg.Table.Waves() {
			if !w.Complete() && ctx.Err() == nil {
				draining = append(draining, t.advanceWave(ctx, w)...)
			}
		}
		t.setDraining(draining)
	}
}

// advanceWave requests the maintenance of the machines that are next, and returns the
// machines that must get no new work.
func (t *leaderTerm) advanceWave(ctx context.Context, w carawayshift.Wave) (draining []string) {
	call, cancel := context.WithTimeout(ctx, servicesTimeout)
	defer cancel()
	list, err := t.d.cfg.Machines.List(call)
	if err != nil {
		t.log.WithError(err).WithField("event", "machines unknown").Warn("listing the machines failed")
		return nil
	}
	listed := map[string]carawayshift.Machine{}
	for _, m := range list {
		listed[m.Name] = m
	}
	if t.recordDone(ctx, w, listed) {
		return nil // the next iteration sees the new state of the wave
	}
	request, drain := t.nextMaintenance(w, listed)
	for i, m := range request {
		if !slices.Contains(w.Started, m) && t.propose(ctx, &carawayshift.BatchChange{Upkeep: []carawayshift.WaveStep{{Wave: w.ID, Machine: m}}}) != nil {
			t.withdrawRequests(w.ID, request[i:])
			break
		}
		t.requestMaintenance(ctx, w, m)
	}
	return append(drain, request...)
}

// nextMaintenance selects the machines whose maintenance is to be requested now, and
// those that come next. From here on the tasks on the selected machines count as
// uncertain: no other order may rely on them.
func (t *leaderTerm) nextMaintenance(w carawayshift.Wave, listed map[string]carawayshift.Machine) (request, drain []string) {
	_, openRuns := t.d.cfg.Table.OpenWork()
	t.mu.Lock()
	defer t.mu.Unlock()
	request, drain = maintenance.Next(t.waveInput(w, listed, openRuns))
	t.draining = maps.Clone(t.draining)
	for _, m := range append(drain, request...) {
		t.draining[m] = true
	}
	for _, m := range request {
		t.maintenanceRequested[waveMachine{w.ID, m}] = time.Now().Add(requestPending)
	}
	return request, drain
}

// requestPending is added to the time of a request that has not been sent or answered
// yet. It is longer than any request.
const requestPending = time.Hour

// lateCallLimit is how long after it was sent a call without an answer may still be carried
// out.
const lateCallLimit = 15 * time.Second

// requestEnded records the end of a maintenance request. One without an answer may still
// be carried out.
func (t *leaderTerm) requestEnded(m waveMachine, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maintenanceRequested[m] = time.Now()
	switch carawayshift.KindOf(err) {
	case carawayshift.NotRun, carawayshift.Conflict, carawayshift.NotFound, carawayshift.Refused:
	default:
		t.maintenanceLate[m] = time.Now().Add(lateCallLimit)
	}
	if err == nil {
		delete(t.maintenanceLate, m)
	}
}

// withdrawRequests records that selected requests were not sent.
func (t *leaderTerm) withdrawRequests(wave int, names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range names {
		t.maintenanceRequested[waveMachine{wave, m}] = time.Now()
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
	t.requestEnded(waveMachine{w.ID, machine}, err)
	entry := t.log.WithFields(logrus.Fields{"event": "upkeep", "wave": w.ID, "machine": machine})
	switch carawayshift.KindOf(err) {
	case carawayshift.Conflict:
		entry.WithError(err).Warn("a newer leader has sent a request for this machine")
		if !t.permitted() {
			t.resign()
		}
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

// waveInput combines the platform's list of machines with the open runs. The
// maintenance of a machine that is not listed is requested like that of others: the
// response shows whether it exists. The caller holds t.mu.
func (t *leaderTerm) waveInput(w carawayshift.Wave, listed map[string]carawayshift.Machine, openRuns []carawayshift.OpenRun) maintenance.Input {
	v := maintenance.Input{
		Now: time.Now(), Wave: w, Duration: t.d.cfg.Timing.Maintenance + waveInterval,
		Unavailable: map[carawayshift.TaskName]int{}, MaxUnavailable: map[carawayshift.TaskName]int{},
	}
	index := map[string]int{}
	for i, name := range w.Machines {
		found, present := listed[name]
		pending := slices.Contains(w.Started, name) && !slices.Contains(w.Done, name)
		index[name] = i
		v.Machines = append(v.Machines, maintenance.Machine{
			Name: name, Up: !present || found.State == carawayshift.MachineUp,
			Unconfirmed: pending && (!present || !t.maintenanceConfirmed[waveMachine{w.ID, name}]),
			Tasks:       map[carawayshift.TaskName]maintenance.Tasks{},
		})
	}
	t.countTasks(&v, index, listed, openRuns)
	return v
}

// countTasks adds the open runs to the input. index holds the positions of the wave's
// machines. The caller holds t.mu.
func (t *leaderTerm) countTasks(v *maintenance.Input, index map[string]int, listed map[string]carawayshift.Machine, openRuns []carawayshift.OpenRun) {
	machines, requested := t.machinesByRunner(listed), t.unfinishedRequests()
	// unplaced counts the tasks whose machine is not known: it may be any that is not
	// listed.
	unplaced := map[carawayshift.TaskName]maintenance.Tasks{}
	for _, o := range openRuns {
		machine := machines[o.Runner]
		i, inWave := index[machine]
		if inWave {
			v.Machines[i].Runs++
		}
		if o.Requirements.MaxUnavailable == 0 || o.BatchEnded {
			continue
		}
		step, state := stepOf(o.Task), t.availabilityOf(o, requested[machine])
		if _, known := v.MaxUnavailable[step]; !known {
			v.MaxUnavailable[step], v.Unavailable[step] = o.Requirements.MaxUnavailable, o.Requirements.Count
		}
		if state == carawayshift.TaskAvailable {
			v.Unavailable[step]--
		}
		switch {
		case inWave:
			v.Machines[i].Tasks[step] = countTask(v.Machines[i].Tasks[step], state)
		case machine == "":
			unplaced[step] = countTask(unplaced[step], state)
		}
	}
	for _, m := range v.Machines {
		if _, present := listed[m.Name]; present {
			continue
		}
		for step, n := range unplaced {
			m.Tasks[step] = maintenance.Tasks{
				Available: m.Tasks[step].Available + n.Available, Uncertain: m.Tasks[step].Uncertain + n.Uncertain,
			}
		}
	}
}

// countTask adds a task to the count of a machine.
func countTask(n maintenance.Tasks, state carawayshift.Availability) maintenance.Tasks {
	switch state {
	case carawayshift.TaskAvailable:
		n.Available++
	case carawayshift.TaskUncertain:
		n.Uncertain++
	}
	return n
}

// machinesByRunner returns the machine of each runner, from the platform's list and from
// the reports. The caller holds t.mu.
func (t *leaderTerm) machinesByRunner(listed map[string]carawayshift.Machine) map[string]string {
	machines := make(map[string]string, len(listed))
	for name, m := range listed {
		machines[m.Runner] = name
	}
	for id, s := range t.sessions {
		if s.agent.Machine != "" {
			machines[id] = s.agent.Machine
		}
	}
	return machines
}

// machineOf returns the machine of a runner that has reported, or "". The caller holds
// t.mu.
func (t *leaderTerm) machineOf(runner string) string {
	if s := t.sessions[runner]; s != nil {
		return s.agent.Machine
	}
	return ""
}

// mayInterrupt reports whether a run may be stopped without making too many tasks of its
// step unavailable. Machines may have been taken down since the plan was made. The caller
// holds t.mu.
func (t *leaderTerm) mayInterrupt(stop carawayshift.DispatchStop) bool {
	if t.d.cfg.Table.Requirements(stop.Task).MaxUnavailable == 0 {
		return true
	}
	_, openRuns := t.d.cfg.Table.OpenWork()
	requested := t.unfinishedRequests()
	left, own := 0, carawayshift.TaskUncertain
	for _, o := range openRuns {
		if stepOf(o.Task) != stepOf(stop.Task) {
			continue
		}
		state := t.availabilityOf(o, requested[t.machineOf(o.Runner)])
		if o.Task == stop.Task {
			own = state
			left += o.Requirements.MaxUnavailable - o.Requirements.Count
		}
		if state == carawayshift.TaskAvailable && o.Task != stop.Task {
			left++
		}
	}
	return own == carawayshift.TaskUnavailable || left >= 0
}

// unfinishedRequests returns, for the machines whose maintenance is not known to be done,
// the time after which no request is carried out any more. Requests of an earlier leader
// may be sent up to servicesTimeout after this term has begun. The caller holds t.mu.
func (t *leaderTerm) unfinishedRequests() map[string]time.Time {
	ends := map[string]time.Time{}
	for _, w := range t.d.cfg.Table.Waves() {
		if w.Complete() {
			continue
		}
		for _, name := range w.Machines {
			end, sent := t.maintenanceRequested[waveMachine{w.ID, name}]
			if late := t.maintenanceLate[waveMachine{w.ID, name}]; late.After(end) {
				end = late
			}
			if !sent && slices.Contains(w.Started, name) {
				end = t.started.Add(servicesTimeout + lateCallLimit)
			}
			if end.After(ends[name]) && !slices.Contains(w.Done, name) {
				ends[name] = end
			}
		}
	}
	return ends
}

// availabilityOf returns the availability of an open run, of which only what the runner
// listed after the time requested counts. A run that is starting may be at work at any
// moment. The caller holds t.mu.
func (t *leaderTerm) availabilityOf(o carawayshift.OpenRun, requested time.Time) carawayshift.Availability {
	s := t.sessions[o.Runner]
	if s == nil || s.unanswered || s.exited || s.agent.Leaving || t.stopping[o.Task] == o.Run {
		return carawayshift.TaskUncertain
	}
	r := s.find(o.Task, o.Run)
	switch {
	case r == nil || r.ended || !r.listed.After(requested):
		return carawayshift.TaskUncertain
	case r.atWork:
		return carawayshift.TaskAvailable
	case time.Since(o.Ordered) > t.d.cfg.Timing.ReadyDelay:
		return carawayshift.TaskUnavailable
	}
	return carawayshift.TaskUncertain
}
