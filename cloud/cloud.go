// Package cloud is the client of the cloud provider's API. It executes the core's requests and returns typed
// results. It does not retry requests: the core decides about retries.
package cloud

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"dewlift/core"
	"dewlift/internal/httpjson"
	"dewlift/wire"
)

const (
	requestTimeout = 4 * time.Second
	// pageSize is the number of machines requested per page of the list.
	pageSize = 500
	// maxConns bounds both the open and the idle connections to the cloud.
	maxConns = 4
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 4 << 20
)

// Client executes the core's requests to the cloud.
type Client struct {
	baseURL    string
	httpClient *httpjson.Client
}

// New returns a client of the cloud at addr.
func New(addr string) *Client {
	return &Client{baseURL: "http://" + addr, httpClient: httpjson.New(maxConns, maxConns, maxResponseBytes)}
}

// Execute sends one request and returns its result.
func (c *Client) Execute(ctx context.Context, o core.CloudRequest) core.CloudResult {
	result := core.CloudResult{ID: o.ID}
	var resp httpjson.Response
	switch o.Op {
	case core.CloudCatalog:
		var catalog wire.Catalog
		catalog, resp = httpjson.Decode[wire.Catalog](c.do(ctx, http.MethodGet, wire.PathCatalog, nil))
		result.Catalog = &catalog
	case core.CloudList:
		return c.listMachines(ctx, o)
	case core.CloudScaleOut:
		var started wire.MachineNames
		started, resp = httpjson.Decode[wire.MachineNames](c.do(ctx, http.MethodPost, wire.PathMachines, o.ScaleOut))
		result.MachineNames = started.Machines
	case core.CloudScaleIn:
		resp = c.do(ctx, http.MethodPost, wire.PathScaleIn, wire.MachineNames{Machines: o.MachineNames})
	}
	result.Status = wire.Status(resp.Status)
	if !result.Status.OK() {
		var refusal wire.Error
		if json.Unmarshal(resp.Body, &refusal) == nil {
			result.Error = refusal.Error
		}
	}
	return result
}

// listMachines reads one page of the list of machines.
func (c *Client) listMachines(ctx context.Context, o core.CloudRequest) core.CloudResult {
	path := fmt.Sprintf("%s?most=%d", wire.PathMachines, pageSize)
	if o.AfterMachine != "" {
		path += "&from=" + url.QueryEscape(o.AfterMachine)
	}
	page, resp := httpjson.Decode[wire.MachineList](c.do(ctx, http.MethodGet, path, nil))
	return core.CloudResult{
		ID:       o.ID,
		Status:   wire.Status(resp.Status),
		Machines: page.Machines,
		More:     page.More,
	}
}

func (c *Client) do(ctx context.Context, method, path string, body any) httpjson.Response {
	return c.httpClient.Do(ctx, requestTimeout, method, c.baseURL+path, body)
}
