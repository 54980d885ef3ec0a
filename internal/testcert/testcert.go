// Package testcert makes certificate authorities and certificates for tests.
package testcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"
)

// validity is how long certificates are valid, before and after they are made.
const validity = time.Hour

// Authority signs certificates.
type Authority struct {
	cert     *x509.Certificate
	key      *ecdsa.PrivateKey
	CertFile string // its own certificate, in PEM
}

// lastSerial is the serial number of the last certificate; tests may run in parallel.
var lastSerial atomic.Int64

// New makes an authority whose certificate is in a temporary directory of the test.
func New(t *testing.T) *Authority {
	t.Helper()
	a := &Authority{CertFile: filepath.Join(t.TempDir(), "ca.pem")}
	var der []byte
	a.cert, a.key, der = a.sign(t, &x509.Certificate{
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
		Subject:               pkix.Name{CommonName: "test"},
	})
	writePEM(t, a.CertFile, "CERTIFICATE", der)
	return a
}

// sign completes a certificate with a serial number and its validity, and signs it; an authority without a
// certificate of its own signs with the new key.
func (a *Authority) sign(t *testing.T, c *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey, []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c.SerialNumber = big.NewInt(lastSerial.Add(1))
	c.NotBefore, c.NotAfter = time.Now().Add(-validity), time.Now().Add(validity)
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, key.Public(), signer)
	if err != nil {
		t.Fatal(err)
	}
	out, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return out, key, der
}

// Issue writes a certificate for a name and for loopback, and its key.
func (a *Authority) Issue(t *testing.T, name, certFile, keyFile string) {
	t.Helper()
	_, key, der := a.sign(t, &x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		DNSNames:    []string{name},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	writePEM(t, certFile, "CERTIFICATE", der)
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, keyFile, "EC PRIVATE KEY", raw)
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}
