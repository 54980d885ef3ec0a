package core

import (
	"encoding/json"
	"testing"
	"time"

	"dewlift/wire"
)

// While controllers run with different lists of peers, a majority of the own list alone may miss the others'.
func TestAcknowledgementNeedsMajorityOfEachListInUse(t *testing.T) {
	const longList = `["n0","n1","n2","n3","n4"]`
	put := func(key, value string) wire.WatchEvent {
		return wire.WatchEvent{Put: key, Value: json.RawMessage(value), Revision: 20}
	}
	ownList := put(keyMemberList+"n0", `["n0","n1","n2"]`)
	running := put(keyRegistration+"n3", `{"n":"n3"}`)
	for name, test := range map[string]struct {
		events []wire.WatchEvent
		want   bool
	}{
		"the own list is stored":        {[]wire.WatchEvent{ownList}, true},
		"it is not stored":              {nil, false},
		"an earlier own list is stored": {[]wire.WatchEvent{put(keyMemberList+"n0", longList)}, false},
		"a peer has a longer list":      {[]wire.WatchEvent{ownList, put(keyMemberList+"n1", longList)}, false},
		"another controller has, running": {
			[]wire.WatchEvent{ownList, put(keyMemberList+"n3", longList), running}, false,
		},
		"another controller had, stopped": {[]wire.WatchEvent{ownList, put(keyMemberList+"n3", longList)}, true},
	} {
		c := newServingCore(t)
		changes := wire.WatchResponse{Revision: 20, Events: test.events}
		c.Handle(time.Second, WatchResult{LongPoll: true, Status: wire.StatusOK, Changes: changes})
		if got := c.cancelAcks.quorum.CanAcknowledge(30, map[string]bool{"n1": true}); got != test.want {
			t.Errorf("%s: with one peer of three, acknowledging is allowed: %v", name, got)
		}
	}
}
