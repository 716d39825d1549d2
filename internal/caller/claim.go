package caller

import (
	"context"
	"net/http"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/runner"
	"carawayshift.example/carawayshift/pkg/idempotency"
)

// runWithClaim executes a request with an idempotency key if its claim is
// recorded, and otherwise returns the outcome of the first request with that
// key.
func (h *Handler) runWithClaim(ctx context.Context, r *request) (*runner.Response, error) {
	if h.cfg.Claims == nil {
		return nil, notRun("this host does not accept requests with an idempotency key", "send it to another host")
	}
	c, o, err := h.cfg.Claims.Claim(ctx, r.key, r.fingerprint())
	if err != nil {
		return nil, err
	}
	if o != nil {
		h.stats.replayed.Inc()
		return &runner.Response{Status: o.Status, Header: http.Header(o.Header), Body: o.Body}, nil
	}
	a, err := h.route(ctx, r)
	switch {
	case err == nil:
		c.Finish(ctx, idempotency.Outcome{Status: a.Status, Header: a.Header, Body: a.Body})
	case carawayshift.KindOf(err) == carawayshift.NotRun:
		c.Drop(ctx)
	default:
		c.Finish(ctx, idempotency.Outcome{Unknown: true})
	}
	return a, err
}
