package transport

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/pki"
)

// start runs a mesh and returns the function that ends it and waits.
func start(m *Mesh) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func echo(_ context.Context, from string, body []byte) ([]byte, error) {
	return append([]byte(from+":"), body...), nil
}

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

func TestCallCarriesNamesBodiesAndKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDeployment(t, 20*time.Millisecond, "a1", "b1")
		a, b := d.mesh("a1", d.ca), d.mesh("b1", d.ca)
		b.Handle("test.echo", echo)
		b.Handle("test.limited", func(context.Context, string, []byte) ([]byte, error) {
			return nil, errors.Wrap(carawayshift.NewError(carawayshift.Limited, "full", "wait"), "test")
		})
		b.Handle("test.plain", func(context.Context, string, []byte) ([]byte, error) { return nil, errors.New("broken") })
		defer start(a)()
		defer start(b)()

		out, err := a.Call(within(time.Second), "b1", "test.echo", []byte("x"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(out)).To(Equal("a1:x"))
		big := bytes.Repeat([]byte("y"), 1<<20)
		out, err = a.Call(within(5*time.Second), "b1", "test.echo", big)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out).To(HaveLen(len(big) + 3))

		_, err = a.Call(within(time.Second), "b1", "test.limited", nil)
		g.Expect(err).To(MatchError("limited: full; wait"))
		_, err = a.Call(within(time.Second), "b1", "test.plain", nil)
		g.Expect(carawayshift.KindOf(err)).To(Equal(carawayshift.OutcomeUnknown))
		for _, host := range []string{"b1", "c1"} {
			_, err = a.Call(within(time.Second), host, "test.absent", nil)
			g.Expect(carawayshift.KindOf(err)).To(Equal(carawayshift.NotRun))
		}
		_, err = a.Call(within(time.Second), "b1", "test.echo", make([]byte, maxFrame))
		g.Expect(carawayshift.KindOf(err)).To(Equal(carawayshift.NotRun))
	})
}

// Guards against an error that says NotRun although the handler ran.
func TestNotRunIsTrueUnderLossAndCuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDeployment(t, 20*time.Millisecond, "a1", "b1")
		d.net.loss = 0.1
		a, b := d.mesh("a1", d.ca), d.mesh("b1", d.ca)
		var ran sync.Map
		b.Handle("test.mark", func(_ context.Context, _ string, body []byte) ([]byte, error) {
			ran.Store(string(body[:8]), true)
			return nil, nil
		})
		defer start(a)()
		defer start(b)()
		ends := map[carawayshift.Kind]int{}
		for i := range 400 {
			d.net.setCut("a1", "b1", i%40 > 35)
			d.net.setCut("b1", "a1", i%40 > 30)
			body := make([]byte, 8+i*300%100_000)
			copy(body, []byte{byte(i), byte(i >> 8)})
			_, err := a.Call(within(time.Duration(20+i*7%600)*time.Millisecond), "b1", "test.mark", body)
			ends[carawayshift.KindOf(err)]++
			time.Sleep(time.Second)
			synctest.Wait()
			_, run := ran.Load(string(body[:8]))
			if err == nil {
				g.Expect(run).To(BeTrue())
			}
			if carawayshift.KindOf(err) == carawayshift.NotRun {
				g.Expect(run).To(BeFalse(), "call %d", i)
			}
		}
		t.Log(ends)
		g.Expect(ends).To(And(HaveKey(carawayshift.NotRun), HaveKey(carawayshift.OutcomeUnknown), HaveKey(carawayshift.Kind(""))))
	})
}

// Guards against a mesh that serves a peer whose certificate is of another
// authority, or names no host of the deployment.
func TestStrangersGetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDeployment(t, time.Millisecond, "a1", "a2", "b1")
		other, err := pki.New()
		g.Expect(err).NotTo(HaveOccurred())
		served := 0
		b := d.mesh("b1", d.ca)
		b.Handle("test.echo", func(context.Context, string, []byte) ([]byte, error) { served++; return nil, nil })
		defer start(b)()
		for _, m := range []*Mesh{d.mesh("a1", other), d.mesh("c9", d.ca)} {
			_, err := m.Call(within(2*time.Second), "b1", "test.echo", nil)
			g.Expect(err).To(HaveOccurred())
			g.Expect(m.Close()).To(Succeed())
		}
		g.Expect(served).To(BeZero())
		g.Expect(b.cfg.Metrics.GetOrCreateCounter("carawayshift_mesh_peers_refused_total").Get()).To(BeEquivalentTo(1))
	})
}

// Guards against frames that are served, or dropped without a count.
func TestWrongFramesAreCounted(t *testing.T) {
	good, err := encodeFrame([]byte{0xa0})
	if err != nil {
		t.Fatal(err)
	}
	change := func(i int, v byte) []byte {
		b := bytes.Clone(good)
		b[i] = v
		return b
	}
	tests := []struct {
		reason string
		frame  []byte
	}{
		{"too long", change(0, 0xff)},
		{"unknown version", change(4, 9)},
		{"wrong checksum", change(5, good[5]^1)},
		{"wrong checksum", change(headerSize, 0xa1)},
		{"trailing bytes", append(bytes.Clone(good), 0)},
		{"cut short", good[:headerSize]},
		{"unreadable payload", mustFrame(t, []byte("?"))},
	}
	for _, tt := range tests {
		t.Run(tt.reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := newDeployment(t, time.Millisecond, "a1", "b1")
				a, b := d.mesh("a1", d.ca), d.mesh("b1", d.ca)
				defer start(a)()
				defer start(b)()
				conn, err := a.connect(within(time.Second), a.peers["b1"])
				g.Expect(err).NotTo(HaveOccurred())
				_, err = a.exchange(within(time.Second), a.peers["b1"], conn, tt.frame)
				g.Expect(err).To(MatchError(ContainSubstring("frame refused: " + tt.reason)))
				name := `carawayshift_mesh_frames_refused_total{peer="a1",reason="` + tt.reason + `"}`
				g.Expect(b.cfg.Metrics.GetOrCreateCounter(name).Get()).To(BeEquivalentTo(1))
			})
		})
	}
}

func mustFrame(t *testing.T, payload []byte) []byte {
	b, err := encodeFrame(payload)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against calls that wait for QUIC's idle timeout after a crash, a
// restart or a cut that healed.
func TestReconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDeployment(t, 20*time.Millisecond, "a1", "b1")
		a := d.mesh("a1", d.ca)
		defer start(a)()
		b := d.mesh("b1", d.ca)
		b.Handle("test.echo", echo)
		stop := start(b)
		call := func() error {
			_, err := a.Call(within(2*time.Second), "b1", "test.echo", nil)
			return err
		}
		g.Expect(call()).To(Succeed())

		d.net.setCut("b1", "a1", true) // b1's farewell is lost: a crash for a1
		stop()
		g.Expect(carawayshift.KindOf(call())).To(Equal(carawayshift.OutcomeUnknown))
		d.net.setCut("b1", "a1", false)
		b = d.mesh("b1", d.ca)
		b.Handle("test.echo", echo)
		defer start(b)()
		began := time.Now()
		for call() != nil {
			time.Sleep(50 * time.Millisecond)
		}
		t.Log("calls work again after a restart in", time.Since(began))
		g.Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))

		d.net.setCut("a1", "b1", true)
		for range 10 {
			g.Expect(call()).NotTo(Succeed())
		}
		d.net.setCut("a1", "b1", false)
		began = time.Now()
		for call() != nil {
			time.Sleep(50 * time.Millisecond)
		}
		t.Log("calls work again after a cut in", time.Since(began))
		g.Expect(time.Since(began)).To(BeNumerically("<=", backoffMax+time.Second))
	})
}

// Guards against a call that waits for its deadline because the peer, which
// crashed and restarted, does not say that it lost the connection.
func TestRestartedPeerResets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDeployment(t, 20*time.Millisecond, "a1", "b1")
		cert, err := d.ca.Certificate("b1", nil)
		g.Expect(err).NotTo(HaveOccurred())
		a, b := d.mesh("a1", d.ca), d.meshWith("b1", cert)
		b.Handle("test.echo", echo)
		defer start(a)()
		stop := start(b)
		_, err = a.Call(within(time.Second), "b1", "test.echo", nil)
		g.Expect(err).NotTo(HaveOccurred())
		d.net.setCut("b1", "a1", true)
		stop()
		time.Sleep(time.Second)
		d.net.setCut("b1", "a1", false)
		defer start(d.meshWith("b1", cert))()
		began := time.Now()
		_, err = a.Call(within(time.Minute), "b1", "test.echo", nil)
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})
}
