// Package mesh sends messages between controllers over HTTP/2 streams, with mutual TLS if configured. Each
// controller keeps one stream open to each peer and writes JSON messages to it, one per line. The package
// owns the streams and a bounded queue for each peer. Messages may be lost, so nothing that safety depends
// on may be sent over the mesh alone.
package mesh

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"dewlift/core"
	"dewlift/tlsconfig"
)

// Names on the wire. Controllers of other versions depend on them.
const (
	streamPath = "/mesh"
	nodeHeader = "Dewlift-Node"
)

const (
	// outboxLength is the capacity of a peer's outbox. Messages beyond it are dropped.
	outboxLength = 2048
	// maxMessageBytes bounds the size of a message. It must hold the cluster state of a large fleet.
	maxMessageBytes = 8 << 20
	// defaultKeepAliveInterval is the interval of keep-alives in the response of a stream.
	defaultKeepAliveInterval = 500 * time.Millisecond
	// peerTimeout is the time without a keep-alive after which a stream is closed.
	peerTimeout = 2500 * time.Millisecond
	// reconnectDelay is the time between the end of a stream and the next connection attempt.
	reconnectDelay      = 300 * time.Millisecond
	dialTimeout         = time.Second
	tlsHandshakeTimeout = 2 * time.Second
	readHeaderTimeout   = 5 * time.Second
	readBufferBytes     = 16 << 10
	writeBufferBytes    = 32 << 10
	keepAliveReadBytes  = 256
)

// Handler handles a message from a peer. Different streams call it concurrently.
type Handler func(peer string, message core.Message)

// Mesh holds the streams of one controller.
type Mesh struct {
	nodeName          string
	peers             map[string]*peerLink // by name; never changes
	log               *slog.Logger
	keepAliveInterval time.Duration
	tlsFiles          *tlsconfig.Files
}

// peerLink is a peer with its queue of outgoing messages.
type peerLink struct {
	name   string
	addr   string
	outbox chan []byte // encoded messages, each with a newline
}

// New returns a mesh of the named controller. The map holds the addresses of its peers by name. Without TLS
// files the mesh uses plain text.
func New(name string, peers map[string]string, files *tlsconfig.Files, log *slog.Logger) *Mesh {
	m := &Mesh{
		nodeName:          name,
		peers:             map[string]*peerLink{},
		log:               log,
		keepAliveInterval: defaultKeepAliveInterval,
		tlsFiles:          files,
	}
	for peer, addr := range peers {
		m.peers[peer] = &peerLink{name: peer, addr: addr, outbox: make(chan []byte, outboxLength)}
	}
	return m
}

// Send queues a message for a peer, or for all peers if the name is empty. It never blocks: it drops the
// message if the peer's queue is full.
func (m *Mesh) Send(peer string, message core.Message) {
	line, err := json.Marshal(message) // once for all peers: the cluster state of a large fleet is long
	if err != nil {
		m.log.Error("failed to encode mesh message", "err", err)
		return
	}
	line = append(line, '\n')
	for name, link := range m.peers {
		if peer == "" || peer == name {
			select {
			case link.outbox <- line:
			default:
			}
		}
	}
}

// Serve accepts the peers' streams on a listener and maintains an outgoing stream to each peer, until the
// context ends or the listener fails. It closes the listener, and returns after the outgoing streams have
// ended.
func (m *Mesh) Serve(ctx context.Context, ln net.Listener, handle Handler) error {
	ctx, cancel := context.WithCancel(ctx)
	var streams sync.WaitGroup
	defer streams.Wait()
	defer cancel()
	srv := m.newServer(handle)
	for _, link := range m.peers {
		streams.Go(func() { m.maintainStream(ctx, link) })
	}
	context.AfterFunc(ctx, func() { _ = srv.Close() }) // an error cannot be handled here
	var err error
	if srv.TLSConfig != nil {
		err = srv.ServeTLS(ln, "", "")
	} else {
		err = srv.Serve(ln)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve mesh: %w", err)
	}
	return nil
}

func (m *Mesh) newServer(handle Handler) *http.Server {
	tlsConfig := m.tlsFiles.MeshServerConfig()
	var protocols http.Protocols
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+streamPath, func(w http.ResponseWriter, r *http.Request) { m.receiveStream(w, r, handle) })
	return &http.Server{
		Handler:           mux,
		Protocols:         &protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		TLSConfig:         tlsConfig,
		ErrorLog:          slog.NewLogLogger(m.log.Handler(), slog.LevelDebug),
	}
}

// receiveStream handles the messages of a peer's stream and writes keep-alives to the response.
func (m *Mesh) receiveStream(w http.ResponseWriter, r *http.Request, handle Handler) {
	peer := r.Header.Get(nodeHeader)
	if m.peers[peer] == nil {
		http.Error(w, "unknown node", http.StatusForbidden)
		return
	}
	if r.TLS != nil && r.TLS.PeerCertificates[0].VerifyHostname(peer) != nil {
		m.log.Error("mesh certificate does not match the peer's name", "peer", peer)
		http.Error(w, "not your name", http.StatusForbidden)
		return
	}
	w.WriteHeader(http.StatusOK)
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	// Wait for writeKeepAlives before the handler returns. A write to the response after that panics, which
	// crashed the process when the network to a zone failed.
	ctx, cancel := context.WithCancel(r.Context())
	var keepAlives sync.WaitGroup
	defer keepAlives.Wait()
	defer cancel()
	keepAlives.Go(func() { m.writeKeepAlives(ctx, w) })
	m.readMessages(peer, r.Body, handle)
}

// writeKeepAlives writes empty lines until the context ends or a write fails.
func (m *Mesh) writeKeepAlives(ctx context.Context, w http.ResponseWriter) {
	response := http.NewResponseController(w)
	ticker := time.NewTicker(m.keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if _, err := w.Write([]byte("\n")); err != nil || response.Flush() != nil {
				return
			}
		}
	}
}

// readMessages handles messages until the stream ends or a message cannot be decoded.
func (m *Mesh) readMessages(peer string, body io.Reader, handle Handler) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, readBufferBytes), maxMessageBytes)
	scanner.Split(splitCompleteLines)
	for scanner.Scan() {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var message core.Message
		if err := json.Unmarshal(scanner.Bytes(), &message); err != nil {
			m.log.Error("failed to decode mesh message", "peer", peer, "err", err)
			return
		}
		handle(peer, message)
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		m.log.Error("mesh message is too long", "peer", peer, "most", maxMessageBytes)
	}
}

// splitCompleteLines is a bufio.SplitFunc for lines that drops an incomplete last line, which is part of a
// message whose sender stopped or lost its connection.
func splitCompleteLines(data []byte, atEOF bool) (advance int, line []byte, err error) {
	advance, line, err = bufio.ScanLines(data, false)
	if atEOF && advance == 0 {
		advance = len(data)
	}
	return advance, line, err
}

// maintainStream keeps a stream to a peer open and reconnects when it fails, until the context ends.
func (m *Mesh) maintainStream(ctx context.Context, link *peerLink) {
	for ctx.Err() == nil {
		if err := m.runStream(ctx, link); err != nil && ctx.Err() == nil {
			m.log.Debug("mesh stream ended", "peer", link.name, "err", err)
		}
		for len(link.outbox) > 0 { // the messages would be outdated on the next stream
			<-link.outbox
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// runStream opens a stream to a peer and sends messages on it until either side fails or the context ends.
func (m *Mesh) runStream(ctx context.Context, link *peerLink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	transport, scheme := m.newTransport(link.name)
	defer transport.CloseIdleConnections()
	bodyReader, bodyWriter := io.Pipe()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+link.addr+streamPath, bodyReader)
	if err != nil {
		return fmt.Errorf("build mesh request: %w", err)
	}
	req.Header.Set(nodeHeader, m.nodeName)
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	defer func() { _ = bodyWriter.Close() }() // ends the request body; never fails
	keepAlives := make(chan struct{}, 1)
	failures := make(chan error, 2) // room for one error of each worker, so that none blocks
	workers.Go(func() { failures <- readKeepAlives(transport, req, keepAlives) })
	workers.Go(func() { failures <- link.writeMessages(ctx, bodyReader, bodyWriter) })
	return awaitStreamEnd(ctx, keepAlives, failures)
}

// newTransport returns a transport for one stream to a peer, and the URL scheme to use with it.
func (m *Mesh) newTransport(peer string) (transport *http.Transport, scheme string) {
	tlsConfig := m.tlsFiles.MeshClientConfig(peer)
	scheme = "http://"
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	if tlsConfig != nil {
		protocols.SetHTTP2(true)
		scheme = "https://"
	}
	return &http.Transport{
		Protocols:           &protocols,
		TLSClientConfig:     tlsConfig,
		TLSHandshakeTimeout: tlsHandshakeTimeout,
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
	}, scheme
}

// readKeepAlives sends the request and reports keep-alives until the response ends.
func readKeepAlives(transport *http.Transport, req *http.Request, keepAlives chan<- struct{}) error {
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // the stream has ended
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("unexpected status %d", resp.StatusCode)
	}
	buf := make([]byte, keepAliveReadBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			select {
			case keepAlives <- struct{}{}:
			default: // a keep-alive is pending already
			}
		}
		if err != nil {
			return err
		}
	}
}

// writeMessages writes the queued messages to the request body. It flushes when the queue is empty.
func (l *peerLink) writeMessages(ctx context.Context, body *io.PipeReader, w io.Writer) error {
	buffered := bufio.NewWriterSize(w, writeBufferBytes)
	for {
		select {
		case <-ctx.Done():
			_ = body.CloseWithError(ctx.Err()) // never fails
			return ctx.Err()
		case line := <-l.outbox:
			_, err := buffered.Write(line)
			if err == nil && len(l.outbox) == 0 {
				err = buffered.Flush()
			}
			if err != nil {
				return err
			}
		}
	}
}

// awaitStreamEnd waits until a worker fails, no keep-alive has arrived for peerTimeout or the context ends, and
// returns the cause.
func awaitStreamEnd(ctx context.Context, keepAlives <-chan struct{}, failures <-chan error) error {
	timeout := time.NewTimer(peerTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failures:
			return err
		case <-keepAlives:
			timeout.Reset(peerTimeout)
		case <-timeout.C:
			return errors.New("keep-alive timeout")
		}
	}
}
