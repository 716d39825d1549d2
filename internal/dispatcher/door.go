package dispatcher

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/batch"
)

const (
	// maxDoorAge is the age of the last plan from which batches are admitted without
	// regard to it. It is above the longest interval between two plans.
	maxDoorAge = 2 * time.Second
	// rejectionLogInterval is the minimum time between two log lines about rejections.
	rejectionLogInterval = time.Second
)

// door rejects batches for which there is too little room, by the last plan of the term
// in which this host leads.
type door struct {
	cfg   Config
	input atomic.Pointer[carawayshift.DispatchInput]
	// logged is when a rejection was last logged, in nanoseconds; unlogged counts those
	// since then.
	logged, unlogged atomic.Int64
}

func newDoor(cfg Config) *door { return &door{cfg: cfg} }

// update sets the input of the last plan, nil while this host does not lead.
func (o *door) update(in *carawayshift.DispatchInput) {
	if o.cfg.Shortage != nil {
		o.input.Store(in)
	}
}

// Admit returns an error of kind Limited for a batch that is not of use to its caller any
// more once there is room for it. Nothing is accepted then.
func (d *Dispatcher) Admit(b carawayshift.Batch) error {
	in := d.door.input.Load()
	now := time.Now()
	if d.cfg.Shortage == nil || in == nil || now.Sub(in.Now) > maxDoorAge || b.Repeat > 0 || !d.cfg.Shortage.Applies(*in) {
		return nil
	}
	demand := batch.FirstDemand(b, now)
	demand.Expected = d.runTimes.Estimate(b.Queue.Name, demand.Requirements.Declared)
	after, ok := d.cfg.Shortage.Admit(*in, demand)
	if ok {
		return nil
	}
	d.door.reject(b, after, now)
	seconds := strconv.Itoa(int(after.Seconds()))
	return &carawayshift.Error{
		Kind: carawayshift.Limited, Text: "queue " + b.Queue.Name + " has too little room: the batch would end later than its caller can use it",
		Remedy: "nothing has run; send it again in " + seconds + " s", RetryAfter: after,
	}
}

// reject counts a rejection, and logs one per rejectionLogInterval.
func (o *door) reject(b carawayshift.Batch, after time.Duration, now time.Time) {
	o.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(`carawayshift_batches_rejected_total{queue=%q}`, b.Queue.Name)).Inc()
	last := o.logged.Load()
	if now.UnixNano()-last < int64(rejectionLogInterval) || !o.logged.CompareAndSwap(last, now.UnixNano()) {
		o.unlogged.Add(1)
		return
	}
	o.cfg.Logger.WithFields(logrus.Fields{
		"event": "rejected", "batch": b.ID, "team": b.Team, "queue": b.Queue.Name, "retryafter": after.String(), "unlogged": o.unlogged.Swap(0),
	}).Info("batch rejected: there is too little room for it")
}
