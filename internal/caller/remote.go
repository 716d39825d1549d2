package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/runner"
)

// maxFreeForwards is the number of forwards that are not withdrawn from the
// retry budget while no byte of the request has left this host. It allows for
// two entry hosts of one zone.
const maxFreeForwards = 2

// tryOtherZones sends the request to entry hosts of the other zones of this
// region, then to those of one other region within the byte budget.
func (h *Handler) tryOtherZones(ctx context.Context, r *request) (*runner.Response, error) {
	sameRegion, otherRegions := h.otherZones()
	err := error(notRun("no zone can take the request", "send it again later"))
	for i, z := range sameRegion {
		a, e := h.forward(ctx, r, z, "other zone of the region", len(sameRegion)-i-1+len(otherRegions))
		if e == nil || !h.mayForward(ctx, r, e) {
			return a, e
		}
		err = keepUnknown(err, e)
	}
	for i, z := range otherRegions {
		if !h.crossRegion.take(float64(len(r.body)), time.Now()) {
			h.stats.crossRegionRefused.Inc()
			return nil, err
		}
		a, e := h.forward(ctx, r, z, "other region", len(otherRegions)-i-1)
		if a != nil {
			h.crossRegion.charge(float64(len(a.Body)))
		}
		if e == nil || !h.mayForward(ctx, r, e) {
			return a, e
		}
		err = keepUnknown(err, e)
	}
	return nil, err
}

// otherZones returns the other zones in service, those of this region and those
// of other regions, each in random order.
func (h *Handler) otherZones() (sameRegion, otherRegions []string) {
	zones := h.cfg.Zones()
	region := ""
	for _, z := range zones {
		if z.Name == h.cfg.Zone {
			region = z.Region
		}
	}
	for _, z := range zones {
		switch {
		case z.Name == h.cfg.Zone || z.Drained:
		case z.Region == region:
			sameRegion = append(sameRegion, z.Name)
		default:
			otherRegions = append(otherRegions, z.Name)
		}
	}
	shuffle(sameRegion)
	shuffle(otherRegions)
	return sameRegion, otherRegions
}

func shuffle(s []string) {
	rand.Shuffle(len(s), func(i, k int) { s[i], s[k] = s[k], s[i] })
}

// forward sends the request to an entry host of a zone, and to a second one if
// the first can't be reached.
func (h *Handler) forward(ctx context.Context, r *request, zone, reason string, alternatives int) (*runner.Response, error) {
	hosts := slices.Clone(h.cfg.EntryHosts(zone))
	if len(hosts) == 0 {
		return nil, notRun("zone "+zone+" has no entry host", "send it again later")
	}
	shuffle(hosts)
	before := r.maybeSent
	a, err := h.forwardTo(ctx, r, zone, hosts[0], reason, alternatives)
	reached := r.maybeSent > before || errors.Is(err, errNoRunner)
	if err != nil && !reached && len(hosts) > 1 && h.mayForward(ctx, r, err) {
		return h.forwardTo(ctx, r, zone, hosts[1], "first entry host not reached", alternatives)
	}
	return a, err
}

// forwardTo sends the request to one entry host. It withdraws nothing from the
// retry budget if no byte of the request has left this host: when all runners of
// a zone fail at once, the budget is too small for all requests whose connection
// is refused, and the next zone gets each of them once. A zone without runners counts
// like one that was not reached.
func (h *Handler) forwardTo(ctx context.Context, r *request, zone, address, reason string, alternatives int) (*runner.Response, error) {
	if !h.withdrawForward(r) {
		return nil, notRun("the retry budget is used up", "send it again later")
	}
	r.sends++
	r.forwards++
	h.log(r, zone+"/"+address, reason, alternatives)
	h.stats.forwards.Inc()
	q := r.runnerRequest(newID())
	q.Header = q.Header.Clone()
	q.Header.Set(headerHop, h.hopValue())
	q.Header.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(r.deadline).Milliseconds()), 10))
	ctx, cancel := sendContext(ctx, r)
	defer cancel()
	a, err := h.cfg.Pool.Send(ctx, carawayshift.Runner{Name: address, Address: address}, q)
	if err == nil && !hasNoRunner(a) || err != nil && carawayshift.KindOf(err) != carawayshift.NotRun {
		r.maybeSent++
	}
	if err != nil {
		return nil, err
	}
	return parseForwarded(a)
}

// withdrawForward withdraws a forward from the retry budget and reports whether
// it may be sent. While no byte of the request has left this host, the first
// maxFreeForwards are free; a free one that is the request's first send adds a
// deposit to the budget.
func (h *Handler) withdrawForward(r *request) bool {
	if r.maybeSent == 0 && r.forwards < maxFreeForwards {
		if r.sends == 0 {
			h.cfg.Budget.Deposit()
		}
		return true
	}
	if !h.cfg.Budget.Withdraw() {
		h.stats.exhausted.Inc()
		return false
	}
	h.stats.retries.Inc()
	return true
}

func (h *Handler) hopValue() string {
	if h.cfg.HopToken != "" {
		return h.cfg.HopToken
	}
	return h.cfg.Zone
}

// hasNoRunner reports whether the other entry host refused because it knows no runner of
// the service.
func hasNoRunner(a *runner.Response) bool {
	return carawayshift.Kind(a.Header.Get(headerKind)) == carawayshift.NotRun && a.Header.Get(headerNoRunner) != ""
}

// parseForwarded converts a refusal by the other entry host to an error.
func parseForwarded(a *runner.Response) (*runner.Response, error) {
	kind := carawayshift.Kind(a.Header.Get(headerKind))
	if kind == "" {
		return a, nil
	}
	e := parseRefusal(a.Body)
	switch kind {
	case carawayshift.NotRun, carawayshift.Limited, carawayshift.Unavailable:
		err := error(notRun(e.Error, e.Remedy))
		if hasNoRunner(a) {
			err = errors.Mark(err, errNoRunner)
		}
		return nil, err
	case carawayshift.Malformed, carawayshift.TooLarge, carawayshift.Conflict:
		return nil, carawayshift.NewError(kind, e.Error, e.Remedy)
	}
	return nil, carawayshift.NewError(carawayshift.OutcomeUnknown, e.Error, e.Remedy)
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
