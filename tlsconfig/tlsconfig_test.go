package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dewlift/internal/testcert"
)

// loadFromText loads TLS settings from a temporary file with this text.
func loadFromText(t *testing.T, text string) (*Files, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tls")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// No request may fail while a certificate is being replaced: a partially written file must not be used, new
// connections must get the new certificate and open ones must stay usable. Plain text must never be served.
func TestCertificateReloadDropsNoRequests(t *testing.T) {
	first, second := testcert.New(t), testcert.New(t)
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	first.Issue(t, "n0", cert, key)
	files, err := loadFromText(t, fmt.Sprintf("serve { certificate: %q key: %q }", cert, key))
	if err != nil {
		t.Fatal(err)
	}
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
	}
	go func() { _ = srv.Serve(tls.NewListener(inner, files.ServerConfig())) }() // ends when the test closes srv
	t.Cleanup(func() { _ = srv.Close() })
	oldClient, newClient := clientTrusting(t, first.CertFile), clientTrusting(t, second.CertFile)
	get := func(client *http.Client) error { return getOnce(client, "https://"+inner.Addr().String()) }
	if err := get(oldClient); err != nil {
		t.Fatal(err)
	}
	if err := get(newClient); err == nil {
		t.Fatal("a client that trusts only another authority accepted the certificate")
	}
	makeCheckDue := func() {
		files.serverCerts.mu.Lock()
		defer files.serverCerts.mu.Unlock()
		files.serverCerts.lastCheck = time.Time{}
	}
	if err := os.WriteFile(cert, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	makeCheckDue()
	if err := get(clientTrusting(t, first.CertFile)); err != nil {
		t.Errorf("request while the files are being replaced: %v", err)
	}
	second.Issue(t, "n0", cert, key)
	makeCheckDue()
	if err := get(newClient); err != nil {
		t.Errorf("request after the replacement: %v", err)
	}
	if err := get(oldClient); err != nil { // over its open connection
		t.Errorf("request over an open connection: %v", err)
	}
	checkNoPlainText(t, inner.Addr().String())
}

// clientTrusting returns a client that trusts an authority.
func clientTrusting(t *testing.T, authorityFile string) *http.Client {
	t.Helper()
	raw, err := os.ReadFile(authorityFile)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(raw)
	return &http.Client{
		Timeout:   10 * time.Second,
		Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}},
	}
}

// getOnce sends a request and reads the whole response, so that the connection can be reused.
func getOnce(client *http.Client, url string) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func checkNoPlainText(t *testing.T, addr string) {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if raw, _ := io.ReadAll(conn); strings.Contains(string(raw), "\nok") { // a read error is fine
		t.Errorf("plain text was served: %q", raw)
	}
}

// An invalid file must be rejected with a one-line error that names the fault, and an empty one means plain text.
func TestBadFilesGiveOneLineErrors(t *testing.T) {
	authority := testcert.New(t)
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	authority.Issue(t, "n0", cert, key)
	for text, want := range map[string]string{
		"serve { }":     "certificate or key is missing",
		"serve { x: 1}": "unknown field",
		fmt.Sprintf("mesh { certificate: %q key: %q }", cert, key):                      "authorities are missing",
		fmt.Sprintf("mesh { certificate: %q key: %q authorities: %q }", cert, key, key): "no certificate in",
		fmt.Sprintf("serve { certificate: %q key: %q }", key, cert):                     "certificate:",
	} {
		if _, err := loadFromText(t, text); err == nil || !strings.Contains(err.Error(), want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", text, err)
		}
	}
	files, err := loadFromText(t, "")
	if err != nil || files.ServerConfig() != nil || files.MeshServerConfig() != nil ||
		files.MeshClientConfig("n1") != nil {
		t.Errorf("empty file: %v", err)
	}
}
