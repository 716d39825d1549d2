package batch

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"carawayshift.example/carawayshift"
)

// routes maps a host and path to a queue, and a key to a team.
type routes struct {
	// queues lists the queues of each host, longest prefix first.
	queues map[string][]carawayshift.Queue
	teams  map[string]string
}

func newRoutes(c carawayshift.Catalog) routes {
	r := routes{queues: map[string][]carawayshift.Queue{}, teams: map[string]string{}}
	for _, q := range c.Queues {
		host := strings.ToLower(q.Host)
		r.queues[host] = append(r.queues[host], q)
	}
	for _, list := range r.queues {
		slices.SortStableFunc(list, func(a, b carawayshift.Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, m := range c.Teams {
		for _, k := range m.Keys {
			if k != "" { // a request without a key has the empty one
				r.teams[k] = m.Team
			}
		}
	}
	return r
}

// Resolve returns the queue that matches an address, the part of the path after
// the queue's prefix, and the team of the key. Errors: Unavailable while no
// catalog is in force, NotFound for an unknown host or path, Unauthorized for an
// unknown key unless the queue is public.
func (t *Table) Resolve(a carawayshift.Address) (q carawayshift.Queue, rest, team string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.catalog.Number == 0 {
		return q, "", "", carawayshift.NewError(carawayshift.Unavailable, "no catalog is in force yet", "try again in a second")
	}
	host := strings.ToLower(a.Host)
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	list := t.routes.queues[host]
	i := slices.IndexFunc(list, func(q carawayshift.Queue) bool { return strings.HasPrefix(a.Path, q.Prefix) })
	if i < 0 {
		return q, "", "", carawayshift.NewError(carawayshift.NotFound, "no queue matches path "+a.Path+" on host "+host, "check the host and the path")
	}
	q = list[i]
	team, ok := t.routes.teams[a.Key]
	if !ok && !q.Public {
		return q, "", "", carawayshift.NewError(carawayshift.Unauthorized, "the key belongs to no team", "send a key of the team")
	}
	return q, a.Path[len(q.Prefix):], team, nil
}
