//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["late"] = late }

// late is a trial: copies of old reports arrive at every controller, while controllers are restarted. No job is
// cancelled, so no task may be stopped, and each begins soon.
func late(record string) {
	cfg := defaultConfig()
	cfg.vary = 0.5
	if trouble() {
		cfg.lateReports = 0.3
	}
	s := newSite(record, cfg)
	s.startAll()
	var mu sync.Mutex
	accepted := map[string]time.Time{}
	var wg sync.WaitGroup
	stop := time.Now().Add(70 * time.Second)
	wg.Go(func() {
		for i := 0; time.Now().Before(stop); i++ {
			id := fmt.Sprintf("wk-%06d", i)
			if s.submit(s.nodes[i%3], "", newJob(id, "kiln-floor", 1+i%12, float64(3+i%20))) {
				mu.Lock()
				accepted[id] = time.Now()
				mu.Unlock()
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
	for i := 0; time.Now().Before(stop); i++ {
		time.Sleep(12 * time.Second)
		s.nodes[i%3].kill()
		s.nodes[i%3].start()
	}
	wg.Wait()
	time.Sleep(15 * time.Second)
	longest := time.Duration(0)
	s.fleet.mu.Lock()
	for task, at := range s.fleet.begun {
		id, _, _ := strings.Cut(task, "/")
		longest = max(longest, at.Sub(accepted[id]))
	}
	begun := len(s.fleet.begun)
	again := 0
	for _, n := range s.fleet.started {
		if n > 1 {
			again++
		}
	}
	s.fleet.mu.Unlock()
	s.record("case", "%d tasks began, the last %v after the acceptance, %d more than once", begun, longest, again)
	fmt.Printf("%d tasks began, at most %v after the acceptance, %d more than once\n", begun, longest, again)
	s.finish()
}
