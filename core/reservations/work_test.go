package reservations

import (
	"fmt"
	"testing"
	"time"

	"dewlift/booking"
	"dewlift/wire"
)

// Requests that take long to decide must not be decided all in one batch, during which no lease would be renewed: the
// others wait for the next batches, and every one is answered.
func TestBatchTakesBoundedWork(t *testing.T) {
	const requests = 100
	store, service := newStore(t), New()
	store.replayTo(t, service)
	series, err := booking.ParseSeriesRule("FREQ=DAILY;BYSETPOS=2;COUNT=60") // matches no day
	if err != nil {
		t.Fatal(err)
	}
	for i := range requests {
		request := newRequest(fmt.Sprint("r", i), 100)
		request.Series = series
		service.Enqueue(request)
	}
	answered, batches := 0, 0
	for now := time.Duration(0); answered < requests; now += time.Second {
		if batches++; batches > requests {
			t.Fatalf("%d of %d requests are answered after %d batches", answered, requests, batches)
		}
		before := service.schedule.Work()
		status, revision := store.commit(service.NextTxn(newEnv(now)))
		out, _ := service.HandleOutcome(status, revision)
		if work := service.schedule.Work() - before; work > 2*maxBatchWork || len(out) == 0 {
			t.Fatalf("a batch answers %d requests and takes %d of at most %d", len(out), work, maxBatchWork)
		}
		for _, response := range out {
			expectOutcomes(t, []Response{response}, booking.OutcomeInvalid)
		}
		answered += len(out)
	}
	if batches < 2 {
		t.Error("all requests are decided in one batch")
	}
}

// Too many slots must be refused before any is expanded, and a slot must name equipment or a kind.
func TestSlotsAreCheckedBeforeTheyAreExpanded(t *testing.T) {
	store, service := newStore(t), New()
	store.replayTo(t, service)
	slot := newRequest("", 100).Wants[0]
	many := make([]wire.SlotRequest, booking.MaxWants+1)
	for i := range many {
		many[i] = slot
	}
	series, err := booking.ParseSeriesRule("FREQ=DAILY;COUNT=60")
	if err != nil {
		t.Fatal(err)
	}
	for _, wants := range [][]wire.SlotRequest{
		many, {slot, slot}, {{From: slot.From}}, {{Equipment: "k", Kind: "kiln", From: slot.From}},
	} {
		service.Enqueue(&PendingRequest{
			Request: booking.Request{ID: "a"}, Wants: wants, Series: series, Deadline: time.Hour,
		})
	}
	status, revision := store.commit(service.NextTxn(newEnv(0)))
	out, _ := service.HandleOutcome(status, revision)
	invalid := booking.OutcomeInvalid
	expectOutcomes(t, out, invalid, invalid, invalid, invalid)
}
