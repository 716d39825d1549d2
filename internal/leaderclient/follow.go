package leaderclient

import (
	"context"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

const (
	// silenceLimit is how long an attempt may stay unanswered before this host asks
	// who leads. A commit across regions takes 0.1 s.
	silenceLimit = 250 * time.Millisecond
	// askInterval is the pause between questions while attempts are unanswered,
	// askTimeout bounds one question.
	askInterval = 50 * time.Millisecond
	askTimeout  = 150 * time.Millisecond
)

// sendToLeader sends a request to a host that is taken for the leader, that forwards to
// it, or that is the relay. It gives up early if another host is found to be the one to
// send to.
func (c *Client) sendToLeader(ctx context.Context, host string, q request) (reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if host != c.cfg.Host && host != c.currentRelay() {
		_, term := c.currentLeader()
		timer := time.AfterFunc(silenceLimit, func() { c.follow(ctx, host, term, !q.Relayed, cancel) })
		defer timer.Stop()
	}
	return c.send(ctx, host, q)
}

// follow withdraws an attempt at a host that does not answer, by calling cancel, once
// another host leads in a later term than the one known before the attempt: requests
// are idempotent, and so wait no longer than the election takes. If no control host
// answers, it looks for a relay, unless the request comes from another entry host. It
// returns when ctx ends.
func (c *Client) follow(ctx context.Context, host string, term uint64, mayRelay bool, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		if c.isReplaced(host, term) || mayRelay && c.currentRelay() != "" {
			cancel()
			return
		}
		if c.group == nil {
			c.seekLeader(ctx, host, mayRelay)
		}
		pause.For(ctx, askInterval)
	}
}

// isReplaced reports whether another host than the given one is known to lead in a later
// term.
func (c *Client) isReplaced(host string, term uint64) bool {
	leader, now := c.currentLeader()
	return now > term && leader != "" && leader != host
}

// currentLeader returns the leader that this host knows, or "", and its term. A control
// host learns of it from its group, other hosts from replies.
func (c *Client) currentLeader() (leader string, term uint64) {
	if c.group != nil {
		if leader, term = c.group.Leader(); leader != "" {
			return leader, term
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.term
}

// seekLeader asks a control host other than the silent one who leads, unless another
// attempt of this host is asking. After two control hosts in turn have not answered
// either, it looks for a relay.
func (c *Client) seekLeader(ctx context.Context, silent string, mayRelay bool) {
	if !c.asking.CompareAndSwap(false, true) {
		return
	}
	defer c.asking.Store(false)
	if c.askOnce(ctx, silent) {
		c.unanswered.Store(0)
		return
	}
	if c.unanswered.Add(1) >= 2 && mayRelay {
		c.findRelay(ctx)
	}
}

// askOnce asks the next control host other than the silent one, and reports whether it
// answered.
func (c *Client) askOnce(ctx context.Context, silent string) bool {
	hosts := slices.DeleteFunc(c.ControlHosts(), func(h string) bool { return h == silent })
	return len(hosts) > 0 && c.ask(ctx, hosts[int(c.asked.Add(1))%len(hosts)], askTimeout)
}

// ask asks a host who leads, and reports whether it answered and can pass requests on.
func (c *Client) ask(ctx context.Context, host string, timeout time.Duration) bool {
	body, err := carawayshift.Encode(request{Op: opMembers, Forwarded: true})
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	b, err := c.cfg.Transport.Call(ctx, host, method, body)
	var a reply
	if err != nil || carawayshift.Decode(b, &a) != nil {
		return false
	}
	c.learn(a)
	return a.Kind == ""
}
