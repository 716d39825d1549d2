// Package demo runs a complete deployment in one process on loopback: four entry
// hosts in three zones and two regions, three of them also control hosts, with
// stand-in runners and workers. It runs an operator's session and checks the
// result of each step.
//
// # Usage
//
//	err := demo.New(os.Stdout, logger).Run(ctx)
//
// The session shows requests, a gang on borrowed accelerators, the reclaim of a
// guarantee by an urgent gang, and the drain and return of a zone. The error names
// the first step whose result was not as expected.
package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift/internal/queryclient"
)

const (
	// stepTimeout bounds each step of the session.
	stepTimeout  = 20 * time.Second
	pollInterval = 100 * time.Millisecond
	// urgentStartLimit is the time within which urgent guaranteed work must
	// start.
	urgentStartLimit = 8500 * time.Millisecond
	// drainGrace is the time after a drain command from which on no task may
	// start in the zone.
	drainGrace   = 3 * time.Second
	requestCount = 60
)

// Demo holds the deployment and the state of one session.
type Demo struct {
	out io.Writer
	log logrus.FieldLogger

	hosts   []*entryHost
	workers []*standinWorker
	shell   *queryclient.Shell
	answer  bytes.Buffer
	// cancel stops all hosts and stand-ins; wg waits until they have ended.
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a demo that prints its session to out.
func New(out io.Writer, log logrus.FieldLogger) *Demo { return &Demo{out: out, log: log} }

// Run starts the deployment, runs the session and stops the deployment.
func (d *Demo) Run(ctx context.Context) error {
	ctx, d.cancel = context.WithCancel(ctx)
	remove, err := d.deploy(ctx)
	if err != nil {
		return err
	}
	defer remove()
	defer d.wg.Wait()
	defer d.cancel()
	d.shell = &queryclient.Shell{Operator: "night", Out: &d.answer}
	for _, h := range d.hosts {
		d.shell.Hosts = append(d.shell.Hosts, "http://"+h.operators.Addr().String())
	}
	for _, step := range []func(context.Context) error{d.setUp, d.sendRequests, d.borrowIdleAccelerators, d.reclaimGuarantee, d.drainZone, d.returnZone} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.printHeading("All checks passed.")
	return nil
}

func (d *Demo) printHeading(format string, args ...any) {
	fmt.Fprintf(d.out, "\n# "+format+"\n", args...)
}

// query runs a statement and returns its answer without printing it.
func (d *Demo) query(ctx context.Context, statement string) (string, error) {
	d.answer.Reset()
	err := d.shell.Run(ctx, statement)
	return d.answer.String(), err
}

// runAndPrint runs a statement and prints it with its answer, as the operator
// sees them.
func (d *Demo) runAndPrint(ctx context.Context, statement string) (string, error) {
	text, err := d.query(ctx, statement)
	fmt.Fprintf(d.out, "> %s\n%s", statement, text)
	return text, errors.Wrapf(err, "demo: %s", statement)
}

// expect runs and prints a statement and checks that its answer contains want.
func (d *Demo) expect(ctx context.Context, statement, want string) error {
	text, err := d.runAndPrint(ctx, statement)
	if err == nil && !strings.Contains(text, want) {
		err = errors.Newf("demo: %s: the answer does not contain %q", statement, want)
	}
	return err
}

// waitFor repeats a query until its answer contains want, then prints it.
func (d *Demo) waitFor(ctx context.Context, statement, want string) error {
	limit := time.Now().Add(stepTimeout)
	for {
		text, err := d.query(ctx, statement)
		if err == nil && strings.Contains(text, want) {
			fmt.Fprintf(d.out, "> %s\n%s", statement, text)
			return nil
		}
		if time.Now().After(limit) || ctx.Err() != nil {
			return errors.Newf("demo: %s: no %q within %s, last answer: %s", statement, want, stepTimeout, text)
		}
		time.Sleep(pollInterval)
	}
}

func (d *Demo) setUp(ctx context.Context) error {
	d.printHeading("The day shift sets up zones and teams.")
	for _, s := range []string{"create zone laventille region north", "create zone belmont region north", "create zone san-fernando region south"} {
		if err := d.expect(ctx, s, "accepted"); err != nil {
			return err
		}
	}
	// It takes some time until the announcement of the last worker has reached
	// the leader from the worker's zone.
	last := d.workers[len(d.workers)-1].name
	if err := d.waitFor(ctx, "show workers", last); err != nil {
		return err
	}
	for _, s := range []string{
		"create team carnival guarantee 1x32", "create team wigs guarantee 1x8",
		`note "stilt-balance renders for the troupe are due tonight, let them go first"`,
	} {
		if err := d.expect(ctx, s, "accepted"); err != nil {
			return err
		}
	}
	return nil
}

// sendRequests sends requests through all entry hosts in turn and counts the
// complete answers that belong to their request.
func (d *Demo) sendRequests(ctx context.Context) error {
	d.printHeading("Dressers' tablets send %d requests through all entry hosts.", requestCount)
	correct := 0
	for i := range requestCount {
		h := d.hosts[i%len(d.hosts)]
		path := fmt.Sprintf("/r/fitting/preview-%d", i)
		body, err := fetch(ctx, "http://"+h.http.Addr().String()+path)
		if err != nil {
			return errors.Wrapf(err, "demo: request %d through %s", i, h.name)
		}
		if strings.Contains(body, path) {
			correct++
		}
	}
	fmt.Fprintf(d.out, "%d of %d requests got their own complete answer\n", correct, requestCount)
	if correct != requestCount {
		return errors.Newf("demo: %d of %d requests got their own complete answer", correct, requestCount)
	}
	return nil
}

func fetch(ctx context.Context, url string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Newf("%s: %s", resp.Status, b)
	}
	return string(b), err
}

func (d *Demo) borrowIdleAccelerators(ctx context.Context) error {
	d.printHeading("Team wigs borrows the idle accelerators of belmont for a catalogue render.")
	if err := d.expect(ctx, "create job catalogue team wigs tasks 4 accelerators 8 run 10m", "as job 1"); err != nil {
		return err
	}
	return d.waitFor(ctx, "why job 1", "is running")
}

func (d *Demo) reclaimGuarantee(ctx context.Context) error {
	d.printHeading("Team carnival submits an urgent job and reclaims its guaranteed cells.")
	sent := time.Now()
	if err := d.expect(ctx, "create job stilt-balance team carnival tasks 4 accelerators 8 run 3s urgent", "as job 2"); err != nil {
		return err
	}
	if err := d.waitFor(ctx, "why job 2", "is running"); err != nil {
		return err
	}
	elapsed := time.Since(sent)
	fmt.Fprintf(d.out, "the urgent gang runs %.1f s after it was submitted\n", elapsed.Seconds())
	if elapsed > urgentStartLimit {
		return errors.Newf("demo: urgent guaranteed work started after %s, the limit is %s", elapsed, urgentStartLimit)
	}
	if _, err := d.runAndPrint(ctx, "why job 1"); err != nil {
		return err
	}
	if err := d.waitFor(ctx, "why job 2", "finished"); err != nil {
		return err
	}
	return d.waitFor(ctx, "why job 1", "is running")
}

func (d *Demo) drainZone(ctx context.Context) error {
	d.printHeading("Belmont is drained for the replacement of a switch.")
	if err := d.expect(ctx, `drain zone belmont because "switch swap at 02:00"`, "accepted"); err != nil {
		return err
	}
	drained := time.Now()
	if err := d.expect(ctx, "create job wig-preview team wigs tasks 1 accelerators 8 run 2s urgent", "as job 3"); err != nil {
		return err
	}
	for _, w := range []struct{ statement, want string }{{"why job 3", "finished"}, {"why job 1", "is waiting"}, {"show guarantees", "carnival"}} {
		if err := d.waitFor(ctx, w.statement, w.want); err != nil {
			return err
		}
	}
	if started := d.startsAfter("belmont", drained.Add(drainGrace)); started > 0 {
		return errors.Newf("demo: %d tasks started in belmont after it was drained", started)
	}
	return nil
}

func (d *Demo) returnZone(ctx context.Context) error {
	d.printHeading("Belmont is returned, and the catalogue render resumes from its checkpoint.")
	if err := d.expect(ctx, `return zone belmont because "switch swapped"`, "accepted"); err != nil {
		return err
	}
	if err := d.waitFor(ctx, "why job 1", "is running"); err != nil {
		return err
	}
	if err := d.expect(ctx, `cancel job 1 because "the shop changed its mind"`, "accepted"); err != nil {
		return err
	}
	if err := d.waitFor(ctx, "show jobs where state = cancelled", "catalogue"); err != nil {
		return err
	}
	return d.expect(ctx, "show notes since yesterday", "stilt-balance")
}
