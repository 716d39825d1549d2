// Package caller handles the HTTP requests of callers: it admits requests on
// /r/{service}/..., queues them, sends them to runners of this zone or forwards
// them to entry hosts of other zones, and answers each request once.
//
// # Usage
//
//	h := caller.New(caller.Config{Host: "a1", Zone: "belmont", Pool: pool, Balancer: b, Queue: q, Budget: budget, Claims: claims})
//	mux.Handle("/r/", h)
//	...
//	err := h.Drain(ctx)
//
// Refusals of this host carry the header X-Kind and a JSON body with error,
// kind and remedy. A response without X-Kind comes from a runner.
package caller
