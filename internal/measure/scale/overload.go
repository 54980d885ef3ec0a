package main

import (
	"errors"
	"fmt"
	"log"
	"os"
	"runtime/pprof"
	"slices"
	"time"
)

const (
	overloadDuration       = 100 * time.Second // during which the rate of arrays is multiplied
	overloadZoneLossDelay  = 20 * time.Second  // from the start of the overload until a zone is lost
	overloadReportInterval = 20 * time.Second  // simulated time between two lines of output
	saturationFactor       = 1.5               // arraysPerMachine times this factor fills the cluster
)

// runOverload simulates a cluster that receives factor times as many arrays as it has capacity for and loses a zone
// meanwhile. It prints the CPU use of the busiest controller, which must not grow with the queue.
func runOverload(machines int, factor float64, seed uint64, profile string) (err error) {
	s := newSimCluster(machines, seed)
	services := machines / 4
	for i := range services {
		at := 3*time.Second + time.Duration(i)*20*time.Second/time.Duration(services)
		s.schedule(at, func() { s.submitJob(i, true) })
	}
	next := firstArrayNumber
	rate := arraysPerMachine * float64(machines) * saturationFactor // per second
	var submitNext func()
	submitNext = func() {
		next++
		s.submitJob(next, false)
		s.schedule(time.Duration(float64(time.Second)/rate), submitNext)
	}
	s.schedule(arraySubmitTime, submitNext)
	if profile != "" {
		file, err := os.Create(profile)
		if err != nil {
			return fmt.Errorf("create profile: %w", err)
		}
		defer func() {
			pprof.StopCPUProfile()
			err = errors.Join(err, file.Close())
		}()
		s.schedule(warmUpTime, func() {
			if err := pprof.StartCPUProfile(file); err != nil {
				log.Print("scale: ", err)
			}
		})
	}
	for at := overloadReportInterval; at <= warmUpTime+2*overloadDuration; at += overloadReportInterval {
		switch at - overloadReportInterval {
		case warmUpTime:
			rate *= factor
		case warmUpTime + overloadZoneLossDelay:
			s.partitionedZone = machineType.Zones[1]
		case warmUpTime + overloadDuration:
			rate /= factor
		}
		s.runOverloadStep(at)
	}
	return nil
}

// runOverloadStep runs the simulation until a time and prints the costs and events of that period.
func (s *simCluster) runOverloadStep(until time.Duration) {
	before := s.nodeCosts()
	accepted, started := s.counters.accepted, s.counters.started
	s.startDelays = nil
	s.runUntil(until)
	maxBusy := 0.0
	for i, n := range s.controllers {
		busy := n.coreTime + n.codecTime - before[i].coreTime - before[i].codecTime
		maxBusy = max(maxBusy, busy.Seconds()/overloadReportInterval.Seconds())
	}
	fmt.Printf(
		"%4.0f s: %d machines, %.3f of a core, %d jobs accepted and %d tasks started, "+
			"%d replicas lost and %d replaced so far; "+
			"%d arrays started, median delay %.0f s, maximum %.0f s; %d arrays waiting\n",
		until.Seconds(),
		len(s.machines),
		maxBusy,
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

// medianSeconds returns the median of durations in seconds, or 0 if there are none. It sorts durations.
func medianSeconds(durations []time.Duration) float64 {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[len(durations)/2].Seconds()
}
