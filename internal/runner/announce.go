package runner

import (
	"encoding/json"
	"net/http"
	"time"

	"carawayshift.example/carawayshift"
)

const (
	maxAnnouncement = 16 << 10
	defaultExpiry   = 3 * time.Second
	// minExpiry is two announcement intervals, so that the loss of one
	// announcement doesn't remove a runner.
	minExpiry = 2 * time.Second
	maxExpiry = time.Minute
)

// announcement is the JSON body of POST /v1/runners. Expiry is in ms.
type announcement struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving"`
	Expiry      int64  `json:"expiry"`
}

// ServeHTTP handles one announcement and responds with status 204.
func (p *Pool) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodPost {
		refuse(w, http.StatusMethodNotAllowed, "announcements are sent with POST", "send POST /v1/runners")
		return
	}
	var a announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxAnnouncement)).Decode(&a); err != nil {
		refuse(w, http.StatusBadRequest, err.Error(), "send one JSON object of at most 16 KB")
		return
	}
	if text := a.check(p.cfg.Zone); text != "" {
		refuse(w, http.StatusBadRequest, text, "correct the runner's settings")
		return
	}
	p.Announce(a.runner())
	w.WriteHeader(http.StatusNoContent)
}

func refuse(w http.ResponseWriter, status int, text, remedy string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{
		"error": text, "kind": string(carawayshift.Malformed), "remedy": remedy,
	})
}

func (a announcement) check(zone string) string {
	switch {
	case a.Name == "" || a.Service == "" || a.Address == "":
		return "name, service and address must be given"
	case a.Zone != zone:
		return "this host serves zone " + zone + ", not " + a.Zone
	case a.Slots < 0 || a.Connections < 0 || a.Expiry < 0:
		return "slots, connections and expiry can't be negative"
	}
	return ""
}

func (a announcement) runner() carawayshift.Runner {
	expiry := time.Duration(a.Expiry) * time.Millisecond
	if expiry == 0 {
		expiry = defaultExpiry
	}
	return carawayshift.Runner{
		Name: a.Name, Incarnation: a.Incarnation, Zone: a.Zone, Service: a.Service,
		Address: a.Address, Slots: a.Slots, Connections: a.Connections, Leaving: a.Leaving,
		Expiry: min(max(expiry, minExpiry), maxExpiry),
	}
}

// Announce records an announcement that this host received now.
func (p *Pool) Announce(r carawayshift.Runner) {
	r.Seen = time.Now()
	p.mu.Lock()
	changed := p.merge(r, true)
	p.mu.Unlock()
	if changed {
		p.onChange()
		p.notifyPeers()
	}
}

// merge records r and reports whether the choice of runners is affected. A
// lower incarnation is a late announcement from before a restart and is
// ignored. Within one incarnation Leaving stays set, so that a delayed
// announcement or digest can't clear it. The caller holds the mutex.
func (p *Pool) merge(r carawayshift.Runner, direct bool) bool {
	e := p.table[r.Name]
	if e == nil {
		p.lastID++
		e = &entry{runner: r, id: p.lastID, revision: 1}
		e.recordAnnouncement(r.Seen, direct)
		p.table[r.Name] = e
		p.publish()
		return true
	}
	if r.Incarnation < e.runner.Incarnation {
		return false
	}
	if r.Incarnation == e.runner.Incarnation {
		r.Leaving = r.Leaving || e.runner.Leaving
		if r.Seen.Before(e.runner.Seen) {
			r.Seen = e.runner.Seen
		}
	}
	e.recordAnnouncement(r.Seen, direct)
	old := e.runner
	old.Seen = r.Seen
	changed := old != r
	e.runner = r
	if old.Address != r.Address {
		p.closeClient(old.Address)
	}
	if changed {
		e.revision++
	}
	p.publish()
	return changed
}

func (e *entry) recordAnnouncement(at time.Time, direct bool) {
	if direct {
		e.announcedHere, e.lastDirect = true, at
	}
}
