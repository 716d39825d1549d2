package main

import (
	"context"
	"io"
	"os"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift/internal/demo"
)

type demoCmd struct {
	Verbose bool `help:"Print the logs of the hosts to standard error."`
}

// Run runs the demo session and returns an error when one of its checks fails.
func (c *demoCmd) Run(ctx context.Context) error {
	l := logrus.New()
	l.SetOutput(io.Discard)
	if c.Verbose {
		l.SetOutput(os.Stderr)
	}
	return demo.New(os.Stdout, l).Run(ctx)
}
