// Package pki creates the certificate authority of a deployment and one
// certificate for each host, and builds the TLS configurations with which
// hosts verify each other.
//
// # Usage
//
//	a, err := pki.Create(dir)                  // ca.pem and ca.key
//	err = a.Issue(dir, "lav1", addresses)       // lav1.pem and lav1.key
//	server, client, err := pki.Load(ca, cert, key)
//
// All keys are ECDSA P-256. Files are created with mode 0600 (keys) or 0644
// (certificates) and never overwritten. ca.key is needed to issue further
// certificates only; no host needs it to run.
package pki

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
)

const (
	// Certificates are not renewed automatically: an operator must issue new
	// ones before these periods end, or the deployment stops working.
	authorityValidity = 20 * 365 * 24 * time.Hour
	hostValidity      = 5 * 365 * 24 * time.Hour
	// clockSkew backdates certificates for hosts whose clock is behind that of
	// the issuing machine.
	clockSkew = 24 * time.Hour

	certMode = 0o644
	keyMode  = 0o600

	serialBits = 127

	blockCert = "CERTIFICATE"
	blockKey  = "PRIVATE KEY"
)

// Authority is the certificate authority of one deployment.
type Authority struct {
	cert *x509.Certificate
	key  crypto.Signer
}

// New returns a new authority that is not stored in files.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "pki.New")
	}
	t, err := template("carawayshift deployment", authorityValidity)
	if err != nil {
		return nil, err
	}
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.MaxPathLenZero = true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "pki.New")
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, errors.Wrap(err, "pki.New")
}

// Create generates a new authority and writes ca.pem and ca.key. It fails with
// kind Conflict if either file exists.
func Create(dir string) (*Authority, error) {
	a, err := New()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "pki.Create")
	}
	return a, writePair(dir, "ca", a.cert.Raw, a.key)
}

// Open reads ca.pem and ca.key.
func Open(dir string) (*Authority, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key"))
	if err != nil {
		return nil, errors.Wrap(err, "pki.Open")
	}
	key, ok := pair.PrivateKey.(crypto.Signer)
	if !ok || !pair.Leaf.IsCA {
		return nil, carawayshift.NewError(carawayshift.Malformed, "ca.pem is not a certificate authority", "use the folder that the first `carawayshift keys` wrote to")
	}
	return &Authority{cert: pair.Leaf, key: key}, nil
}

// Pool returns a certificate pool that contains only this authority.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// Certificate issues a certificate for a host, with the host name as its DNS
// name.
func (a *Authority) Certificate(host string, addresses []netip.Addr) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "pki.Certificate")
	}
	t, err := template(host, hostValidity)
	if err != nil {
		return tls.Certificate{}, err
	}
	t.DNSNames = []string{host}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, addr := range addresses {
		t.IPAddresses = append(t.IPAddresses, net.IP(addr.AsSlice()))
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, key.Public(), a.key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "pki.Certificate")
	}
	leaf, err := x509.ParseCertificate(der)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, errors.Wrap(err, "pki.Certificate")
}

// Issue issues a certificate for a host and writes HOST.pem and HOST.key. It
// fails with kind Conflict if either file exists.
func (a *Authority) Issue(dir, host string, addresses []netip.Addr) error {
	if host == "ca" || host != filepath.Base(host) {
		return carawayshift.NewError(carawayshift.Malformed, "host name "+host+" can't be a file name", "use a name of a-z, 0-9 and - other than ca")
	}
	c, err := a.Certificate(host, addresses)
	if err != nil {
		return err
	}
	return writePair(dir, host, c.Certificate[0], c.PrivateKey)
}

func template(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "pki.template")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

// writePair writes a key and its certificate. The key is written first, because
// a certificate without its key would make the host name unusable.
func writePair(dir, name string, cert []byte, key any) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "pki.writePair")
	}
	certPath := filepath.Join(dir, name+".pem")
	if _, err := os.Lstat(certPath); err == nil {
		return errExists(certPath)
	}
	if err := writeNew(filepath.Join(dir, name+".key"), blockKey, der, keyMode); err != nil {
		return err
	}
	return writeNew(certPath, blockCert, cert, certMode)
}

// writeNew creates and syncs a PEM file. It does not replace an existing file.
func writeNew(path, block string, der []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if errors.Is(err, os.ErrExist) {
		return errExists(path)
	}
	if err != nil {
		return errors.Wrap(err, "pki.writeNew")
	}
	err = pem.Encode(f, &pem.Block{Type: block, Bytes: der})
	if e := f.Sync(); err == nil {
		err = e
	}
	if e := f.Close(); err == nil {
		err = e
	}
	return errors.Wrap(err, "pki.writeNew")
}

func errExists(path string) error {
	return carawayshift.NewError(carawayshift.Conflict, path+" already exists", "move it away if its identity is no longer needed")
}
