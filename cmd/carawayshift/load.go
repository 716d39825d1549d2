package main

import (
	"context"
	"os"
	"time"

	"carawayshift.example/carawayshift/internal/loadgen"
)

type loadCmd struct {
	Entry      []string      `help:"Base URL of an entry host; may be repeated." required:""`
	Service    string        `help:"Service to call." required:""`
	Team       string        `help:"Team of the requests."`
	Rate       float64       `help:"Requests per second." default:"20"`
	Duration   time.Duration `help:"Length of the run." default:"10s"`
	Deadline   time.Duration `help:"Deadline of each request." default:"5s"`
	Work       time.Duration `help:"Mean service time that stand-in runners are told to take." default:"20ms"`
	Shape      float64       `help:"Shape of the Pareto distribution of service times; 0 is exponential." default:"0"`
	Urgent     float64       `help:"Fraction of urgent requests, 0 to 1." default:"0.2"`
	Idempotent float64       `help:"Fraction of idempotent requests, 0 to 1." default:"0.5"`
	Keyed      float64       `help:"Fraction of requests with an idempotency key, 0 to 1." default:"0.2"`
	InFlight   int           `help:"Maximum number of requests in flight; further ones are dropped and counted." default:"1000"`
	Seed       uint64        `help:"Seed of the random arrival times." default:"1"`
}

// Run generates the load and prints the result as one JSON object.
func (c *loadCmd) Run(ctx context.Context) error {
	g, err := loadgen.New(loadgen.Config{
		Hosts: c.Entry, Service: c.Service, Team: c.Team, Rate: c.Rate, Duration: c.Duration, Deadline: c.Deadline,
		Work: c.Work, Shape: c.Shape, Urgent: c.Urgent, Idempotent: c.Idempotent, Keyed: c.Keyed,
		InFlight: c.InFlight, Seed: c.Seed, Output: os.Stdout,
	})
	if err != nil {
		return err
	}
	return g.Run(ctx)
}
