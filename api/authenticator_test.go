package api

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"

	"dewlift/access"
	"dewlift/audit"
	"dewlift/internal/testcert"
	pb "dewlift/proto"
	"dewlift/tlsconfig"
)

// newTestAuthenticator returns an authenticator whose policy has identities with one key each.
func newTestAuthenticator(t testing.TB, names ...string) (*authenticator, map[string]*access.PrivateKey) {
	t.Helper()
	policy := &pb.Access{}
	keys := map[string]*access.PrivateKey{}
	for _, name := range names {
		key, err := access.NewKey(name, "key-"+name)
		if err != nil {
			t.Fatal(err)
		}
		keys[name] = key
		policy.Identities = append(policy.Identities, &pb.Identity{
			Name: name,
			Keys: []*pb.PublicKey{{Id: key.ID, Ed25519: key.PublicBase64()}},
		})
	}
	checked, err := access.New(policy)
	if err != nil {
		t.Fatal(err)
	}
	auth := newAuthenticator(50 * time.Millisecond)
	auth.setPolicy(checked)
	return auth, keys
}

// bearerHeader returns an authorization header with a token that is valid for a minute.
func bearerHeader(t testing.TB, k *access.PrivateKey, now time.Time) string {
	t.Helper()
	s, err := k.SignToken(now, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	return "Bearer " + s
}

// Without a policy every request is allowed. With one a token is required, and a token in the cache is
// rejected after it has expired or its key was replaced.
func TestTokenIdentifiesCaller(t *testing.T) {
	now := time.Now()
	if _, status, _ := newAuthenticator(0).authenticate("", "", now); status != 0 {
		t.Errorf("without a policy: status %d", status)
	}
	auth, keys := newTestAuthenticator(t, "anna", "potter")
	token := bearerHeader(t, keys["anna"], now)
	for range 2 { // verified, then cached
		if caller, status, _ := auth.authenticate(token, "", now); status != 0 || caller.Identity != "anna" ||
			caller.KeyID != "key-anna" {
			t.Fatalf("got %+v, %d", caller, status)
		}
	}
	if _, status, _ := auth.authenticate(token, "", now.Add(2*time.Minute)); status != 401 {
		t.Errorf("expired token: status %d", status)
	}
	for _, header := range []string{
		"",
		"Basic YTpi",
		"Bearer",
		"Bearer x.y.z",
		"Bearer " + base64.RawURLEncoding.EncodeToString([]byte(`{"kid":"key-anna"}`)) + ".e30.AAAA",
	} {
		if caller, status, _ := auth.authenticate(header, "", now); status != 401 {
			t.Errorf("%q: %+v, %d", header, caller, status)
		}
	}
	auth.authenticate(token, "", now)
	other, _ := newTestAuthenticator(t, "anna")
	auth.setPolicy(other.policy.Load()) // another key of the same name
	if _, status, _ := auth.authenticate(token, "", now); status != 401 {
		t.Errorf("token of a replaced key: status %d", status)
	}
}

// A flood of bad tokens for one key must cost a bounded number of verifications. It must not cause the
// rejection of other keys' tokens or of a token that was verified before.
func TestFloodOfBadTokensCostsBoundedVerifications(t *testing.T) {
	auth, keys := newTestAuthenticator(t, "anna", "potter")
	now := time.Now()
	known := bearerHeader(t, keys["anna"], now)
	auth.authenticate(known, "", now)
	verified := 0
	for i := range 5000 {
		bad := bearerHeader(t, keys["anna"], now.Add(time.Duration(i)*time.Nanosecond))
		if _, status, _ := auth.authenticate(bad[:len(bad)-8]+fmt.Sprintf("%08d", i), "", now); status == 401 {
			verified++
		} else if status != 429 {
			t.Fatalf("a bad token got %d", status)
		}
	}
	if verified == 0 || verified > verificationsPerSecond {
		t.Errorf("%d signatures were verified", verified)
	}
	if _, status, _ := auth.authenticate(known, "", now); status != 0 {
		t.Errorf("token that was verified before: status %d", status)
	}
	if _, status, _ := auth.authenticate(bearerHeader(t, keys["potter"], now), "", now); status != 0 {
		t.Errorf("token of another key: status %d", status)
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	auth, keys := newTestAuthenticator(b, "anna")
	now := time.Now()
	good := bearerHeader(b, keys["anna"], now)
	unknown := *keys["anna"]
	unknown.ID = "other"
	for name, header := range map[string]string{
		"known":       good,
		"none":        "",
		"unknown key": bearerHeader(b, &unknown, now),
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				auth.authenticate(header, "", now)
			}
		})
	}
	b.Run("signature", func(b *testing.B) {
		p := auth.policy.Load()
		for b.Loop() {
			if _, _, err := p.VerifyToken(good[len("Bearer "):], now, 0); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// A certificate identifies its holder only if a trusted authority issued it and the policy allows
// certificates for this identity.
func TestCertificateIdentifiesCaller(t *testing.T) {
	own, other := testcert.New(t), testcert.New(t)
	dir := t.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	own.Issue(t, "n0", file("n0.pem"), file("n0.key"))
	const format = "serve { certificate: %q key: %q users: %q }"
	text := fmt.Sprintf(format, file("n0.pem"), file("n0.key"), own.CertFile)
	if err := os.WriteFile(file("tls"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	files, err := tlsconfig.Load(file("tls"), log)
	if err != nil {
		t.Fatal(err)
	}
	controller := &fakeController{}
	s := New(controller, 0, files.ServerConfig(), log)
	s.SetLoaded()
	controller.server = s
	policy, err := access.New(&pb.Access{
		Identities: []*pb.Identity{{Name: "anna", Certificate: true}, {Name: "potter"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.SetPermissions(policy)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := s.newApp()
	go func() {
		_ = app.Listener(tls.NewListener(ln, s.tlsConfig), fiber.ListenConfig{DisableStartupMessage: true})
	}() // ends with the test
	t.Cleanup(func() { _ = app.Shutdown() })
	raw, err := os.ReadFile(own.CertFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name   string // in the certificate; empty means no certificate
		issuer *testcert.Authority
		want   int // 0 means no connection; 503 means authenticated, as fakeController answers polls with it
	}{{"anna", own, 503}, {"potter", own, 401}, {"nobody", own, 401}, {"", own, 401}, {"anna", other, 0}} {
		cfg := &tls.Config{RootCAs: x509.NewCertPool()}
		cfg.RootCAs.AppendCertsFromPEM(raw)
		if test.name != "" {
			useClientCertificate(t, cfg, test.issuer, test.name)
		}
		got := 0
		client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{TLSClientConfig: cfg}}
		if resp, err := client.Get("https://" + ln.Addr().String() + "/v1/jobs/wk-1"); err == nil {
			got = resp.StatusCode
			_ = resp.Body.Close()
		}
		if got != test.want {
			t.Errorf("%q: %d, want %d", test.name, got, test.want)
		}
	}
}

// useClientCertificate makes a client present a certificate for a name.
func useClientCertificate(t *testing.T, cfg *tls.Config, issuer *testcert.Authority, name string) {
	t.Helper()
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "user.pem"), filepath.Join(dir, "user.key")
	issuer.Issue(t, name, cert, key)
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
}

// A certificate must match only the identity with exactly its name, and only if that identity may use
// certificates. A denied request must not carry a name that was not authenticated.
func FuzzCertificateName(f *testing.F) {
	for _, s := range []string{"anna", "anna ", "Anna", "ann\x00a", "potter", "", "*", "anna,O=x", "\xff"} {
		f.Add(s, "")
	}
	f.Add("anna", "Bearer x.y.z")
	auth, _ := newTestAuthenticator(f, "anna", "potter")
	policy, err := access.New(&pb.Access{
		Identities: []*pb.Identity{{Name: "anna", Certificate: true}, {Name: "potter"}},
	})
	if err != nil {
		f.Fatal(err)
	}
	auth.setPolicy(policy)
	f.Fuzz(func(t *testing.T, name, header string) {
		caller, status, reason := auth.authenticate(header, name, time.Unix(1_800_000_000, 0))
		good := header == "" && name == "anna"
		if (status == 0) != good || good && (caller.Identity != "anna" || caller.KeyID != access.CertificateKey) ||
			!good && (caller.Identity != "" || reason == "") {
			t.Errorf("%q with %q: %+v, %d %s", name, header, caller, status, reason)
		}
	})
}

// Denied requests must reach the audit log with correct counts, and a flood of them must use bounded memory.
func TestDeniedRequestsAreHandedToTheAuditLog(t *testing.T) {
	auth, _ := newTestAuthenticator(t, "anna")
	s := New(nil, 0, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s.SetLoaded()
	s.authenticator = auth
	app := s.newApp()
	for i := range 2000 {
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("/v1/jobs/wk-%d", i), nil)
		if err != nil {
			t.Fatal(err)
		}
		status, _, err := testRequest(t, app, req)
		if err != nil || status != http.StatusUnauthorized {
			t.Fatal(status, err)
		}
	}
	items, total := s.TakeDenied(), uint32(0)
	for _, item := range items {
		total += item.Count
		if item.Who != "" || item.Verb != http.MethodGet || item.Why == "" && item.Object != audit.OtherValues {
			t.Errorf("%+v", item)
		}
	}
	if total != 2000 || len(items) > 300 || len(s.TakeDenied()) != 0 {
		t.Errorf("%d requests in %d audit items", total, len(items))
	}
}
