package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dewlift/wire"
)

// What happens: one request of which the store takes no write lowers what every later transaction may hold, until the
// process restarts, and keeps the jobs that were written with it waiting. Why: any 400 of the store was taken for a
// limit that is smaller than the settings say. What showed it: "transaction refused by the store: limits reduced"
// once a second, down to txn_ops=2 and value_bytes=512, after a single job was refused.

// refusesJob returns whether the store takes a transaction, if it refuses all that write a job.
func refusesJob(id string) func(txn wire.Txn) bool {
	return func(txn wire.Txn) bool {
		return !slices.ContainsFunc(txn.Then, func(write wire.Write) bool { return write.Put == keyJob+id })
	}
}

// A job that the store refuses, whatever its size, must be answered 400, must not lower the limits, and must not keep
// those that came with it from being accepted.
func TestRefusedJobLeavesLimitsAndOthers(t *testing.T) {
	c := newLeadingCore(t)
	answerAndCollectWrites(t, c, time.Second, 2*time.Second)
	ops, bytes := c.cfg.Store.MaxTxnOps, c.cfg.Store.MaxValueBytes
	statuses := map[uint64]wire.Status{}
	observe := func(out Output) {
		if response, ok := out.(Response); ok {
			statuses[response.RequestID] = response.Status
		}
	}
	const poisoned = 104
	for i := range 10 {
		submission := testSubmission(fmt.Sprintf("wk-%06d", i))
		submission.RequestID = 100 + uint64(i)
		c.Handle(2*time.Second, submission)
	}
	answerAndObserve(c, 2*time.Second, 30*time.Second, refusesJob("wk-000004"), observe)
	for id := uint64(100); id < 110; id++ {
		want := wire.StatusCreated
		if id == poisoned {
			want = wire.StatusBadRequest
		}
		if statuses[id] != want {
			t.Errorf("request %d: %v, want %v", id, statuses[id], want)
		}
	}
	if c.cfg.Store.MaxTxnOps != ops || c.cfg.Store.MaxValueBytes != bytes {
		t.Errorf("limits are %d writes and %d bytes, were %d and %d",
			c.cfg.Store.MaxTxnOps, c.cfg.Store.MaxValueBytes, ops, bytes)
	}
}

// Limits that were lowered because the store took less for a while must rise again, without a restart.
func TestLoweredLimitsRiseAgain(t *testing.T) {
	c := newLeadingCore(t)
	answerAndCollectWrites(t, c, time.Second, 2*time.Second)
	ops, bytes := c.cfg.Store.MaxTxnOps, c.cfg.Store.MaxValueBytes
	submission := testSubmission("wk-1")
	submission.Spec.Image = strings.Repeat("x", 3000)
	c.Handle(2*time.Second, submission)
	answerTxns(c, 2*time.Second, 8*time.Second, func(txn wire.Txn) bool {
		return !slices.ContainsFunc(txn.Then, func(write wire.Write) bool { return len(write.Value) > 600 })
	})
	if c.cfg.Store.MaxValueBytes >= bytes {
		t.Fatalf("the limit stays at %d bytes", c.cfg.Store.MaxValueBytes)
	}
	answerTxns(c, 8*time.Second, 20*time.Minute, func(wire.Txn) bool { return true })
	if c.cfg.Store.MaxTxnOps != ops || c.cfg.Store.MaxValueBytes != bytes {
		t.Errorf("limits are %d writes and %d bytes after 20 minutes, were %d and %d",
			c.cfg.Store.MaxTxnOps, c.cfg.Store.MaxValueBytes, ops, bytes)
	}
}
