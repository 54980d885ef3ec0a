package connlimit

import (
	"container/list"
	"net"
	"sync"
	"time"
)

const (
	// a connection that is quiet for this long is no worker's: these report more often
	softIdleTimeout = 10 * time.Second
	hardIdleTimeout = 4 * time.Second // the same, and whoever waits for an answer on it has given up
)

// Listener bounds the connections that it accepted: before there are too many, those that have been
// quiet for longest are closed. Whoever comes back to one of them opens another; a new one that
// finds no socket fails.
type Listener struct {
	net.Listener
	softLimit, hardLimit int // from these many on, connections are closed that are abandoned, that are answered
	mu                   sync.Mutex
	byLastUse            list.List // of *conn, the longest quiet first
	now                  func() time.Time
}

// NewListener bounds a listener's connections.
func NewListener(ln net.Listener, p Limits) *Listener {
	return &Listener{Listener: ln, softLimit: p.Inbound, hardLimit: hardLimitFor(p.Inbound), now: time.Now}
}

// hardLimitFor is how many there may be at most, beside those in use.
func hardLimitFor(soft int) int { return soft + soft/5 }

// Utilization is the part of the connections that there may be which there are.
func (l *Listener) Utilization() float64 { return float64(l.OpenConns()) / float64(l.hardLimit) }

// OpenConns is how many connections there are.
func (l *Listener) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byLastUse.Len()
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := &conn{Conn: c, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	x.lastUsed = l.now()
	x.element = l.byLastUse.PushBack(x)
	if oldest := l.byLastUse.Front().Value.(*conn); l.byLastUse.Len() > l.softLimit {
		most := softIdleTimeout
		if l.byLastUse.Len() > l.hardLimit {
			most = hardIdleTimeout
		}
		if x.lastUsed.Sub(oldest.lastUsed) > most {
			l.byLastUse.Remove(oldest.element)
			oldest.element = nil
			_ = oldest.Conn.Close() // its owner learns of it by reading
		}
	}
	return x, nil
}

// conn tells its listener whenever something comes or goes.
type conn struct {
	net.Conn
	listener *Listener
	element  *list.Element // nil: closed
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

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.touch()
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	c.touch()
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.listener.mu.Lock()
	if c.element != nil {
		c.listener.byLastUse.Remove(c.element)
		c.element = nil
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
