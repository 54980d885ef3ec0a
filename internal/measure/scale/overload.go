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
	overloadTime     = 100 * time.Second // for which arrays come so many times as often
	overloadCutAfter = 20 * time.Second  // after its begin, a zone is lost
	overloadStep     = 20 * time.Second
)

// runOverload plays a site into which arrays come factor times as often as it has room for, while a
// zone is lost, and tells what a core takes as the queue grows: the work must not grow with it.
func runOverload(n int, factor float64, seed uint64, profile string) error {
	s := newSimCluster(n, seed)
	for i := range n / 4 {
		s.schedule(3*time.Second+time.Duration(i)*20*time.Second/time.Duration(n/4), func() { s.submitJob(i, true) })
	}
	next := 500_000
	rate := arraysPerMachine * float64(n) * 1.5 // arrays a second that fill the site
	var arrive func()
	arrive = func() {
		next++
		s.submitJob(next, false)
		s.schedule(time.Duration(float64(time.Second)/rate), arrive)
	}
	s.schedule(20*time.Second, arrive)
	if profile != "" {
		f, err := os.Create(profile)
		if err != nil {
			return err
		}
		defer f.Close()
		defer pprof.StopCPUProfile()
		s.schedule(warmUpTime, func() {
			if err := pprof.StartCPUProfile(f); err != nil {
				log.Print("scale: ", err)
			}
		})
	}
	for at := overloadStep; at <= warmUpTime+2*overloadTime; at += overloadStep {
		switch at - overloadStep {
		case warmUpTime:
			rate *= factor
		case warmUpTime + overloadCutAfter:
			s.cutZone = machineType.Zones[1]
		case warmUpTime + overloadTime:
			rate /= factor
		}
		most := 0.0
		from := make([]time.Duration, len(s.nodes))
		for i, x := range s.nodes {
			from[i] = x.coreTime + x.codecTime
		}
		accepted, started := s.counters.accepted, s.counters.started
		s.startDelays = nil
		s.runUntil(at)
		for i, x := range s.nodes {
			most = max(most, (x.coreTime+x.codecTime-from[i]).Seconds()/overloadStep.Seconds())
		}
		fmt.Printf(
			"%4.0f s: %d machines, %.3f of a core, %d jobs accepted and %d tasks started, %d replicas lost and %d replaced so far; %d arrays began, after %.0f s at the median and %.0f s at most, %d wait\n",
			at.Seconds(),
			len(s.machines),
			most,
			s.counters.accepted-accepted,
			s.counters.started-started,
			s.counters.lost,
			s.counters.replaced,
			len(s.startDelays),
			medianSeconds(s.startDelays),
			slices.Max(append(s.startDelays, 0)).Seconds(),
			len(s.unstartedArrays),
		)
	}
	return nil
}

// medianSeconds is the median of times, in s; 0 of none.
func medianSeconds(list []time.Duration) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2].Seconds()
}
