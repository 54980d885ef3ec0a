// Package cloud speaks to the cloud that rents machines.
package cloud

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"dewlift/core"
	"dewlift/internal/call"
	"dewlift/wire"
)

const (
	timeout  = 4 * time.Second
	pageSize = 500
)

// Client carries out the core's calls to the cloud.
type Client struct {
	base string
	http *call.Client
}

// New returns a client of the cloud at addr.
func New(addr string) *Client {
	return &Client{base: "http://" + addr, http: call.New(4, 4, 4<<20)}
}

// Do makes one call.
func (c *Client) Do(ctx context.Context, o core.CloudOp) core.Clouded {
	out := core.Clouded{ID: o.ID}
	var r call.Result
	switch o.Op {
	case "catalog":
		var v wire.Catalog
		v, r = call.Get[wire.Catalog](c.http.Do(ctx, timeout, http.MethodGet, c.base+wire.PathCatalog, nil))
		out.Catalog = &v
	case "list":
		return c.list(ctx, o)
	case "rent":
		var v wire.Names
		v, r = call.Get[wire.Names](c.http.Do(ctx, timeout, http.MethodPost, c.base+wire.PathRentals, o.Rent))
		out.Names = v.Machines
	case "return":
		r = c.http.Do(ctx, timeout, http.MethodPost, c.base+wire.PathReturn, wire.Names{Machines: o.Names})
	}
	out.Status = r.Status
	if r.Status != 200 {
		var e wire.Error
		if json.Unmarshal(r.Body, &e) == nil {
			out.Error = e.Error
		}
	}
	return out
}

// list reads one page of the list of machines.
func (c *Client) list(ctx context.Context, o core.CloudOp) core.Clouded {
	u := fmt.Sprintf("%s%s?most=%d", c.base, wire.PathRentals, pageSize)
	if o.From != "" {
		u += "&from=" + url.QueryEscape(o.From)
	}
	v, r := call.Get[wire.MachineList](c.http.Do(ctx, timeout, http.MethodGet, u, nil))
	return core.Clouded{ID: o.ID, Status: r.Status, Machines: v.Machines, More: v.More}
}
