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

// checkTotal refuses guarantees that need more accelerators than the workers have.
func checkTotal(v carawayshift.View) error {
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

// applyNext applies a command at the next index, by default a minute after the last
// one.
func applyNext(m *Machine, c carawayshift.Command) carawayshift.Answer {
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

// newFilledMachine returns a machine at version 3 with zone belmont, team carnival
// and job 1, which is waiting and has two tasks with 8 accelerators each.
func newFilledMachine() *Machine {
	m := New(checkTotal)
	applyNext(m, carawayshift.Command{Kind: carawayshift.CreateZone, Zone: &carawayshift.Zone{Name: "belmont", Region: "north"}})
	applyNext(m, carawayshift.Command{
		Kind: carawayshift.CreateTeam, Workers: twoWorkers(),
		Team: &carawayshift.Team{Name: "carnival", Guarantee: []carawayshift.CellCount{{Count: 1, Size: 8}}},
	})
	applyNext(m, carawayshift.Command{Kind: carawayshift.CreateJob, By: "ines", Job: &carawayshift.Job{
		Name: "mask", Team: "carnival", Tasks: 2, Accelerators: 8, Declared: time.Hour,
	}})
	return m
}

// restored returns a machine that was restored from a snapshot of m.
func restored(g *WithT, m *Machine) *Machine {
	var b bytes.Buffer
	g.Expect(m.Snapshot(&b)).To(Succeed())
	copied := New(checkTotal)
	g.Expect(copied.Restore(&b)).To(Succeed())
	return copied
}

func jobCommand(kind carawayshift.CommandKind, ch carawayshift.JobChange) carawayshift.Command {
	ch.ID = 1
	return carawayshift.Command{Kind: kind, Change: &ch}
}

func placeCommand(attempt int) carawayshift.Command {
	c := jobCommand(carawayshift.PlaceJob, carawayshift.JobChange{Attempt: attempt, Zone: "belmont", Placements: []carawayshift.TaskPlacement{
		{Task: 0, Worker: "w1", Accelerators: 8}, {Task: 1, Worker: "w2", Accelerators: 8},
	}})
	c.Workers = twoWorkers()
	return c
}

func attemptCommand(kind carawayshift.CommandKind, attempt int) carawayshift.Command {
	return jobCommand(kind, carawayshift.JobChange{Attempt: attempt})
}

func zoneCommand(kind carawayshift.CommandKind) carawayshift.Command {
	return carawayshift.Command{Kind: kind, Zone: &carawayshift.Zone{Name: "belmont"}, By: "ines", Reason: "switch swap"}
}

// Guards against accepted invalid transitions and refused valid transitions between
// the states of a job. The last command of each row is the one under test.
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
		{"place", []carawayshift.Command{placeCommand(1)}, none, placed},
		{"place with a skipped attempt", []carawayshift.Command{placeCommand(2)}, refusedKind, waiting},
		{"place twice", []carawayshift.Command{placeCommand(1), placeCommand(2)}, refusedKind, placed},
		{"place in a drained zone", []carawayshift.Command{zoneCommand(drainKind), placeCommand(1)}, refusedKind, waiting},
		{"place in a returned zone", []carawayshift.Command{zoneCommand(drainKind), zoneCommand(carawayshift.ReturnZone), placeCommand(1)}, none, placed},
		{"place a held job", []carawayshift.Command{attemptCommand(holdKind, 0), placeCommand(1)}, refusedKind, held},
		{"start", []carawayshift.Command{placeCommand(1), attemptCommand(startKind, 1)}, none, running},
		{"start before place", []carawayshift.Command{attemptCommand(startKind, 0)}, refusedKind, waiting},
		{"start after drain", []carawayshift.Command{placeCommand(1), zoneCommand(drainKind), attemptCommand(startKind, 1)}, refusedKind, placed},
		{"start after cancel", []carawayshift.Command{placeCommand(1), attemptCommand(cancelKind, 0), attemptCommand(startKind, 1)}, refusedKind, stop},
		{"start of an old attempt", []carawayshift.Command{placeCommand(1), attemptCommand(stoppedKind, 1), placeCommand(2), attemptCommand(startKind, 1)}, refusedKind, placed},
		{"cancel waiting", []carawayshift.Command{attemptCommand(cancelKind, 0)}, none, cancelled},
		{"cancel running", []carawayshift.Command{placeCommand(1), attemptCommand(startKind, 1), attemptCommand(cancelKind, 0)}, none, stop},
		{"cancel twice", []carawayshift.Command{placeCommand(1), attemptCommand(cancelKind, 0), attemptCommand(cancelKind, 0)}, refusedKind, stop},
		{"cancelled job stopped", []carawayshift.Command{placeCommand(1), attemptCommand(cancelKind, 0), attemptCommand(stoppedKind, 1)}, none, cancelled},
		{"cancel finished", []carawayshift.Command{placeCommand(1), attemptCommand(startKind, 1), attemptCommand(finishKind, 1), attemptCommand(cancelKind, 0)}, refusedKind, finished},
		{"hold placed and stop", []carawayshift.Command{placeCommand(1), attemptCommand(holdKind, 0), attemptCommand(stoppedKind, 1)}, none, held},
		{"release", []carawayshift.Command{attemptCommand(holdKind, 0), attemptCommand(releaseKind, 0)}, none, waiting},
		{"release waiting", []carawayshift.Command{attemptCommand(releaseKind, 0)}, refusedKind, waiting},
		{"stop running", []carawayshift.Command{placeCommand(1), attemptCommand(startKind, 1), attemptCommand(stopK, 1)}, none, stop},
		{"stop with an old attempt", []carawayshift.Command{placeCommand(1), attemptCommand(stopK, 0)}, refusedKind, placed},
		{"stopped goes back to waiting", []carawayshift.Command{placeCommand(1), attemptCommand(startKind, 1), attemptCommand(stopK, 1), attemptCommand(stoppedKind, 1)}, none, waiting},
		{"withdraw", []carawayshift.Command{placeCommand(1), attemptCommand(carawayshift.WithdrawJob, 1)}, none, waiting},
		{"withdraw running", []carawayshift.Command{placeCommand(1), attemptCommand(startKind, 1), attemptCommand(carawayshift.WithdrawJob, 1)}, refusedKind, running},
		{"withdraw after cancel", []carawayshift.Command{placeCommand(1), attemptCommand(cancelKind, 0), attemptCommand(carawayshift.WithdrawJob, 1)}, refusedKind, stop},
		{"start after withdraw", []carawayshift.Command{placeCommand(1), attemptCommand(carawayshift.WithdrawJob, 1), attemptCommand(startKind, 1)}, refusedKind, waiting},
		{"finish while stopping", []carawayshift.Command{placeCommand(1), attemptCommand(startKind, 1), attemptCommand(stopK, 1), attemptCommand(finishKind, 1)}, none, finished},
		{"finish a placed job", []carawayshift.Command{placeCommand(1), attemptCommand(finishKind, 1)}, refusedKind, placed},
		{"fail", []carawayshift.Command{placeCommand(1), attemptCommand(failKind, 1)}, none, waiting},
		{"park", []carawayshift.Command{attemptCommand(carawayshift.ParkJob, 0)}, none, parked},
		{"set parked", []carawayshift.Command{attemptCommand(carawayshift.ParkJob, 0), {Kind: carawayshift.SetJob, Job: &carawayshift.Job{ID: 1, Tasks: 1}}}, none, waiting},
		{"resize running", []carawayshift.Command{placeCommand(1), {Kind: carawayshift.SetJob, Job: &carawayshift.Job{ID: 1, Tasks: 1}}}, refusedKind, placed},
		{"release parked", []carawayshift.Command{attemptCommand(carawayshift.ParkJob, 0), attemptCommand(releaseKind, 0)}, none, waiting},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			m := newFilledMachine()
			var a carawayshift.Answer
			for _, c := range tt.give {
				a = applyNext(m, c)
			}
			g.Expect(a.Kind).To(Equal(tt.kind), a.Error)
			g.Expect(m.State().Jobs[1].State).To(Equal(tt.want))
		})
	}
}

// Guards against two gangs on the same accelerators, and against usage that
// remains after the end of a job or is lost by a restore.
func TestPlaceRespectsOccupiedAccelerators(t *testing.T) {
	g := NewWithT(t)
	m := newFilledMachine()
	applyNext(m, carawayshift.Command{Kind: carawayshift.CreateJob, Job: &carawayshift.Job{Name: "b", Team: "carnival", Tasks: 1, Accelerators: 1}})
	second := jobCommand(carawayshift.PlaceJob, carawayshift.JobChange{})
	second.Change = &carawayshift.JobChange{ID: 2, Attempt: 1, Zone: "belmont", Placements: []carawayshift.TaskPlacement{{Worker: "w2", Accelerators: 1}}}
	second.Workers = twoWorkers()
	g.Expect(applyNext(m, placeCommand(1)).Kind).To(BeEmpty())
	g.Expect(applyNext(m, second).Kind).To(Equal(carawayshift.Refused))
	m = restored(g, m)
	g.Expect(applyNext(m, second).Kind).To(Equal(carawayshift.Refused))
	applyNext(m, attemptCommand(carawayshift.JobStopped, 1))
	g.Expect(applyNext(m, second).Kind).To(BeEmpty())
}

// Guards against a job that is retried forever, and against a team's run time ratio
// that ignores the run time before the checkpoint, also after a restore.
func TestFailuresParkAndRatioMoves(t *testing.T) {
	g := NewWithT(t)
	m := newFilledMachine()
	for i := 1; i <= carawayshift.MaxFailures; i++ {
		g.Expect(m.State().Jobs[1].State).To(Equal(carawayshift.JobWaiting))
		applyNext(m, placeCommand(i))
		applyNext(m, jobCommand(carawayshift.FailJob, carawayshift.JobChange{Attempt: i, Worker: "w2", Reason: "exit 9"}))
	}
	j := m.State().Jobs[1]
	g.Expect(j.State).To(Equal(carawayshift.JobParked))
	g.Expect(j.FailedOn).To(HaveLen(carawayshift.MaxFailures))
	applyNext(m, attemptCommand(carawayshift.ReleaseJob, 0))
	applyNext(m, placeCommand(6))
	applyNext(m, jobCommand(carawayshift.JobStopped, carawayshift.JobChange{Attempt: 6, Checkpoint: time.Hour}))
	applyNext(m, placeCommand(7))
	applyNext(m, attemptCommand(carawayshift.StartJob, 7))
	m = restored(g, m)
	finish := attemptCommand(carawayshift.FinishJob, 7)
	finish.At = m.State().Jobs[1].Started.Add(time.Hour)
	applyNext(m, finish)
	g.Expect(m.State().Teams["carnival"].RunTimeRatio).To(Equal(2.0))
}

// Guards against a job that is parked because its tasks end with an error when they
// are stopped for other work.
func TestFailureWhileStoppingIsNotCounted(t *testing.T) {
	g := NewWithT(t)
	m := newFilledMachine()
	applyNext(m, placeCommand(1))
	applyNext(m, attemptCommand(carawayshift.StartJob, 1))
	applyNext(m, jobCommand(carawayshift.StopJob, carawayshift.JobChange{Attempt: 1, Reason: "reclaimed"}))
	applyNext(m, jobCommand(carawayshift.FailJob, carawayshift.JobChange{Attempt: 1, Worker: "w1"}))
	j := m.State().Jobs[1]
	g.Expect(j.State).To(Equal(carawayshift.JobWaiting))
	g.Expect(j.Reason).To(Equal("reclaimed"))
	g.Expect(j.Failures).To(BeZero())
	g.Expect(j.FailedOn).To(BeEmpty())
}

// Guards against an operator command that is applied twice when it is retried after
// a lost answer, and against an id that is reused for another command.
func TestResentCommand(t *testing.T) {
	g := NewWithT(t)
	m := newFilledMachine()
	c := zoneCommand(carawayshift.DrainZone)
	c.ID, c.At = "d1", start
	first := applyNext(m, c)
	c.At = start.Add(time.Hour)
	g.Expect(applyNext(m, c)).To(Equal(first))
	g.Expect(m.State().Zones["belmont"].Changed).To(Equal(start))
	c.Reason = "another reason"
	a := applyNext(m, c)
	g.Expect(a.Kind).To(Equal(carawayshift.Conflict))
	g.Expect(a.Version).To(Equal(first.Version))
}

// Guards against two commands of operators that are both accepted at one version.
func TestVersionRace(t *testing.T) {
	g := NewWithT(t)
	m := newFilledMachine()
	c := zoneCommand(carawayshift.DrainZone)
	c.IfVersion = 3
	g.Expect(applyNext(m, c).Version).To(Equal(uint64(4)))
	c = attemptCommand(carawayshift.CancelJob, 0)
	c.IfVersion, c.By = 3, "jules"
	a := applyNext(m, c)
	g.Expect(a.Kind).To(Equal(carawayshift.Conflict))
	g.Expect(a.Winner).To(Equal("ines"))
	g.Expect(a.Version).To(Equal(uint64(4)))
	g.Expect(m.State().Jobs[1].State).To(Equal(carawayshift.JobWaiting))
}

// Guards against refused commands that change the state.
func TestRefusedInputChangesNothing(t *testing.T) {
	tests := []struct {
		name string
		give carawayshift.Command
		want carawayshift.Kind
	}{
		{"unknown kind", carawayshift.Command{Kind: "paint zone"}, carawayshift.Malformed},
		{"no zone", carawayshift.Command{Kind: carawayshift.DrainZone}, carawayshift.Malformed},
		{"unknown zone", carawayshift.Command{Kind: carawayshift.DrainZone, Zone: &carawayshift.Zone{Name: "x"}}, carawayshift.NotFound},
		{"guarantee that does not fit", carawayshift.Command{Kind: carawayshift.SetTeam, Team: &carawayshift.Team{Name: "carnival", Guarantee: []carawayshift.CellCount{{Count: 3, Size: 8}}}, Workers: twoWorkers()}, carawayshift.Refused},
		{"cell size that is not a power of two", carawayshift.Command{Kind: carawayshift.SetTeam, Team: &carawayshift.Team{Name: "carnival", Guarantee: []carawayshift.CellCount{{Count: 1, Size: 3}}}}, carawayshift.Malformed},
		{"job without team", carawayshift.Command{Kind: carawayshift.CreateJob, Job: &carawayshift.Job{Name: "a", Team: "b", Tasks: 1, Accelerators: 1}}, carawayshift.NotFound},
		{"job without tasks", carawayshift.Command{Kind: carawayshift.CreateJob, Job: &carawayshift.Job{Name: "a", Team: "carnival", Accelerators: 1}}, carawayshift.Malformed},
		{"quarantine without an end", carawayshift.Command{Kind: carawayshift.QuarantineWorker, Name: "rack1/w1"}, carawayshift.Malformed},
		{"objective", carawayshift.Command{Kind: carawayshift.SetConfig, Name: "objective", Value: "fast"}, carawayshift.Refused},
		{"note on an unknown job", carawayshift.Command{Kind: carawayshift.AddNote, Note: &carawayshift.Note{Object: "job 9", Text: "x"}}, carawayshift.NotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			m := newFilledMachine()
			before := m.State()
			g.Expect(applyNext(m, tt.give).Kind).To(Equal(tt.want))
			before.Index++
			g.Expect(m.State()).To(Equal(before))
		})
	}
}

// Guards against an entry that can be decoded but makes every later snapshot fail,
// and against entries that make the machine panic.
func TestDamagedEntries(t *testing.T) {
	tests := []struct {
		name string
		give any
	}{
		{"empty", nil},
		{"not a map", 7},
		{"year above 9999", map[int]any{2: "quarantine worker", 5: start.Format(time.RFC3339), 12: "w1", 14: int64(1) << 40}},
		{"job that is not a map", map[int]any{1: "x", 2: "create job", 5: start.Format(time.RFC3339), 9: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			m := newFilledMachine()
			entry, err := carawayshift.Encode(tt.give)
			g.Expect(err).NotTo(HaveOccurred())
			var a carawayshift.Answer
			g.Expect(carawayshift.Decode(m.Apply(4, entry), &a)).To(Succeed())
			g.Expect(a.Kind).To(Equal(carawayshift.Malformed))
			g.Expect(restored(g, m).State()).To(Equal(m.State()))
		})
	}
}

// Guards against a state that grows by the output of failed tasks.
func TestLongReasonIsClipped(t *testing.T) {
	g := NewWithT(t)
	m := newFilledMachine()
	applyNext(m, placeCommand(1))
	applyNext(m, jobCommand(carawayshift.FailJob, carawayshift.JobChange{Attempt: 1, Reason: strings.Repeat("é", 2*maxValue)}))
	g.Expect(m.State().Jobs[1].Reason).To(Equal(strings.Repeat("é", maxValue/2)))
}

// Guards against later changes of a reader's copy, and against a read that returns
// before its index has been applied.
func TestStateAndWait(t *testing.T) {
	g := NewWithT(t)
	m := newFilledMachine()
	s := m.State()
	applyNext(m, placeCommand(1))
	applyNext(m, zoneCommand(carawayshift.DrainZone))
	g.Expect(s.Jobs[1].State).To(Equal(carawayshift.JobWaiting))
	g.Expect(s.Zones["belmont"].Drained).To(BeFalse())
	ctx, cancel := context.WithCancel(context.Background())
	g.Expect(m.Wait(ctx, m.State().Index)).To(Succeed())
	cancel()
	g.Expect(m.Wait(ctx, m.State().Index+1)).To(MatchError(context.Canceled))
}

// Guards against unbounded memory and snapshots.
func TestBounds(t *testing.T) {
	g := NewWithT(t)
	m := newFilledMachine()
	create := carawayshift.Command{Kind: carawayshift.CreateJob, Job: &carawayshift.Job{Name: "b", Team: "carnival", Tasks: 1, Accelerators: 1}}
	for range maxEnded + 1 {
		a := applyNext(m, create)
		cancel := jobCommand(carawayshift.CancelJob, carawayshift.JobChange{})
		cancel.Change.ID = a.Job
		applyNext(m, cancel)
	}
	s := m.State()
	g.Expect(s.Jobs).To(HaveLen(maxEnded + 1)) // with job 1, which is waiting
	g.Expect(s.Jobs).NotTo(HaveKey(uint64(2)))
	g.Expect(m.answers.ids).To(HaveLen(maxAnswers))
	g.Expect(m.answers.byID).To(HaveLen(maxAnswers))
	g.Expect(restored(g, m).State()).To(Equal(s))
}

// BenchmarkSnapshot measures a snapshot of 12,300 jobs with 4,096 answers.
func BenchmarkSnapshot(b *testing.B) {
	m := newFilledMachine()
	for id := uint64(2); id < 12300; id++ {
		m.putJob(carawayshift.Job{ID: id, Name: "mask-render", Team: "carnival", Tasks: 1, State: carawayshift.JobRunning, Placements: placeCommand(1).Change.Placements})
	}
	for range maxAnswers {
		applyNext(m, carawayshift.Command{Kind: carawayshift.SetConfig, Name: "a", Value: "b"})
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

// BenchmarkPlaceAfterRead measures the first change after a read, which clones the
// job table, with 9,300 running tasks and 10,000 ended jobs.
func BenchmarkPlaceAfterRead(b *testing.B) {
	m := newFilledMachine()
	for id := uint64(2); id < 12300; id++ {
		m.putJob(carawayshift.Job{ID: id, Team: "carnival", Tasks: 4, State: carawayshift.JobRunning})
	}
	for b.Loop() {
		m.State()
		m.putJob(m.s.Jobs[2])
	}
}
