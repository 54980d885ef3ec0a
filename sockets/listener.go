package sockets

import (
	"container/list"
	"net"
	"sync"
	"time"
)

const (
	abandoned = 10 * time.Second // a connection that is quiet for this long is no worker's: these report more often
	answered  = 4 * time.Second  // the same, and whoever waits for an answer on it has given up
)

// Listener bounds the connections that it accepted: before there are too many, those that have been quiet for longest are closed.
// Whoever comes back to one of them opens another; a new one that finds no socket fails.
type Listener struct {
	net.Listener
	soft, hard int // from these many on, connections are closed that are abandoned, that are answered
	mu         sync.Mutex
	open       list.List // of *conn, the longest quiet first
	now        func() time.Time
}

// Listen bounds a listener's connections.
func Listen(ln net.Listener, p Parts) *Listener {
	return &Listener{Listener: ln, soft: p.In, hard: hard(p.In), now: time.Now}
}

// hard is how many there may be at most, beside those in use.
func hard(soft int) int { return soft + soft/5 }

// Used is the part of the connections that there may be which there are.
func (l *Listener) Used() float64 { return float64(l.Open()) / float64(l.hard) }

// Open is how many connections there are.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open.Len()
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := &conn{Conn: c, of: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	x.at = l.now()
	x.place = l.open.PushBack(x)
	if oldest := l.open.Front().Value.(*conn); l.open.Len() > l.soft {
		most := abandoned
		if l.open.Len() > l.hard {
			most = answered
		}
		if x.at.Sub(oldest.at) > most {
			l.open.Remove(oldest.place)
			oldest.place = nil
			_ = oldest.Conn.Close() // its owner learns of it by reading
		}
	}
	return x, nil
}

// conn tells its listener whenever something comes or goes.
type conn struct {
	net.Conn
	of    *Listener
	place *list.Element // nil: closed
	at    time.Time
}

func (c *conn) used() {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if c.place != nil {
		c.at = c.of.now()
		c.of.open.MoveToBack(c.place)
	}
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.used()
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	c.used()
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.of.mu.Lock()
	if c.place != nil {
		c.of.open.Remove(c.place)
		c.place = nil
	}
	c.of.mu.Unlock()
	return c.Conn.Close()
}
