package caller

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"carawayshift.example/carawayshift"
)

type stats struct {
	set                *metrics.Set
	answers            *metrics.Counter
	sends              *metrics.Counter
	retries            *metrics.Counter
	forwards           *metrics.Counter
	exhausted          *metrics.Counter
	shed               *metrics.Counter
	crossRegionRefused *metrics.Counter
	replayed           *metrics.Counter
	duration           *metrics.Histogram
	wait               *metrics.Histogram
}

func newStats(s *metrics.Set) *stats {
	return &stats{
		set:                s,
		answers:            s.GetOrCreateCounter("carawayshift_caller_answers_total"),
		sends:              s.GetOrCreateCounter("carawayshift_caller_sends_total"),
		retries:            s.GetOrCreateCounter("carawayshift_caller_retries_total"),
		forwards:           s.GetOrCreateCounter("carawayshift_caller_forwards_total"),
		exhausted:          s.GetOrCreateCounter("carawayshift_caller_retry_budget_exhausted_total"),
		shed:               s.GetOrCreateCounter("carawayshift_caller_shed_total"),
		crossRegionRefused: s.GetOrCreateCounter("carawayshift_caller_region_budget_exhausted_total"),
		replayed:           s.GetOrCreateCounter("carawayshift_caller_replayed_total"),
		duration:           s.GetOrCreateHistogram("carawayshift_caller_duration_seconds"),
		wait:               s.GetOrCreateHistogram("carawayshift_caller_queue_seconds"),
	}
}

func (s *stats) refused(kind carawayshift.Kind) *metrics.Counter {
	return s.set.GetOrCreateCounter(fmt.Sprintf("carawayshift_caller_refusals_total{kind=%q}", kind))
}
