package main

import (
	"fmt"
	"time"
)

func init() { cases["empty"] = emptyRunners }

// emptyRunners: 48 runners; 20 of them have one lasting task of a queue of priority 1. A
// zone whose runners are empty is evacuated. Then a job of a queue of priority 2 comes, whose
// tasks need whole runners; 12 runners in service are empty.
func emptyRunners(d *deployment, trouble bool) (bool, error) {
	const lasting, job, secondPath = "5c0e7a21d94b3601", "5c0e7a21d94b3602", "/pule252/"
	fleet := d.newFleet()
	for i := range 6 * rackSize {
		at := fmt.Sprintf("%s:9100", d.ip(2, i+1))
		fleet.Runners = append(fleet.Runners, runnerConfig{
			ID: fmt.Sprintf("i-%02d", i), Service: service, Zone: zones[i/16], Rack: rackName(i / rackSize), Listen: at, Address: at,
			CPU: 128000, MemMB: 262144, GPU: 8,
		})
	}
	fleet.Jobs[lasting] = jobSpec{Steps: []stepSpec{{Count: 20, CPU: 15000, MemMB: 31000, GPU: 1, Persistent: true}}}
	whole := stepSpec{Count: 1, CPU: 52000, MemMB: 75000, GPU: 8, WorkMs: 8500}
	fleet.Jobs[job] = jobSpec{Steps: []stepSpec{whole, whole}}
	state := desiredState(1, 1)
	second := map[string]any{}
	for k, v := range state["routes"].([]any)[0].(map[string]any) {
		second[k] = v
	}
	second["name"], second["path_prefix"], second["priority"] = "r-3ajwyy7", secondPath, 2
	state["routes"] = append(state["routes"].([]any), second)
	if err := d.begin(fleet, state); err != nil {
		return false, err
	}
	if err := d.submit(lasting, jobBody([]map[string]any{{
		"count": 20, "cpu": 15000, "mem_mb": 31000, "gpu": 1, "est_runtime_ms": 5000, "persistent": true, "anti_affinity": 1,
	}})); err != nil {
		return false, err
	}
	if !d.awaitCount("started", 20, 15*time.Second) {
		return false, unable("only %d lasting tasks began", d.count("started"))
	}
	if trouble {
		used := map[string]int{}
		for _, e := range d.events() {
			for _, r := range fleet.Runners {
				if r.ID == e.Runner {
					used[r.Zone]++
				}
			}
		}
		zone := ""
		for _, z := range zones {
			if zone == "" || used[z] < used[zone] {
				zone = z
			}
		}
		if status, _ := d.call("POST", d.control(0), "", "/evacuations/"+zone+"/start", ""); status/100 != 2 {
			return false, unable("the evacuation of %s was answered with %d", zone, status)
		}
		time.Sleep(5 * time.Second)
	}
	step := map[string]any{"count": 1, "cpu": 52000, "mem_mb": 75000, "gpu": 8, "est_runtime_ms": 8500}
	next := map[string]any{"after": []int{0}}
	for k, v := range step {
		next[k] = v
	}
	if status, _ := d.call("POST", d.entry(0), routeHost, secondPath+job, jobBody([]map[string]any{step, next})); status/100 != 2 {
		return false, unable("the job was answered with %d", status)
	}
	handed := time.Now()
	for time.Since(handed) < finishTime+4*time.Second && d.began(job) == 0 {
		time.Sleep(200 * time.Millisecond)
	}
	d.rec.printf("%.1f s after the job was handed in, the last traffic: %d of its tasks have begun", time.Since(handed).Seconds(), d.began(job))
	return d.began(job) == 0, nil
}
