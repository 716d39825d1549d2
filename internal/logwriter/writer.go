// Package logwriter carries log lines to a slow output without ever holding up
// the part that logs.
//
// # Usage
//
//	w := logwriter.New(os.Stdout, logwriter.Config{})
//	logger.SetOutput(w)
//	defer w.Close()
//
// Lines wait in a bounded queue and are written by a goroutine of their own. A
// line is dropped when the queue is full, or when more lines came within a
// second than the limit. Dropped lines are counted, and a line says how many
// once a second.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Config bounds a Writer. Zero values get the defaults.
type Config struct {
	// Queue is the number of lines that may wait. Default 4096.
	Queue int
	// PerSecond is the number of lines that are taken in a second. Default
	// 2000: about 5% of a core at 25 us a line.
	PerSecond int
	// Dropped counts the dropped lines; nil for none.
	Dropped *metrics.Counter
}

const (
	defaultQueue     = 4096
	defaultPerSecond = 2000
)

// Writer implements io.Writer.
type Writer struct {
	cfg   Config
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	once  sync.Once

	dropped atomic.Int64

	mu     sync.Mutex
	second time.Time
	taken  int
}

// New returns a writer to out. Close ends its goroutine.
func New(out io.Writer, cfg Config) *Writer {
	if cfg.Queue == 0 {
		cfg.Queue = defaultQueue
	}
	if cfg.PerSecond == 0 {
		cfg.PerSecond = defaultPerSecond
	}
	w := &Writer{cfg: cfg, out: out, lines: make(chan []byte, cfg.Queue), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(b []byte) (int, error) {
	if !w.admit() {
		w.drop()
		return len(b), nil
	}
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.drop()
	}
	return len(b), nil
}

// admit counts a line against the limit of its second.
func (w *Writer) admit() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(w.second) >= time.Second {
		w.second, w.taken = now, 0
	}
	w.taken++
	return w.taken <= w.cfg.PerSecond
}

func (w *Writer) drop() {
	w.dropped.Add(1)
	if w.cfg.Dropped != nil {
		w.cfg.Dropped.Inc()
	}
}

// Close writes what waits and ends the goroutine.
func (w *Writer) Close() {
	w.once.Do(func() { w.lines <- nil })
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
				w.report()
				return
			}
			// An output that fails has nowhere to report to.
			_, _ = w.out.Write(b)
		case <-ticker.C:
			w.report()
		}
	}
}

// report writes how many lines were dropped since the last report.
func (w *Writer) report() {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"event\":\"lines dropped\",\"level\":\"warning\",\"msg\":\"log lines were dropped\",\"lines\":%d}\n", n)
	}
}
