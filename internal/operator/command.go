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

// Waiting for a new version to be in force: an answer names the hosts that
// are missing after forceTime. Hosts that were not heard of for silentAge,
// three announcement intervals, are named without waiting for them. Followers have a version within about 100 ms
// in the same region, so that a healthy deployment answers well before.
const (
	forceTime = 2 * time.Second
	forcePoll = 50 * time.Millisecond
	silentAge = 3 * time.Second
	// neverHeard is an age above the life of any process.
	neverHeard = 50 * 365 * 24 * time.Hour
)

// objective is the only setting that the system reads. Others are kept for
// the deployment's own scripts.
const objective = "objective"

// command proposes the command of a statement and reports its answer.
func (h *Handler) command(ctx context.Context, q request, s statement.Statement) reply {
	if q.ID == "" || q.Operator == "" {
		return failure(malformed("a command needs an id and an operator", "send both; use a new id for each command"))
	}
	if s.Verb == "hold" && s.Object == "worker" {
		return failure(carawayshift.NewError(carawayshift.Refused,
			"workers can't be held: only the scheduler puts them in quarantine",
			"stop the worker's process to take it out, or type: drain zone belmont"))
	}
	if s.Verb == "cancel" && s.Object == "jobs" {
		return h.cancelMany(ctx, q, s)
	}
	if s.Object == "config" && s.Name != objective && statement.Near(s.Name, []string{objective}) != "" {
		return failure(carawayshift.NewError(carawayshift.Refused,
			"no part of carawayshift reads a setting "+s.Name, "did you mean objective? type: set config objective = packing"))
	}
	a, err := h.propose(ctx, h.build(q, s))
	if err != nil {
		return failure(err)
	}
	if a.Kind == carawayshift.NotFound {
		a.Remedy = h.suggest(s) + a.Remedy
	}
	r := h.report(ctx, a)
	if s.Object == "config" && s.Name != objective && a.Kind == "" {
		r.Text += "no part of carawayshift reads this setting; the only one that is read is objective\n"
	}
	if s.Job != 0 && s.Verb != "note" && a.Kind == "" {
		r.Text += h.jobNow(ctx, s.Job, a.Index)
	}
	return r
}

// jobNow says in which state a command left a job: one that runs is stopped
// first, so that it is not yet cancelled or held when the command is accepted.
func (h *Handler) jobNow(ctx context.Context, id, index uint64) string {
	ctx, cancel := context.WithTimeout(ctx, barrierTime)
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

// suggest returns a sentence with the name of an existing object that is like
// the one that was not found, or "".
func (h *Handler) suggest(s statement.Statement) string {
	st, wanted := h.cfg.State(), s.Name
	var names []string
	switch {
	case s.Object == "zone":
		names = slices.Sorted(maps.Keys(st.Zones))
	case s.Object == "team":
		names = slices.Sorted(maps.Keys(st.Teams))
	case s.Object == "job" && s.Values != nil:
		names, wanted = slices.Sorted(maps.Keys(st.Teams)), s.Values.Team
	}
	if near := statement.Near(wanted, names); near != "" {
		return "did you mean " + near + "? "
	}
	return ""
}

func (h *Handler) propose(ctx context.Context, c carawayshift.Command) (carawayshift.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTime)
	defer cancel()
	before := h.cfg.State().Index
	a, err := h.cfg.Log.Propose(ctx, c)
	// The stored answer to a resend has the index of its first entry, and a
	// new entry's index is above all that are applied.
	a.Repeated = a.Repeated || err == nil && a.Index <= before
	if err != nil && carawayshift.KindOf(err) == "" {
		return a, carawayshift.NewError(carawayshift.OutcomeUnknown, err.Error(), "resend with the same id")
	}
	return a, err
}

// build returns the command of any statement but cancel jobs.
func (h *Handler) build(q request, s statement.Statement) carawayshift.Command {
	c := carawayshift.Command{ID: q.ID, By: q.Operator, At: time.Now().UTC(), Reason: s.Because, IfVersion: s.IfVersion}
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
		buildSwitch(&c, s)
	}
	return c
}

func (h *Handler) buildCreate(c *carawayshift.Command, s statement.Statement) {
	switch s.Object {
	case "zone":
		c.Kind, c.Zone = carawayshift.CreateZone, s.Zone
	case "team":
		c.Kind, c.Team, c.Workers = carawayshift.CreateTeam, s.Team, h.packable()
	default:
		c.Kind, c.Job = carawayshift.CreateJob, s.Values
	}
}

// buildSet lists the changed fields in Name, so that fields that the
// statement does not name keep their value.
func (h *Handler) buildSet(c *carawayshift.Command, s statement.Statement) {
	switch s.Object {
	case "config":
		c.Kind, c.Name, c.Value = carawayshift.SetConfig, s.Name, s.Value
	case "team":
		c.Kind, c.Team, c.Workers = carawayshift.SetTeam, s.Team, h.packable()
		c.Name = strings.Join(s.Changed, ",")
	default:
		c.Kind, c.Job = carawayshift.SetJob, s.Values
		c.Name = strings.Join(s.Changed, ",")
	}
}

// packable returns the workers without the reports of their tasks, which the
// check of guarantees does not read, to keep the log entry small.
func (h *Handler) packable() []carawayshift.Worker {
	ws := slices.Clone(h.cfg.Workers())
	for i := range ws {
		ws[i].Tasks, ws[i].Address = nil, ""
	}
	return ws
}

func buildSwitch(c *carawayshift.Command, s statement.Statement) {
	if s.Object == "worker" {
		c.Kind, c.Name = carawayshift.ReleaseWorker, s.Name
		return
	}
	kinds := map[string]carawayshift.CommandKind{
		"cancel": carawayshift.CancelJob, "hold": carawayshift.HoldJob, "release": carawayshift.ReleaseJob,
	}
	c.Kind, c.Change = kinds[s.Verb], &carawayshift.JobChange{ID: s.Job}
}

// report turns the log's answer into a reply.
func (h *Handler) report(ctx context.Context, a carawayshift.Answer) reply {
	if err := a.Err(); err != nil {
		r := failure(err)
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
	h.addInForce(ctx, &r)
	return r
}

// addInForce waits until the version is in force on all hosts, up to
// forceTime, and names the missing hosts.
func (h *Handler) addInForce(ctx context.Context, r *reply) {
	deadline := time.Now().Add(forceTime)
	hosts, missing := h.missing(ctx, r.Version)
	for slices.ContainsFunc(missing, heard) && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(forcePoll)
		hosts, missing = h.missing(ctx, r.Version)
	}
	r.Hosts, r.InForce = hosts, hosts-len(missing)
	r.Text += fmt.Sprintf("in force on %d of %d hosts\n", r.InForce, r.Hosts)
	for _, m := range missing {
		r.Missing = append(r.Missing, m.Name)
		r.Text += fmt.Sprintf("missing: %s at version %d, last heard of %s\n", m.Name, m.Version, lastHeard(m))
	}
}

// lastHeard returns when the host reported its version.
func lastHeard(host HostVersion) string {
	if host.Age > neverHeard {
		return "never"
	}
	return report.Cell(time.Now().Add(-host.Age))
}

func heard(host HostVersion) bool { return host.Age < silentAge }

func (h *Handler) missing(ctx context.Context, version uint64) (all int, missing []HostVersion) {
	hosts := h.cfg.Hosts(ctx)
	for _, host := range hosts {
		if host.Version < version {
			missing = append(missing, host)
		}
	}
	slices.SortFunc(missing, func(a, b HostVersion) int { return strings.Compare(a.Name, b.Name) })
	return len(hosts), missing
}
