package operator

import (
	"fmt"
	"maps"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/state"
	"carawayshift.example/carawayshift/internal/statement"
)

// explainStatement describes what a statement would do in the current state. It
// changes nothing.
func (v *view) explainStatement(s statement.Statement) string {
	text := v.describeEffect(s)
	if s.IfVersion != 0 && s.IfVersion != v.Version {
		text += fmt.Sprintf("It would be refused: the version now is %d, not %d.\n", v.Version, s.IfVersion)
	}
	if s.IsCommand() {
		text += "Nothing was changed.\n"
	}
	return text
}

func (v *view) describeEffect(s statement.Statement) string {
	switch s.Verb {
	case "drain", "return":
		return v.zoneEffect(s)
	case "cancel", "hold", "release":
		return v.actionEffect(s)
	case "create":
		return v.createEffect(s)
	case "set":
		return v.setEffect(s)
	case "note":
		return "It would add a note, which show notes lists; when it is on an object, why and show print it too.\n"
	case "show":
		return "It lists " + s.Object + ".\n"
	case "why":
		return "It names the rule that holds the job back, what would free it, and the next statement.\n"
	}
	return "It explains a statement or a word and changes nothing.\n"
}

func (v *view) zoneEffect(s statement.Statement) string {
	z, ok := v.Zones[s.Name]
	if !ok {
		return refusalText("zone " + s.Name + " does not exist")
	}
	drain := s.Verb == "drain"
	if z.Drained == drain {
		return refusalText("the zone is already in that state")
	}
	if !drain {
		return "It would put zone " + s.Name + " back into service: it is refilled with the largest waiting cells first.\n"
	}
	_, zones, _ := v.countUsage()
	u := zones[s.Name]
	return fmt.Sprintf("It would take zone %s out: nothing starts there from 3 s on, and %s on %d accelerators must be checkpointed and moved, least lost work first.\n",
		s.Name, formatJobCount(u.jobs), u.accelerators)
}

func (v *view) actionEffect(s statement.Statement) string {
	if s.Object == "worker" {
		if _, ok := v.Quarantine[s.Name]; !ok || s.Verb != "release" {
			return refusalText("worker " + s.Name + " is not in quarantine, and workers can't be held")
		}
		return "It would end the quarantine of worker " + s.Name + ".\n"
	}
	if s.Object == "jobs" {
		ids := v.cancellableJobIDs(s)
		return fmt.Sprintf("It would cancel %s%s.\n", formatJobCount(len(ids)), formatJobIDs(ids))
	}
	j, ok := v.Jobs[s.JobID]
	if !ok || j.State.Ended() {
		return refusalText(fmt.Sprintf("job %d does not exist or has ended", s.JobID))
	}
	if s.Verb == "release" {
		return releaseEffect(j)
	}
	if !j.Active() {
		return fmt.Sprintf("It would %s job %d at once; it is %s.\n", s.Verb, j.ID, j.State)
	}
	return fmt.Sprintf("It would stop job %d on %d accelerators in zone %s; run time beyond the checkpoint of %s is lost.\n",
		j.ID, j.Size(), j.Zone, j.Checkpoint)
}

func releaseEffect(j carawayshift.Job) string {
	if j.State == carawayshift.JobHeld || j.State == carawayshift.JobParked {
		return fmt.Sprintf("It would return job %d to the waiting state and reset its count of failures.\n", j.ID)
	}
	return refusalText(fmt.Sprintf("job %d is %s", j.ID, j.State))
}

func (v *view) createEffect(s statement.Statement) string {
	switch s.Object {
	case "zone":
		if _, ok := v.Zones[s.Name]; ok {
			return refusalText("zone " + s.Name + " exists already")
		}
		return "It would add zone " + s.Name + " in region " + s.Zone.Region + ", in service.\n"
	case "team":
		if _, ok := v.Teams[s.Name]; ok {
			return refusalText("team " + s.Name + " exists already")
		}
		return v.guaranteeEffect("add team "+s.Name, *s.Team)
	}
	if _, ok := v.Teams[s.JobFields.Team]; !ok {
		return refusalText("team " + s.JobFields.Team + " does not exist")
	}
	return fmt.Sprintf("It would add a waiting job that needs %d accelerators: %d tasks with %d each, all in one zone.\n",
		s.JobFields.Size(), s.JobFields.Tasks, s.JobFields.Accelerators)
}

func (v *view) setEffect(s statement.Statement) string {
	switch s.Object {
	case "config":
		return fmt.Sprintf("It would change %s from %q to %q.\n", s.Name, v.Config[s.Name], s.Value)
	case "team":
		t, ok := v.Teams[s.Name]
		if !ok {
			return refusalText("team " + s.Name + " does not exist")
		}
		if s.ChangedFields[0] == "guarantee" || len(s.ChangedFields) > 1 {
			t.Guarantee = s.Team.Guarantee
		}
		return v.guaranteeEffect("change team "+s.Name, t)
	}
	j, ok := v.Jobs[s.JobID]
	if !ok || j.State.Ended() {
		return refusalText(fmt.Sprintf("job %d does not exist or has ended", s.JobID))
	}
	return fmt.Sprintf("It would change job %d, which is %s.\n", s.JobID, j.State)
}

// guaranteeEffect checks the guarantees as applying the command would, and
// returns the refusal or the effect.
func (v *view) guaranteeEffect(change string, t carawayshift.Team) string {
	if err := v.checkGuarantees(t); err != nil {
		return refusalText(err.Error())
	}
	return fmt.Sprintf("It would %s with %d guaranteed accelerators.\n", change, t.Accelerators())
}

func refusalText(reason string) string { return "It would be refused: " + reason + ".\n" }

func (v *view) checkGuarantees(t carawayshift.Team) error {
	s := v.State
	s.Teams = maps.Clone(v.Teams)
	s.Teams[t.Name] = t
	return v.handler.cfg.Planner.CheckGuarantees(state.View(v.now, s, v.handler.cfg.Workers()))
}
