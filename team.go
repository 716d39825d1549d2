package carawayshift

// CellCount is a number of accelerator cells of one size, written "2x8" for
// two cells of eight accelerators. Size is a power of two.
type CellCount struct {
	Count int `cbor:"1,keyasint" json:"count"`
	Size  int `cbor:"2,keyasint" json:"size"`
}

// Team is a tenant with a guaranteed share of accelerators.
type Team struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Guarantee lists the cells that the team can always reclaim.
	Guarantee []CellCount `cbor:"2,keyasint,omitempty" json:"guarantee,omitempty"`
	// RateLimit is the number of requests per second that one entry host admits
	// for the team; 0 is no limit.
	RateLimit int `cbor:"3,keyasint,omitempty" json:"limit,omitempty"`
	// RunTimeRatio is the observed mean of actual to declared run time of the team's
	// finished jobs; 0 means that nothing was observed yet.
	RunTimeRatio float64 `cbor:"4,keyasint,omitempty" json:"ratio,omitempty"`
}

// Accelerators returns the number of accelerators in the guarantee.
func (t Team) Accelerators() int {
	n := 0
	for _, c := range t.Guarantee {
		n += c.Count * c.Size
	}
	return n
}
