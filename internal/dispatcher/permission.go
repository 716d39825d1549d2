package dispatcher

import (
	"context"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

// permissionInterval is the time between two checks of whether this host may act
// as the leader.
const permissionInterval = 10 * time.Millisecond

// permittedClient delays the calls to runners until this host may act as the
// leader of the term. A process that was paused would otherwise act on a
// leadership that has ended: the fence is no protection on a runner that the new
// leader has not called yet. The arguments of a call, such as the end of a lease,
// were made before the check, so that a pause after it makes them no later.
type permittedClient struct {
	client carawayshift.AgentClient
	t      *leaderTerm
}

var _ carawayshift.AgentClient = permittedClient{}

func (c permittedClient) Start(ctx context.Context, call carawayshift.AgentCall, r carawayshift.RunRequest) (time.Duration, error) {
	if err := c.t.awaitPermission(ctx); err != nil {
		return 0, err
	}
	return c.client.Start(ctx, call, r)
}

func (c permittedClient) Stop(ctx context.Context, call carawayshift.AgentCall, task carawayshift.TaskName, run int) (time.Duration, error) {
	if err := c.t.awaitPermission(ctx); err != nil {
		return 0, err
	}
	return c.client.Stop(ctx, call, task, run)
}

func (c permittedClient) Renew(ctx context.Context, call carawayshift.AgentCall, seen uint64, until, wait time.Duration) (carawayshift.AgentStatus, error) {
	if err := c.t.awaitPermission(ctx); err != nil {
		return carawayshift.AgentStatus{}, err
	}
	return c.client.Renew(ctx, call, seen, until, wait)
}

func (c permittedClient) Throttle(ctx context.Context, call carawayshift.AgentCall, task carawayshift.TaskName, run, percent int) error {
	if err := c.t.awaitPermission(ctx); err != nil {
		return err
	}
	return c.client.Throttle(ctx, call, task, run, percent)
}

// permission lets calls wait until this host may act as the leader. One goroutine
// checks it for all of them: thousands of waiting calls would take the processor time
// that the host needs to become the leader again.
type permission struct {
	mu sync.Mutex
	// granted is closed when a check succeeds; it is nil while no call waits.
	granted chan struct{}
}

// awaitPermission returns once this host may act as the leader of the term. The
// error has kind NotRun.
func (t *leaderTerm) awaitPermission(ctx context.Context) error {
	for first := true; !t.permitted(); first = false {
		if first {
			t.d.cfg.Metrics.GetOrCreateCounter("carawayshift_calls_delayed_total").Inc()
		}
		select {
		case <-t.permissionGranted():
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return carawayshift.NewError(carawayshift.NotRun, "this host may no longer lead", "the new leader repeats the call")
		}
	}
	if ctx.Err() != nil {
		return carawayshift.NewError(carawayshift.NotRun, "the call was cancelled", "no action is needed")
	}
	return nil
}

func (t *leaderTerm) permitted() bool {
	return t.d.permitted(t.term)
}

func (d *Dispatcher) permitted(term uint64) bool {
	return d.cfg.Permitted == nil || d.cfg.Permitted(term)
}

// permissionGranted returns a channel that is closed when a check succeeds. The
// caller checks again: its process may have been paused since.
func (t *leaderTerm) permissionGranted() <-chan struct{} {
	p := &t.permission
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.granted == nil {
		p.granted = make(chan struct{})
		t.spawn(t.checkPermission)
	}
	return p.granted
}

// checkPermission checks until this host may act as the leader, or the term ends.
func (t *leaderTerm) checkPermission() {
	for !t.permitted() && pause.For(t.ctx, permissionInterval) {
	}
	p := &t.permission
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.granted)
	p.granted = nil
}
