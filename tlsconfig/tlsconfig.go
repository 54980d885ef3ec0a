// Package tlsconfig makes the TLS configurations of a controller from files, and reloads these when they
// change: open connections stay, new ones use the new certificates. A file that cannot be read, while it
// is being replaced or for good, changes nothing. Where TLS is configured there is no plain text.
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

// reloadCheckInterval is the least time between two checks whether the files have changed.
const reloadCheckInterval = time.Second

// Files are the certificates and keys of a controller. A nil *Files has none: all is in plain text.
type Files struct {
	serverCerts, meshCerts *certReloader // nil: plain text
}

// Load reads a file of settings and all files that it names. An error is one line.
func Load(path string, log *slog.Logger) (*Files, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read tls: %w", err)
	}
	var names pb.Secure
	if err := prototext.Unmarshal(raw, &names); err != nil {
		return nil, fmt.Errorf("tls %s: %w", path, err)
	}
	files := &Files{}
	if serve := names.Serve; serve != nil {
		files.serverCerts, err = newCertReloader(serve.Certificate, serve.Key, serve.Users, log)
		if err != nil {
			return nil, fmt.Errorf("tls %s: serve: %w", path, err)
		}
	}
	if mesh := names.Mesh; mesh != nil {
		if mesh.Authorities == "" {
			return nil, fmt.Errorf("tls %s: mesh: authorities are missing", path)
		}
		files.meshCerts, err = newCertReloader(mesh.Certificate, mesh.Key, mesh.Authorities, log)
		if err != nil {
			return nil, fmt.Errorf("tls %s: mesh: %w", path, err)
		}
	}
	return files, nil
}

// ServerConfig returns the configuration of the listener for users and agents; nil: plain text. Clients may
// prove who they are by a certificate.
func (f *Files) ServerConfig() *tls.Config {
	if f == nil || f.serverCerts == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certs := f.serverCerts.currentCerts()
			cfg := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{certs.cert},
				NextProtos:   []string{"http/1.1"},
			}
			if certs.caPool != nil {
				cfg.ClientAuth, cfg.ClientCAs = tls.VerifyClientCertIfGiven, certs.caPool
			}
			return cfg, nil
		},
	}
}

// MeshServerConfig returns the configuration for streams from other controllers; nil: plain text.
func (f *Files) MeshServerConfig() *tls.Config {
	if f == nil || f.meshCerts == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certs := f.meshCerts.currentCerts()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{certs.cert},
				NextProtos:   []string{"h2"},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    certs.caPool,
			}, nil
		},
	}
}

// MeshClientConfig returns the configuration for a stream to another controller; nil: plain text.
func (f *Files) MeshClientConfig(peer string) *tls.Config {
	if f == nil || f.meshCerts == nil {
		return nil
	}
	certs := f.meshCerts.currentCerts()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certs.cert},
		RootCAs:      certs.caPool,
		ServerName:   peer,
	}
}

// certReloader holds a certificate with its key and the authorities of the other side, and reloads them
// when a file changes.
type certReloader struct {
	certFile, keyFile string
	authoritiesFile   string // "": none
	log               *slog.Logger
	mu                sync.Mutex // of the rest
	loaded            certSet
	lastCheck         time.Time
	versions          [3]fileVersion
}

// certSet is what the files hold.
type certSet struct {
	cert   tls.Certificate
	caPool *x509.CertPool // nil: no authorities
}

// fileVersion tells a replaced file from the one before.
type fileVersion struct {
	modTime time.Time
	size    int64
}

func newCertReloader(certFile, keyFile, authoritiesFile string, log *slog.Logger) (*certReloader, error) {
	if certFile == "" || keyFile == "" {
		return nil, errors.New("certificate or key is missing")
	}
	r := &certReloader{certFile: certFile, keyFile: keyFile, authoritiesFile: authoritiesFile, log: log}
	// Before the files are read: one replaced in between is read again.
	r.versions, r.lastCheck = r.fileVersions(), time.Now()
	var err error
	r.loaded, err = r.loadFiles()
	return r, err
}

// fileVersions returns the versions of the files; one that cannot be read has the zero version.
func (r *certReloader) fileVersions() (versions [3]fileVersion) {
	for i, name := range [...]string{r.certFile, r.keyFile, r.authoritiesFile} {
		if info, err := os.Stat(name); err == nil {
			versions[i] = fileVersion{info.ModTime(), info.Size()}
		}
	}
	return versions
}

func (r *certReloader) loadFiles() (certSet, error) {
	var certs certSet
	var err error
	if certs.cert, err = tls.LoadX509KeyPair(r.certFile, r.keyFile); err != nil {
		return certs, fmt.Errorf("certificate: %w", err)
	}
	if r.authoritiesFile == "" {
		return certs, nil
	}
	raw, err := os.ReadFile(r.authoritiesFile)
	if err != nil {
		return certs, fmt.Errorf("authorities: %w", err)
	}
	certs.caPool = x509.NewCertPool()
	if !certs.caPool.AppendCertsFromPEM(raw) {
		return certs, fmt.Errorf("authorities: no certificate in %s", r.authoritiesFile)
	}
	return certs, nil
}

// currentCerts returns what the files hold, or held when they could last be loaded.
func (r *certReloader) currentCerts() certSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastCheck) < reloadCheckInterval {
		return r.loaded
	}
	r.lastCheck = time.Now()
	versions := r.fileVersions()
	if versions == r.versions {
		return r.loaded
	}
	certs, err := r.loadFiles()
	if err != nil {
		r.log.Error("certificates not reloaded", "err", err)
		return r.loaded
	}
	r.loaded, r.versions = certs, versions
	r.log.Info("certificates reloaded", "certificate", r.certFile)
	return r.loaded
}
