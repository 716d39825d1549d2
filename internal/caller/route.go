package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/runner"
	"carawayshift.example/carawayshift/pkg/queue"
)

const (
	// maxSends is the maximum number of sends of one request in this zone.
	maxSends = 4
	// firstBackoff is the mean delay before the first retry; it doubles with
	// each retry.
	firstBackoff = 5 * time.Millisecond
)

// route sends a request in this zone, then in other zones. The error's kind is
// OutcomeUnknown if any send of a request that must not run twice had an
// unknown outcome, and NotRun only if each send provably did not leave a host.
func (h *Handler) route(ctx context.Context, r *request) (*runner.Response, error) {
	a, err := h.tryLocal(ctx, r)
	if err == nil || !h.mayForward(ctx, r, err) {
		return a, err
	}
	b, ferr := h.tryOtherZones(ctx, r)
	if ferr == nil {
		return b, nil
	}
	return a, leastCertain(err, ferr)
}

// mayForward reports whether the request may be sent to another zone after a
// send ended with err.
func (h *Handler) mayForward(ctx context.Context, r *request, err error) bool {
	if r.forwarded || ctx.Err() != nil {
		return false
	}
	if r.sends == 0 && time.Until(r.deadline) < r.timeLeft/2 {
		// The queue refused it after half of its time, which is when the caller
		// must get the refusal.
		return false
	}
	return carawayshift.KindOf(err) == carawayshift.NotRun || r.repeatable()
}

// leastCertain returns a if its kind is OutcomeUnknown and b otherwise, so that
// an unknown outcome is never reported as not run.
func leastCertain(a, b error) error {
	if carawayshift.KindOf(a) == carawayshift.OutcomeUnknown {
		return a
	}
	return b
}

// tryLocal tries runners of this zone until one answers or no retry is left.
func (h *Handler) tryLocal(ctx context.Context, r *request) (*runner.Response, error) {
	var last error
	var failed *runner.Response
	for {
		c, err := h.choose(ctx, r)
		if err != nil {
			return h.responseOrError(failed, queueError(last, err))
		}
		a, err := h.attempt(ctx, r, c)
		if err == nil && !h.failedRepeatable(r, a) {
			return a, nil
		}
		if err == nil {
			failed = a
		} else {
			last = keepUnknown(last, err)
		}
		if !h.waitForRetry(ctx, r, err) {
			return h.responseOrError(failed, last)
		}
	}
}

// responseOrError returns the runner's own failure response if there is one,
// and otherwise the error.
func (h *Handler) responseOrError(failed *runner.Response, err error) (*runner.Response, error) {
	if failed != nil {
		return failed, nil
	}
	return nil, err
}

// failedRepeatable reports whether a response is a failure that another runner
// may not have, of a request that may be executed again.
func (h *Handler) failedRepeatable(r *request, a *runner.Response) bool {
	return a.Status >= http.StatusInternalServerError && r.repeatable()
}

// serverError returns the error for a failure response while a retry is under
// way. The request was executed, so no later error may have kind NotRun.
func serverError(a *runner.Response) error {
	return carawayshift.NewError(carawayshift.OutcomeUnknown, "a runner answered "+http.StatusText(a.Status), "send it again")
}

// keepUnknown returns the newer error err, unless last has kind OutcomeUnknown.
func keepUnknown(last, err error) error {
	if last != nil && carawayshift.KindOf(last) == carawayshift.OutcomeUnknown {
		return last
	}
	return err
}

// queueError returns the error of a request that failed in the queue with err
// after its last send failed with last.
func queueError(last, err error) error {
	if last != nil && carawayshift.KindOf(last) == carawayshift.OutcomeUnknown {
		return last
	}
	if carawayshift.KindOf(err) == carawayshift.NotRun {
		return err
	}
	return notRun("no slot became free: "+err.Error(), "send it again")
}

// waitForRetry reports whether the request may be sent again after err, and
// waits for the backoff.
func (h *Handler) waitForRetry(ctx context.Context, r *request, err error) bool {
	unsent := err != nil && carawayshift.KindOf(err) == carawayshift.NotRun
	if !unsent && !r.repeatable() {
		return false
	}
	if r.sends >= maxSends || ctx.Err() != nil {
		return false
	}
	if !h.cfg.Budget.Withdraw() {
		h.stats.exhausted.Inc()
		return false
	}
	h.stats.retries.Inc()
	return sleep(ctx, backoff(r.sends))
}

// choice is the runner chosen for one attempt.
type choice struct {
	runner       carawayshift.Runner
	done         func(error, time.Duration)
	alternatives int
	reason       string
}

// choose waits for a free slot of a runner and takes it.
func (h *Handler) choose(ctx context.Context, r *request) (*choice, error) {
	if r.repeatable() && r.sends == 0 {
		if target, done, ok := h.cfg.Balancer.Probe(r.service, r.tried); ok {
			return &choice{target, done, 0, "probe"}, nil
		}
	}
	if h.cfg.Balancer.Usable(r.service, r.tried) == 0 {
		return nil, h.noRunner(r)
	}
	c := &choice{reason: "lower expected wait"}
	start := time.Now()
	err := h.cfg.Queue.Wait(ctx, queue.Entry{
		Service: r.service, Urgent: r.urgent, Deadline: r.deadline,
		Acquire: func() bool { return h.pick(r, c) },
	})
	h.stats.wait.Update(time.Since(start).Seconds())
	if err != nil {
		h.stats.shed.Inc()
		return nil, err
	}
	if c.done == nil {
		return nil, h.noRunner(r)
	}
	return c, nil
}

// errNoRunner marks the errors of requests for which there is no runner.
var errNoRunner = errors.New("no runner")

func (h *Handler) noRunner(r *request) error {
	return errors.Mark(notRun("no runner of service "+r.service+" is left in zone "+h.cfg.Zone, "send it again later"), errNoRunner)
}

// pick takes a free slot. It also ends the wait when no runner is left to wait
// for.
func (h *Handler) pick(r *request, c *choice) bool {
	target, done, n, err := h.cfg.Balancer.Pick(r.service, r.tried)
	if err != nil {
		return h.cfg.Balancer.Usable(r.service, r.tried) == 0
	}
	c.runner, c.done, c.alternatives = target, done, n
	return true
}

// sendContext returns the context of a send. A send of a keyed request
// continues after its caller has disconnected, so that a resent request finds
// the outcome. A repeatable request keeps half of its time for a retry.
func sendContext(ctx context.Context, r *request) (context.Context, context.CancelFunc) {
	if r.key != "" {
		return context.WithDeadline(context.WithoutCancel(ctx), r.deadline)
	}
	if r.repeatable() && r.sends < maxSends {
		return context.WithTimeout(ctx, time.Until(r.deadline)/2)
	}
	return context.WithCancel(ctx)
}

// attempt sends the request to the chosen runner once.
func (h *Handler) attempt(ctx context.Context, r *request, c *choice) (*runner.Response, error) {
	if err := ctx.Err(); err != nil {
		c.done(context.Canceled, 0)
		return nil, notRun("the caller has disconnected", "")
	}
	h.log(r, c.runner.Name, c.reason, c.alternatives)
	if r.sends == 0 {
		h.cfg.Budget.Deposit()
	}
	r.sends++
	r.tried = append(r.tried, c.runner.Name)
	h.stats.sends.Inc()
	ctx, cancel := sendContext(ctx, r)
	defer cancel()
	start := time.Now()
	a, err := h.cfg.Pool.Send(ctx, c.runner, r.runnerRequest(newID()))
	c.done(balancerResult(a, err), time.Since(start))
	if err == nil || carawayshift.KindOf(err) != carawayshift.NotRun {
		r.maybeSent++
	}
	return a, err
}

// balancerResult returns the result of an attempt for the balancer. The
// disconnection of a caller is no fault of the runner.
func balancerResult(a *runner.Response, err error) error {
	switch {
	case errors.Is(err, context.Canceled):
		return context.Canceled
	case err != nil:
		return err
	case a.Status >= http.StatusInternalServerError:
		return serverError(a)
	}
	return nil
}

func (h *Handler) log(r *request, to, reason string, alternatives int) {
	h.cfg.Log.WithFields(logrus.Fields{
		"request": r.id, "choice": to, "reason": reason, "alternatives": alternatives,
	}).Info("caller: routed")
}
