package connlimit

import (
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// The parts of all uses together must leave sockets for the rest.
func TestLimitsLeaveSpareSockets(t *testing.T) {
	for _, all := range []int{512, 1000, 2847, 3172, 100_000} {
		p := Divide(all)
		if used := p.AgentCommands + p.AgentPolls + p.IdleAgentConns + hardLimitFor(p.Inbound); used > all ||
			p.AgentCommands <= 0 ||
			p.AgentPolls <= 0 ||
			p.IdleAgentConns <= 0 ||
			p.Inbound <= 0 {
			t.Errorf("of %d sockets: %+v", all, p)
		}
	}
}

// Users' connections that nobody used any more held the sockets that workers needed.
func TestIdleConnectionsAreClosedFirst(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	var clock atomic.Int64
	l := NewListener(inner, Limits{Inbound: 10})
	l.now = func() time.Time { return time.Unix(0, clock.Load()) }
	connect := func() (client, server net.Conn) {
		client, err := net.Dial("tcp4", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if server, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close(); server.Close() })
		return client, server
	}
	ping := func(client, server net.Conn) error {
		if _, err := client.Write([]byte("x")); err != nil {
			return err
		}
		_, err := server.Read(make([]byte, 1))
		return err
	}
	type pair struct{ client, server net.Conn }
	var all []pair
	for range 10 {
		c, s := connect()
		all = append(all, pair{c, s})
	}
	clock.Add(int64(5 * time.Second))
	for _, p := range all[1:] { // the first is abandoned
		if err := ping(p.client, p.server); err != nil {
			t.Fatal(err)
		}
	}
	clock.Add(int64(6 * time.Second))
	connect()
	if l.OpenConns() != 10 {
		t.Errorf("%d connections, at most 10 with one abandoned", l.OpenConns())
	}
	if err := ping(all[0].client, all[0].server); err == nil {
		t.Error("the abandoned connection is still open")
	}
	connect()
	connect()
	if l.OpenConns() != 12 {
		t.Errorf("%d connections: one that was used 6 s ago was closed without need", l.OpenConns())
	}
	connect() // now there are more than can be
	if l.OpenConns() != 12 {
		t.Errorf("%d connections, at most 12", l.OpenConns())
	}
	for _, p := range all[2:] {
		if err := ping(p.client, p.server); err != nil {
			t.Error(err)
		}
		if err := p.server.Close(); err != nil {
			t.Error(err)
		}
		_ = p.server.Close() // a server may close twice; it counts once
	}
	if l.OpenConns() != 4 {
		t.Errorf("%d connections after eight of twelve were closed", l.OpenConns())
	}
}
