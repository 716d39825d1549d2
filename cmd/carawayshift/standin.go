package main

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/intake"
	"carawayshift.example/carawayshift/internal/settings"
	"carawayshift.example/carawayshift/internal/standin/agent"
	"carawayshift.example/carawayshift/internal/standin/runner"
	"carawayshift.example/carawayshift/internal/standin/worker"
	"carawayshift.example/carawayshift/platform"
)

type standinCmd struct {
	Runner standinRunnerCmd `cmd:"" help:"A runner that answers requests of one service. Example: carawayshift standin runner --name r1 --zone belmont --service fitting --listen 127.0.0.1:9001 --entry http://127.0.0.1:8480"`
	Worker standinWorkerCmd `cmd:"" help:"A worker that runs tasks as timers. Example: carawayshift standin worker --name w1 --zone belmont --rack r1 --listen 127.0.0.1:9101 --entry http://127.0.0.1:8480"`
	Agent  standinAgentCmd  `cmd:"" help:"A runner that executes tasks of batches. Example: carawayshift standin agent --id i-1 --zone belmont --rack r1 --service fit --listen 127.0.0.1:9201 --control 127.0.1.1:8526"`
}

// standinHeaderTimeout bounds the time for the headers of a request to a stand-in.
const standinHeaderTimeout = time.Second

// standinLimits bounds what clients can make a stand-in hold.
type standinLimits struct {
	Limit int `help:"Memory of the process in MB. The limits of bodies and connections are parts of it." default:"128"`
}

// newIntake returns the limits of a stand-in whose largest body has a size in bytes.
func (l standinLimits) newIntake(body int64) *intake.Intake {
	limits := settings.DefaultLimits()
	limits.Memory = int64(l.Limit) << 20
	debug.SetMemoryLimit(intake.RuntimeMemory(limits.Memory))
	return intake.New(intake.Config{Limits: intake.Derive(limits, body)})
}

type standinAgentCmd struct {
	standinLimits `embed:""`

	ID           string        `help:"Id of the runner." required:""`
	Zone         string        `help:"Availability zone." required:""`
	Rack         string        `help:"Rack." required:""`
	Service      string        `help:"Service to which it belongs." required:""`
	Listen       string        `help:"IP:port to listen on and to report." required:""`
	Control      []string      `help:"IP:port of a control host; may be repeated." required:""`
	Cores        int           `help:"Processor cores." default:"32"`
	Memory       int           `help:"Memory in MB." default:"65536"`
	Accelerators int           `help:"Accelerators." default:"8"`
	Work         time.Duration `help:"Run time of each task." default:"1s"`
}

// Run serves until ctx ends. The tasks end with the process.
func (c *standinAgentCmd) Run(ctx context.Context) error {
	l, err := intake.Listen(c.Listen)
	if err != nil {
		return errors.Wrap(err, "standin agent")
	}
	a := agent.New(agent.Config{
		Agent: carawayshift.Agent{
			ID: c.ID, Incarnation: time.Now().UnixMilli(), Service: c.Service, Zone: c.Zone, Address: c.Listen, Rack: c.Rack,
			Labels: []string{"a", c.Rack}, MilliCores: 1000 * c.Cores, Memory: c.Memory, Accelerators: c.Accelerators,
		},
		Work:         func(carawayshift.TaskName, int) (time.Duration, bool) { return c.Work, false },
		StopDuration: standinStopDuration, GangTimeout: standinGangTimeout, MaxLease: standinMaxLease,
	})
	s := platform.NewRunnerServer(a, c.Control, logrus.StandardLogger())
	defer serveStandin(c.newIntake(platform.MaxJobBody), l, s, intake.Listener{Name: "agent", Body: platform.MaxJobBody}).Close()
	return s.Run(ctx)
}

// serveStandin serves the calls to a stand-in until the server is closed.
func serveStandin(in *intake.Intake, l net.Listener, h http.Handler, limits intake.Listener) *http.Server {
	limits.Connections, limits.HeaderTimeout, limits.Refuse = in.Limits().Connections, standinHeaderTimeout, platform.Refuse
	srv := in.Server(h, limits)
	go func() {
		if err := in.Serve(srv, l); !errors.Is(err, http.ErrServerClosed) {
			logrus.WithError(err).Error("the stand-in no longer accepts calls")
		}
	}()
	return srv
}

// Timing of the stand-in agent: how long a stop takes, how long a member of a
// gang waits for the others, and the maximum lease.
const (
	standinStopDuration = 300 * time.Millisecond
	standinGangTimeout  = 3 * time.Second
	standinMaxLease     = 6 * time.Second
)

type standinRunnerCmd struct {
	standinLimits `embed:""`

	Name        string        `help:"Name of the runner." required:""`
	Zone        string        `help:"Availability zone." required:""`
	Service     string        `help:"Service whose requests it answers." required:""`
	Listen      string        `help:"IP:port to listen on and to announce." required:""`
	Entry       []string      `help:"Base URL of an entry host; may be repeated." required:""`
	Slots       int           `help:"Maximum number of concurrent requests." default:"8"`
	Connections int           `help:"Maximum number of connections." default:"60"`
	Work        time.Duration `help:"Service time of a request." default:"20ms"`
	Seed        uint64        `help:"Seed of the random faults." default:"1"`
}

// Run serves until ctx ends, then shuts down gracefully.
func (c *standinRunnerCmd) Run(ctx context.Context) error {
	return runner.New(runner.Config{
		Name: c.Name, Zone: c.Zone, Service: c.Service, Address: c.Listen, Hosts: c.Entry,
		Slots: c.Slots, Connections: c.Connections, Work: c.Work, Seed: c.Seed,
		Listen: intake.Listen, Intake: c.newIntake(runner.MaxBody),
	}).Run(ctx)
}

type standinWorkerCmd struct {
	standinLimits `embed:""`

	Name         string   `help:"Name of the worker." required:""`
	Zone         string   `help:"Availability zone." required:""`
	Rack         string   `help:"Rack." required:""`
	Listen       string   `help:"IP:port to listen on and to announce." required:""`
	Entry        []string `help:"Base URL of an entry host; may be repeated." required:""`
	Cores        int      `help:"Processor cores." default:"30"`
	Memory       int      `help:"Memory in MB." default:"65536"`
	Accelerators int      `help:"Accelerators." default:"8"`
	Factor       float64  `help:"Actual run time of tasks divided by the declared one." default:"1"`
}

// Run serves until ctx ends. The tasks end with the process.
func (c *standinWorkerCmd) Run(ctx context.Context) error {
	l, err := intake.Listen(c.Listen)
	if err != nil {
		return errors.Wrap(err, "standin worker")
	}
	w := worker.New(worker.Options{
		Name: c.Name, Zone: c.Zone, Rack: c.Rack, Address: c.Listen, Entries: c.Entry,
		Cores: c.Cores, Memory: c.Memory, Accelerators: c.Accelerators, RunTimeFactor: c.Factor, Log: logrus.StandardLogger(),
	})
	defer serveStandin(c.newIntake(worker.MaxBodyBytes), l, w, intake.Listener{Name: "worker", Body: worker.MaxBodyBytes}).Close()
	return w.Run(ctx)
}
