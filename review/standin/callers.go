package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	routeHost  = "nony24.example"
	routePath  = "/lohu930/"
	tenantKey  = "d4a3hwrr6x73d3zji9n7"
	service    = "huvo11a"
	maxRunTime = 118 * time.Second
)

// desiredState returns a desired state with one route. priority is that of the route.
func desiredState(version, priority int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-ce7ejsm", "host": routeHost, "path_prefix": routePath, "kind": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": 1200, "priority": priority, "service": service, "max_attempts": 3, "stretch": 3.0,
			"public": false, "allowed_regions": []any{},
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "cold_start_s": 0.0,
			"cold_per_s": 0.0, "admission_check": true, "standby": false,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "kaje80", "api_keys": []any{tenantKey}, "priority": 1, "guaranteed": map[string]any{"gpu": 0}, "allowed_regions": []any{}}},
	}
}

// call sends a request and returns the status, 0 without a response, and the body.
func (d *deployment) call(method, addr, host, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		req.Host = host
		req.Header.Set("Authorization", "Bearer "+tenantKey)
		req.Header.Set("Deadline-Remaining", "3000")
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		d.rec.printf("%s %s%s -> no answer: %v", method, addr, path, err)
		return 0, ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	d.rec.printf("%s %s%s (%s) -> %d %s", method, addr, path, short(body), resp.StatusCode, short(string(b)))
	return resp.StatusCode, string(b)
}

func short(s string) string {
	if len(s) > 160 {
		return s[:100] + " ... " + s[len(s)-55:]
	}
	return s
}

// replace sends a desired state as the operator does, until it is confirmed.
func (d *deployment) replace(state map[string]any) error {
	b, err := json.Marshal(state)
	if err != nil {
		return err
	}
	for i := range 60 {
		if status, _ := d.call("POST", d.control(i%3), "", "/config/replace", string(b)); status == 200 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%w: the desired state was not confirmed", errUnable)
}

// jobBody returns the body of a submission.
func jobBody(steps []map[string]any) string {
	b, _ := json.Marshal(map[string]any{"spec": "render the window", "steps": steps})
	return string(b)
}

// submit hands a job in until it is accepted. The same id is sent again after no response.
func (d *deployment) submit(id, body string) error {
	for i := range 20 {
		if status, _ := d.call("POST", d.entry(i%2), routeHost, routePath+id, body); status/100 == 2 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%w: the job was not accepted", errUnable)
}

// state returns the state of a job.
func (d *deployment) state(id string) string {
	for i := range 6 {
		status, body := d.call("GET", d.entry(i%2), routeHost, routePath+id, "")
		var s struct {
			State string `json:"state"`
		}
		if status == 200 && json.Unmarshal([]byte(body), &s) == nil {
			return s.State
		}
		if status == 410 {
			return "410"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "no answer"
}
