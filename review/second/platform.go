package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const maintenance = 2 * time.Second

// cloud is a stand-in for the provider's list of machines and its upkeep.
type cloud struct {
	d  *deployment
	mu sync.Mutex
	// state is up or upkeep, fence the highest fence number, wave the wave whose upkeep
	// a machine has had.
	state map[string]string
	fence map[string]uint64
	done  map[string]int
	wave  map[string]int
	lives int
	// upkeeps lists the upkeeps as they began.
	upkeeps []upkeep
}

type upkeep struct {
	machine string
	at      time.Time
	// down is the number of machines that were down for theirs already.
	down int
	// ended holds the tasks that it ended.
	ended []string
}

func newCloud(d *deployment) *cloud {
	c := &cloud{d: d, state: map[string]string{}, fence: map[string]uint64{}, done: map[string]int{}, wave: map[string]int{}}
	ln, err := net.Listen("tcp", d.machines)
	if err != nil {
		fail("%v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machine-upkeep", c.upkeep)
	go http.Serve(ln, mux)
	return c
}

func (c *cloud) runnerOf(machine string) *runner {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	for _, r := range c.d.runners {
		if r.machine == machine && !r.gone() {
			return r
		}
	}
	return nil
}

func (r *runner) gone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	var list []map[string]any
	for i := range 6 {
		name := fmt.Sprintf("m-%d", i+1)
		c.mu.Lock()
		state := c.state[name]
		c.mu.Unlock()
		if state == "" {
			state = "up"
		}
		row := map[string]any{"machine": name, "pool": "fit", "state": state, "zone": zoneNames[i%3], "labels": []string{"a"}, "capacity": map[string]any{"cpu": 128000, "mem_mb": 262144, "gpu": 8}}
		if r := c.runnerOf(name); r != nil && state == "up" {
			row["id"] = r.id
		}
		list = append(list, row)
	}
	json.NewEncoder(w).Encode(map[string]any{"machines": list, "next_token": ""})
}

func (c *cloud) upkeep(w http.ResponseWriter, q *http.Request) {
	b, _ := io.ReadAll(q.Body)
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	var fence uint64
	fmt.Sscan(q.Header.Get("Fencing-Token"), &fence)
	if json.Unmarshal(b, &body) != nil {
		w.WriteHeader(400)
		return
	}
	status, reason := c.begin(body.Machine, body.Wave, fence)
	c.d.note("platform: upkeep of %s, wave %d, holder %s, fence %d -> %d %s", body.Machine, body.Wave, q.Header.Get("Lease-Holder"), fence, status, reason)
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{"reason": reason})
}

func (c *cloud) begin(machine string, wave int, fence uint64) (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fence < c.fence[machine] {
		return 409, "fence"
	}
	c.fence[machine] = fence
	if c.wave[machine] != wave {
		return 409, "wave"
	}
	if c.done[machine] == wave {
		return 200, ""
	}
	if c.state[machine] == "upkeep" {
		return 409, "busy"
	}
	r := c.runnerOf(machine)
	if r == nil {
		return 409, "busy"
	}
	u := upkeep{machine: machine, at: time.Now()}
	for _, s := range c.state {
		if s == "upkeep" {
			u.down++
		}
	}
	r.mu.Lock()
	for name, t := range r.runs {
		if t.lasting && t.percent() == 100 {
			u.ended = append(u.ended, name)
		}
	}
	r.mu.Unlock()
	c.upkeeps = append(c.upkeeps, u)
	c.state[machine], c.done[machine] = "upkeep", wave
	r.halt("upkeep")
	c.lives++
	id := fmt.Sprintf("i-%s-%d", strings.TrimPrefix(machine, "m-"), c.lives)
	time.AfterFunc(maintenance, func() {
		next := &runner{c: c.d, id: id, zone: r.zone, rack: r.rack, machine: machine, addr: r.addr, gpu: r.gpu}
		next.reset()
		if err := next.serve(); err != nil {
			c.d.note("the runner of %s did not start: %v", machine, err)
		}
		c.d.mu.Lock()
		c.d.runners = append(c.d.runners, next)
		c.d.mu.Unlock()
		c.mu.Lock()
		c.state[machine] = "up"
		c.mu.Unlock()
		c.d.note("platform: %s is up again with %s", machine, id)
	})
	return 200, ""
}

// away returns how many tasks of a step, other than the given one, are away at a time:
// ended by an upkeep before and not at work again, or not at work for longer than
// notice.
func (c *cloud) away(job string, count int, except string, at time.Time) (n int) {
	for i := range count {
		name := fmt.Sprintf("%s.0.0.%d", job, i)
		if name == except {
			continue
		}
		working, last, how := false, time.Time{}, ""
		for _, s := range c.d.starts(name) {
			up := s.from.Add(startup)
			if up.Before(at) && (s.to.IsZero() || !s.to.Before(at)) {
				working = true
			}
			if !s.to.IsZero() && s.to.Before(at) && s.to.After(last) {
				last, how = s.to, s.how
			}
		}
		if !working && (how == "upkeep" || how == "stopped" || at.Sub(last) > notice) {
			n++
		}
	}
	return n
}

const notice = 5500 * time.Millisecond
