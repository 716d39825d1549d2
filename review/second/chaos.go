package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// chaosJob is what is known of one job of caseChaos.
type chaosJob struct {
	id        string
	queue     string
	steps     []map[string]any
	accepted  time.Time
	cancelled time.Time
	lasting   bool
	hopeless  bool
}

// caseChaos plays random jobs and random disruptions, and checks the rules on jobs that
// need no steady state. It searches; it is no case of the review.
func caseChaos(d *deployment, trouble bool) (bool, string) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 1))
	d.bring(12)
	state := desired(9)
	state["services"].([]any)[0].(map[string]any)["admission_check"] = false
	d.order("/config/replace", state, 20*time.Second)
	for _, r := range d.runners {
		r.unguarded = true
	}
	var mu sync.Mutex
	jobs := map[string]*chaosJob{}
	done := map[string]time.Time{}   // a task has ended done
	doneNoted := map[string]int{}    // and that was taken note of, by run
	lapsesAt := map[string]int{}     // lapses of the runner at that end
	failedNoted := map[string]int{}  // failed ends taken note of
	gangSaved := map[string]string{} // checkpoint of each run of a gang
	lastCore := time.Now()           // the last disruption of the core
	stepOf := func(name string) (*chaosJob, int, string) {
		f := strings.Split(name, ".")
		n, _ := strconv.Atoi(f[2])
		return jobs[f[0]], n, f[0] + ".0." + f[2] + "."
	}
	d.watchStart = func(r *runner, name string, run int, ck string) {
		mu.Lock()
		defer mu.Unlock()
		j, n, prefix := stepOf(name)
		if j == nil {
			d.violation("UNASKED: %s was never submitted", name)
			return
		}
		if gang := j.steps[n]["gang"] != nil; gang {
			k := prefix + strconv.Itoa(run)
			if other, ok := gangSaved[k]; ok && other != ck {
				d.violation("UNASKED: %s run %d gets the checkpoint %q, another member %q", name, run, ck, other)
			}
			gangSaved[k] = ck
			if ck != "" && !strings.HasPrefix(ck, prefix) {
				d.violation("UNASKED: %s run %d gets the checkpoint %s", name, run, ck)
			}
		} else if ck != "" && !strings.HasPrefix(ck, name+"/") {
			d.violation("UNASKED: %s run %d gets the checkpoint %s", name, run, ck)
		}
		if doneNoted[name] > 0 && run > doneNoted[name] {
			d.violation("TWICE: %s run %d starts on %s although the end done of run %d was taken note of", name, run, r, doneNoted[name])
		}
		if failedNoted[name] >= 3 {
			d.violation("BUDGET: %s run %d starts after 3 failed ends", name, run)
		}
		for _, s := range d.open(name) {
			if s.runner.gone() {
				continue
			}
			d.violation("TWICE: %s run %d starts on %s while run %d is at work on %s", name, run, r, s.run, s.runner)
		}
		for _, a := range afterOf(j.steps[n]) {
			for i := range j.steps[a]["count"].(int) {
				if done[fmt.Sprintf("%s.0.%d.%d", j.id, a, i)].IsZero() {
					d.violation("ORDER: %s run %d starts before step %d is done", name, run, a)
				}
			}
		}
		if limit, ok := j.steps[n]["anti_affinity"].(int); ok {
			on := 1
			for _, s := range d.open(strings.TrimSuffix(prefix, ".")) {
				if s.runner == r {
					on++
				}
			}
			if on > limit {
				d.violation("ROUTE: %s run %d is the %dth of its step on %s, beyond anti_affinity %d", name, run, on, r, limit)
			}
		}
		if !r.drained.IsZero() && time.Since(r.drained) > 2500*time.Millisecond && time.Since(lastCore) > contact {
			d.violation("DRAIN: %s run %d starts on %s %.1f s after the acknowledgement that it drains", name, run, r, time.Since(r.drained).Seconds())
		}
		if !j.cancelled.IsZero() && time.Since(j.cancelled) > cancelMs && time.Since(lastCore) > contact {
			d.violation("UNASKED: %s run %d starts %.1f s after its job was cancelled", name, run, time.Since(j.cancelled).Seconds())
		}
	}
	key := func(r *runner, name string, run int) string { return fmt.Sprint(r.id, r.born, name, run) }
	d.watchEnd = func(r *runner, name string, run int, how string) {
		mu.Lock()
		defer mu.Unlock()
		lapsesAt[key(r, name, run)] = r.lapses
		if how == "done" && done[name].IsZero() {
			done[name] = time.Now()
			if j, n, prefix := stepOf(name); j != nil && j.steps[n]["gang"] != nil {
				for i := range j.steps[n]["count"].(int) {
					if done[prefix+strconv.Itoa(i)].IsZero() {
						done[prefix+strconv.Itoa(i)] = time.Now()
					}
				}
			}
		}
	}
	d.watchNoted = func(r *runner, e []any) {
		name, run, how := e[1].(string), e[2].(int), e[3].(string)
		mu.Lock()
		defer mu.Unlock()
		if r.lapses != lapsesAt[key(r, name, run)] {
			return
		}
		switch how {
		case "done":
			doneNoted[name] = run
			for _, s := range d.starts(name) {
				if s.run > run && !s.from.Before(done[name]) {
					d.violation("TWICE: %s had started as run %d before the end done of run %d was taken note of now", name, s.run, run)
				}
			}
		case "failed":
			failedNoted[name]++
		}
	}
	d.gangs = map[string]map[string]member{}
	d.membersOf = func(name string) int {
		mu.Lock()
		defer mu.Unlock()
		j, n, _ := stepOf(name)
		if j == nil || j.steps[n]["gang"] == nil {
			return 0
		}
		return j.steps[n]["count"].(int)
	}
	end := time.Now().Add(55 * time.Second)
	var wg sync.WaitGroup
	hosts := []string{"core-1", "core-2", "core-3"}
	wg.Go(func() {
		for trouble && time.Now().Before(end.Add(-3*time.Second)) {
			time.Sleep(time.Duration(500+rng.IntN(3000)) * time.Millisecond)
			d.disrupt(rng, hosts, func() {
				mu.Lock()
				lastCore = time.Now()
				mu.Unlock()
			})
		}
	})
	n := 0
	jr := rand.New(rand.NewPCG(seed, 2))
	for time.Now().Before(end) {
		time.Sleep(time.Duration(jr.IntN(700)) * time.Millisecond)
		n++
		j := randomJob(jr, n)
		spec := j.steps[0]["spec"].(string)
		for _, s := range j.steps {
			delete(s, "spec")
		}
		mu.Lock()
		jobs[j.id] = j
		mu.Unlock()
		wg.Go(func() {
			at, ok := d.trySubmit(j.queue, j.id, "key-bob", spec, j.steps)
			if !ok {
				return
			}
			mu.Lock()
			j.accepted = at
			mu.Unlock()
			if j.lasting || len(j.id)%2 == 0 && j.id[15]%5 == 0 {
				time.Sleep(time.Duration(100+len(j.id)*int(j.id[14]%8)*40) * time.Millisecond)
				if at, ok := d.cancel(j.queue, j.id, "key-bob", 15*time.Second); ok {
					mu.Lock()
					j.cancelled = at
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	time.Sleep(finish + 4*time.Second)
	accepted, completed, used := 0, 0, 0
	for _, r := range d.runners {
		r.mu.Lock()
		for _, t := range r.runs {
			used += t.gpu
		}
		r.mu.Unlock()
	}
	for _, j := range jobs {
		if j.accepted.IsZero() {
			continue
		}
		accepted++
		status, text := d.state(j.queue, j.id, "key-bob")
		if status == 410 || status == 404 {
			d.violation("LOST: job %s is answered %d", j.id, status)
		}
		if left := d.open(j.id); !j.cancelled.IsZero() && len(left) > 0 {
			d.violation("UNASKED: %s of a cancelled job is at work at the end on %s", left[0].task, left[0].runner)
		}
		var s struct{ State string }
		json.Unmarshal([]byte(text), &s)
		if s.State == "completed" {
			completed++
			for i, st := range j.steps {
				for k := range st["count"].(int) {
					if done[fmt.Sprintf("%s.0.%d.%d", j.id, i, k)].IsZero() {
						d.violation("MIXED: job %s is completed, and task %d of step %d has not ended done", j.id, k, i)
					}
				}
			}
		}
		if (s.State == "running" || s.State == "queued") && len(d.open(j.id)) == 0 && used < 48 {
			d.violation("LOST: job %s is %s with nothing running", j.id, s.State)
		}
		if s.State == "failed" && !j.hopeless || s.State == "cancelled" && j.cancelled.IsZero() && !j.lasting {
			d.note("CHECK job %s is %s", j.id, s.State)
		}
	}
	if len(d.violations) > 0 {
		return true, fmt.Sprintf("%d violations, the first: %s", len(d.violations), d.violations[0])
	}
	return false, fmt.Sprintf("%d jobs accepted, %d completed, %d gpu in use at the end", accepted, completed, used)
}

func afterOf(step map[string]any) []int {
	list, _ := step["after"].([]int)
	return list
}

func randomJob(rng *rand.Rand, n int) *chaosJob {
	j := &chaosJob{id: fmt.Sprintf("%08x%08x", rng.Uint32(), n), queue: []string{"urgent", "batch", "batch"}[rng.IntN(3)]}
	work := 100 + rng.IntN(3000)
	gpu := rng.IntN(5)
	spec := fmt.Sprintf("work %d gpu %d", work, gpu)
	saves := rng.IntN(2) == 0
	if saves {
		spec += " saves 1"
	}
	j.lasting = rng.IntN(6) == 0
	if j.lasting {
		spec += " lasting 1"
	}
	switch rng.IntN(8) {
	case 0:
		spec += " fail 1"
	case 1:
		spec += " fail 9"
		j.hopeless = true
	}
	steps := 1 + rng.IntN(3)
	if j.lasting {
		steps = 1
	}
	for i := range steps {
		s := map[string]any{"count": 1 + rng.IntN(6), "cpu": 1000, "mem_mb": 1024, "gpu": gpu, "est_runtime_ms": work, "saves_progress": saves, "spec": spec}
		if j.lasting {
			s["persistent"] = true
		} else if rng.IntN(3) == 0 {
			s["gang"] = true
		}
		if i > 0 {
			s["after"] = []int{rng.IntN(i)}
		}
		if rng.IntN(3) == 0 {
			s["anti_affinity"] = 1 + rng.IntN(2)
		}
		j.steps = append(j.steps, s)
	}
	return j
}

// trySubmit hands a job in until it is accepted.
func (d *deployment) trySubmit(queue, id, key, spec string, steps []map[string]any) (time.Time, bool) {
	end := time.Now().Add(15 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		status, _ := d.call("POST", d.entries[i%len(d.entries)], "/"+queue+"/"+id, key, map[string]any{"spec": spec, "steps": steps})
		d.note("requester: POST /%s/%s -> %d", queue, id, status)
		if status/100 == 2 {
			return time.Now(), true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, false
}

// disrupt makes one disruption and returns when it has ended.
func (d *deployment) disrupt(rng *rand.Rand, hosts []string, core func()) {
	h := hosts[rng.IntN(len(hosts))]
	r := d.runners[rng.IntN(len(d.runners))]
	span := time.Duration(500+rng.IntN(4500)) * time.Millisecond
	switch rng.IntN(10) {
	case 0:
		core()
		d.signal(h, syscall.SIGKILL)
		d.wait(h)
		time.Sleep(span / 4)
		d.launch(h)
		core()
	case 1:
		core()
		d.signal(h, syscall.SIGSTOP)
		time.Sleep(span)
		d.signal(h, syscall.SIGCONT)
		core()
	case 2:
		core()
		d.signal(h, syscall.SIGTERM)
		d.wait(h)
		d.launch(h)
		core()
	case 3:
		core()
		for _, h := range hosts {
			d.signal(h, syscall.SIGKILL)
		}
		for _, h := range hosts {
			d.wait(h)
		}
		time.Sleep(span / 2)
		for _, h := range hosts {
			d.launch(h)
		}
		core()
	case 4: // the runner crashes and starts again under its id
		r.halt("crash")
		time.Sleep(300 * time.Millisecond)
		r.mu.Lock()
		r.reset()
		r.mu.Unlock()
		if err := r.serve(); err != nil {
			d.note("%s did not start: %v", r, err)
		}
	case 5: // calls are carried out late, without an answer
		d.note("%s carries out calls late", r)
		r.setAnswer(func(path string, body map[string]any) bool {
			if path == "/hold" || rand.IntN(3) > 0 {
				return true
			}
			time.AfterFunc(time.Duration(rand.IntN(6000))*time.Millisecond, func() {
				if path == "/run-start" {
					r.runStart(body)
				}
				if path == "/run-stop" {
					r.runStop(body)
				}
			})
			return false
		})
		time.Sleep(span)
		r.setAnswer(nil)
	case 6: // the runner is cut off and runs on
		d.note("%s is cut off", r)
		r.mu.Lock()
		r.cut = true
		r.mu.Unlock()
		r.setAnswer(func(string, map[string]any) bool { return false })
		time.Sleep(span + 2*time.Second)
		r.mu.Lock()
		r.cut = false
		r.mu.Unlock()
		r.setAnswer(nil)
		d.note("%s is back", r)
	case 8: // the runner drains and leaves, another one comes at its address
		d.note("%s drains", r)
		r.leave(4 * time.Second)
		time.Sleep(4 * time.Second)
		d.call("POST", d.controls[rng.IntN(3)], "/instances/"+r.id+"/deregister", "", map[string]any{"born": r.born})
		r.halt("left")
		d.replace(rng, r)
	case 9: // the runner crashes, another one comes at its address, and a late report arrives
		r.halt("crash")
		d.replace(rng, r)
	case 7: // answers are lost, calls are carried out
		d.note("%s loses answers", r)
		r.setAnswer(func(path string, body map[string]any) bool {
			if rand.IntN(2) == 0 {
				return true
			}
			switch path {
			case "/run-start":
				r.runStart(body)
			case "/run-stop":
				r.runStop(body)
			}
			return false
		})
		time.Sleep(span)
		r.setAnswer(nil)
	}
}

func (r *runner) setAnswer(fn func(string, map[string]any) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer = fn
}

func gangOf(name string, run int) string {
	return name[:strings.LastIndex(name, ".")] + "/" + strconv.Itoa(run)
}

// join adds a member to its gang, which starts to work once it is complete.
func (d *deployment) join(r *runner, name string, run int, t *task) {
	d.mu.Lock()
	k := gangOf(name, run)
	if d.gangs[k] == nil {
		d.gangs[k] = map[string]member{}
	}
	d.gangs[k][name] = member{r, t}
	all := map[string]member{}
	if len(d.gangs[k]) == t.members {
		for n, m := range d.gangs[k] {
			all[n] = m
		}
	}
	d.mu.Unlock()
	for n, m := range all {
		m.r.mu.Lock()
		if m.r.runs[n] == m.t {
			m.t.waits, m.t.since = false, time.Now()
		}
		m.r.mu.Unlock()
	}
}

// breakGang ends the other members of a gang of which one has ended.
func (d *deployment) breakGang(name string, run int) {
	d.mu.Lock()
	k := gangOf(name, run)
	all := map[string]member{}
	for n, m := range d.gangs[k] {
		if n != name {
			all[n] = m
		}
	}
	d.mu.Unlock()
	for n, m := range all {
		m.r.mu.Lock()
		if m.r.runs[n] == m.t && !m.t.waits {
			m.r.end(n, "broken")
		}
		m.r.mu.Unlock()
	}
}

// replace starts another runner at the address of one that is gone, and sends a late
// report of the old one.
func (d *deployment) replace(rng *rand.Rand, r *runner) {
	time.Sleep(300 * time.Millisecond)
	next := &runner{c: d, id: fmt.Sprintf("%s-%d", strings.Split(r.id, "_")[0]+"_", rng.IntN(100000)), zone: r.zone, rack: r.rack, machine: r.machine, addr: r.addr, gpu: r.gpu, unguarded: true}
	next.reset()
	if err := next.serve(); err != nil {
		d.note("%s did not start: %v", next, err)
	}
	d.mu.Lock()
	for i := range d.runners {
		if d.runners[i] == r {
			d.runners[i] = next
		}
	}
	d.mu.Unlock()
	d.note("%s takes the place of %s", next, r)
	time.AfterFunc(time.Duration(rng.IntN(2500))*time.Millisecond, func() {
		status, _ := d.call("POST", d.controls[rand.IntN(3)], "/instances/"+r.id+"/heartbeat", "", map[string]any{
			"service": "fit", "address": r.addr, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]any{"cpu": 128000, "mem_mb": 262144, "gpu": r.gpu}, "labels": []string{"a", r.rack},
			"machine": r.machine, "clock_ms": r.clock(), "seq": r.seq + 1, "born": r.born,
		})
		d.note("late report of %s -> %d", r, status)
	})
}
