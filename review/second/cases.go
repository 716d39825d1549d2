package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	contact   = 4000 * time.Millisecond
	cancelMs  = 3000 * time.Millisecond
	reclaimMs = 2900 * time.Millisecond
	// slack is added to each bound for the load of the machine.
	slack = 2 * time.Second
)

func lasting(count, gpu, mayMiss int) map[string]any {
	s := map[string]any{"count": count, "cpu": 1000, "mem_mb": 1024, "gpu": gpu, "est_runtime_ms": 1000, "persistent": true}
	if mayMiss > 0 {
		s["may_miss"] = mayMiss
	}
	return s
}

// caseReclaim: a tenant has lent all of its accelerators to a job that lasts, and then
// hands in a job of priority 0.
func caseReclaim(d *deployment, trouble bool) (bool, string) {
	d.bring(4)
	if trouble {
		d.submit("batch", "b0b0000000000001", "key-bob", "lasting 1 gpu 8", lasting(4, 8, 0))
		if !until(10*time.Second, func() bool { return len(d.open("b0b0000000000001")) == 4 }) {
			fail("the job that lasts did not start")
		}
		time.Sleep(2 * time.Second)
	}
	const id = "a000000000000001"
	at := d.submit("urgent", id, "key-ann", "work 1000 gpu 8", map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1024, "gpu": 8, "est_runtime_ms": 1000})
	begun := until(25*time.Second, func() bool { return len(d.starts(id)) > 0 })
	d.state("urgent", id, "key-ann")
	if !begun {
		return true, fmt.Sprintf("RECLAIM: the job of priority 0 needs 8 of 16 guaranteed gpu and has not begun %.0f s after its confirmation (reclaim_ms %d)", time.Since(at).Seconds(), reclaimMs.Milliseconds())
	}
	took := d.starts(id)[0].from.Sub(at)
	return took > reclaimMs+slack, fmt.Sprintf("the job of priority 0 began %d ms after its confirmation", took.Milliseconds())
}

// caseCancel: all machines of the core lose power for four seconds, and a requester
// cancels a job meanwhile, until the cancel is confirmed. It does so three times, with a
// job of its own each, unless the rule breaks before.
func caseCancel(d *deployment, trouble bool) (bool, string) {
	d.bring(48)
	// Other work of the service, which goes on.
	const other, others = "c000000000000009", 480
	spread := lasting(others, 0, 0)
	spread["anti_affinity"] = 10
	d.submit("batch", other, "key-ann", "lasting 1", spread)
	for round := 1; round <= 3; round++ {
		id := fmt.Sprintf("c00000000000000%d", round)
		if text := d.cancelOnce(id, other, others, trouble); text != "" {
			return true, fmt.Sprintf("UNASKED: round %d: %s", round, text)
		}
	}
	return false, "all tasks of the cancelled jobs are gone, three times"
}

// cancelOnce returns what was seen if tasks of the job run on, or "".
func (d *deployment) cancelOnce(id, other string, others int, trouble bool) string {
	const count = 96
	d.submit("batch", id, "key-bob", "lasting 1 gpu 4", lasting(count, 4, 0))
	if !until(15*time.Second, func() bool { return len(d.open(id)) == count && len(d.open(other)) == others }) {
		fail("the jobs did not start: %d of %d tasks", len(d.open(id)), count)
	}
	time.Sleep(2 * time.Second)
	calm := time.Now()
	if trouble {
		names := []string{"core-1", "core-2", "core-3"}
		for _, n := range names {
			d.signal(n, syscall.SIGKILL)
		}
		for _, n := range names {
			d.wait(n)
		}
		time.Sleep(4 * time.Second)
		for _, n := range names {
			d.launch(n)
		}
		calm = time.Now().Add(contact)
	}
	at, ok := d.cancel("batch", id, "key-bob", 20*time.Second)
	if !ok {
		fail("the cancel was not confirmed")
	}
	if at.After(calm) {
		calm = at
	}
	limit := calm.Add(cancelMs + stopTimeout + slack)
	time.Sleep(time.Until(limit))
	left := d.open(id)
	if len(left) == 0 {
		return ""
	}
	d.note("%d tasks are still at work after the bound", len(left))
	time.Sleep(15 * time.Second)
	still := len(d.open(id))
	d.state("batch", id, "key-bob")
	return fmt.Sprintf("%d of %d tasks of the cancelled job ran on %.1f s after the confirmation, in a calm stretch; %d of them 15 s later", len(left), count, limit.Sub(at).Seconds(), still)
}

// caseUpkeep: a wave of two machines, two at once, takes down two tasks of a step of
// which one may be away.
func caseUpkeep(d *deployment, trouble bool) (bool, string) {
	c := newCloud(d)
	d.bring(6)
	const id = "e000000000000001"
	const count, mayMiss, limit = 4, 1, 2
	d.submit("batch", id, "key-bob", "lasting 1 gpu 8", lasting(count, 8, mayMiss))
	if !until(15*time.Second, func() bool { return len(d.open(id)) == count }) {
		fail("the job did not start: %d of %d tasks", len(d.open(id)), count)
	}
	time.Sleep(notice + 2*time.Second)
	// Two machines on which a task is at work.
	var names []string
	for _, s := range d.open(id)[:2] {
		names = append(names, s.runner.machine)
		c.wave[s.runner.machine] = 1
	}
	if trouble {
		d.order("/wave-start", map[string]any{"wave": 1, "machines": names, "duration_s": 10, "cap": limit}, 10*time.Second)
	}
	time.Sleep(18 * time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.upkeeps {
		for _, task := range u.ended {
			n := c.away(id, count, task, u.at)
			d.note("upkeep of %s ended %s while %d others of its step were away", u.machine, task, n)
			if n >= mayMiss {
				return true, fmt.Sprintf("AVAIL: the upkeep of %s ended %s, which was at work, while %d others of its step were away; may_miss is %d", u.machine, task, n, mayMiss)
			}
		}
	}
	return false, fmt.Sprintf("%d upkeeps; no task was ended while %d others were away", len(c.upkeeps), mayMiss)
}

const finish = 14 * time.Second

// caseAffinity: the rack of a job's data is full of tasks that last, and the other racks
// are idle. The job has priority 0 and is within its tenant's guarantee.
func caseAffinity(d *deployment, trouble bool) (bool, string) {
	d.bring(6)
	const rack = "r1-0"
	if trouble {
		fill := lasting(2, 8, 0)
		fill["affinity"] = rack
		d.submit("batch", "b0b0000000000002", "key-bob", "lasting 1 gpu 8", fill)
		if !until(10*time.Second, func() bool { return len(d.open("b0b0000000000002")) == 2 }) {
			fail("the jobs that last did not start")
		}
		time.Sleep(2 * time.Second)
	}
	const id = "a000000000000002"
	at := d.submit("urgent", id, "key-ann", "work 1000 gpu 8", map[string]any{
		"count": 1, "cpu": 1000, "mem_mb": 1024, "gpu": 8, "est_runtime_ms": 60000, "affinity": rack,
	})
	begun := until(25*time.Second, func() bool { return len(d.starts(id)) > 0 })
	d.state("urgent", id, "key-ann")
	if !begun {
		return true, fmt.Sprintf("RECLAIM: the job of priority 0 needs 8 of 16 guaranteed gpu, 32 of 48 gpu are idle, and it has not begun %.0f s after its confirmation (reclaim_ms %d)", time.Since(at).Seconds(), reclaimMs.Milliseconds())
	}
	took := d.starts(id)[0].from.Sub(at)
	return took > reclaimMs+slack, fmt.Sprintf("the job of priority 0 began %d ms after its confirmation", took.Milliseconds())
}

// caseReserve: a job that can't start yet, a gang that needs every runner while a task
// that lasts is on one of them, keeps the idle runners from a job behind it.
func caseReserve(d *deployment, trouble bool) (bool, string) {
	d.bring(6)
	const service, gang, id = "d000000000000001", "d000000000000002", "d000000000000003"
	step := func(count, est int) map[string]any {
		return map[string]any{"count": count, "cpu": 1000, "mem_mb": 1024, "gpu": 8, "est_runtime_ms": est}
	}
	d.submit("batch", service, "key-bob", "lasting 1 gpu 8", lasting(1, 8, 0))
	if !until(10*time.Second, func() bool { return len(d.open(service)) == 1 }) {
		fail("the job that lasts did not start")
	}
	if trouble {
		g := step(6, 3600000)
		g["gang"] = true
		d.submit("batch", gang, "key-ann", "work 3600000 gpu 8", g)
		time.Sleep(time.Second)
	}
	at := d.submit("batch", id, "key-bob", "work 4000000 gpu 8", step(1, 4000000))
	until(finish+30*time.Second, func() bool { return len(d.starts(id)) > 0 })
	d.state("batch", id, "key-bob")
	d.state("batch", gang, "key-ann")
	used := len(d.open(service)) + len(d.open(gang))
	if len(d.starts(id)) == 0 {
		return true, fmt.Sprintf("LOST: %.0f s after the end of the traffic a job of one task has had nothing running at any time, while %d of 6 runners were in use", time.Since(at).Seconds(), used)
	}
	took := d.starts(id)[0].from.Sub(at)
	return took > finish+3*time.Second, fmt.Sprintf("the job began %d ms after its confirmation", took.Milliseconds())
}

// leader returns the number of the control host that began to lead last, counted from 0,
// as its log says.
func (d *deployment) leader() int {
	best, at := -1, ""
	for i := range 3 {
		b, _ := os.ReadFile(filepath.Join(d.dir, fmt.Sprintf("core-%d.log", i+1)))
		for _, line := range strings.Split(string(b), "\n") {
			if !strings.Contains(line, `"event":"leading"`) {
				continue
			}
			_, t, _ := strings.Cut(line, `"time":"`)
			if t > at {
				best, at = i, t
			}
		}
	}
	return best
}

// caseLeader: seven of 48 runners are taken away at short notice, and two of three
// control hosts, one of them the leader, lose power for somewhat over a second meanwhile.
func caseLeader(d *deployment, trouble bool) (bool, string) {
	// Each runner reports to a control host of its own choice.
	d.spread = true
	d.bring(48)
	const id = "f000000000000001"
	const count, taken = 28, 7
	d.submit("batch", id, "key-bob", "lasting 1 gpu 8", lasting(count, 8, 0))
	if !until(15*time.Second, func() bool { return len(d.open(id)) == count }) {
		fail("the job did not start: %d of %d tasks", len(d.open(id)), count)
	}
	time.Sleep(4 * time.Second)
	lead := d.leader()
	if lead < 0 {
		fail("no leader")
	}
	// Runners with a task that report to one control host that doesn't lead.
	stays := (lead + 1) % 3
	var gone []span
	for _, s := range d.open(id) {
		if s.runner.first == stays && len(gone) < taken {
			gone = append(gone, s)
		}
	}
	d.note("core-%d leads; core-%d stays up", lead+1, stays+1)
	const notice = 2 * time.Second
	for _, s := range gone {
		d.note("%s, with %s, is to be taken away in 2 s", s.runner, s.task)
		s.runner.leave(notice)
	}
	for _, s := range gone {
		if !until(time.Second, func() bool { return !s.runner.confirmed().IsZero() }) {
			fail("an announcement was not acknowledged")
		}
	}
	at := time.Now()
	var names []string
	for i := range 3 {
		if i != stays {
			names = append(names, fmt.Sprintf("core-%d", i+1))
		}
	}
	if trouble {
		time.Sleep(time.Until(at.Add(900 * time.Millisecond)))
		for _, n := range names {
			d.signal(n, syscall.SIGKILL)
		}
		for _, n := range names {
			d.wait(n)
		}
	}
	time.Sleep(time.Until(at.Add(notice)))
	for _, s := range gone {
		s.runner.halt("taken away")
	}
	if trouble {
		for _, n := range names {
			d.launch(n)
		}
	}
	missing := func() (list []string) {
		for _, s := range gone {
			if len(d.open(s.task)) == 0 {
				list = append(list, s.task)
			}
		}
		return list
	}
	// The time until control hosts are in touch, the lease, the 6 s and 3 s of the rule,
	// and 10 s more.
	limit := time.Now().Add(contact + holdMax + 9*time.Second + 10*time.Second)
	if until(time.Until(limit), func() bool { return len(missing()) == 0 }) {
		return false, fmt.Sprintf("all %d tasks are at work again %.1f s after their runners were taken away", len(gone), time.Since(at.Add(notice)).Seconds())
	}
	time.Sleep(20 * time.Second)
	list := missing()
	status, text := d.state("batch", id, "key-bob")
	return len(list) > 0, fmt.Sprintf("LOST: %d of %d tasks that last have had nothing running for %.0f s since their runners were taken away, while 13 runners or more are idle: %s; the job: %d %s", len(list), len(gone), time.Since(at.Add(notice)).Seconds(), strings.Join(list, " "), status, text)
}

// caseForeign: for each runner one report of another writer comes, with its id and a
// higher seq, in which a field is missing.
func caseForeign(d *deployment, trouble bool) (bool, string) {
	d.bring(6)
	if trouble {
		for _, r := range d.runners {
			r.mu.Lock()
			report := map[string]any{
				"service": "fit", "address": r.addr, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
				"capacity": map[string]any{"cpu": 128000, "mem_mb": 262144, "gpu": r.gpu}, "machine": r.machine, "clock_ms": r.clock(), "seq": r.seq + 1000, "born": r.born,
			}
			r.mu.Unlock()
			status, _ := d.call("POST", d.controls[0], "/instances/"+r.id+"/heartbeat", "", report)
			d.note("report of another writer for %s, without labels -> %d", r, status)
		}
		time.Sleep(8 * time.Second)
	}
	const id = "a000000000000003"
	at := d.submit("urgent", id, "key-ann", "work 1000 gpu 8", map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1024, "gpu": 8, "est_runtime_ms": 1000})
	until(finish+15*time.Second, func() bool { return len(d.starts(id)) > 0 })
	d.state("urgent", id, "key-ann")
	if len(d.starts(id)) == 0 {
		return true, fmt.Sprintf("LOST: %.0f s after the end of the traffic the job has had nothing running at any time, while 6 of 6 runners are idle", time.Since(at).Seconds())
	}
	return false, fmt.Sprintf("the job began %d ms after its confirmation", d.starts(id)[0].from.Sub(at).Milliseconds())
}
