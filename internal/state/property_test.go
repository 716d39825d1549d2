package state

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"carawayshift.example/carawayshift"
)

var (
	jobKinds = []carawayshift.CommandKind{
		carawayshift.PlaceJob, carawayshift.WithdrawJob, carawayshift.StartJob, carawayshift.StopJob, carawayshift.JobStopped,
		carawayshift.FinishJob, carawayshift.FailJob, carawayshift.ParkJob, carawayshift.SaveCheckpoint,
		carawayshift.CancelJob, carawayshift.HoldJob, carawayshift.ReleaseJob,
	}
	otherKinds = []carawayshift.CommandKind{
		carawayshift.CreateZone, carawayshift.CreateTeam, carawayshift.SetTeam, carawayshift.CreateJob,
		carawayshift.SetJob, carawayshift.DrainZone, carawayshift.ReturnZone, carawayshift.ReleaseWorker,
		carawayshift.QuarantineWorker, carawayshift.SetConfig, carawayshift.AddNote, "paint zone",
	}
)

// drawCommand draws from few names and ids, so that commands often address the same
// object.
func drawCommand(t *rapid.T, m *Machine) carawayshift.Command {
	kinds := slices.Concat(otherKinds, jobKinds, jobKinds, jobKinds)
	c := carawayshift.Command{
		Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
		ID:   fmt.Sprint("r", rapid.IntRange(0, 200).Draw(t, "id")),
		By:   rapid.SampledFrom([]string{"ines", "jules"}).Draw(t, "by"),
		Name: rapid.SampledFrom([]string{"objective", "w1", "w2"}).Draw(t, "name"),
		Zone: &carawayshift.Zone{Name: rapid.SampledFrom([]string{"belmont", "laventille"}).Draw(t, "zone"), Region: "north"},
		Team: &carawayshift.Team{Name: "carnival", Guarantee: []carawayshift.CellCount{{Count: rapid.IntRange(0, 3).Draw(t, "cells"), Size: 8}}},
		Job:  &carawayshift.Job{ID: 1, Name: "b", Team: "carnival", Tasks: 1, Accelerators: 4},
		Note: &carawayshift.Note{Object: rapid.SampledFrom([]string{"", "job 2"}).Draw(t, "on"), Text: "x"},
	}
	c.Value, c.Until, c.Workers = "packing", start.AddDate(1, 0, 0), twoWorkers()
	c.IfVersion = rapid.SampledFrom([]uint64{0, 0, 0, m.s.Version, 2}).Draw(t, "if")
	c.Change = drawChange(t, m, c.Kind)
	return c
}

func drawChange(t *rapid.T, m *Machine, kind carawayshift.CommandKind) *carawayshift.JobChange {
	id := rapid.Uint64Range(1, 4).Draw(t, "job")
	ch := &carawayshift.JobChange{ID: id, Zone: "belmont"}
	if _, operator := operatorKinds[kind]; operator {
		return ch
	}
	ch.Attempt = m.s.Jobs[id].Attempt + rapid.SampledFrom([]int{0, 0, 0, 1, 1, -1}).Draw(t, "attempt")
	for i := range m.s.Jobs[id].Tasks {
		w := rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker")
		ch.Placements = append(ch.Placements, carawayshift.TaskPlacement{Task: i, Worker: w, Accelerators: m.s.Jobs[id].Accelerators})
	}
	return ch
}

func encoded(t *rapid.T, m *Machine) []byte {
	var b bytes.Buffer
	if err := m.Snapshot(&b); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func checkStep(t *rapid.T, g *WithT, c carawayshift.Command, before carawayshift.State, seen map[string]bool, a carawayshift.Answer, after carawayshift.State) {
	_, operator := operatorKinds[c.Kind]
	rise := uint64(0)
	if operator && a.Kind == "" && !seen[c.ID] {
		rise = 1
	}
	g.Expect(after.Version).To(Equal(before.Version + rise))
	for id := range before.Jobs {
		g.Expect(after.Jobs).To(HaveKey(id))
	}
	want := before.Jobs[c.Change.ID].Attempt
	if c.Kind == carawayshift.PlaceJob {
		want++
	}
	unchanged := a.Kind != "" || seen[c.ID] && operator
	scheduled := !operator && c.Kind != carawayshift.QuarantineWorker
	if unchanged || scheduled && c.Change.Attempt != want {
		before.Index = after.Index
		g.Expect(after).To(Equal(before))
	}
	used := map[string]int{}
	for _, j := range after.Jobs {
		for _, p := range j.Placements {
			used[p.Worker] += p.Accelerators
			g.Expect(used[p.Worker]).To(BeNumerically("<=", 8))
		}
	}
}

// Guards, with random commands and duplicates, against a version that does not count
// the accepted operator commands, a job that disappears, a command for another
// attempt that changes something, overbooked accelerators, and a restored machine
// that encodes to different bytes or gives different answers.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		m, seen := newFilledMachine(), map[string]bool{}
		for range 3 {
			applyNext(m, carawayshift.Command{Kind: carawayshift.CreateJob, Job: &carawayshift.Job{Name: "c", Team: "carnival", Tasks: 1, Accelerators: 4}})
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			c := drawCommand(t, m)
			before := m.State()
			a := applyNext(m, c)
			checkStep(t, g, c, before, seen, a, m.State())
			seen[c.ID] = seen[c.ID] || a.Kind != carawayshift.Malformed && operatorKinds[c.Kind] != nil
		}
		copied := New(checkTotal)
		g.Expect(copied.Restore(bytes.NewReader(encoded(t, m)))).To(Succeed())
		g.Expect(encoded(t, copied)).To(Equal(encoded(t, m)))
		for range 20 {
			c := drawCommand(t, m)
			g.Expect(applyNext(copied, c)).To(Equal(applyNext(m, c)))
		}
		g.Expect(encoded(t, copied)).To(Equal(encoded(t, m)))
	})
}
