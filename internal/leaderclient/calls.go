package leaderclient

import (
	"context"

	"carawayshift.example/carawayshift"
)

// Submit implements carawayshift.Intake.
func (r *Relay) Submit(ctx context.Context, at carawayshift.Address, b carawayshift.Batch) error {
	_, err := r.call(ctx, request{Op: opSubmit, At: at, Batch: &b})
	return err
}

// State implements carawayshift.Intake.
func (r *Relay) State(ctx context.Context, at carawayshift.Address) (carawayshift.BatchState, error) {
	a, err := r.call(ctx, request{Op: opState, At: at})
	return a.State, err
}

// Cancel implements carawayshift.Intake.
func (r *Relay) Cancel(ctx context.Context, at carawayshift.Address) error {
	_, err := r.call(ctx, request{Op: opCancel, At: at})
	return err
}

// Waiting implements carawayshift.Intake.
func (r *Relay) Waiting(ctx context.Context, at carawayshift.Address) (int, error) {
	a, err := r.call(ctx, request{Op: opWaiting, At: at})
	return a.Count, err
}

// Replace implements carawayshift.Governor.
func (r *Relay) Replace(ctx context.Context, c carawayshift.Catalog) error {
	_, err := r.call(ctx, request{Op: opReplace, Catalog: &c})
	return err
}

// Catalog implements carawayshift.Governor.
func (r *Relay) Catalog(ctx context.Context) ([]byte, error) {
	a, err := r.call(ctx, request{Op: opCatalog})
	return a.Source, err
}

// SetZone implements carawayshift.Governor.
func (r *Relay) SetZone(ctx context.Context, zone string, out bool) error {
	_, err := r.call(ctx, request{Op: opZone, Name: zone, Out: out})
	return err
}

// Report implements carawayshift.Governor.
func (r *Relay) Report(ctx context.Context, a carawayshift.Agent) error {
	_, err := r.call(ctx, request{Op: opReport, Agent: &a})
	if err == nil && r.local != nil {
		r.sightings.note(a)
	}
	return err
}

// Leave implements carawayshift.Governor.
func (r *Relay) Leave(ctx context.Context, id string) error {
	_, err := r.call(ctx, request{Op: opLeave, Name: id})
	if err == nil {
		r.sightings.drop(id)
	}
	return err
}

// StartWave implements carawayshift.Governor.
func (r *Relay) StartWave(ctx context.Context, w carawayshift.Wave) error {
	_, err := r.call(ctx, request{Op: opWave, Wave: &w})
	return err
}

// WaveComplete implements carawayshift.Governor.
func (r *Relay) WaveComplete(ctx context.Context, id int) (bool, error) {
	a, err := r.call(ctx, request{Op: opWaved, Wave: &carawayshift.Wave{ID: id}})
	return a.Count > 0, err
}

// handle answers another host's relay. A host that does not lead passes the
// request on once.
func (r *Relay) handle(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var q request
	if err := carawayshift.Decode(body, &q); err != nil {
		return nil, err
	}
	a := r.answer(ctx, q)
	leader, _ := r.group.Leader()
	if a.Kind == carawayshift.NotRun && !q.Passed && leader != "" && leader != r.cfg.Host {
		q.Passed = true
		passed, err := r.ask(ctx, leader, q)
		switch {
		case err == nil:
			a = passed
		case carawayshift.KindOf(err) != carawayshift.NotRun:
			a = failure(err)
		}
	}
	if a.Leader == "" {
		a.Leader = leader
	}
	a.Members = r.group.Hosts()
	return carawayshift.Encode(a)
}

// answer carries a request out on this host, if it leads.
func (r *Relay) answer(ctx context.Context, q request) reply {
	a, err := r.execute(ctx, q)
	if err != nil {
		return failure(err)
	}
	a.Leader, _ = r.group.Leader()
	return a
}

func (r *Relay) execute(ctx context.Context, q request) (a reply, err error) {
	switch {
	case q.Op == opSubmit && q.Batch != nil:
		err = r.local.Submit(ctx, q.At, *q.Batch)
	case q.Op == opState:
		a.State, err = r.local.State(ctx, q.At)
	case q.Op == opCancel:
		err = r.local.Cancel(ctx, q.At)
	case q.Op == opWaiting:
		a.Count, err = r.local.Waiting(ctx, q.At)
	case q.Op == opReplace && q.Catalog != nil:
		err = r.local.Replace(ctx, *q.Catalog)
	case q.Op == opCatalog:
		a.Source, err = r.local.Catalog(ctx)
	case q.Op == opZone:
		err = r.local.SetZone(ctx, q.Name, q.Out)
	case q.Op == opReport && q.Agent != nil:
		err = r.local.Report(ctx, *q.Agent)
	case q.Op == opLeave:
		err = r.local.Leave(ctx, q.Name)
	case q.Op == opWave && q.Wave != nil:
		err = r.local.StartWave(ctx, *q.Wave)
	case q.Op == opWaved && q.Wave != nil:
		var done bool
		done, err = r.local.WaveComplete(ctx, q.Wave.ID)
		if done {
			a.Count = 1
		}
	case q.Op == opMembers:
	case q.Op == opRecall:
		a.Sightings = r.sightings.list()
	default:
		err = carawayshift.NewError(carawayshift.Malformed, "operation "+q.Op+" is unknown or incomplete", "run the same release on all hosts")
	}
	return a, err
}

func failure(err error) reply {
	e := carawayshift.AsError(err, carawayshift.OutcomeUnknown, "ask again with the same id")
	return reply{Kind: e.Kind, Text: e.Text, Remedy: e.Remedy}
}
