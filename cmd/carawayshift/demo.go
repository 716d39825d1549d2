package main

import (
	"context"
	"io"
	"os"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift/internal/demo"
)

type demoCmd struct {
	Verbose bool `help:"Print the hosts' log lines to standard error."`
}

// Run plays the session and fails when its checks do not hold.
func (c *demoCmd) Run(ctx context.Context) error {
	l := logrus.New()
	l.SetOutput(io.Discard)
	if c.Verbose {
		l.SetOutput(os.Stderr)
	}
	return demo.New(os.Stdout, l).Run(ctx)
}
