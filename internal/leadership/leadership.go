// Package leadership reports whether this host leads the replicated group and
// has applied every entry that was committed before its term.
//
// # Usage
//
//	l := leadership.New("lav1", replica)
//	term, ok, changed := l.Term()
package leadership

import (
	"sync"

	"carawayshift.example/carawayshift/pkg/replica"
)

// Leadership observes the leadership of a replica.
type Leadership struct {
	host    string
	replica *replica.Replica

	mu sync.Mutex
	// readyTerm is the newest term in which this host was the leader and had
	// applied all committed entries.
	readyTerm uint64
}

// New returns the Leadership of the replica on the given host.
func New(host string, r *replica.Replica) *Leadership {
	return &Leadership{host: host, replica: r}
}

// Term returns the term in which this host leads. ok is false when it does not
// lead or has not applied all earlier entries yet. The channel is closed when
// the result may have changed.
func (l *Leadership) Term() (term uint64, ok bool, changed <-chan struct{}) {
	_, changed = l.replica.Watch()
	leader, term := l.replica.Leader()
	if leader != l.host {
		return 0, false, changed
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readyTerm == term {
		return term, true, changed
	}
	st := l.replica.Status()
	if !st.Ready || st.Term != term || st.Applied < st.Commit {
		return 0, false, changed
	}
	l.readyTerm = term
	return term, true, changed
}
