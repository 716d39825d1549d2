// Package shortage decides what gives way when there is less room than work: what is
// delayed, stopped or turned away is what costs callers least by its priority, its
// deadline and the work that it needs.
//
// # Usage
//
//	p := shortage.New(shortage.Config{})
//	first := p.Promoted(now, demands)        // what has waited for too long
//	c := p.Compare(now, a, b)                // which of two demands goes first
//	after, ok := p.Admit(input, demand)      // whether accepting a batch is of use
//
// All methods are pure functions of their arguments. They decide only within what the
// caller leaves open: guarantees, caps, whole gangs and limits of unavailable tasks come
// first.
//
// Within a priority, demands come first that must start soon to meet their objective,
// those that need the least work before the others: the same room then serves most
// callers in time. Next come those that have time, by the latest start with which they
// meet their objective, then late ones, and last those that have passed lateFactor times
// their objective. Less urgent gangs that have time leave a share of the runners empty, so that urgent
// batches start at once and stop nothing.
//
// A demand that has waited for Config.MaxWait, and for starvingFactor times its objective,
// goes before all others that have no guarantee, one of each team at a time, so that none
// waits for good.
package shortage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/speed"
)

// Config holds the parameters of a Policy. Zero values select the defaults.
type Config struct {
	// MaxWait is how long a demand may be passed over by others at least. Default 1
	// minute.
	MaxWait time.Duration
	// Headroom is the share of all runners that less urgent gangs leave empty for urgent
	// work to come, while they have time. Default 0.15; a negative value disables the
	// rule.
	Headroom float64
	// UnevenOnly limits the policy to deployments with uneven teams or runners, see
	// Policy.Applies.
	UnevenOnly bool
}

const (
	// unevenFactor is how many times the median guarantee the largest one is at least
	// where teams are uneven.
	unevenFactor    = 4
	defaultMaxWait  = time.Minute
	defaultHeadroom = 0.15
	// lateFactor is the multiple of its objective after which a batch is of no use to
	// its caller.
	lateFactor = 3
	// starvingFactor is the multiple of its objective after which a demand is not passed
	// over any more.
	starvingFactor = 6
	// pressingShare is the slack below which a demand must start soon, as a share of
	// the time that its queue allows for its tasks.
	pressingShare = 0.3
	// easyFactor is how many expected run times must be left until a demand misses its
	// objective for it to leave room to others.
	easyFactor = 2
	// acceleratorCores is the number of cores that an accelerator counts as.
	acceleratorCores = 8
)

// Policy orders demands and admits batches.
type Policy struct {
	cfg Config
}

// New returns a Policy.
func New(cfg Config) *Policy {
	if cfg.MaxWait == 0 {
		cfg.MaxWait = defaultMaxWait
	}
	if cfg.Headroom == 0 {
		cfg.Headroom = defaultHeadroom
	}
	return &Policy{cfg: cfg}
}

// Applies reports whether the policy is in force. With Config.UnevenOnly, it is for
// deployments where one team's bursts can take the room of all others, or where runners
// differ so much that most ends are later or sooner than expected. Elsewhere each team
// waits about as long for the others as they for it.
func (p *Policy) Applies(in carawayshift.DispatchInput) bool {
	return !p.cfg.UnevenOnly || unevenTeams(in.Guarantees) || speed.Uneven(in.Speeds, in.Agents)
}

// unevenTeams reports whether the largest guarantee is at least unevenFactor times the
// median one.
func unevenTeams(guarantees map[string]int) bool {
	list := slices.Sorted(maps.Values(guarantees))
	if len(list) < 2 {
		return false
	}
	return list[len(list)-1] >= unevenFactor*max(list[(len(list)-1)/2], 1)
}

// lateness tells how a demand stands to its objective.
type lateness int

const (
	pressing lateness = iota
	inTime
	late
	useless
)

// Compare orders two demands of the same priority.
func (p *Policy) Compare(now time.Time, a, b carawayshift.Demand) int {
	l := latenessOf(now, a)
	c := cmp.Compare(l, latenessOf(now, b))
	if c == 0 && l == inTime {
		c = latestStart(a).Compare(latestStart(b))
	}
	return cmp.Or(
		c,
		cmp.Compare(coreSeconds(a), coreSeconds(b)),
		a.Accepted.Compare(b.Accepted),
		cmp.Compare(a.Batch, b.Batch),
	)
}

func latenessOf(now time.Time, d carawayshift.Demand) lateness {
	if d.Requirements.LongRunning {
		return pressing // it is of use from any moment on
	}
	o := objective(d)
	slack := latestStart(d).Sub(now)
	switch {
	case now.After(d.Accepted.Add(lateFactor * o)):
		return useless
	case now.After(d.Accepted.Add(o)):
		return late
	case slack <= time.Duration(pressingShare*d.Queue.Stretch*float64(d.Expected)):
		return pressing
	}
	return inTime
}

// Late reports whether a demand has missed its objective, and whether it is also of no
// use to its caller any more.
func (p *Policy) Late(now time.Time, d carawayshift.Demand) (missed, last bool) {
	l := latenessOf(now, d)
	return l >= late, l == useless
}

// latestStart returns when the tasks must start so that the batch meets its objective.
func latestStart(d carawayshift.Demand) time.Time {
	return d.Accepted.Add(objective(d) - d.Expected)
}

// LeavesRoom reports whether a gang that is less urgent than other work waits so that
// empty runners are left for urgent work, which would otherwise have to stop others: while
// it has time and less than Config.Headroom of all runners would be empty.
func (p *Policy) LeavesRoom(now time.Time, d carawayshift.Demand, empty, runners int) bool {
	hasTime := d.Accepted.Add(objective(d)).Sub(now) >= easyFactor*d.Expected
	return hasTime && float64(empty) < p.cfg.Headroom*float64(runners)
}

// MayStop reports whether runs of others may be stopped for a demand without a guarantee:
// only if it can still meet its objective.
func (p *Policy) MayStop(now time.Time, d carawayshift.Demand) bool {
	return !now.After(latestStart(d))
}

// objective returns the time within which a demand's batch is to end. It is based on the
// expected run time instead of the declared one.
func objective(d carawayshift.Demand) time.Duration {
	declared := d.Due.Sub(d.Accepted)
	if d.Requirements.Declared <= 0 {
		return declared
	}
	chain := float64(declared - d.Queue.Latency)
	return time.Duration(chain*float64(d.Expected)/float64(d.Requirements.Declared)) + d.Queue.Latency
}

// coreSeconds returns the work of the waiting tasks of a demand.
func coreSeconds(d carawayshift.Demand) float64 {
	cores := float64(d.Requirements.MilliCores)/1000 + acceleratorCores*float64(d.Requirements.Accelerators)
	return cores * d.Expected.Seconds() * float64(len(d.Indexes))
}

// Overdue reports whether a step of a batch with an objective has been passed over for too
// long since it became ready.
func (p *Policy) Overdue(now, ready time.Time, objective time.Duration) bool {
	return now.Sub(ready) >= max(p.cfg.MaxWait, starvingFactor*objective)
}

// Promoted returns the indexes of the demands that go before all others without a
// guarantee: of each team the one that has waited longest, if it is overdue.
func (p *Policy) Promoted(now time.Time, demands []carawayshift.Demand) []int {
	oldest := map[string]int{}
	for i, d := range demands {
		if !p.Overdue(now, d.Ready, d.Due.Sub(d.Accepted)) {
			continue
		}
		if o, ok := oldest[d.Team]; !ok || d.Ready.Before(demands[o].Ready) {
			oldest[d.Team] = i
		}
	}
	return slices.Sorted(maps.Values(oldest))
}
