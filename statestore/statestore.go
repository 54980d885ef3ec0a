// Package statestore speaks to the platform's state service.
package statestore

import (
	"context"
	"dewlift/core"
	"dewlift/internal/httpjson"
	"dewlift/wire"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

const (
	requestTimeout = 2 * time.Second
	watchHoldTime  = 10 * time.Second
	maxPageSize    = 1000 // the most that the service gives
)

// Client carries out the core's requests to the state service.
type Client struct {
	baseURL    string
	httpClient *httpjson.Client
}

// New returns a client of the service at addr.
func New(addr string) *Client {
	return &Client{baseURL: "http://" + addr, httpClient: httpjson.New(16, 16, 16<<20)}
}

// CommitTxn sends a transaction.
func (c *Client) CommitTxn(ctx context.Context, o core.CommitTxn) core.TxnResult {
	reply, r := httpjson.Decode[wire.TxnResponse](
		c.httpClient.Do(ctx, requestTimeout, http.MethodPost, c.baseURL+wire.PathTxn, o.Txn),
	)
	if !r.Sent { // never reached the service
		return core.TxnResult{ID: o.ID, Status: wire.StatusUnavailable}
	}
	return core.TxnResult{ID: o.ID, Status: wire.Status(r.Status), Reply: reply}
}

// Watch waits for changes, or reads those until now.
func (c *Client) Watch(ctx context.Context, o core.Watch) core.WatchResult {
	hold := time.Duration(0)
	if o.LongPoll {
		hold = watchHoldTime
	}
	u := fmt.Sprintf(
		"%s%s?starts=%s&from=%d&hold_ms=%d",
		c.baseURL,
		wire.PathWatch,
		url.QueryEscape(core.Root),
		o.SinceRevision,
		hold.Milliseconds(),
	)
	ch, r := httpjson.Decode[wire.WatchResponse](c.httpClient.Do(ctx, hold+requestTimeout, http.MethodGet, u, nil))
	return core.WatchResult{LongPoll: o.LongPoll, Status: wire.Status(r.Status), Changes: ch}
}

// LoadSnapshot reads a page of all keys.
func (c *Client) LoadSnapshot(ctx context.Context, o core.LoadSnapshot) core.SnapshotPage {
	page, r := c.readPage(ctx, core.Root, o.AfterKey, maxPageSize)
	return core.SnapshotPage{
		OK:       r.Status == http.StatusOK,
		Status:   wire.Status(r.Status),
		Items:    page.Items,
		More:     page.More,
		Revision: page.Revision,
	}
}

// ReadRange reads a key, or a page of keys.
func (c *Client) ReadRange(ctx context.Context, o core.ReadRange) core.RangeResult {
	if o.Key != "" {
		item, r := httpjson.Decode[wire.GetResponse](
			c.httpClient.Do(ctx, requestTimeout, http.MethodGet, c.baseURL+wire.PathKeys+"/"+o.Key, nil),
		)
		out := core.RangeResult{ID: o.ID, Status: wire.Status(r.Status), Revision: item.StoreRevision}
		if r.Status == http.StatusOK {
			out.Items = []wire.KeyValue{item.KeyValue}
		}
		return out
	}
	page, r := c.readPage(ctx, o.Prefix, o.AfterKey, o.Limit)
	return core.RangeResult{ID: o.ID, Status: wire.Status(r.Status), Items: page.Items, More: page.More, Revision: page.Revision}
}

func (c *Client) readPage(
	ctx context.Context,
	prefix, from string,
	most int,
) (wire.RangeResponse, httpjson.Response) {
	return httpjson.Decode[wire.RangeResponse](
		c.httpClient.Do(ctx, requestTimeout, http.MethodGet, c.baseURL+wire.RangePath(prefix, from, most), nil),
	)
}

// GrantOrRenewLease grants or extends a lease.
func (c *Client) GrantOrRenewLease(ctx context.Context, o core.LeaseRequest) core.LeaseResult {
	switch o.Op {
	case core.LeaseGrant:
		v, r := httpjson.Decode[wire.LeaseResponse](
			c.httpClient.Do(ctx, requestTimeout/2, http.MethodPost, c.baseURL+wire.PathLeases,
				wire.LeaseRequest{TTLMS: uint64(o.TTL.Milliseconds())}),
		)
		return core.LeaseResult{Op: o.Op, Status: wire.Status(r.Status), LeaseID: v.LeaseID}
	default:
		r := c.httpClient.Do(
			ctx,
			requestTimeout/2,
			http.MethodPost,
			fmt.Sprintf("%s%s/%d/extend", c.baseURL, wire.PathLeases, o.LeaseID),
			struct{}{},
		)
		return core.LeaseResult{Op: o.Op, Status: wire.Status(r.Status), LeaseID: o.LeaseID}
	}
}
