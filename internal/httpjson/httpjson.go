// Package httpjson makes JSON requests over HTTP/1.1 with bounded time and size.
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

// Client makes requests to one kind of server.
type Client struct {
	// Token, if set, is sent with every request.
	Token string

	httpClient   http.Client
	maxBodyBytes int64
}

// New returns a client that keeps at most idle connections to a host open and reads at most
// max bytes of an answer.
func New(maxConnsPerHost, maxIdleConns int, maxBodyBytes int64) *Client {
	d := &net.Dialer{Timeout: 1500 * time.Millisecond, KeepAlive: -1}
	return &Client{maxBodyBytes: maxBodyBytes, httpClient: http.Client{
		Transport: &http.Transport{
			DialContext: d.DialContext, MaxConnsPerHost: maxConnsPerHost, MaxIdleConnsPerHost: maxConnsPerHost,
			MaxIdleConns: maxIdleConns, IdleConnTimeout: 60 * time.Second, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// UseTLS makes the client use TLS.
func (c *Client) UseTLS(cfg *tls.Config) {
	c.httpClient.Transport.(*http.Transport).TLSClientConfig = cfg
}

// Response is an answer. Status is 0 if none came; Sent tells whether the request may have
// reached the server all the same.
type Response struct {
	Status int
	Sent   bool
	Body   []byte
	Err    error
}

// Do makes a request and reads its answer.
func (c *Client) Do(ctx context.Context, timeout time.Duration, method, url string, body any) Response {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var rd io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return Response{Err: fmt.Errorf("encode request: %w", err)}
		}
		rd = bytes.NewReader(raw)
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(
		ctx,
		&httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }},
	)
	req, err := http.NewRequestWithContext(ctx, method, url, rd)
	if err != nil {
		return Response{Err: fmt.Errorf("build request: %w", err)}
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	// A transaction or rental must not be sent twice by the transport on its own.
	req.GetBody = nil
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return Response{Sent: sent.Load(), Err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBodyBytes+1))
	if err != nil || int64(len(raw)) > c.maxBodyBytes {
		return Response{Sent: true, Err: fmt.Errorf("read answer: %w", err)}
	}
	return Response{Status: resp.StatusCode, Sent: true, Body: raw}
}

// Decode decodes the body of a 200 into a value; an answer that can't be decoded counts as none.
func Decode[T any](r Response) (T, Response) {
	var v T
	if r.Status != 200 && r.Status != 404 && r.Status != 409 {
		return v, r
	}
	if err := json.Unmarshal(r.Body, &v); err != nil {
		r.Status, r.Err = 0, fmt.Errorf("decode answer: %w", err)
	}
	return v, r
}
