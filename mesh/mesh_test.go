package mesh

import (
	"context"
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

	"dewlift/core"
	"dewlift/internal/testcert"
	"dewlift/tlsconfig"
)

// A keep-alive that was written after its stream had ended panicked, which crashed the process when the
// network to a zone failed.
func TestStreamEndDuringKeepAliveWrites(t *testing.T) {
	ctx := t.Context()
	m := New("n0", map[string]string{"n1": "127.0.0.1:1"}, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	m.keepAliveInterval = 20 * time.Microsecond
	var mu sync.Mutex
	received := 0
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{Protocols: &protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.receiveStream(w, r, func(string, core.Message) {
			mu.Lock()
			received++
			mu.Unlock()
		})
	})}
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(ln) }() // ends when the test closes srv
	transport := &http.Transport{Protocols: &protocols}
	t.Cleanup(transport.CloseIdleConnections)
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
		resp, err := transport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		if err := resp.Body.Close(); err != nil {
			t.Error(err)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if received != streams {
		t.Errorf("%d of %d messages received", received, streams)
	}
}

// newTLSFiles returns a controller's TLS files with a certificate for a name, issued by one authority, and
// with a trusted authority.
func newTLSFiles(t *testing.T, name string, issuer, trusted *testcert.Authority) *tlsconfig.Files {
	t.Helper()
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	issuer.Issue(t, name, cert, key)
	path := filepath.Join(dir, "tls")
	text := fmt.Sprintf("mesh { certificate: %q key: %q authorities: %q }", cert, key, trusted.CertFile)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := tlsconfig.Load(path, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Controllers accept only certificates that the trusted authority issued for each other's names. Certificates
// of another authority or for another name and plain text must be rejected.
func TestPeersAuthenticateEachOther(t *testing.T) {
	own, other := testcert.New(t), testcert.New(t)
	good := func(name string) *tlsconfig.Files { return newTLSFiles(t, name, own, own) }
	for name, test := range map[string]struct {
		sender, receiver *tlsconfig.Files
		received         bool
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
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sender, received := startSenderAndReceiver(t, test.sender, test.receiver)
			attempts := 40 // two seconds are enough to show that nothing arrives
			if test.received {
				attempts = 1200
			}
			for range attempts {
				sender.Send("n1", core.Message{WantedHeartbeats: []string{"m"}})
				select {
				case got := <-received:
					if !test.received || got != "n0m" {
						t.Fatalf("unexpectedly received %s", got)
					}
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
			if test.received {
				t.Error("no message was received")
			}
		})
	}
}

// startSenderAndReceiver runs n0's stream to n1 until the test ends. It returns n0 and a channel that gets, for
// each message that n1 receives, the sender's name followed by the first wanted heartbeat.
func startSenderAndReceiver(t *testing.T, senderFiles, receiverFiles *tlsconfig.Files) (*Mesh, <-chan string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	// The listener stays open: another test could take a port that is closed and opened again.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	receiver := New("n1", map[string]string{"n0": "127.0.0.1:1"}, receiverFiles, log)
	sender := New("n0", map[string]string{"n1": ln.Addr().String()}, senderFiles, log)
	received := make(chan string, 100)
	var running sync.WaitGroup
	running.Go(func() {
		err := receiver.Serve(ctx, ln, func(peer string, message core.Message) {
			received <- peer + message.WantedHeartbeats[0]
		})
		if err != nil && ctx.Err() == nil {
			t.Error(err)
		}
	})
	running.Go(func() { sender.maintainStream(ctx, sender.peers["n1"]) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return sender, received
}

// A stream that ends within a message, as it does when its sender stops, must not be logged as an error. A
// complete line that is not a valid message must be.
func TestTruncatedStreamIsNotLogged(t *testing.T) {
	var logged strings.Builder
	m := New("n0", map[string]string{"n1": "127.0.0.1:1"}, nil, slog.New(slog.NewTextHandler(&logged, nil)))
	for text, want := range map[string]int{
		"{\"w\":[\"m-1\"]}\n{\"w\":[\"m-":          1,
		"{\"w\":[\"m-1\"]}\n\n{\"w\":[\"m-2\"]}\n": 2,
		"{\"w\"": 0,
		"":       0,
	} {
		received := 0
		body := io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF))
		r := httptest.NewRequest(http.MethodPost, streamPath, body)
		r.Header.Set(nodeHeader, "n1")
		m.receiveStream(httptest.NewRecorder(), r, func(string, core.Message) { received++ })
		if received != want || logged.Len() > 0 {
			t.Errorf("%q: %d messages, logged %s", text, received, logged.String())
		}
	}
	r := httptest.NewRequest(http.MethodPost, streamPath, strings.NewReader("{\"w\"\n"))
	r.Header.Set(nodeHeader, "n1")
	m.receiveStream(httptest.NewRecorder(), r, func(string, core.Message) { t.Error("invalid message received") })
	if !strings.Contains(logged.String(), "failed to decode mesh message") {
		t.Error("invalid message not logged")
	}
}

// A message outlives the read of its line, and must keep its values while later lines are read into the same memory.
func TestMessagesKeepTheirValues(t *testing.T) {
	m := New("n0", map[string]string{"n1": "127.0.0.1:1"}, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	const messages = 2000
	var lines strings.Builder
	for i := range messages {
		fmt.Fprintf(&lines, `{"w":["m-%06d"],"c":[{"k":"wk-%06d","data":{"by":"m-%06d"}}]}`+"\n", i, i, i)
	}
	var received []core.Message
	m.readMessages("n1", iotest.HalfReader(strings.NewReader(lines.String())), func(_ string, message core.Message) {
		received = append(received, message)
	})
	if len(received) != messages {
		t.Fatalf("%d of %d messages received", len(received), messages)
	}
	for i, message := range received {
		machine, job := fmt.Sprintf("m-%06d", i), fmt.Sprintf("wk-%06d", i)
		cancellation := message.Cancellations[0]
		if message.WantedHeartbeats[0] != machine || cancellation.Key != job ||
			string(cancellation.Value) != fmt.Sprintf(`{"by":%q}`, machine) {
			t.Errorf("message %d is now %+v", i, message)
		}
	}
}
