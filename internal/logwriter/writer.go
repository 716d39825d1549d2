// Package logwriter writes log lines to an output that may be slow without
// blocking the code that logs.
//
// # Usage
//
//	w := logwriter.New(os.Stdout, logwriter.Config{})
//	logger.SetOutput(w)
//	defer w.Close()
//
// Lines are buffered in a bounded queue and written by a separate goroutine. A
// line is dropped when the queue is full, by lines or by bytes, or when the number of
// lines within a second exceeds the limit. Dropped lines are counted; once a second, if there
// were any, a line with their number is written.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Config holds the limits of a Writer. Zero values select the defaults.
type Config struct {
	// Queue is the maximum number of buffered lines. Default 4096.
	Queue int
	// Bytes is the maximum size of the buffered lines: clients choose the length of paths
	// and names that are logged. Default 2 MB.
	Bytes int64
	// PerSecond is the maximum number of lines accepted in a second. Default
	// 2000: about 5% of a core at 25 us per line.
	PerSecond int
	// Dropped counts the dropped lines; nil for none.
	Dropped *metrics.Counter
}

const (
	defaultQueue     = 4096
	defaultBytes     = 2 << 20
	defaultPerSecond = 2000
)

// Writer is an io.Writer that never blocks.
type Writer struct {
	cfg       Config
	out       io.Writer
	lines     chan []byte
	done      chan struct{}
	closeOnce sync.Once

	dropped atomic.Int64
	// queued is the size of the buffered lines in bytes.
	queued atomic.Int64

	mu          sync.Mutex
	windowStart time.Time
	windowLines int
}

// New returns a writer to out and starts its goroutine, which Close stops.
func New(out io.Writer, cfg Config) *Writer {
	if cfg.Queue == 0 {
		cfg.Queue = defaultQueue
	}
	if cfg.Bytes == 0 {
		cfg.Bytes = defaultBytes
	}
	if cfg.PerSecond == 0 {
		cfg.PerSecond = defaultPerSecond
	}
	w := &Writer{cfg: cfg, out: out, lines: make(chan []byte, cfg.Queue), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues or drops one line. It never blocks and never returns an error.
func (w *Writer) Write(b []byte) (int, error) {
	if !w.admit() || !w.enqueue(b) {
		w.countDropped()
	}
	return len(b), nil
}

// enqueue reports whether there was room for a copy of the line.
func (w *Writer) enqueue(b []byte) bool {
	size := int64(len(b))
	if w.queued.Add(size) <= w.cfg.Bytes {
		select {
		case w.lines <- append([]byte(nil), b...):
			return true
		default:
		}
	}
	w.queued.Add(-size)
	return false
}

// admit counts a line and reports whether it is within the limit of the current
// second.
func (w *Writer) admit() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(w.windowStart) >= time.Second {
		w.windowStart, w.windowLines = now, 0
	}
	w.windowLines++
	return w.windowLines <= w.cfg.PerSecond
}

func (w *Writer) countDropped() {
	w.dropped.Add(1)
	if w.cfg.Dropped != nil {
		w.cfg.Dropped.Inc()
	}
}

// Close writes the buffered lines and stops the goroutine.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { w.lines <- nil })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case b := <-w.lines:
			if b == nil {
				w.reportDropped()
				return
			}
			// An error of the log output can't be logged.
			_, _ = w.out.Write(b)
			w.queued.Add(-int64(len(b)))
		case <-ticker.C:
			w.reportDropped()
		}
	}
}

// reportDropped writes the number of lines dropped since the previous call, if any.
func (w *Writer) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"event\":\"lines dropped\",\"level\":\"warning\",\"msg\":\"log lines were dropped\",\"lines\":%d}\n", n)
	}
}
