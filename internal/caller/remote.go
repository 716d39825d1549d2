package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/runner"
)

// maxFreeMoves is the number of forwards that cost no retry while no byte of the
// request has left this host: two entry hosts of one zone.
const maxFreeMoves = 2

// remote tries entry hosts of the region's other zones, then of one other
// region within the byte budget.
func (h *Handler) remote(ctx context.Context, j *job) (*runner.Response, error) {
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
		case z.Name == h.cfg.Zone || z.Drained:
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

// forward sends the request to an entry host of a zone, and to a second one if
// the first can't be reached.
func (h *Handler) forward(ctx context.Context, j *job, zone, reason string, alternatives int) (*runner.Response, error) {
	hosts := slices.Clone(h.cfg.EntryHosts(zone))
	if len(hosts) == 0 {
		return nil, notRun("zone "+zone+" has no entry host", "send it again later")
	}
	shuffle(hosts)
	before := j.started
	a, err := h.forwardTo(ctx, j, zone, hosts[0], reason, alternatives)
	if err != nil && j.started == before && len(hosts) > 1 && h.mayMove(ctx, j, err) {
		return h.forwardTo(ctx, j, zone, hosts[1], "first entry host not reached", alternatives)
	}
	return a, err
}

// forwardTo sends the request to one entry host. It costs no retry if no
// byte of the request has left this host: when all runners of a zone die at
// once, the budget does not last for the requests that meet a refused
// connection, and the next zone gets each of them once.
func (h *Handler) forwardTo(ctx context.Context, j *job, zone, address, reason string, alternatives int) (*runner.Response, error) {
	if !h.payMove(j) {
		return nil, notRun("the retry budget is used up", "send it again later")
	}
	j.sends++
	j.moves++
	h.log(j, zone+"/"+address, reason, alternatives)
	h.stats.forwards.Inc()
	q := j.request(newID())
	q.Header = q.Header.Clone()
	q.Header.Set(headerHop, h.hopValue())
	q.Header.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(j.deadline).Milliseconds()), 10))
	ctx, cancel := sending(ctx, j)
	defer cancel()
	a, err := h.cfg.Pool.Send(ctx, carawayshift.Runner{Name: address, Address: address}, q)
	if err == nil || carawayshift.KindOf(err) != carawayshift.NotRun {
		j.started++
	}
	if err != nil {
		return nil, err
	}
	return unwrap(a)
}

// payMove takes a forward from the retry budget unless it is the first send.
func (h *Handler) payMove(j *job) bool {
	if j.started == 0 && j.moves < maxFreeMoves {
		if j.sends == 0 {
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

// unwrap turns a refusal of the other entry host into its error.
func unwrap(a *runner.Response) (*runner.Response, error) {
	kind := carawayshift.Kind(a.Header.Get(headerKind))
	if kind == "" {
		return a, nil
	}
	e := readFailure(a.Body)
	switch kind {
	case carawayshift.NotRun, carawayshift.Limited, carawayshift.Unavailable:
		return nil, notRun(e.Error, e.Remedy)
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
