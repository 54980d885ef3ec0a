package membership

import (
	"testing"
	"time"
)

// With two controllers in a zone, messages for another zone that was cut off were relayed by the
// neighbour, which was cut off too: the leader took healthy machines for silent, and the replicas on
// them were lost.
func TestRelayReachesTheTarget(t *testing.T) {
	const unreachableAfter = 1500 * time.Millisecond
	members := New([]string{"n1", "n2", "n3"}, unreachableAfter)
	hear := func(now time.Duration, name string, reachable ...string) {
		members.MarkSeen(now, name)
		members.Peer(name).ReachablePeers = reachable
	}
	if members.RelayFor(time.Second, "n3") != "" {
		t.Error("messages to a controller that was never heard of are relayed")
	}
	hear(time.Second, "n3")
	hear(4*time.Second, "n1", "n2") // the neighbour, which does not reach n3
	hear(4*time.Second, "n2", "n1", "n3")
	if relay := members.RelayFor(4*time.Second, "n3"); relay != "n2" {
		t.Errorf("relayed by %s, which does not reach n3", relay)
	}
	if relay := members.RelayFor(4*time.Second, "n2"); relay != "" {
		t.Errorf("n2 is reachable, but messages to it are relayed by %s", relay)
	}

	// The previous version does not tell whom it reaches: all are tried.
	tried := map[string]bool{}
	for i := range 4 {
		now := 4*time.Second + time.Duration(i)*unreachableAfter
		hear(now, "n1")
		hear(now, "n2")
		tried[members.RelayFor(now, "n3")] = true
	}
	if len(tried) != 2 {
		t.Errorf("tried %v, want both reachable controllers", tried)
	}
}

// A controller cut off from the store must not take that for an outage: only a majority that is
// reachable may say so, and none of it may reach the store.
func TestStoreOutageNeedsAMajority(t *testing.T) {
	for name, test := range map[string]struct {
		heard        []string
		reachesStore string
		want         bool
	}{
		"none heard":          {nil, "", false},
		"minority":            {[]string{"n1"}, "", false},
		"majority":            {[]string{"n1", "n2"}, "", true},
		"all":                 {[]string{"n1", "n2", "n3", "n4"}, "", true},
		"one that reaches it": {[]string{"n1", "n2", "n3"}, "n3", false},
	} {
		t.Run(name, func(t *testing.T) {
			members := New([]string{"n1", "n2", "n3", "n4"}, time.Second)
			for _, peer := range test.heard {
				members.MarkSeen(5*time.Second, peer)
				members.Peer(peer).StoreReachable = peer == test.reachesStore
			}
			if got := members.IsStoreOutage(6 * time.Second); got != test.want {
				t.Errorf("outage %v, want %v", got, test.want)
			}
			if members.IsStoreOutage(8 * time.Second) {
				t.Error("an outage by word that is too old")
			}
		})
	}
}
