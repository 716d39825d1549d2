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
	// maxSends bounds the sends of one request in this zone.
	maxSends = 4
	// firstBackoff is the mean pause before the first retry; it doubles.
	firstBackoff = 5 * time.Millisecond
)

// route sends a request in this zone, then in other zones. The error's kind
// is OutcomeUnknown if any send of a request that must not run twice ended
// unclear, and a true NotRun if every send provably did not leave a host.
func (h *Handler) route(ctx context.Context, j *job) (*runner.Response, error) {
	a, err := h.local(ctx, j)
	if err == nil || !h.mayMove(ctx, j, err) {
		return a, err
	}
	b, ferr := h.remote(ctx, j)
	if ferr == nil {
		return b, nil
	}
	return a, worse(err, ferr)
}

// mayMove reports whether the request may be sent to another zone after the
// local end err.
func (h *Handler) mayMove(ctx context.Context, j *job, err error) bool {
	if j.hop || ctx.Err() != nil {
		return false
	}
	if j.sends == 0 && time.Until(j.deadline) < j.left/2 {
		// The queue has refused it at half of its deadline, which is when the
		// caller is to hear of it.
		return false
	}
	return carawayshift.KindOf(err) == carawayshift.NotRun || j.repeatable()
}

// worse returns the error that promises the caller less.
func worse(a, b error) error {
	if carawayshift.KindOf(a) == carawayshift.OutcomeUnknown {
		return a
	}
	return b
}

// local tries runners of this zone until one answers or no retry is left.
func (h *Handler) local(ctx context.Context, j *job) (*runner.Response, error) {
	var last error
	var failed *runner.Response
	for {
		c, err := h.choose(ctx, j)
		if err != nil {
			return h.give(failed, final(last, err))
		}
		a, err := h.attempt(ctx, j, c)
		if err == nil && !h.failed(j, a) {
			return a, nil
		}
		if err == nil {
			failed = a
		} else {
			last = worst(last, err)
		}
		if !h.again(ctx, j, err) {
			return h.give(failed, last)
		}
	}
}

// give prefers a runner's own failure answer to an error.
func (h *Handler) give(failed *runner.Response, err error) (*runner.Response, error) {
	if failed != nil {
		return failed, nil
	}
	return nil, err
}

// failed reports whether an answer is a failure that a repeatable request can
// avoid elsewhere.
func (h *Handler) failed(j *job, a *runner.Response) bool {
	return a.Status >= http.StatusInternalServerError && j.repeatable()
}

// notWhole stands for a failure answer while a retry is under way. The
// request was executed, so that nothing after it is a true not run.
func notWhole(a *runner.Response) error {
	return carawayshift.NewError(carawayshift.OutcomeUnknown, "a runner answered "+http.StatusText(a.Status), "send it again")
}

// worst keeps OutcomeUnknown once it has occurred.
func worst(last, err error) error {
	if last != nil && carawayshift.KindOf(last) == carawayshift.OutcomeUnknown {
		return last
	}
	return err
}

// final is the end of a request whose queueing ended with err after the send
// that ended with last.
func final(last, err error) error {
	if last != nil && carawayshift.KindOf(last) == carawayshift.OutcomeUnknown {
		return last
	}
	if carawayshift.KindOf(err) == carawayshift.NotRun {
		return err
	}
	return notRun("no slot became free: "+err.Error(), "send it again")
}

// again reports whether the request may be sent once more after the end err,
// and waits for the backoff.
func (h *Handler) again(ctx context.Context, j *job, err error) bool {
	unsent := err != nil && carawayshift.KindOf(err) == carawayshift.NotRun
	if !unsent && !j.repeatable() {
		return false
	}
	if j.sends >= maxSends || ctx.Err() != nil {
		return false
	}
	if !h.cfg.Budget.Withdraw() {
		h.stats.exhausted.Inc()
		return false
	}
	h.stats.retries.Inc()
	return pause(ctx, backoff(j.sends))
}

// choice is a runner that was chosen for one attempt.
type choice struct {
	runner       carawayshift.Runner
	done         func(error, time.Duration)
	alternatives int
	reason       string
}

// choose waits for a slot and takes it.
func (h *Handler) choose(ctx context.Context, j *job) (*choice, error) {
	if j.repeatable() && j.sends == 0 {
		if r, done, ok := h.cfg.Balancer.Probe(j.service, j.tried); ok {
			return &choice{r, done, 0, "probe"}, nil
		}
	}
	if h.cfg.Balancer.Usable(j.service, j.tried) == 0 {
		return nil, h.noRunner(j)
	}
	c := &choice{reason: "lower expected wait"}
	start := time.Now()
	err := h.cfg.Queue.Wait(ctx, queue.Entry{
		Service: j.service, Urgent: j.urgent, Deadline: j.deadline,
		Acquire: func() bool { return h.pick(j, c) },
	})
	h.stats.wait.Update(time.Since(start).Seconds())
	if err != nil {
		h.stats.shed.Inc()
		return nil, err
	}
	if c.done == nil {
		return nil, h.noRunner(j)
	}
	return c, nil
}

func (h *Handler) noRunner(j *job) error {
	return notRun("no runner of service "+j.service+" is left in zone "+h.cfg.Zone, "send it again later")
}

// pick takes a slot. It also ends the waiting when there is no runner to wait
// for.
func (h *Handler) pick(j *job, c *choice) bool {
	r, done, n, err := h.cfg.Balancer.Pick(j.service, j.tried)
	if err != nil {
		return h.cfg.Balancer.Usable(j.service, j.tried) == 0
	}
	c.runner, c.done, c.alternatives = r, done, n
	return true
}

// sending returns the context of a send. A keyed request that was sent goes on
// when its caller has gone, so that a resend finds the outcome. A repeatable
// one keeps half of its time for a retry.
func sending(ctx context.Context, j *job) (context.Context, context.CancelFunc) {
	if j.key != "" {
		return context.WithDeadline(context.WithoutCancel(ctx), j.deadline)
	}
	if j.repeatable() && j.sends < maxSends {
		return context.WithTimeout(ctx, time.Until(j.deadline)/2)
	}
	return context.WithCancel(ctx)
}

// attempt sends the request once.
func (h *Handler) attempt(ctx context.Context, j *job, c *choice) (*runner.Response, error) {
	if err := ctx.Err(); err != nil {
		c.done(context.Canceled, 0)
		return nil, notRun("the caller has gone", "")
	}
	h.log(j, c.runner.Name, c.reason, c.alternatives)
	if j.sends == 0 {
		h.cfg.Budget.Deposit()
	}
	j.sends++
	j.tried = append(j.tried, c.runner.Name)
	h.stats.sends.Inc()
	ctx, cancel := sending(ctx, j)
	defer cancel()
	start := time.Now()
	a, err := h.cfg.Pool.Send(ctx, c.runner, j.request(newID()))
	c.done(outcome(a, err), time.Since(start))
	if err == nil || carawayshift.KindOf(err) != carawayshift.NotRun {
		j.started++
	}
	return a, err
}

// outcome is what the balancer learns from an end. A caller that has gone says
// nothing about the runner.
func outcome(a *runner.Response, err error) error {
	switch {
	case errors.Is(err, context.Canceled):
		return context.Canceled
	case err != nil:
		return err
	case a.Status >= http.StatusInternalServerError:
		return notWhole(a)
	}
	return nil
}

func (h *Handler) log(j *job, to, reason string, alternatives int) {
	h.cfg.Log.WithFields(logrus.Fields{
		"request": j.id, "choice": to, "reason": reason, "alternatives": alternatives,
	}).Info("caller: routed")
}
