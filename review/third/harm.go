package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { plays["harm"] = play{mokojumbie, harm} }

const (
	harmTarget = 100 // target_ms of the serving task
	harmMs     = 4000
	// nearMs is how long after the late order an impairment counts as near here.
	nearMs = 10000
)

// harm: a task that serves and one that fills share the only runner. One pace order that
// raises the share of the filling task gets no answer and is carried out 8 s later.
func harm(d *Deployment) (verdict, error) {
	const serving, filling = "00000000000000a1", "00000000000000f1"
	if err := prepare(d, 1); err != nil {
		return nil, err
	}
	p := newPool(d, "fit", func(task string) Need {
		if task[:16] == serving {
			return Need{CPU: 16000, MemMB: 8192, GPU: 4, TargetMs: harmTarget}
		}
		return Need{CPU: 16000, MemMB: 8192, Fills: true}
	})
	// The load of the serving task and what the filling one disturbs change with time.
	var mu sync.Mutex
	base, disturbs := 40.0, 1.5
	set := func(b, x float64) {
		mu.Lock()
		defer mu.Unlock()
		base, disturbs = b, x
		d.record.add("stand-in: the tail of the serving task is now %v ms, and %v ms more for each percent of the filling one", b, x)
	}
	p.tail = func(_ *Runner, fills float64) int {
		mu.Lock()
		defer mu.Unlock()
		return int(base + disturbs*fills)
	}
	armed := false
	var lateAt time.Time
	p.late = func(r *Runner, path, _ string, _ int, b map[string]any) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if path != "/pace" || !armed || number(b["percent"]) < 80 {
			return 0
		}
		armed = false
		lateAt = time.Now().Add(8 * time.Second)
		if d.trouble {
			return 8 * time.Second
		}
		return 0
	}
	r := p.add("i-1", "r-1", 1)
	settle(d)
	if err := d.submit("key-troupe", "/urgent/", serving, fmt.Sprintf(`{"spec":"serves","steps":[{"count":1,"cpu":16000,"mem_mb":8192,"gpu":4,"est_runtime_ms":60000,"persistent":true,"image":"desk","target_ms":%d}]}`, harmTarget)); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	if err := d.submit("key-troupe", "/batch/", filling, `{"spec":"fills","steps":[{"count":1,"cpu":16000,"mem_mb":8192,"est_runtime_ms":60000,"persistent":true,"image":"fill","fills":true}]}`); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second) // the filling task is paced down
	mu.Lock()
	armed = true
	mu.Unlock()
	set(40, 0.1) // it disturbs little: it is paced up, step by step
	for i := 0; ; i++ {
		time.Sleep(50 * time.Millisecond)
		mu.Lock()
		at := lateAt
		mu.Unlock()
		if !at.IsZero() {
			break
		}
		if i > 300 {
			return nil, fmt.Errorf("the filling task was not paced up")
		}
	}
	time.Sleep(4 * time.Second)
	set(70, 1.5) // traffic rises: it disturbs again
	// Samples the tail until 40 s after the late order was carried out.
	var over time.Time
	var worst time.Duration
	for time.Since(lateAt) < 40*time.Second {
		time.Sleep(20 * time.Millisecond)
		r.mu.Lock()
		n, share := len(r.runs), r.fillShare()
		r.mu.Unlock()
		mu.Lock()
		tail, alone := base+disturbs*share, base
		mu.Unlock()
		near := time.Since(lateAt) < nearMs*time.Millisecond
		if n < 2 || near || tail <= harmTarget || alone > harmTarget || share == 0 {
			over = time.Time{}
			continue
		}
		if over.IsZero() {
			over = time.Now()
		}
		worst = max(worst, time.Since(over))
	}
	r.mu.Lock()
	d.record.add("at the end the filling task works at %v percent, the tail of the serving task is %d ms of %d", r.fillShare(), p.tail(r, r.fillShare()), harmTarget)
	r.mu.Unlock()
	for i := range 3 {
		for _, l := range d.logLines(fmt.Sprintf("core-%d", i+1), `"paced"`) {
			d.record.add("log of core-%d: %s", i+1, l)
		}
	}
	if worst >= harmMs*time.Millisecond {
		return verdict{fmt.Sprintf("HARM: the serving task is over its target_ms for %.1f s on end, counted from %d ms after the late order was carried out; without the filling task its tail would be 70 ms", worst.Seconds(), nearMs)}, nil
	}
	return nil, nil
}
