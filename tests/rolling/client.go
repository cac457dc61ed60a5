package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// attemptTimeout limits one attempt of a call at one node.
	attemptTimeout = 3 * time.Second
	// retryDelay is the delay between two attempts of a call.
	retryDelay = 50 * time.Millisecond
)

// client calls the control plane as an application does: it retries a call at the next
// node until the response is conclusive. It is safe for concurrent use.
type client struct {
	http        *http.Client
	nodes       []string
	nextNode    atomic.Int64
	longestCall atomic.Int64 // nanoseconds, all attempts of the call included
	calls       atomic.Int64
	retries     atomic.Int64
}

// newClient returns a client that uses the nodes at the given addresses in turn.
func newClient(nodes ...string) *client {
	return &client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}, nodes: nodes}
}

// isConclusive reports whether a status tells the outcome of the call, or rejects the
// call for a reason that is the same at every node.
func isConclusive(status int) bool {
	return slices.Contains([]int{200, 400, 404, 409, 410, 412, 413, 422}, status)
}

// rpc makes a call of /api/rpc and decodes the response body into answer unless that is nil.
func (c *client) rpc(ctx context.Context, call, of string, body, answer any) (int, error) {
	path := "/api/rpc?call=" + call
	if of != "" {
		path += "&of=" + of
	}
	return c.do(ctx, http.MethodPost, path, body, answer)
}

// do makes a call and retries it at the next node until the response is conclusive, ctx
// is done, or operationTimeout has passed. Without a conclusive response it returns an
// error. The call has to be idempotent.
func (c *client) do(ctx context.Context, method, path string, body, answer any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	c.calls.Add(1)
	began := time.Now()
	defer func() {
		if ctx.Err() == nil {
			c.longestCall.Store(max(c.longestCall.Load(), int64(time.Since(began)))) // a concurrent store may overwrite a higher value; the figure is only printed
		}
	}()
	var last error
	for {
		node := c.nodes[int(c.nextNode.Add(1))%len(c.nodes)]
		status, text, err := c.attempt(ctx, method, "http://"+node+path, body)
		if err == nil && isConclusive(status) {
			if answer != nil && (status == 200 || status == 412) {
				err = json.Unmarshal(text, answer)
			}
			return status, err
		}
		if last = err; err == nil {
			last = fmt.Errorf("status %d: %s", status, text)
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("%s %s: no conclusive response: %w; last error: %w", method, path, ctx.Err(), last)
		case <-time.After(retryDelay):
			c.retries.Add(1)
		}
	}
}

// attempt makes one call at one node. A long poll sets its own wait in the path,
// which has to be shorter than attemptTimeout.
func (c *client) attempt(ctx context.Context, method, url string, body any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var reader io.Reader
	if method == http.MethodPost {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}
