package worker

import (
	"encoding/json"
	"net/http"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

// MaxBodyBytes is the size of the largest body of a call.
const MaxBodyBytes = 1 << 20

const (
	// expiryCheckInterval is the maximum delay after which the expiry of a lease
	// is detected.
	expiryCheckInterval = 50 * time.Millisecond
)

type taskCall struct {
	Tasks   []carawayshift.TaskSpec `json:"tasks"`
	Lease   int64                   `json:"lease"`
	Until   int64                   `json:"until"`
	Percent int                     `json:"percent"`
}

type taskResult struct {
	Checkpoint int64 `json:"checkpoint"`
	// Left is the shortest remaining lease in ms.
	Left int64 `json:"left"`
}

type refusal struct {
	Error  string `json:"error"`
	Kind   string `json:"kind"`
	Remedy string `json:"remedy"`
}

func (w *Worker) handleTasks(rw http.ResponseWriter, r *http.Request) {
	var c taskCall
	if err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, MaxBodyBytes)).Decode(&c); err != nil {
		refuse(rw, http.StatusBadRequest, carawayshift.NewError(carawayshift.Malformed, err.Error(), "send {tasks, lease} as JSON"))
		return
	}
	f := w.currentFaults()
	if f.Frozen {
		<-r.Context().Done()
		return
	}
	verb := r.PathValue("verb")
	if verb == "checkpoint" && f.Checkpoint > 0 {
		pause.For(r.Context(), time.Duration(f.Checkpoint)*time.Millisecond)
	}
	if err := w.apply(verb, c, f); err != nil {
		refuse(rw, http.StatusConflict, err)
		return
	}
	w.triggerAnnouncement()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(w.result(c))
}

// result returns the smallest checkpoint and the shortest remaining lease of the
// tasks that the call names.
func (w *Worker) result(c taskCall) taskResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	var r taskResult
	for i, s := range c.Tasks {
		t, ok := w.tasks[keyOfTask(s)]
		if !ok {
			return taskResult{}
		}
		if ms := w.checkpointedTime(t).Milliseconds(); i == 0 || ms < r.Checkpoint {
			r.Checkpoint = ms
		}
		if ms := time.Until(t.lease).Milliseconds(); i == 0 || ms < r.Left {
			r.Left = ms
		}
	}
	return r
}

func (w *Worker) currentFaults() faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

func (w *Worker) apply(verb string, c taskCall, f faults) *carawayshift.Error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endExpiredTasks(time.Now())
	lease := time.Now().Add(time.Duration(c.Lease) * time.Millisecond)
	switch verb {
	case "prepare":
		return w.prepare(c, lease, f)
	case "start":
		return w.start(c, lease, f)
	case "renew":
		return w.renew(c, w.started.Add(time.Duration(c.Until)*time.Millisecond))
	case "checkpoint":
		return w.checkpoint(c)
	case "throttle":
		return nil
	case "stop":
		return w.stop(c, f)
	default:
		return carawayshift.NewError(carawayshift.Malformed, "unknown call "+verb, "use prepare, start, renew, checkpoint, throttle or stop")
	}
}

func keyOfTask(t carawayshift.TaskSpec) taskKey { return taskKey{t.Job, t.Attempt, t.Task} }

func (w *Worker) prepare(c taskCall, lease time.Time, f faults) *carawayshift.Error {
	if f.Refuse {
		return carawayshift.NewError(carawayshift.Refused, "worker refuses tasks", "place the job elsewhere")
	}
	for _, t := range c.Tasks {
		k := keyOfTask(t)
		if w.stopped[k] {
			return carawayshift.NewError(carawayshift.Refused, "attempt was stopped", "use a new attempt")
		}
		if old, ok := w.tasks[k]; ok && old.state != carawayshift.TaskPrepared {
			return carawayshift.NewError(carawayshift.Conflict, "task is "+string(old.state), "use a new attempt")
		}
		if _, ok := w.tasks[k]; !ok && w.occupiedAccelerators()+t.Accelerators > w.opts.Accelerators {
			return carawayshift.NewError(carawayshift.Refused, "accelerators are occupied", "wait until the last attempt has stopped")
		}
		w.tasks[k] = &task{spec: t, state: carawayshift.TaskPrepared, lease: lease, checkpoint: t.Checkpoint}
	}
	return nil
}

// occupiedAccelerators returns the number of accelerators of prepared and running
// tasks. The caller holds w.mu.
func (w *Worker) occupiedAccelerators() int {
	n := 0
	for _, t := range w.tasks {
		if t.state == carawayshift.TaskPrepared || t.state == carawayshift.TaskRunning {
			n += t.spec.Accelerators
		}
	}
	return n
}

func (w *Worker) start(c taskCall, lease time.Time, f faults) *carawayshift.Error {
	for _, s := range c.Tasks {
		k := keyOfTask(s)
		t, ok := w.tasks[k]
		if !ok || w.stopped[k] {
			return carawayshift.NewError(carawayshift.Refused, "reservation has expired or was released", "use a new attempt")
		}
		if t.state == carawayshift.TaskRunning {
			continue
		}
		t.state, t.lease, t.started = carawayshift.TaskRunning, lease, time.Now()
		w.record(k, "start")
		if f.Fail {
			t.state, t.errorText = carawayshift.TaskFailed, "accelerator error"
			w.record(k, "failed")
		}
	}
	return nil
}

func (w *Worker) renew(c taskCall, lease time.Time) *carawayshift.Error {
	for _, s := range c.Tasks {
		t, ok := w.tasks[keyOfTask(s)]
		if !ok || t.state == carawayshift.TaskStopped || t.state == carawayshift.TaskPrepared {
			return carawayshift.NewError(carawayshift.NotFound, "task is not running", "stop the gang")
		}
	}
	for _, s := range c.Tasks {
		if t := w.tasks[keyOfTask(s)]; lease.After(t.lease) {
			t.lease = lease
		}
	}
	return nil
}

func (w *Worker) checkpoint(c taskCall) *carawayshift.Error {
	for _, s := range c.Tasks {
		t, ok := w.tasks[keyOfTask(s)]
		if !ok || t.state != carawayshift.TaskRunning {
			return carawayshift.NewError(carawayshift.NotFound, "task is not running", "use the last checkpoint")
		}
		t.checkpoint = t.spec.Checkpoint + time.Since(t.started)
	}
	return nil
}

func (w *Worker) stop(c taskCall, f faults) *carawayshift.Error {
	if f.IgnoreStop {
		return carawayshift.NewError(carawayshift.Unavailable, "stop is not acknowledged", "wait until the lease expires")
	}
	for _, s := range c.Tasks {
		k := keyOfTask(s)
		w.stopped[k] = true
		t, ok := w.tasks[k]
		if !ok {
			continue
		}
		if t.state == carawayshift.TaskRunning {
			w.record(k, "stopped")
		}
		delete(w.tasks, k)
	}
	return nil
}

// endExpiredTasks ends the tasks whose lease has expired or whose run time is
// over, and reports whether there were any. The caller holds w.mu.
func (w *Worker) endExpiredTasks(now time.Time) (changed bool) {
	for k, t := range w.tasks {
		switch t.state {
		case carawayshift.TaskPrepared:
			if now.After(t.lease) {
				delete(w.tasks, k)
				w.stopped[k] = true
				changed = true
			}
		case carawayshift.TaskRunning:
			changed = w.endRunningTask(k, t, now) || changed
		}
	}
	return changed
}

func (w *Worker) endRunningTask(k taskKey, t *task, now time.Time) bool {
	run := time.Duration(float64(t.spec.Run)*w.opts.RunTimeFactor) - t.spec.Checkpoint
	switch {
	case now.After(t.lease):
		w.stopped[k] = true
		delete(w.tasks, k)
		w.record(k, "lease expired")
	case now.Sub(t.started) >= run:
		t.state = carawayshift.TaskFinished
		w.record(k, "finished")
	default:
		return false
	}
	return true
}

func (w *Worker) record(k taskKey, what string) {
	w.history = append(w.history, event{At: time.Now(), Job: k.job, Attempt: k.attempt, Task: k.task, What: what})
}

func refuse(rw http.ResponseWriter, status int, e *carawayshift.Error) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(refusal{Error: e.Text, Kind: string(e.Kind), Remedy: e.Remedy})
}

// StartsAfter returns the number of tasks that started after t.
func (w *Worker) StartsAfter(t time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.history {
		if e.What == "start" && e.At.After(t) {
			n++
		}
	}
	return n
}
