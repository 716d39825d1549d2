package transport

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Dead and leaving hosts must be detected, a live host must not be reported
// missing under packet loss, and Since must be the time of the last contact.
func TestZoneMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDeployment(t, time.Millisecond, "a1", "a2", "a3", "b1")
		d.net.loss = 0.05
		a1, a2, a3 := d.mesh("a1", d.ca), d.mesh("a2", d.ca), d.mesh("a3", d.ca)
		defer startMesh(a1)()
		stop2, stop3 := startMesh(a2), startMesh(a3)
		for range 120 {
			time.Sleep(time.Second)
			for _, v := range a1.Members() {
				g.Expect(v.State).To(Or(Equal(Alive), Equal(Suspect)), v.Name)
			}
		}
		a3.Leave(context.Background())
		g.Expect(a1.Members()[1].State).To(Equal(Left))
		stop3()
		d.net.setBlocked("a2", "a1", true)
		stopped := time.Now()
		stop2()
		time.Sleep(missingAfter + time.Millisecond)
		gone := a1.Members()[0]
		g.Expect(gone.State).To(Equal(Missing))
		g.Expect(gone.Since).To(BeTemporally("~", stopped, pingInterval+pingTimeout))

		d.net.setBlocked("a2", "a1", false)
		defer startMesh(d.mesh("a2", d.ca))()
		defer startMesh(d.mesh("a3", d.ca))()
		time.Sleep(2*backoffMax + pingInterval)
		for _, v := range a1.Members() {
			g.Expect(v.State).To(Equal(Alive), v.Name)
			g.Expect(v.Since).To(BeZero())
		}
		a1.members.recordPing("a2", ping{Incarnation: gone.Incarnation, Leaving: true})
		g.Expect(a1.Members()[0].State).To(Equal(Alive), "delayed ping of the previous incarnation")
		g.Expect(a1.Remote()).To(HaveLen(1))
	})
}

// Heartbeats, probes and keep-alive packets must stay within the control
// overhead of 3 KB/s per node.
func TestIdleCost(t *testing.T) {
	tests := []struct {
		name   string
		a, b   string
		silent bool
		limit  float64
	}{
		{"keep-alive only", "a1", "b1", true, 5},
		{"two zones", "a1", "b1", false, 150},
		{"one zone", "a1", "a2", false, 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := newDeployment(t, 20*time.Millisecond, tt.a, tt.b)
				a, b := d.mesh(tt.a, d.ca), d.mesh(tt.b, d.ca)
				a.Handle("test.echo", echo)
				if tt.silent {
					a.members.mesh, b.members.mesh = &Mesh{}, &Mesh{}
				}
				defer startMesh(a)()
				defer startMesh(b)()
				_, err := b.Call(withTimeout(time.Second), tt.a, "test.echo", nil)
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(time.Minute)
				before := d.net.sent(tt.a, tt.b) + d.net.sent(tt.b, tt.a)
				const span = 20 * time.Minute
				time.Sleep(span)
				rate := float64(d.net.sent(tt.a, tt.b)+d.net.sent(tt.b, tt.a)-before) / span.Seconds()
				t.Logf("%.1f bytes per second in both directions together, with UDP headers", rate)
				g.Expect(rate).To(BeNumerically("<", tt.limit))
				_, err = b.Call(withTimeout(100*time.Millisecond), tt.a, "test.echo", nil)
				g.Expect(err).NotTo(HaveOccurred(), "the connection was kept")
			})
		})
	}
}
