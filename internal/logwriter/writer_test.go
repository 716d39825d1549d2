package logwriter_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift/internal/logwriter"
)

// blockedOutput is an output whose Write blocks until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (o *blockedOutput) Write(b []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(b)
}

func TestWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewWithT(t)
		out := &blockedOutput{release: make(chan struct{})}
		w := logwriter.New(out, logwriter.Config{Queue: 4})
		start := time.Now()
		for i := range 100 {
			fmt.Fprintf(w, "line %d\n", i)
		}
		o.Expect(time.Since(start)).To(BeZero())
		close(out.release)
		w.Close()
		o.Expect(out.buf.String()).To(ContainSubstring(`"event":"lines dropped"`))
		kept := strings.Count(out.buf.String(), "line ")
		o.Expect(kept).To(BeNumerically("<=", 5))
		o.Expect(out.buf.String()).To(ContainSubstring(fmt.Sprintf(`"lines":%d`, 100-kept)))
	})
}

// Guards against clients whose long paths and names fill the memory of a host while its
// log output is slow.
func TestQueueIsBoundedByBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewWithT(t)
		out := &blockedOutput{release: make(chan struct{})}
		w := logwriter.New(out, logwriter.Config{Bytes: 10_000})
		long := strings.Repeat("x", 999) + "\n"
		for range 100 {
			fmt.Fprint(w, long)
		}
		close(out.release)
		synctest.Wait()
		fmt.Fprint(w, long)
		w.Close()
		o.Expect(strings.Count(out.buf.String(), long)).To(Equal(11), "ten, and one when there is room again")
		o.Expect(out.buf.String()).To(ContainSubstring(`"lines":90`))
	})
}

func TestLimitOfSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewWithT(t)
		var out bytes.Buffer
		w := logwriter.New(&out, logwriter.Config{PerSecond: 10})
		for range 3 {
			for range 30 {
				fmt.Fprintln(w, "x")
			}
			time.Sleep(1500 * time.Millisecond)
		}
		w.Close()
		o.Expect(strings.Count(out.String(), "x\n")).To(Equal(30))
		o.Expect(strings.Count(out.String(), `"lines":20`)).To(Equal(3))
	})
}

func BenchmarkWrite(b *testing.B) {
	w := logwriter.New(io.Discard, logwriter.Config{PerSecond: 1 << 30, Queue: 1 << 16})
	defer w.Close()
	line := []byte(strings.Repeat("x", 250) + "\n")
	for b.Loop() {
		_, _ = w.Write(line)
	}
}

func BenchmarkWriteDropped(b *testing.B) {
	w := logwriter.New(io.Discard, logwriter.Config{PerSecond: 1})
	defer w.Close()
	line := []byte(strings.Repeat("x", 250) + "\n")
	for b.Loop() {
		_, _ = w.Write(line)
	}
}
