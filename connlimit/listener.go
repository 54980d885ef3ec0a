package connlimit

import (
	"container/list"
	"net"
	"sync"
	"time"
)

const (
	// softIdleTimeout is longer than the interval between two requests of an agent, so a connection that is idle
	// for longer does not belong to an agent.
	softIdleTimeout = 10 * time.Second
	// hardIdleTimeout applies above the hard limit. Users and agents give up on a response within this time, so a
	// connection that is idle for longer carries no request that anyone waits for.
	hardIdleTimeout = 4 * time.Second
)

// Listener bounds the number of its open connections. Above the soft limit, each new connection closes the
// least recently used one if that has been idle for more than softIdleTimeout. Above the hard limit,
// hardIdleTimeout applies instead. A client can replace a closed connection, but without free sockets new
// connections would fail.
type Listener struct {
	net.Listener
	softLimit, hardLimit int
	mu                   sync.Mutex
	byLastUse            list.List // of *conn, least recently used first
	now                  func() time.Time
}

// NewListener wraps a listener and bounds its connections by limits.Inbound.
func NewListener(ln net.Listener, limits Limits) *Listener {
	return &Listener{
		Listener:  ln,
		softLimit: limits.Inbound,
		hardLimit: hardLimitFor(limits.Inbound),
		now:       time.Now,
	}
}

// hardLimitFor returns the hard limit for a soft limit. Above the hard limit, connections are closed after the shorter
// hardIdleTimeout.
func hardLimitFor(soft int) int { return soft + soft/5 }

// Utilization returns the number of open connections as a fraction of the hard limit.
func (l *Listener) Utilization() float64 { return float64(l.OpenConns()) / float64(l.hardLimit) }

// OpenConns returns the number of open connections.
func (l *Listener) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byLastUse.Len()
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.lastUsed = l.now()
	c.element = l.byLastUse.PushBack(c)
	l.closeLongestIdle(c.lastUsed)
	return c, nil
}

// closeLongestIdle closes the least recently used connection if the limits require it and it has been idle for longer
// than the timeout. The caller holds l.mu.
func (l *Listener) closeLongestIdle(now time.Time) {
	if l.byLastUse.Len() <= l.softLimit {
		return
	}
	timeout := softIdleTimeout
	if l.byLastUse.Len() > l.hardLimit {
		timeout = hardIdleTimeout
	}
	longestIdle := l.byLastUse.Front().Value.(*conn)
	if now.Sub(longestIdle.lastUsed) <= timeout {
		return
	}
	l.byLastUse.Remove(longestIdle.element)
	longestIdle.element = nil
	_ = longestIdle.Conn.Close() // the server's next read fails
}

// conn is a connection that records its use with its listener.
type conn struct {
	net.Conn
	listener *Listener
	element  *list.Element // in listener.byLastUse, guarded by listener.mu; nil if closed
	lastUsed time.Time
}

func (c *conn) touch() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.element != nil {
		c.lastUsed = c.listener.now()
		c.listener.byLastUse.MoveToBack(c.element)
	}
}

// Read reads from the connection. Received bytes count as use.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// Write writes to the connection, which counts as use.
func (c *conn) Write(b []byte) (int, error) {
	c.touch()
	return c.Conn.Write(b)
}

// Close closes the connection. Repeated calls do not change the listener's count again.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	if c.element != nil {
		c.listener.byLastUse.Remove(c.element)
		c.element = nil
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
