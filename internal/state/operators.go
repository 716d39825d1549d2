package state

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"carawayshift.example/carawayshift"
)

// applyFunc checks a command and then changes the state. If it returns an error, it
// has changed nothing.
type applyFunc func(m *Machine, c *carawayshift.Command, a *carawayshift.Answer) error

var operatorKinds = map[carawayshift.CommandKind]applyFunc{
	carawayshift.CreateZone:    createZone,
	carawayshift.CreateTeam:    createTeam,
	carawayshift.SetTeam:       setTeam,
	carawayshift.CreateJob:     createJob,
	carawayshift.SetJob:        setJob,
	carawayshift.CancelJob:     cancelJob,
	carawayshift.HoldJob:       holdJob,
	carawayshift.ReleaseJob:    releaseJob,
	carawayshift.DrainZone:     drainZone,
	carawayshift.ReturnZone:    returnZone,
	carawayshift.ReleaseWorker: releaseWorker,
	carawayshift.SetConfig:     setConfig,
	carawayshift.AddNote:       addNote,
}

func createZone(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	if c.Zone == nil || !validName(c.Zone.Name) || !validName(c.Zone.Region) {
		return malformed("a zone needs a name and a region", "type: create zone belmont region north")
	}
	if _, ok := m.s.Zones[c.Zone.Name]; ok {
		return refused("zone "+c.Zone.Name+" exists already", "type: show zones")
	}
	m.zones()[c.Zone.Name] = carawayshift.Zone{Name: c.Zone.Name, Region: c.Zone.Region}
	return nil
}

func drainZone(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	return m.setDrained(c, true)
}

func returnZone(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	return m.setDrained(c, false)
}

func (m *Machine) setDrained(c *carawayshift.Command, drained bool) error {
	if c.Zone == nil {
		return malformed("the command names no zone", "type: show zones")
	}
	z, ok := m.s.Zones[c.Zone.Name]
	if !ok {
		return notFound("zone "+c.Zone.Name+" does not exist", "type: show zones")
	}
	if z.Drained == drained {
		return refused(alreadyInStateText(z), "type: show zones")
	}
	z.Drained, z.Changed, z.Reason, z.By = drained, c.At, c.Reason, c.By
	m.zones()[z.Name] = z
	return nil
}

func alreadyInStateText(z carawayshift.Zone) string {
	state := "in service"
	if z.Drained {
		state = "out of service"
	}
	text := fmt.Sprintf("zone %s is already %s", z.Name, state)
	if z.By != "" {
		text += " since " + z.Changed.UTC().Format("2006-01-02 15:04:05Z") + " by " + z.By
	}
	return text
}

func createTeam(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	if err := checkTeam(c.Team); err != nil {
		return err
	}
	if _, ok := m.s.Teams[c.Team.Name]; ok {
		return refused("team "+c.Team.Name+" exists already", "type: set team "+c.Team.Name+" guarantee 2x8")
	}
	t := carawayshift.Team{Name: c.Team.Name, Guarantee: c.Team.Guarantee, RateLimit: c.Team.RateLimit}
	return m.putTeam(c, t)
}

// setTeam replaces the guarantee and the limit, or only those listed in
// Command.Name. The observed run time ratio stays.
func setTeam(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	if err := checkTeam(c.Team); err != nil {
		return err
	}
	t, ok := m.s.Teams[c.Team.Name]
	if !ok {
		return notFound("team "+c.Team.Name+" does not exist", "type: show teams")
	}
	all := c.Name == ""
	if all || listed(c.Name, "guarantee") {
		t.Guarantee = c.Team.Guarantee
	}
	if all || listed(c.Name, "limit") {
		t.RateLimit = c.Team.RateLimit
	}
	return m.putTeam(c, t)
}

// putTeam stores the team if the guarantees of all teams can then be packed.
func (m *Machine) putTeam(c *carawayshift.Command, t carawayshift.Team) error {
	s := m.s
	s.Teams = maps.Clone(m.s.Teams)
	s.Teams[t.Name] = t
	if err := m.checkGuarantees(View(c.At, s, c.Workers)); err != nil {
		return err
	}
	m.teams()[t.Name] = t
	return nil
}

// listed reports whether the comma-separated list contains the field.
func listed(list, field string) bool {
	return slices.Contains(strings.Split(list, ","), field)
}

func releaseWorker(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	if !validTarget(c.Name) {
		return malformed("the command names no worker", "type: show quarantine")
	}
	if _, ok := m.s.Quarantine[c.Name]; !ok {
		return refused("worker "+c.Name+" is not in quarantine", "type: show quarantine")
	}
	delete(m.quarantine(), c.Name)
	return nil
}

func setConfig(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	if !validName(c.Name) || len(c.Value) > maxValue {
		return malformed("a setting needs a name and a value of at most 1,000 bytes", "type: show config")
	}
	if c.Name == configObjective && !validObjective(c.Value) {
		return refused("objective is completion or packing, not "+c.Value, "type: set config objective = packing")
	}
	if _, ok := m.s.Config[c.Name]; !ok && len(m.s.Config) >= maxConfig {
		return refused("there are already 1,000 settings", "type: show config")
	}
	m.config()[c.Name] = c.Value
	return nil
}

func addNote(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	if c.Note == nil || c.Note.Text == "" || len(c.Note.Text) > maxNote {
		return malformed("a note needs a text of 1 to 4,096 bytes", `type: note on job 41 "text"`)
	}
	if err := m.checkObject(c.Note.Object); err != nil {
		return err
	}
	m.lastNote++
	n := carawayshift.Note{ID: m.lastNote, Object: c.Note.Object, Text: c.Note.Text, By: c.By, At: c.At}
	m.s.Notes = append(m.s.Notes, n)
	if len(m.s.Notes) > maxNotes {
		m.s.Notes = m.s.Notes[len(m.s.Notes)-maxNotes:]
	}
	return nil
}
