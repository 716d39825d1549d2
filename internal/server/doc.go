// Package server joins the parts of one host: transport, replicated log,
// scheduler, gang agent, request routing, and the interfaces for callers,
// targets, operators and the platform.
//
// # Usage
//
//	s, err := server.New(server.Options{Settings: cfg, ServerTLS: st, ClientTLS: ct,
//		HTTP: httpListener, Operators: operatorListener, Peers: udpConn, Log: log})
//	err = s.Run(ctx)
//
// The end of ctx begins a graceful stop: readiness goes off, the platform's
// load balancer gets time to notice, requests that were taken are finished,
// the zone lease and the leadership are handed over, and only then do the
// connections to other hosts close.
//
// The parts are joined by google/wire; wire_gen.go is generated and committed.
package server
