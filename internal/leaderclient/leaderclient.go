// Package leaderclient brings the requests of callers, operators and runners to the
// leader, from any host.
//
// # Usage
//
//	r := leaderclient.New(leaderclient.Config{Host: name, Transport: mesh, Seeds: seeds}) // on an entry host
//	r.Serve(governor, group)                                                // also on control hosts
//	err := r.Submit(ctx, address, batch)
//
// A relay knows control hosts from its seeds and from each answer. A request
// goes to the leader of the last answer; when that fails, to the other control
// hosts in turn, which pass it on once. Requests are idempotent, so that one
// without an answer is sent again.
package leaderclient

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

const (
	// tryTimeout bounds one try; a commit that crosses regions takes 0.1 s.
	tryTimeout = time.Second
	// retryPause keeps tries apart while no leader is known.
	retryPause = 60 * time.Millisecond
	// memberLife is how long a control host is tried that no answer names.
	memberLife = time.Minute
	// refresh is the interval at which an idle host asks for the members.
	refresh = 2 * time.Second
)

// Local is the leader's side on a control host.
type Local interface {
	carawayshift.BatchAPI
	carawayshift.ControlAPI
}

// Group names the control hosts as this host knows them.
type Group interface {
	Leader() (host string, term uint64)
	Hosts() []string
}

// Config configures a Relay.
type Config struct {
	Host      string
	Transport carawayshift.Transport
	// Seeds returns the names of control hosts to begin with.
	Seeds  func() []string
	Logger logrus.FieldLogger
}

// Relay implements carawayshift.Intake and carawayshift.Governor.
type Relay struct {
	cfg   Config
	local Local
	group Group
	// sightings are the reports that this control host has passed on.
	sightings *sightings

	mu     sync.Mutex
	leader string
	// known maps control hosts to the time when an answer last named them.
	known map[string]time.Time
	heard time.Time
}

var (
	_ carawayshift.BatchAPI   = (*Relay)(nil)
	_ carawayshift.ControlAPI = (*Relay)(nil)
)

// New returns a relay.
func New(cfg Config) *Relay {
	if cfg.Logger == nil {
		cfg.Logger = logrus.StandardLogger()
	}
	return &Relay{cfg: cfg, known: map[string]time.Time{}, sightings: newSightings()}
}

// Serve makes this host answer the relays of others. It is called before the
// transport serves.
func (r *Relay) Serve(local Local, g Group) {
	r.local, r.group = local, g
	r.cfg.Transport.Handle(method, r.handle)
}

// Run keeps the list of control hosts fresh until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.local == nil && time.Since(r.lastHeard()) > refresh {
			step, cancel := context.WithTimeout(ctx, tryTimeout)
			if _, err := r.call(step, request{Op: opMembers}); err != nil {
				r.cfg.Logger.WithError(err).WithField("event", "no leader").Warn("no control host leads to the leader")
			}
			cancel()
		}
		r.sightings.prune()
		pause.For(ctx, refresh/4)
	}
	return nil
}

func (r *Relay) lastHeard() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heard
}

// Heard returns how long ago the leader last answered.
func (r *Relay) Heard() time.Duration { return time.Since(r.lastHeard()) }

// Known returns the control hosts that this host knows, the leader first.
func (r *Relay) Known() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := map[string]bool{}
	for _, h := range r.cfg.Seeds() {
		hosts[h] = true
	}
	maps.DeleteFunc(r.known, func(_ string, at time.Time) bool { return time.Since(at) > memberLife })
	for h := range r.known {
		hosts[h] = true
	}
	delete(hosts, r.leader)
	delete(hosts, r.cfg.Host)
	list := slices.Sorted(maps.Keys(hosts))
	if r.leader != "" && r.leader != r.cfg.Host {
		list = append([]string{r.leader}, list...)
	}
	return list
}

// call brings a request to the leader. The error is definite, or has kind
// NotRun when no try can have had an effect, or OutcomeUnknown.
func (r *Relay) call(ctx context.Context, q request) (reply, error) {
	unclear := false
	var last error
	for ctx.Err() == nil {
		for _, host := range r.targets() {
			a, err := r.ask(ctx, host, q)
			if err == nil {
				err = a.err()
			}
			if definite(err) {
				return a, err
			}
			last = err
			unclear = unclear || carawayshift.KindOf(err) != carawayshift.NotRun
			if ctx.Err() != nil {
				break
			}
		}
		pause.For(ctx, retryPause)
	}
	if unclear {
		return reply{}, carawayshift.NewError(carawayshift.OutcomeUnknown, "the leader did not answer in time", "ask again with the same id")
	}
	text := "no leader is known"
	if last != nil {
		text = last.Error()
	}
	return reply{}, carawayshift.NewError(carawayshift.NotRun, text, "try again in a second")
}

// definite tells whether asking another host could not change the answer.
func definite(err error) bool {
	switch carawayshift.KindOf(err) {
	case carawayshift.NotRun, carawayshift.OutcomeUnknown:
		return false
	case "":
		return err == nil
	}
	return true
}

// targets are the hosts to try: this one first if it may lead.
func (r *Relay) targets() []string {
	list := r.Known()
	if r.local != nil {
		return append([]string{r.cfg.Host}, list...)
	}
	return list
}

func (r *Relay) ask(ctx context.Context, host string, q request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	if host == r.cfg.Host {
		return r.answer(ctx, q), nil
	}
	body, err := carawayshift.Encode(q)
	if err != nil {
		return reply{}, err
	}
	b, err := r.cfg.Transport.Call(ctx, host, method, body)
	if err != nil {
		r.failed(host)
		return reply{}, err
	}
	var a reply
	if err := carawayshift.Decode(b, &a); err != nil {
		return reply{}, err
	}
	r.note(a)
	return a, nil
}

// note learns the leader and the control hosts from an answer.
func (r *Relay) note(a reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, h := range a.Members {
		r.known[h] = now
	}
	if a.Kind != carawayshift.NotRun {
		r.heard = now
	}
	if a.Leader != "" && a.Leader != r.leader {
		r.cfg.Logger.WithFields(logrus.Fields{"event": "leader changed", "leader": a.Leader, "before": r.leader}).Info("another leader is known")
		r.leader = a.Leader
	}
}

// failed forgets a leader that does not answer.
func (r *Relay) failed(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader == host {
		r.leader = ""
		r.known[host] = time.Now()
	}
}
