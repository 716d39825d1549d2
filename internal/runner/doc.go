// Package runner connects this host to the runners of its zone: it receives
// their announcements, keeps one connection pool for each of them, sends single
// attempts and exchanges the runner table and the in-flight counts with the
// zone's other hosts.
//
// # Usage
//
//	p := runner.New(runner.Config{Host: "a1", Zone: "belmont", Peers: peers, Transport: mesh})
//	p.SetInFlightSource(balancer.InFlight)
//	mux.Handle("POST /v1/runners", p)
//	go p.Run(ctx)
//	answer, err := p.Send(ctx, r, runner.Request{Attempt: id, Method: "GET", Path: "/fit"})
//
// An attempt has one of three outcomes. A nil error means that the runner
// echoed the attempt id and the response was read up to its length or its final
// chunk. An error of kind NotRun means that no byte of the request left this
// host. An error of kind OutcomeUnknown means that the runner may have executed
// the request.
package runner
