package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { plays["sameid"] = play{kmw, sameID} }

// sameID: a requester of one tenant chooses an id that a requester of another tenant has
// chosen for a job in another queue.
func sameID(d *Deployment) (verdict, error) {
	first, second := "0000000000000001", "0000000000000001"
	if !d.trouble {
		second = "0000000000000002"
	}
	if err := prepare(d, 1); err != nil {
		return nil, err
	}
	p := newPool(d, "fit", func(string) Need { return Need{CPU: 4000, MemMB: 1024, GPU: 1, Work: 2 * time.Second} })
	var mu sync.Mutex
	specs := map[string]int{}
	p.late = func(_ *Runner, path, _ string, _ int, b map[string]any) time.Duration {
		if spec, ok := b["spec"].(string); ok && path == "/run-start" {
			mu.Lock()
			defer mu.Unlock()
			specs[spec]++
		}
		return 0
	}
	for i := range 4 {
		p.add(fmt.Sprint("i-", i+1), "r-1", i+1)
	}
	settle(d)
	const body = `{"spec":"%s","steps":[{"count":1,"cpu":4000,"mem_mb":1024,"gpu":1,"est_runtime_ms":2000}]}`
	if err := d.submit("key-troupe", "/render/", first, fmt.Sprintf(body, "stilts of the troupe")); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	status, text := call("POST", d.entry(0), "jobs.example", "key-school", "/batch/"+second, fmt.Sprintf(body, "costumes of the school"), 3*time.Second)
	d.record.add("requester of the school: POST /batch/%s answered %d %s", second, status, text)
	if status == 0 || status >= 500 {
		return nil, fmt.Errorf("no clear answer")
	}
	if status/100 != 2 {
		return nil, nil // refused: the requester knows that the job was not accepted
	}
	time.Sleep(5 * time.Second) // visible_ms is 3,000
	var v verdict
	for range 3 {
		status, text = d.get("key-school", "/batch/"+second)
		d.record.add("requester of the school: GET /batch/%s answered %d %s", second, status, text)
		if status == 410 {
			v = verdict{fmt.Sprintf("LOST: the school's job /batch/%s was accepted with 200; nobody has cancelled it, and GET answers 410", second)}
		}
		time.Sleep(time.Second)
	}
	time.Sleep(10 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for spec, n := range specs {
		d.record.add("runners were told %d times to start %q", n, spec)
	}
	if specs["costumes of the school"] == 0 {
		v = append(v, "LOST: no runner was told to start a task of the school's job, with all runners idle for 10 s")
	}
	for i := range 3 {
		for _, l := range d.logLines(fmt.Sprintf("core-%d", i+1), `"accepted"`) {
			d.record.add("log of core-%d: %s", i+1, strings.TrimSpace(l))
		}
	}
	return v, nil
}
