// Package leaderclient sends the requests of callers, operators and runners to
// the leader, from any host.
//
// # Usage
//
//	c := leaderclient.New(leaderclient.Config{Host: name, Transport: mesh, Seeds: seeds}) // on an entry host
//	c.Serve(handler, group)                                                               // also on control hosts
//	err := c.Submit(ctx, address, batch)
//
// A client learns the control hosts from its seeds and from each reply. It
// sends a request to the leader that the last reply named. If that fails, it
// tries the other control hosts in turn, which forward the request once.
// Requests are idempotent, so a request without a reply is sent again, and one that
// waits at a host that no longer leads is sent to the next leader.
//
// An entry host that reaches no control host sends its requests through another entry
// host, see ServeRelay. A leader copies the runners' reports that it receives itself to
// other control hosts, so that the next leader can recall them, see Recall.
package leaderclient

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
	"carawayshift.example/carawayshift/pkg/speed"
)

const (
	// attemptTimeout bounds one attempt; a commit across regions takes 0.1 s.
	attemptTimeout = time.Second
	// retryInterval is the pause between rounds of attempts while no leader is
	// known.
	retryInterval = 60 * time.Millisecond
	// memberTTL is how long a control host is tried after a reply last named
	// it.
	memberTTL = time.Minute
	// refreshInterval is the interval at which a host that sends no other
	// requests fetches the list of control hosts.
	refreshInterval = 2 * time.Second
)

// Local handles the requests on a control host.
type Local interface {
	carawayshift.BatchAPI
	carawayshift.ControlAPI
}

// Group returns the leader and the control hosts that this host knows.
type Group interface {
	Leader() (host string, term uint64)
	Hosts() []string
}

// Config configures a Client.
type Config struct {
	Host      string
	Transport carawayshift.Transport
	// Seeds returns the names of the control hosts to contact first.
	Seeds func() []string
	// Speeds holds the speeds of the runners on a control host that learns them, else nil.
	Speeds *speed.Estimator
	Logger logrus.FieldLogger
}

// Client implements carawayshift.BatchAPI and carawayshift.ControlAPI by
// sending each request to the leader.
type Client struct {
	cfg   Config
	local Local
	group Group
	// reports holds the reports that this control host has delivered to a
	// leader.
	reports *reportCache
	batcher *reportBatcher

	// asking is true while an attempt asks who leads, asked counts the questions,
	// unanswered the last control hosts in turn that did not answer.
	asking            atomic.Bool
	asked, unanswered atomic.Uint32

	mu sync.Mutex
	// leader is the leader of term, "" when it is not known.
	leader string
	term   uint64
	// known maps each control host to the time when a reply last named it.
	known       map[string]time.Time
	lastContact time.Time
	// relay is the entry host that passes on this host's requests while no control
	// host answers, or "". relays holds entry hosts that a control host has named.
	relay  string
	relays []string
	// callers maps each host that has called this control host to the last time.
	callers map[string]time.Time
	// speedsAt holds the time up to which each host has the speeds of the runners.
	speedsAt map[string]time.Time
}

var (
	_ carawayshift.BatchAPI   = (*Client)(nil)
	_ carawayshift.ControlAPI = (*Client)(nil)
)

// New returns a client. On control hosts, call Serve as well.
func New(cfg Config) *Client {
	if cfg.Logger == nil {
		cfg.Logger = logrus.StandardLogger()
	}
	c := &Client{cfg: cfg, known: map[string]time.Time{}, callers: map[string]time.Time{}, speedsAt: map[string]time.Time{}, reports: newReportCache()}
	c.batcher = &reportBatcher{send: c.sendReports}
	return c
}

// Serve makes this host handle the requests of other hosts' clients. It must be
// called before the transport starts to serve.
func (c *Client) Serve(local Local, g Group) {
	c.local, c.group = local, g
	c.cfg.Transport.Handle(method, c.handle)
}

// Run refreshes the list of control hosts, and copies reports to them while this host
// leads, until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	if c.group != nil {
		copies := &copier{reports: c.reports, hosts: c.otherMembers, send: c.sendCopies}
		wg.Go(func() { copies.run(ctx, c.leadsItself) })
	}
	for ctx.Err() == nil {
		if c.local == nil && time.Since(c.contactTime()) > refreshInterval {
			attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
			if _, err := c.call(attempt, request{Op: opMembers}); err != nil {
				c.cfg.Logger.WithError(err).WithField("event", "no leader").Warn("no leader can be reached through the known control hosts")
			}
			cancel()
		}
		c.reports.prune()
		c.probeControlHosts(ctx)
		pause.For(ctx, refreshInterval/4)
	}
	return nil
}

func (c *Client) contactTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastContact
}

// SinceContact returns the time since the leader last answered.
func (c *Client) SinceContact() time.Duration { return time.Since(c.contactTime()) }

// ControlHosts returns the control hosts that this host knows, the leader
// first.
func (c *Client) ControlHosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := map[string]bool{}
	for _, h := range c.cfg.Seeds() {
		hosts[h] = true
	}
	maps.DeleteFunc(c.known, func(_ string, at time.Time) bool { return time.Since(at) > memberTTL })
	for h := range c.known {
		hosts[h] = true
	}
	delete(hosts, c.leader)
	delete(hosts, c.cfg.Host)
	list := slices.Sorted(maps.Keys(hosts))
	if c.leader != "" && c.leader != c.cfg.Host {
		list = append([]string{c.leader}, list...)
	}
	return list
}

// call sends a request to the leader and tries the known control hosts until
// ctx ends. An error is final, or has kind NotRun when no attempt can have had
// an effect, or else OutcomeUnknown.
func (c *Client) call(ctx context.Context, q request) (reply, error) {
	unknown := false
	var last error
	for ctx.Err() == nil {
		_, term := c.currentLeader()
		replaced := false
		for _, host := range c.candidates(q) {
			a, err := c.sendToLeader(ctx, host, q)
			if err == nil {
				err = a.err()
			}
			if isFinal(err) {
				return a, finalError(q, err, unknown)
			}
			last = err
			unknown = unknown || carawayshift.KindOf(err) != carawayshift.NotRun
			relay := c.currentRelay()
			replaced = c.isReplaced(host, term) || !q.Relayed && relay != "" && relay != host
			if replaced || ctx.Err() != nil {
				break
			}
		}
		if !replaced {
			pause.For(ctx, retryInterval)
		}
	}
	if unknown {
		return reply{}, carawayshift.NewError(carawayshift.OutcomeUnknown, "the leader did not answer in time", "retry with the same id")
	}
	text := "no leader is known"
	if last != nil {
		text = last.Error()
	}
	return reply{}, carawayshift.NewError(carawayshift.NotRun, text, "try again in a second")
}

// finalError returns the error of a request. The refusal of a submission says
// nothing about an earlier attempt whose result is unknown: the queue or the key may
// have been removed after that attempt was accepted.
func finalError(q request, err error, unknown bool) error {
	if err == nil || !unknown || q.Op != opSubmit {
		return err
	}
	return carawayshift.NewError(carawayshift.OutcomeUnknown, "an earlier attempt may have been accepted; the last one was refused: "+err.Error(), "query the batch")
}

// isFinal reports whether another host could not give a different result.
func isFinal(err error) bool {
	switch carawayshift.KindOf(err) {
	case carawayshift.NotRun, carawayshift.OutcomeUnknown:
		return false
	case "":
		return err == nil
	}
	return true
}

// candidates returns the hosts to try, starting with this host if it is a
// control host, or with the relay if there is one.
func (c *Client) candidates(q request) []string {
	list := c.ControlHosts()
	if c.local != nil {
		return append([]string{c.cfg.Host}, list...)
	}
	if relay := c.currentRelay(); relay != "" && !q.Relayed {
		return append([]string{relay}, list...)
	}
	return list
}

func (c *Client) send(ctx context.Context, host string, q request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if host == c.cfg.Host {
		return c.executeLocal(ctx, q), nil
	}
	body, err := carawayshift.Encode(q)
	if err != nil {
		return reply{}, err
	}
	b, err := c.cfg.Transport.Call(ctx, host, method, body)
	if err != nil {
		c.forgetLeader(host)
		c.dropRelay(host)
		return reply{}, err
	}
	var a reply
	if err := carawayshift.Decode(b, &a); err != nil {
		return reply{}, err
	}
	c.learn(a)
	if a.Kind == carawayshift.NotRun {
		c.dropRelay(host)
	} else {
		c.mu.Lock()
		c.lastContact = time.Now()
		c.mu.Unlock()
	}
	return a, nil
}

// learn updates the leader and the control hosts from a reply. A leader of an older
// term than the known one is ignored: the host has not heard of the newest one.
func (c *Client) learn(a reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, h := range a.Members {
		c.known[h] = now
	}
	if len(a.Relays) > 0 {
		c.relays = a.Relays
	}
	if a.Leader == "" || a.Term != 0 && a.Term < c.term {
		return
	}
	if a.Leader != c.leader {
		c.cfg.Logger.WithFields(logrus.Fields{"event": "leader changed", "leader": a.Leader, "before": c.leader}).Info("learned of a new leader")
	}
	c.leader, c.term = a.Leader, a.Term
}

// forgetLeader removes a leader that does not respond, but keeps it among the
// known control hosts.
func (c *Client) forgetLeader(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == host {
		c.leader = ""
		c.known[host] = time.Now()
	}
}
