package settings

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// UsesDiscovery reports whether the host discovers the others through seeds,
// instead of reading their list from [peers].
func (s Settings) UsesDiscovery() bool { return len(s.Join.Seeds) > 0 }

func (c *checker) readJoin(s *Settings) {
	if _, ok := c.sections["peers"]; ok {
		c.addFault("peers", entry{}, "can't be combined with [join]", "use [peers] to list the hosts, or [join] to discover them")
	}
	c.readOptionalAddress("entry", &s.Listen.Entry)
	c.readOptionalAddress("ready", &s.Listen.Ready)
	c.readOptionalAddress("control", &s.Listen.Control)
	c.readOptionalAddress("metrics", &s.Listen.Metrics)
	c.readSeeds(s)
	c.readBool("join", "first", &s.Join.Bootstrap)
	c.readInt("join", "losses", 0, maxVoters/2, &s.Join.ToleratedLosses)
	c.readDuration("runners", "lease", &s.Runners.Lease)
	c.readDuration("runners", "outage", &s.Runners.MaxOutage)
	c.readDuration("runners", "heartbeat", &s.Runners.Heartbeat)
	c.readDuration("runners", "stop", &s.Runners.Stop)
	c.readDuration("runners", "reclaim", &s.Runners.Reclaim)
	c.readDuration("runners", "notice", &s.Runners.ReadyDelay)
	c.readDuration("runners", "upkeep", &s.Runners.Maintenance)
	c.readServiceAddress("machines", &s.Services.Machines)
	c.readServiceAddress("advice", &s.Services.Advice)
	c.readFactor("runners", "remote", &s.Runners.RemoteSlowdown)
	c.readSpeeds(&s.Runners.LearnSpeeds)
	c.readDuration("batches", "keep", &s.Batches.Retention)
	c.readShortage(&s.Batches.Shortage)
	if s.Control.Data != "" && !s.Listen.Control.IsValid() {
		c.addFault("listen", entry{key: "control"}, "is missing on a control host", "give it the address for operators and runners")
	}
}

// readSpeeds reads whether the speeds of the runners are learned.
func (c *checker) readSpeeds(dst *bool) {
	e, ok := c.find("runners", "speeds")
	if !ok {
		return
	}
	switch e.value {
	case "learn":
		*dst = true
	case "off":
		*dst = false
	default:
		c.addFault("runners", e, "is not known", "write learn, or off to treat all runners alike")
	}
}

// readShortage reads where what costs callers least gives way.
func (c *checker) readShortage(dst *Shortage) {
	e, ok := c.find("batches", "shortage")
	if !ok {
		return
	}
	switch v := Shortage(e.value); v {
	case ShortageOff, ShortageOn, ShortageUneven:
		*dst = v
	default:
		c.addFault("batches", e, "is not known", "write no, yes, or uneven for deployments with uneven teams or runners")
	}
}

// readOptionalAddress reads a listen address that may be empty.
func (c *checker) readOptionalAddress(key string, dst *netip.AddrPort) {
	if e, ok := c.find("listen", key); ok && e.value != "" {
		c.readListenAddress(key, dst)
	}
}

// readServiceAddress reads the address of a service of the platform, which may
// be empty.
func (c *checker) readServiceAddress(key string, dst *string) {
	e, ok := c.find("services", key)
	if !ok || e.value == "" {
		return
	}
	if _, err := netip.ParseAddrPort(e.value); err != nil {
		c.addFault("services", e, "is not IP:port", "write for example 192.0.2.9:8524, or leave it empty")
		return
	}
	*dst = e.value
}

// readSeeds reads IP addresses. A port is ignored, because the transport uses
// the same port on all hosts.
func (c *checker) readSeeds(s *Settings) {
	e, ok := c.requireEntry("join", "seeds")
	if !ok {
		return
	}
	for _, part := range strings.Split(e.value, ",") {
		part = strings.TrimSpace(part)
		addr, err := netip.ParseAddr(part)
		if withPort, portErr := netip.ParseAddrPort(part); portErr == nil {
			addr, err = withPort.Addr(), nil
		}
		if err != nil {
			c.addFault("join", e, strconv.Quote(part)+" is not the IP address of a host", "list IP addresses of control hosts, separated by commas")
			continue
		}
		s.Join.Seeds = append(s.Join.Seeds, netip.AddrPortFrom(addr, s.Listen.Peers.Port()))
	}
}

func (c *checker) readBool(section, key string, dst *bool) {
	e, ok := c.find(section, key)
	if !ok {
		return
	}
	words := []string{"no", "false", "yes", "true"}
	i := slices.Index(words, e.value)
	if i < 0 {
		c.addFault(section, e, "is neither yes nor no", "write yes or no")
	}
	*dst = i >= 2
}

func (c *checker) readInt(section, key string, minimum, maximum int, dst *int) {
	e, ok := c.find(section, key)
	if !ok {
		return
	}
	n, err := strconv.Atoi(e.value)
	if err != nil || n < minimum || n > maximum {
		c.addFault(section, e, "is not a number from "+strconv.Itoa(minimum)+" to "+strconv.Itoa(maximum), "write for example "+strconv.Itoa(maximum))
		return
	}
	*dst = n
}

func (c *checker) readDuration(section, key string, dst *time.Duration) {
	e, ok := c.find(section, key)
	if !ok {
		return
	}
	d, err := time.ParseDuration(e.value)
	if err != nil || d <= 0 {
		c.addFault(section, e, "is not a duration above 0", "write for example 6s or 400ms")
		return
	}
	*dst = d
}

func (c *checker) readFactor(section, key string, dst *float64) {
	e, ok := c.find(section, key)
	if !ok {
		return
	}
	f, err := strconv.ParseFloat(e.value, 64)
	if err != nil || f < 1 {
		c.addFault(section, e, "is not a number of 1 or more", "write for example 3")
		return
	}
	*dst = f
}
