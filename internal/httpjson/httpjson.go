// Package httpjson makes JSON requests over HTTP/1.1 with a timeout and bounded response size. It reports
// whether a request may have been executed, and never sends a request with a body twice.
package httpjson

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	dialTimeout     = 1500 * time.Millisecond
	idleConnTimeout = time.Minute
)

// Client makes requests to one kind of server.
type Client struct {
	// Token is sent as the bearer token of every request unless it is empty.
	Token string

	httpClient   http.Client
	maxBodyBytes int64
}

// New returns a client with at most maxConnsPerHost connections per host and maxIdleConns idle connections
// in total. Response bodies of more than maxBodyBytes are an error.
func New(maxConnsPerHost, maxIdleConns int, maxBodyBytes int64) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Client{maxBodyBytes: maxBodyBytes, httpClient: http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     maxConnsPerHost,
			MaxIdleConnsPerHost: maxConnsPerHost,
			MaxIdleConns:        maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// UseTLS makes the client use TLS. It must be called before the first request.
func (c *Client) UseTLS(cfg *tls.Config) {
	c.httpClient.Transport.(*http.Transport).TLSClientConfig = cfg
}

// Response is the outcome of a request.
type Response struct {
	Status int  // 0 if there was no response
	Sent   bool // whether the request may have reached the server, even without a response
	Body   []byte
	Err    error
}

// Do sends a request, with body encoded as JSON unless it is nil, and reads the response.
func (c *Client) Do(ctx context.Context, timeout time.Duration, method, url string, body any) Response {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(
		ctx,
		&httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }},
	)
	req, err := c.newRequest(ctx, method, url, body)
	if err != nil {
		return Response{Err: err}
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return Response{Sent: sent.Load(), Err: err}
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read, so an error does not matter
	raw, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBodyBytes+1))
	if err == nil && int64(len(raw)) > c.maxBodyBytes {
		err = fmt.Errorf("body exceeds %d bytes", c.maxBodyBytes)
	}
	if err != nil {
		return Response{Sent: true, Err: fmt.Errorf("read response: %w", err)}
	}
	return Response{Status: resp.StatusCode, Sent: true, Body: raw}
}

func (c *Client) newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
		reader = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	// Without GetBody, the transport cannot resend a request with a body by itself. A transaction or a
	// scale-out must not be executed twice.
	req.GetBody = nil
	return req, nil
}

// Decode decodes the body of a response with status 200, 404 or 409. If that fails, it sets the status to 0,
// as if there was no response.
func Decode[T any](resp Response) (T, Response) {
	var v T
	if resp.Status != http.StatusOK && resp.Status != http.StatusNotFound && resp.Status != http.StatusConflict {
		return v, resp
	}
	if err := json.Unmarshal(resp.Body, &v); err != nil {
		resp.Status, resp.Err = 0, fmt.Errorf("decode response: %w", err)
	}
	return v, resp
}
