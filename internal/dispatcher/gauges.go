package dispatcher

import (
	"fmt"
	"maps"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/speed"
)

// gaugeInterval is the update interval of the gauges; the platform fetches
// metrics every 5 s.
const gaugeInterval = time.Second

// gauges exports the leader's view of queues, runners and teams as metrics. On
// a host that does not lead, all of them are 0.
type gauges struct {
	set       *metrics.Set
	published map[string]bool
	updated   time.Time
	// speeds may be nil.
	speeds *speed.Estimator
}

func newGauges(set *metrics.Set) *gauges { return &gauges{set: set, published: map[string]bool{}} }

// update sets the gauges from the planner's input, at most once per
// gaugeInterval. known is the number of runners that have reported in this
// term, usable or not.
func (g *gauges) update(in carawayshift.DispatchInput, known int) {
	if in.Now.Sub(g.updated) < gaugeInterval {
		return
	}
	g.updated = in.Now
	values := gaugeValues(in, known)
	maps.Copy(values, speedGauges(g.speeds, in.Now))
	g.publish(values)
}

// publish sets the gauges to values. Gauges that were set before and are not in
// values become 0.
func (g *gauges) publish(values map[string]float64) {
	for name := range g.published {
		if _, ok := values[name]; !ok {
			g.set.GetOrCreateGauge(name, nil).Set(0)
		}
	}
	for name, v := range values {
		g.set.GetOrCreateGauge(name, nil).Set(v)
		g.published[name] = true
	}
}

func gaugeValues(in carawayshift.DispatchInput, known int) map[string]float64 {
	v := map[string]float64{
		`carawayshift_runners{state="usable"}`:   float64(len(in.Agents)),
		`carawayshift_runners{state="unusable"}`: float64(known - len(in.Agents)),
		`carawayshift_runs_open`:                 float64(len(in.OpenRuns)),
	}
	for _, d := range in.Demands {
		v[fmt.Sprintf(`carawayshift_tasks_waiting{queue=%q}`, d.Queue.Name)] += float64(len(d.Indexes))
		oldest := fmt.Sprintf(`carawayshift_oldest_waiting_seconds{queue=%q}`, d.Queue.Name)
		v[oldest] = max(v[oldest], in.Now.Sub(d.Accepted).Seconds())
	}
	for _, o := range in.OpenRuns {
		v[fmt.Sprintf(`carawayshift_accelerators_held{team=%q}`, o.Team)] += float64(o.Requirements.Accelerators)
	}
	for team, limit := range in.Caps {
		addResources(v, "carawayshift_team_cap", team, limit)
		addResources(v, "carawayshift_team_in_use", team, in.InUse[team])
	}
	for _, d := range in.Demands {
		if _, ok := in.Caps[d.Team]; ok {
			v[fmt.Sprintf(`carawayshift_team_tasks_waiting{team=%q}`, d.Team)] += float64(len(d.Indexes))
		}
	}
	for team, n := range in.Guarantees {
		v[fmt.Sprintf(`carawayshift_accelerators_guaranteed{team=%q}`, team)] = float64(n)
	}
	return v
}

// addResources adds a gauge for each resource of a team.
func addResources(v map[string]float64, name, team string, r carawayshift.Resources) {
	v[fmt.Sprintf(`%s{team=%q,resource="cores"}`, name, team)] = float64(r.MilliCores)
	v[fmt.Sprintf(`%s{team=%q,resource="memory"}`, name, team)] = float64(r.Memory)
	v[fmt.Sprintf(`%s{team=%q,resource="accelerators"}`, name, team)] = float64(r.Accelerators)
}
