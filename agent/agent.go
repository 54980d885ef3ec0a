// Package agent sends orders straight to workers and asks them for reports.
package agent

import (
	"context"
	"dewlift/core"
	"dewlift/internal/httpjson"
	"dewlift/wire"
	"net/http"
	"time"
)

const requestTimeout = 2 * time.Second

// Client speaks to workers.
type Client struct{ httpClient *httpjson.Client }

// New returns a client that keeps at most idle connections to workers open.
func New(maxIdleConns int) *Client { return &Client{httpClient: httpjson.New(2, maxIdleConns, 4<<20)} }

// SendCommands sends orders; the answer is the worker's report.
func (c *Client) SendCommands(ctx context.Context, o core.SendCommands) core.CommandsResult {
	r := c.httpClient.Do(ctx, requestTimeout, http.MethodPost, "http://"+o.Addr+wire.PathAgentCommands, o.Batch)
	out := core.CommandsResult{ID: o.ID, Status: wire.Status(r.Status), MaybeDelivered: r.Sent}
	if r.Status != 200 && r.Status != 409 {
		return out
	}
	rep, err := wire.ParseHeartbeat(r.Body)
	if err != nil {
		out.Status = wire.StatusNoAnswer // an answer that can't be understood is none
		return out
	}
	out.Heartbeat = rep
	return out
}

// PollAgent asks a worker for its report.
func (c *Client) PollAgent(ctx context.Context, o core.PollAgent) core.AgentPolled {
	r := c.httpClient.Do(ctx, requestTimeout, http.MethodGet, "http://"+o.Addr+wire.PathAgentStatus, nil)
	out := core.AgentPolled{Machine: o.Machine}
	if r.Status == 200 {
		if rep, err := wire.ParseHeartbeat(r.Body); err == nil {
			out.Heartbeat = rep
		}
	}
	return out
}
