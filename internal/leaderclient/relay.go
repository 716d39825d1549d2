package leaderclient

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

const (
	// relayNames is the number of entry hosts that a control host names in a reply.
	relayNames = 3
	// callerTTL is how long a control host names an entry host that has called it.
	callerTTL = 10 * time.Second
	// relayTimeout bounds the question to a relay, which asks a control host in turn.
	relayTimeout = 2 * askTimeout
)

// ServeRelay makes this entry host pass on the requests of entry hosts that reach no
// control host, for example behind a cut link. It must be called before the transport
// starts to serve.
func (c *Client) ServeRelay() { c.cfg.Transport.Handle(method, c.handleRelayed) }

// handleRelayed answers another entry host.
func (c *Client) handleRelayed(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var q request
	if err := carawayshift.Decode(body, &q); err != nil {
		return nil, err
	}
	a, err := c.executeRelayed(ctx, q)
	if err != nil {
		a = errorReply(err)
	}
	a.Leader, a.Term = c.currentLeader()
	return carawayshift.Encode(a)
}

func (c *Client) executeRelayed(ctx context.Context, q request) (reply, error) {
	if q.Op == opMembers {
		if c.currentRelay() != "" || !c.askOnce(ctx, "") {
			return reply{}, carawayshift.NewError(carawayshift.NotRun, "this host reaches no control host either", "ask another host")
		}
		return reply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	q.Relayed, q.Forwarded = true, false
	return c.call(ctx, q)
}

// currentRelay returns the entry host that passes on this host's requests, or "".
func (c *Client) currentRelay() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay
}

// setRelay selects the entry host that passes on this host's requests; "" ends that.
func (c *Client) setRelay(host, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relay == host {
		return
	}
	c.relay = host
	text := "sending requests through another entry host"
	if host == "" {
		text = "sending requests to the control hosts again"
	}
	c.cfg.Logger.WithFields(logrus.Fields{"event": "relay changed", "relay": host, "reason": reason}).Info(text)
}

// dropRelay stops using a relay that did not answer.
func (c *Client) dropRelay(host string) {
	if c.currentRelay() == host {
		c.setRelay("", "it does not answer")
	}
}

// nextRelay returns one of the known entry hosts, in turn, or "".
func (c *Client) nextRelay() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.relays) == 0 {
		return ""
	}
	return c.relays[int(c.asked.Add(1))%len(c.relays)]
}

// findRelay asks an entry host whether it reaches the leader, and uses it if it does.
func (c *Client) findRelay(ctx context.Context) {
	host := c.nextRelay()
	if host != "" && c.ask(ctx, host, relayTimeout) {
		c.setRelay(host, "no control host answers")
	}
}

// probeControlHosts ends the use of a relay once a control host answers.
func (c *Client) probeControlHosts(ctx context.Context) {
	if c.currentRelay() != "" && c.askOnce(ctx, "") {
		c.setRelay("", "a control host answers")
	}
}

// addCaller records that a host has called this control host.
func (c *Client) addCaller(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callers[host] = time.Now()
}

// relayHosts returns some hosts that have called this control host recently, without
// the one that asks and without control hosts.
func (c *Client) relayHosts(asking string, members []string) (list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, at := range c.callers { // in random order
		switch {
		case time.Since(at) > callerTTL:
			delete(c.callers, host)
		case host != asking && !slices.Contains(members, host):
			list = append(list, host)
		}
		if len(list) == relayNames {
			break
		}
	}
	return list
}
