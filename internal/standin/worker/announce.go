package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
)

type announcement struct {
	Name         string       `json:"name"`
	Incarnation  uint64       `json:"incarnation"`
	Zone         string       `json:"zone"`
	Rack         string       `json:"rack"`
	Address      string       `json:"address"`
	Cores        int          `json:"cores"`
	Memory       int          `json:"memory"`
	Accelerators int          `json:"accelerators"`
	Tasks        []taskReport `json:"tasks,omitempty"`
	Clock        int64        `json:"clock"`
}

type taskReport struct {
	Job          uint64 `json:"job"`
	Attempt      int    `json:"attempt"`
	Task         int    `json:"task"`
	State        string `json:"state"`
	Accelerators int    `json:"accelerators"`
	Checkpoint   int64  `json:"checkpoint,omitempty"`
	Error        string `json:"error,omitempty"`
}

// Run announces the worker and ends expired tasks until ctx ends. All tasks end
// with it, as on a machine that loses power. Announcements are sent by a separate
// goroutine, so that an entry host that does not answer delays no expiry.
func (w *Worker) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		w.announceLoop(ctx)
	}()
	defer wg.Wait()
	check := time.NewTicker(expiryCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-check.C:
		}
		w.mu.Lock()
		changed := w.endExpiredTasks(time.Now())
		w.mu.Unlock()
		if changed {
			w.triggerAnnouncement()
		}
	}
}

func (w *Worker) announceLoop(ctx context.Context) {
	tick := time.NewTicker(w.opts.Interval)
	defer tick.Stop()
	entry := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-w.announceNow:
		}
		entry = w.announce(ctx, entry)
	}
}

func (w *Worker) triggerAnnouncement() {
	select {
	case w.announceNow <- struct{}{}:
	default:
	}
}

// announce sends one announcement to the entry host with the given index, or to
// the next one that answers, and returns the index of the host that answered.
func (w *Worker) announce(ctx context.Context, entry int) int {
	if w.currentFaults().Frozen {
		return entry
	}
	body, err := json.Marshal(w.announcement())
	if err != nil {
		return entry
	}
	for i := range w.opts.Entries {
		n := (entry + i) % len(w.opts.Entries)
		if w.post(ctx, w.opts.Entries[n], body) {
			return n
		}
	}
	w.opts.Log.WithField("worker", w.opts.Name).Warn("no entry host accepted the announcement")
	return entry
}

func (w *Worker) post(ctx context.Context, entry string, body []byte) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/workers", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := w.opts.HTTP.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (w *Worker) announcement() announcement {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := announcement{
		Name: w.opts.Name, Incarnation: w.opts.Incarnation, Zone: w.opts.Zone, Rack: w.opts.Rack,
		Address: w.opts.Address, Cores: w.opts.Cores, Memory: w.opts.Memory, Accelerators: w.opts.Accelerators,
		Clock: time.Since(w.started).Milliseconds(),
	}
	for k, t := range w.tasks {
		a.Tasks = append(a.Tasks, taskReport{
			Job: k.job, Attempt: k.attempt, Task: k.task, State: string(t.state),
			Accelerators: t.spec.Accelerators, Checkpoint: w.checkpointedTime(t).Milliseconds(), Error: t.errorText,
		})
	}
	return a
}

// checkpointedTime returns the run time that the task's last checkpoint covers.
func (w *Worker) checkpointedTime(t *task) time.Duration {
	if t.state == carawayshift.TaskFinished {
		return t.spec.Run
	}
	return t.checkpoint
}
