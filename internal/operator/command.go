package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/report"
	"carawayshift.example/carawayshift/internal/statement"
)

// A command is answered when its version is in force on all hosts, or after
// inForceTimeout with the names of the missing hosts. Followers apply a version
// within about 100 ms in the same region, so a healthy deployment answers well
// before the timeout. Hosts that have not reported for staleHostAge, which is
// three announcement intervals, are named without waiting for them.
const (
	inForceTimeout      = 2 * time.Second
	inForcePollInterval = 50 * time.Millisecond
	staleHostAge        = 3 * time.Second
	// neverReportedAge exceeds the uptime of any process: a greater age means
	// that the host has never reported.
	neverReportedAge = 50 * 365 * 24 * time.Hour
)

// objective is the key of the only setting that the system reads. Other keys
// are stored for the deployment's own scripts.
const objective = "objective"

// runCommand proposes the command of a statement and returns the reply to it.
func (h *Handler) runCommand(ctx context.Context, q request, s statement.Statement) reply {
	if q.ID == "" || q.Operator == "" {
		return errorReply(malformed("a command needs an id and an operator", "send both; use a new id for each command"))
	}
	if s.Verb == "hold" && s.Object == "worker" {
		return errorReply(carawayshift.NewError(carawayshift.Refused,
			"workers can't be held: only the scheduler puts them in quarantine",
			"stop the worker's process to take it out, or type: drain zone belmont"))
	}
	if s.Verb == "cancel" && s.Object == "jobs" {
		return h.cancelJobs(ctx, q, s)
	}
	if s.Object == "config" && s.Name != objective && statement.Suggest(s.Name, []string{objective}) != "" {
		return errorReply(carawayshift.NewError(carawayshift.Refused,
			"no part of carawayshift reads a setting "+s.Name, "did you mean objective? type: set config objective = packing"))
	}
	a, err := h.propose(ctx, h.buildCommand(q, s))
	if err != nil {
		return errorReply(err)
	}
	if a.Kind == carawayshift.NotFound {
		a.Remedy = h.suggestName(s) + a.Remedy
	}
	r := h.commandReply(ctx, a)
	if s.Object == "config" && s.Name != objective && a.Kind == "" {
		r.Text += "no part of carawayshift reads this setting; the only one that is read is objective\n"
	}
	if s.JobID != 0 && s.Verb != "note" && a.Kind == "" {
		r.Text += h.jobStateText(ctx, s.JobID, a.Index)
	}
	return r
}

// jobStateText returns the state in which a command left a job. A running job
// is stopped first, so it is not yet cancelled or held when the command is
// accepted.
func (h *Handler) jobStateText(ctx context.Context, id, index uint64) string {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if h.cfg.Wait(ctx, index) != nil {
		return ""
	}
	j := h.cfg.State().Jobs[id]
	if j.StateAfterStop != "" {
		return fmt.Sprintf("job %d is now %s, then %s\n", id, j.State, j.StateAfterStop)
	}
	return fmt.Sprintf("job %d is now %s\n", id, j.State)
}

// suggestName returns a question with the existing name that is most similar to
// the one that was not found, or "".
func (h *Handler) suggestName(s statement.Statement) string {
	st, wanted := h.cfg.State(), s.Name
	var names []string
	switch {
	case s.Object == "zone":
		names = slices.Sorted(maps.Keys(st.Zones))
	case s.Object == "team":
		names = slices.Sorted(maps.Keys(st.Teams))
	case s.Object == "job" && s.JobFields != nil:
		names, wanted = slices.Sorted(maps.Keys(st.Teams)), s.JobFields.Team
	}
	if suggestion := statement.Suggest(wanted, names); suggestion != "" {
		return "did you mean " + suggestion + "? "
	}
	return ""
}

// propose sends a command to the log. An error without a kind becomes one of
// kind OutcomeUnknown, because the command may have been applied.
func (h *Handler) propose(ctx context.Context, c carawayshift.Command) (carawayshift.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	appliedIndex := h.cfg.State().Index
	a, err := h.cfg.Log.Propose(ctx, c)
	// The stored answer to a resent command has the index of the first log
	// entry; the index of a new entry is greater than any applied index.
	a.Repeated = a.Repeated || err == nil && a.Index <= appliedIndex
	if err != nil && carawayshift.KindOf(err) == "" {
		return a, carawayshift.NewError(carawayshift.OutcomeUnknown, err.Error(), "resend with the same id")
	}
	return a, err
}

// buildCommand returns the log command of any statement except "cancel jobs",
// which cancelJobs handles.
func (h *Handler) buildCommand(q request, s statement.Statement) carawayshift.Command {
	c := carawayshift.Command{ID: q.ID, By: q.Operator, At: time.Now().UTC(), Reason: s.Reason, IfVersion: s.IfVersion}
	switch s.Verb {
	case "note":
		c.Kind = carawayshift.AddNote
		c.Note = &carawayshift.Note{Object: strings.TrimSpace(s.Object + " " + s.Name), Text: s.Text, By: q.Operator, At: c.At}
	case "create":
		h.buildCreate(&c, s)
	case "set":
		h.buildSet(&c, s)
	case "drain":
		c.Kind, c.Zone = carawayshift.DrainZone, s.Zone
	case "return":
		c.Kind, c.Zone = carawayshift.ReturnZone, s.Zone
	default:
		buildAction(&c, s)
	}
	return c
}

func (h *Handler) buildCreate(c *carawayshift.Command, s statement.Statement) {
	switch s.Object {
	case "zone":
		c.Kind, c.Zone = carawayshift.CreateZone, s.Zone
	case "team":
		c.Kind, c.Team, c.Workers = carawayshift.CreateTeam, s.Team, h.workersForGuaranteeCheck()
	default:
		c.Kind, c.Job = carawayshift.CreateJob, s.JobFields
	}
}

// buildSet lists the changed fields in Name, so that fields that the statement
// does not name keep their values.
func (h *Handler) buildSet(c *carawayshift.Command, s statement.Statement) {
	switch s.Object {
	case "config":
		c.Kind, c.Name, c.Value = carawayshift.SetConfig, s.Name, s.Value
	case "team":
		c.Kind, c.Team, c.Workers = carawayshift.SetTeam, s.Team, h.workersForGuaranteeCheck()
		c.Name = strings.Join(s.ChangedFields, ",")
	default:
		c.Kind, c.Job = carawayshift.SetJob, s.JobFields
		c.Name = strings.Join(s.ChangedFields, ",")
	}
}

// workersForGuaranteeCheck returns the workers without their tasks and
// addresses, which the check of guarantees does not read, to keep the log entry
// small.
func (h *Handler) workersForGuaranteeCheck() []carawayshift.Worker {
	ws := slices.Clone(h.cfg.Workers())
	for i := range ws {
		ws[i].Tasks, ws[i].Address = nil, ""
	}
	return ws
}

// buildAction builds the command of a cancel, hold or release statement.
func buildAction(c *carawayshift.Command, s statement.Statement) {
	if s.Object == "worker" {
		c.Kind, c.Name = carawayshift.ReleaseWorker, s.Name
		return
	}
	kinds := map[string]carawayshift.CommandKind{
		"cancel": carawayshift.CancelJob, "hold": carawayshift.HoldJob, "release": carawayshift.ReleaseJob,
	}
	c.Kind, c.Change = kinds[s.Verb], &carawayshift.JobChange{ID: s.JobID}
}

// commandReply returns the reply for the log's answer.
func (h *Handler) commandReply(ctx context.Context, a carawayshift.Answer) reply {
	if err := a.Err(); err != nil {
		r := errorReply(err)
		r.Version, r.Winner, r.Repeated = a.Version, a.Winner, a.Repeated
		r.Text += fmt.Sprintf("version now: %d\n", a.Version)
		return r
	}
	r := reply{Version: a.Version, Job: a.Job, Repeated: a.Repeated}
	r.Text = fmt.Sprintf("accepted at version %d", a.Version)
	if a.Job != 0 {
		r.Text += fmt.Sprintf(" as job %d", a.Job)
	}
	if a.Repeated {
		r.Text += "; this is the first answer to a command sent again"
	}
	r.Text += "\n"
	h.waitInForce(ctx, &r)
	return r
}

// waitInForce waits up to inForceTimeout until the version is in force on all
// hosts, and adds the result and the names of the missing hosts to the reply.
func (h *Handler) waitInForce(ctx context.Context, r *reply) {
	deadline := time.Now().Add(inForceTimeout)
	hosts, missing := h.hostsBehind(ctx, r.Version)
	for slices.ContainsFunc(missing, reportedRecently) && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(inForcePollInterval)
		hosts, missing = h.hostsBehind(ctx, r.Version)
	}
	r.Hosts, r.InForce = hosts, hosts-len(missing)
	r.Text += fmt.Sprintf("in force on %d of %d hosts\n", r.InForce, r.Hosts)
	for _, m := range missing {
		r.Missing = append(r.Missing, m.Name)
		r.Text += fmt.Sprintf("missing: %s at version %d, last report: %s\n", m.Name, m.Version, formatLastReport(m))
	}
}

// formatLastReport returns the time at which the host last reported its
// version.
func formatLastReport(host HostVersion) string {
	if host.Age > neverReportedAge {
		return "never"
	}
	return report.FormatCell(time.Now().Add(-host.Age))
}

func reportedRecently(host HostVersion) bool { return host.Age < staleHostAge }

// hostsBehind returns the number of hosts, and those on which the version is
// not yet in force.
func (h *Handler) hostsBehind(ctx context.Context, version uint64) (total int, behind []HostVersion) {
	hosts := h.cfg.Hosts(ctx)
	for _, host := range hosts {
		if host.Version < version {
			behind = append(behind, host)
		}
	}
	slices.SortFunc(behind, func(a, b HostVersion) int { return strings.Compare(a.Name, b.Name) })
	return len(hosts), behind
}
