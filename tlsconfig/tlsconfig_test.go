package tlsconfig

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"dewlift/internal/testcert"
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
)

func loadFromText(t *testing.T, text string) (*Files, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tls")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// A certificate is replaced while requests go on: none fails, and new connections show the new one. Half a
// replacement changes nothing.
func TestCertificatesAreReplacedWithoutADroppedRequest(t *testing.T) {
	first, second := testcert.New(t), testcert.New(t)
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	first.Issue(t, "n0", cert, key)
	f, err := loadFromText(t, fmt.Sprintf("serve { certificate: %q key: %q }", cert, key))
	if err != nil {
		t.Fatal(err)
	}
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }),
	}
	go func() { _ = srv.Serve(tls.NewListener(inner, f.ServerConfig())) }() // ends with the test
	t.Cleanup(func() { _ = srv.Close() })
	client := func(ca string) *http.Client {
		raw, err := os.ReadFile(ca)
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
	old, fresh := client(first.CertFile), client(second.CertFile)
	get := func(c *http.Client) error {
		resp, err := c.Get("https://" + inner.Addr().String())
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	if err := get(old); err != nil {
		t.Fatal(err)
	}
	if err := get(fresh); err == nil {
		t.Fatal("another authority is trusted")
	}
	// the next look is due
	back := func() { f.serverCerts.mu.Lock(); f.serverCerts.lastCheck = time.Time{}; f.serverCerts.mu.Unlock() }
	if err := os.WriteFile(cert, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	back()
	if err := get(client(first.CertFile)); err != nil {
		t.Errorf("while the files are replaced: %v", err)
	}
	second.Issue(t, "n0", cert, key)
	back()
	if err := get(fresh); err != nil {
		t.Errorf("after: %v", err)
	}
	if err := get(old); err != nil { // its connection is open still
		t.Errorf("an open connection: %v", err)
	}
	var d net.Dialer
	conn, err := d.DialContext(context.Background(), "tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if raw, _ := io.ReadAll(conn); strings.Contains(string(raw), "\nok") { // whatever ends it
		t.Errorf("plain text was served: %q", raw)
	}
}

func TestBadFilesGiveOneLineErrors(t *testing.T) {
	a := testcert.New(t)
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	a.Issue(t, "n0", cert, key)
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
	f, err := loadFromText(t, "")
	if err != nil || f.ServerConfig() != nil || f.MeshServerConfig() != nil || f.MeshClientConfig("n1") != nil {
		t.Errorf("nothing set: %v", err)
	}
}
