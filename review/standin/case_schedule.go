package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["schedule"] = oldSchedule }

// oldSchedule: a job that runs every 2 s is handed in with the date on which its schedule
// began, a week ago. Then a sound job comes.
func oldSchedule(d *deployment, trouble bool) (bool, error) {
	const schedule, sound = "5c0e7a21d94b36ee", "5c0e7a21d94b36ff"
	fleet := d.newFleet()
	for i := range 6 {
		at := fmt.Sprintf("%s:9100", d.ip(2, i+1))
		fleet.Runners = append(fleet.Runners, runnerConfig{
			ID: fmt.Sprintf("i-7f3a91c%d", i), Service: service, Zone: zones[i/2], Rack: rackName(i / 2), Listen: at, Address: at,
			CPU: 128000, MemMB: 262144, GPU: 8,
		})
	}
	fleet.Jobs[schedule] = jobSpec{Steps: []stepSpec{{Count: 1, CPU: 15000, MemMB: 31000, GPU: 1, WorkMs: 1000}}}
	fleet.Jobs[sound] = jobSpec{Steps: []stepSpec{{Count: 1, CPU: 15000, MemMB: 31000, GPU: 1, WorkMs: 2500}}}
	if err := d.begin(fleet, desiredState(1, 1)); err != nil {
		return false, err
	}
	step := map[string]any{"count": 1, "cpu": 15000, "mem_mb": 31000, "gpu": 1, "est_runtime_ms": 1000}
	if trouble {
		b, err := json.Marshal(map[string]any{
			"spec": "count the windows", "steps": []any{step}, "repeat_count": 1_300_000, "interval_ms": 2000,
			"first_run_ms": time.Now().Add(-7 * 24 * time.Hour).UnixMilli(),
		})
		if err != nil {
			return false, err
		}
		if err := d.submit(schedule, string(b)); err != nil {
			return false, err
		}
		time.Sleep(3 * time.Second)
	}
	step["est_runtime_ms"] = 2500
	if err := d.submit(sound, jobBody([]map[string]any{step})); err != nil {
		return false, err
	}
	handed := time.Now()
	for time.Since(handed) < 24*time.Second && d.began(sound) == 0 {
		time.Sleep(200 * time.Millisecond)
	}
	d.state(sound)
	d.rec.printf("the sound job: %d tasks begun %.1f s after it was handed in; the schedule: %d tasks begun", d.began(sound), time.Since(handed).Seconds(), d.began(schedule))
	return d.began(sound) == 0, nil
}
