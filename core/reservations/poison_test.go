package reservations

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dewlift/booking"
	"dewlift/wire"
)

// These tests guard against poison requests, whose reservations can't be encoded or never fit a value, so that no
// batch with such a request can be built. They also guard against the same effect of holds that run out together:
// one transaction had to end all of them, and from about 250 on it did not fit a value. From then on, every request
// was refused as "too much to be stored in one value".

// A request that can't be encoded must be refused alone. Those before and after it must be decided, also by a
// controller that takes over in between.
func TestRequestThatCannotBeEncodedIsRefusedAlone(t *testing.T) {
	poisons := map[string]func(*PendingRequest){
		"invalid UTF-8": func(request *PendingRequest) { request.Request.Team = "a\xff" },
		"too long": func(request *PendingRequest) {
			var team strings.Builder
			for i := range 20_000 { // does not compress well
				fmt.Fprintf(&team, "%x ", i*7919)
			}
			request.Request.Team = team.String()
		},
	}
	for name, poison := range poisons {
		t.Run(name, func(t *testing.T) {
			store := newStore(t)
			for controller := range 3 {
				service := New()
				store.replayTo(t, service)
				for i := range 9 {
					request := newRequest(fmt.Sprint("r", controller, "-", i), 1+10*controller+i)
					if i == 4 {
						poison(request)
					}
					service.Enqueue(request)
				}
				responses := decideAll(t, store, service, time.Duration(controller)*time.Second)
				if len(responses) != 9 {
					t.Fatalf("%d of 9 requests are decided", len(responses))
				}
				for i, response := range responses {
					want := booking.OutcomeDone
					if i == 4 {
						want = booking.OutcomeInvalid
					}
					if response.Outcome != want {
						t.Errorf("request %d: %v %s, want %v", i, response.Outcome, response.Reason, want)
					}
				}
			}
		})
	}
}

// Many holds that run out at the same moment must all end, and new requests must be decided meanwhile.
func TestManyHoldsRunOutTogether(t *testing.T) {
	const holds = 600
	store := newStore(t)
	service := New()
	store.replayTo(t, service)
	for i := range holds {
		request := newRequest(fmt.Sprintf("hold-of-a-guest-%04d", i*7919%10007), 1000+i)
		request.Request.HoldSeconds = 600
		request.Request.Identity = fmt.Sprintf("guest-%d", i*104729%1_000_003)
		service.Enqueue(request)
	}
	for i, response := range decideAll(t, store, service, 0) {
		if response.Outcome != booking.OutcomeDone {
			t.Fatalf("hold %d: %v %s", i, response.Outcome, response.Reason)
		}
	}
	now := 700 * time.Second
	service.Enqueue(newRequest("new", 20))
	decided := 0
	for range 100 {
		now += time.Second
		if !service.HasWork(now, newEnv(now).UnixS) {
			continue
		}
		txn := service.NextTxn(newEnv(now))
		if txn == nil {
			continue
		}
		for _, write := range txn.Then {
			if len(write.Value) > newEnv(now).MaxValueBytes {
				t.Fatalf("%s has %d bytes", write.Put, len(write.Value))
			}
		}
		status, revision := store.commit(txn)
		responses, _ := service.HandleOutcome(status, revision)
		for _, response := range responses {
			decided++
			if response.Outcome != booking.OutcomeDone {
				t.Errorf("the new request: %v %s", response.Outcome, response.Reason)
			}
		}
	}
	if decided != 1 {
		t.Errorf("%d responses to the new request", decided)
	}
	if service.schedule.HasDueChanges(newEnv(now).UnixS) {
		t.Error("not all holds have ended")
	}
}

// A batch that the store refuses must be decided again: its requests must not get lost.
func TestRefusedBatchIsDecidedAgain(t *testing.T) {
	store := newStore(t)
	service := New()
	store.replayTo(t, service)
	service.Enqueue(newRequest("x", 100))
	if service.NextTxn(newEnv(0)) == nil {
		t.Fatal("no transaction")
	}
	if responses, _ := service.HandleOutcome(wire.StatusBadRequest, 0); len(responses) != 0 {
		t.Fatalf("unexpected responses %+v", responses)
	}
	service.HeadRead()
	expectOutcomes(t, store.commitBatch(t, service, time.Second), booking.OutcomeDone)
}

// A request that the store itself refuses with status 400 must be rejected, and the others in its batch decided,
// before the deadline of the requests. The whole batch was retried until all its requests had expired.
func TestRequestRefusedByTheStoreIsAnsweredAlone(t *testing.T) {
	store := newStore(t)
	service := New()
	store.replayTo(t, service)
	for i := range 9 {
		service.Enqueue(newRequest(fmt.Sprint("r", i), 1+i))
	}
	isPoisoned := func(response Response) bool { return response.Request.Request.ID == "r4" }
	decided := map[string]booking.Outcome{}
	for now := time.Duration(0); now < 6*time.Second; now += 50 * time.Millisecond {
		if !service.HasWork(now, newEnv(now).UnixS) {
			continue
		}
		txn := service.NextTxn(newEnv(now))
		status, revision := wire.StatusBadRequest, uint64(0)
		if !slices.ContainsFunc(service.inFlight.responses, isPoisoned) || len(txn.Then) == 0 {
			status, revision = store.commit(txn)
		}
		responses, mustReadHead := service.HandleOutcome(status, revision)
		if mustReadHead {
			service.HeadRead()
		}
		for _, response := range responses {
			decided[response.Request.Request.ID] = response.Outcome
		}
	}
	for i := range 9 {
		id, want := fmt.Sprint("r", i), booking.OutcomeDone
		if i == 4 {
			want = booking.OutcomeInvalid
		}
		if decided[id] != want {
			t.Errorf("%s: %v, want %v", id, decided[id], want)
		}
	}
}
