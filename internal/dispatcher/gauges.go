package dispatcher

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"carawayshift.example/carawayshift"
)

// gaugeEvery is the interval at which gauges follow the state; the platform
// fetches metrics every 5 s.
const gaugeEvery = time.Second

// gauges shows the leader's view of queues, runners and teams. On a host that
// does not lead they are 0.
type gauges struct {
	set   *metrics.Set
	shown map[string]bool
	at    time.Time
}

func newGauges(set *metrics.Set) *gauges { return &gauges{set: set, shown: map[string]bool{}} }

// follow shows a load, at most once an interval. known is the number of runners
// that have reported in this term, usable or not.
func (g *gauges) follow(l carawayshift.DispatchInput, known int) {
	if l.Now.Sub(g.at) < gaugeEvery {
		return
	}
	g.at = l.Now
	g.show(gaugeValues(l, known))
}

// show sets gauges, and those that were shown before and have no value to 0.
func (g *gauges) show(values map[string]float64) {
	for name := range g.shown {
		if _, ok := values[name]; !ok {
			g.set.GetOrCreateGauge(name, nil).Set(0)
		}
	}
	for name, v := range values {
		g.set.GetOrCreateGauge(name, nil).Set(v)
		g.shown[name] = true
	}
}

func gaugeValues(l carawayshift.DispatchInput, known int) map[string]float64 {
	v := map[string]float64{
		`carawayshift_runners{state="usable"}`:   float64(len(l.Agents)),
		`carawayshift_runners{state="unusable"}`: float64(known - len(l.Agents)),
		`carawayshift_runs_open`:                 float64(len(l.OpenRuns)),
	}
	for _, d := range l.Demands {
		v[fmt.Sprintf(`carawayshift_tasks_waiting{queue=%q}`, d.Queue.Name)] += float64(len(d.Indexes))
		oldest := fmt.Sprintf(`carawayshift_oldest_waiting_seconds{queue=%q}`, d.Queue.Name)
		v[oldest] = max(v[oldest], l.Now.Sub(d.Accepted).Seconds())
	}
	for _, h := range l.OpenRuns {
		v[fmt.Sprintf(`carawayshift_accelerators_held{team=%q}`, h.Team)] += float64(h.Requirements.Accelerators)
	}
	for team, n := range l.Guarantees {
		v[fmt.Sprintf(`carawayshift_accelerators_guaranteed{team=%q}`, team)] = float64(n)
	}
	return v
}
