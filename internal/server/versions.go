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

// versionTimeout limits the requests for the hosts' versions.
const versionTimeout = time.Second

// versions queries the configuration versions that the hosts of the deployment
// have applied.
type versions struct {
	opts    Options
	machine *state.Machine
	mesh    *transport.Mesh

	mu   sync.Mutex
	last map[string]reportedVersion
}

type reportedVersion struct {
	version uint64
	at      time.Time
}

// versionReply contains the configuration version that a host has applied.
type versionReply struct {
	Version uint64 `cbor:"1,keyasint"`
}

func newVersions(o Options, m *state.Machine, mesh *transport.Mesh) *versions {
	v := &versions{opts: o, machine: m, mesh: mesh, last: map[string]reportedVersion{}}
	mesh.Handle("state.version", func(context.Context, string, []byte) ([]byte, error) {
		return carawayshift.Encode(versionReply{Version: m.Version()})
	})
	return v
}

// all returns the version of each host. For a host that does not respond it is
// the last version that the host reported.
func (v *versions) all(ctx context.Context) []operator.HostVersion {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range v.opts.Settings.Peers {
		wg.Go(func() { v.query(ctx, p.Name) })
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

func (v *versions) query(ctx context.Context, name string) {
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
		v.last[name] = reportedVersion{reply.Version, time.Now()}
	}
}
