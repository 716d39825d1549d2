package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// Expiry is how long an announcement is valid: five announcement intervals,
	// so that the loss of four announcements in a row does not stop a gang.
	Expiry = 5 * time.Second

	// maxClockDelay is how much earlier than requested a renewed lease may end.
	// It ends earlier by the network delay of the worker's announcement.
	maxClockDelay = 3 * time.Second

	MaxBody       = 1 << 20
	maxReplyBytes = 64 << 10
	idlePerWorker = 4
)

// Options configures a Client.
type Options struct {
	// Host is the name of this host, Zone its zone.
	Host      string
	Zone      string
	Transport carawayshift.Transport
	// Peers returns the other hosts of the zone.
	Peers func() []string
	// Leader returns the leader's host name, or "" if it is not known.
	Leader func() string
	// HoldsZoneLease reports whether this host holds the zone lease.
	HoldsZoneLease func() bool
	// HTTP sends the task calls. Nil means a new client.
	HTTP   *http.Client
	Logger logrus.FieldLogger
}

// Client keeps a table of the workers of this host's zone and, on the leader, of
// the workers of all zones. It implements carawayshift.WorkerClient.
type Client struct {
	opts Options

	mu sync.Mutex
	// workers maps names to the workers of the zone.
	workers map[string]carawayshift.Worker
	// received holds the names of the workers that announced themselves to this
	// host since announcements were last forwarded.
	received map[string]bool
	// zones holds, on the leader, each zone's table as of its last digest.
	zones map[string]zoneTable
	// sentTable is the table that was last sent to the leader, sentTo the leader
	// that acknowledged it, or "" if the full table must be sent.
	sentTable map[string]carawayshift.Worker
	sentTo    string
	// cachedList is the leader's table of all zones as of fetchedAt.
	cachedList []carawayshift.Worker
	fetchedAt  time.Time
	// changed is closed and replaced when a table changes.
	changed chan struct{}
}

type zoneTable struct {
	workers map[string]carawayshift.Worker
	seen    time.Time
}

// New returns a client and registers its methods with the transport.
func New(opts Options) *Client {
	if opts.HTTP == nil {
		opts.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerWorker}}
	}
	c := &Client{
		opts:      opts,
		workers:   map[string]carawayshift.Worker{},
		received:  map[string]bool{},
		zones:     map[string]zoneTable{},
		sentTable: map[string]carawayshift.Worker{},
		changed:   make(chan struct{}),
	}
	opts.Transport.Handle("worker.share", c.handleForwarded)
	opts.Transport.Handle("worker.digest", c.handleDigest)
	opts.Transport.Handle("worker.list", c.handleList)
	return c
}

// ServeHTTP receives one announcement.
func (c *Client) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a announcement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody)).Decode(&a)
	if err != nil {
		err = carawayshift.NewError(carawayshift.Malformed, "announcement: "+err.Error(), "send JSON of at most 1 MB with the fields of the worker announcement")
	} else {
		err = a.validate(c.opts.Zone)
	}
	if err != nil {
		c.opts.Logger.WithError(err).Warn("worker announcement refused; a worker without a valid announcement is not used")
		writeError(w, err)
		return
	}
	wk := a.worker()
	wk.Seen = time.Now()
	c.storeAnnouncement(wk, true)
	w.WriteHeader(http.StatusNoContent)
}

// storeAnnouncement stores an announcement unless a newer incarnation or a newer
// announcement is known. Direct announcements were sent to this host.
func (c *Client) storeAnnouncement(w carawayshift.Worker, direct bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, known := c.workers[w.Name]
	if known && (old.Incarnation > w.Incarnation || old.Seen.After(w.Seen)) {
		return
	}
	c.workers[w.Name] = w
	if direct {
		c.received[w.Name] = true
	}
	if !known || !equalInDigest(old, w) || !equalTasks(old, w) {
		c.notify()
	}
}

// notify closes the channel that Changed returned. c.mu must be held.
func (c *Client) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of a table.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Workers returns the zone's workers whose announcements have not expired, sorted
// by name.
func (c *Client) Workers() []carawayshift.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []carawayshift.Worker
	for _, w := range c.workers {
		if time.Since(w.Seen) < Expiry {
			list = append(list, w)
		}
	}
	sortWorkers(list)
	return list
}

// Worker returns one worker of the zone. Ok is false if its announcement has
// expired or it is not known.
func (c *Client) Worker(name string) (w carawayshift.Worker, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok = c.workers[name]
	return w, ok && time.Since(w.Seen) < Expiry
}

// All returns the workers of all zones whose last digest is younger than Expiry,
// sorted by name. The result is meaningful only on the leader.
func (c *Client) All() []carawayshift.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []carawayshift.Worker
	for _, z := range c.zones {
		if time.Since(z.seen) >= Expiry {
			continue
		}
		for _, w := range z.workers {
			list = append(list, w)
		}
	}
	sortWorkers(list)
	return list
}

func sortWorkers(list []carawayshift.Worker) {
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
}

// Prepare reserves accelerators for one task.
func (c *Client) Prepare(ctx context.Context, w carawayshift.Worker, t carawayshift.TaskSpec, lease time.Duration) error {
	_, err := c.post(ctx, w, "prepare", taskCall{Tasks: []carawayshift.TaskSpec{t}, Lease: lease.Milliseconds()})
	return err
}

// Start starts a prepared task.
func (c *Client) Start(ctx context.Context, w carawayshift.Worker, t carawayshift.TaskSpec, lease time.Duration) error {
	_, err := c.post(ctx, w, "start", taskCall{Tasks: []carawayshift.TaskSpec{t}, Lease: lease.Milliseconds()})
	return err
}

// Renew extends the leases of all given tasks, or of none. The worker's clock at
// w.Seen was at least w.Clock, so the leases end at until or earlier. If the
// announcement was delayed by more than maxClockDelay, they end much earlier; the
// error then has kind Conflict, because the caller must not rely on the full
// lease.
func (c *Client) Renew(ctx context.Context, w carawayshift.Worker, tasks []carawayshift.TaskSpec, until time.Time) error {
	end := w.Clock + until.Sub(w.Seen)
	text, err := c.post(ctx, w, "renew", taskCall{Tasks: tasks, Until: end.Milliseconds()})
	if err != nil {
		return err
	}
	var r taskResult
	if err := json.Unmarshal(text, &r); err != nil {
		return carawayshift.NewError(carawayshift.Malformed, "renew on worker "+w.Name+": "+err.Error(), "upgrade the worker")
	}
	left := time.Duration(r.Left) * time.Millisecond
	if left < time.Until(until)-maxClockDelay {
		return carawayshift.NewError(carawayshift.Conflict, "renew on worker "+w.Name+": the lease ends in "+left.String(), "renew again once the worker has announced itself")
	}
	return nil
}

// Checkpoint returns when the task's checkpoint is complete.
func (c *Client) Checkpoint(ctx context.Context, w carawayshift.Worker, t carawayshift.TaskSpec) (time.Duration, error) {
	text, err := c.post(ctx, w, "checkpoint", taskCall{Tasks: []carawayshift.TaskSpec{t}})
	if err != nil {
		return 0, err
	}
	var r taskResult
	if err := json.Unmarshal(text, &r); err != nil {
		return 0, carawayshift.NewError(carawayshift.Malformed, "checkpoint on worker "+w.Name+": "+err.Error(), "upgrade the worker")
	}
	return time.Duration(r.Checkpoint) * time.Millisecond, nil
}

// Throttle limits a task to a percentage of its processor time.
func (c *Client) Throttle(ctx context.Context, w carawayshift.Worker, t carawayshift.TaskSpec, percent int) error {
	_, err := c.post(ctx, w, "throttle", taskCall{Tasks: []carawayshift.TaskSpec{t}, Percent: percent})
	return err
}

// Stop returns when the task no longer runs. The worker refuses every later call for
// a stopped attempt, so that a delayed start can't start it again.
func (c *Client) Stop(ctx context.Context, w carawayshift.Worker, t carawayshift.TaskSpec) error {
	_, err := c.post(ctx, w, "stop", taskCall{Tasks: []carawayshift.TaskSpec{t}})
	return err
}

// post sends one task call and returns the body of the response. If the worker
// refuses the call, the error has the kind in the response. If there is no
// response, the error has kind OutcomeUnknown.
func (c *Client) post(ctx context.Context, w carawayshift.Worker, verb string, body taskCall) ([]byte, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "worker.post")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.Address+"/tasks/"+verb, bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrap(err, "worker.post")
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.opts.HTTP.Do(r)
	if err != nil {
		return nil, outcomeUnknown(w, verb, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, outcomeUnknown(w, verb, err)
	}
	if resp.StatusCode/100 != 2 {
		return nil, refusalError(w, verb, resp.Status, text)
	}
	return text, nil
}

func outcomeUnknown(w carawayshift.Worker, verb string, err error) error {
	return carawayshift.NewError(carawayshift.OutcomeUnknown, verb+" on worker "+w.Name+": "+err.Error(), "check that the worker is up")
}

func refusalError(w carawayshift.Worker, verb, status string, text []byte) error {
	var f refusal
	if json.Unmarshal(text, &f) != nil || f.Kind == "" {
		f = refusal{Error: status, Kind: string(carawayshift.Refused)}
	}
	return carawayshift.NewError(carawayshift.Kind(f.Kind), verb+" on worker "+w.Name+": "+f.Error, f.Remedy)
}

func writeError(w http.ResponseWriter, err error) {
	e := carawayshift.AsError(err, carawayshift.Malformed, "")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(refusal{Error: e.Text, Kind: string(e.Kind), Remedy: e.Remedy})
}
