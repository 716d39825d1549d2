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
	// maxCommandBytes bounds one command. The largest ones carry the view of
	// 2,300 workers, about 250 KB.
	maxCommandBytes = 4 << 20
	maxQueued       = 4096
	// maxNonces is how many forwarded commands are remembered. At 100
	// commands a second it covers 40 s, longer than a message is under way.
	maxNonces = 4096
	// Limits of one batch, which is one record and one sync.
	maxBatchEntries = 1024
	maxBatchBytes   = 4 << 20
)

// proposal is an entry on its way into the log.
type proposal struct {
	ctx  context.Context
	kind uint8
	data []byte
	// build makes the data under r.mu when the entry's turn has come.
	build func() ([]byte, error)
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

// Propose commits and applies one command, on the leader or through it.
// Without a deadline in ctx it gives up after 10 s.
func (r *Replica) Propose(ctx context.Context, c carawayshift.Command) (carawayshift.Answer, error) {
	var a carawayshift.Answer
	data, err := carawayshift.Encode(c)
	if err != nil {
		return a, err
	}
	if len(data) > maxCommandBytes {
		return a, carawayshift.NewError(carawayshift.TooLarge, "the command is too large", "split it")
	}
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	var b []byte
	err = r.onLeader(ctx, func(leader string) error {
		if leader == r.cfg.Host {
			b, err = r.submit(ctx, newProposal(ctx, KindCommand, data))
			return err
		}
		b, err = r.forward(ctx, leader, methodPropose, proposeRequest{LeftMs: left(ctx), Data: data, Nonce: rand.Uint64()})
		return err
	})
	if err != nil {
		return a, err
	}
	return a, carawayshift.Decode(b, &a)
}

func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultProposeTimeout)
}

func left(ctx context.Context) int64 {
	at, _ := ctx.Deadline()
	return time.Until(at).Milliseconds()
}

// onLeader runs fn with the leader's name, again after each error of kind
// NotRun, until the time is up.
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
		if !r.sleep(ctx, r.cfg.Heartbeat) || !r.alive() {
			return err
		}
	}
}

// forward calls the leader. It gives up when another leader is known, because
// a host that died answers nothing. An error without a kind may have come
// after the request left.
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
		return nil, unknown("the leader did not answer: " + err.Error())
	}
	return b, err
}

func (r *Replica) handlePropose(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var req proposeRequest
	if err := carawayshift.Decode(body, &req); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.LeftMs)*time.Millisecond)
	defer cancel()
	p, first := r.firstOf(req.Nonce, newProposal(ctx, KindCommand, req.Data))
	if !first {
		return p.wait(ctx)
	}
	b, err := r.submit(ctx, p)
	p.finish(b, err)
	r.mu.Lock()
	p.data = nil // it is in the log or nowhere; only the result is kept
	r.mu.Unlock()
	return b, err
}

// firstOf returns the proposal of the first message with this nonce. The
// oldest nonces are forgotten.
func (r *Replica) firstOf(nonce uint64, p *proposal) (*proposal, bool) {
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
		return nil, unknown("the time was up before the command was committed")
	}
}

// submit puts an entry into the log of this leader and waits for its result.
func (r *Replica) submit(ctx context.Context, p *proposal) ([]byte, error) {
	r.mu.Lock()
	switch {
	case r.lead == nil || !r.running:
		r.mu.Unlock()
		return nil, notRun("this host is not the leader", retryRemedy)
	case r.lead.moving != "":
		r.mu.Unlock()
		return nil, notRun("the leadership is being handed over", retryRemedy)
	case len(r.queue) >= maxQueued:
		r.mu.Unlock()
		return nil, notRun("too many commands are waiting", retryRemedy)
	}
	r.queue = append(r.queue, p)
	r.notify()
	r.mu.Unlock()
	select {
	case <-p.ended:
		return p.result, p.err
	case <-ctx.Done():
		return r.abandon(p)
	}
}

// abandon takes a proposal back if it has not reached the log yet.
func (r *Replica) abandon(p *proposal) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, q := range r.queue {
		if q == p {
			r.queue = append(r.queue[:i:i], r.queue[i+1:]...)
			return nil, notRun("the time was up before the command reached the log", retryRemedy)
		}
	}
	select {
	case <-p.ended:
		return p.result, p.err
	default:
		return nil, unknown("the time was up before the command was committed")
	}
}

// enqueueTermStart queues the first entry of a leader's term, and the
// membership where no entry has set it yet. It needs r.mu.
func (r *Replica) enqueueTermStart(l *leadership) {
	r.queue = append(r.queue, newProposal(l.ctx, KindTermStart, nil))
	if c := r.configs[len(r.configs)-1]; c.index == 0 {
		p := newProposal(l.ctx, KindMembership, nil)
		p.build = func() ([]byte, error) { return encodeMembers(c.members) }
		r.queue = append(r.queue, p)
	}
}

// runWriter writes the queue of proposals to the journal, all that wait at a
// time in one record with one sync.
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
	r.mu.Unlock()
	if len(entries) == 0 {
		return
	}
	if err := r.journal.Append(entries); err != nil {
		for _, p := range batch {
			p.finish(nil, unknown("the journal failed: "+err.Error()))
		}
		_ = r.fail(err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.noteConfigs(entries); err != nil {
		r.log.WithError(err).Error("own membership entry can't be decoded")
	}
	if r.lead != nil {
		r.startPeers()
		r.advanceCommit()
	}
	r.notify()
}

// takeBatch turns queued proposals into entries. A membership change is the
// last entry of its batch, so that it counts before the next one is built. It
// needs r.mu.
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
			old.finish(nil, unknown("another entry took the place of the command on this host"))
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

// prepare refuses a proposal whose caller has gone or whose change is not
// allowed now. It needs r.mu.
func (r *Replica) prepare(p *proposal) bool {
	if p.ctx.Err() != nil {
		p.finish(nil, notRun("the time was up before the command reached the log", retryRemedy))
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
