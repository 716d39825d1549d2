package replica

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a group that elects no leader, fails to commit through one of
// the hosts, or loses commands when all hosts restart.
func TestElectsCommitsAndRestarts(t *testing.T) {
	inBubble(t, 1, 3, Config{SnapshotEntries: 20, KeepEntries: 5}, func(g *group) {
		w := NewWithT(g.t)
		g.waitLeader()
		for i := range 50 {
			n := g.nodes[g.names[i%3]]
			_, err := g.set(n, fmt.Sprint("c", i), "k", fmt.Sprint(i))
			w.Expect(err).NotTo(HaveOccurred())
		}
		for _, name := range g.names {
			g.kill(name)
		}
		for _, name := range g.names {
			g.start(name)
		}
		g.waitLeader()
		for _, name := range g.names {
			value, version, err := g.read(g.nodes[name], "k")
			w.Expect(err).NotTo(HaveOccurred())
			w.Expect(value).To(Equal("49"))
			w.Expect(version).To(BeEquivalentTo(50))
		}
	})
}

// Guards against an outage of more than 3 s after the loss of the leader's host.
func TestLeaderLoss(t *testing.T) {
	inBubble(t, 2, 5, Config{}, func(g *group) {
		w := NewWithT(g.t)
		old := g.waitLeader()
		g.kill(old.name)
		start := time.Now()
		n := g.waitLeader()
		_, err := g.set(n, "a", "k", "v")
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
		g.start(old.name)
		_, version, err := g.read(g.nodes[old.name], "k")
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(version).To(BeEquivalentTo(1))
	})
}

// Guards against a different state after a restart, with and without snapshots.
func TestRecovery(t *testing.T) {
	for _, entries := range []uint64{100000, 300} {
		t.Run(fmt.Sprint("snapshot every ", entries), func(t *testing.T) {
			inBubble(t, 3, 1, Config{SnapshotEntries: entries, KeepEntries: 50}, func(g *group) {
				w := NewWithT(g.t)
				n := g.waitLeader()
				for i := range 1000 {
					_, err := g.set(n, fmt.Sprint("c", i), fmt.Sprint("k", i%40), fmt.Sprint(i))
					w.Expect(err).NotTo(HaveOccurred())
				}
				before, size := n.machine.bytes(), n.j.LogSize()
				g.kill(n.name)
				started := time.Now()
				n = g.start(n.name)
				g.waitLeader()
				_, _, err := g.read(n, "k1")
				w.Expect(err).NotTo(HaveOccurred())
				w.Expect(n.machine.bytes()).To(Equal(before))
				t.Logf("1,000 changes: log %d bytes, ready %v after the start (fake time)", size, time.Since(started))
			})
		})
	}
}

// Guards against a leader that is frozen for a minute and then serves a stale
// read, or acknowledges a command, although the others elected a new leader.
func TestFrozenLeader(t *testing.T) {
	inBubble(t, 4, 3, Config{}, func(g *group) {
		w := NewWithT(g.t)
		old := g.waitLeader()
		_, err := g.set(old, "a", "k", "old")
		w.Expect(err).NotTo(HaveOccurred())
		g.net.freeze(old.name)
		time.Sleep(5 * time.Second)
		w.Expect(old.r.Status().Ready).To(BeTrue(), "the frozen leader must not have stepped down yet")
		other := g.nodes[g.names[0]]
		if other == old {
			other = g.nodes[g.names[1]]
		}
		_, err = g.set(other, "b", "k", "new")
		w.Expect(err).NotTo(HaveOccurred())
		time.Sleep(55 * time.Second)
		g.net.unfreeze(old.name)
		value, _, err := g.read(old, "k")
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(value).To(Equal("new"))
	})
}

// Guards against a host that lost its disk, or runs on an older copy of it, and
// still votes or acknowledges entries as the former member.
func TestLostDiskMayNotVote(t *testing.T) {
	for _, lose := range []bool{true, false} {
		t.Run(fmt.Sprint("lost disk ", lose), func(t *testing.T) {
			inBubble(t, 5, 3, Config{}, func(g *group) {
				w := NewWithT(g.t)
				leader := g.waitLeader()
				victim, other := g.others(leader)
				backup := victim.disk.Copy()
				_, err := g.set(leader, "a", "k", "v")
				w.Expect(err).NotTo(HaveOccurred())
				time.Sleep(time.Second)
				g.killAndWipe(victim.name)
				if !lose {
					victim.disk = backup
				}
				g.start(victim.name)
				time.Sleep(2 * time.Second)
				w.Expect(leader.r.Status().RefusedMembers).To(ConsistOf(victim.name))
				g.kill(other.name)
				_, err = g.set(leader, "b", "k", "w")
				w.Expect(err).To(HaveOccurred(), "one voter and a refused member are not a majority")
			})
		})
	}
}

// Guards against an election that loses acknowledged commands: two voters that
// are behind and one with an older disk form a majority, but the others know that
// the older disk once held more entries.
func TestOlderDiskDoesNotElect(t *testing.T) {
	inBubble(t, 21, 5, Config{}, func(g *group) {
		w := NewWithT(g.t)
		leader := g.waitLeader()
		var rest []*node
		for _, name := range g.names {
			if name != leader.name {
				rest = append(rest, g.nodes[name])
			}
		}
		older, keeper, behind := rest[0], rest[1], rest[2:]
		backup := older.disk.Copy()
		_, err := g.set(leader, "a", "k", "seen by all")
		w.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		for _, n := range behind {
			g.cutHost(n.name, true, true, true)
		}
		_, err = g.set(leader, "b", "k", "acknowledged")
		w.Expect(err).NotTo(HaveOccurred())
		for _, n := range []*node{leader, keeper, older} {
			g.kill(n.name)
		}
		older.disk = backup
		g.start(older.name)
		for _, n := range behind {
			g.cutHost(n.name, true, true, false)
		}
		time.Sleep(time.Minute)
		for _, s := range g.statuses() {
			w.Expect(s.Ready).To(BeFalse(), "%+v", s)
		}
		g.start(keeper.name)
		g.waitLeader()
		value, _, err := g.read(behind[0], "k")
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(value).To(Equal("acknowledged"))
	})
}
