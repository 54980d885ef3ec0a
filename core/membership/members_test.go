package membership

import (
	"testing"
	"time"
)

// Messages must be relayed by a controller that reaches the target. Those for a partitioned zone were relayed by
// another controller of the sender's zone, which was also cut off from the target: the leader considered healthy
// machines silent, and the replicas on them were lost.
func TestRelayReachesTheTarget(t *testing.T) {
	const unreachableAfter = 1500 * time.Millisecond
	members := New([]string{"n1", "n2", "n3"}, unreachableAfter)
	markSeen := func(now time.Duration, name string, reachable ...string) {
		members.MarkSeen(now, name)
		members.Peer(name).ReachablePeers = reachable
	}
	if members.RelayFor(time.Second, "n3") != "" {
		t.Error("messages to a controller that was never seen are relayed")
	}
	markSeen(time.Second, "n3")
	markSeen(4*time.Second, "n1", "n2") // in the same zone, does not reach n3
	markSeen(4*time.Second, "n2", "n1", "n3")
	if relay := members.RelayFor(4*time.Second, "n3"); relay != "n2" {
		t.Errorf("relayed by %s, which does not reach n3", relay)
	}
	if relay := members.RelayFor(4*time.Second, "n2"); relay != "" {
		t.Errorf("n2 is reachable, but messages to it are relayed by %s", relay)
	}

	// Controllers of the previous version do not report which peers they reach, so all are tried.
	tried := map[string]bool{}
	for i := range 4 {
		now := 4*time.Second + time.Duration(i)*unreachableAfter
		markSeen(now, "n1")
		markSeen(now, "n2")
		tried[members.RelayFor(now, "n3")] = true
	}
	if len(tried) != 2 {
		t.Errorf("tried %v, want both reachable controllers", tried)
	}
}

// A controller that is cut off from the store must not mistake that for an outage. An outage needs a reachable
// majority, no member of which reaches the store.
func TestStoreOutageNeedsAMajority(t *testing.T) {
	for name, tc := range map[string]struct {
		seen         []string
		reachesStore string
		want         bool
	}{
		"none seen":           {nil, "", false},
		"minority":            {[]string{"n1"}, "", false},
		"majority":            {[]string{"n1", "n2"}, "", true},
		"all":                 {[]string{"n1", "n2", "n3", "n4"}, "", true},
		"one that reaches it": {[]string{"n1", "n2", "n3"}, "n3", false},
	} {
		t.Run(name, func(t *testing.T) {
			members := New([]string{"n1", "n2", "n3", "n4"}, time.Second)
			for _, peer := range tc.seen {
				members.MarkSeen(5*time.Second, peer)
				members.Peer(peer).StoreReachable = peer == tc.reachesStore
			}
			if got := members.IsStoreOutage(6 * time.Second); got != tc.want {
				t.Errorf("outage %v, want %v", got, tc.want)
			}
			if members.IsStoreOutage(8 * time.Second) {
				t.Error("reports that are too old count as an outage")
			}
		})
	}
}
