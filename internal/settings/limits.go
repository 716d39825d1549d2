package settings

import "time"

const (
	minFiles       = 64
	maxFiles       = 1 << 20
	minConnections = 8
	maxConnections = 1 << 20
	// minHeaders and minBodies leave a client room that stays inside the limits of
	// requests.
	minHeaders = 1 << 10
	maxHeaders = 1 << 20
	minBodies  = 1 << 20
	maxStall   = 10 * time.Minute
)

// readLimits reads the resource limits. A key with an empty value counts as missing,
// since a template may have nothing to fill in.
func (c *checker) readLimits(l *Limits) {
	c.readSize("memory", 1, 0, "256MB", &l.Memory)
	c.readSize("bodies", minBodies, 0, "64MB", &l.Bodies)
	c.readSize("pace", 1, 0, "8KB", &l.Pace)
	headers := int64(l.Headers)
	c.readSize("headers", minHeaders, maxHeaders, "20KB", &headers)
	l.Headers = int(headers)
	c.readCount("files", minFiles, maxFiles, &l.Files)
	c.readCount("connections", minConnections, maxConnections, &l.Connections)
	c.readDuration("limits", "stall", &l.Stall)
	if l.Stall > maxStall {
		e, _ := c.find("limits", "stall")
		c.addFault("limits", e, "is more than 10m", "write for example 10s")
	}
}

// readSize reads a size of the section [limits]. A maximum of 0 means none.
func (c *checker) readSize(key string, minimum, maximum int64, example string, dst *int64) {
	e, ok := c.find("limits", key)
	if !ok || e.value == "" {
		return
	}
	n, err := parseSize(e.value)
	switch {
	case err != nil || n < 1:
		c.addFault("limits", e, "is not a size", "write for example "+example)
	case n < minimum || maximum > 0 && n > maximum:
		c.addFault("limits", e, "is out of range", "write for example "+example)
	default:
		*dst = n
	}
}

func (c *checker) readCount(key string, minimum, maximum int, dst *int) {
	if e, ok := c.find("limits", key); !ok || e.value == "" {
		return
	}
	c.readInt("limits", key, minimum, maximum, dst)
}
