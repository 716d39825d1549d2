package replica

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"carawayshift.example/carawayshift"
)

// fault disturbs the group and leaves it whole.
type fault func(g *group)

func anyFault(g *group) {
	list := []fault{lossy, oneWay, isolateLeader, killOne, killAll, handOver}
	list[g.rng.IntN(len(list))](g)
}

// noise sets the share of lost and repeated messages and the longest delay.
func (n *network) noise(drop, dup float64, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop, n.dup = drop, dup
	n.delay = func() time.Duration { return time.Duration(n.rng.Int64N(int64(delay))) }
}

func (n *network) setDelay(fn func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = fn
}

func (n *network) cutOff(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

func (g *group) pause(most time.Duration) {
	time.Sleep(time.Second + time.Duration(g.rng.Int64N(int64(most))))
}

func lossy(g *group) {
	g.net.noise(0.2, 0.2, 300*time.Millisecond)
	g.pause(5 * time.Second)
	g.net.noise(0.01, 0.02, 15*time.Millisecond)
	g.pause(time.Second)
}

// oneWay cuts what one host sends, or what it receives.
func oneWay(g *group) {
	host, out := g.pick(g.rng), g.rng.IntN(2) == 0
	g.cutHost(host, out, !out, true)
	g.pause(4 * time.Second)
	g.cutHost(host, out, !out, false)
}

func (g *group) cutHost(host string, out, in, cut bool) {
	for _, other := range g.names {
		if out {
			g.net.cutOff(host, other, cut)
		}
		if in {
			g.net.cutOff(other, host, cut)
		}
	}
}

func isolateLeader(g *group) {
	host := g.waitLeader().name
	g.cutHost(host, true, true, true)
	g.pause(4 * time.Second)
	g.cutHost(host, true, true, false)
}

func freezeLeader(g *group) {
	host := g.waitLeader().name
	g.net.freeze(host)
	time.Sleep(time.Minute)
	g.net.thaw(host)
	g.pause(2 * time.Second)
}

// killOne kills the leader or any other host; the group goes on without it.
func killOne(g *group) {
	host := g.pick(g.rng)
	if g.rng.IntN(2) == 0 {
		host = g.waitLeader().name
	}
	g.kill(host)
	g.pause(3 * time.Second)
	g.start(host)
}

func killAll(g *group) {
	for _, host := range g.names {
		g.kill(host)
		time.Sleep(time.Duration(g.rng.IntN(20)) * time.Millisecond)
	}
	for _, host := range g.names {
		g.start(host)
		time.Sleep(time.Duration(g.rng.IntN(500)) * time.Millisecond)
	}
	g.waitLeader()
}

func handOver(g *group) {
	ctx, cancel := context.WithTimeout(g.ctx, 5*time.Second)
	defer cancel()
	_ = g.waitLeader().r.Transfer(ctx, "")
}

// loseDisk loses the disk of a host and repairs the group.
func loseDisk(g *group) {
	host := g.pick(g.rng)
	g.lose(host)
	g.pause(2 * time.Second)
	g.start(host)
	g.pause(2 * time.Second)
	g.repair(host)
}

// loseTwice loses a second disk as soon as the first host is a voter again.
func loseTwice(g *group) {
	first := g.pick(g.rng)
	g.lose(first)
	g.start(first)
	g.repair(first)
	second := g.pick(g.rng)
	for second == first {
		second = g.pick(g.rng)
	}
	g.lose(second)
	g.pause(3 * time.Second)
	g.start(second)
	g.repair(second)
}

// olderDisk gives a follower a copy of its disk that lacks acknowledged
// commands.
func olderDisk(g *group) {
	host, _ := g.others(g.waitLeader())
	backup := host.disk.Copy()
	g.pause(3 * time.Second)
	g.lose(host.name)
	host.disk = backup
	g.start(host.name)
	g.pause(2 * time.Second)
	g.lose(host.name)
	g.start(host.name)
	g.repair(host.name)
}

// replaceAll moves the group to new hosts, one voter at a time.
func replaceAll(g *group) {
	for i, old := range g.cfg.Voters {
		host := fmt.Sprint("n", i)
		g.start(host)
		g.admin("add", host, (*Replica).AddLearner)
		g.admin("promote", host, (*Replica).Promote)
		if n := g.waitLeader(); n.name == old {
			handOver(g)
		}
		g.admin("remove", old, (*Replica).Remove)
		g.kill(old)
		g.forget(old)
	}
}

func (g *group) forget(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, name := range g.names {
		if name == host {
			g.names = append(g.names[:i:i], g.names[i+1:]...)
		}
	}
}

// repair makes a host with an empty disk a voter again.
func (g *group) repair(host string) {
	g.admin("remove", host, (*Replica).Remove)
	g.admin("add", host, (*Replica).AddLearner)
	g.admin("promote", host, (*Replica).Promote)
}

// admin makes a membership change through any host and tries until it is in
// force.
func (g *group) admin(op, host string, change func(r *Replica, ctx context.Context, host string) error) {
	g.t.Helper()
	var err error
	for range 100 {
		ctx, cancel := context.WithTimeout(g.ctx, 3*time.Second)
		n := g.waitLeader()
		if op == "remove" && n.name == host {
			err = n.r.Transfer(ctx, "")
		} else {
			err = change(n.r, ctx, host)
		}
		cancel()
		kind := carawayshift.KindOf(err)
		if err == nil && !(op == "remove" && n.name == host) {
			return
		}
		if kind == carawayshift.Conflict || (op == "remove" && kind == carawayshift.NotFound) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	g.t.Fatalf("%s %s: %v; %+v", op, host, err, g.statuses())
}

// converge waits until all hosts have applied the same state and returns it.
func (g *group) converge() registerState {
	g.t.Helper()
	var leader *node
	for range 200 {
		leader = g.waitLeader()
		same := 0
		for _, name := range g.names {
			_, m := g.get(name)
			if bytes.Equal(m.bytes(), leader.machine.bytes()) {
				same++
			}
		}
		if same == len(g.names) {
			leader.machine.mu.Lock()
			defer leader.machine.mu.Unlock()
			return leader.machine.state
		}
		time.Sleep(100 * time.Millisecond)
	}
	g.t.Fatalf("the hosts' states differ: %+v", g.statuses())
	return registerState{}
}
