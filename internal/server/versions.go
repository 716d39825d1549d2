package server

import (
	"context"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/operator"
	"carawayshift.example/carawayshift/internal/state"
	"carawayshift.example/carawayshift/internal/transport"
)

// versionTimeout bounds the question to each host for its version.
const versionTimeout = time.Second

// versions asks the deployment's hosts for the version that is in force.
type versions struct {
	opts    Options
	machine *state.Machine
	mesh    *transport.Mesh

	mu   sync.Mutex
	last map[string]seenVersion
}

type seenVersion struct {
	version uint64
	at      time.Time
}

// versionReply is a host's version in force.
type versionReply struct {
	Version uint64 `cbor:"1,keyasint"`
}

func newVersions(o Options, m *state.Machine, mesh *transport.Mesh) *versions {
	v := &versions{opts: o, machine: m, mesh: mesh, last: map[string]seenVersion{}}
	mesh.Handle("state.version", func(context.Context, string, []byte) ([]byte, error) {
		return carawayshift.Encode(versionReply{Version: m.Version()})
	})
	return v
}

// all returns every host's version, and for a host that does not answer the
// last version that it reported.
func (v *versions) all(ctx context.Context) []operator.HostVersion {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range v.opts.Settings.Peers {
		wg.Go(func() { v.ask(ctx, p.Name) })
	}
	wg.Wait()
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []operator.HostVersion
	for _, p := range v.opts.Settings.Peers {
		s := v.last[p.Name]
		list = append(list, operator.HostVersion{Name: p.Name, Version: s.version, Age: time.Since(s.at)})
	}
	return list
}

func (v *versions) ask(ctx context.Context, name string) {
	reply := versionReply{Version: v.machine.Version()}
	if name != v.opts.Settings.Host.Name {
		b, err := v.mesh.Call(ctx, name, "state.version", nil)
		if err != nil || carawayshift.Decode(b, &reply) != nil {
			return
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if reply.Version >= v.last[name].version {
		v.last[name] = seenVersion{reply.Version, time.Now()}
	}
}
