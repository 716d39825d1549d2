package buddy

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"carawayshift.example/carawayshift"
)

func newWorkers(zones, racks, perRack int) ([]carawayshift.Zone, []carawayshift.Worker) {
	var zs []carawayshift.Zone
	var ws []carawayshift.Worker
	for z := range zones {
		zs = append(zs, carawayshift.Zone{Name: fmt.Sprintf("z%d", z)})
		for i := range racks * perRack {
			ws = append(ws, carawayshift.Worker{
				Name: fmt.Sprintf("z%d-w%03d", z, i), Zone: zs[z].Name, Rack: fmt.Sprintf("r%d", i/perRack),
				Cores: 32, Memory: 6400, Accelerators: 8,
			})
		}
	}
	return zs, ws
}

// canPack tries every way to pack the cells, largest first, into the free units
// of the workers. It is the reference for the condition that Fits evaluates.
func canPack(f *Forest, room []int, sizes []int) bool {
	if len(sizes) == 0 {
		return true
	}
	size, rest := sizes[0], sizes[1:]
	if size <= WorkerSize {
		return canPackInWorker(f, room, size, rest)
	}
	for r := range f.racks {
		var taken []int
		for _, w := range f.racks[r].workers {
			if room[w] == WorkerSize && len(taken) < size/WorkerSize {
				taken = append(taken, w)
				room[w] = 0
			}
		}
		ok := len(taken) == size/WorkerSize && canPack(f, room, rest)
		for _, w := range taken {
			room[w] = WorkerSize
		}
		if ok {
			return true
		}
	}
	return false
}

func canPackInWorker(f *Forest, room []int, size int, rest []int) bool {
	tried := map[int]bool{}
	for w := range room {
		if room[w] < size || tried[room[w]] {
			continue
		}
		tried[room[w]] = room[w] < WorkerSize
		room[w] -= size
		ok := canPack(f, room, rest)
		room[w] += size
		if ok {
			return true
		}
	}
	return false
}

// Guards against a Fits that accepts guarantees that can't be packed, or refuses
// ones that can.
func TestFitsAgreesWithSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zs, ws := newWorkers(2, 1, 3)
		for i := range ws {
			ws[i].Quarantined = rapid.IntRange(0, 9).Draw(t, "quarantined") == 0
		}
		f := New(zs, ws)
		room := make([]int, len(ws))
		for w := range ws {
			f.Occupy(w, rapid.IntRange(0, 8).Draw(t, "used")*rapid.IntRange(0, 1).Draw(t, "busy"))
			room[w] = f.FreeUnits(w)
		}
		var need [Levels]int
		var sizes []int
		for l := 4; l >= 0; l-- {
			need[l] = rapid.IntRange(0, 2).Draw(t, "cells")
			for range need[l] {
				sizes = append(sizes, 1<<l)
			}
		}
		if got, want := f.Fits(&need), canPack(f, room, sizes); got != want {
			t.Fatalf("Fits(%v) = %v, exhaustive search returned %v, free units %v", need, got, want, room)
		}
	})
}

// Guards against cell counts that differ, after any sequence of changes, from
// those of a new forest with the same occupants.
func TestCountsMatchOccupants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zs, ws := newWorkers(2, 2, 9)
		f := New(zs, ws)
		used := make([]int, len(ws))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			w := rapid.IntRange(0, len(ws)-1).Draw(t, "worker")
			n := rapid.SampledFrom([]int{-8, -4, -1, 1, 2, 4, 8}).Draw(t, "units")
			n = max(n, -used[w])
			used[w] += n
			f.Occupy(w, n)
		}
		recounted := New(zs, ws)
		for w, n := range used {
			recounted.Occupy(w, n)
		}
		for z := range zs {
			for l := range Levels {
				if f.FreeCells(z, l) != recounted.FreeCells(z, l) {
					t.Fatalf("zone %d level %d: %d cells counted, want %d", z, l, f.FreeCells(z, l), recounted.FreeCells(z, l))
				}
			}
		}
	})
}

// Guards against a gang that gets fewer workers than it has tasks, a worker that
// gets more tasks than it has units for, and a gang that spans zones.
func TestFindPlacesWholeGangs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zs, ws := newWorkers(2, 3, 8)
		f := New(zs, ws)
		for w := range ws {
			f.Occupy(w, rapid.SampledFrom([]int{0, 0, 0, 1, 2, 4, 5, 8}).Draw(t, "used"))
		}
		units := rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "units")
		tasks := rapid.IntRange(1, 20).Draw(t, "tasks")
		for _, find := range []func(int, int, int, Avoid) ([]int, bool){f.Find, f.FindScattered} {
			got, ok := find(1, tasks, units, nil)
			if !ok {
				continue
			}
			if len(got) != tasks {
				t.Fatalf("%d workers assigned to %d tasks", len(got), tasks)
			}
			on := map[int]int{}
			for _, w := range got {
				on[w] += units
				if on[w] > f.FreeUnits(w) || f.Zone(w) != 1 {
					t.Fatalf("worker %d: %d units in zone %d, room %d", w, on[w], f.Zone(w), f.FreeUnits(w))
				}
			}
		}
	})
}

// Guards against accepting tasks that fit by accelerators but not by cores or
// memory, and against counting cells of workers that take no work.
func TestUnitsAndCapacity(t *testing.T) {
	tests := []struct {
		name string
		give carawayshift.Job
		want int
	}{
		{"accelerators", carawayshift.Job{Accelerators: 2}, 2},
		{"rounded up", carawayshift.Job{Accelerators: 3}, 4},
		{"cores", carawayshift.Job{Accelerators: 1, Cores: 16}, 4},
		{"memory", carawayshift.Job{Accelerators: 1, Memory: 801}, 2},
		{"no accelerators", carawayshift.Job{Cores: 1}, 1},
		{"too many accelerators", carawayshift.Job{Accelerators: 9}, 0},
		{"too many cores", carawayshift.Job{Accelerators: 1, Cores: 33}, 0},
	}
	zs, ws := newWorkers(1, 1, 4)
	ws[1].Quarantined, ws[2].Leaving = true, true
	f := New(zs, ws)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			NewWithT(t).Expect(f.Units(0, &tt.give)).To(Equal(tt.want))
		})
	}
	g := NewWithT(t)
	g.Expect(f.TotalFreeCells(3)).To(Equal(2), "quarantined and leaving workers have no cells")
	zs[0].Drained = true
	g.Expect(New(zs, ws).TotalFreeCells(0)).To(BeZero(), "a drained zone has no cells")
}

// Guards against a list of missing cells with sizes that were not requested.
func TestMissing(t *testing.T) {
	zs, ws := newWorkers(2, 1, 8)
	tests := []struct {
		name string
		give []carawayshift.CellCount
		want []carawayshift.CellCount
	}{
		{"fits", []carawayshift.CellCount{{Count: 2, Size: 64}}, nil},
		{"one rack short", []carawayshift.CellCount{{Count: 3, Size: 64}}, []carawayshift.CellCount{{Count: 1, Size: 64}}},
		{"larger than a zone", []carawayshift.CellCount{{Count: 1, Size: 128}}, []carawayshift.CellCount{{Count: 1, Size: 128}}},
		{"small ones on top", []carawayshift.CellCount{{Count: 2, Size: 64}, {Count: 3, Size: 2}}, []carawayshift.CellCount{{Count: 3, Size: 2}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			NewWithT(t).Expect(New(zs, ws).Missing(tt.give)).To(Equal(tt.want))
		})
	}
}
