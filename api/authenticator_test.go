package api

import (
	"crypto/tls"
	"crypto/x509"
	"dewlift/access"
	"dewlift/audit"
	"dewlift/internal/testcert"
	"dewlift/tlsconfig"
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

	pb "dewlift/proto"
)

func newTestAuthenticator(t testing.TB, names ...string) (*authenticator, map[string]*access.PrivateKey) {
	t.Helper()
	a := &pb.Access{}
	keys := map[string]*access.PrivateKey{}
	for _, n := range names {
		k, err := access.NewKey(n, "key-"+n)
		if err != nil {
			t.Fatal(err)
		}
		keys[n] = k
		a.Identities = append(
			a.Identities,
			&pb.Identity{Name: n, Keys: []*pb.PublicKey{{Id: k.ID, Ed25519: k.PublicBase64()}}},
		)
	}
	p, err := access.New(a)
	if err != nil {
		t.Fatal(err)
	}
	g := newAuthenticator(50 * time.Millisecond)
	g.setPolicy(p)
	return g, keys
}

func bearerHeader(t testing.TB, k *access.PrivateKey, now time.Time) string {
	t.Helper()
	s, err := k.SignToken(now, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	return "Bearer " + s
}

// Without rights in force nothing is asked; with them a token is, and one that was good once is not when its
// key or its time is over.
func TestTokenIdentifiesCaller(t *testing.T) {
	now := time.Now()
	if _, status, _ := newAuthenticator(0).authenticate("", "", now); status != 0 {
		t.Errorf("no rights in force: %d", status)
	}
	g, keys := newTestAuthenticator(t, "anna", "potter")
	token := bearerHeader(t, keys["anna"], now)
	for range 2 { // verified, then remembered
		if cr, status, _ := g.authenticate(token, "", now); status != 0 || cr.Identity != "anna" ||
			cr.KeyID != "key-anna" {
			t.Fatalf("got %+v, %d", cr, status)
		}
	}
	if _, status, _ := g.authenticate(token, "", now.Add(2*time.Minute)); status != 401 {
		t.Errorf("after its time: %d", status)
	}
	for _, header := range []string{
		"",
		"Basic YTpi",
		"Bearer",
		"Bearer x.y.z",
		"Bearer " + base64.RawURLEncoding.EncodeToString([]byte(`{"kid":"key-anna"}`)) + ".e30.AAAA",
	} {
		if cr, status, _ := g.authenticate(header, "", now); status != 401 {
			t.Errorf("%q: %+v, %d", header, cr, status)
		}
	}
	g.authenticate(token, "", now)
	other, _ := newTestAuthenticator(t, "anna")
	g.setPolicy(other.policy.Load()) // another key of the same name
	if _, status, _ := g.authenticate(token, "", now); status != 401 {
		t.Errorf("after its key was replaced: %d", status)
	}
}

// A flood of bad tokens in one's name costs a bounded number of signatures, and slows neither others nor
// whoever was accepted before.
func TestFloodOfBadTokensCostsBoundedVerifications(t *testing.T) {
	g, keys := newTestAuthenticator(t, "anna", "potter")
	now := time.Now()
	old := bearerHeader(t, keys["anna"], now)
	g.authenticate(old, "", now)
	tried := 0
	for i := range 5000 {
		bad := bearerHeader(t, keys["anna"], now.Add(time.Duration(i)*time.Nanosecond))
		if _, status, _ := g.authenticate(bad[:len(bad)-8]+fmt.Sprintf("%08d", i), "", now); status == 401 {
			tried++
		} else if status != 429 {
			t.Fatalf("a bad token got %d", status)
		}
	}
	if tried == 0 || tried > verificationsPerSecond {
		t.Errorf("%d signatures were checked", tried)
	}
	if _, status, _ := g.authenticate(old, "", now); status != 0 {
		t.Errorf("one accepted before: %d", status)
	}
	if _, status, _ := g.authenticate(bearerHeader(t, keys["potter"], now), "", now); status != 0 {
		t.Errorf("another: %d", status)
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	g, keys := newTestAuthenticator(b, "anna")
	now := time.Now()
	good := bearerHeader(b, keys["anna"], now)
	for name, header := range map[string]string{
		"known":       good,
		"none":        "",
		"unknown key": bearerHeader(b, func() *access.PrivateKey { k := *keys["anna"]; k.ID = "other"; return &k }(), now),
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				g.authenticate(header, "", now)
			}
		})
	}
	b.Run("signature", func(b *testing.B) {
		p := g.policy.Load()
		for b.Loop() {
			if _, _, err := p.VerifyToken(good[len("Bearer "):], now, 0); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// A user may prove who they are by a certificate that an authority of the site has signed, if their
// identity says so.
func TestCertificateIdentifiesCaller(t *testing.T) {
	own, other := testcert.New(t), testcert.New(t)
	dir := t.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	own.Issue(t, "n0", file("n0.pem"), file("n0.key"))
	if err := os.WriteFile(file("tls"), []byte(fmt.Sprintf("serve { certificate: %q key: %q users: %q }", file("n0.pem"), file("n0.key"), own.CertFile)), 0o600); err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	files, err := tlsconfig.Load(file("tls"), log)
	if err != nil {
		t.Fatal(err)
	}
	e := &fakeController{}
	s := New(e, 0, files.ServerConfig(), log)
	e.server = s
	p, err := access.New(&pb.Access{Identities: []*pb.Identity{{Name: "anna", Certificate: true}, {Name: "potter"}}})
	if err != nil {
		t.Fatal(err)
	}
	s.SetPermissions(p)
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
	for _, x := range []struct {
		who  string
		by   *testcert.Authority
		want int // 0: no connection; 503: let in, as the core of these tests answers polls
	}{{"anna", own, 503}, {"potter", own, 401}, {"nobody", own, 401}, {"", own, 401}, {"anna", other, 0}} {
		cfg := &tls.Config{RootCAs: x509.NewCertPool()}
		cfg.RootCAs.AppendCertsFromPEM(raw)
		if x.who != "" {
			x.by.Issue(t, x.who, file("user.pem"), file("user.key"))
			pair, err := tls.LoadX509KeyPair(file("user.pem"), file("user.key"))
			if err != nil {
				t.Fatal(err)
			}
			cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
		}
		got := 0
		c := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{TLSClientConfig: cfg}}
		if resp, err := c.Get("https://" + ln.Addr().String() + "/v1/jobs/wk-1"); err == nil {
			got = resp.StatusCode
			_ = resp.Body.Close()
		}
		if got != x.want {
			t.Errorf("%q: %d, want %d", x.who, got, x.want)
		}
	}
}

// Whatever a certificate is for, it is good for an identity of exactly that name that may use one, and what is refused
// is recorded under no name that was not proven.
func FuzzCertificateName(f *testing.F) {
	for _, s := range []string{"anna", "anna ", "Anna", "ann\x00a", "potter", "", "*", "anna,O=x", "\xff"} {
		f.Add(s, "")
	}
	f.Add("anna", "Bearer x.y.z")
	g, _ := newTestAuthenticator(f, "anna", "potter")
	p, err := access.New(&pb.Access{Identities: []*pb.Identity{{Name: "anna", Certificate: true}, {Name: "potter"}}})
	if err != nil {
		f.Fatal(err)
	}
	g.setPolicy(p)
	f.Fuzz(func(t *testing.T, name, header string) {
		by, status, why := g.authenticate(header, name, time.Unix(1_800_000_000, 0))
		good := header == "" && name == "anna"
		if (status == 0) != good || good && (by.Identity != "anna" || by.KeyID != access.CertificateKey) ||
			!good && (by.Identity != "" || why == "") {
			t.Errorf("%q with %q: %+v, %d %s", name, header, by, status, why)
		}
	})
}

// Requests of nobody known are handed on to be recorded, counted, and what a flood asked for takes bounded room.
func TestDeniedRequestsAreHandedToTheAuditLog(t *testing.T) {
	g, _ := newTestAuthenticator(t, "anna")
	s := New(nil, 0, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s.authenticator = g
	app := s.newApp()
	for i := range 2000 {
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("/v1/jobs/wk-%d", i), nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := app.Test(req)
		if err != nil || resp.StatusCode != http.StatusUnauthorized {
			t.Fatal(resp, err)
		}
	}
	items, total := s.TakeDenied(), uint32(0)
	for _, it := range items {
		total += it.Count
		if it.Who != "" || it.Verb != http.MethodGet || it.Why == "" && it.Object != audit.OtherValues {
			t.Errorf("%+v", it)
		}
	}
	if total != 2000 || len(items) > 300 || len(s.TakeDenied()) != 0 {
		t.Errorf("%d requests in %d items", total, len(items))
	}
}
