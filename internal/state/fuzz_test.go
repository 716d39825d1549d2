package state

import (
	"testing"

	"carawayshift.example/carawayshift"
)

// Guards against an entry that makes the machine panic, or after which a snapshot
// can't be written or restored.
func FuzzApply(f *testing.F) {
	for _, c := range []carawayshift.Command{
		placeCommand(1), zoneCommand(carawayshift.DrainZone), attemptCommand(carawayshift.CancelJob, 0),
		{Kind: carawayshift.CreateJob, Job: &carawayshift.Job{Name: "b", Team: "carnival", Tasks: 1, Accelerators: 1}},
		{Kind: carawayshift.QuarantineWorker, Name: "w1", At: start, Until: start.AddDate(0, 0, 1)},
		{Kind: carawayshift.AddNote, Note: &carawayshift.Note{Object: "job 1", Text: "x"}},
	} {
		c.ID = "f"
		entry, err := carawayshift.Encode(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(entry)
	}
	// A time in seconds since 1970 beyond the year 9999.
	late, err := carawayshift.Encode(map[int]any{2: "quarantine worker", 5: "2026-12-04T01:00:00Z", 12: "w1", 14: int64(1) << 40})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(late)
	f.Fuzz(func(t *testing.T, entry []byte) {
		m := newFilledMachine()
		m.Apply(4, entry)
		m.Apply(5, entry)
		before, err := m.encode()
		if err != nil {
			t.Fatal(err)
		}
		var s snapshot
		if err := carawayshift.Decode(before, &s); err != nil {
			t.Fatal(err)
		}
		copied := New(checkTotal)
		copied.load(s)
		after, err := copied.encode()
		if err != nil || string(after) != string(before) {
			t.Fatalf("the restored machine encodes to different bytes: %v", err)
		}
	})
}
