package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

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

// announce sends an announcement to all entry hosts concurrently. A host that
// can't be reached learns of the runner from its peers or from the next
// announcement.
func (r *Runner) announce(ctx context.Context) {
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	body, err := json.Marshal(announcement{
		Name: r.cfg.Name, Incarnation: r.cfg.Incarnation, Zone: r.cfg.Zone, Service: r.cfg.Service,
		Address: r.cfg.Address, Slots: r.cfg.Slots, Connections: r.cfg.Connections,
		Leaving: leaving, Expiry: r.cfg.Expiry.Milliseconds(),
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Interval)
	defer cancel()
	var wg sync.WaitGroup
	for _, host := range r.cfg.Hosts {
		wg.Go(func() { r.post(ctx, host+"/v1/runners", body) })
	}
	wg.Wait()
}

func (r *Runner) post(ctx context.Context, url string, body []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	_ = resp.Body.Close()
}
