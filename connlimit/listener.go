package connlimit

import (
	"container/list"
	"net"
	"sync"
	"time"
)

const (
	// softIdleTimeout is longer than agents are silent: a connection idle for longer is no agent's.
	softIdleTimeout = 10 * time.Second
	// hardIdleTimeout is shorter, for when there are more connections than there should ever be: a client
	// that waits for a response on one idle for longer has given up.
	hardIdleTimeout = 4 * time.Second
)

// Listener bounds the connections that it accepts: above the soft limit, each new one closes the one idle
// for longest if it is idle for softIdleTimeout; above the hard limit, for hardIdleTimeout. A client
// whose connection was closed opens another; a connection that finds no socket would fail.
type Listener struct {
	net.Listener
	softLimit, hardLimit int
	mu                   sync.Mutex
	byLastUse            list.List // of *conn, the one idle for longest first
	now                  func() time.Time
}

// NewListener bounds a listener's connections by the inbound limit.
func NewListener(ln net.Listener, limits Limits) *Listener {
	return &Listener{
		Listener:  ln,
		softLimit: limits.Inbound,
		hardLimit: hardLimitFor(limits.Inbound),
		now:       time.Now,
	}
}

// hardLimitFor returns the hard limit: above it, only connections in use are kept.
func hardLimitFor(soft int) int { return soft + soft/5 }

// Utilization returns the open connections as a share of the hard limit.
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

// closeLongestIdle closes the connection idle for longest if the limits say so. l.mu is held.
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
	_ = longestIdle.Conn.Close() // its server notices when it reads
}

// conn is a connection that records its use with its listener.
type conn struct {
	net.Conn
	listener *Listener
	element  *list.Element // in the listener's byLastUse, whose mu guards it; nil: closed
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

// Read reads from the connection; received bytes count as use.
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

// Close closes the connection; it counts once, also if it is closed again.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	if c.element != nil {
		c.listener.byLastUse.Remove(c.element)
		c.element = nil
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
