// Package mesh carries messages between controllers over HTTP/2 streams, with mutual TLS if it is
// set: each controller holds one stream open to each other and writes JSON messages to it, one a
// line. Messages are news that may be lost; none of them is needed for safety.
package mesh

import (
	"bufio"
	"context"
	"dewlift/core"
	"dewlift/tlsconfig"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"
)

const (
	streamPath               = "/mesh"
	nodeHeader               = "Dewlift-Node"
	outboxLength             = 2048
	maxMessageBytes          = 8 << 20
	defaultKeepAliveInterval = 500 * time.Millisecond
	peerTimeout              = 2500 * time.Millisecond
)

// Handler takes a message of a peer.
type Handler func(peer string, m core.Message)

// Mesh holds the streams of one controller.
type Mesh struct {
	nodeName          string
	peers             map[string]*peerLink
	log               *slog.Logger
	keepAliveInterval time.Duration // between two signs of life
	tlsFiles          *tlsconfig.Files
}

type peerLink struct {
	name   string
	addr   string
	outbox chan []byte
}

// New returns a mesh that knows its peers by name and address; without files it is in plain text.
func New(name string, peers map[string]string, files *tlsconfig.Files, log *slog.Logger) *Mesh {
	m := &Mesh{
		nodeName:          name,
		peers:             map[string]*peerLink{},
		log:               log,
		keepAliveInterval: defaultKeepAliveInterval,
		tlsFiles:          files,
	}
	for n, a := range peers {
		m.peers[n] = &peerLink{name: n, addr: a, outbox: make(chan []byte, outboxLength)}
	}
	return m
}

// Send queues a message to a peer, or to all if the name is empty. When a peer's queue is
// full the message is dropped.
func (m *Mesh) Send(peer string, msg core.Message) {
	line, err := json.Marshal(msg) // once for all: the array of a large fleet is long
	if err != nil {
		m.log.Error("mesh message not encoded", "err", err)
		return
	}
	line = append(line, '\n')
	for n, l := range m.peers {
		if peer == "" || peer == n {
			select {
			case l.outbox <- line:
			default:
			}
		}
	}
}

// Serve takes the others' streams from a listener and keeps its own up until the context ends. It closes the listener.
func (m *Mesh) Serve(ctx context.Context, ln net.Listener, h Handler) error {
	var protos http.Protocols
	protos.SetHTTP2(true)
	protos.SetUnencryptedHTTP2(m.tlsFiles.MeshServerConfig() == nil)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+streamPath, func(w http.ResponseWriter, r *http.Request) { m.receiveStream(w, r, h) })
	srv := &http.Server{
		Handler:           mux,
		Protocols:         &protos,
		ReadHeaderTimeout: 5 * time.Second,
		TLSConfig:         m.tlsFiles.MeshServerConfig(),
		ErrorLog:          slog.NewLogLogger(m.log.Handler(), slog.LevelDebug),
	}
	for _, l := range m.peers {
		go m.maintainStream(ctx, l)
	}
	go func() {
		<-ctx.Done()
		_ = srv.Close() // the process is ending
	}()
	var err error
	if srv.TLSConfig != nil {
		err = srv.ServeTLS(ln, "", "")
	} else {
		err = srv.Serve(ln)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("mesh: %w", err)
	}
	return nil
}

// receiveStream reads a peer's stream and shows on the answer that it does.
func (m *Mesh) receiveStream(w http.ResponseWriter, r *http.Request, h Handler) {
	peer := r.Header.Get(nodeHeader)
	if m.peers[peer] == nil {
		http.Error(w, "unknown node", http.StatusForbidden)
		return
	}
	if r.TLS != nil && r.TLS.PeerCertificates[0].VerifyHostname(peer) != nil {
		m.log.Error("mesh: a certificate for another name", "peer", peer)
		http.Error(w, "not your name", http.StatusForbidden)
		return
	}
	rc := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	if rc.Flush() != nil {
		return
	}
	// The signs of life end before the handler does: a write after its end panics, and once a zone
	// was cut off that ended the whole process.
	ctx, cancel := context.WithCancel(r.Context())
	ended := make(chan struct{})
	defer func() { cancel(); <-ended }()
	go func() {
		defer close(ended)
		t := time.NewTicker(m.keepAliveInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				if _, err := w.Write([]byte("\n")); err != nil || rc.Flush() != nil {
					return
				}
			}
		}
	}()
	sc := bufio.NewScanner(r.Body)
	sc.Buffer(make([]byte, 0, 16<<10), maxMessageBytes)
	sc.Split(splitCompleteLines)
	for sc.Scan() {
		if len(sc.Bytes()) == 0 {
			continue
		}
		var msg core.Message
		if err := json.Unmarshal(sc.Bytes(), &msg); err != nil {
			m.log.Error("mesh message not understood", "peer", peer, "err", err)
			return
		}
		h(peer, msg)
	}
	if errors.Is(sc.Err(), bufio.ErrTooLong) {
		m.log.Error("mesh message too long", "peer", peer, "most", maxMessageBytes)
	}
}

// splitCompleteLines splits a stream into lines. One that ends within a line has ended, as it does when its sender is
// stopped or cut off: what there is of the line is no message.
func splitCompleteLines(data []byte, atEOF bool) (advance int, line []byte, err error) {
	advance, line, err = bufio.ScanLines(data, false)
	if atEOF && advance == 0 {
		advance = len(data)
	}
	return advance, line, err
}

// maintainStream holds a stream to a peer open, again and again.
func (m *Mesh) maintainStream(ctx context.Context, l *peerLink) {
	for ctx.Err() == nil {
		if err := m.runStream(ctx, l); err != nil && ctx.Err() == nil {
			m.log.Debug("mesh stream ended", "peer", l.name, "err", err)
		}
		for len(l.outbox) > 0 { // old news
			<-l.outbox
		}
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (m *Mesh) runStream(ctx context.Context, l *peerLink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var protos http.Protocols
	client, scheme := m.tlsFiles.MeshClientConfig(l.name), "http://"
	protos.SetUnencryptedHTTP2(client == nil)
	if client != nil {
		protos.SetHTTP2(true)
		scheme = "https://"
	}
	tr := &http.Transport{
		Protocols:           &protos,
		TLSClientConfig:     client,
		TLSHandshakeTimeout: 2 * time.Second,
		DialContext:         (&net.Dialer{Timeout: time.Second, KeepAlive: -1}).DialContext,
	}
	defer tr.CloseIdleConnections()
	pr, pw := io.Pipe()
	defer pw.Close()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+l.addr+streamPath, pr)
	if err != nil {
		return fmt.Errorf("mesh request: %w", err)
	}
	req.Header.Set(nodeHeader, m.nodeName)
	alive := make(chan struct{}, 1)
	fail := make(chan error, 2)
	go func() {
		resp, err := tr.RoundTrip(req)
		if err != nil {
			fail <- err
			return
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			fail <- fmt.Errorf("status %d", resp.StatusCode)
			return
		}
		buf := make([]byte, 256)
		for {
			n, err := resp.Body.Read(buf)
			if n > 0 {
				select {
				case alive <- struct{}{}:
				default:
				}
			}
			if err != nil {
				fail <- err
				return
			}
		}
	}()
	go func() {
		w := bufio.NewWriterSize(pw, 32<<10)
		for {
			select {
			case <-ctx.Done():
				_ = pr.CloseWithError(ctx.Err())
				return
			case line := <-l.outbox:
				_, err := w.Write(line)
				if err == nil && len(l.outbox) == 0 {
					err = w.Flush()
				}
				if err != nil {
					fail <- err
					return
				}
			}
		}
	}()
	dead := time.NewTimer(peerTimeout)
	defer dead.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-fail:
			return err
		case <-alive:
			dead.Reset(peerTimeout)
		case <-dead.C:
			return errors.New("no sign of life")
		}
	}
}
