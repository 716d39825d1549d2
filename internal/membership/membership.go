// Package membership keeps the replicated group complete without an operator: hosts
// with an empty disk ask to join, and the leader replaces voters whose disk or
// host is gone.
//
// # Usage
//
//	g := membership.New(membership.Config{Host: name, Replica: r, Transport: mesh, Known: relay.Known, Wanted: 3})
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
	// askEvery is the interval at which a host that is no member asks to join.
	askEvery = 400 * time.Millisecond
	askWait  = 800 * time.Millisecond
	// joinerLife is how long a request to join counts without another.
	joinerLife = 3 * time.Second
	// checkEvery is the interval of the leader's decisions.
	checkEvery = 300 * time.Millisecond
	// changeTimeout bounds one change of the membership.
	changeTimeout = 2 * time.Second
	// orphanAfter is how long a member hears no leader before it asks whether
	// it still belongs to the group. An election takes about 1 s; the platform
	// relies on a host 4 s after its return.
	orphanAfter = 1500 * time.Millisecond
)

// Config configures a Group.
type Config struct {
	Host      string
	Replica   *replica.Replica
	Transport carawayshift.Transport
	// Known returns control hosts to ask.
	Known func() []string
	// Wanted is the number of voters to keep.
	Wanted int
	// Patience is how long a voter may be silent before it is replaced.
	Patience time.Duration
	Logger   logrus.FieldLogger
}

// Group is one control host's part in the membership.
type Group struct {
	cfg Config

	mu      sync.Mutex
	joiners map[string]joiner
	// answered is when each member was last heard of, by this leader.
	answered map[string]time.Time
	led      time.Time
	// commit is the index that was committed at the last look.
	commit uint64
}

type joiner struct {
	identity uint64
	at       time.Time
}

type joinRequest struct {
	Host     string `cbor:"1,keyasint"`
	Identity uint64 `cbor:"2,keyasint"`
	// Passed is set when a control host passes the request on to the leader.
	Passed bool `cbor:"3,keyasint,omitempty"`
}

// New returns a group.
func New(cfg Config) *Group {
	if cfg.Logger == nil {
		cfg.Logger = logrus.StandardLogger()
	}
	g := &Group{cfg: cfg, joiners: map[string]joiner{}, answered: map[string]time.Time{}}
	cfg.Transport.Handle(methodJoin, g.handleJoin)
	return g
}

// Leader implements leaderclient.Group.
func (g *Group) Leader() (host string, term uint64) { return g.cfg.Replica.Leader() }

// Hosts returns the members of the group.
func (g *Group) Hosts() []string {
	var list []string
	for _, m := range g.cfg.Replica.Status().Members {
		list = append(list, m.Host)
	}
	return list
}

// Run asks to join while this host is no member, and repairs the group while
// it leads, until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { g.ask(ctx) })
	wg.Go(func() { g.keep(ctx) })
	wg.Wait()
	return nil
}

func (g *Group) ask(ctx context.Context) {
	heard := time.Now()
	for ctx.Err() == nil {
		st := g.cfg.Replica.Status()
		if st.Leader != "" {
			heard = time.Now()
		}
		if !isMember(st) || time.Since(heard) > orphanAfter {
			g.askAll(ctx, st)
		}
		pause.For(ctx, askEvery)
	}
}

func isMember(st replica.Status) bool {
	return slices.ContainsFunc(st.Members, func(m replica.Member) bool {
		return m.Host == st.Host && m.Identity == st.Identity
	})
}

func (g *Group) askAll(ctx context.Context, st replica.Status) {
	body, err := carawayshift.Encode(joinRequest{Host: st.Host, Identity: st.Identity})
	if err != nil {
		g.cfg.Logger.WithError(err).Error("a request to join can't be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	var wg sync.WaitGroup
	for _, host := range g.cfg.Known() {
		wg.Go(func() {
			// A host that is down or not the leader is asked again later.
			if _, err := g.cfg.Transport.Call(ctx, host, methodJoin, body); err != nil {
				g.cfg.Logger.WithError(err).WithField("peer", host).Debug("request to join not taken")
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
	if q.Passed || leader == "" {
		return nil, carawayshift.NewError(carawayshift.NotRun, "this host does not lead", "ask again")
	}
	q.Passed = true
	b, err := carawayshift.Encode(q)
	if err != nil {
		return nil, err
	}
	return g.cfg.Transport.Call(ctx, leader, methodJoin, b)
}

// keep repairs the group while this host leads.
func (g *Group) keep(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, checkEvery)
		st := g.cfg.Replica.Status()
		if !st.Ready {
			g.mu.Lock()
			g.led, g.commit = time.Time{}, 0
			g.mu.Unlock()
			continue
		}
		a, ok := reconfiguration.Next(g.view(st))
		if ok {
			g.change(ctx, a)
		}
	}
}

func (g *Group) view(st replica.Status) reconfiguration.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.led.IsZero() {
		g.led = now
		g.answered = map[string]time.Time{}
	}
	// Entries committed since the last look may still be on their way to members
	// that are far away; the replica proves what a change must count on.
	due := min(g.commit, st.Commit)
	g.commit = st.Commit
	v := reconfiguration.View{DesiredVoters: g.cfg.Wanted, FailureTimeout: g.cfg.Patience}
	for _, m := range st.Members {
		if silent, ok := st.SinceContact[m.Host]; ok {
			g.answered[m.Host] = now.Add(-silent)
		}
		last := g.answered[m.Host]
		if last.Before(g.led) {
			last = g.led
		}
		v.Members = append(v.Members, reconfiguration.Member{
			Host: m.Host, Identity: m.Identity, Voter: m.Voter, SinceContact: now.Sub(last),
			CaughtUp: due > 0 && st.Match[m.Host] >= due, Self: m.Host == st.Host,
		})
	}
	for host, j := range g.joiners {
		if now.Sub(j.at) > joinerLife {
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

func (g *Group) change(ctx context.Context, a reconfiguration.Action) {
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
	}
	entry := g.cfg.Logger.WithFields(logrus.Fields{"event": "group repair", "change": a.Op, "member": a.Host, "reason": a.Reason})
	if err != nil {
		entry.WithError(err).Warn("change of the group not made")
		return
	}
	entry.Info("group changed")
}
