package settings

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Fault is an error in a settings file.
type Fault struct {
	Section string
	Key     string
	Value   string
	// Line counts from 1; it is 0 when the section or key is missing.
	Line   int
	Text   string
	Remedy string
}

func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	switch {
	case f.Key != "" && f.Value != "":
		fmt.Fprintf(&b, "%s = %q ", f.Key, f.Value)
	case f.Value != "":
		fmt.Fprintf(&b, "%q ", f.Value)
	case f.Key != "":
		fmt.Fprintf(&b, "%s ", f.Key)
	}
	fmt.Fprintf(&b, "%s; %s", f.Text, f.Remedy)
	return b.String()
}

// Faults contains all faults of a file, ordered by line.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return fmt.Sprintf("%d faults in the settings:\n%s", len(f), strings.Join(lines, "\n"))
}

// knownKeys lists the keys of each section. A section with a nil list accepts
// any key.
var knownKeys = map[string][]string{
	"host":     {"name", "zone", "region", "addresses"},
	"listen":   {"http", "operators", "peers", "entry", "ready", "control", "metrics"},
	"tls":      {"ca", "cert", "key"},
	"control":  {"data"},
	"requests": {"body", "queue", "deadline"},
	"log":      {"level", "format"},
	"zones":    nil,
	"peers":    nil,
	"join":     {"seeds", "first", "losses"},
	"runners":  {"lease", "outage", "heartbeat", "stop", "remote", "reclaim", "notice", "upkeep", "speeds"},
	"batches":  {"keep", "shortage"},
	"limits":   {"memory", "files", "bodies", "connections", "headers", "stall", "pace"},
	"services": {"machines", "advice"},
}

type entry struct {
	key, value string
	line       int
}

// checker converts the entries of a file to Settings and collects the faults.
type checker struct {
	sections map[string][]entry
	faults   Faults
}

// scan parses a file line by line, because ini.v1 reports neither the line
// numbers of keys nor more than one syntax error. Values can't span lines.
func scan(b []byte) *checker {
	c := &checker{sections: map[string][]entry{}}
	section := ""
	for i, line := range bytes.Split(b, []byte("\n")) {
		f, err := ini.LoadSources(ini.LoadOptions{
			IgnoreContinuation:       true,
			SpaceBeforeInlineComment: true,
			KeyValueDelimiters:       "=",
		}, line)
		if err != nil {
			c.addFault(section, entry{value: strings.TrimSpace(string(line)), line: i + 1}, "can't be read", "write [section] or key = value on one line")
			continue
		}
		section = c.scanLine(f, section, i+1)
	}
	return c
}

func (c *checker) scanLine(f *ini.File, section string, line int) string {
	for _, name := range f.SectionStrings() {
		if name != ini.DefaultSection {
			c.openSection(name, line)
			return name
		}
	}
	for _, k := range f.Section("").Keys() {
		c.addEntry(section, entry{key: k.Name(), value: k.Value(), line: line})
	}
	return section
}

func (c *checker) openSection(name string, line int) {
	if _, ok := knownKeys[name]; !ok {
		c.addFault(name, entry{line: line}, "unknown section", "use one of "+strings.Join(sectionNames(), ", "))
	}
	if _, ok := c.sections[name]; ok {
		c.addFault(name, entry{line: line}, "section appears twice", "merge both into one")
	}
	c.sections[name] = append(c.sections[name], entry{line: line})
}

func (c *checker) addEntry(section string, e entry) {
	keys, ok := knownKeys[section]
	switch {
	case section == "":
		c.addFault(section, e, "key before the first section", "move it below a section header")
		return
	case !ok:
		return
	case keys != nil && !slices.Contains(keys, e.key):
		c.addFault(section, e, "unknown key", "use one of "+strings.Join(keys, ", "))
		return
	}
	if old, ok := c.find(section, e.key); ok {
		c.addFault(section, e, fmt.Sprintf("key appears twice, first on line %d", old.line), "remove one of the two")
		return
	}
	c.sections[section] = append(c.sections[section], e)
}

func (c *checker) find(section, key string) (entry, bool) {
	for _, e := range c.sections[section] {
		if e.key == key {
			return e, true
		}
	}
	return entry{}, false
}

// entries returns the entries of a section, without its headers.
func (c *checker) entries(section string) []entry {
	var out []entry
	for _, e := range c.sections[section] {
		if e.key != "" {
			out = append(out, e)
		}
	}
	return out
}

func (c *checker) addFault(section string, e entry, text, remedy string) {
	c.faults = append(c.faults, Fault{Section: section, Key: e.key, Value: e.value, Line: e.line, Text: text, Remedy: remedy})
}

func (c *checker) sortedFaults() Faults {
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return a.Line - b.Line })
	return c.faults
}

func sectionNames() []string {
	var out []string
	for name := range knownKeys {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
