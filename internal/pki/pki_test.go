package pki

import (
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

var addresses = []netip.Addr{netip.MustParseAddr("192.0.2.1")}

// Private keys must not be readable by other users, and a second run must not
// replace the keys of a deployment.
func TestFilesAreSafe(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	a, err := Create(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Issue(dir, "lav1", addresses)).To(Succeed())
	for _, name := range []string{"ca.key", "lav1.key"} {
		info, err := os.Stat(filepath.Join(dir, name))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(info.Mode().Perm()).To(BeEquivalentTo(0o600))
	}
	before, _ := os.ReadFile(filepath.Join(dir, "ca.key"))
	_, err = Create(dir)
	g.Expect(carawayshift.KindOf(err)).To(Equal(carawayshift.Conflict))
	g.Expect(carawayshift.KindOf(a.Issue(dir, "lav1", addresses))).To(Equal(carawayshift.Conflict))
	after, _ := os.ReadFile(filepath.Join(dir, "ca.key"))
	g.Expect(after).To(Equal(before))

	file := func(name string) string { return filepath.Join(dir, name) }
	_, _, err = Load(file("ca.pem"), file("lav1.pem"), file("lav1.key"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.Chmod(file("lav1.key"), 0o644)).To(Succeed())
	_, _, err = Load(file("ca.pem"), file("lav1.pem"), file("lav1.key"))
	g.Expect(carawayshift.KindOf(err)).To(Equal(carawayshift.Refused))
}

func TestOpenedAuthorityIssues(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	_, err := Create(dir)
	g.Expect(err).NotTo(HaveOccurred())
	a, err := Open(dir)
	g.Expect(err).NotTo(HaveOccurred())
	c, err := a.Certificate("bel1", addresses)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Leaf.VerifyHostname("bel1")).To(Succeed())
	g.Expect(c.Leaf.VerifyHostname("192.0.2.1")).To(Succeed())
	g.Expect(a.Issue(dir, "../x", nil)).To(HaveOccurred())
}

// Neither side may accept a certificate of another authority, and the client
// must not accept a host other than the one that it dialled.
func TestBothEndsVerify(t *testing.T) {
	own, other := mustAuthority(t), mustAuthority(t)
	tests := []struct {
		name           string
		server, client *Authority
		expect         string
		ok             bool
	}{
		{"same authority", own, own, "server", true},
		{"client of another authority", own, other, "server", false},
		{"server of another authority", other, own, "server", false},
		{"wrong host", own, own, "third", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			name, serverErr, clientErr := handshake(t, tt.server, tt.client, tt.expect)
			if tt.ok {
				g.Expect(serverErr).NotTo(HaveOccurred())
				g.Expect(clientErr).NotTo(HaveOccurred())
				g.Expect(name).To(Equal("client"))
				return
			}
			g.Expect(serverErr).To(HaveOccurred())
		})
	}
}

func mustAuthority(t *testing.T) *Authority {
	a, err := New()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// handshake performs a TLS handshake and returns the client's name as read by
// the server.
func handshake(t *testing.T, server, client *Authority, expect string) (name string, serverErr, clientErr error) {
	sc, err := server.Certificate("server", addresses)
	if err != nil {
		t.Fatal(err)
	}
	cc, err := client.Certificate("client", addresses)
	if err != nil {
		t.Fatal(err)
	}
	sconf, _ := Configs(server.Pool(), sc)
	_, cconf := Configs(client.Pool(), cc)
	cconf.ServerName = expect
	a, b := net.Pipe()
	done := make(chan error)
	go func() {
		c := tls.Client(b, cconf)
		err := c.Handshake()
		b.Close()
		done <- err
	}()
	s := tls.Server(a, sconf)
	serverErr = s.Handshake()
	if serverErr == nil {
		name, serverErr = PeerName(s.ConnectionState())
	}
	a.Close()
	return name, serverErr, <-done
}
