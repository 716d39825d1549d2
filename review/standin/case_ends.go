package main

import (
	"fmt"
	"time"
)

func init() { cases["ends"] = manyEnds }

// manyEnds: one of six runners has 700 small tasks. It is cut off while they end, for 3.8 s
// at most, which is less than its lease. Its next list of ends holds 500 of them.
func manyEnds(d *deployment, trouble bool) (bool, error) {
	const jobs, width = 14, 50
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
	ids := []string{}
	for i := range jobs {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", i)
		ids = append(ids, id)
		// All end within about a second.
		work := int64(8000 - 300*i)
		fleet.Jobs[id] = jobSpec{Steps: []stepSpec{{Count: width, CPU: 100, MemMB: 100, WorkMs: work, SpreadMs: 1000}}}
	}
	if err := d.begin(fleet, desiredState(1, 1)); err != nil {
		return false, err
	}
	for _, id := range ids {
		if err := d.submit(id, jobBody([]map[string]any{{"count": width, "cpu": 100, "mem_mb": 100, "est_runtime_ms": 6000}})); err != nil {
			return false, err
		}
		time.Sleep(300 * time.Millisecond) // so that the starts need fewer channels than a runner takes
	}
	if !d.awaitCount("started", jobs*width, 15*time.Second) {
		return false, unable("only %d tasks began", d.count("started"))
	}
	if trouble {
		first := d.events()[0]
		// The first task ends 8 s after its start.
		time.Sleep(time.Until(time.UnixMilli(first.At).Add(7 * time.Second)))
		d.rec.printf("runner %s is cut off; %d tasks have ended", first.Runner, d.count("ended"))
		links[first.Runner].set(true)
		d.awaitCount("ended", jobs*width, cutTime)
		links[first.Runner].set(false)
		d.rec.printf("runner %s is reached again; %d tasks have ended", first.Runner, d.count("ended"))
	}
	for _, id := range ids {
		d.awaitState(id, "completed", 20*time.Second)
	}
	time.Sleep(2 * time.Second)
	together, after := d.twice()
	d.rec.printf("channels refused: %d; leases that expired: %d; runs beside another run: %d; runs after an acknowledged end done: %d", d.count("channel refused"), d.count("lease expired"), together, after)
	return together+after > 0, nil
}

// linkedRunner returns the k-th runner, which all others reach through a link.
func (d *deployment) linkedRunner(k int) (runnerConfig, *link, error) {
	r := runnerConfig{
		ID: fmt.Sprintf("i-7f3a91c%d", k), Service: service, Zone: zones[k/2], Rack: rackName(k / 2),
		Listen: fmt.Sprintf("%s:9100", d.ip(2, k+1)), Address: fmt.Sprintf("%s:9100", d.ip(2, k+101)), CPU: 128000, MemMB: 262144, GPU: 8,
	}
	l := newLink()
	if err := l.serve(r.Address, r.Listen); err != nil {
		return r, l, unable("%w", err)
	}
	for i := range 3 { // its reports pass through the link as well
		from := fmt.Sprintf("%s:%d", d.ip(4, 10*k+i+1), controlPort)
		if err := l.serve(from, d.control(i)); err != nil {
			return r, l, unable("%w", err)
		}
		r.Control = append(r.Control, from)
	}
	return r, l, nil
}

// cutTime is within the 5.5 s for which the pages cut workers off, and less than a lease.
const cutTime = 3800 * time.Millisecond
