package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/runner"
)

// remote tries entry hosts of the region's other zones, then of one other
// region within the byte budget.
func (h *Handler) remote(ctx context.Context, j *job) (*runner.Answer, error) {
	near, far := h.zones()
	err := error(notRun("no zone can take the request", "send it again later"))
	for i, z := range near {
		a, e := h.forward(ctx, j, z, "other zone of the region", len(near)-i-1+len(far))
		if e == nil || !h.mayMove(ctx, j, e) {
			return a, e
		}
		err = worst(err, e)
	}
	for i, z := range far {
		if !h.far.take(float64(len(j.body)), time.Now()) {
			h.stats.farRefused.Inc()
			return nil, err
		}
		a, e := h.forward(ctx, j, z, "other region", len(far)-i-1)
		if a != nil {
			h.far.charge(float64(len(a.Body)))
		}
		if e == nil || !h.mayMove(ctx, j, e) {
			return a, e
		}
		err = worst(err, e)
	}
	return nil, err
}

// zones returns the other zones in service, of this region and of others, each
// in random order.
func (h *Handler) zones() (near, far []string) {
	zones := h.cfg.Zones()
	region := ""
	for _, z := range zones {
		if z.Name == h.cfg.Zone {
			region = z.Region
		}
	}
	for _, z := range zones {
		switch {
		case z.Name == h.cfg.Zone || z.Out:
		case z.Region == region:
			near = append(near, z.Name)
		default:
			far = append(far, z.Name)
		}
	}
	shuffle(near)
	shuffle(far)
	return near, far
}

func shuffle(s []string) {
	rand.Shuffle(len(s), func(i, k int) { s[i], s[k] = s[k], s[i] })
}

// forward sends the request to one entry host of a zone. The first send of a
// request is free; later ones are retries.
func (h *Handler) forward(ctx context.Context, j *job, zone, reason string, alternatives int) (*runner.Answer, error) {
	hosts := h.cfg.Entries(zone)
	if len(hosts) == 0 {
		return nil, notRun("zone "+zone+" has no entry host", "send it again later")
	}
	if j.sends == 0 {
		h.cfg.Budget.Deposit()
	} else if !h.cfg.Budget.Withdraw() {
		h.stats.exhausted.Inc()
		return nil, notRun("the retry budget is used up", "send it again later")
	} else {
		h.stats.retries.Inc()
	}
	j.sends++
	address := hosts[rand.IntN(len(hosts))]
	h.log(j, zone+"/"+address, reason, alternatives)
	h.stats.forwards.Inc()
	q := j.request(newID())
	q.Header = q.Header.Clone()
	q.Header.Set(headerHop, h.hopValue())
	q.Header.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(j.deadline).Milliseconds()), 10))
	ctx, cancel := sending(ctx, j)
	defer cancel()
	a, err := h.cfg.Pool.Send(ctx, carawayshift.Runner{Name: address, Address: address}, q)
	if err != nil {
		return nil, err
	}
	return unwrap(a)
}

func (h *Handler) hopValue() string {
	if h.cfg.HopToken != "" {
		return h.cfg.HopToken
	}
	return h.cfg.Zone
}

// unwrap turns a refusal of the other entry host into its error.
func unwrap(a *runner.Answer) (*runner.Answer, error) {
	kind := carawayshift.Kind(a.Header.Get(headerKind))
	if kind == "" {
		return a, nil
	}
	e := readFailure(a.Body)
	switch kind {
	case carawayshift.NotRun, carawayshift.Limited, carawayshift.Unavailable:
		return nil, notRun(e.Error, e.Remedy)
	}
	return nil, carawayshift.NewError(kind, e.Error, e.Remedy)
}

// statusOf maps kinds to HTTP status codes.
func statusOf(kind carawayshift.Kind) int {
	switch kind {
	case carawayshift.Malformed:
		return http.StatusBadRequest
	case carawayshift.TooLarge:
		return http.StatusRequestEntityTooLarge
	case carawayshift.Conflict:
		return http.StatusConflict
	case carawayshift.Limited:
		return http.StatusTooManyRequests
	case carawayshift.OutcomeUnknown:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
