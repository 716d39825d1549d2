package dispatch

import (
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

// size is an amount of a runner's resources.
type size struct {
	cores, memory, accelerators int
}

func sizeOf(s carawayshift.Step) size {
	n := size{cores: s.MilliCores, memory: s.Memory, accelerators: s.Accelerators}
	if s.Filler {
		n.cores = 0
	}
	return n
}

func (a size) plus(b size) size {
	return size{a.cores + b.cores, a.memory + b.memory, a.accelerators + b.accelerators}
}

func (a size) minus(b size) size {
	return size{a.cores - b.cores, a.memory - b.memory, a.accelerators - b.accelerators}
}

func (a size) holds(b size) bool {
	return a.cores >= b.cores && a.memory >= b.memory && a.accelerators >= b.accelerators
}

// room is one runner's free resources in the course of a pass.
type room struct {
	agent carawayshift.Agent
	total size
	free  size
	// soon is what stopping runs will free.
	soon size
	// victims are the runs that may be preempted.
	victims []*victim
}

// victim is a run with its gang, which ends as a whole.
type victim struct {
	runs []carawayshift.Holding
	lost time.Duration
	// stopped says that this pass preempted it.
	stopped bool
}

func (r *room) suits(d *carawayshift.Demand) bool {
	return r.agent.Service == d.Queue.Service &&
		(d.Need.Label == "" || slices.Contains(r.agent.Labels, d.Need.Label))
}

func (r *room) near(d *carawayshift.Demand) bool {
	return d.Need.DataRack == "" || r.agent.Rack == d.Need.DataRack
}

// rack names a rack of a zone.
type rack struct{ zone, name string }

func (r *room) rack() rack { return rack{r.agent.Zone, r.agent.Rack} }
