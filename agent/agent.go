// Package agent is the client of the agents on machines: it sends them commands and polls their status.
// It keeps no state but idle connections; what a result means is decided by the core.
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
	// maxConnsPerAgent bounds connections to one agent.
	maxConnsPerAgent = 2
	// maxResponseBytes bounds a response, a heartbeat with the status of all tasks of a machine.
	maxResponseBytes = 4 << 20
)

// Client sends requests to agents.
type Client struct{ httpClient *httpjson.Client }

// New returns a client that keeps at most maxIdleConns connections open for later requests.
func New(maxIdleConns int) *Client {
	return &Client{httpClient: httpjson.New(maxConnsPerAgent, maxIdleConns, maxResponseBytes)}
}

// SendCommands sends commands. An agent answers with a heartbeat, also if it has seen a higher fencing
// token and executes none of them.
func (c *Client) SendCommands(ctx context.Context, o core.SendCommands) core.CommandsResult {
	resp := c.httpClient.Do(ctx, requestTimeout, http.MethodPost, "http://"+o.Addr+wire.PathAgentCommands, o.Batch)
	result := core.CommandsResult{ID: o.ID, Status: wire.Status(resp.Status), MaybeDelivered: resp.Sent}
	if result.Status != wire.StatusOK && result.Status != wire.StatusConflict {
		return result
	}
	heartbeat, err := wire.ParseHeartbeat(resp.Body)
	if err != nil {
		result.Status = wire.StatusNoAnswer // an invalid response is as good as none
		return result
	}
	result.Heartbeat = heartbeat
	return result
}

// PollAgent asks an agent for its status; the result has no heartbeat if no valid response came.
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
