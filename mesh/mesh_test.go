package mesh

import (
	"context"
	"dewlift/core"
	"dewlift/internal/testcert"
	"dewlift/tlsconfig"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"
)

// A sign of life written after its stream had ended was a panic, and ended the process when a
// zone was cut off.
func TestStreamsThatEndWhileKeepAlivesAreWritten(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m := New("n0", map[string]string{"n1": "127.0.0.1:1"}, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	m.keepAliveInterval = 20 * time.Microsecond
	var mu sync.Mutex
	heard := 0
	var protos http.Protocols
	protos.SetUnencryptedHTTP2(true)
	srv := &http.Server{Protocols: &protos, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.receiveStream(w, r, func(string, core.Message) {
			mu.Lock()
			heard++
			mu.Unlock()
		})
	})}
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	go func() { _ = srv.Serve(ln) }() // ends with the test
	tr := &http.Transport{Protocols: &protos}
	defer tr.CloseIdleConnections()
	const streams = 300
	for range streams {
		req, err := http.NewRequestWithContext(
			ctx,
			http.MethodPost,
			"http://"+ln.Addr().String()+streamPath,
			strings.NewReader("{\"w\":[\"m-1\"]}\n"),
		)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(nodeHeader, "n1")
		resp, err := tr.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	mu.Lock()
	defer mu.Unlock()
	if heard != streams {
		t.Errorf("%d of %d messages heard", heard, streams)
	}
}

// newTLSFiles are a node's TLS files: its certificate is for a name, and signed by an authority that the
// others trust, or not.
func newTLSFiles(t *testing.T, name string, by, trusted *testcert.Authority) *tlsconfig.Files {
	t.Helper()
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	by.Issue(t, name, cert, key)
	path := filepath.Join(dir, "tls")
	if err := os.WriteFile(path, []byte(fmt.Sprintf("mesh { certificate: %q key: %q authorities: %q }", cert, key, trusted.CertFile)), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := tlsconfig.Load(path, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Controllers reach each other by certificates for their names alone: another authority's, another
// name's, and plain text are refused.
func TestPeersAuthenticateEachOther(t *testing.T) {
	own, other := testcert.New(t), testcert.New(t)
	good := func(name string) *tlsconfig.Files { return newTLSFiles(t, name, own, own) }
	for what, x := range map[string]struct {
		sender, receiver *tlsconfig.Files
		heard            bool
	}{
		"both good":               {good("n0"), good("n1"), true},
		"sender's authority":      {newTLSFiles(t, "n0", other, own), good("n1"), false},
		"receiver's authority":    {good("n0"), newTLSFiles(t, "n1", other, own), false},
		"sender's name":           {good("n2"), good("n1"), false},
		"receiver's name":         {good("n0"), good("n2"), false},
		"sender in plain text":    {nil, good("n1"), false},
		"receiver in plain text":  {good("n0"), nil, false},
		"both in plain text, off": {nil, nil, true},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			// held from here on: a port that is let go and taken again may be another test's by then
			addr := ln.Addr().String()
			log := slog.New(slog.NewTextHandler(io.Discard, nil))
			heard := make(chan string, 100)
			to, from := New(
				"n1",
				map[string]string{"n0": "127.0.0.1:1"},
				x.receiver,
				log,
			), New(
				"n0",
				map[string]string{"n1": addr},
				x.sender,
				log,
			)
			var ended sync.WaitGroup
			ended.Add(2)
			go func() {
				defer ended.Done()
				if err := to.Serve(ctx, ln, func(peer string, m core.Message) { heard <- peer + m.WantedHeartbeats[0] }); err != nil &&
					ctx.Err() == nil {
					t.Error(err)
				}
			}()
			go func() {
				defer ended.Done()
				from.maintainStream(ctx, from.peers["n1"])
			}()
			t.Cleanup(func() { cancel(); ended.Wait() })
			tries := 40 // where nothing may be heard, two seconds of trying tell
			if x.heard {
				tries = 1200
			}
			for range tries {
				from.Send("n1", core.Message{WantedHeartbeats: []string{"m"}})
				select {
				case got := <-heard:
					if !x.heard || got != "n0m" {
						t.Fatalf("heard %s", got)
					}
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
			if x.heard {
				t.Error("nothing was heard")
			}
		})
	}
}

// A stream that ended in the middle of a message was logged as one that was not understood.
func TestStreamCutWithinAMessageIsNotLogged(t *testing.T) {
	var logged strings.Builder
	m := New("n0", map[string]string{"n1": "127.0.0.1:1"}, nil, slog.New(slog.NewTextHandler(&logged, nil)))
	for text, want := range map[string]int{
		"{\"w\":[\"m-1\"]}\n{\"w\":[\"m-":          1,
		"{\"w\":[\"m-1\"]}\n\n{\"w\":[\"m-2\"]}\n": 2,
		"{\"w\"": 0,
		"":       0,
	} {
		heard := 0
		r := httptest.NewRequest(
			http.MethodPost,
			streamPath,
			io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF)),
		)
		r.Header.Set(nodeHeader, "n1")
		m.receiveStream(httptest.NewRecorder(), r, func(string, core.Message) { heard++ })
		if heard != want || logged.Len() > 0 {
			t.Errorf("%q: %d messages, logged %s", text, heard, logged.String())
		}
	}
	r := httptest.NewRequest(http.MethodPost, streamPath, strings.NewReader("{\"w\"\n"))
	r.Header.Set(nodeHeader, "n1")
	m.receiveStream(httptest.NewRecorder(), r, func(string, core.Message) { t.Error("nonsense was heard") })
	if !strings.Contains(logged.String(), "not understood") {
		t.Error("a line that is no message was not logged")
	}
}
