package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/replica"
)

const maxMemberBody = 4 << 10

// memberRequest is the body of POST /v1/members.
type memberRequest struct {
	// Op is "add", "promote" or "remove".
	Op   string `json:"op"`
	Host string `json:"host"`
}

// memberReply contains the members after the change, or the error.
type memberReply struct {
	Members []replica.Member  `json:"members,omitempty"`
	Error   string            `json:"error,omitempty"`
	Kind    carawayshift.Kind `json:"kind,omitempty"`
	Remedy  string            `json:"remedy,omitempty"`
}

// changeMembers serves POST /v1/members: it adds a host as a learner, promotes
// a learner to a voter, or removes a member of the replicated group.
func (s *Server) changeMembers(w http.ResponseWriter, r *http.Request) {
	var q memberRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMemberBody))
	err := dec.Decode(&q)
	if _, end := dec.Token(); err != nil || end != io.EOF {
		err = carawayshift.NewError(carawayshift.Malformed, "the body is not a member change", `send {"op":"add","host":"lav1"}`)
	} else {
		err = s.changeMember(r.Context(), q)
	}
	if err != nil {
		writeMemberError(w, err)
		return
	}
	s.opts.Log.WithField("op", q.Op).WithField("member", q.Host).Info("group membership changed")
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(memberReply{Members: s.state.replica.Status().Members})
}

func (s *Server) changeMember(ctx context.Context, q memberRequest) error {
	if s.state.replica == nil {
		return carawayshift.NewError(carawayshift.Unavailable, "this host is not a control host", "send the change to a control host")
	}
	if !s.opts.isListed(q.Host) {
		return carawayshift.NewError(carawayshift.NotFound, "no host "+q.Host+" in [peers]", "add it to the settings of all hosts first")
	}
	switch q.Op {
	case "add":
		return s.state.replica.AddLearner(ctx, q.Host)
	case "promote":
		return s.state.replica.Promote(ctx, q.Host)
	case "remove":
		return s.state.replica.Remove(ctx, q.Host)
	default:
		return carawayshift.NewError(carawayshift.Malformed, "unknown change "+q.Op, "use add, promote or remove")
	}
}

func writeMemberError(w http.ResponseWriter, err error) {
	e := carawayshift.AsError(err, carawayshift.Unavailable, "try another control host")
	status := http.StatusConflict
	switch e.Kind {
	case carawayshift.Malformed, carawayshift.NotFound:
		status = http.StatusBadRequest
	case carawayshift.Unavailable, carawayshift.NotRun, carawayshift.OutcomeUnknown:
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(memberReply{Error: e.Text, Kind: e.Kind, Remedy: e.Remedy})
}
