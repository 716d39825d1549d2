// Command carawayshift schedules gang jobs for teams with guaranteed shares of
// accelerators and routes short requests to runners.
//
// # Usage
//
//	carawayshift serve --settings host.ini
//	carawayshift query "show jobs where state = waiting"
//	carawayshift check host.ini
//	carawayshift keys --dir keys --host lav1=192.0.2.11
//	carawayshift demo
//
// Each command prints an example with --help.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

type cli struct {
	Serve   serveCmd   `cmd:"" help:"Run an entry host; also a control host when the settings have [control]. Example: carawayshift serve --settings host.ini"`
	Query   queryCmd   `cmd:"" help:"Send statements to the system. Example: carawayshift query --entry http://127.0.0.1:8481 \"why job 41\""`
	Member  memberCmd  `cmd:"" help:"Add, promote or remove a member of the replicated group, for example to replace a disk. Example: carawayshift member remove lav1"`
	Check   checkCmd   `cmd:"" help:"Check a settings file and print every error. Example: carawayshift check host.ini"`
	Keys    keysCmd    `cmd:"" help:"Create the deployment's CA and host certificates. Example: carawayshift keys --dir keys --host lav1=192.0.2.11"`
	Standin standinCmd `cmd:"" help:"Run a stand-in target. Example: carawayshift standin worker --name w1 --zone belmont --rack r1 --listen 127.0.0.1:9101 --entry http://127.0.0.1:8480"`
	Load    loadCmd    `cmd:"" help:"Send an open-loop load to an entry host. Example: carawayshift load --entry http://127.0.0.1:8480 --service fitting --rate 50 --duration 10s"`
	Trace   traceCmd   `cmd:"" help:"Show from log files what happened to a batch. Example: carawayshift trace core-1.log core-2.log front-1.log 5c0e7a21d94b36f8"`
	Demo    demoCmd    `cmd:"" help:"Run a complete deployment in one process on loopback. Example: carawayshift demo"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	k := kong.Parse(
		&cli{},
		kong.Name("carawayshift"),
		kong.Description("Scheduler for multi-accelerator jobs under team guarantees."),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err := k.Run(); err != nil {
		if !errors.Is(err, errAlreadyPrinted) {
			fmt.Fprintln(os.Stderr, "carawayshift:", err)
		}
		stop()
		os.Exit(1)
	}
}
