// Command review-third plays the scripts of the cases review/11 to review/15: it starts
// the project's processes on loopback addresses, with stand-ins for runners, requesters,
// the operator and the platform in this process.
//
//	review-third CASE ROOT FOLDER
//
// It writes record.txt in FOLDER and exits with 1 if the rule was broken, 0 if it held and
// 2 if the case couldn't run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is how long a case may take.
const limit = 112 * time.Second

// verdict is nil if the rule held, or says how it was broken.
type verdict []string

type play struct {
	bounds Bounds
	run    func(d *Deployment) (verdict, error)
}

var plays = map[string]play{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-third CASE ROOT FOLDER")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(name, root, folder string) int {
	p, ok := plays[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", name)
		return 2
	}
	root, err := filepath.Abs(root)
	if err != nil {
		return 2
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	rec := &Record{start: time.Now(), w: io.MultiWriter(f, os.Stdout)}
	d, err := newDeployment(root, p.bounds, rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("can't run: %v", err)
		return 2
	}
	defer d.close()
	type result struct {
		v   verdict
		err error
	}
	done := make(chan result, 1)
	go func() {
		v, err := p.run(d)
		done <- result{v, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.add("can't run: %v", r.err)
			return 2
		case len(r.v) > 0:
			for _, l := range r.v {
				rec.add("BROKEN: %s", l)
			}
			return 1
		}
		rec.add("the rule held")
		return 0
	case <-time.After(limit):
		rec.add("can't run: the case took longer than %v", limit)
		return 2
	case <-stop:
		return 2
	}
}

// catalog is a desired state with three queues of the service "fit" and two tenants.
const catalog = `{"version":%d,"routes":[` +
	`{"name":"urgent","host":"jobs.example","path_prefix":"/urgent/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":500,"priority":0,"service":"fit","max_attempts":3,"stretch":1.5,"public":false,"allowed_regions":[]},` +
	`{"name":"render","host":"jobs.example","path_prefix":"/render/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":1200,"priority":1,"service":"fit","max_attempts":2,"stretch":3.0,"public":false,"allowed_regions":[]},` +
	`{"name":"batch","host":"jobs.example","path_prefix":"/batch/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":3000,"priority":2,"service":"fit","max_attempts":3,"stretch":3.0,"public":false,"allowed_regions":[]}],` +
	`"services":[{"name":"fit","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"admission_check":true,"standby":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},` +
	`"tenants":[{"name":"troupe","api_keys":["key-troupe"],"priority":1,"guaranteed":{"gpu":0},"allowed_regions":[]},{"name":"school","api_keys":["key-school"],"priority":1,"guaranteed":{"gpu":0},"allowed_regions":[]}]}`

// prepare starts the hosts and puts the desired state in force.
func prepare(d *Deployment, entries int) error {
	if err := d.startHosts(entries); err != nil {
		return err
	}
	return d.operate("POST", "/config/replace", fmt.Sprintf(catalog, 7), 20*time.Second)
}

// settle waits until all runners have reported twice.
func settle(d *Deployment) {
	time.Sleep(2*time.Duration(d.bounds.HeartbeatMs)*time.Millisecond + 500*time.Millisecond)
}
