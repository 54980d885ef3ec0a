package main

import (
	"fmt"
	"log"
	"os"
	"runtime/pprof"
	"slices"
	"time"
)

const (
	crushTime = 100 * time.Second // for which arrays come so many times as often
	crushCut  = 20 * time.Second  // after its begin, a zone is lost
	crushStep = 20 * time.Second
)

// crush plays a site into which arrays come factor times as often as it has room for, while a zone is lost, and tells what a core takes
// as the queue grows: the work must not grow with it.
func crush(n int, factor float64, seed uint64, profile string) error {
	s := newSite(n, seed)
	for i := range n / 4 {
		s.after(3*time.Second+time.Duration(i)*20*time.Second/time.Duration(n/4), func() { s.job(i, true) })
	}
	next := 500_000
	rate := arraysAMachine * float64(n) * 1.5 // arrays a second that fill the site
	var arrive func()
	arrive = func() {
		next++
		s.job(next, false)
		s.after(time.Duration(float64(time.Second)/rate), arrive)
	}
	s.after(20*time.Second, arrive)
	if profile != "" {
		f, err := os.Create(profile)
		if err != nil {
			return err
		}
		defer f.Close()
		defer pprof.StopCPUProfile()
		s.after(warm, func() {
			if err := pprof.StartCPUProfile(f); err != nil {
				log.Print("scale: ", err)
			}
		})
	}
	for at := crushStep; at <= warm+2*crushTime; at += crushStep {
		switch at - crushStep {
		case warm:
			rate *= factor
		case warm + crushCut:
			s.cut = kind.Zones[1]
		case warm + crushTime:
			rate /= factor
		}
		most := 0.0
		from := make([]time.Duration, len(s.nodes))
		for i, x := range s.nodes {
			from[i] = x.busy + x.codec
		}
		accepted, started := s.counted.accepted, s.counted.started
		s.waited = nil
		s.run(at)
		for i, x := range s.nodes {
			most = max(most, (x.busy+x.codec-from[i]).Seconds()/crushStep.Seconds())
		}
		fmt.Printf("%4.0f s: %d machines, %.3f of a core, %d jobs accepted and %d tasks started, %d replicas lost and %d replaced so far; %d arrays began, after %.0f s at the median and %.0f s at most, %d wait\n",
			at.Seconds(), len(s.machines), most, s.counted.accepted-accepted, s.counted.started-started, s.counted.lost, s.counted.replaced, len(s.waited), middle(s.waited), slices.Max(append(s.waited, 0)).Seconds(), len(s.unbegun))
	}
	return nil
}

// middle is the median of times, in s; 0 of none.
func middle(list []time.Duration) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2].Seconds()
}
