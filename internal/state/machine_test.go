package state

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

var start = time.Date(2026, 12, 4, 1, 0, 0, 0, time.UTC)

// fits refuses guarantees beyond the workers' accelerators.
func fits(v carawayshift.View) error {
	have, need := 0, 0
	for _, w := range v.Workers {
		have += w.Accelerators
	}
	for _, t := range v.Teams {
		need += t.Accelerators()
	}
	if need > have {
		return carawayshift.NewError(carawayshift.Refused, fmt.Sprintf("%d accelerators are short", need-have), "lower it")
	}
	return nil
}

func twoWorkers() []carawayshift.Worker {
	return []carawayshift.Worker{
		{Name: "w1", Zone: "belmont", Accelerators: 8},
		{Name: "w2", Zone: "belmont", Accelerators: 8},
	}
}

// do applies a command at the next index and a minute after the last one.
func do(m *Machine, c carawayshift.Command) carawayshift.Answer {
	index := m.s.Index + 1
	if c.At.IsZero() {
		c.At = start.Add(time.Duration(index) * time.Minute)
	}
	if _, ok := operatorKinds[c.Kind]; ok && c.ID == "" {
		c.ID = fmt.Sprintf("id-%d", index)
	}
	entry, err := carawayshift.Encode(c)
	if err != nil {
		panic(err)
	}
	var a carawayshift.Answer
	if err := carawayshift.Decode(m.Apply(index, entry), &a); err != nil {
		panic(err)
	}
	return a
}

// filled returns a machine with zone belmont, team carnival and the waiting
// job 1 of two tasks with 8 accelerators each, at version 3.
func filled() *Machine {
	m := New(fits)
	do(m, carawayshift.Command{Kind: carawayshift.CreateZone, Zone: &carawayshift.Zone{Name: "belmont", Region: "north"}})
	do(m, carawayshift.Command{
		Kind: carawayshift.CreateTeam, Workers: twoWorkers(),
		Team: &carawayshift.Team{Name: "carnival", Guarantee: []carawayshift.CellCount{{Count: 1, Size: 8}}},
	})
	do(m, carawayshift.Command{Kind: carawayshift.CreateJob, By: "ines", Job: &carawayshift.Job{
		Name: "mask", Team: "carnival", Tasks: 2, Accelerators: 8, Declared: time.Hour,
	}})
	return m
}

// restored returns a machine that was restored from the snapshot of m.
func restored(g *WithT, m *Machine) *Machine {
	var b bytes.Buffer
	g.Expect(m.Snapshot(&b)).To(Succeed())
	copied := New(fits)
	g.Expect(copied.Restore(&b)).To(Succeed())
	return copied
}

func change(kind carawayshift.CommandKind, ch carawayshift.JobChange) carawayshift.Command {
	ch.ID = 1
	return carawayshift.Command{Kind: kind, Change: &ch}
}

func place(attempt int) carawayshift.Command {
	c := change(carawayshift.PlaceJob, carawayshift.JobChange{Attempt: attempt, Zone: "belmont", Placements: []carawayshift.TaskPlacement{
		{Task: 0, Worker: "w1", Accelerators: 8}, {Task: 1, Worker: "w2", Accelerators: 8},
	}})
	c.Workers = twoWorkers()
	return c
}

func at(kind carawayshift.CommandKind, attempt int) carawayshift.Command {
	return change(kind, carawayshift.JobChange{Attempt: attempt})
}

func zoneCommand(kind carawayshift.CommandKind) carawayshift.Command {
	return carawayshift.Command{Kind: kind, Zone: &carawayshift.Zone{Name: "belmont"}, By: "ines", Reason: "switch swap"}
}

// Guards against a transition that the life of a gang job does not allow, and
// against one that it needs and the machine refuses. The last command of each
// row is the one under test.
func TestJobLife(t *testing.T) {
	const (
		waiting, placed, running    = carawayshift.JobWaiting, carawayshift.JobPlaced, carawayshift.JobRunning
		stop, cancelled, finished   = carawayshift.JobStopping, carawayshift.JobCancelled, carawayshift.JobFinished
		held, parked                = carawayshift.JobHeld, carawayshift.JobParked
		refusedKind, none           = carawayshift.Refused, carawayshift.Kind("")
		startKind, stoppedKind      = carawayshift.StartJob, carawayshift.JobStopped
		cancelKind, holdKind        = carawayshift.CancelJob, carawayshift.HoldJob
		releaseKind, drainKind      = carawayshift.ReleaseJob, carawayshift.DrainZone
		failKind, finishKind, stopK = carawayshift.FailJob, carawayshift.FinishJob, carawayshift.StopJob
	)
	tests := []struct {
		name string
		give []carawayshift.Command
		kind carawayshift.Kind
		want carawayshift.JobState
	}{
		{"place", []carawayshift.Command{place(1)}, none, placed},
		{"place with a skipped attempt", []carawayshift.Command{place(2)}, refusedKind, waiting},
		{"place twice", []carawayshift.Command{place(1), place(2)}, refusedKind, placed},
		{"place in a zone that is out", []carawayshift.Command{zoneCommand(drainKind), place(1)}, refusedKind, waiting},
		{"place in a zone that is back", []carawayshift.Command{zoneCommand(drainKind), zoneCommand(carawayshift.ReturnZone), place(1)}, none, placed},
		{"place a held job", []carawayshift.Command{at(holdKind, 0), place(1)}, refusedKind, held},
		{"start", []carawayshift.Command{place(1), at(startKind, 1)}, none, running},
		{"start before place", []carawayshift.Command{at(startKind, 0)}, refusedKind, waiting},
		{"start after drain", []carawayshift.Command{place(1), zoneCommand(drainKind), at(startKind, 1)}, refusedKind, placed},
		{"start after cancel", []carawayshift.Command{place(1), at(cancelKind, 0), at(startKind, 1)}, refusedKind, stop},
		{"start of an old attempt", []carawayshift.Command{place(1), at(stoppedKind, 1), place(2), at(startKind, 1)}, refusedKind, placed},
		{"cancel waiting", []carawayshift.Command{at(cancelKind, 0)}, none, cancelled},
		{"cancel running", []carawayshift.Command{place(1), at(startKind, 1), at(cancelKind, 0)}, none, stop},
		{"cancel twice", []carawayshift.Command{place(1), at(cancelKind, 0), at(cancelKind, 0)}, refusedKind, stop},
		{"cancelled job stopped", []carawayshift.Command{place(1), at(cancelKind, 0), at(stoppedKind, 1)}, none, cancelled},
		{"cancel finished", []carawayshift.Command{place(1), at(startKind, 1), at(finishKind, 1), at(cancelKind, 0)}, refusedKind, finished},
		{"hold placed and stop", []carawayshift.Command{place(1), at(holdKind, 0), at(stoppedKind, 1)}, none, held},
		{"release", []carawayshift.Command{at(holdKind, 0), at(releaseKind, 0)}, none, waiting},
		{"release waiting", []carawayshift.Command{at(releaseKind, 0)}, refusedKind, waiting},
		{"stop running", []carawayshift.Command{place(1), at(startKind, 1), at(stopK, 1)}, none, stop},
		{"stop with an old attempt", []carawayshift.Command{place(1), at(stopK, 0)}, refusedKind, placed},
		{"stopped goes back to waiting", []carawayshift.Command{place(1), at(startKind, 1), at(stopK, 1), at(stoppedKind, 1)}, none, waiting},
		{"withdraw", []carawayshift.Command{place(1), at(carawayshift.WithdrawJob, 1)}, none, waiting},
		{"withdraw running", []carawayshift.Command{place(1), at(startKind, 1), at(carawayshift.WithdrawJob, 1)}, refusedKind, running},
		{"withdraw after cancel", []carawayshift.Command{place(1), at(cancelKind, 0), at(carawayshift.WithdrawJob, 1)}, refusedKind, stop},
		{"start after withdraw", []carawayshift.Command{place(1), at(carawayshift.WithdrawJob, 1), at(startKind, 1)}, refusedKind, waiting},
		{"finish while stopping", []carawayshift.Command{place(1), at(startKind, 1), at(stopK, 1), at(finishKind, 1)}, none, finished},
		{"finish a placed job", []carawayshift.Command{place(1), at(finishKind, 1)}, refusedKind, placed},
		{"fail", []carawayshift.Command{place(1), at(failKind, 1)}, none, waiting},
		{"park", []carawayshift.Command{at(carawayshift.ParkJob, 0)}, none, parked},
		{"set parked", []carawayshift.Command{at(carawayshift.ParkJob, 0), {Kind: carawayshift.SetJob, Job: &carawayshift.Job{ID: 1, Tasks: 1}}}, none, waiting},
		{"resize running", []carawayshift.Command{place(1), {Kind: carawayshift.SetJob, Job: &carawayshift.Job{ID: 1, Tasks: 1}}}, refusedKind, placed},
		{"release parked", []carawayshift.Command{at(carawayshift.ParkJob, 0), at(releaseKind, 0)}, none, waiting},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			m := filled()
			var a carawayshift.Answer
			for _, c := range tt.give {
				a = do(m, c)
			}
			g.Expect(a.Kind).To(Equal(tt.kind), a.Error)
			g.Expect(m.State().Jobs[1].State).To(Equal(tt.want))
		})
	}
}

// Guards against two gangs on the same accelerators, and against use that is
// not given back at the end of a job or not known after a restore.
func TestPlaceRespectsOccupiedAccelerators(t *testing.T) {
	g := NewWithT(t)
	m := filled()
	do(m, carawayshift.Command{Kind: carawayshift.CreateJob, Job: &carawayshift.Job{Name: "b", Team: "carnival", Tasks: 1, Accelerators: 1}})
	second := change(carawayshift.PlaceJob, carawayshift.JobChange{})
	second.Change = &carawayshift.JobChange{ID: 2, Attempt: 1, Zone: "belmont", Placements: []carawayshift.TaskPlacement{{Worker: "w2", Accelerators: 1}}}
	second.Workers = twoWorkers()
	g.Expect(do(m, place(1)).Kind).To(BeEmpty())
	g.Expect(do(m, second).Kind).To(Equal(carawayshift.Refused))
	m = restored(g, m)
	g.Expect(do(m, second).Kind).To(Equal(carawayshift.Refused))
	do(m, at(carawayshift.JobStopped, 1))
	g.Expect(do(m, second).Kind).To(BeEmpty())
}

// Guards against a job that fails for ever, and a team's ratio that ignores
// the time before a checkpoint, also after a restore.
func TestFailuresParkAndRatioMoves(t *testing.T) {
	g := NewWithT(t)
	m := filled()
	for i := 1; i <= carawayshift.MaxFailures; i++ {
		g.Expect(m.State().Jobs[1].State).To(Equal(carawayshift.JobWaiting))
		do(m, place(i))
		do(m, change(carawayshift.FailJob, carawayshift.JobChange{Attempt: i, Worker: "w2", Reason: "exit 9"}))
	}
	j := m.State().Jobs[1]
	g.Expect(j.State).To(Equal(carawayshift.JobParked))
	g.Expect(j.FailedOn).To(HaveLen(carawayshift.MaxFailures))
	do(m, at(carawayshift.ReleaseJob, 0))
	do(m, place(6))
	do(m, change(carawayshift.JobStopped, carawayshift.JobChange{Attempt: 6, Checkpoint: time.Hour}))
	do(m, place(7))
	do(m, at(carawayshift.StartJob, 7))
	m = restored(g, m)
	finish := at(carawayshift.FinishJob, 7)
	finish.At = m.State().Jobs[1].Started.Add(time.Hour)
	do(m, finish)
	g.Expect(m.State().Teams["carnival"].RunTimeRatio).To(Equal(2.0))
}

// Guards against a job that is parked because tasks ended with an error when
// they were stopped for other work.
func TestFailureWhileStoppingIsNotCounted(t *testing.T) {
	g := NewWithT(t)
	m := filled()
	do(m, place(1))
	do(m, at(carawayshift.StartJob, 1))
	do(m, change(carawayshift.StopJob, carawayshift.JobChange{Attempt: 1, Reason: "reclaimed"}))
	do(m, change(carawayshift.FailJob, carawayshift.JobChange{Attempt: 1, Worker: "w1"}))
	j := m.State().Jobs[1]
	g.Expect(j.State).To(Equal(carawayshift.JobWaiting))
	g.Expect(j.Reason).To(Equal("reclaimed"))
	g.Expect(j.Failures).To(BeZero())
	g.Expect(j.FailedOn).To(BeEmpty())
}

// Guards against an operator command that is applied twice after a lost
// answer, and against an id that is reused.
func TestResentCommand(t *testing.T) {
	g := NewWithT(t)
	m := filled()
	c := zoneCommand(carawayshift.DrainZone)
	c.ID, c.At = "d1", start
	first := do(m, c)
	c.At = start.Add(time.Hour)
	g.Expect(do(m, c)).To(Equal(first))
	g.Expect(m.State().Zones["belmont"].Changed).To(Equal(start))
	c.Reason = "another reason"
	a := do(m, c)
	g.Expect(a.Kind).To(Equal(carawayshift.Conflict))
	g.Expect(a.Version).To(Equal(first.Version))
}

// Guards against two operators who both win the same version.
func TestVersionRace(t *testing.T) {
	g := NewWithT(t)
	m := filled()
	c := zoneCommand(carawayshift.DrainZone)
	c.IfVersion = 3
	g.Expect(do(m, c).Version).To(Equal(uint64(4)))
	c = at(carawayshift.CancelJob, 0)
	c.IfVersion, c.By = 3, "jules"
	a := do(m, c)
	g.Expect(a.Kind).To(Equal(carawayshift.Conflict))
	g.Expect(a.Winner).To(Equal("ines"))
	g.Expect(a.Version).To(Equal(uint64(4)))
	g.Expect(m.State().Jobs[1].State).To(Equal(carawayshift.JobWaiting))
}

// Guards against input that changes the state though it is refused.
func TestRefusedInputChangesNothing(t *testing.T) {
	tests := []struct {
		name string
		give carawayshift.Command
		want carawayshift.Kind
	}{
		{"unknown kind", carawayshift.Command{Kind: "paint zone"}, carawayshift.Malformed},
		{"no zone", carawayshift.Command{Kind: carawayshift.DrainZone}, carawayshift.Malformed},
		{"unknown zone", carawayshift.Command{Kind: carawayshift.DrainZone, Zone: &carawayshift.Zone{Name: "x"}}, carawayshift.NotFound},
		{"guarantee that is short", carawayshift.Command{Kind: carawayshift.SetTeam, Team: &carawayshift.Team{Name: "carnival", Guarantee: []carawayshift.CellCount{{Count: 3, Size: 8}}}, Workers: twoWorkers()}, carawayshift.Refused},
		{"cell that is no power of two", carawayshift.Command{Kind: carawayshift.SetTeam, Team: &carawayshift.Team{Name: "carnival", Guarantee: []carawayshift.CellCount{{Count: 1, Size: 3}}}}, carawayshift.Malformed},
		{"job without team", carawayshift.Command{Kind: carawayshift.CreateJob, Job: &carawayshift.Job{Name: "a", Team: "b", Tasks: 1, Accelerators: 1}}, carawayshift.NotFound},
		{"job without tasks", carawayshift.Command{Kind: carawayshift.CreateJob, Job: &carawayshift.Job{Name: "a", Team: "carnival", Accelerators: 1}}, carawayshift.Malformed},
		{"quarantine without an end", carawayshift.Command{Kind: carawayshift.QuarantineWorker, Name: "rack1/w1"}, carawayshift.Malformed},
		{"objective", carawayshift.Command{Kind: carawayshift.SetConfig, Name: "objective", Value: "fast"}, carawayshift.Refused},
		{"note on nothing", carawayshift.Command{Kind: carawayshift.AddNote, Note: &carawayshift.Note{Object: "job 9", Text: "x"}}, carawayshift.NotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			m := filled()
			before := m.State()
			g.Expect(do(m, tt.give).Kind).To(Equal(tt.want))
			before.Index++
			g.Expect(m.State()).To(Equal(before))
		})
	}
}

// Guards against an entry that can be read but makes every later snapshot
// fail, and against input that stops the machine.
func TestDamagedEntries(t *testing.T) {
	tests := []struct {
		name string
		give any
	}{
		{"empty", nil},
		{"no map", 7},
		{"year above 9999", map[int]any{2: "quarantine worker", 5: start.Format(time.RFC3339), 12: "w1", 14: int64(1) << 40}},
		{"job that is no map", map[int]any{1: "x", 2: "create job", 5: start.Format(time.RFC3339), 9: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			m := filled()
			entry, err := carawayshift.Encode(tt.give)
			g.Expect(err).NotTo(HaveOccurred())
			var a carawayshift.Answer
			g.Expect(carawayshift.Decode(m.Apply(4, entry), &a)).To(Succeed())
			g.Expect(a.Kind).To(Equal(carawayshift.Malformed))
			g.Expect(restored(g, m).State()).To(Equal(m.State()))
		})
	}
}

// Guards against the output of a failed task that fills the state.
func TestLongReasonIsClipped(t *testing.T) {
	g := NewWithT(t)
	m := filled()
	do(m, place(1))
	do(m, change(carawayshift.FailJob, carawayshift.JobChange{Attempt: 1, Reason: strings.Repeat("é", 2*maxValue)}))
	g.Expect(m.State().Jobs[1].Reason).To(Equal(strings.Repeat("é", maxValue/2)))
}

// Guards against a reader's copy that changes under it, and a read that
// returns before its index is applied.
func TestStateAndWait(t *testing.T) {
	g := NewWithT(t)
	m := filled()
	s := m.State()
	do(m, place(1))
	do(m, zoneCommand(carawayshift.DrainZone))
	g.Expect(s.Jobs[1].State).To(Equal(carawayshift.JobWaiting))
	g.Expect(s.Zones["belmont"].Drained).To(BeFalse())
	ctx, cancel := context.WithCancel(context.Background())
	g.Expect(m.Wait(ctx, m.State().Index)).To(Succeed())
	cancel()
	g.Expect(m.Wait(ctx, m.State().Index+1)).To(MatchError(context.Canceled))
}

// Guards against memory and snapshots that grow without bound.
func TestBounds(t *testing.T) {
	g := NewWithT(t)
	m := filled()
	create := carawayshift.Command{Kind: carawayshift.CreateJob, Job: &carawayshift.Job{Name: "b", Team: "carnival", Tasks: 1, Accelerators: 1}}
	for range maxEnded + 1 {
		a := do(m, create)
		cancel := change(carawayshift.CancelJob, carawayshift.JobChange{})
		cancel.Change.ID = a.Job
		do(m, cancel)
	}
	s := m.State()
	g.Expect(s.Jobs).To(HaveLen(maxEnded + 1)) // and job 1, which waits
	g.Expect(s.Jobs).NotTo(HaveKey(uint64(2)))
	g.Expect(m.answers.ids).To(HaveLen(maxAnswers))
	g.Expect(m.answers.byID).To(HaveLen(maxAnswers))
	g.Expect(restored(g, m).State()).To(Equal(s))
}

// BenchmarkSnapshot measures a snapshot of 12,300 jobs with 4,096 answers.
func BenchmarkSnapshot(b *testing.B) {
	m := filled()
	for id := uint64(2); id < 12300; id++ {
		m.put(carawayshift.Job{ID: id, Name: "mask-render", Team: "carnival", Tasks: 1, State: carawayshift.JobRunning, Placements: place(1).Change.Placements})
	}
	for range maxAnswers {
		do(m, carawayshift.Command{Kind: carawayshift.SetConfig, Name: "a", Value: "b"})
	}
	var out bytes.Buffer
	for b.Loop() {
		out.Reset()
		if err := m.Snapshot(&out); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(out.Len()), "bytes")
}

// BenchmarkPlaceAfterRead measures the clone of the job table that the first
// change after a read pays for, at 9,300 running tasks and 10,000 ended jobs.
func BenchmarkPlaceAfterRead(b *testing.B) {
	m := filled()
	for id := uint64(2); id < 12300; id++ {
		m.put(carawayshift.Job{ID: id, Team: "carnival", Tasks: 4, State: carawayshift.JobRunning})
	}
	for b.Loop() {
		m.State()
		m.put(m.s.Jobs[2])
	}
}
