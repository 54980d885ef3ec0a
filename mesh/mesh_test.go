package mesh

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dewlift/core"
)

// A sign of life written after its stream had ended was a panic, and ended the process when a
// zone was cut off.
func TestStreamsThatEndWhileSignsOfLifeAreWritten(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m := New("n0", map[string]string{"n1": "127.0.0.1:1"}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	m.alive = 20 * time.Microsecond
	var mu sync.Mutex
	heard := 0
	var protos http.Protocols
	protos.SetUnencryptedHTTP2(true)
	srv := &http.Server{Protocols: &protos, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.serve(w, r, func(string, core.Msg) {
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
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ln.Addr().String()+path, strings.NewReader("{\"w\":[\"m-1\"]}\n"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(header, "n1")
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
