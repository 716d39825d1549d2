package worker

import (
	"context"
	"reflect"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	propagationInterval = time.Second
	callTimeout         = time.Second
	// removeAfter is how long a worker stays in the table after its last
	// announcement. It is much longer than Expiry, so that a restarted worker is
	// compared with its last incarnation.
	removeAfter = 10 * time.Minute
)

// Run forwards announcements and sends digests until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	tick := time.NewTicker(propagationInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			c.forwardToPeers(ctx)
			c.sendDigest(ctx)
		}
	}
}

// forwardToPeers forwards the announcements of the last interval to the zone's other
// hosts, each in its own goroutine, so that an unresponsive host does not delay the
// others. It also removes workers that have not announced themselves for
// removeAfter.
func (c *Client) forwardToPeers(ctx context.Context) {
	list := c.takeReceived()
	if len(list) > 0 {
		for _, peer := range c.opts.Peers() {
			go c.forwardTo(ctx, peer, list)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, w := range c.workers {
		if time.Since(w.Seen) > removeAfter {
			delete(c.workers, name)
		}
	}
}

// takeReceived returns the workers that announced themselves to this host since the
// last call.
func (c *Client) takeReceived() []carawayshift.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []carawayshift.Worker
	for name := range c.received {
		list = append(list, c.workers[name])
	}
	c.received = map[string]bool{}
	return list
}

// forwardTo forwards announcements to one host, and again in full those of workers
// that it does not know.
func (c *Client) forwardTo(ctx context.Context, peer string, list []carawayshift.Worker) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply forwardReply
	// Task reports change often and determine when a gang ends, so a worker with
	// tasks is always sent in full.
	inFull := func(w carawayshift.Worker) bool { return len(w.Tasks) > 0 }
	if err := c.callPeer(ctx, peer, "worker.share", announcementsOf(list, inFull), &reply); err != nil {
		c.opts.Logger.WithError(err).WithField("peer", peer).Debug("announcements not forwarded; the next interval forwards newer ones")
		return
	}
	unknown := slices.DeleteFunc(slices.Clone(list), func(w carawayshift.Worker) bool { return !slices.Contains(reply.Unknown, w.Name) })
	if len(unknown) == 0 {
		return
	}
	all := func(carawayshift.Worker) bool { return true }
	if err := c.callPeer(ctx, peer, "worker.share", announcementsOf(unknown, all), &reply); err != nil {
		c.opts.Logger.WithError(err).WithField("peer", peer).Debug("announcements not forwarded in full; the next interval forwards newer ones")
	}
}

// announcementsOf returns the workers' announcements; those for which inFull
// returns true contain the worker.
func announcementsOf(list []carawayshift.Worker, inFull func(w carawayshift.Worker) bool) forwardedAnnouncements {
	var s forwardedAnnouncements
	for i := range list {
		w := list[i]
		e := forwardedAnnouncement{Name: w.Name, Incarnation: w.Incarnation, Age: time.Since(w.Seen), Clock: w.Clock}
		if inFull(w) {
			e.Worker = &w
		}
		s.Entries = append(s.Entries, e)
	}
	return s
}

func (c *Client) callPeer(ctx context.Context, peer, method string, body, reply any) error {
	b, err := carawayshift.Encode(body)
	if err != nil {
		return err
	}
	b, err = c.opts.Transport.Call(ctx, peer, method, b)
	if err != nil {
		return errors.Wrap(err, "worker.callPeer")
	}
	return carawayshift.Decode(b, reply)
}

func (c *Client) handleForwarded(_ context.Context, _ string, body []byte) ([]byte, error) {
	var s forwardedAnnouncements
	if err := carawayshift.Decode(body, &s); err != nil {
		return nil, err
	}
	var reply forwardReply
	for _, e := range s.Entries {
		if !c.storeForwarded(e) {
			reply.Unknown = append(reply.Unknown, e.Name)
		}
	}
	return carawayshift.Encode(reply)
}

// storeForwarded stores a forwarded announcement. It returns false if the entry does
// not contain the worker in full and this host does not know that incarnation.
func (c *Client) storeForwarded(e forwardedAnnouncement) bool {
	seen := time.Now().Add(-e.Age)
	if e.Worker != nil {
		w := *e.Worker
		w.Seen = seen
		c.storeAnnouncement(w, false)
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[e.Name]
	if !ok || w.Incarnation != e.Incarnation {
		return false
	}
	if seen.After(w.Seen) {
		w.Seen, w.Clock = seen, e.Clock
		// Workers with tasks are sent in full, so this one has none.
		w.Tasks = nil
		c.workers[e.Name] = w
	}
	return true
}

// sendDigest sends the zone's changes to the leader if this host holds the zone
// lease.
func (c *Client) sendDigest(ctx context.Context) {
	leader := c.opts.Leader()
	if leader == "" || !c.opts.HoldsZoneLease() {
		return
	}
	d, table := c.digestFor(leader)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.deliverDigest(ctx, leader, d)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || reply.Resend {
		c.sentTo = ""
		return
	}
	c.sentTable, c.sentTo = table, leader
}

// deliverDigest sends the digest to the leader, which may be this host.
func (c *Client) deliverDigest(ctx context.Context, leader string, d digest) (digestReply, error) {
	if leader == c.opts.Host {
		return digestReply{Resend: !c.applyDigest(d)}, nil
	}
	var reply digestReply
	err := c.callPeer(ctx, leader, "worker.digest", d, &reply)
	return reply, err
}

func (c *Client) digestFor(leader string) (digest, map[string]carawayshift.Worker) {
	table := map[string]carawayshift.Worker{}
	for _, w := range c.Workers() {
		w.Tasks, w.Clock = nil, 0
		table[w.Name] = w
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	base := c.sentTable
	if c.sentTo != leader {
		base = nil
	}
	d := digest{Zone: c.opts.Zone, Checksum: tableChecksum(table), Full: base == nil}
	for name, w := range table {
		if old, ok := base[name]; !ok || !equalInDigest(old, w) {
			d.Changed = append(d.Changed, w)
		}
	}
	for name := range base {
		if _, ok := table[name]; !ok {
			d.Removed = append(d.Removed, name)
		}
	}
	return d, table
}

func (c *Client) handleDigest(_ context.Context, _ string, body []byte) ([]byte, error) {
	var d digest
	if err := carawayshift.Decode(body, &d); err != nil {
		return nil, err
	}
	return carawayshift.Encode(digestReply{Resend: !c.applyDigest(d)})
}

// applyDigest applies the changes to the zone's table. It returns false if the result
// would differ from the sender's table; the old table is then kept until the sender
// sends its full table.
func (c *Client) applyDigest(d digest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	z := c.zones[d.Zone]
	workers := map[string]carawayshift.Worker{}
	if !d.Full {
		for name, w := range z.workers {
			workers[name] = w
		}
	}
	for _, w := range d.Changed {
		workers[w.Name] = w
	}
	for _, name := range d.Removed {
		delete(workers, name)
	}
	if tableChecksum(workers) != d.Checksum {
		return false
	}
	c.zones[d.Zone] = zoneTable{workers: workers, seen: time.Now()}
	if len(d.Changed)+len(d.Removed) > 0 || time.Since(z.seen) >= Expiry {
		c.notify()
	}
	return true
}

// equalInDigest compares the fields that digests contain.
func equalInDigest(a, b carawayshift.Worker) bool {
	a.Tasks, b.Tasks = nil, nil
	a.Clock, b.Clock = 0, 0
	a.Seen, b.Seen = time.Time{}, time.Time{}
	return reflect.DeepEqual(a, b)
}

func equalTasks(a, b carawayshift.Worker) bool { return reflect.DeepEqual(a.Tasks, b.Tasks) }

// tableChecksum returns the sum of the workers' checksums, which does not depend on
// their order.
func tableChecksum(workers map[string]carawayshift.Worker) uint64 {
	var sum uint64
	for _, w := range workers {
		b, err := carawayshift.Encode(w)
		if err != nil {
			continue
		}
		sum += xxhash.Sum64(b)
	}
	return sum
}
