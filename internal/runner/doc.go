// Package runner is the interface to runners: it takes their announcements,
// keeps one connection pool for each of them, sends single attempts and shares
// the zone's runner table and in-flight counts with the zone's other hosts.
//
// # Usage
//
//	p := runner.New(runner.Config{Host: "a1", Zone: "belmont", Peers: peers, Transport: mesh})
//	p.OnLoad(balancer.Load)
//	mux.Handle("POST /v1/runners", p)
//	go p.Run(ctx)
//	answer, err := p.Send(ctx, r, runner.Request{Attempt: id, Method: "GET", Path: "/fit"})
//
// An attempt ends in one of three ways. A nil error means answered: the
// runner echoed the attempt id and the answer was read up to its length or its
// final chunk. An error of kind NotRun means not sent: no byte of the request
// left this host. An error of kind OutcomeUnknown means unclear: the runner
// may have executed the request.
package runner
