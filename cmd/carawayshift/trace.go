package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift/internal/logtrace"
)

type traceCmd struct {
	Args    []string `arg:"" name:"file" help:"Log files, which may be compressed, followed by the id of a batch unless --slowest, --refused or --day is given."`
	Slowest int      `help:"Number of the slowest batches to show."`
	Refused int      `help:"Number of refused batches to show."`
	Day     bool     `help:"Show the whole day: what was accepted, started, ended and stopped in each two seconds, and the changes of the leader."`
	JSON    bool     `name:"json" help:"Print JSON, one batch or window per line."`
}

// Run prints the events of the selected batches.
func (c *traceCmd) Run(_ context.Context) error {
	files, id := c.Args, ""
	if c.Slowest == 0 && c.Refused == 0 && !c.Day {
		files, id = c.Args[:len(c.Args)-1], c.Args[len(c.Args)-1]
	}
	if len(files) == 0 {
		return errors.New("give at least one log file before the id of the batch")
	}
	var index logtrace.Log
	for _, f := range files {
		if err := index.Open(f); err != nil {
			return err
		}
	}
	if index.Unreadable > 0 {
		fmt.Fprintf(os.Stderr, "%d lines could not be read\n", index.Unreadable)
	}
	if c.Day {
		for _, w := range index.Day() {
			if err := c.print(w); err != nil {
				return err
			}
		}
		return nil
	}
	traces, err := c.selectTraces(&index, id)
	if err != nil {
		return err
	}
	for _, s := range traces {
		if err := c.print(s); err != nil {
			return err
		}
	}
	return nil
}

func (c *traceCmd) selectTraces(index *logtrace.Log, id string) ([]logtrace.Timeline, error) {
	switch {
	case c.Slowest > 0:
		return index.Slowest(c.Slowest), nil
	case c.Refused > 0:
		return index.Refused(c.Refused), nil
	}
	s, ok := index.Timeline(id)
	if !ok {
		return nil, errors.Newf("no log line names batch %s; give the log files of all entry and control hosts", id)
	}
	return []logtrace.Timeline{s}, nil
}

// print prints a timeline or a window.
func (c *traceCmd) print(v fmt.Stringer) error {
	if !c.JSON {
		fmt.Println(strings.TrimSuffix(v.String(), "\n"))
		return nil
	}
	return errors.Wrap(json.NewEncoder(os.Stdout).Encode(v), "trace")
}
