package main

import (
	"fmt"
	"time"
)

func init() {
	plays["crash"] = play{mokojumbie, crash}
	plays["behind"] = play{mokojumbie, behind}
}

// gaps returns the longest time in which a lasting task had no run, from the end of its
// first run on, and reports whether it is over the 6 s and 3 s of the rule.
func absence(d *Deployment, list []Span, from time.Time) (verdict, error) {
	if len(list) == 0 {
		return nil, fmt.Errorf("the lasting task never began")
	}
	at := func(t time.Time) float64 { return t.Sub(d.record.start).Seconds() }
	var v verdict
	for i, s := range list {
		to := s.To
		if to.IsZero() {
			to = time.Now()
		}
		d.record.add("run %d of %s on %s: %.3f s to %.3f s, ended %q", s.Run, s.Task, s.Runner, at(s.From), at(to), s.How)
		if s.To.IsZero() || s.To.Before(from) {
			continue
		}
		next := time.Now()
		if i+1 < len(list) {
			next = list[i+1].From
		}
		if gap := next.Sub(s.To); gap > 9*time.Second {
			v = append(v, fmt.Sprintf("LOST: the lasting task %s has nothing running from %.3f s to %.3f s, %.1f s; 6 s and 3 s are allowed", s.Task, at(s.To), at(next), gap.Seconds()))
		}
	}
	return v, nil
}

// crash: the runner of a lasting task is lost for good.
func crash(d *Deployment) (verdict, error) {
	const job = "00000000000000b1"
	if err := prepare(d, 1); err != nil {
		return nil, err
	}
	p := newPool(d, "fit", func(string) Need { return Need{CPU: 4000, MemMB: 1024, GPU: 1} })
	var list []*Runner
	for i := range 8 {
		list = append(list, p.add(fmt.Sprint("i-", i+1), "r-1", i+1))
	}
	settle(d)
	if err := d.submit("key-troupe", "/urgent/", job, `{"spec":"lasts","steps":[{"count":1,"cpu":4000,"mem_mb":1024,"gpu":1,"est_runtime_ms":60000,"persistent":true,"image":"desk"}]}`); err != nil {
		return nil, err
	}
	time.Sleep(8300 * time.Millisecond)
	spans := p.spans(job)
	if len(spans) == 0 {
		return nil, fmt.Errorf("the lasting task didn't begin")
	}
	from := time.Now()
	if d.trouble {
		for _, r := range list {
			if r.id == spans[0].Runner {
				r.crash("is lost for good")
			}
		}
	}
	time.Sleep(20 * time.Second)
	return absence(d, p.spans(job), from)
}

// behind: a lasting task fails while a gang of a more urgent queue waits for the same rack.
func behind(d *Deployment) (verdict, error) {
	const lasting, work, gang = "00000000000000b2", "00000000000000c1", "00000000000000d1"
	if err := prepare(d, 1); err != nil {
		return nil, err
	}
	p := newPool(d, "fit", func(task string) Need {
		switch task[:16] {
		case lasting:
			return Need{CPU: 4000, MemMB: 1024, GPU: 1}
		case work:
			return Need{CPU: 13000, MemMB: 26000, GPU: 8, Work: 30 * time.Second}
		}
		return Need{CPU: 13000, MemMB: 26000, GPU: 8, Work: 11 * time.Second, Gang: 7}
	})
	for i := range 16 {
		p.add(fmt.Sprint("i-", i+1), fmt.Sprint("r-", i/8+1), i+1)
	}
	settle(d)
	if err := d.submit("key-school", "/batch/", lasting, `{"spec":"lasts","steps":[{"count":1,"cpu":4000,"mem_mb":1024,"gpu":1,"est_runtime_ms":60000,"constraints":"r-2","persistent":true,"image":"desk"}]}`); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	from := time.Now()
	if d.trouble {
		for _, r := range p.runners {
			if s := p.spans(lasting); len(s) > 0 && r.id == s[0].Runner {
				go r.drainAndLeave(3500 * time.Millisecond)
			}
		}
	}
	time.Sleep(1500 * time.Millisecond)
	if err := d.submit("key-troupe", "/render/", work, `{"spec":"work","steps":[{"count":1,"cpu":13000,"mem_mb":26000,"gpu":8,"est_runtime_ms":30000,"constraints":"r-2"}]}`); err != nil {
		return nil, err
	}
	time.Sleep(200 * time.Millisecond)
	if err := d.submit("key-troupe", "/render/", gang, `{"spec":"gang","steps":[{"count":7,"cpu":13000,"mem_mb":26000,"gpu":8,"est_runtime_ms":11000,"constraints":"r-2","gang":true}]}`); err != nil {
		return nil, err
	}
	// The time on end in which the task has no run and two runners of its rack are idle.
	var absent time.Duration
	var since time.Time
	for range 400 {
		time.Sleep(100 * time.Millisecond)
		idle, runs := 0, 0
		for _, r := range p.runners {
			r.mu.Lock()
			if r.up && r.draining.IsZero() && len(r.runs) == 0 && r.rack == "r-2" {
				idle++
			}
			for task := range r.runs {
				if task[:16] == lasting {
					runs++
				}
			}
			r.mu.Unlock()
		}
		if runs > 0 || idle < 2 {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
			d.record.add("the lasting task has no run, %d of 8 runners of its rack and the whole other rack are idle", idle)
		}
		absent = max(absent, time.Since(since))
	}
	_, err := absence(d, p.spans(lasting), from)
	if absent > 9*time.Second {
		return verdict{fmt.Sprintf("LOST: the lasting task has nothing running for %.1f s, while at least two runners that it may use are idle; 6 s and 3 s are allowed", absent.Seconds())}, err
	}
	return nil, err
}
