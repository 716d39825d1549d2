package main

import (
	"context"
	"io"
	"os"
	"os/user"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift/internal/queryclient"
)

type queryCmd struct {
	Statement string   `arg:"" optional:"" help:"One statement; without it and without --file an interactive shell starts."`
	Entry     []string `help:"Base URL of a host's operators' address; may be repeated." default:"http://127.0.0.1:8481" env:"CARAWAYSHIFT_ENTRY"`
	File      string   `help:"File of statements, one a line."`
	Operator  string   `help:"Name that commands are recorded under; default is the login name."`
	JSON      bool     `help:"Print answers as JSON."`
}

// Run sends statements and prints the answers. A refused statement is an error,
// so that scripts see it in the exit code.
func (c *queryCmd) Run(ctx context.Context) error {
	out := &countingWriter{w: os.Stdout}
	err := c.run(ctx, &queryclient.Shell{Hosts: c.Entry, Operator: c.Operator, JSON: c.JSON, Out: out})
	if err != nil && out.n > 0 {
		return errAlreadyPrinted
	}
	return err
}

// errAlreadyPrinted makes the process exit with an error without printing it,
// because the answer on standard output contains it.
var errAlreadyPrinted = errors.New("the printed answer contains the error")

// countingWriter counts the bytes that are written to w.
type countingWriter struct {
	w io.Writer
	n int
}

func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.n += n
	return n, err
}

func (c *queryCmd) run(ctx context.Context, sh *queryclient.Shell) error {
	if sh.Operator == "" {
		u, err := user.Current()
		if err != nil {
			return errors.Wrap(err, "find the login name, or give --operator")
		}
		sh.Operator = u.Username
	}
	switch {
	case c.Statement != "":
		return sh.Run(ctx, c.Statement)
	case c.File != "":
		f, err := os.Open(c.File)
		if err != nil {
			return errors.Wrap(err, "query")
		}
		defer f.Close()
		return sh.RunFile(ctx, f)
	default:
		return sh.Interact(ctx, os.Stdin)
	}
}
