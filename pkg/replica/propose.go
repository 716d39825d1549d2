package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/journal"
)

const (
	// maxCommandBytes limits the size of one command. The largest commands
	// carry the state of 2,300 workers, about 250 KB.
	maxCommandBytes = 4 << 20
	maxQueued       = 4096
	// maxNonces is the number of forwarded commands that are remembered for
	// deduplication. At 100 commands a second they cover 40 s, longer than a
	// message can be in flight.
	maxNonces = 4096
	// Limits of one batch, which is written as one record with one sync.
	maxBatchEntries = 1024
	maxBatchBytes   = 4 << 20
)

// proposal is an entry that waits to be appended, committed and applied.
type proposal struct {
	ctx  context.Context
	kind uint8
	data []byte
	// build, if set, returns the data when the entry is about to be appended.
	// It is called with r.mu held.
	build func() ([]byte, error)
	// only is the term in which the entry may be appended, 0 for any.
	only  uint64
	term  uint64
	once  sync.Once
	ended chan struct{}
	// result and err are valid once ended is closed.
	result []byte
	err    error
}

func newProposal(ctx context.Context, kind uint8, data []byte) *proposal {
	return &proposal{ctx: ctx, kind: kind, data: data, ended: make(chan struct{})}
}

func (p *proposal) finish(result []byte, err error) {
	p.once.Do(func() {
		p.result, p.err = result, err
		close(p.ended)
	})
}

// Propose commits and applies one command, directly on the leader or by
// forwarding it there. Without a deadline in ctx it times out after 10 s.
func (r *Replica) Propose(ctx context.Context, c carawayshift.Command) (carawayshift.Answer, error) {
	var a carawayshift.Answer
	data, err := encodeCommand(c)
	if err != nil {
		return a, err
	}
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	var b []byte
	err = r.onLeader(ctx, func(leader string) error {
		if leader == r.cfg.Host {
			b, err = r.submit(ctx, newProposal(ctx, KindCommand, data))
			return err
		}
		b, err = r.forward(ctx, leader, methodPropose, proposeRequest{RemainingMs: remainingMs(ctx), Data: data, Nonce: rand.Uint64()})
		return err
	})
	if err != nil {
		return a, err
	}
	return a, carawayshift.Decode(b, &a)
}

// ProposeInTerm commits and applies one command if this host leads in the term; it is
// never forwarded. It waits while a transfer of the leadership is in progress. Without a
// deadline in ctx it times out after 10 s.
func (r *Replica) ProposeInTerm(ctx context.Context, term uint64, c carawayshift.Command) (carawayshift.Answer, error) {
	var a carawayshift.Answer
	data, err := encodeCommand(c)
	if err != nil {
		return a, err
	}
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	for {
		p := newProposal(ctx, KindCommand, data)
		p.only = term
		b, err := r.submit(ctx, p)
		switch {
		case err == nil:
			return a, carawayshift.Decode(b, &a)
		case carawayshift.KindOf(err) != carawayshift.NotRun || !r.leadsIn(term) || !r.sleep(ctx, r.cfg.Heartbeat):
			return a, err
		}
	}
}

func encodeCommand(c carawayshift.Command) ([]byte, error) {
	data, err := carawayshift.Encode(c)
	if err == nil && len(data) > maxCommandBytes {
		err = carawayshift.NewError(carawayshift.TooLarge, "the command is too large", "split it")
	}
	return data, err
}

// leadsIn reports whether this host leads in a term.
func (r *Replica) leadsIn(term uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lead != nil && r.lead.term == term && r.running
}

func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultProposeTimeout)
}

func remainingMs(ctx context.Context) int64 {
	at, _ := ctx.Deadline()
	return time.Until(at).Milliseconds()
}

// onLeader calls fn with the leader's name and retries after each error of kind
// NotRun until ctx ends.
func (r *Replica) onLeader(ctx context.Context, fn func(leader string) error) error {
	for {
		var leader string
		err := r.await(ctx, func() bool {
			leader = r.leader
			return leader != ""
		})
		if err != nil {
			return notRun("no leader is known", "wait until a majority of the voters can be reached, then try again")
		}
		err = fn(leader)
		if carawayshift.KindOf(err) != carawayshift.NotRun || ctx.Err() != nil {
			return err
		}
		if !r.sleep(ctx, r.cfg.Heartbeat) || !r.isOpen() {
			return err
		}
	}
}

// forward calls the leader. It cancels the call when another leader is known,
// because a host that failed never answers. After an error without a kind the
// request may have been received.
func (r *Replica) forward(ctx context.Context, leader, method string, req any) ([]byte, error) {
	body, err := carawayshift.Encode(req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		_ = r.await(ctx, func() bool { return r.leader != leader && r.leader != "" })
		cancel()
	}()
	b, err := r.transport.Call(ctx, leader, method, body)
	if err != nil && carawayshift.KindOf(err) == "" {
		return nil, outcomeUnknown("the leader did not answer: " + err.Error())
	}
	return b, err
}

func (r *Replica) handlePropose(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var req proposeRequest
	if err := carawayshift.Decode(body, &req); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.RemainingMs)*time.Millisecond)
	defer cancel()
	p, first := r.deduplicate(req.Nonce, newProposal(ctx, KindCommand, req.Data))
	if !first {
		return p.wait(ctx)
	}
	b, err := r.submit(ctx, p)
	p.finish(b, err)
	r.mu.Lock()
	p.data = nil // it has been appended or refused; only the result is needed for duplicates
	r.mu.Unlock()
	return b, err
}

// deduplicate returns the proposal of the first message with this nonce and
// whether p is that proposal. Beyond maxNonces the oldest nonces are dropped.
func (r *Replica) deduplicate(nonce uint64, p *proposal) (*proposal, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.forwarded[nonce]; old != nil {
		return old, false
	}
	if len(r.nonces) == maxNonces {
		delete(r.forwarded, r.nonces[0])
		r.nonces = r.nonces[1:]
	}
	r.nonces = append(r.nonces, nonce)
	r.forwarded[nonce] = p
	return p, true
}

func (p *proposal) wait(ctx context.Context) ([]byte, error) {
	select {
	case <-p.ended:
		return p.result, p.err
	case <-ctx.Done():
		return nil, outcomeUnknown("the deadline was exceeded before the command was committed")
	}
}

// submit appends an entry to the log of this leader and waits for its result.
func (r *Replica) submit(ctx context.Context, p *proposal) ([]byte, error) {
	r.mu.Lock()
	switch {
	case r.lead == nil || !r.running:
		r.mu.Unlock()
		return nil, notRun("this host is not the leader", retryRemedy)
	case p.only != 0 && r.lead.term != p.only:
		r.mu.Unlock()
		return nil, notRun("this host no longer leads in the term of the command", "the new leader decides anew")
	case r.lead.transferee != "":
		r.mu.Unlock()
		return nil, notRun("a leadership transfer is in progress", retryRemedy)
	case len(r.queue) >= maxQueued:
		r.mu.Unlock()
		return nil, notRun("too many commands are queued", retryRemedy)
	}
	r.queue = append(r.queue, p)
	r.notify()
	r.mu.Unlock()
	select {
	case <-p.ended:
		return p.result, p.err
	case <-ctx.Done():
		return r.cancelProposal(p)
	}
}

// cancelProposal removes a proposal from the queue if it is not in the log yet.
func (r *Replica) cancelProposal(p *proposal) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, q := range r.queue {
		if q == p {
			r.queue = append(r.queue[:i:i], r.queue[i+1:]...)
			return nil, notRun("the deadline was exceeded before the command was written to the log", retryRemedy)
		}
	}
	select {
	case <-p.ended:
		return p.result, p.err
	default:
		return nil, outcomeUnknown("the deadline was exceeded before the command was committed")
	}
}

// enqueueTermStart queues the first entry of a leader's term, and the
// membership when no entry holds it yet. The caller holds r.mu.
func (r *Replica) enqueueTermStart(l *leaderState) {
	r.queue = append(r.queue, newProposal(l.ctx, KindTermStart, nil))
	if c := r.memberships[len(r.memberships)-1]; c.index == 0 {
		p := newProposal(l.ctx, KindMembership, nil)
		p.build = func() ([]byte, error) { return encodeMembers(c.members) }
		r.queue = append(r.queue, p)
	}
}

// runWriter writes queued proposals to the journal: all that are queued at the
// time go into one record with one sync, within the limits of a batch.
func (r *Replica) runWriter(ctx context.Context) {
	for {
		if r.await(ctx, func() bool { return len(r.queue) > 0 }) != nil {
			return
		}
		if r.lockDisk(ctx) != nil {
			return
		}
		r.writeBatch()
		r.unlockDisk()
	}
}

func (r *Replica) writeBatch() {
	r.mu.Lock()
	entries, batch := r.takeBatch()
	if len(entries) > 0 {
		r.writingSince = time.Now()
	}
	r.mu.Unlock()
	if len(entries) == 0 {
		return
	}
	err := r.journal.Append(entries)
	r.mu.Lock()
	r.writingSince = time.Time{}
	r.mu.Unlock()
	if err != nil {
		for _, p := range batch {
			p.finish(nil, outcomeUnknown("the journal failed: "+err.Error()))
		}
		_ = r.fail(err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.recordMemberships(entries); err != nil {
		r.log.WithError(err).Error("could not decode a membership entry written by this host")
	}
	if r.lead != nil {
		r.startPeers()
		r.advanceCommit()
	}
	r.notify()
}

// takeBatch turns queued proposals into entries. A membership change ends its
// batch, so that it is in force before the next change is built. The caller
// holds r.mu.
func (r *Replica) takeBatch() (entries []journal.Entry, batch []*proposal) {
	if r.lead == nil {
		return nil, nil
	}
	last, size := r.journal.LastIndex(), 0
	for len(r.queue) > 0 && len(entries) < maxBatchEntries && size < maxBatchBytes {
		p := r.queue[0]
		r.queue = r.queue[1:]
		if !r.prepare(p) {
			continue
		}
		last++
		size += len(p.data)
		p.term = r.lead.term
		entries = append(entries, journal.Entry{Index: last, Term: p.term, Kind: p.kind, Data: p.data})
		batch = append(batch, p)
		if old := r.waiters[last]; old != nil {
			old.finish(nil, outcomeUnknown("another entry replaced the command in the log of this host"))
		}
		r.waiters[last] = p
		if p.kind == KindTermStart {
			r.lead.start = last
		}
		if p.kind == KindMembership {
			break
		}
	}
	return entries, batch
}

// prepare builds the data of a proposal. It refuses a proposal whose context
// has ended or whose change is not allowed now. The caller holds r.mu.
func (r *Replica) prepare(p *proposal) bool {
	if p.ctx.Err() != nil {
		p.finish(nil, notRun("the deadline was exceeded before the command was written to the log", retryRemedy))
		return false
	}
	if p.build == nil {
		return true
	}
	data, err := p.build()
	if err != nil {
		p.finish(nil, err)
		return false
	}
	p.data = data
	return true
}
