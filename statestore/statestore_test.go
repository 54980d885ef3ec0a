package statestore

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dewlift/core"
	"dewlift/internal/fakes"
	"dewlift/wire"
)

// startFakeStore serves an empty fake store until the test ends.
func startFakeStore(t *testing.T, limits fakes.Limits) (*fakes.Store, *Client) {
	t.Helper()
	store := fakes.NewStore(limits)
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	return store, New(strings.TrimPrefix(srv.URL, "http://"))
}

// The client must implement the store's protocol: keys, pages, comparisons, leases, watches, outages and
// limits. All steps use the same store and depend on their order.
func TestClientSpeaksTheProtocol(t *testing.T) {
	store, client := startFakeStore(t, fakes.Limits{PageItems: 40, TxnOps: 4})
	var items []wire.KeyValue
	for i := range 100 {
		items = append(items, wire.KeyValue{Key: fmt.Sprintf("dl/job/wk-%03d", i), Value: json.RawMessage("1")})
	}
	store.PutUnchecked(items)
	store.PutUnchecked([]wire.KeyValue{
		{Key: "da/b/wk-050", Value: json.RawMessage("5")},
		{Key: "da/b/~", Value: json.RawMessage("9")},
	})
	checkSnapshotPages(t, client, len(items))
	checkRangeReads(t, client)
	checkLeasedKey(t, client)
	store.SetDown(true)
	if r := commitPut(t, client, 0); r.Status != wire.StatusUnavailable {
		t.Errorf("commit in an outage: %+v", r)
	}
	store.SetDown(false)
	checkCompactedWatch(t, store, client)
	store.SetLimits(fakes.Limits{WriteRPS: 1})
	commitPut(t, client, 0)
	if r := commitPut(t, client, 0); r.Status != wire.StatusTooManyRequests {
		t.Errorf("commit above the write limit: %+v", r)
	}
}

// commitPut creates dl/x with a lease; the comparison fails if the key exists.
func commitPut(t *testing.T, client *Client, lease uint64) core.TxnResult {
	t.Helper()
	return client.CommitTxn(t.Context(), core.CommitTxn{Txn: wire.Txn{
		Compare: []wire.Compare{{Key: "dl/x", Revision: 0}},
		Then:    []wire.Write{{Put: "dl/x", Value: json.RawMessage("1"), LeaseID: lease}},
	}})
}

func checkSnapshotPages(t *testing.T, client *Client, want int) {
	t.Helper()
	loaded, after := 0, ""
	for more := true; more; {
		page := client.LoadSnapshot(t.Context(), core.LoadSnapshot{AfterKey: after})
		if !page.OK || len(page.Items) == 0 {
			t.Fatalf("got %+v", page)
		}
		loaded, after, more = loaded+len(page.Items), page.Items[len(page.Items)-1].Key, page.More
	}
	if loaded != want {
		t.Errorf("loaded %d keys, want %d", loaded, want)
	}
}

func checkRangeReads(t *testing.T, client *Client) {
	t.Helper()
	// A block's key is the first id after its range, so the first key after an id is that of its block.
	for id, want := range map[string]string{"wk-049": "5", "wk-050": "9", "wk-9": "9", "wk-0": "5"} {
		read := core.ReadRange{ID: 3, Prefix: "da/b/", AfterKey: "da/b/" + id, Limit: 1}
		if r := client.ReadRange(t.Context(), read); r.ID != 3 || r.Status != wire.StatusOK ||
			string(r.Items[0].Value) != want {
			t.Errorf("%s: %+v", id, r)
		}
	}
	if r := client.ReadRange(t.Context(), core.ReadRange{Key: "dl/job/wk-007"}); r.Status != wire.StatusOK ||
		len(r.Items) != 1 || r.Items[0].Revision != 1 {
		t.Errorf("got %+v", r)
	}
	if r := client.ReadRange(t.Context(), core.ReadRange{Key: "dl/job/wk-x"}); r.Status != wire.StatusNotFound ||
		r.Revision != 2 {
		t.Errorf("got %+v", r)
	}
}

// checkLeasedKey checks that a failed comparison is reported and that a key is deleted when its lease expires.
func checkLeasedKey(t *testing.T, client *Client) {
	t.Helper()
	ctx := t.Context()
	lease := client.GrantOrRenewLease(ctx, core.LeaseRequest{Op: core.LeaseGrant, TTL: 200 * time.Millisecond})
	first, again := commitPut(t, client, lease.LeaseID), commitPut(t, client, 0)
	if first.Status != wire.StatusOK || again.Status != wire.StatusConflict || len(again.Reply.Failed) != 1 {
		t.Errorf("got %+v, %+v", first, again)
	}
	expiry := client.Watch(ctx, core.Watch{SinceRevision: first.Reply.Revision, LongPoll: true})
	if expiry.Status != wire.StatusOK || len(expiry.Changes.Events) != 1 || expiry.Changes.Events[0].Delete != "dl/x" {
		t.Errorf("got %+v", expiry)
	}
	extend := core.LeaseRequest{Op: core.LeaseExtend, LeaseID: lease.LeaseID}
	if r := client.GrantOrRenewLease(ctx, extend); r.Status != wire.StatusNotFound {
		t.Errorf("an expired lease was extended: %+v", r)
	}
	if r := commitPut(t, client, lease.LeaseID); r.Status != wire.StatusBadRequest {
		t.Errorf("a key was written with an expired lease: %+v", r)
	}
}

// checkCompactedWatch checks a watch from a revision whose later changes the store has compacted.
func checkCompactedWatch(t *testing.T, store *fakes.Store, client *Client) {
	t.Helper()
	const keptChanges, perTxn = 10_000, 4
	for i := range 3 * keptChanges / perTxn {
		txn := wire.Txn{}
		for k := range perTxn {
			txn.Then = append(txn.Then, wire.Write{Put: fmt.Sprintf("dl/y/%d", k), Value: json.RawMessage("1")})
		}
		if i%1000 != 0 { // most transactions bypass HTTP
			store.Commit(txn)
		} else if r := client.CommitTxn(t.Context(), core.CommitTxn{Txn: txn}); r.Status != wire.StatusOK {
			t.Fatalf("got %+v", r)
		}
	}
	if r := client.Watch(t.Context(), core.Watch{SinceRevision: 2}); r.Status != wire.StatusGone {
		t.Errorf("watch from a compacted revision: %+v", r.Status)
	}
}
