// Package demo runs a whole deployment in one process on loopback: four entry
// hosts in three zones and two regions, three of them control hosts, with
// stand-in runners and workers. It types an operator's session and checks the
// outcome of each step.
//
// # Usage
//
//	err := demo.New(os.Stdout, logger).Run(ctx)
//
// The session shows requests, a borrowed gang, the reclaim of a guarantee by
// an urgent gang, and a zone that is taken out and returned. The error names
// the first step whose outcome was not as expected.
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
	stepTimeout = 20 * time.Second
	poll        = 100 * time.Millisecond
	// urgentStart is the promise for urgent guaranteed work.
	urgentStart = 8500 * time.Millisecond
	// quietAfterDrain is the time after which no task starts in a zone that
	// was taken out.
	quietAfterDrain = 3 * time.Second
	requests        = 60
)

// Demo is one run of the deployment and the session.
type Demo struct {
	out io.Writer
	log logrus.FieldLogger

	hosts   []*entry
	workers []*machine
	shell   *queryclient.Shell
	answer  bytes.Buffer
	// cancel stops everything; wg waits for it.
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a demo that prints its session to out.
func New(out io.Writer, log logrus.FieldLogger) *Demo { return &Demo{out: out, log: log} }

// Run starts the deployment, plays the session and stops everything.
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
	for _, step := range []func(context.Context) error{d.setUp, d.request, d.borrow, d.reclaim, d.drain, d.giveBack} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.say("All checks of the outcome hold.")
	return nil
}

func (d *Demo) say(format string, args ...any) { fmt.Fprintf(d.out, "\n# "+format+"\n", args...) }

// query sends a statement without printing it.
func (d *Demo) query(ctx context.Context, statement string) (string, error) {
	d.answer.Reset()
	err := d.shell.Run(ctx, statement)
	return d.answer.String(), err
}

// typed prints a statement and its answer as the operator sees them.
func (d *Demo) typed(ctx context.Context, statement string) (string, error) {
	text, err := d.query(ctx, statement)
	fmt.Fprintf(d.out, "> %s\n%s", statement, text)
	return text, errors.Wrapf(err, "demo: %s", statement)
}

// expect types a statement and checks that the answer has the text.
func (d *Demo) expect(ctx context.Context, statement, want string) error {
	text, err := d.typed(ctx, statement)
	if err == nil && !strings.Contains(text, want) {
		err = errors.Newf("demo: %s: the answer lacks %q", statement, want)
	}
	return err
}

// wait repeats a query until its answer has the text, then prints it.
func (d *Demo) wait(ctx context.Context, statement, want string) error {
	end := time.Now().Add(stepTimeout)
	for {
		text, err := d.query(ctx, statement)
		if err == nil && strings.Contains(text, want) {
			fmt.Fprintf(d.out, "> %s\n%s", statement, text)
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return errors.Newf("demo: %s: no %q within %s, last answer: %s", statement, want, stepTimeout, text)
		}
		time.Sleep(poll)
	}
}

func (d *Demo) setUp(ctx context.Context) error {
	d.say("The day shift sets up zones and teams.")
	for _, s := range []string{"create zone laventille region north", "create zone belmont region north", "create zone san-fernando region south"} {
		if err := d.expect(ctx, s, "accepted"); err != nil {
			return err
		}
	}
	// The last worker's announcement travels from its zone to the leader.
	last := d.workers[len(d.workers)-1].name
	if err := d.wait(ctx, "show workers", last); err != nil {
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

// request sends requests through all entry hosts and counts whole answers.
func (d *Demo) request(ctx context.Context) error {
	d.say("Dressers' tablets send %d requests through all entry hosts.", requests)
	whole := 0
	for i := range requests {
		h := d.hosts[i%len(d.hosts)]
		path := fmt.Sprintf("/r/fitting/preview-%d", i)
		body, err := fetch(ctx, "http://"+h.http.Addr().String()+path)
		if err != nil {
			return errors.Wrapf(err, "demo: request %d through %s", i, h.name)
		}
		if strings.Contains(body, path) {
			whole++
		}
	}
	fmt.Fprintf(d.out, "%d of %d requests got their own whole answer\n", whole, requests)
	if whole != requests {
		return errors.Newf("demo: %d of %d requests got their own whole answer", whole, requests)
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

func (d *Demo) borrow(ctx context.Context) error {
	d.say("Team wigs borrows the idle accelerators of belmont for a catalogue render.")
	if err := d.expect(ctx, "create job catalogue team wigs tasks 4 accelerators 8 run 10m", "as job 1"); err != nil {
		return err
	}
	return d.wait(ctx, "why job 1", "is running")
}

func (d *Demo) reclaim(ctx context.Context) error {
	d.say("Team carnival needs its guaranteed cells back at once.")
	sent := time.Now()
	if err := d.expect(ctx, "create job stilt-balance team carnival tasks 4 accelerators 8 run 3s urgent", "as job 2"); err != nil {
		return err
	}
	if err := d.wait(ctx, "why job 2", "is running"); err != nil {
		return err
	}
	took := time.Since(sent)
	fmt.Fprintf(d.out, "the urgent gang runs %.1f s after it was submitted\n", took.Seconds())
	if took > urgentStart {
		return errors.Newf("demo: urgent guaranteed work started after %s, promised are %s", took, urgentStart)
	}
	if _, err := d.typed(ctx, "why job 1"); err != nil {
		return err
	}
	if err := d.wait(ctx, "why job 2", "finished"); err != nil {
		return err
	}
	return d.wait(ctx, "why job 1", "is running")
}

func (d *Demo) drain(ctx context.Context) error {
	d.say("Belmont is taken out for a switch swap.")
	if err := d.expect(ctx, `drain zone belmont because "switch swap at 02:00"`, "accepted"); err != nil {
		return err
	}
	out := time.Now()
	if err := d.expect(ctx, "create job wig-preview team wigs tasks 1 accelerators 8 run 2s urgent", "as job 3"); err != nil {
		return err
	}
	for _, w := range []struct{ statement, want string }{{"why job 3", "finished"}, {"why job 1", "is waiting"}, {"show guarantees", "carnival"}} {
		if err := d.wait(ctx, w.statement, w.want); err != nil {
			return err
		}
	}
	if late := d.startsAfter("belmont", out.Add(quietAfterDrain)); late > 0 {
		return errors.Newf("demo: %d tasks started in belmont after it was taken out", late)
	}
	return nil
}

func (d *Demo) giveBack(ctx context.Context) error {
	d.say("Belmont returns, and the catalogue render goes on from its checkpoint.")
	if err := d.expect(ctx, `return zone belmont because "switch swapped"`, "accepted"); err != nil {
		return err
	}
	if err := d.wait(ctx, "why job 1", "is running"); err != nil {
		return err
	}
	if err := d.expect(ctx, `cancel job 1 because "the shop changed its mind"`, "accepted"); err != nil {
		return err
	}
	if err := d.wait(ctx, "show jobs where state = cancelled", "catalogue"); err != nil {
		return err
	}
	return d.expect(ctx, "show notes since yesterday", "stilt-balance")
}
