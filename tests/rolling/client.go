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
	// callTimeout is how long a caller waits for one node.
	callTimeout = 3 * time.Second
	// retryPause stands between two attempts of a call.
	retryPause = 50 * time.Millisecond
)

// client calls the control plane as an application does: it goes on to another node
// until the answer is clear. All goroutines may use it.
type client struct {
	http    *http.Client
	nodes   []string
	next    atomic.Int64
	longest atomic.Int64 // nanoseconds of the longest call, with its attempts
	calls   atomic.Int64
	retries atomic.Int64
}

// newClient returns a client that picks among the given addresses.
func newClient(nodes ...string) *client {
	return &client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}, nodes: nodes}
}

// isClear reports whether a status is a clear answer: it says how the call ended, or
// refuses it for a reason that holds at every node.
func isClear(status int) bool {
	return slices.Contains([]int{200, 400, 404, 409, 410, 412, 413, 422}, status)
}

// rpc makes a call of /api/rpc and reads the answer into answer, if that is not nil.
func (c *client) rpc(ctx context.Context, call, of string, body, answer any) (int, error) {
	path := "/api/rpc?call=" + call
	if of != "" {
		path += "&of=" + of
	}
	return c.do(ctx, http.MethodPost, path, body, answer)
}

// do makes a call and repeats it at another node until the answer is clear, ctx
// ends or upBound has passed. Without a clear answer it returns an error. Whatever
// is called through it has to bear a repetition.
func (c *client) do(ctx context.Context, method, path string, body, answer any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, upBound)
	defer cancel()
	c.calls.Add(1)
	began := time.Now()
	defer func() {
		if ctx.Err() == nil {
			c.longest.Store(max(c.longest.Load(), int64(time.Since(began)))) // a race loses one figure
		}
	}()
	var last error
	for {
		node := c.nodes[int(c.next.Add(1))%len(c.nodes)]
		status, text, err := c.attempt(ctx, method, "http://"+node+path, body)
		if err == nil && isClear(status) {
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
			return 0, fmt.Errorf("%s %s: no clear answer: %w, at last: %w", method, path, ctx.Err(), last)
		case <-time.After(retryPause):
			c.retries.Add(1)
		}
	}
}

// attempt makes one call at one node. A long poll names its own time in the path,
// which is below callTimeout.
func (c *client) attempt(ctx context.Context, method, url string, body any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
