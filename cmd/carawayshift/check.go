package main

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift/internal/settings"
)

type checkCmd struct {
	File string `arg:"" help:"Settings file."`
}

// Run prints every error in the file with its line and how to correct it.
func (c *checkCmd) Run() error {
	s, err := settings.Load(c.File)
	var faults settings.Faults
	if errors.As(err, &faults) {
		for _, f := range faults {
			fmt.Println(f)
		}
		return errors.Newf("%s has %d errors", c.File, len(faults))
	}
	if err != nil {
		return err
	}
	role := "entry host"
	if s.Control.Data != "" {
		role = "entry and control host"
	}
	others := fmt.Sprintf("%d hosts in the deployment", len(s.Peers))
	if s.UsesDiscovery() {
		others = fmt.Sprintf("finds the others from %d seeds", len(s.Join.Seeds))
	}
	fmt.Printf("%s is valid: %s %s of zone %s, region %s, %s\n", c.File, role, s.Host.Name, s.Host.Zone, s.Host.Region, others)
	return nil
}
