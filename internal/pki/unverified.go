package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
)

// unverifiedValidity exceeds the run time of any process: the certificate is
// generated at each start.
const unverifiedValidity = 10 * 365 * 24 * time.Hour

// Unverified returns configurations with a self-signed certificate, for closed
// networks without key distribution. Traffic is encrypted, but the host name in a
// certificate is not verified: anyone who can reach the port can impersonate a
// host.
func Unverified(name string) (server, client *tls.Config, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "pki.Unverified")
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()), DNSNames: []string{name},
		NotBefore: now.Add(-unverifiedValidity), NotAfter: now.Add(unverifiedValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "pki.Unverified")
	}
	cert := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	server, client = Configs(nil, cert)
	server.ClientAuth = tls.RequireAnyClientCert
	client.InsecureSkipVerify = true
	client.VerifyConnection = func(s tls.ConnectionState) error {
		claimed, err := ClaimedName(s)
		if err == nil && claimed != s.ServerName {
			err = carawayshift.NewError(carawayshift.Refused, "host "+claimed+" responded at the address of "+s.ServerName, "check the addresses of both")
		}
		return err
	}
	return server, client, nil
}

// ClaimedName returns the host name in the unverified certificate of the peer.
func ClaimedName(s tls.ConnectionState) (string, error) {
	if len(s.PeerCertificates) == 0 || len(s.PeerCertificates[0].DNSNames) != 1 {
		return "", carawayshift.NewError(carawayshift.Refused, "the peer's certificate names no host", "run the same release on all hosts")
	}
	return s.PeerCertificates[0].DNSNames[0], nil
}
