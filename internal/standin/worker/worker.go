// Package worker is a stand-in for a worker machine: it announces itself to
// entry hosts, takes the task calls, and runs tasks as timers. Tests, the demo
// and the command "standin worker" use it.
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
// POST /faults with {"fail":true}, {"refuse":true}, {"deaf":true} (ignores
// stop), {"frozen":true} (answers nothing) or {"checkpoint":ms} switches a
// fault on or off. GET /history lists every start and end of a task, which
// tests check for partial gangs and double runs.
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
	// Entries lists the base URLs of entry hosts, tried in turn.
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
	Fail   bool `json:"fail"`
	Refuse bool `json:"refuse"`
	Deaf   bool `json:"deaf"`
	Frozen bool `json:"frozen"`
	// Checkpoint is the time that a checkpoint takes, in ms.
	Checkpoint int64 `json:"checkpoint"`
}

type key struct {
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
	text       string
}

type event struct {
	At      time.Time `json:"at"`
	Job     uint64    `json:"job"`
	Attempt int       `json:"attempt"`
	Task    int       `json:"task"`
	What    string    `json:"what"`
}

// Worker is a stand-in worker.
type Worker struct {
	opts Options
	born time.Time

	mu      sync.Mutex
	tasks   map[key]*task
	stopped map[key]bool
	faults  faults
	history []event
	wake    chan struct{}
	mux     *http.ServeMux
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
		opts:    opts,
		born:    time.Now(),
		tasks:   map[key]*task{},
		stopped: map[key]bool{},
		wake:    make(chan struct{}, 1),
		mux:     http.NewServeMux(),
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
	if err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxBodyBytes)).Decode(&f); err != nil {
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
