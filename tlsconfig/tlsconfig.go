// Package tlsconfig makes the TLS settings of a controller from files, and reads these anew when they
// change: connections that are open stay, new ones use what is there. A file that can't be read, while
// it is being replaced or for good, changes nothing. Where TLS is set there is no plain text.
package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	pb "dewlift/proto"
)

const reloadCheckInterval = time.Second // at the files, for a change

// Files are the certificates and keys of a controller.
type Files struct {
	serverCerts, meshCerts *certReloader
}

// Load reads the settings and all files that they name. An error is one line.
func Load(path string, log *slog.Logger) (*Files, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read tls: %w", err)
	}
	var s pb.Secure
	if err := prototext.Unmarshal(raw, &s); err != nil {
		return nil, fmt.Errorf("tls %s: %w", path, err)
	}
	f := &Files{}
	if s.Serve != nil {
		if f.serverCerts, err = newCertReloader(s.Serve.Certificate, s.Serve.Key, s.Serve.Users, log); err != nil {
			return nil, fmt.Errorf("tls %s: serve: %w", path, err)
		}
	}
	if s.Mesh != nil {
		if s.Mesh.Authorities == "" {
			return nil, fmt.Errorf("tls %s: mesh: authorities are missing", path)
		}
		if f.meshCerts, err = newCertReloader(s.Mesh.Certificate, s.Mesh.Key, s.Mesh.Authorities, log); err != nil {
			return nil, fmt.Errorf("tls %s: mesh: %w", path, err)
		}
	}
	return f, nil
}

// ServerConfig is for serve_on; nil: plain text.
func (f *Files) ServerConfig() *tls.Config {
	if f == nil || f.serverCerts == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			x := f.serverCerts.currentCerts()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{x.cert},
				NextProtos:   []string{"http/1.1"},
			}
			if x.caPool != nil {
				c.ClientAuth, c.ClientCAs = tls.VerifyClientCertIfGiven, x.caPool
			}
			return c, nil
		},
	}
}

// MeshServerConfig is for the controllers that reach this one; nil: plain text.
func (f *Files) MeshServerConfig() *tls.Config {
	if f == nil || f.meshCerts == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			x := f.meshCerts.currentCerts()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{x.cert}, NextProtos: []string{"h2"},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: x.caPool,
			}, nil
		},
	}
}

// MeshClientConfig is for reaching the controller of that name; nil: plain text.
func (f *Files) MeshClientConfig(peer string) *tls.Config {
	if f == nil || f.meshCerts == nil {
		return nil
	}
	x := f.meshCerts.currentCerts()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{x.cert},
		RootCAs:      x.caPool,
		ServerName:   peer,
	}
}

// certReloader is a certificate with its key, and the authorities of the other side.
type certReloader struct {
	paths     [3]string
	log       *slog.Logger
	mu        sync.Mutex
	loaded    certSet
	lastCheck time.Time
	versions  [3]fileVersion
}

type certSet struct {
	cert   tls.Certificate
	caPool *x509.CertPool
}

// fileVersion tells whether a file is another one than before.
type fileVersion struct {
	modTime time.Time
	size    int64
}

func newCertReloader(cert, key, authorities string, log *slog.Logger) (*certReloader, error) {
	p := &certReloader{paths: [3]string{cert, key, authorities}, log: log}
	if cert == "" || key == "" {
		return nil, errors.New("certificate or key is missing")
	}
	p.versions, p.lastCheck = p.statFiles(), time.Now()
	var err error
	p.loaded, err = p.loadFiles()
	return p, err
}

func (p *certReloader) statFiles() (out [3]fileVersion) {
	for i, n := range p.paths {
		if s, err := os.Stat(n); err == nil {
			out[i] = fileVersion{s.ModTime(), s.Size()}
		}
	}
	return out
}

func (p *certReloader) loadFiles() (certSet, error) {
	var out certSet
	var err error
	if out.cert, err = tls.LoadX509KeyPair(p.paths[0], p.paths[1]); err != nil {
		return out, fmt.Errorf("certificate: %w", err)
	}
	if p.paths[2] == "" {
		return out, nil
	}
	raw, err := os.ReadFile(p.paths[2])
	if err != nil {
		return out, fmt.Errorf("authorities: %w", err)
	}
	out.caPool = x509.NewCertPool()
	if !out.caPool.AppendCertsFromPEM(raw) {
		return out, fmt.Errorf("authorities: no certificate in %s", p.paths[2])
	}
	return out, nil
}

// currentCerts is what the files hold now, or held when they could be read last.
func (p *certReloader) currentCerts() certSet {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.lastCheck) < reloadCheckInterval {
		return p.loaded
	}
	p.lastCheck = time.Now()
	if s := p.statFiles(); s != p.versions {
		next, err := p.loadFiles()
		if err != nil {
			p.log.Error("certificates not read anew", "err", err)
			return p.loaded
		}
		p.loaded, p.versions = next, s
		p.log.Info("certificates read anew", "certificate", p.paths[0])
	}
	return p.loaded
}
