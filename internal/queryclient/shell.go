// Package queryclient is the operators' client: it sends statements to the entry
// hosts and prints the answers.
//
// # Usage
//
//	sh := queryclient.Shell{Hosts: urls, Operator: "ines", Out: os.Stdout}
//	err := sh.Run(ctx, "show jobs")
//	err = sh.RunFile(ctx, file)       // stops at the first failure
//	err = sh.Interact(ctx, os.Stdin)  // until quit or the end of input
//
// A file has one statement on each line; empty lines and lines that start
// with # are passed over.
package queryclient

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

const (
	// attemptTime is longer than a host works on a command: 8 s for the log
	// and 2 s for the hosts on which it must be in force.
	attemptTime = 12 * time.Second
	// rounds is how often every host is tried. The wait between two rounds
	// covers part of an election.
	rounds    = 3
	roundWait = time.Second
	// maxReply bounds a reply: 2,000 rows of about 1 KB, with room to spare.
	maxReply = 16 << 20
	// maxLine is the longest line that is read; the host refuses statements
	// above 4,096 bytes with a better message than a reader can give.
	maxLine = 64 << 10
)

// Shell sends statements to the entry hosts.
type Shell struct {
	// Hosts are the base URLs of entry hosts, tried in this order. The one
	// that answered last is tried first.
	Hosts    []string
	Operator string
	// JSON prints the whole answer as one line of JSON instead of text.
	JSON bool
	Out  io.Writer
	// Client may be nil for the default one.
	Client *http.Client
	// NewID returns the id of a new statement; nil makes random ones.
	NewID func() string
}

type request struct {
	Statement string `json:"statement"`
	ID        string `json:"id"`
	Operator  string `json:"operator"`
}

type reply struct {
	Text   string            `json:"text"`
	Kind   carawayshift.Kind `json:"kind"`
	Error  string            `json:"error"`
	Remedy string            `json:"remedy"`
}

// Run sends one statement and prints the answer, or why there is none. The
// error is the refusal.
func (s *Shell) Run(ctx context.Context, statement string) error {
	body, err := s.send(ctx, statement)
	if err != nil {
		fmt.Fprintln(s.Out, err)
		return err
	}
	var r reply
	if err := json.Unmarshal(body, &r); err != nil {
		return errors.Wrap(err, "queryclient.Run")
	}
	if s.JSON {
		fmt.Fprintf(s.Out, "%s\n", bytes.TrimSpace(body))
	} else {
		fmt.Fprint(s.Out, r.Text)
	}
	if r.Kind != "" {
		return carawayshift.NewError(r.Kind, r.Error, r.Remedy)
	}
	return nil
}

// RunFile runs the statements of a file and stops at the first that fails.
func (s *Shell) RunFile(ctx context.Context, r io.Reader) error {
	lines, number := scanner(r), 0
	for lines.Scan() {
		number++
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := s.Run(ctx, line); err != nil {
			return errors.Wrapf(err, "line %d", number)
		}
	}
	return errors.Wrap(lines.Err(), "queryclient.RunFile")
}

// Interact reads statements until quit, exit or the end of the input. Faults
// are printed and do not end it.
func (s *Shell) Interact(ctx context.Context, r io.Reader) error {
	lines := scanner(r)
	for {
		fmt.Fprint(s.Out, "> ")
		if !lines.Scan() {
			fmt.Fprintln(s.Out)
			return errors.Wrap(lines.Err(), "queryclient.Interact")
		}
		line := strings.TrimSpace(lines.Text())
		switch strings.ToLower(line) {
		case "":
			continue
		case "quit", "exit":
			return nil
		}
		// Run has printed what went wrong.
		_ = s.Run(ctx, line)
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "queryclient.Interact")
		}
	}
}

func scanner(r io.Reader) *bufio.Scanner {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), maxLine)
	return sc
}

// send tries the hosts in turn, always with the same id, so that a command
// whose answer was lost is not applied twice.
func (s *Shell) send(ctx context.Context, statement string) ([]byte, error) {
	body, err := json.Marshal(request{Statement: statement, ID: s.id(), Operator: s.Operator})
	if err != nil {
		return nil, errors.Wrap(err, "queryclient.send")
	}
	all := try{err: errors.New("no entry host is given")}
	for round := range rounds {
		if round > 0 && !pause.For(ctx, roundWait) {
			break
		}
		for i, host := range s.Hosts {
			t := s.post(ctx, host, body)
			if t.final {
				s.prefer(i)
				return t.answer, nil
			}
			all = all.then(t)
		}
	}
	return all.result()
}

// try is the result of one or more tries.
type try struct {
	answer []byte
	// final is true when no other host can give a better answer.
	final bool
	// doubt is true when the command may have been accepted.
	doubt bool
	err   error
}

// then joins the results of an earlier and a later try. A doubt stays: a
// later host that says "not run" speaks for its own try only.
func (t try) then(next try) try {
	next.doubt = next.doubt || t.doubt
	if next.answer == nil {
		next.answer = t.answer
	}
	return next
}

func (t try) result() ([]byte, error) {
	if t.doubt {
		return nil, carawayshift.NewError(carawayshift.OutcomeUnknown,
			"no entry host gave a final answer, and the command may have been accepted",
			"look at the state with show before you type the command again")
	}
	if t.answer != nil {
		return t.answer, nil
	}
	return nil, carawayshift.NewError(carawayshift.NotRun, "no entry host can be reached: "+t.err.Error(), "check the addresses of the entry hosts")
}

// post sends the body to one host.
func (s *Shell) post(ctx context.Context, host string, body []byte) try {
	ctx, cancel := context.WithTimeout(ctx, attemptTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimRight(host, "/")+"/v1/statements", bytes.NewReader(body))
	if err != nil {
		return try{err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := s.client().Do(req)
	if err != nil {
		return try{err: err, doubt: !notSent(err)}
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil || !json.Valid(answer) {
		return try{err: errors.Newf("%s sent no valid answer: %s", host, res.Status), doubt: true}
	}
	doubt := res.StatusCode == http.StatusGatewayTimeout || res.StatusCode == http.StatusBadGateway
	return try{answer: answer, final: !repeatable(res.StatusCode), doubt: doubt}
}

// notSent reports whether the request provably did not leave this machine.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// repeatable reports whether another host may give a better answer.
func repeatable(code int) bool {
	return code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout || code == http.StatusBadGateway
}

// prefer moves the host to the front.
func (s *Shell) prefer(i int) {
	hosts := append([]string{s.Hosts[i]}, s.Hosts[:i]...)
	s.Hosts = append(hosts, s.Hosts[i+1:]...)
}

func (s *Shell) client() *http.Client {
	if s.Client != nil {
		return s.Client
	}
	return http.DefaultClient
}

func (s *Shell) id() string {
	if s.NewID != nil {
		return s.NewID()
	}
	return rand.Text()
}
