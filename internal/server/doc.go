// Package server assembles the components of one host: transport, replicated
// log, scheduler, gang manager, request routing, and the interfaces for callers,
// targets, operators and the platform.
//
// # Usage
//
//	s, err := server.New(server.Options{Settings: cfg, ServerTLS: st, ClientTLS: ct,
//		HTTP: httpListener, Operators: operatorListener, Peers: udpConn, Log: log})
//	err = s.Run(ctx)
//
// Cancelling ctx begins a graceful stop: the host reports that it is not ready,
// waits until the platform's load balancer has noticed, completes the accepted
// requests, releases the zone lease, transfers the leadership, and only then
// closes the connections to other hosts.
//
// The components are assembled by google/wire; wire_gen.go is generated and
// committed.
package server
