// Package membership keeps the replicated group at the desired number of voters
// without an operator: hosts with an empty disk ask to join, and the leader
// replaces voters whose disk or host is lost.
//
// # Usage
//
//	g := membership.New(membership.Config{Host: name, Replica: r, Transport: mesh, ControlHosts: client.ControlHosts, DesiredVoters: 3})
//	go g.Run(ctx)
package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
	"carawayshift.example/carawayshift/pkg/reconfiguration"
	"carawayshift.example/carawayshift/pkg/replica"
)

const (
	methodJoin = "group.join"
	// joinInterval is the interval at which a host that is not a member asks to
	// join.
	joinInterval = 400 * time.Millisecond
	joinTimeout  = 800 * time.Millisecond
	// joinRequestTTL is how long a request to join is valid if it is not
	// repeated.
	joinRequestTTL = 3 * time.Second
	// checkInterval is the interval at which the leader checks the group.
	checkInterval = 300 * time.Millisecond
	// settleTime is how long a host leads before it transfers the leadership to
	// another region, transferBackoff the time until the next attempt after one
	// that failed.
	settleTime      = time.Second
	transferBackoff = 10 * time.Second
	// changeTimeout bounds one membership change.
	changeTimeout = 2 * time.Second
	// leaderTimeout is how long a member gets no message of a leader before it asks
	// to join again, in case it no longer belongs to the group. An election takes
	// about 1 s; the platform relies on a host 4 s after its return.
	leaderTimeout = 1500 * time.Millisecond
)

// Config configures a Group.
type Config struct {
	Host      string
	Replica   *replica.Replica
	Transport carawayshift.Transport
	// ControlHosts returns the control hosts to send requests to join to.
	ControlHosts func() []string
	// DesiredVoters is the desired number of voters.
	DesiredVoters int
	// FailureTimeout is how long a voter may be out of contact with the leader
	// before it is replaced.
	FailureTimeout time.Duration
	Logger         logrus.FieldLogger
}

// Group manages the membership of the replicated group on one control host.
type Group struct {
	cfg Config

	mu sync.Mutex
	// joiners holds the latest request to join of each host.
	joiners map[string]joiner
	// lastContact is when each member last responded to this leader;
	// leaderSince is when the leader was first seen to be ready in its term.
	lastContact map[string]time.Time
	leaderSince time.Time
	// lastCommit is the commit index at the last check.
	lastCommit uint64
	// transferFailed is when the last transfer of the leadership failed.
	transferFailed time.Time
}

type joiner struct {
	identity uint64
	at       time.Time
}

type joinRequest struct {
	Host     string `cbor:"1,keyasint"`
	Identity uint64 `cbor:"2,keyasint"`
	// Forwarded is set when a control host forwards the request to the leader.
	Forwarded bool `cbor:"3,keyasint,omitempty"`
}

// New returns a Group and registers its handler on the transport.
func New(cfg Config) *Group {
	if cfg.Logger == nil {
		cfg.Logger = logrus.StandardLogger()
	}
	g := &Group{cfg: cfg, joiners: map[string]joiner{}, lastContact: map[string]time.Time{}}
	cfg.Transport.Handle(methodJoin, g.handleJoin)
	return g
}

// Leader implements leaderclient.Group.
func (g *Group) Leader() (host string, term uint64) { return g.cfg.Replica.Leader() }

// Hosts returns the host names of the members.
func (g *Group) Hosts() []string {
	var list []string
	for _, m := range g.cfg.Replica.Status().Members {
		list = append(list, m.Host)
	}
	return list
}

// Run asks to join while this host is not a member, and repairs the group while
// this host leads, until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { g.joinLoop(ctx) })
	wg.Go(func() { g.repairLoop(ctx) })
	wg.Wait()
	return nil
}

func (g *Group) joinLoop(ctx context.Context) {
	contact := time.Now()
	for ctx.Err() == nil {
		st := g.cfg.Replica.Status()
		if st.LeaderContact.After(contact) {
			contact = st.LeaderContact
		}
		// A host that was removed while it was cut off or its disk was full still knows
		// itself as a member, and a leader: only messages of the leader show that it is.
		if !isMember(st) || time.Since(contact) > leaderTimeout {
			g.requestJoin(ctx, st)
		}
		pause.For(ctx, joinInterval)
	}
}

func isMember(st replica.Status) bool {
	return slices.ContainsFunc(st.Members, func(m replica.Member) bool {
		return m.Host == st.Host && m.Identity == st.Identity
	})
}

func (g *Group) requestJoin(ctx context.Context, st replica.Status) {
	body, err := carawayshift.Encode(joinRequest{Host: st.Host, Identity: st.Identity})
	if err != nil {
		g.cfg.Logger.WithError(err).Error("encoding the request to join failed")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, host := range g.cfg.ControlHosts() {
		wg.Go(func() {
			// Errors are only logged: joinLoop retries hosts that are down or have
			// no leader.
			if _, err := g.cfg.Transport.Call(ctx, host, methodJoin, body); err != nil {
				g.cfg.Logger.WithError(err).WithField("peer", host).Debug("request to join failed")
			}
		})
	}
	wg.Wait()
}

func (g *Group) handleJoin(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var q joinRequest
	if err := carawayshift.Decode(body, &q); err != nil {
		return nil, err
	}
	leader, _ := g.cfg.Replica.Leader()
	if leader == g.cfg.Host {
		g.mu.Lock()
		g.joiners[q.Host] = joiner{q.Identity, time.Now()}
		g.mu.Unlock()
		return nil, nil
	}
	if q.Forwarded || leader == "" {
		return nil, carawayshift.NewError(carawayshift.NotRun, "this host does not lead", "retry")
	}
	q.Forwarded = true
	b, err := carawayshift.Encode(q)
	if err != nil {
		return nil, err
	}
	return g.cfg.Transport.Call(ctx, leader, methodJoin, b)
}

// repairLoop checks the group and makes one membership change at a time while
// this host leads.
func (g *Group) repairLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, checkInterval)
		st := g.cfg.Replica.Status()
		if !st.Ready {
			g.mu.Lock()
			g.leaderSince, g.lastCommit = time.Time{}, 0
			g.mu.Unlock()
			continue
		}
		a, ok := reconfiguration.Next(g.view(st))
		if ok {
			g.execute(ctx, a)
		}
	}
}

func (g *Group) view(st replica.Status) reconfiguration.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.leaderSince.IsZero() {
		g.leaderSince = now
		g.lastContact = map[string]time.Time{}
	}
	// Members must have the entries that were committed at the last check.
	// Later entries may still be in transit to members in distant regions; the
	// replica itself checks what a membership change depends on.
	required := min(g.lastCommit, st.Commit)
	g.lastCommit = st.Commit
	v := reconfiguration.View{DesiredVoters: g.cfg.DesiredVoters, FailureTimeout: g.cfg.FailureTimeout, HomeRegion: st.HomeRegion}
	v.Transferable = now.Sub(g.leaderSince) >= settleTime && now.Sub(g.transferFailed) >= transferBackoff
	for _, m := range st.Members {
		if elapsed, ok := st.SinceContact[m.Host]; ok {
			g.lastContact[m.Host] = now.Add(-elapsed)
		}
		last := g.lastContact[m.Host]
		if last.Before(g.leaderSince) {
			last = g.leaderSince
		}
		v.Members = append(v.Members, reconfiguration.Member{
			Host: m.Host, Identity: m.Identity, Voter: m.Voter, SinceContact: now.Sub(last),
			CaughtUp: required > 0 && st.Match[m.Host] >= required, Self: m.Host == st.Host, Region: m.Region,
		})
	}
	for host, j := range g.joiners {
		if now.Sub(j.at) > joinRequestTTL {
			delete(g.joiners, host)
			continue
		}
		v.Joiners = append(v.Joiners, reconfiguration.Joiner{Host: host, Identity: j.identity})
	}
	slices.SortFunc(v.Joiners, func(a, b reconfiguration.Joiner) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return v
}

func (g *Group) execute(ctx context.Context, a reconfiguration.Action) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var err error
	switch a.Op {
	case reconfiguration.Add:
		err = g.cfg.Replica.AddLearner(ctx, a.Host)
	case reconfiguration.Promote:
		err = g.cfg.Replica.Promote(ctx, a.Host)
	case reconfiguration.Remove:
		err = g.cfg.Replica.Remove(ctx, a.Host)
	case reconfiguration.Transfer:
		if err = g.cfg.Replica.Transfer(ctx, a.Host); err != nil {
			g.mu.Lock()
			g.transferFailed = time.Now()
			g.mu.Unlock()
		}
	}
	entry := g.cfg.Logger.WithFields(logrus.Fields{"event": "group repair", "change": a.Op, "member": a.Host, "reason": a.Reason})
	if err != nil {
		entry.WithError(err).Warn("change of the group failed")
		return
	}
	entry.Info("group changed")
}
