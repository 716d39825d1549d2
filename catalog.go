package carawayshift

import "time"

// Catalog is the configuration that operators replace as a whole: queues,
// the services behind them, and the teams' keys and guarantees.
type Catalog struct {
	// Number is the operators' version; the highest one is in force.
	Number   uint64        `cbor:"1,keyasint" json:"number"`
	Queues   []Queue       `cbor:"2,keyasint" json:"queues"`
	Services []Service     `cbor:"3,keyasint" json:"services"`
	Teams    []CatalogTeam `cbor:"4,keyasint" json:"members"`
	Limits   RequestLimits `cbor:"5,keyasint" json:"limits"`
	// Source is the text as it was sent, which reads return.
	Source []byte `cbor:"6,keyasint" json:"-"`
}

// Queue accepts batches whose host and path prefix match.
type Queue struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Host    string `cbor:"2,keyasint" json:"host"`
	Prefix  string `cbor:"3,keyasint" json:"prefix"`
	Service string `cbor:"4,keyasint" json:"service"`
	// Priority 0 is the highest and may preempt the others.
	Priority int `cbor:"5,keyasint,omitempty" json:"priority"`
	// MaxAttempts is the number of failed runs of a task after which its batch
	// fails.
	MaxAttempts int `cbor:"6,keyasint,omitempty" json:"attempts"`
	// Stretch and Latency define a batch's objective: Stretch times the length
	// of its critical path, plus Latency.
	Stretch float64       `cbor:"7,keyasint,omitempty" json:"stretch"`
	Latency time.Duration `cbor:"8,keyasint,omitempty" json:"latency"`
	// Timeout limits the duration of one request of a caller.
	Timeout time.Duration `cbor:"9,keyasint,omitempty" json:"timeout"`
	// Public queues need no key.
	Public bool `cbor:"10,keyasint,omitempty" json:"public,omitempty"`
	// Advised queues need a ticket for each step and runner.
	Advised bool `cbor:"11,keyasint,omitempty" json:"advised,omitempty"`
}

// Service is a pool of runners.
type Service struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Guarded runners refuse tasks that do not fit on them.
	Guarded bool `cbor:"2,keyasint,omitempty" json:"guarded,omitempty"`
	// Standby machines are switched off.
	Standby bool `cbor:"3,keyasint,omitempty" json:"standby,omitempty"`
	// Connections is the number of connections that a runner accepts.
	Connections int `cbor:"4,keyasint,omitempty" json:"connections,omitempty"`
}

// CatalogTeam is a team's entry in the catalog.
type CatalogTeam struct {
	Team string   `cbor:"1,keyasint" json:"team"`
	Keys []string `cbor:"2,keyasint,omitempty" json:"-"`
	// Guarantee is the number of accelerators that belong to the team's
	// batches of priority 0.
	Guarantee int `cbor:"3,keyasint,omitempty" json:"guarantee"`
	// Cap limits what the team's runs may use at the same time on all runners.
	Cap Resources `cbor:"4,keyasint,omitempty" json:"cap"`
	// Weight is the team's share, in batches per second, while all runners are in
	// use. What it submits beyond that has Batch.Excess; 0 if the team has no weight.
	Weight float64 `cbor:"5,keyasint,omitempty" json:"weight,omitempty"`
}

// Resources is an amount of runners' resources. In a limit, 0 means that the
// resource is not limited.
type Resources struct {
	// MilliCores is in thousandths of a core, Memory in MB.
	MilliCores   int `cbor:"1,keyasint,omitempty" json:"millicores,omitempty"`
	Memory       int `cbor:"2,keyasint,omitempty" json:"memory,omitempty"`
	Accelerators int `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"`
}

// RequestLimits bound the callers' requests.
type RequestLimits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint,omitempty" json:"header"`
	MaxBodyBytes   int           `cbor:"2,keyasint,omitempty" json:"body"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint,omitempty" json:"headertimeout"`
	IdleTimeout    time.Duration `cbor:"4,keyasint,omitempty" json:"idletimeout"`
}
