package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["pending"] = waitingCount }

// waitingCount: a runner is cut off just before four jobs of one task come, which are placed
// on it. While none of them has begun, the queue's count is asked for at both entry hosts.
func waitingCount(d *deployment, trouble bool) (bool, error) {
	const jobs = 4
	fleet := d.newFleet()
	links := map[string]*link{}
	for k := range 6 {
		r, l, err := d.linkedRunner(k)
		if err != nil {
			return false, err
		}
		links[r.ID] = l
		fleet.Runners = append(fleet.Runners, r)
	}
	step := stepSpec{Count: 1, CPU: 15000, MemMB: 31000, GPU: 1, WorkMs: 2500}
	body := jobBody([]map[string]any{{"count": 1, "cpu": 15000, "mem_mb": 31000, "gpu": 1, "est_runtime_ms": 2500}})
	ids := []string{}
	for i := range jobs + 1 {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", i)
		fleet.Jobs[id] = jobSpec{Steps: []stepSpec{step}}
		ids = append(ids, id)
	}
	if err := d.begin(fleet, desiredState(1, 1)); err != nil {
		return false, err
	}
	// The first job shows where the next ones are placed.
	if err := d.submit(ids[0], body); err != nil {
		return false, err
	}
	if !d.awaitCount("started", 1, 10*time.Second) {
		return false, unable("the first task has not begun")
	}
	busy := d.events()[0].Runner
	if !d.awaitState(ids[0], "completed", 10*time.Second) {
		return false, unable("the first job is not completed")
	}
	if trouble {
		d.rec.printf("runner %s is cut off", busy)
		links[busy].set(true)
		time.AfterFunc(longCut, func() { links[busy].set(false) })
	}
	for _, id := range ids[1:] {
		if err := d.submit(id, body); err != nil {
			return false, err
		}
	}
	accepted := time.Now()
	time.Sleep(visibleTime)
	broken := 0
	for time.Since(accepted) < 15*time.Second {
		begun := 0
		for _, id := range ids[1:] {
			if d.began(id) > 0 {
				begun++
			}
		}
		for i := range 2 {
			status, text := d.call("GET", d.entry(i), routeHost, routePath, "")
			var c struct {
				Pending int `json:"pending"`
			}
			if status != 200 || json.Unmarshal([]byte(text), &c) != nil {
				continue
			}
			after := 0
			for _, id := range ids[1:] {
				if d.began(id) > 0 {
					after++
				}
			}
			if waiting := jobs - after; 2*c.Pending < waiting && begun == after {
				broken++
				d.rec.printf("BREAK: entry host %d says %d pending; %d jobs were accepted %.1f s ago and have not begun", i, c.Pending, waiting, time.Since(accepted).Seconds())
			}
		}
		if begun == jobs {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.rec.printf("counts under half of the jobs that have not begun: %d", broken)
	return broken > 0, nil
}

const (
	// visibleTime is visible_ms of kmw-shift and the 2 s by which a count may lag.
	visibleTime = 5200 * time.Millisecond
	longCut     = 5500 * time.Millisecond
)
