// Package worker communicates with workers, the machines that run the tasks of
// gang jobs. It receives their announcements, forwards them within the zone, sends
// the leader a digest of each zone's workers, and sends the task calls (prepare,
// start, renew, checkpoint, throttle, stop).
//
// # Usage
//
//	c := worker.New(worker.Options{Zone: "belmont", Transport: mesh, Peers: peers})
//	mux.Handle("POST /v1/workers", c)
//	go c.Run(ctx)
//	for _, w := range c.Workers() { ... }
//	err := c.Prepare(ctx, w, spec, 900*time.Millisecond)
//
// # Propagation
//
// A worker announces itself every second to any entry host of its zone. The host
// that received the announcement forwards it to the zone's other hosts with its
// age, so that every host of the zone knows every worker within two seconds. An
// announcement expires after Expiry. Only the zone's lease holder sends digests to
// the leader. A digest contains the changes and a checksum of the full table, so
// that an unchanged zone needs only a few bytes a second on the link between
// regions.
package worker
