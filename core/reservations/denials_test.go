package reservations

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"dewlift/booking"
	"dewlift/wire"
)

// These tests guard against a denied request that still takes effect in its batch: a denied equipment list was
// stored and ended the batch, so that the requests after it were decided by equipment that nobody was allowed to
// set. The cause was that the outcome of a denied request was the zero value, which meant "done".

// deniedCaller is the caller whose requests deniedEnv denies.
const deniedCaller = "denied"

// deniedEnv returns an environment in which the requests of deniedCaller are denied.
func deniedEnv(now time.Duration) Env {
	out := newEnv(now)
	out.Authorize = func(request *PendingRequest, _ string, _ []string) ([]wire.Compare, string) {
		if request.CallerData == deniedCaller {
			return nil, "no permission"
		}
		return nil, ""
	}
	return out
}

// randomRequest draws a request of any kind for one of few reservations, so that requests conflict.
func randomRequest(t *testing.T, random *rand.Rand) *PendingRequest {
	t.Helper()
	id := fmt.Sprint("r", random.IntN(6))
	request := newRequest(id, 1+random.IntN(5))
	request.Request.JoinWaitlist = random.IntN(2) == 0
	switch random.IntN(6) {
	case 0:
		request.Request.Verb = booking.VerbMove
	case 1:
		request = newEndRequest(id)
	case 2:
		request.Request.Verb = booking.VerbConfirm
	case 3:
		text := `pieces { name: "k" kind: "kiln" slot_minutes: 1 units: ` + fmt.Sprint(1+random.IntN(3)) + ` }`
		inventory, err := booking.Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		request = &PendingRequest{Request: booking.Request{
			Verb: booking.VerbSetInventory, Replacement: inventory, EndDisplaced: true, Reason: "other kilns",
		}, Deadline: time.Hour}
	}
	return request
}

// Denied requests must have no effect: the other requests of their batch must be decided and stored as if the
// denied ones had not been there.
func TestDeniedRequestsDoNotAffectTheirBatch(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		with, without := newStore(t), newStore(t)
		services := []*Service{New(), New()}
		with.replayTo(t, services[0])
		without.replayTo(t, services[1])
		for batch := range 6 {
			now := time.Duration(batch) * time.Second
			allowed := 0
			for range 1 + random.IntN(6) {
				request := randomRequest(t, random)
				if random.IntN(3) == 0 {
					request.CallerData = deniedCaller
					services[0].Enqueue(request)
					continue
				}
				allowed++
				repeated := *request
				services[0].Enqueue(request)
				services[1].Enqueue(&repeated)
			}
			got := decideAll(t, with, services[0], now)
			want := decideAll(t, without, services[1], now)
			granted := slices.DeleteFunc(got, func(r Response) bool { return r.Request.CallerData == deniedCaller })
			if len(want) != allowed || !reflect.DeepEqual(outcomes(granted), outcomes(want)) {
				t.Fatalf("seed %d, batch %d: %v, without the denied requests %v",
					seed, batch, outcomes(granted), outcomes(want))
			}
			for _, key := range []string{KeyHead, KeyInventory} {
				if a, b := with.keys[key].Value, without.keys[key].Value; string(a) != string(b) {
					t.Fatalf("seed %d, batch %d: %s is %s, without the denied requests %s", seed, batch, key, a, b)
				}
			}
		}
	}
}

// decideAll decides all queued requests at the given time and commits the decisions.
func decideAll(t *testing.T, store *fakeStore, service *Service, now time.Duration) (out []Response) {
	t.Helper()
	for range 100 {
		if len(service.queue) == 0 {
			return out
		}
		txn := service.NextTxn(deniedEnv(now))
		if txn == nil {
			continue
		}
		status, revision := store.commit(txn)
		responses, _ := service.HandleOutcome(status, revision)
		out = append(out, responses...)
	}
	t.Fatal("some requests are still undecided")
	return nil
}

// outcomes describes the responses, in order.
func outcomes(responses []Response) (out []string) {
	for _, response := range responses {
		out = append(out, fmt.Sprint(response.Request.Request.ID, response.Outcome, response.Reason))
	}
	return out
}
