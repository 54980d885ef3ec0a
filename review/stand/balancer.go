//go:build review

package main

import (
	"sync"
	"time"
)

// balancer is the load balancer of the users: see "Users -> controller nodes".
type balancer struct {
	s      *site
	mu     sync.Mutex
	out    map[string]time.Time // nodes taken out by probes, and since when
	open   map[string]int       // user connections
	failed map[string]int       // connections that failed in a row
	skip   map[string]time.Time // until when a node is skipped because of these
}

func newBalancer(s *site) *balancer {
	b := &balancer{
		s: s, out: map[string]time.Time{}, open: map[string]int{}, failed: map[string]int{},
		skip: map[string]time.Time{},
	}
	for _, n := range s.nodes {
		go b.probe(n)
	}
	return b
}

// probe asks for the node's health once a second. The node is taken out after two failures in a row or three among
// the last six, and is back after two successes in a row, but only when 3 s have passed.
func (b *balancer) probe(n *node) {
	var last []bool
	for b.s.ctx.Err() == nil {
		at := time.Now()
		last = append(last, n.healthy())
		last = last[max(0, len(last)-6):]
		failed := 0
		for _, ok := range last {
			if !ok {
				failed++
			}
		}
		row := func(ok bool) bool {
			return len(last) >= 2 && last[len(last)-1] == ok && last[len(last)-2] == ok
		}
		b.mu.Lock()
		since, out := b.out[n.name]
		switch {
		case !out && (row(false) || failed >= 3):
			b.out[n.name] = time.Now()
			b.s.record("balancer", "%s is taken out", n.name)
		case out && row(true) && time.Since(since) >= 3*time.Second:
			delete(b.out, n.name)
			last = nil
			b.s.record("balancer", "%s is back", n.name)
		}
		b.mu.Unlock()
		time.Sleep(time.Until(at.Add(time.Second)))
	}
}

// connect chooses a healthy node with the fewest open connections and calls f with it. When the node refuses the
// connection, a different one is tried, up to three in total. A node that fails three in a row is skipped for 3 s.
func (b *balancer) connect(f func(n *node) (status int)) {
	tried := map[string]bool{}
	for range 3 {
		b.mu.Lock()
		var best *node
		for _, n := range b.s.nodes {
			_, out := b.out[n.name]
			if out || tried[n.name] || time.Now().Before(b.skip[n.name]) {
				continue
			}
			if best == nil || b.open[n.name] < b.open[best.name] {
				best = n
			}
		}
		if best == nil {
			b.mu.Unlock()
			return
		}
		tried[best.name] = true
		b.open[best.name]++
		b.mu.Unlock()
		status := f(best)
		b.mu.Lock()
		b.open[best.name]--
		if status != refused {
			b.failed[best.name] = 0
			b.mu.Unlock()
			return
		}
		if b.failed[best.name]++; b.failed[best.name] >= 3 {
			b.failed[best.name] = 0
			b.skip[best.name] = time.Now().Add(3 * time.Second)
			b.s.record("balancer", "%s is skipped for 3 s", best.name)
		}
		b.mu.Unlock()
	}
}
