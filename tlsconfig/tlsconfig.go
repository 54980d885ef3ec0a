// Package tlsconfig builds the TLS configurations of a controller from files, and reloads the files when
// they change. Open connections are kept, and new ones use the new certificates. If a file cannot be loaded,
// for example while it is being replaced, the previous certificates stay in use. Where TLS is configured,
// plain text is neither sent nor accepted.
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

// reloadCheckInterval is the shortest time between two checks for changed files.
const reloadCheckInterval = time.Second

// Files are the certificates and keys of a controller. With a nil *Files, all connections use plain text.
type Files struct {
	serverCerts, meshCerts *certReloader // nil means plain text
}

// Load reads a file with TLS settings and all files that it names. Its errors have one line.
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

// ServerConfig returns the configuration of the listener for users and agents, or nil for plain text. If the
// settings name authorities of users, clients may authenticate with a certificate.
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

// MeshServerConfig returns the configuration for streams from other controllers, or nil for plain text.
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

// MeshClientConfig returns the configuration for a stream to another controller, or nil for plain text.
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

// certReloader holds a certificate with its key and the authorities trusted for peer certificates. It
// reloads them when a file changes.
type certReloader struct {
	certFile, keyFile string
	authoritiesFile   string // empty if there is none
	log               *slog.Logger
	mu                sync.Mutex // guards the fields below
	loaded            certSet
	lastCheck         time.Time
	versions          [3]fileVersion
}

// certSet holds the contents of the files.
type certSet struct {
	cert   tls.Certificate
	caPool *x509.CertPool // nil if there is no authorities file
}

// fileVersion identifies a version of a file, to detect that the file was replaced.
type fileVersion struct {
	modTime time.Time
	size    int64
}

func newCertReloader(certFile, keyFile, authoritiesFile string, log *slog.Logger) (*certReloader, error) {
	if certFile == "" || keyFile == "" {
		return nil, errors.New("certificate or key is missing")
	}
	r := &certReloader{certFile: certFile, keyFile: keyFile, authoritiesFile: authoritiesFile, log: log}
	// Read the versions before the files, so that a file that is replaced in between is reloaded.
	r.versions, r.lastCheck = r.fileVersions(), time.Now()
	var err error
	r.loaded, err = r.loadFiles()
	return r, err
}

// fileVersions returns the versions of the files. It is zero for a file that cannot be read.
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

// currentCerts returns the certificates of the last successful load. It first reloads the files if they have
// changed.
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
		r.log.Error("failed to reload certificates", "err", err)
		return r.loaded
	}
	r.loaded, r.versions = certs, versions
	r.log.Info("certificates reloaded", "certificate", r.certFile)
	return r.loaded
}
