// Package terminal is the operators' client: it sends statements to the entry
// hosts and prints the answers.
//
// # Usage
//
//	sh := terminal.Shell{Hosts: urls, Operator: "ines", Out: os.Stdout}
//	err := sh.Run(ctx, "show jobs")
//	err = sh.RunFile(ctx, file)       // stops at the first failure
//	err = sh.Interact(ctx, os.Stdin)  // until quit or the end of input
//
// A file has one statement on each line; empty lines and lines that start
// with # are passed over.
package terminal

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
)

const (
	// attemptTime is longer than a host works on a command: 8 s for the log
	// and 2 s for the hosts on which it must be in force.
	attemptTime = 12 * time.Second
	// rounds is how often every host is tried. The pause between two rounds
	// covers part of an election.
	rounds = 3
	pause  = time.Second
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

// Run sends one statement and prints the answer. The error is the refusal.
func (s *Shell) Run(ctx context.Context, statement string) error {
	body, err := s.send(ctx, statement)
	if err != nil {
		return err
	}
	var r reply
	if err := json.Unmarshal(body, &r); err != nil {
		return errors.Wrap(err, "terminal.Run")
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
	return errors.Wrap(lines.Err(), "terminal.RunFile")
}

// Interact reads statements until quit, exit or the end of the input. Faults
// are printed and do not end it.
func (s *Shell) Interact(ctx context.Context, r io.Reader) error {
	lines := scanner(r)
	for {
		fmt.Fprint(s.Out, "> ")
		if !lines.Scan() {
			fmt.Fprintln(s.Out)
			return errors.Wrap(lines.Err(), "terminal.Interact")
		}
		line := strings.TrimSpace(lines.Text())
		switch strings.ToLower(line) {
		case "":
			continue
		case "quit", "exit":
			return nil
		}
		s.interactOne(ctx, line)
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "terminal.Interact")
		}
	}
}

// interactOne prints an error that no host has explained already.
func (s *Shell) interactOne(ctx context.Context, line string) {
	err := s.Run(ctx, line)
	if err != nil && !errors.HasType(err, (*carawayshift.Error)(nil)) {
		fmt.Fprintln(s.Out, err)
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
		return nil, errors.Wrap(err, "terminal.send")
	}
	last := errors.New("no entry host is given")
	var unsure []byte
	for round := range rounds {
		if round > 0 && !sleep(ctx, pause) {
			break
		}
		for i, host := range s.Hosts {
			answer, final, err := s.post(ctx, host, body)
			if err == nil && final {
				s.prefer(i)
				return answer, nil
			}
			if err != nil {
				last = err
			} else {
				unsure = answer
			}
		}
	}
	if unsure != nil {
		return unsure, nil
	}
	return nil, errors.Wrap(last, "no entry host answers; the command may have been accepted")
}

// post sends the body to one host. The answer is not final when another host
// may give a better one.
func (s *Shell) post(ctx context.Context, host string, body []byte) (answer []byte, final bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimRight(host, "/")+"/v1/statements", bytes.NewReader(body))
	if err != nil {
		return nil, false, errors.Wrap(err, "terminal.post")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := s.client().Do(req)
	if err != nil {
		return nil, false, errors.Wrap(err, "terminal.post")
	}
	defer res.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err == nil && !json.Valid(answer) {
		err = errors.Newf("%s sent no valid answer: %s", host, res.Status)
	}
	return answer, !repeatable(res.StatusCode), errors.Wrap(err, "terminal.post")
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

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
