// Package cloud speaks to the cloud that rents machines.
package cloud

import (
	"context"
	"dewlift/core"
	"dewlift/internal/httpjson"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

const (
	requestTimeout = 4 * time.Second
	pageSize       = 500
)

// Client carries out the core's calls to the cloud.
type Client struct {
	baseURL    string
	httpClient *httpjson.Client
}

// New returns a client of the cloud at addr.
func New(addr string) *Client {
	return &Client{baseURL: "http://" + addr, httpClient: httpjson.New(4, 4, 4<<20)}
}

// Execute makes one call.
func (c *Client) Execute(ctx context.Context, o core.CloudRequest) core.CloudResult {
	out := core.CloudResult{ID: o.ID}
	var r httpjson.Response
	switch o.Op {
	case core.CloudCatalog:
		var v wire.Catalog
		v, r = httpjson.Decode[wire.Catalog](
			c.httpClient.Do(ctx, requestTimeout, http.MethodGet, c.baseURL+wire.PathCatalog, nil),
		)
		out.Catalog = &v
	case core.CloudList:
		return c.listMachines(ctx, o)
	case core.CloudScaleOut:
		var v wire.MachineNames
		v, r = httpjson.Decode[wire.MachineNames](
			c.httpClient.Do(ctx, requestTimeout, http.MethodPost, c.baseURL+wire.PathInstances, o.ScaleOut),
		)
		out.MachineNames = v.Machines
	case core.CloudScaleIn:
		r = c.httpClient.Do(
			ctx,
			requestTimeout,
			http.MethodPost,
			c.baseURL+wire.PathScaleIn,
			wire.MachineNames{Machines: o.MachineNames},
		)
	}
	out.Status = wire.Status(r.Status)
	if r.Status != 200 {
		var e wire.Error
		if json.Unmarshal(r.Body, &e) == nil {
			out.Error = e.Error
		}
	}
	return out
}

// listMachines reads one page of the list of machines.
func (c *Client) listMachines(ctx context.Context, o core.CloudRequest) core.CloudResult {
	u := fmt.Sprintf("%s%s?most=%d", c.baseURL, wire.PathInstances, pageSize)
	if o.AfterMachine != "" {
		u += "&from=" + url.QueryEscape(o.AfterMachine)
	}
	v, r := httpjson.Decode[wire.MachineList](c.httpClient.Do(ctx, requestTimeout, http.MethodGet, u, nil))
	return core.CloudResult{ID: o.ID, Status: wire.Status(r.Status), Machines: v.Machines, More: v.More}
}
