package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/reconfiguration"
	"carawayshift.example/carawayshift/pkg/replica"
)

// noPeers is a transport without other hosts.
type noPeers struct{}

func (noPeers) Handle(string, carawayshift.Handler) {}

func (noPeers) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, carawayshift.NewError(carawayshift.Unavailable, "no other hosts", "none is needed")
}

// A learner that is one round trip behind a busy log replaces a voter that is
// missing; one that is further behind does not.
func TestLearnerIsPromotedUnderLoad(t *testing.T) {
	tests := []struct {
		name string
		// behind is by how many entries the learner is behind; the leader
		// commits 100 entries between two checks.
		behind uint64
		want   bool
	}{
		{"all entries", 0, true},
		{"a round trip behind", 20, true},
		{"two checks behind", 200, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := NewWithT(t)
				g := New(Config{Host: "a", Transport: noPeers{}, DesiredVoters: 5, FailureTimeout: 1500 * time.Millisecond})
				promoted := false
				for check := range uint64(5) {
					commit := 1000 + 100*check
					v := g.view(replica.Status{
						Host: "a", Ready: true, Commit: commit,
						Members:      []replica.Member{{Host: "a", Voter: true}, {Host: "b", Voter: true}, {Host: "c", Voter: true}, {Host: "d", Voter: true}, {Host: "far"}},
						Match:        map[string]uint64{"a": commit, "b": commit, "c": commit, "d": commit, "far": commit - tt.behind},
						SinceContact: map[string]time.Duration{"b": 0, "c": 0, "d": 0, "far": 0},
					})
					a, ok := reconfiguration.Next(v)
					promoted = promoted || ok && a.Op == reconfiguration.Promote && a.Host == "far"
					time.Sleep(checkInterval)
				}
				o.Expect(promoted).To(Equal(tt.want))
			})
		})
	}
}
