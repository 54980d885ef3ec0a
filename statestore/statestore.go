// Package statestore speaks to the platform's state service.
package statestore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"dewlift/core"
	"dewlift/internal/call"
	"dewlift/wire"
)

const (
	timeout  = 2 * time.Second
	holdTime = 10 * time.Second
	pageSize = 1000 // the most that the service gives
)

// Client carries out the core's requests to the state service.
type Client struct {
	base string
	http *call.Client
}

// New returns a client of the service at addr.
func New(addr string) *Client {
	return &Client{base: "http://" + addr, http: call.New(16, 16, 16<<20)}
}

// Commit sends a transaction.
func (c *Client) Commit(ctx context.Context, o core.Commit) core.Committed {
	reply, r := call.Get[wire.TxnReply](c.http.Do(ctx, timeout, http.MethodPost, c.base+wire.PathCommit, o.Txn))
	if !r.Sent { // never reached the service
		return core.Committed{ID: o.ID, Status: 503}
	}
	return core.Committed{ID: o.ID, Status: r.Status, Reply: reply}
}

// Changes waits for changes, or reads those until now.
func (c *Client) Changes(ctx context.Context, o core.Changes) core.Changed {
	hold := time.Duration(0)
	if o.Hold {
		hold = holdTime
	}
	u := fmt.Sprintf("%s%s?starts=%s&from=%d&hold_ms=%d", c.base, wire.PathChanges, url.QueryEscape(core.Root), o.From, hold.Milliseconds())
	ch, r := call.Get[wire.Changes](c.http.Do(ctx, hold+timeout, http.MethodGet, u, nil))
	return core.Changed{Hold: o.Hold, Status: r.Status, Changes: ch}
}

// Load reads a page of all keys.
func (c *Client) Load(ctx context.Context, o core.Load) core.Loaded {
	page, r := c.page(ctx, core.Root, o.From, pageSize)
	return core.Loaded{OK: r.Status == http.StatusOK, Status: r.Status, Items: page.Items, More: page.More, Ledger: page.Ledger}
}

// Scan reads a key, or a page of keys.
func (c *Client) Scan(ctx context.Context, o core.Scan) core.Scanned {
	if o.Key != "" {
		item, r := call.Get[wire.Found](c.http.Do(ctx, timeout, http.MethodGet, c.base+wire.PathStore+"/"+o.Key, nil))
		out := core.Scanned{ID: o.ID, Status: r.Status, Ledger: item.Ledger}
		if r.Status == http.StatusOK {
			out.Items = []wire.Item{item.Item}
		}
		return out
	}
	page, r := c.page(ctx, o.Prefix, o.From, o.Most)
	return core.Scanned{ID: o.ID, Status: r.Status, Items: page.Items, More: page.More, Ledger: page.Ledger}
}

func (c *Client) page(ctx context.Context, prefix, from string, most int) (wire.Page, call.Result) {
	return call.Get[wire.Page](c.http.Do(ctx, timeout, http.MethodGet, c.base+wire.ListPath(prefix, from, most), nil))
}

// Lease grants or extends a lease.
func (c *Client) Lease(ctx context.Context, o core.LeaseOp) core.Leased {
	switch o.Op {
	case "grant":
		v, r := call.Get[wire.LeaseReply](c.http.Do(ctx, timeout/2, http.MethodPost, c.base+wire.PathHolds,
			wire.LeaseRequest{TTLMS: uint64(o.TTL.Milliseconds())}))
		return core.Leased{Op: o.Op, Status: r.Status, Lease: v.Lease}
	default:
		r := c.http.Do(ctx, timeout/2, http.MethodPost, fmt.Sprintf("%s%s/%d/extend", c.base, wire.PathHolds, o.Lease), struct{}{})
		return core.Leased{Op: o.Op, Status: r.Status, Lease: o.Lease}
	}
}
