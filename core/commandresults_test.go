package core

import (
	"testing"
	"time"

	"dewlift/wire"
)

// newCoreWithRelayedRequest returns the process of a controller that has one request in flight, a start that n1 relays.
func newCoreWithRelayedRequest(t *testing.T, seed uint64) (*Core, *machine, SendCommands) {
	t.Helper()
	c := newLeadingCoreOfSeed(t, seed)
	c.controllers.membership.MarkSeen(time.Second, "n1")
	m := c.internMachine("m-1")
	m.commands.unanswered = 1 // the next request is relayed
	c.Handle(time.Second, testSubmission("wk-1"))
	for now := time.Second; now < 2*time.Second; now += 50 * time.Millisecond {
		for _, output := range c.Advance(now) {
			switch output := output.(type) {
			case CommitTxn:
				reply := wire.TxnResponse{Revision: 100}
				c.Handle(now, TxnResult{ID: output.ID, Status: wire.StatusOK, Reply: reply})
			case SendToPeer:
				if output.Message.Commands != nil {
					return c, m, *output.Message.Commands
				}
			}
		}
	}
	t.Fatal("no request was relayed")
	return nil, nil, SendCommands{}
}

// A result may answer a request of an earlier process, or one that another controller relays.
func TestResultOfAnotherRequestSettlesNothing(t *testing.T) {
	_, _, earlier := newCoreWithRelayedRequest(t, 1)
	for name, result := range map[string]struct {
		peer     string
		id       func(current SendCommands) uint64
		inFlight bool
	}{
		"of an earlier process":    {"n1", func(SendCommands) uint64 { return earlier.ID }, true},
		"of another controller":    {"n2", func(current SendCommands) uint64 { return current.ID }, true},
		"of the relay in its time": {"n1", func(current SendCommands) uint64 { return current.ID }, false},
	} {
		c, m, current := newCoreWithRelayedRequest(t, 2)
		answer := CommandsResult{ID: result.id(current), Status: wire.StatusOK, MaybeDelivered: true}
		c.Handle(2*time.Second, PeerMessage{Peer: result.peer, Message: Message{CommandsResult: &answer}})
		if inFlight := m.commands.requestID != 0; inFlight != result.inFlight {
			t.Errorf("%s: the request is in flight: %v", name, inFlight)
		}
	}
}

// A result that a peer sends for a request which it did not relay must not be forwarded to a third controller either.
func TestResultOfPeerIsNotForwarded(t *testing.T) {
	c := newLeadingCore(t)
	request := SendCommands{ID: 7, Machine: "m-1", Addr: "x:1"}
	c.Handle(2*time.Second, PeerMessage{Peer: "n1", Message: Message{Commands: &request}})
	sent := outputsOfType[SendCommands](c.Advance(2 * time.Second))
	if len(sent) != 1 {
		t.Fatalf("%d requests were relayed", len(sent))
	}
	forged := CommandsResult{ID: sent[0].ID, Status: wire.StatusOK, MaybeDelivered: true}
	c.Handle(2*time.Second, PeerMessage{Peer: "n2", Message: Message{CommandsResult: &forged}})
	for _, output := range outputsOfType[SendToPeer](c.Advance(2 * time.Second)) {
		if output.Message.CommandsResult != nil {
			t.Error("the result of another request was forwarded")
		}
	}
}
