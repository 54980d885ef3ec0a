package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dewlift/wire"
)

// These tests guard against a single refused job lowering the transaction limits until the process restarts, and
// blocking the jobs that are written with it. This happened when every status 400 of the store was treated as a sign
// of smaller limits than configured: the limits were reduced once a second, down to 2 writes and 512 bytes.

// refusesJob returns the accepts function of a store that refuses all transactions which write a job.
func refusesJob(id string) func(txn wire.Txn) bool {
	return func(txn wire.Txn) bool {
		return !slices.ContainsFunc(txn.Then, func(write wire.Write) bool { return write.Put == keyJob+id })
	}
}

// A job that the store refuses for its content must be answered with status 400. It must neither lower the limits nor
// keep the jobs submitted with it from being accepted.
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
	const refusedRequest = 104
	for i := range 10 {
		submission := testSubmission(fmt.Sprintf("wk-%06d", i))
		submission.RequestID = 100 + uint64(i)
		c.Handle(2*time.Second, submission)
	}
	answerAndObserve(c, 2*time.Second, 30*time.Second, refusesJob("wk-000004"), observe)
	for id := uint64(100); id < 110; id++ {
		want := wire.StatusCreated
		if id == refusedRequest {
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

// Limits that were lowered because the store temporarily accepted less must be raised again without a restart.
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
