package carawayshift

import (
	"fmt"
	"math"
	"strings"
)

// Check returns an Error of kind Malformed when the catalog contradicts
// itself.
func (c Catalog) Check() error {
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return malformed(fmt.Sprintf("service %q is not named or appears twice", s.Name), "give each service a name of its own")
		}
		services[s.Name] = true
	}
	if err := c.checkQueues(services); err != nil {
		return err
	}
	if err := c.checkTeams(); err != nil {
		return err
	}
	return c.checkKeys()
}

// checkTeams checks the limits of the teams.
func (c Catalog) checkTeams() error {
	for _, m := range c.Teams {
		switch {
		case m.Cap.MilliCores < 0 || m.Cap.Memory < 0 || m.Cap.Accelerators < 0:
			return malformed("the cap of team "+m.Team+" is negative", "give each resource a limit above 0, or 0 for no limit")
		case m.Weight < 0 || math.IsNaN(m.Weight) || math.IsInf(m.Weight, 0):
			return malformed("the weight of team "+m.Team+" is not a number of batches per second", "give it one above 0, or 0 for no weight")
		}
	}
	return nil
}

func (c Catalog) checkQueues(services map[string]bool) error {
	places := map[string]string{}
	for _, q := range c.Queues {
		place := strings.ToLower(q.Host) + " " + q.Prefix
		switch {
		case q.Host == "" || !strings.HasPrefix(q.Prefix, "/"):
			return malformed("queue "+q.Name+" has no host or path prefix", "give it both; a prefix begins with /")
		case !services[q.Service]:
			return malformed(fmt.Sprintf("queue %s names the unknown service %q", q.Name, q.Service), "add the service or correct the name")
		case places[place] != "":
			return malformed("queues "+places[place]+" and "+q.Name+" have the same host and prefix", "change one of them")
		case q.Timeout <= 0:
			return malformed("queue "+q.Name+" has no timeout", "give it one above 0")
		}
		places[place] = q.Name
	}
	return nil
}

func (c Catalog) checkKeys() error {
	owners := map[string]string{}
	for _, m := range c.Teams {
		for _, k := range m.Keys {
			if other, ok := owners[k]; ok && other != m.Team {
				return malformed("teams "+other+" and "+m.Team+" share a key", "give each team keys of its own")
			}
			owners[k] = m.Team
		}
	}
	return nil
}

func malformed(text, remedy string) error { return NewError(Malformed, text, remedy) }
