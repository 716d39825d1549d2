package idempotency

import (
	"context"

	"carawayshift.example/carawayshift"
)

const (
	methodPut     = "claim.put"
	methodGet     = "claim.get"
	methodFinish  = "claim.finish"
	methodDrop    = "claim.drop"
	methodRecords = "claim.records"
)

// wire is the body of claim.put, claim.get, claim.finish and claim.drop.
type wire struct {
	Key     string   `cbor:"1,keyasint"`
	Owner   string   `cbor:"2,keyasint,omitempty"`
	Print   uint64   `cbor:"3,keyasint,omitempty"`
	Outcome *Outcome `cbor:"4,keyasint,omitempty"`
}

// reply is a host's record of the key after the call. Owner is empty if there
// is none.
type reply struct {
	Owner   string   `cbor:"1,keyasint,omitempty"`
	Print   uint64   `cbor:"2,keyasint,omitempty"`
	Outcome *Outcome `cbor:"3,keyasint,omitempty"`
}

// handlePut records the first claim on a key. The grant is on disk, where
// there is one, before it is sent.
func (r *Registry) handlePut(_ context.Context, _ string, body []byte) ([]byte, error) {
	var q wire
	if err := carawayshift.Decode(body, &q); err != nil {
		return nil, err
	}
	rep, rec, err := r.put(q)
	if err != nil {
		return nil, err
	}
	if rec != nil {
		if err := r.sync(*rec); err != nil {
			return nil, err
		}
	}
	return carawayshift.Encode(rep)
}

// put returns the record to sync if the claim is new.
func (r *Registry) put(q wire) (reply, *record, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[q.Key]; rec != nil {
		return rec.reply(), nil, nil
	}
	if !r.ready {
		return reply{}, nil, unavailable("this host has restarted and collects the zone's claims", "send it again in a few seconds")
	}
	if _, ok := r.dropped[q.Owner]; ok {
		return reply{}, nil, unavailable("the claim was dropped before it arrived", "send it again")
	}
	if len(r.records) >= maxRecords {
		return reply{}, nil, unavailable("this host holds too many claims", "send it again later")
	}
	rec := &record{Key: q.Key, Owner: q.Owner, Print: q.Print, At: r.now()}
	r.records[q.Key] = rec
	return rec.reply(), rec, nil
}

func (rec *record) reply() reply {
	return reply{Owner: rec.Owner, Print: rec.Print, Outcome: rec.Outcome}
}

func (r *Registry) handleGet(_ context.Context, _ string, body []byte) ([]byte, error) {
	var q wire
	if err := carawayshift.Decode(body, &q); err != nil {
		return nil, err
	}
	r.mu.Lock()
	rep := reply{}
	if rec := r.records[q.Key]; rec != nil {
		rep = rec.reply()
	}
	r.mu.Unlock()
	return carawayshift.Encode(rep)
}

// handleFinish stores an outcome. Only an owner that had a majority sends one,
// so it replaces the grant of an owner that had not.
func (r *Registry) handleFinish(_ context.Context, _ string, body []byte) ([]byte, error) {
	var q wire
	if err := carawayshift.Decode(body, &q); err != nil {
		return nil, err
	}
	if err := r.sync(r.finish(q)); err != nil {
		return nil, err
	}
	return carawayshift.Encode(reply{Owner: q.Owner})
}

func (r *Registry) finish(q wire) record {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[q.Key]
	if rec != nil && rec.Outcome != nil {
		return *rec
	}
	at := r.now()
	if rec != nil {
		at = rec.At
	}
	rec = &record{Key: q.Key, Owner: q.Owner, Print: q.Print, Outcome: q.Outcome, At: at}
	if rec.Outcome == nil || r.stored+rec.size() > maxStoredTotal {
		rec.Outcome = &Outcome{Unknown: true}
	}
	r.stored += rec.size()
	r.records[q.Key] = rec
	return *rec
}

// handleDrop removes the claim of an owner that did not run.
func (r *Registry) handleDrop(_ context.Context, _ string, body []byte) ([]byte, error) {
	var q wire
	if err := carawayshift.Decode(body, &q); err != nil {
		return nil, err
	}
	if err := r.sync(r.drop(q)); err != nil {
		return nil, err
	}
	return carawayshift.Encode(reply{})
}

func (r *Registry) drop(q wire) record {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped[q.Owner] = now
	if rec := r.records[q.Key]; rec != nil && rec.Owner == q.Owner && rec.Outcome == nil {
		delete(r.records, q.Key)
	}
	return record{Key: q.Key, Owner: q.Owner, Dropped: true, At: now}
}

func unavailable(text, remedy string) error {
	return carawayshift.NewError(carawayshift.Unavailable, text, remedy)
}
