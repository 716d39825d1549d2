package caller

import (
	"context"
	"net/http"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/runner"
	"carawayshift.example/carawayshift/pkg/idempotency"
)

// claimed runs a keyed request if its claim is recorded, and otherwise returns
// the outcome of the first request with the key.
func (h *Handler) claimed(ctx context.Context, j *job) (*runner.Response, error) {
	if h.cfg.Claims == nil {
		return nil, notRun("this host takes no keyed requests", "send it to another host")
	}
	c, o, err := h.cfg.Claims.Claim(ctx, j.key, j.fingerprint())
	if err != nil {
		return nil, err
	}
	if o != nil {
		h.stats.replayed.Inc()
		return &runner.Response{Status: o.Status, Header: http.Header(o.Header), Body: o.Body}, nil
	}
	a, err := h.route(ctx, j)
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
