package membership

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/state"
	"carawayshift.example/carawayshift/pkg/journal"
	"carawayshift.example/carawayshift/pkg/journal/memdisk"
	"carawayshift.example/carawayshift/pkg/replica"
)

// cluster is a set of control hosts in one synctest bubble.
type cluster struct {
	t     *testing.T
	ctx   context.Context
	names []string
	disks map[string]*memdisk.Disk
	nodes map[string]*replica.Replica

	mu       sync.Mutex
	handlers map[string]map[string]carawayshift.Handler
	cut      map[string]bool
}

// endpoint is the transport of one host.
type endpoint struct {
	c    *cluster
	host string
}

func (e endpoint) Handle(method string, fn carawayshift.Handler) {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	e.c.handlers[e.host][method] = fn
}

func (e endpoint) Call(ctx context.Context, host, method string, body []byte) ([]byte, error) {
	time.Sleep(time.Millisecond)
	e.c.mu.Lock()
	fn, lost := e.c.handlers[host][method], e.c.cut[host] || e.c.cut[e.host]
	e.c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return fn(ctx, e.host, body)
}

// startCluster starts hosts of which the first voters form the group; the others join.
func startCluster(ctx context.Context, t *testing.T, voters int, names ...string) *cluster {
	c := &cluster{
		t: t, ctx: ctx, names: names, disks: map[string]*memdisk.Disk{}, nodes: map[string]*replica.Replica{},
		handlers: map[string]map[string]carawayshift.Handler{}, cut: map[string]bool{},
	}
	for _, name := range names {
		c.handlers[name] = map[string]carawayshift.Handler{}
	}
	for i, name := range names {
		c.start(name, i < voters, names[:voters])
	}
	return c
}

func (c *cluster) start(name string, bootstrap bool, voters []string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c.disks[name] = memdisk.New()
	j, err := journal.OpenFS(c.disks[name].Mount(), "/data")
	if err != nil {
		c.t.Fatal(err)
	}
	cfg := replica.Config{
		Host: name, ElectionTimeout: 600 * time.Millisecond, Seed: uint64(len(c.nodes)) + 1, Logger: log,
		SnapshotEntries: 30, KeepEntries: 10,
	}
	if bootstrap {
		cfg.Voters = voters
	}
	r, err := replica.New(cfg, j, state.New(nil), endpoint{c, name})
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[name] = r
	g := New(Config{
		Host: name, Replica: r, Transport: endpoint{c, name}, DesiredVoters: len(voters), FailureTimeout: 1500 * time.Millisecond, Logger: log,
		ControlHosts: func() []string {
			return slices.DeleteFunc(slices.Clone(c.names), func(h string) bool { return h == name })
		},
	})
	go func() { _ = r.Run(c.ctx) }()
	go func() { _ = g.Run(c.ctx) }()
}

func (c *cluster) setCut(host string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[host] = cut
}

// leader returns the name and the status of the leader.
func (c *cluster) leader() (string, replica.Status) {
	for _, name := range c.names {
		if st := c.nodes[name].Status(); st.Ready {
			return name, st
		}
	}
	c.t.Fatal("no leader")
	return "", replica.Status{}
}

// write makes a change on the leader.
func (c *cluster) write() error {
	name, _ := c.leader()
	return c.propose(name)
}

func (c *cluster) propose(host string) error {
	ctx, cancel := context.WithTimeout(c.ctx, 4*time.Second)
	defer cancel()
	_, err := c.nodes[host].Propose(ctx, carawayshift.Command{ID: time.Now().String(), Kind: carawayshift.AddNote, Note: &carawayshift.Note{}, At: time.Now().UTC()})
	return err
}

// A voter that is out of contact for a while is replaced and removed without hearing of
// it, and the leader stays the same. The host must join again once it is back: otherwise
// each such fault leaves one host less to replace the next one.
func TestRemovedHostJoinsAgain(t *testing.T) {
	faults := []struct {
		name string
		set  func(c *cluster, host string, on bool)
	}{
		{"cut off", func(c *cluster, host string, on bool) { c.setCut(host, on) }},
		{"full disk", func(c *cluster, host string, on bool) { c.disks[host].SetFull(on) }},
	}
	for _, tt := range faults {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(time.Minute)
				}()
				o := NewWithT(t)
				c := startCluster(ctx, t, 3, "a", "b", "c", "d")
				time.Sleep(5 * time.Second)
				for range 6 {
					leader, st := c.leader()
					o.Expect(st.Members).To(HaveLen(4))
					host := ""
					for _, m := range st.Members {
						if m.Voter && m.Host != leader {
							host = m.Host
						}
					}
					tt.set(c, host, true)
					for range 8 {
						o.Expect(c.write()).To(Succeed())
						time.Sleep(500 * time.Millisecond)
					}
					tt.set(c, host, false)
					time.Sleep(6 * time.Second)
				}
				_, st := c.leader()
				o.Expect(st.Members).To(HaveLen(4))
				o.Expect(c.write()).To(Succeed())
			})
		})
	}
}

// The disks of control hosts are full one after another, the leader's as often as others,
// never two at once. Changes must be accepted again soon after the last one has space,
// and all hosts must belong to the group.
func TestDisksFullInTurn(t *testing.T) {
	const seeds = 20
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(time.Minute)
				}()
				o := NewWithT(t)
				rng := rand.New(rand.NewPCG(seed, 1))
				names := []string{"a", "b", "c", "d", "e", "f"}[:3+seed%4]
				voters := 3
				if len(names) > 5 {
					voters = 5
				}
				c := startCluster(ctx, t, voters, names...)
				time.Sleep(6 * time.Second)
				go func() {
					for ctx.Err() == nil {
						_ = c.propose(names[0]) // fails while there is no leader
						time.Sleep(200 * time.Millisecond)
					}
				}()
				for range 12 {
					disk := c.disks[names[rng.IntN(len(names))]]
					disk.SetFull(true)
					time.Sleep(time.Duration(1000+rng.IntN(5000)) * time.Millisecond)
					disk.SetFull(false)
					time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
				}
				time.Sleep(5 * time.Second)
				_, st := c.leader()
				o.Expect(c.write()).To(Succeed())
				o.Expect(st.Members).To(HaveLen(len(names)))
				for _, r := range c.nodes {
					o.Expect(r.Status().DiskFull).To(BeFalse())
				}
			})
		})
	}
}
