package leaderclient

import (
	"context"
	"time"

	"carawayshift.example/carawayshift"
)

// Submit implements carawayshift.BatchAPI.
func (c *Client) Submit(ctx context.Context, at carawayshift.Address, b carawayshift.Batch) error {
	_, err := c.call(ctx, request{Op: opSubmit, At: at, Batch: &b})
	return err
}

// State implements carawayshift.BatchAPI.
func (c *Client) State(ctx context.Context, at carawayshift.Address) (carawayshift.BatchState, error) {
	a, err := c.call(ctx, request{Op: opState, At: at})
	return a.State, err
}

// Cancel implements carawayshift.BatchAPI.
func (c *Client) Cancel(ctx context.Context, at carawayshift.Address) error {
	_, err := c.call(ctx, request{Op: opCancel, At: at})
	return err
}

// Waiting implements carawayshift.BatchAPI.
func (c *Client) Waiting(ctx context.Context, at carawayshift.Address) (int, error) {
	a, err := c.call(ctx, request{Op: opWaiting, At: at})
	return a.Count, err
}

// Replace implements carawayshift.ControlAPI.
func (c *Client) Replace(ctx context.Context, catalog carawayshift.Catalog) error {
	_, err := c.call(ctx, request{Op: opReplace, Catalog: &catalog})
	return err
}

// Catalog implements carawayshift.ControlAPI.
func (c *Client) Catalog(ctx context.Context) ([]byte, error) {
	a, err := c.call(ctx, request{Op: opCatalog})
	return a.Source, err
}

// SetZone implements carawayshift.ControlAPI.
func (c *Client) SetZone(ctx context.Context, zone string, out bool) error {
	_, err := c.call(ctx, request{Op: opZone, Name: zone, Out: out})
	return err
}

// Report implements carawayshift.ControlAPI. A control host keeps the reports
// that the leader accepted, so that the next leader can recall them.
func (c *Client) Report(ctx context.Context, a carawayshift.Agent) error {
	var err error
	if c.leadsItself() {
		_, err = c.call(ctx, request{Op: opReport, Agent: &a})
	} else {
		err = c.batcher.add(ctx, a)
	}
	if err == nil && c.local != nil {
		c.reports.add(a)
	}
	return err
}

// leadsItself reports whether this host is the leader.
func (c *Client) leadsItself() bool {
	if c.group == nil {
		return false
	}
	leader, _ := c.group.Leader()
	return leader == c.cfg.Host
}

// Leave implements carawayshift.ControlAPI.
func (c *Client) Leave(ctx context.Context, id string, incarnation int64) error {
	_, err := c.call(ctx, request{Op: opLeave, Name: id, Incarnation: incarnation})
	if err == nil && c.local != nil {
		c.reports.markLeft(id, incarnation)
	}
	return err
}

// StartWave implements carawayshift.ControlAPI.
func (c *Client) StartWave(ctx context.Context, w carawayshift.Wave) error {
	_, err := c.call(ctx, request{Op: opWave, Wave: &w})
	return err
}

// WaveComplete implements carawayshift.ControlAPI.
func (c *Client) WaveComplete(ctx context.Context, id int) (bool, error) {
	a, err := c.call(ctx, request{Op: opWaveComplete, Wave: &carawayshift.Wave{ID: id}})
	return a.Count > 0, err
}

// handle answers the client of another host. A host that does not lead forwards
// the request to the leader once.
func (c *Client) handle(ctx context.Context, from string, body []byte) ([]byte, error) {
	var q request
	if err := carawayshift.Decode(body, &q); err != nil {
		return nil, err
	}
	c.addCaller(from)
	a := c.executeLocal(ctx, q)
	leader, term := c.group.Leader()
	if a.Kind == carawayshift.NotRun && !q.Forwarded && leader != "" && leader != c.cfg.Host {
		q.Forwarded = true
		forwarded, err := c.sendToLeader(ctx, leader, q)
		switch {
		case err == nil:
			a = forwarded
		case carawayshift.KindOf(err) != carawayshift.NotRun:
			a = errorReply(err)
		}
	}
	if a.Leader == "" {
		a.Leader, a.Term = leader, term
	}
	a.Members = c.group.Hosts()
	a.Relays = c.relayHosts(from, a.Members)
	return carawayshift.Encode(a)
}

// executeLocal executes a request on this host. It fails with kind NotRun if
// the host does not lead.
func (c *Client) executeLocal(ctx context.Context, q request) reply {
	a, err := c.execute(ctx, q)
	if err != nil {
		return errorReply(err)
	}
	a.Leader, a.Term = c.group.Leader()
	return a
}

func (c *Client) execute(ctx context.Context, q request) (a reply, err error) {
	switch {
	case q.Op == opSubmit && q.Batch != nil:
		err = c.local.Submit(ctx, q.At, *q.Batch)
	case q.Op == opState:
		a.State, err = c.local.State(ctx, q.At)
	case q.Op == opCancel:
		err = c.local.Cancel(ctx, q.At)
	case q.Op == opWaiting:
		a.Count, err = c.local.Waiting(ctx, q.At)
	case q.Op == opReplace && q.Catalog != nil:
		err = c.local.Replace(ctx, *q.Catalog)
	case q.Op == opCatalog:
		a.Source, err = c.local.Catalog(ctx)
	case q.Op == opZone:
		err = c.local.SetZone(ctx, q.Name, q.Out)
	case q.Op == opReport && q.Agent != nil:
		err = c.local.Report(ctx, *q.Agent)
	case q.Op == opReports:
		for i := 0; err == nil && i < len(q.Agents); i++ {
			err = c.local.Report(ctx, q.Agents[i])
		}
	case q.Op == opLeave:
		err = c.local.Leave(ctx, q.Name, q.Incarnation)
	case q.Op == opWave && q.Wave != nil:
		err = c.local.StartWave(ctx, *q.Wave)
	case q.Op == opWaveComplete && q.Wave != nil:
		var complete bool
		complete, err = c.local.WaveComplete(ctx, q.Wave.ID)
		if complete {
			a.Count = 1
		}
	case q.Op == opMembers:
	case q.Op == opRecall:
		a.Reports = c.reports.list()
		a.Speeds = c.knownSpeeds(time.Time{})
	case q.Op == opKeep:
		for _, x := range q.Reports {
			c.reports.keep(x)
		}
		c.restoreSpeeds(q.Speeds)
	default:
		err = carawayshift.NewError(carawayshift.Malformed, "operation "+q.Op+" is unknown or incomplete", "run the same release on all hosts")
	}
	return a, err
}

func errorReply(err error) reply {
	e := carawayshift.AsError(err, carawayshift.OutcomeUnknown, "retry with the same id")
	return reply{Kind: e.Kind, Text: e.Text, Remedy: e.Remedy}
}
