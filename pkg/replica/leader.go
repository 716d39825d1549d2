package replica

import (
	"context"
	"maps"
	"slices"
	"time"

	"carawayshift.example/carawayshift/pkg/journal"
)

const (
	// maxAppendBytes limits the entries of one call; 256 KB take 70 ms at
	// 30 Mbit/s.
	maxAppendBytes   = 256 << 10
	maxAppendEntries = 1024
	// idleCallBytes is the estimated size of one heartbeat on the wire when the
	// group is idle: about 60 bytes of request and reply, plus packet headers
	// and acknowledgements of QUIC.
	idleCallBytes = 200
)

// leaderState is the state of a leader during one term.
type leaderState struct {
	term   uint64
	start  uint64 // index of the term-start entry
	ctx    context.Context
	cancel context.CancelFunc
	peers  map[string]*peer
	// round counts the requests for a confirmation of the leadership. A
	// peer's round is the highest one for which a call that was sent after the
	// request has been answered.
	round uint64
	since time.Time
	// answersRequested is when requestAnswers last made the leader call all voters.
	answersRequested time.Time
	// disksChecked is when the disks of the other voters were last checked.
	disksChecked time.Time
	// transferee is the host that the leadership is being transferred to.
	transferee string
}

// peer is the leader's replication state of another member.
type peer struct {
	host     string
	identity uint64
	cancel   context.CancelFunc
	// next is the index of the next entry to send, match the highest index known
	// to be on the peer's disk.
	next, match      uint64
	round            uint64    // highest round in an answered call
	contact          time.Time // when the last answered call was sent
	sentRound        uint64
	sentCommit       uint64
	sentAckedVersion uint64 // ackedVersion as of the last call that carried the acknowledged indexes
	refused          bool
}

func (l *leaderState) ready(commit uint64) bool { return l.start > 0 && commit >= l.start }

// becomeLeader starts the term by appending a term-start entry. No command or
// read is answered before that entry is committed: only then does the commit
// index include everything that earlier leaders committed.
func (r *Replica) becomeLeader(term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hardState.Term != term || r.hardState.Vote != r.cfg.Host || r.lead != nil || !r.running {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &leaderState{term: term, ctx: ctx, cancel: cancel, peers: map[string]*peer{}, since: time.Now()}
	r.lead, r.leader = l, r.cfg.Host
	r.log.WithField("term", term).Info("elected leader")
	r.enqueueTermStart(l)
	r.startPeers()
	go r.checkQuorum(l)
	r.notify()
}

// stepDown ends this host's leadership, if it is the leader. The caller holds
// r.mu.
func (r *Replica) stepDown(reason string) {
	l := r.lead
	if l == nil {
		return
	}
	l.cancel()
	r.lead, r.leader = nil, ""
	for _, p := range r.queue {
		p.finish(nil, notRun("this host is no longer the leader", retryRemedy))
	}
	r.queue = nil
	r.resetElectionTimer(r.cfg.ElectionTimeout)
	r.log.WithField("term", l.term).WithField("reason", reason).Info("leader steps down")
	r.notify()
}

// startPeers starts one goroutine for each other member and stops those of
// removed members. The caller holds r.mu.
func (r *Replica) startPeers() {
	l := r.lead
	for _, m := range r.members() {
		old, ok := l.peers[m.Host]
		if m.Host == r.cfg.Host || (ok && old.identity == m.Identity) {
			continue
		}
		if ok {
			old.cancel()
		}
		ctx, cancel := context.WithCancel(l.ctx)
		p := &peer{host: m.Host, identity: m.Identity, cancel: cancel, next: r.journal.LastIndex() + 1, contact: time.Now()}
		l.peers[m.Host] = p
		go r.replicate(ctx, l, p)
	}
	for host, p := range l.peers {
		if _, ok := findMember(r.members(), host); !ok {
			p.cancel()
			delete(l.peers, host)
		}
	}
}

// idleInterval is the heartbeat interval. It grows with the number of peers, so
// that the traffic of an idle group stays within Config.IdleBytesPerSecond.
func (r *Replica) idleInterval(peers int) time.Duration {
	d := time.Duration(peers) * time.Second * idleCallBytes / time.Duration(r.cfg.IdleBytesPerSecond)
	return min(max(d, r.cfg.Heartbeat), r.cfg.ElectionTimeout/2)
}

// checkQuorum steps down when no majority has answered for an election timeout, and hands
// over when the disk does not answer.
func (r *Replica) checkQuorum(l *leaderState) {
	for r.sleep(l.ctx, r.cfg.ElectionTimeout/8) {
		r.mu.Lock()
		stalled := r.lead == l && r.diskStalled(l)
		r.mu.Unlock()
		if stalled {
			r.handOver(l)
		}
		r.mu.Lock()
		if r.lead == l && !r.hasQuorum(func(p *peer) bool { return r.healthy(p) }) {
			r.stepDown("no majority of the voters answers")
		}
		r.mu.Unlock()
	}
}

// healthy reports whether a peer answered within the election timeout.
func (r *Replica) healthy(p *peer) bool {
	return !p.refused && time.Since(p.contact) < r.cfg.ElectionTimeout
}

// hasQuorum reports whether this host, as a voter, and the peers for which ok
// returns true are a majority of the voters. The caller holds r.mu.
func (r *Replica) hasQuorum(ok func(p *peer) bool) bool {
	list := voters(r.members())
	n := 0
	for _, m := range list {
		p := r.lead.peers[m.Host]
		if m.Host == r.cfg.Host || (p != nil && ok(p)) {
			n++
		}
	}
	return n >= majority(len(list))
}

// advanceCommit commits the entries that a majority has on disk, if the last of
// them is of this term. The caller holds r.mu.
func (r *Replica) advanceCommit() {
	l := r.lead
	var matches []uint64
	for _, m := range voters(r.members()) {
		if m.Host == r.cfg.Host {
			matches = append(matches, r.journal.LastIndex())
		} else if p := l.peers[m.Host]; p != nil && !p.refused {
			matches = append(matches, p.match)
		} else {
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-majority(len(matches))]
	if term, ok := r.journal.Term(index); index <= r.commit || !ok || term != l.term {
		return
	}
	r.setCommit(index)
	for _, p := range l.peers {
		r.recordAcked(map[uint64]uint64{p.identity: min(p.match, r.commit)})
	}
	r.recordAcked(map[uint64]uint64{r.hardState.Identity: r.commit})
}

// The caller of setCommit holds r.mu.
func (r *Replica) setCommit(index uint64) {
	if index > r.commit {
		r.commit = index
		r.notify()
	}
}

// replicate sends entries, snapshots and heartbeats to one peer, one call at
// a time.
func (r *Replica) replicate(ctx context.Context, l *leaderState, p *peer) {
	for r.awaitWork(ctx, l, p) {
		if err := r.sendNext(ctx, l, p); err != nil && !r.sleep(ctx, r.cfg.Heartbeat) {
			return
		}
	}
}

// awaitWork waits until there is something to send or a heartbeat is due.
func (r *Replica) awaitWork(ctx context.Context, l *leaderState, p *peer) bool {
	r.mu.Lock()
	interval := r.idleInterval(len(l.peers))
	r.mu.Unlock()
	timeout, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	err := r.await(timeout, func() bool {
		if p.refused {
			return false
		}
		return p.next <= r.journal.LastIndex() || p.sentCommit < r.commit || p.sentRound < l.round
	})
	if err != nil && r.afterTimer != nil {
		r.afterTimer()
	}
	return ctx.Err() == nil && r.isOpen()
}

func (r *Replica) isOpen() bool {
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

// sendNext sends the next entries, snapshot or heartbeat to the peer and
// handles the reply.
func (r *Replica) sendNext(ctx context.Context, l *leaderState, p *peer) error {
	r.mu.Lock()
	prev, round, refused := p.next-1, l.round, p.refused
	p.sentRound = round
	r.mu.Unlock()
	prevTerm, ok := r.journal.Term(prev)
	if refused {
		return r.sendAppend(ctx, l, p, round, appendRequest{Term: l.term, To: p.identity, Refused: true})
	}
	var entries []journal.Entry
	var err error
	if ok {
		entries, err = r.journal.Entries(prev+1, maxAppendEntries, maxAppendBytes)
	}
	if !ok || err != nil {
		return r.sendSnapshot(ctx, l, p)
	}
	return r.sendAppend(ctx, l, p, round, appendRequest{
		Term: l.term, Prev: prev, PrevTerm: prevTerm, To: p.identity,
		Entries: toWire(entries),
	})
}

func (r *Replica) sendAppend(ctx context.Context, l *leaderState, p *peer, round uint64, req appendRequest) error {
	r.mu.Lock()
	req.Commit = r.commit
	if p.sentCommit < r.commit || (len(req.Entries) == 0 && p.sentAckedVersion < r.ackedVersion) {
		req.Acked = maps.Clone(r.acked)
		p.sentAckedVersion = r.ackedVersion
	}
	p.sentCommit = r.commit
	r.mu.Unlock()
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout()+transferTime(req.Entries))
	defer cancel()
	if isBulk(req.Entries) {
		go r.keepContact(ctx, l, p, cancel)
	}
	var reply appendReply
	if err := r.call(ctx, p.host, methodAppend, req, &reply); err != nil {
		r.resetSentState(p)
		return err
	}
	if reply.Term > l.term {
		r.adoptReplyTerm(l.ctx, reply.Term)
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lead == l {
		r.handleAppendReply(l, p, req, reply, sent, round)
	}
	return nil
}

// resetSentState makes the next call carry the commit index and the
// acknowledged indexes again.
func (r *Replica) resetSentState(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.sentCommit, p.sentAckedVersion = 0, 0
}

// The caller of handleAppendReply holds r.mu.
func (r *Replica) handleAppendReply(l *leaderState, p *peer, req appendRequest, reply appendReply, sent time.Time, round uint64) {
	if p.refused {
		return
	}
	if reply.Identity != p.identity || (!reply.OK && reply.Last < r.acked[p.identity]) {
		r.refusePeer(p)
		return
	}
	p.contact, p.round = latest(p.contact, sent), max(p.round, round)
	if reply.OK {
		p.match = max(p.match, reply.Index)
		p.next = max(p.next, p.match+1)
		r.recordAcked(map[uint64]uint64{p.identity: min(p.match, r.commit)})
		r.advanceCommit()
	} else {
		p.next = max(min(reply.Index+1, req.Prev), p.match+1, 1)
	}
	r.notify()
}

// refusePeer stops counting a peer whose data folder is empty or lacks entries
// that the peer acknowledged. The caller holds r.mu.
func (r *Replica) refusePeer(p *peer) {
	if p.refused {
		return
	}
	p.refused = true
	r.log.WithField("peer", p.host).Error("the peer's data folder is not the one of its membership entry, or is older than what it acknowledged; remove the peer, empty its folder, add it again as a learner")
	r.notify()
}
