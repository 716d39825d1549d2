package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { plays["reclaim"] = play{kmw, reclaim} }

// reclaim: a large job of a less urgent queue takes 7 of 8 accelerators of each runner.
// Then a tenant uses a part of its guarantee for small urgent tasks, and another tenant
// asks for its own guarantee with a task that needs a whole runner.
func reclaim(d *Deployment) (verdict, error) {
	const lent, small, whole = "00000000000000e1", "00000000000000e2", "00000000000000e3"
	const runners = 8
	if err := d.startHosts(1); err != nil {
		return nil, err
	}
	state := strings.ReplaceAll(fmt.Sprintf(catalog, 7), `"guaranteed":{"gpu":0}`, `"guaranteed":{"gpu":8}`)
	if err := d.operate("POST", "/config/replace", state, 20*time.Second); err != nil {
		return nil, err
	}
	p := newPool(d, "fit", func(task string) Need {
		switch task[:16] {
		case lent:
			return Need{CPU: 11000, MemMB: 16000, GPU: 7}
		case small:
			return Need{CPU: 1000, MemMB: 1000, GPU: 1}
		}
		return Need{CPU: 15000, MemMB: 31000, GPU: 8, Work: 2500 * time.Millisecond}
	})
	for i := range runners {
		p.add(fmt.Sprint("i-", i+1), "r-1", i+1)
	}
	settle(d)
	if d.trouble {
		if err := d.submit("key-school", "/batch/", lent, fmt.Sprintf(`{"spec":"lent","steps":[{"count":%d,"cpu":11000,"mem_mb":16000,"gpu":7,"est_runtime_ms":60000,"persistent":true,"image":"batch"}]}`, runners)); err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Second)
	}
	if err := d.submit("key-troupe", "/urgent/", small, fmt.Sprintf(`{"spec":"small","steps":[{"count":%d,"cpu":1000,"mem_mb":1000,"gpu":1,"est_runtime_ms":60000,"persistent":true,"image":"desk"}]}`, runners)); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	for _, r := range p.runners {
		r.mu.Lock()
		var list []string
		for task := range r.runs {
			list = append(list, task)
		}
		r.mu.Unlock()
		d.record.add("runner %s has %v", r.id, list)
	}
	if err := d.submit("key-school", "/urgent/", whole, `{"spec":"whole","steps":[{"count":1,"cpu":15000,"mem_mb":31000,"gpu":8,"est_runtime_ms":2500}]}`); err != nil {
		return nil, err
	}
	confirmed := time.Now()
	for time.Since(confirmed) < 40*time.Second {
		time.Sleep(20 * time.Millisecond)
		if len(p.spans(whole)) > 0 {
			break
		}
	}
	after := time.Since(confirmed)
	began := len(p.spans(whole)) > 0
	d.record.add("the school's urgent task has begun: %v, after %.1f s", began, after.Seconds())
	if limit := time.Duration(d.bounds.ReclaimMs) * time.Millisecond; after > limit {
		return verdict{fmt.Sprintf("RECLAIM: the school's job of priority 0 needs 8 gpu of 8 guaranteed and hasn't begun %.1f s after its confirmation; %v is allowed", after.Seconds(), limit)}, nil
	}
	return nil, nil
}
