// Package statestore is the client of the platform's key-value store. It executes the core's requests and
// returns typed results. It does not retry requests and keeps no state except idle connections. The core
// interprets the results.
package statestore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"dewlift/core"
	"dewlift/internal/httpjson"
	"dewlift/wire"
)

const (
	requestTimeout = 2 * time.Second
	// leaseTimeout bounds lease requests, which must finish sooner than others.
	leaseTimeout = requestTimeout / 2
	// longPollTime is the longest time that the store waits for a change before it responds to a long poll.
	longPollTime = 10 * time.Second
	// maxPageSize is the largest number of keys that the store returns in a page.
	maxPageSize = 1000
	// maxConns bounds both the open and the idle connections to the store.
	maxConns = 16
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 16 << 20
)

// Client executes the core's requests to the key-value store.
type Client struct {
	baseURL    string
	httpClient *httpjson.Client
}

// New returns a client of the store at addr.
func New(addr string) *Client {
	return &Client{baseURL: "http://" + addr, httpClient: httpjson.New(maxConns, maxConns, maxResponseBytes)}
}

// CommitTxn executes a transaction.
func (c *Client) CommitTxn(ctx context.Context, o core.CommitTxn) core.TxnResult {
	reply, resp := httpjson.Decode[wire.TxnResponse](
		c.httpClient.Do(ctx, requestTimeout, http.MethodPost, c.baseURL+wire.PathTxn, o.Txn),
	)
	if !resp.Sent { // the request never reached the store, so it was not executed
		return core.TxnResult{ID: o.ID, Status: wire.StatusUnavailable}
	}
	return core.TxnResult{ID: o.ID, Status: wire.Status(resp.Status), Reply: reply}
}

// Watch reads the changes of the keys under core.Root after a revision. With LongPoll it waits up to longPollTime
// for one.
func (c *Client) Watch(ctx context.Context, o core.Watch) core.WatchResult {
	hold := time.Duration(0)
	if o.LongPoll {
		hold = longPollTime
	}
	target := fmt.Sprintf("%s%s?starts=%s&from=%d&hold_ms=%d", c.baseURL, wire.PathWatch,
		url.QueryEscape(core.Root), o.SinceRevision, hold.Milliseconds())
	changes, resp := httpjson.Decode[wire.WatchResponse](
		c.httpClient.Do(ctx, hold+requestTimeout, http.MethodGet, target, nil),
	)
	return core.WatchResult{LongPoll: o.LongPoll, Status: wire.Status(resp.Status), Changes: changes}
}

// LoadSnapshot reads a page of the keys under core.Root.
func (c *Client) LoadSnapshot(ctx context.Context, o core.LoadSnapshot) core.SnapshotPage {
	page, resp := c.readPage(ctx, core.Root, o.AfterKey, maxPageSize)
	return core.SnapshotPage{
		OK:       resp.Status == http.StatusOK,
		Status:   wire.Status(resp.Status),
		Items:    page.Items,
		More:     page.More,
		Revision: page.Revision,
	}
}

// ReadRange reads a single key if o.Key is set, or else a page of the keys with a prefix.
func (c *Client) ReadRange(ctx context.Context, o core.ReadRange) core.RangeResult {
	if o.Key != "" {
		return c.readKey(ctx, o)
	}
	page, resp := c.readPage(ctx, o.Prefix, o.AfterKey, o.Limit)
	return core.RangeResult{
		ID:       o.ID,
		Status:   wire.Status(resp.Status),
		Items:    page.Items,
		More:     page.More,
		Revision: page.Revision,
	}
}

func (c *Client) readKey(ctx context.Context, o core.ReadRange) core.RangeResult {
	item, resp := httpjson.Decode[wire.GetResponse](
		c.httpClient.Do(ctx, requestTimeout, http.MethodGet, c.baseURL+wire.PathKeys+"/"+o.Key, nil),
	)
	result := core.RangeResult{ID: o.ID, Status: wire.Status(resp.Status), Revision: item.StoreRevision}
	if resp.Status == http.StatusOK {
		result.Items = []wire.KeyValue{item.KeyValue}
	}
	return result
}

func (c *Client) readPage(
	ctx context.Context,
	prefix, afterKey string,
	limit int,
) (wire.RangeResponse, httpjson.Response) {
	target := c.baseURL + wire.RangePath(prefix, afterKey, limit)
	return httpjson.Decode[wire.RangeResponse](c.httpClient.Do(ctx, requestTimeout, http.MethodGet, target, nil))
}

// GrantOrRenewLease requests a new lease or extends an existing one.
func (c *Client) GrantOrRenewLease(ctx context.Context, o core.LeaseRequest) core.LeaseResult {
	if o.Op == core.LeaseGrant {
		granted, resp := httpjson.Decode[wire.LeaseResponse](
			c.httpClient.Do(ctx, leaseTimeout, http.MethodPost, c.baseURL+wire.PathLeases,
				wire.LeaseRequest{TTLMS: uint64(o.TTL.Milliseconds())}),
		)
		return core.LeaseResult{Op: o.Op, Status: wire.Status(resp.Status), LeaseID: granted.LeaseID}
	}
	target := fmt.Sprintf("%s%s/%d/extend", c.baseURL, wire.PathLeases, o.LeaseID)
	resp := c.httpClient.Do(ctx, leaseTimeout, http.MethodPost, target, struct{}{})
	return core.LeaseResult{Op: o.Op, Status: wire.Status(resp.Status), LeaseID: o.LeaseID}
}
