//go:build review

package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"dewlift/internal/fakes"
)

func init() {
	cases["cuts"] = chaos
	cases["limits"] = chaos
	cases["archives"] = chaos
}

// link is a proxy for the connections that one controller opens to another. While it is cut, the bytes of open
// connections are held back and new connections are reset. Held bytes arrive some time after the cut, in order, also
// if their sender has closed the connection.
type link struct {
	target string
	mu     sync.Mutex
	opened chan struct{} // closed when the current cut ends; nil without a cut
}

func newLink(s *site, target string) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		unable("%v", err)
	}
	l := &link{target: target}
	s.links[ln.Addr().String()] = l
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(conn.(*net.TCPConn))
		}
	}()
	return ln.Addr().String()
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opened == nil {
		l.opened = make(chan struct{})
	}
}

func (l *link) mend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opened != nil {
		close(l.opened)
		l.opened = nil
	}
}

func (l *link) serve(in *net.TCPConn) {
	defer in.Close()
	l.mu.Lock()
	isCut := l.opened != nil
	l.mu.Unlock()
	if isCut {
		_ = in.SetLinger(0)
		return
	}
	out, err := net.Dial("tcp4", l.target)
	if err != nil {
		_ = in.SetLinger(0)
		return
	}
	defer out.Close()
	var wg sync.WaitGroup
	wg.Go(func() { l.pass(out.(*net.TCPConn), in) })
	wg.Go(func() { l.pass(in, out.(*net.TCPConn)) })
	wg.Wait()
}

// pass copies one direction.
func (l *link) pass(to, from *net.TCPConn) {
	type chunk struct {
		raw   []byte
		after chan struct{}
	}
	chunks := make(chan chunk, 100_000)
	go func() {
		defer close(chunks)
		for {
			raw := make([]byte, 16<<10)
			n, err := from.Read(raw)
			if n > 0 {
				l.mu.Lock()
				chunks <- chunk{raw[:n], l.opened}
				l.mu.Unlock()
			}
			if err != nil {
				return
			}
		}
	}()
	var waited chan struct{}
	for c := range chunks {
		if c.after != nil && c.after != waited {
			waited = c.after
			<-c.after
			time.Sleep(rand.N(6 * time.Second))
		}
		if _, err := to.Write(c.raw); err != nil {
			for range chunks { // nobody reads it
			}
			break
		}
	}
	_ = to.CloseWrite()
}

// linkOf returns the link from one node to another.
func (s *site) linkOf(from, to *node) *link {
	return s.links[from.peerAddr[to.name]]
}

// heldBack keeps requests to the state service until the cut ends; transactions are carried out then.
func heldBack(opened chan struct{}) func(w http.ResponseWriter, r *http.Request, next http.Handler) {
	return func(_ http.ResponseWriter, r *http.Request, next http.Handler) {
		raw, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/commit" {
			go func() {
				<-opened
				time.Sleep(rand.N(6 * time.Second))
				next.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/commit", bytes.NewReader(raw)))
			}()
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// cutTrouble cuts controllers from each other, some of them also from the state service. Workers and users reach all.
func (s *site) cutTrouble() {
	group := map[string]bool{}
	kind := rand.N(4)
	for _, i := range rand.Perm(len(s.nodes))[:1+rand.N(len(s.nodes)/2)] {
		group[s.nodes[i].name] = true
	}
	length := 2*time.Second + rand.N(22*time.Second)
	s.record("trouble", "cut of kind %d around %v for %v", kind, group, length)
	opened := make(chan struct{})
	for _, from := range s.nodes {
		for _, to := range s.nodes {
			if from != to && group[from.name] != group[to.name] && (kind != 3 || rand.N(2) == 0) {
				s.linkOf(from, to).cut()
			}
		}
		if group[from.name] && kind < 2 {
			from.storeProxy.set(heldBack(opened))
		}
	}
	time.Sleep(length)
	close(opened)
	for _, from := range s.nodes {
		for _, to := range s.nodes {
			if from != to {
				s.linkOf(from, to).mend()
			}
		}
		from.storeProxy.set(nil)
	}
}

// lowerLimits puts the announced limits of the state service in force.
func (s *site) lowerLimits() {
	s.record("trouble", "the state service lowers its limits")
	s.store.SetLimits(fakes.Limits{
		RPS: 60, WriteRPS: 15, ValueBytes: 2 << 10, TxnOps: 6, PageItems: 1000, PageKB: 512,
	})
}

// nextLimits are the limits as the settings announce them.
func nextLimits() map[string]any {
	return map[string]any{"rps": 60.0, "write_rps": 15.0, "value_kb": 2.0, "txn_ops": 6}
}
