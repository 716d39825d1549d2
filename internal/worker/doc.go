// Package worker speaks to workers: the machines that run the tasks of gang
// jobs. It takes their announcements, shares them within the zone, sends the
// leader a digest of each zone, and carries the task calls (prepare, start,
// renew, checkpoint, throttle, stop).
//
// # Usage
//
//	c := worker.New(worker.Options{Zone: "belmont", Transport: mesh, Peers: peers})
//	mux.Handle("POST /v1/workers", c)
//	go c.Run(ctx)
//	for _, w := range c.Workers() { ... }
//	err := c.Prepare(ctx, w, spec, 900*time.Millisecond)
//
// # Freshness
//
// A worker announces itself every second to any entry host of its zone. The
// host that received the announcement passes it on to the zone's other hosts
// with its age, so that every host of the zone knows every worker within two
// seconds. An announcement expires after Expiry. Only the zone's lease holder
// sends digests to the leader; a digest carries what changed and a checksum
// of the whole table, so that an unchanged zone costs a few bytes a second on
// the link between regions.
package worker
