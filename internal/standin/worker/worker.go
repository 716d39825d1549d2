// Package worker is a stand-in for a worker machine: it announces itself to
// entry hosts, handles the calls for tasks, and runs tasks as timers. It is used
// by tests, the demo and the command "standin worker".
//
// # Usage
//
//	w := worker.New(worker.Options{Name: "w1", Zone: "belmont", Rack: "r1", Address: "127.0.0.1:7101",
//		Entries: []string{"http://127.0.0.1:7001"}, Cores: 30, Memory: 64 << 10, Accelerators: 8})
//	http.Serve(listener, w)
//	w.Run(ctx)
//
// # Faults
//
// POST /faults replaces the injected faults: {"fail":true} fails tasks at their
// start, {"refuse":true} refuses to prepare tasks, {"deaf":true} does not execute
// stop calls, {"frozen":true} neither answers calls nor sends announcements,
// {"checkpoint":ms} delays checkpoints. GET /history lists every start and end of
// a task, which tests check for partial gangs and tasks that ran twice.
package worker

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
	"github.com/sirupsen/logrus"
)

// Options configures a stand-in worker.
type Options struct {
	Name, Zone, Rack, Address string
	// Entries lists the base URLs of entry hosts, which are tried in turn.
	Entries       []string
	Cores, Memory int
	Accelerators  int
	RunTimeFactor float64       // actual run time divided by the declared one; 0 is 1
	Interval      time.Duration // between announcements; 0 is 1 s
	HTTP          *http.Client
	Log           logrus.FieldLogger
	Incarnation   uint64 // 0 is the start time in ms
}

// faults is the body of POST /faults.
type faults struct {
	Fail       bool `json:"fail"`
	Refuse     bool `json:"refuse"`
	IgnoreStop bool `json:"deaf"`
	Frozen     bool `json:"frozen"`
	// Checkpoint is the duration of a checkpoint in ms.
	Checkpoint int64 `json:"checkpoint"`
}

type taskKey struct {
	job     uint64
	attempt int
	task    int
}

type task struct {
	spec       carawayshift.TaskSpec
	state      carawayshift.TaskState
	lease      time.Time
	started    time.Time
	checkpoint time.Duration
	errorText  string
}

type event struct {
	At      time.Time `json:"at"`
	Job     uint64    `json:"job"`
	Attempt int       `json:"attempt"`
	Task    int       `json:"task"`
	What    string    `json:"what"`
}

// Worker is a simulated worker.
type Worker struct {
	opts    Options
	started time.Time

	mu          sync.Mutex
	tasks       map[taskKey]*task
	stopped     map[taskKey]bool
	faults      faults
	history     []event
	announceNow chan struct{}
	mux         *http.ServeMux
}

// New returns a worker without tasks.
func New(opts Options) *Worker {
	if opts.RunTimeFactor == 0 {
		opts.RunTimeFactor = 1
	}
	if opts.Interval == 0 {
		opts.Interval = time.Second
	}
	if opts.Incarnation == 0 {
		opts.Incarnation = uint64(time.Now().UnixMilli())
	}
	if opts.HTTP == nil {
		opts.HTTP = &http.Client{Timeout: opts.Interval}
	}
	w := &Worker{
		opts:        opts,
		started:     time.Now(),
		tasks:       map[taskKey]*task{},
		stopped:     map[taskKey]bool{},
		announceNow: make(chan struct{}, 1),
		mux:         http.NewServeMux(),
	}
	w.mux.HandleFunc("POST /tasks/{verb}", w.handleTasks)
	w.mux.HandleFunc("POST /faults", w.handleFaults)
	w.mux.HandleFunc("GET /history", w.handleHistory)
	return w
}

// ServeHTTP serves the task calls and the fault switches.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

func (w *Worker) handleFaults(rw http.ResponseWriter, r *http.Request) {
	var f faults
	if err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, MaxBodyBytes)).Decode(&f); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.faults = f
	w.mu.Unlock()
	rw.WriteHeader(http.StatusNoContent)
}

func (w *Worker) handleHistory(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	h := append([]event{}, w.history...)
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(h)
}
