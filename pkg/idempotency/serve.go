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

// claimRequest is the body of claim.put, claim.get, claim.finish and claim.drop.
type claimRequest struct {
	Key         string   `cbor:"1,keyasint"`
	Owner       string   `cbor:"2,keyasint,omitempty"`
	Fingerprint uint64   `cbor:"3,keyasint,omitempty"`
	Outcome     *Outcome `cbor:"4,keyasint,omitempty"`
}

// reply describes a host's record of the key after the call. Owner is empty if
// there is none.
type reply struct {
	Owner       string   `cbor:"1,keyasint,omitempty"`
	Fingerprint uint64   `cbor:"2,keyasint,omitempty"`
	Outcome     *Outcome `cbor:"3,keyasint,omitempty"`
}

// handlePut records the first claim on a key. The record is synced to disk, if
// there is one, before the reply is sent.
func (r *Registry) handlePut(_ context.Context, _ string, body []byte) ([]byte, error) {
	var q claimRequest
	if err := carawayshift.Decode(body, &q); err != nil {
		return nil, err
	}
	rep, rec, err := r.put(q)
	if err != nil {
		return nil, err
	}
	if rec != nil {
		if err := r.persist(*rec); err != nil {
			return nil, err
		}
	}
	return carawayshift.Encode(rep)
}

// put returns the record to persist if the claim is new.
func (r *Registry) put(q claimRequest) (reply, *record, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[q.Key]; rec != nil {
		return rec.reply(), nil, nil
	}
	if !r.ready {
		return reply{}, nil, unavailableError("this host has restarted and is still collecting the zone's claims", "retry in a few seconds")
	}
	if _, ok := r.tombstones[q.Owner]; ok {
		return reply{}, nil, unavailableError("the claim was dropped before it arrived", "retry")
	}
	if len(r.records) >= maxRecords {
		return reply{}, nil, unavailableError("this host stores too many claims", "retry later")
	}
	rec := &record{Key: q.Key, Owner: q.Owner, Fingerprint: q.Fingerprint, At: r.now()}
	r.records[q.Key] = rec
	return rec.reply(), rec, nil
}

func (rec *record) reply() reply {
	return reply{Owner: rec.Owner, Fingerprint: rec.Fingerprint, Outcome: rec.Outcome}
}

func (r *Registry) handleGet(_ context.Context, _ string, body []byte) ([]byte, error) {
	var q claimRequest
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

// handleFinish stores an outcome. Only an owner with a majority sends one, so it
// replaces the grant of an owner without a majority.
func (r *Registry) handleFinish(_ context.Context, _ string, body []byte) ([]byte, error) {
	var q claimRequest
	if err := carawayshift.Decode(body, &q); err != nil {
		return nil, err
	}
	if err := r.persist(r.finish(q)); err != nil {
		return nil, err
	}
	return carawayshift.Encode(reply{Owner: q.Owner})
}

func (r *Registry) finish(q claimRequest) record {
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
	rec = &record{Key: q.Key, Owner: q.Owner, Fingerprint: q.Fingerprint, Outcome: q.Outcome, At: at}
	if rec.Outcome == nil || r.storedBytes+rec.size() > maxTotalBodyBytes {
		rec.Outcome = &Outcome{Unknown: true}
	}
	r.storedBytes += rec.size()
	r.records[q.Key] = rec
	return *rec
}

// handleDrop removes the claim of an owner whose request did not run.
func (r *Registry) handleDrop(_ context.Context, _ string, body []byte) ([]byte, error) {
	var q claimRequest
	if err := carawayshift.Decode(body, &q); err != nil {
		return nil, err
	}
	if err := r.persist(r.drop(q)); err != nil {
		return nil, err
	}
	return carawayshift.Encode(reply{})
}

func (r *Registry) drop(q claimRequest) record {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tombstones[q.Owner] = now
	if rec := r.records[q.Key]; rec != nil && rec.Owner == q.Owner && rec.Outcome == nil {
		delete(r.records, q.Key)
	}
	return record{Key: q.Key, Owner: q.Owner, Dropped: true, At: now}
}

func unavailableError(text, remedy string) error {
	return carawayshift.NewError(carawayshift.Unavailable, text, remedy)
}
