// Package agent sends orders straight to workers and asks them for reports.
package agent

import (
	"context"
	"net/http"
	"time"

	"dewlift/core"
	"dewlift/internal/call"
	"dewlift/wire"
)

const timeout = 2 * time.Second

// Client speaks to workers.
type Client struct{ http *call.Client }

// New returns a client that keeps at most idle connections to workers open.
func New(idle int) *Client { return &Client{http: call.New(2, idle, 4<<20)} }

// Orders sends orders; the answer is the worker's report.
func (c *Client) Orders(ctx context.Context, o core.Orders) core.Ordered {
	r := c.http.Do(ctx, timeout, http.MethodPost, "http://"+o.Addr+wire.PathOrders, o.Body)
	out := core.Ordered{ID: o.ID, Status: r.Status, Sent: r.Sent}
	if r.Status != 200 && r.Status != 409 {
		return out
	}
	rep, err := wire.ParseReport(r.Body)
	if err != nil {
		out.Status = 0 // an answer that can't be understood is none
		return out
	}
	out.Report = rep
	return out
}

// Show asks a worker for its report.
func (c *Client) Show(ctx context.Context, o core.Probe) core.Seen {
	r := c.http.Do(ctx, timeout, http.MethodGet, "http://"+o.Addr+wire.PathShow, nil)
	out := core.Seen{Machine: o.Machine}
	if r.Status == 200 {
		if rep, err := wire.ParseReport(r.Body); err == nil {
			out.Report = rep
		}
	}
	return out
}
