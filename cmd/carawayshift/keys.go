package main

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift/internal/pki"
)

type keysCmd struct {
	Dir  string            `help:"Folder for the CA and the certificates." default:"keys"`
	Host map[string]string `help:"Host and its IP addresses, as NAME=IP[,IP]; may be repeated." required:"" mapsep:";"`
}

// Run creates a CA unless the folder holds one, and a certificate for each host.
func (c *keysCmd) Run() error {
	a, err := c.authority()
	if err != nil {
		return err
	}
	names := make([]string, 0, len(c.Host))
	for name := range c.Host {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		addrs, err := parseAddresses(c.Host[name])
		if err != nil {
			return errors.Wrapf(err, "host %s", name)
		}
		if err := a.Issue(c.Dir, name, addrs); err != nil {
			return err
		}
		fmt.Printf("wrote the certificate and the key of %s to %s\n", name, c.Dir)
	}
	return nil
}

func (c *keysCmd) authority() (*pki.Authority, error) {
	if _, err := os.Stat(filepath.Join(c.Dir, "ca.pem")); err == nil {
		return pki.Open(c.Dir)
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create the folder")
	}
	return pki.Create(c.Dir)
}

func parseAddresses(list string) ([]netip.Addr, error) {
	var addrs []netip.Addr
	for _, s := range strings.Split(list, ",") {
		a, err := netip.ParseAddr(strings.TrimSpace(s))
		if err != nil {
			return nil, errors.Wrap(err, "write IP addresses as 192.0.2.11")
		}
		addrs = append(addrs, a)
	}
	return addrs, nil
}
