package statestore

import (
	"dewlift/core"
	"dewlift/internal/fakes"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func startFakeStore(t *testing.T, l fakes.Limits) (*fakes.Store, *Client) {
	t.Helper()
	s := fakes.NewStore(l)
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, New(strings.TrimPrefix(srv.URL, "http://"))
}

// Keys, pages, conditions, leases, watches and an outage, as the protocol has them.
func TestClientSpeaksTheProtocol(t *testing.T) {
	ctx := t.Context()
	s, c := startFakeStore(t, fakes.Limits{PageItems: 40, TxnOps: 4})
	var items []wire.KeyValue
	for i := range 100 {
		items = append(items, wire.KeyValue{Key: fmt.Sprintf("dl/job/wk-%03d", i), Value: json.RawMessage("1")})
	}
	s.PutUnchecked(items)
	s.PutUnchecked(
		[]wire.KeyValue{
			{Key: "da/b/wk-050", Value: json.RawMessage("5")},
			{Key: "da/b/~", Value: json.RawMessage("9")},
		},
	)
	seen, from := 0, ""
	for more := true; more; {
		p := c.LoadSnapshot(ctx, core.LoadSnapshot{AfterKey: from})
		if !p.OK || len(p.Items) == 0 {
			t.Fatalf("got %+v", p)
		}
		seen, from, more = seen+len(p.Items), p.Items[len(p.Items)-1].Key, p.More
	}
	if seen != 100 {
		t.Errorf("%d keys were loaded", seen)
	}
	// the block of an id
	for id, want := range map[string]string{"wk-049": "5", "wk-050": "9", "wk-9": "9", "wk-0": "5"} {
		if p := c.ReadRange(ctx, core.ReadRange{
			ID:       3,
			Prefix:   "da/b/",
			AfterKey: "da/b/" + id,
			Limit:    1,
		}); p.ID != 3 ||
			p.Status != wire.StatusOK ||
			string(p.Items[0].Value) != want {
			t.Errorf("%s: %+v", id, p)
		}
	}
	if p := c.ReadRange(ctx, core.ReadRange{Key: "dl/job/wk-007"}); p.Status != wire.StatusOK || len(p.Items) != 1 ||
		p.Items[0].Revision != 1 {
		t.Errorf("got %+v", p)
	}
	if p := c.ReadRange(ctx, core.ReadRange{Key: "dl/job/wk-x"}); p.Status != wire.StatusNotFound || p.Revision != 2 {
		t.Errorf("got %+v", p)
	}

	l := c.GrantOrRenewLease(ctx, core.LeaseRequest{Op: core.LeaseGrant, TTL: 200 * time.Millisecond})
	put := func(mark, lease uint64) core.TxnResult {
		return c.CommitTxn(
			ctx,
			core.CommitTxn{
				Txn: wire.Txn{
					Compare: []wire.Compare{{Key: "dl/x", Revision: mark}},
					Then:    []wire.Write{{Put: "dl/x", Value: json.RawMessage("1"), LeaseID: lease}},
				},
			},
		)
	}
	first, again := put(0, l.LeaseID), put(0, 0)
	if first.Status != wire.StatusOK || again.Status != wire.StatusConflict || len(again.Reply.Failed) != 1 {
		t.Errorf("got %+v, %+v", first, again)
	}
	ch := c.Watch(ctx, core.Watch{SinceRevision: first.Reply.Revision, LongPoll: true}) // until the lease ends
	if ch.Status != wire.StatusOK || len(ch.Changes.Events) != 1 || ch.Changes.Events[0].Delete != "dl/x" {
		t.Errorf("got %+v", ch)
	}
	if r := c.GrantOrRenewLease(ctx, core.LeaseRequest{Op: core.LeaseExtend, LeaseID: l.LeaseID}); r.Status != wire.StatusNotFound {
		t.Errorf("an ended lease was extended: %+v", r)
	}
	if r := put(0, l.LeaseID); r.Status != wire.StatusBadRequest {
		t.Errorf("a key of an ended lease: %+v", r)
	}
	s.SetDown(true)
	if r := put(0, 0); r.Status != wire.StatusUnavailable {
		t.Errorf("in an outage: %+v", r)
	}
	s.SetDown(false)
	for i := range 3 * 10_000 / 4 { // the log goes back 10,000 changes
		tx := wire.Txn{}
		for k := range 4 {
			tx.Then = append(tx.Then, wire.Write{Put: fmt.Sprintf("dl/y/%d", k), Value: json.RawMessage("1")})
		}
		if i%1000 != 0 { // most of them without the way over the network
			s.Commit(tx)
		} else if r := c.CommitTxn(ctx, core.CommitTxn{Txn: tx}); r.Status != wire.StatusOK {
			t.Fatalf("got %+v", r)
		}
	}
	if ch := c.Watch(ctx, core.Watch{SinceRevision: 2}); ch.Status != wire.StatusGone {
		t.Errorf("too old: %+v", ch.Status)
	}
	s.SetLimits(fakes.Limits{WriteRPS: 1})
	put(0, 0)
	if r := put(0, 0); r.Status != wire.StatusTooManyRequests {
		t.Errorf("too many changes: %+v", r)
	}
}
