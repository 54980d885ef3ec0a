package connlimit

import (
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// The limits of all uses must be positive, and their sum must not exceed the total number of sockets.
func TestLimitsLeaveSpareSockets(t *testing.T) {
	for _, all := range []int{512, 1000, 2847, 3172, 100_000} {
		limits := Divide(all)
		used := limits.AgentCommands + limits.AgentPolls + limits.IdleAgentConns + hardLimitFor(limits.Inbound)
		if used > all || limits.AgentCommands <= 0 || limits.AgentPolls <= 0 || limits.IdleAgentConns <= 0 ||
			limits.Inbound <= 0 {
			t.Errorf("of %d sockets: %+v", all, limits)
		}
	}
}

// Connections that users have abandoned must not use up the sockets that agents need: above the limits, the
// listener closes the connections that have been idle the longest, and no others.
func TestIdleConnectionsAreClosedFirst(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inner.Close() })
	var clock atomic.Int64
	listener := NewListener(inner, Limits{Inbound: 10})
	listener.now = func() time.Time { return time.Unix(0, clock.Load()) }
	connect := func() connPair { return connectPair(t, listener) }
	var all []connPair
	for range 10 {
		all = append(all, connect())
	}
	clock.Add(int64(5 * time.Second))
	for _, pair := range all[1:] { // the first one stays idle
		if err := pair.ping(); err != nil {
			t.Fatal(err)
		}
	}
	clock.Add(int64(6 * time.Second))
	connect()
	if listener.OpenConns() != 10 {
		t.Errorf("%d open connections, want 10: the abandoned one was not closed", listener.OpenConns())
	}
	if err := all[0].ping(); err == nil {
		t.Error("the abandoned connection is still open")
	}
	connect()
	connect()
	if listener.OpenConns() != 12 {
		t.Errorf("%d open connections, want 12: one that was idle for 6 s was closed", listener.OpenConns())
	}
	connect() // exceeds the hard limit
	if listener.OpenConns() != 12 {
		t.Errorf("%d open connections, want 12", listener.OpenConns())
	}
	for _, pair := range all[2:] {
		if err := pair.ping(); err != nil {
			t.Error(err)
		}
		if err := pair.server.Close(); err != nil {
			t.Error(err)
		}
		_ = pair.server.Close() // a second call must not count
	}
	if listener.OpenConns() != 4 {
		t.Errorf("%d open connections, want 4", listener.OpenConns())
	}
}

// connPair holds both ends of a connection.
type connPair struct{ client, server net.Conn }

// connectPair opens a connection to a listener; both ends are closed when the test ends.
func connectPair(t *testing.T, listener *Listener) connPair {
	t.Helper()
	client, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), server.Close() }) // they may be closed already
	return connPair{client, server}
}

// ping sends a byte from the client to the server.
func (p connPair) ping() error {
	if _, err := p.client.Write([]byte("x")); err != nil {
		return err
	}
	_, err := p.server.Read(make([]byte, 1))
	return err
}
