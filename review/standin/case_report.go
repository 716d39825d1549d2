package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() {
	cases["report"] = foreignReport
	cases["config"] = trailingBrace
	cases["rack"] = waitingGang
}

// foreignReport: while six tasks are at work, one status report of another writer comes,
// whose service the desired state does not name. It describes the address of a runner.
func foreignReport(d *deployment, trouble bool) (bool, error) {
	const id, width = "5c0e7a21d94b36f8", 6
	fleet := d.newFleet()
	for i := range 6 {
		at := fmt.Sprintf("%s:9100", d.ip(2, i+1))
		fleet.Runners = append(fleet.Runners, runnerConfig{
			ID: fmt.Sprintf("i-7f3a91c%d", i), Service: service, Zone: zones[i/2], Rack: rackName(i / 2), Listen: at, Address: at,
			CPU: 128000, MemMB: 262144, GPU: 8,
		})
	}
	fleet.Jobs[id] = jobSpec{Steps: []stepSpec{{Count: width, CPU: 52000, MemMB: 75000, GPU: 4, WorkMs: 8500}}}
	if err := d.begin(fleet, desiredState(1, 1)); err != nil {
		return false, err
	}
	if err := d.submit(id, jobBody([]map[string]any{{"count": width, "cpu": 52000, "mem_mb": 75000, "gpu": 4, "est_runtime_ms": 8500}})); err != nil {
		return false, err
	}
	if !d.awaitCount("started", width, 15*time.Second) {
		return false, unable("only %d tasks began", d.count("started"))
	}
	time.Sleep(time.Second)
	if trouble {
		busy := runnerConfig{}
		for _, r := range fleet.Runners {
			if r.ID == d.events()[0].Runner {
				busy = r
			}
		}
		b, err := json.Marshal(map[string]any{
			"service": "print-desk", "address": busy.Address, "zone": busy.Zone, "version": "v9", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": 128000, "mem_mb": 262144, "gpu": 8}, "labels": []string{"a", busy.Rack},
			"machine": "m-print-1", "clock_ms": 1000, "seq": 1, "born": time.Now().Add(-time.Second).UnixMilli(),
		})
		if err != nil {
			return false, err
		}
		d.rec.printf("the other writer's report: %s", b)
		if status, _ := d.call("POST", d.control(0), "", "/instances/print-1/heartbeat", string(b)); status == 0 {
			return false, unable("the report was not answered")
		}
	}
	d.awaitState(id, "completed", 40*time.Second)
	time.Sleep(2 * time.Second)
	together, after := d.twice()
	d.rec.printf("leases that expired: %d; runs beside another run: %d; runs after an acknowledged end done: %d", d.count("lease expired"), together, after)
	return together+after > 0, nil
}

// trailingBrace: a desired state with one closing brace too many is sent.
func trailingBrace(d *deployment, trouble bool) (bool, error) {
	fleet := d.newFleet()
	fleet.Runners = append(fleet.Runners, runnerConfig{
		ID: "i-7f3a91c2", Service: service, Zone: zones[0], Rack: "r1-1", Listen: d.ip(2, 1) + ":9100", Address: d.ip(2, 1) + ":9100",
		CPU: 128000, MemMB: 262144, GPU: 8,
	})
	if err := d.begin(fleet, desiredState(1, 1)); err != nil {
		return false, err
	}
	next := desiredState(4, 1)
	next["routes"] = []any{}
	b, err := json.Marshal(next)
	if err != nil {
		return false, err
	}
	text := string(b)
	if trouble {
		text += "}"
	}
	status := 0
	for i := range 10 {
		if status, _ = d.call("POST", d.control(i%3), "", "/config/replace", text); status != 0 && status != 503 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	_, back := d.call("GET", d.control(1), "", "/config/read", "")
	route, _ := d.call("GET", d.entry(0), routeHost, routePath, "")
	valid := json.Valid([]byte(text))
	d.rec.printf("the text sent is valid JSON: %t; answer: %d; what is read back is this text: %t, valid JSON: %t; the route that it drops answers: %d",
		valid, status, back == text, json.Valid([]byte(back)), route)
	if valid {
		return status != 200 || back != text || route != 404, nil
	}
	return status/100 == 2 || back == text || route == 404, nil
}

const rackSize = 8

// waitingGang: 48 runners in six racks of eight. On five racks one task that lasts is at
// work. One runner of the sixth rack leaves. Then a gang of eight tasks comes that runs best
// on one rack.
func waitingGang(d *deployment, trouble bool) (bool, error) {
	const gang = "5c0e7a21d94b36aa"
	fleet := d.newFleet()
	for i := range 6 * rackSize {
		at := fmt.Sprintf("%s:9100", d.ip(2, i+1))
		fleet.Runners = append(fleet.Runners, runnerConfig{
			ID: fmt.Sprintf("i-%02d", i), Service: service, Zone: zones[i/16], Rack: rackName(i / rackSize), Listen: at, Address: at,
			CPU: 128000, MemMB: 262144, GPU: 8,
		})
	}
	lasting := map[string]string{}
	for k := range 5 {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", k)
		fleet.Jobs[id] = jobSpec{Steps: []stepSpec{{Count: 1, CPU: 15000, MemMB: 31000, GPU: 1, Persistent: true}}}
		lasting[id] = jobBody([]map[string]any{{
			"count": 1, "cpu": 15000, "mem_mb": 31000, "gpu": 1, "est_runtime_ms": 5000, "persistent": true, "constraints": rackName(k),
		}})
	}
	fleet.Jobs[gang] = jobSpec{Steps: []stepSpec{{Count: rackSize, CPU: 52000, MemMB: 75000, GPU: 8, Gang: true, WorkMs: 8500}}}
	if err := d.begin(fleet, desiredState(1, 1)); err != nil {
		return false, err
	}
	for id, body := range lasting {
		if err := d.submit(id, body); err != nil {
			return false, err
		}
	}
	if !d.awaitCount("started", len(lasting), 15*time.Second) {
		return false, unable("only %d lasting tasks began", d.count("started"))
	}
	if trouble {
		d.rec.printf("runner i-47 of the free rack is told to leave")
		d.call("POST", fleet.Admin, "", "/drain/i-47", "")
		if !d.awaitCount("left", 1, 20*time.Second) {
			return false, unable("the runner has not left")
		}
		time.Sleep(4 * time.Second)
	}
	if err := d.submit(gang, jobBody([]map[string]any{{
		"count": rackSize, "cpu": 52000, "mem_mb": 75000, "gpu": 8, "est_runtime_ms": 8500, "gang": true, "same_rack": true,
	}})); err != nil {
		return false, err
	}
	// No more traffic comes. The rule counts from finish_s after its end.
	time.Sleep(finishTime)
	d.rec.printf("finish_s after the end of the traffic: %d tasks of the gang have begun", d.began(gang))
	const span = 10 * time.Second // the rule allows 3 s
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(time.Second) {
		d.state(gang)
	}
	n, s := d.began(gang), d.state(gang)
	d.rec.printf("%s later: %d tasks of the gang have begun; its state is %s; 5 of %d accelerators are in use", span, n, s, 6*rackSize*8)
	return n == 0, nil
}

// finishTime is finish_s of kmw-shift.
const finishTime = 14 * time.Second

func rackName(k int) string { return fmt.Sprintf("r%d-1", k) }

// began returns how many tasks of a job have begun.
func (d *deployment) began(job string) (n int) {
	for _, e := range d.events() {
		if id, _, _, _ := splitTask(e.Task); e.Kind == "started" && id == job {
			n++
		}
	}
	return n
}

// newFleet returns a fleet without runners that reports to the control hosts directly.
func (d *deployment) newFleet() fleetConfig {
	return fleetConfig{
		Jobs: map[string]jobSpec{}, Admin: d.ip(3, 1) + ":9000", Events: d.eventsFile(), Control: d.controls(),
		HoldMaxMs: 6000, StopMs: 400, DrainMs: 2500, HeartbeatMs: 1500,
	}
}

// begin starts the hosts and the runners, and sends the first desired state.
func (d *deployment) begin(fleet fleetConfig, state map[string]any) error {
	if err := d.startHosts(); err != nil {
		return err
	}
	if err := d.startFleet(fleet); err != nil {
		return err
	}
	if err := d.replace(state); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}

// awaitState waits until a job is in a state.
func (d *deployment) awaitState(id, state string, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if d.state(id) == state {
			return true
		}
	}
	return false
}
