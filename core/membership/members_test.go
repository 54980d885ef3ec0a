package membership

import (
	"testing"
	"time"
)

// With two controllers in a zone, messages for another zone that is cut off went by way of the
// neighbour, which is cut off too: the leader took machines that were well for silent, and the
// replicas on them were lost.
func TestRelayReachesTheTarget(t *testing.T) {
	const lost = 1500 * time.Millisecond
	l := New([]string{"n1", "n2", "n3"}, lost)
	say := func(now time.Duration, n string, hears ...string) {
		l.MarkHeard(now, n)
		l.Peer(n).ReachablePeers = hears
	}
	if l.RelayFor(time.Second, "n3") != "" {
		t.Error("one that was never heard of is reached by another")
	}
	say(time.Second, "n3")
	say(4*time.Second, "n1", "n2") // the neighbour does not reach n3, and was asked first
	say(4*time.Second, "n2", "n1", "n3")
	if by := l.RelayFor(4*time.Second, "n3"); by != "n2" {
		t.Errorf("by way of %s, which does not reach n3", by)
	}
	if by := l.RelayFor(4*time.Second, "n2"); by != "" {
		t.Errorf("n2 is in reach, and reached by way of %s", by)
	}
	// The old version does not tell whom it reaches: all are tried.
	tried := map[string]bool{}
	for i := range 4 {
		now := 4*time.Second + time.Duration(i)*lost
		say(now, "n1")
		say(now, "n2")
		tried[l.RelayFor(now, "n3")] = true
	}
	if len(tried) != 2 {
		t.Errorf("tried %v", tried)
	}
}

// The state service is down for all only by the word of a majority that is in reach, and of nobody who reaches it.
func TestStoreOutageNeedsAMajority(t *testing.T) {
	for _, x := range []struct {
		heard []string
		good  string
		want  bool
	}{
		{nil, "", false},
		{[]string{"n1"}, "", false},
		{[]string{"n1", "n2"}, "", true},
		{[]string{"n1", "n2", "n3", "n4"}, "", true},
		{[]string{"n1", "n2", "n3"}, "n3", false},
	} {
		l := New([]string{"n1", "n2", "n3", "n4"}, time.Second)
		for _, n := range x.heard {
			l.MarkHeard(5*time.Second, n)
			l.Peer(n).StoreReachable = n == x.good
		}
		if got := l.IsStoreOutage(6 * time.Second); got != x.want {
			t.Errorf("%+v: %v", x, got)
		}
		if l.IsStoreOutage(8 * time.Second) {
			t.Error("old words count")
		}
	}
}
