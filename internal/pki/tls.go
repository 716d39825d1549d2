package pki

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
)

// protocol is the ALPN protocol name. Its number must be increased when the
// frame format changes in a way that older hosts can't detect by the frame's
// version byte.
const protocol = "carawayshift/1"

// Load reads the files named in Settings.TLS and returns the configurations for
// accepting and for dialling connections. It refuses a key file that other users
// can read.
func Load(caFile, certFile, keyFile string) (server, client *tls.Config, err error) {
	info, err := os.Stat(keyFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "pki.Load")
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, nil, carawayshift.NewError(carawayshift.Refused, keyFile+" can be read by other users", "run chmod 600 "+keyFile)
	}
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "pki.Load")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, nil, carawayshift.NewError(carawayshift.Malformed, caFile+" contains no certificate", "copy ca.pem of the deployment there")
	}
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "pki.Load")
	}
	server, client = Configs(pool, cert)
	return server, client, nil
}

// Configs returns the configurations for accepting and for dialling connections.
// Each side verifies the other's certificate against the pool. Before dialling,
// ServerName must be set to the name of the expected host.
func Configs(pool *x509.CertPool, cert tls.Certificate) (server, client *tls.Config) {
	server = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{protocol},
		// A resumed session would not be verified against the pool again.
		SessionTicketsDisabled: true,
	}
	client = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		NextProtos:   []string{protocol},
	}
	return server, client
}

// PeerName returns the host name in the verified certificate of the peer.
func PeerName(s tls.ConnectionState) (string, error) {
	if len(s.VerifiedChains) == 0 || len(s.PeerCertificates) == 0 || len(s.PeerCertificates[0].DNSNames) != 1 {
		return "", carawayshift.NewError(carawayshift.Refused, "the peer's certificate names no host", "issue it with `carawayshift keys`")
	}
	return s.PeerCertificates[0].DNSNames[0], nil
}
