// Package queryclient is the client for operators: it sends statements to the
// entry hosts and prints the answers.
//
// # Usage
//
//	sh := queryclient.Shell{Hosts: urls, Operator: "ines", Out: os.Stdout}
//	err := sh.Run(ctx, "show jobs")
//	err = sh.RunFile(ctx, file)       // stops at the first failure
//	err = sh.Interact(ctx, os.Stdin)  // until quit or the end of input
//
// A file contains one statement per line; empty lines and lines that start with
// # are ignored.
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
	// attemptTimeout is longer than a host takes to process a command: up to 8 s
	// until it is committed to the log, and 2 s until it is in force on the hosts
	// that must apply it.
	attemptTimeout = 12 * time.Second
	// rounds is how often each host is tried. The delay between two rounds gives
	// a running election some time to complete.
	rounds     = 3
	roundDelay = time.Second
	// maxReply is the maximum size of a reply. The largest ones have 2,000 rows
	// of about 1 KB; the limit is several times that.
	maxReply = 16 << 20
	// maxLine is the maximum length of an input line. It is above the host's
	// limit of 4,096 bytes for a statement, because the host's error is more
	// helpful than that of the scanner.
	maxLine = 64 << 10
)

// Shell sends statements to the entry hosts.
type Shell struct {
	// Hosts are the base URLs of entry hosts, tried in this order. The host that
	// gave the last answer is moved to the front.
	Hosts    []string
	Operator string
	// JSON prints the complete answer as one line of JSON instead of text.
	JSON bool
	Out  io.Writer
	// Client is the HTTP client; nil means http.DefaultClient.
	Client *http.Client
	// NewID returns the id of a new statement; nil means random ids.
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

// Run sends one statement and prints the answer, or the reason why there is none.
// A refused statement is returned as an error.
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

// RunFile runs the statements of a file and stops at the first one that fails.
func (s *Shell) RunFile(ctx context.Context, r io.Reader) error {
	lines, number := newScanner(r), 0
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

// Interact reads statements until quit, exit or the end of the input. Errors are
// printed and do not end it.
func (s *Shell) Interact(ctx context.Context, r io.Reader) error {
	lines := newScanner(r)
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
		// Run has already printed the error.
		_ = s.Run(ctx, line)
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "queryclient.Interact")
		}
	}
}

func newScanner(r io.Reader) *bufio.Scanner {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), maxLine)
	return sc
}

// send tries the hosts in turn. All attempts use the same id, so that a command
// whose answer was lost is not applied twice.
func (s *Shell) send(ctx context.Context, statement string) ([]byte, error) {
	body, err := json.Marshal(request{Statement: statement, ID: s.id(), Operator: s.Operator})
	if err != nil {
		return nil, errors.Wrap(err, "queryclient.send")
	}
	combined := attemptResult{err: errors.New("no entry host was given")}
	for round := range rounds {
		if round > 0 && !pause.For(ctx, roundDelay) {
			break
		}
		for i, host := range s.Hosts {
			t := s.post(ctx, host, body)
			if t.final {
				s.moveToFront(i)
				return t.answer, nil
			}
			combined = combined.merge(t)
		}
	}
	return combined.result()
}

// attemptResult is the combined result of one or more attempts.
type attemptResult struct {
	answer []byte
	// final is true when no retry on another host can give a better answer.
	final bool
	// maybeAccepted is true when one of the attempts may have been accepted.
	maybeAccepted bool
	err           error
}

// merge combines the result of earlier attempts with that of a later one. An
// earlier maybeAccepted is kept, because a later "not run" only says that the
// later attempt was not run.
func (r attemptResult) merge(next attemptResult) attemptResult {
	next.maybeAccepted = next.maybeAccepted || r.maybeAccepted
	if next.answer == nil {
		next.answer = r.answer
	}
	return next
}

func (r attemptResult) result() ([]byte, error) {
	if r.maybeAccepted {
		return nil, carawayshift.NewError(carawayshift.OutcomeUnknown,
			"no entry host gave a final answer, and the command may have been accepted",
			"check the state with show before you retry the command")
	}
	if r.answer != nil {
		return r.answer, nil
	}
	return nil, carawayshift.NewError(carawayshift.NotRun, "no entry host can be reached: "+r.err.Error(), "check the addresses of the entry hosts")
}

func (s *Shell) post(ctx context.Context, host string, body []byte) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimRight(host, "/")+"/v1/statements", bytes.NewReader(body))
	if err != nil {
		return attemptResult{err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := s.client().Do(req)
	if err != nil {
		return attemptResult{err: err, maybeAccepted: !isDialError(err)}
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil || !json.Valid(answer) {
		return attemptResult{err: errors.Newf("%s sent no valid answer: %s", host, res.Status), maybeAccepted: true}
	}
	maybeAccepted := res.StatusCode == http.StatusGatewayTimeout || res.StatusCode == http.StatusBadGateway
	return attemptResult{answer: answer, final: !isRetryable(res.StatusCode), maybeAccepted: maybeAccepted}
}

// isDialError reports whether the connection could not be opened, so that the
// request was certainly not sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isRetryable reports whether another host may give a better answer than the one
// with this status.
func isRetryable(code int) bool {
	return code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout || code == http.StatusBadGateway
}

// moveToFront makes the i-th host the first one to try.
func (s *Shell) moveToFront(i int) {
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
