package main

import (
	"fmt"
	"time"
)

func init() { cases["crashes"] = crashLoops }

// crashLoops: three jobs with lasting tasks fail some seconds after each start, by their own
// fault. Later a sound job comes.
func crashLoops(d *deployment, trouble bool) (bool, error) {
	const sound = "5c0e7a21d94b36ff"
	fleet := d.newFleet()
	for i := range 6 {
		at := fmt.Sprintf("%s:9100", d.ip(2, i+1))
		fleet.Runners = append(fleet.Runners, runnerConfig{
			ID: fmt.Sprintf("i-7f3a91c%d", i), Service: service, Zone: zones[i/2], Rack: rackName(i / 2), Listen: at, Address: at,
			CPU: 128000, MemMB: 262144, GPU: 8,
		})
	}
	step := stepSpec{Count: 2, CPU: 15000, MemMB: 31000, GPU: 4, Persistent: true, SpreadMs: 2000}
	if trouble {
		step.FailMs = 4000
	}
	jobs := []string{}
	for k := range 3 {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", k)
		fleet.Jobs[id] = jobSpec{Steps: []stepSpec{step}}
		jobs = append(jobs, id)
	}
	fleet.Jobs[sound] = jobSpec{Steps: []stepSpec{{Count: 1, CPU: 15000, MemMB: 31000, GPU: 1, WorkMs: 2500}}}
	if err := d.begin(fleet, desiredState(1, 1)); err != nil {
		return false, err
	}
	for _, id := range jobs {
		if err := d.submit(id, jobBody([]map[string]any{{"count": 2, "cpu": 15000, "mem_mb": 31000, "gpu": 4, "persistent": true}})); err != nil {
			return false, err
		}
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(60 * time.Second)
	if err := d.submit(sound, jobBody([]map[string]any{{"count": 1, "cpu": 15000, "mem_mb": 31000, "gpu": 1, "est_runtime_ms": 2500}})); err != nil {
		return false, err
	}
	handed := time.Now()
	for time.Since(handed) < 30*time.Second && d.began(sound) == 0 {
		time.Sleep(200 * time.Millisecond)
	}
	d.rec.printf("the sound job: %d tasks begun %.1f s after it was handed in", d.began(sound), time.Since(handed).Seconds())
	gap := d.longestGap(jobs)
	d.rec.printf("longest time for which a lasting task had nothing running: %.1f s", gap.Seconds())
	return gap >= 9*time.Second, nil
}

// longestGap returns the longest time for which a task of the jobs had no run after one.
func (d *deployment) longestGap(jobs []string) (longest time.Duration) {
	last := map[string]int64{}
	now := time.Now().UnixMilli()
	for _, e := range d.events() {
		id, _, _, _ := splitTask(e.Task)
		for _, j := range jobs {
			if id != j {
				continue
			}
			switch e.Kind {
			case "started":
				if at := last[e.Task]; at > 0 {
					longest = max(longest, time.Duration(e.At-at)*time.Millisecond)
				}
				delete(last, e.Task)
			case "ended":
				last[e.Task] = e.At
			}
		}
	}
	for _, at := range last {
		longest = max(longest, time.Duration(now-at)*time.Millisecond)
	}
	return longest
}
