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
	overloadDuration       = 100 * time.Second // for which the rate of arrays is multiplied
	overloadZoneLossDelay  = 20 * time.Second  // from its begin until a zone is lost
	overloadReportInterval = 20 * time.Second  // between two lines of output
	saturationFactor       = 1.5               // times arraysPerMachine fill the cluster
)

// runOverload plays a cluster into which arrays come factor times as often as it has capacity for, while a zone is
// lost, and prints what a core takes as the queue grows: the work must not grow with it.
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

// runOverloadStep runs until a time and prints what that took.
func (s *simCluster) runOverloadStep(until time.Duration) {
	before := s.nodeCosts()
	accepted, started := s.counters.accepted, s.counters.started
	s.startDelays = nil
	s.runUntil(until)
	maxBusy := 0.0
	for i, n := range s.nodes {
		busy := n.coreTime + n.codecTime - before[i].coreTime - before[i].codecTime
		maxBusy = max(maxBusy, busy.Seconds()/overloadReportInterval.Seconds())
	}
	fmt.Printf(
		"%4.0f s: %d machines, %.3f of a core, %d jobs accepted and %d tasks started, "+
			"%d replicas lost and %d replaced so far; "+
			"%d arrays began, after %.0f s at the median and %.0f s at most, %d wait\n",
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

// medianSeconds returns the median of durations in seconds; 0 of none. It sorts them.
func medianSeconds(durations []time.Duration) float64 {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[len(durations)/2].Seconds()
}
