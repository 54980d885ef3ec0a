// Package agent is the client for the agents on machines: it sends them commands and polls their status. It
// keeps no state other than idle connections, and package core decides what a result means.
package agent

import (
	"context"
	"net/http"
	"time"

	"dewlift/core"
	"dewlift/internal/httpjson"
	"dewlift/wire"
)

const (
	requestTimeout = 2 * time.Second
	// maxConnsPerAgent is the maximum number of connections to one agent.
	maxConnsPerAgent = 2
	// maxResponseBytes is the maximum size of a response, which is a heartbeat with the status of all tasks
	// of a machine.
	maxResponseBytes = 4 << 20
)

// Client sends requests to agents.
type Client struct{ httpClient *httpjson.Client }

// New returns a client that keeps at most maxIdleConns idle connections open.
func New(maxIdleConns int) *Client {
	return &Client{httpClient: httpjson.New(maxConnsPerAgent, maxIdleConns, maxResponseBytes)}
}

// SendCommands sends commands to an agent. The agent responds with a heartbeat even if it executes no
// commands because it has seen a higher fencing token.
func (c *Client) SendCommands(ctx context.Context, o core.SendCommands) core.CommandsResult {
	resp := c.httpClient.Do(ctx, requestTimeout, http.MethodPost, "http://"+o.Addr+wire.PathAgentCommands, o.Batch)
	result := core.CommandsResult{ID: o.ID, Status: wire.Status(resp.Status), MaybeDelivered: resp.Sent}
	if result.Status != wire.StatusOK && result.Status != wire.StatusConflict {
		return result
	}
	heartbeat, err := wire.ParseHeartbeat(resp.Body)
	if err != nil {
		result.Status = wire.StatusNoResponse // an invalid response is treated like a missing one
		return result
	}
	result.Heartbeat = heartbeat
	return result
}

// PollAgent requests the status of an agent. The result has no heartbeat if there was no valid response.
func (c *Client) PollAgent(ctx context.Context, o core.PollAgent) core.AgentPolled {
	resp := c.httpClient.Do(ctx, requestTimeout, http.MethodGet, "http://"+o.Addr+wire.PathAgentStatus, nil)
	result := core.AgentPolled{Machine: o.Machine}
	if wire.Status(resp.Status) != wire.StatusOK {
		return result
	}
	if heartbeat, err := wire.ParseHeartbeat(resp.Body); err == nil {
		result.Heartbeat = heartbeat
	}
	return result
}
