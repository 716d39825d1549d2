package operator

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/queryclient"
	"carawayshift.example/carawayshift/internal/statement"
)

// Guards against a change of what operators read on an ordinary night.
func TestNormalNight(t *testing.T) {
	golden(t, "normal_night", func(s *session) {
		s.as("ines", "show version")
		s.as("ines", "show teams")
		s.as("ines", "create job mask-render team carnival tasks 2 accelerators 8 cores 8 memory 64GB run 2h due 06:00 urgent")
		s.as("ines", "create job club-check team schools tasks 1 accelerators 4 run 30m")
		s.schedule()
		s.schedule()
		s.as("ines", "show jobs")
		s.as("ines", "why job 1")
		s.as("ines", `note on job 1 "the troupe calls at 05:00"`)
		s.as("ines", `note "compressor noise in hall 2"`)
		s.pass(30 * time.Minute)
		s.report(carawayshift.FinishJob, 2, 0)
		s.as("jules", "show jobs where state = running or state = finished order by started desc")
		s.as("jules", "show notes since yesterday")
		s.as("jules", "show job 1")
		s.pass(3 * time.Hour)
		s.report(carawayshift.FinishJob, 1, 0)
		s.as("jules", "show teams")
		s.as("jules", "why job 1")
		s.as("jules", "show guarantees")
		s.as("jules", "show hosts")
		s.as("jules", "show workers where free > 0 limit 2")
		s.as("jules", "show config")
	})
}

// Guards against a drain that is not explained, moved or undone as shown.
func TestZoneLeavesAndReturns(t *testing.T) {
	golden(t, "zone_leaves_and_returns", func(s *session) {
		s.as("ines", "create job mask-render team carnival tasks 2 accelerators 8 run 4h")
		s.schedule()
		s.as("ines", `note on zone belmont "switch is old"`)
		s.as("ines", "explain drain zone belmont")
		s.as("ines", `drain zone belmont because "switch swap at 02:00"`)
		s.as("jules", "drain zone belmont")
		s.schedule()
		s.as("ines", "why job 1")
		s.pass(20 * time.Second)
		s.report(carawayshift.JobStopped, 1, 10*time.Minute)
		s.schedule()
		s.as("ines", "show jobs where zone = laventille")
		s.as("ines", "create job second team schools tasks 2 accelerators 8 run 1h")
		s.as("ines", "why job 2")
		s.as("ines", "show zones")
		s.pass(time.Hour)
		s.freeze("e3")
		s.pass(time.Minute)
		s.as("jules", "return zone belmont")
		s.schedule()
		s.as("jules", "show zone belmont")
		s.frozen["e2"] = HostVersion{Name: "e2"}
		s.say("e2 was never heard of")
		s.as("jules", `note on host e2 "new, not yet installed"`)
		s.as("jules", "show hosts where state = behind")
	})
}

// Guards against a job that can't run and no way to learn why.
func TestJobThatCannotRun(t *testing.T) {
	golden(t, "job_cannot_run", func(s *session) {
		s.as("ines", "create job float-render team carnival tasks 1 accelerators 16 run 1h")
		s.as("ines", "why job 1")
		s.schedule()
		s.as("ines", "why job 1")
		s.as("ines", "explain parked")
		s.as("ines", "set job 1 tasks 2 accelerators 8")
		s.schedule()
		s.as("ines", "why job 1")
		s.as("ines", "create team extra guarantee 3x16")
		s.as("ines", "explain set team carnival guarantee 4x16")
		s.as("ines", "why job 9")
	})
}

// Guards against a reclaim whose victim and reason operators can't see.
func TestReclaim(t *testing.T) {
	golden(t, "reclaim", func(s *session) {
		for range 2 {
			s.as("ines", "create job big team carnival tasks 2 accelerators 8 run 3h")
			s.schedule()
			s.pass(20 * time.Minute)
		}
		s.as("ines", "show teams")
		s.as("jules", "create job lesson team schools tasks 2 accelerators 8 run 1h urgent")
		s.as("jules", "why job 3")
		s.as("jules", "explain reclaim")
		s.schedule()
		s.as("jules", "why job 2")
		s.report(carawayshift.JobStopped, 2, 20*time.Minute)
		s.as("jules", "hold job 2")
		s.schedule()
		s.as("jules", "why job 3")
		s.as("jules", "why job 2")
		s.as("jules", "release job 2")
		s.as("jules", "why job 2")
		s.as("jules", "explain reservation")
		s.as("jules", `cancel job 3 because "lesson moved to Monday"`)
		s.as("jules", "cancel job 3")
		s.report(carawayshift.JobStopped, 3, 0)
		s.as("jules", "why job 3")
	})
}

// Guards against a loser that does not learn who won and the version now.
func TestVersionRace(t *testing.T) {
	golden(t, "version_race", func(s *session) {
		s.as("ines", "show version")
		s.as("ines", "set config objective = completion if version 5")
		s.as("jules", "set team carnival guarantee 4x4 if version 5")
		s.as("jules", "show teams")
		s.as("jules", "set team carnival guarantee 4x4 if version 6")
		s.as("jules", "show teams")
		s.as("jules", "drain zone belmont if version 90")
	})
}

// Guards against a command that is applied twice when its answer was lost,
// and against two commands under one id.
func TestAnswerLost(t *testing.T) {
	golden(t, "answer_lost", func(s *session) {
		s.say("the next answer is lost; the shell sends the command again")
		s.log.lose = true
		s.as("ines", "create job mask-render team carnival tasks 1 accelerators 8 run 2h due 06:00")
		s.as("ines", "show jobs")
		s.as("ines", "create job other team carnival tasks 1 accelerators 8 run 2h")
		s.resend("ines", "create job another team carnival tasks 1 accelerators 8 run 2h")
		s.as("ines", `cancel jobs where team = carnival because "flood"`)
		s.pass(time.Minute)
		s.resend("ines", `cancel jobs where team = carnival because "flood"`)
		s.as("ines", "show jobs")
		s.as("ines", "show notes")
		s.log.cut = true
		s.pass(40 * time.Second)
		s.as("ines", "return zone belmont")
		s.as("ines", "show zones")
	})
}

// Guards against a faulty statement that is answered without its position,
// what was expected and the nearest form.
func TestFaultyStatements(t *testing.T) {
	golden(t, "faulty_statements", func(s *session) {
		for _, text := range []string{
			"shwo jobs", "show jbos", "show jobs whre state = waiting", "show jobs where stat = waiting",
			"show jobs where state = wating", "show jobs where due < soon", "show jobs where (id = 1", "show jobs limit 0",
			"create team carnival guarantee 2x8, 1x33", "create job a team b tasks 1 accelerators 1 due 6am",
			"create job mask team carnival tsks 4", "drain zone “belmont”", "drain zone belmnt", `note on job 77 "x"`,
			"set config objective packing", "set config objective = fast", "set config objectve = packing", "set config shift = night", "hold worker belmont-w1", "release worker belmont-w1",
			"cancel jobs", "explain paked", "explain no free cells", "explain drian zone belmont", "show jobs because \"x\"", "help drain",
		} {
			s.as("ines", text)
		}
	})
}

// Guards against bodies that are read without a bound or misread.
func TestRequestBodies(t *testing.T) {
	tests := []struct {
		name, method, body string
		code               int
		kind               string
	}{
		{"get", "GET", "", http.StatusMethodNotAllowed, "malformed"},
		{"empty", "POST", "", http.StatusBadRequest, "malformed"},
		{"not JSON", "POST", "show jobs", http.StatusBadRequest, "malformed"},
		{"unknown field", "POST", `{"statement":"help","opertor":"ines"}`, http.StatusBadRequest, "malformed"},
		{"two objects", "POST", `{"statement":"help"}{}`, http.StatusBadRequest, "malformed"},
		{"oversized", "POST", `{"statement":"` + strings.Repeat("a", maxBody) + `"}`, http.StatusRequestEntityTooLarge, "too large"},
		{"long id", "POST", `{"statement":"help","id":"` + strings.Repeat("a", maxID+1) + `"}`, http.StatusBadRequest, "malformed"},
		{"control character", "POST", `{"statement":"help","operator":"a\u001b[2Jb"}`, http.StatusBadRequest, "malformed"},
		{"command without id", "POST", `{"statement":"drain zone belmont","operator":"ines"}`, http.StatusBadRequest, "malformed"},
		{"command without operator", "POST", `{"statement":"drain zone belmont","id":"1"}`, http.StatusBadRequest, "malformed"},
		{"query without id", "POST", `{"statement":"show zones"}`, http.StatusOK, `"rows":[{"name":"belmont"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := newSession()
				s.prepare()
				w := httptest.NewRecorder()
				s.handler.ServeHTTP(w, httptest.NewRequest(tt.method, "/v1/statements", strings.NewReader(tt.body)))
				g.Expect(w.Code).To(Equal(tt.code))
				g.Expect(w.Body.String()).To(ContainSubstring(tt.kind))
			})
		})
	}
}

// Guards against rows that do not match the columns of their table.
func TestRowsMatchColumns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSession()
		s.prepare()
		s.as("ines", "create job a team carnival tasks 1 accelerators 1")
		s.as("ines", `note "x"`)
		c := carawayshift.Command{Kind: carawayshift.QuarantineWorker, Name: "belmont-w1", At: time.Now(), Until: time.Now().Add(time.Hour)}
		_, err := s.log.Propose(t.Context(), c)
		g.Expect(err).NotTo(HaveOccurred())
		s.handler.cfg.Runners = func() []carawayshift.Runner { return []carawayshift.Runner{{Name: "r1"}} }
		for _, table := range []string{"jobs", "teams", "guarantees", "zones", "workers", "runners", "hosts", "notes", "quarantine", "config", "version"} {
			v := view{State: s.machine.State(), now: time.Now(), handler: s.handler, ctx: t.Context()}
			columns, _ := statement.Columns(table)
			rows := v.rows(table)
			g.Expect(rows).NotTo(BeEmpty(), table)
			g.Expect(rows[0]).To(HaveLen(len(columns)), table)
		}
	})
}

// Guards against a command that is lost or applied twice when many operators
// type at the same time and every third answer is lost.
func TestConcurrentResends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSession()
		s.prepare()
		s.log.loseEvery = 3
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				sh := queryclient.Shell{Hosts: []string{"http://e1", "http://e2"}, Operator: fmt.Sprint("op", i), Out: io.Discard, Client: &http.Client{Transport: s}}
				for n := range 10 {
					g.Expect(sh.Run(t.Context(), fmt.Sprintf("create job j%d-%d team carnival tasks 1 accelerators 1", i, n))).To(Succeed())
				}
			})
		}
		wg.Wait()
		st := s.machine.State()
		g.Expect(st.Version).To(Equal(uint64(5 + 80)))
		names := map[string]bool{}
		for _, j := range st.Jobs {
			names[j.Name] = true
		}
		g.Expect(st.Jobs).To(HaveLen(80))
		g.Expect(names).To(HaveLen(80))
	})
}

// Guards against a wave of cancellations that takes longer than a client
// waits, that leaves jobs out, or whose count is not the truth.
func TestCancelWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSession()
		s.prepare()
		for range 1000 {
			s.as("ines", "create job a team carnival tasks 1 accelerators 1")
		}
		s.log.latency = 45 * time.Millisecond
		began := time.Now()
		q := request{Statement: "cancel jobs where team = carnival and id <= 999", ID: "wave", Operator: "ines"}
		s.log.loseEvery = 100
		g.Expect(s.handler.answer(t.Context(), q).Kind).To(Equal(carawayshift.OutcomeUnknown))
		s.log.loseEvery = 0
		a := s.handler.answer(t.Context(), q)
		g.Expect(a.Repeated).To(BeTrue())
		g.Expect(s.machine.Version()).To(Equal(uint64(5 + 1000 + 1 + 999)))
		g.Expect(time.Since(began)).To(BeNumerically("<", 4*time.Second))
		for id, j := range s.machine.State().Jobs {
			g.Expect(j.State == carawayshift.JobCancelled).To(Equal(id <= 999))
		}
		q.ID, q.Statement = "wave-2", "cancel jobs where id = 1000"
		s.log.cutAt = s.log.index + 2
		g.Expect(s.handler.answer(t.Context(), q).Kind).To(Equal(carawayshift.OutcomeUnknown))
		g.Expect(s.machine.State().Jobs[1000].State).To(Equal(carawayshift.JobWaiting))
	})
}

// Guards against two winners when many operators send commands for the same
// version at the same time, and against versions that do not count them.
func TestConcurrentVersionRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSession()
		s.prepare()
		var wg sync.WaitGroup
		accepted := make([]bool, 16)
		for i := range accepted {
			wg.Go(func() {
				q := request{Statement: fmt.Sprintf(`note "n%d" if version 5`, i), ID: fmt.Sprint("race-", i), Operator: fmt.Sprint("op-", i)}
				accepted[i] = s.handler.answer(t.Context(), q).Kind == ""
			})
		}
		wg.Wait()
		g.Expect(accepted).To(ContainElement(true))
		g.Expect(s.machine.State().Version).To(Equal(uint64(6)))
		g.Expect(s.machine.State().Notes).To(HaveLen(1))
	})
}
