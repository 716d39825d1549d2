package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift/internal/logtrace"
)

type traceCmd struct {
	Args    []string `arg:"" name:"file" help:"Log files, also compressed ones, and at last the id of a batch unless --slowest or --refused is given."`
	Slowest int      `help:"Show so many of the slowest batches."`
	Refused int      `help:"Show so many of the batches that were refused."`
	JSON    bool     `name:"json" help:"Print JSON, one story a line."`
}

// Run prints the story of a batch, or of several.
func (c *traceCmd) Run(_ context.Context) error {
	files, id := c.Args, ""
	if c.Slowest == 0 && c.Refused == 0 {
		files, id = c.Args[:len(c.Args)-1], c.Args[len(c.Args)-1]
	}
	if len(files) == 0 {
		return errors.New("name at least one log file before the id of the batch")
	}
	var book logtrace.Log
	for _, f := range files {
		if err := book.Open(f); err != nil {
			return err
		}
	}
	if book.Unreadable > 0 {
		fmt.Fprintf(os.Stderr, "%d lines could not be read\n", book.Unreadable)
	}
	stories, err := c.stories(&book, id)
	if err != nil {
		return err
	}
	for _, s := range stories {
		if err := c.print(s); err != nil {
			return err
		}
	}
	return nil
}

func (c *traceCmd) stories(book *logtrace.Log, id string) ([]logtrace.Timeline, error) {
	switch {
	case c.Slowest > 0:
		return book.Slowest(c.Slowest), nil
	case c.Refused > 0:
		return book.Refused(c.Refused), nil
	}
	s, ok := book.Timeline(id)
	if !ok {
		return nil, errors.Newf("no line names batch %s: read the files of all entry and control hosts", id)
	}
	return []logtrace.Timeline{s}, nil
}

func (c *traceCmd) print(s logtrace.Timeline) error {
	if !c.JSON {
		fmt.Print(s)
		return nil
	}
	return errors.Wrap(json.NewEncoder(os.Stdout).Encode(s), "trace")
}
