package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"
)

// Timeouts and limits of calls. The timeouts of a call to one node are shorter than the default
// timeout of a command, so that time is left to try another node.
const (
	maxRedirects  = 2
	dialTimeout   = 2 * time.Second
	callTimeout   = 3 * time.Second
	retryInterval = 200 * time.Millisecond
	// minTimeout is the timeout of a call that starts after the deadline.
	minTimeout = time.Millisecond
)

// client calls control-plane nodes until a deadline.
type client struct {
	nodes    []string // addresses
	deadline time.Time
}

// response is the response of a node.
type response struct {
	status   int
	body     []byte
	location string // target of a redirect, from a node that does not forward the call itself
}

// callError is the error of a call that got no usable response.
type callError struct {
	err error
	// mayHaveArrived is set if a node may have received the call.
	mayHaveArrived bool
}

// Error returns the message of the underlying error.
func (e *callError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *callError) Unwrap() error { return e.err }

// query sends a call to one node after another until one returns a result. It must be used only for
// calls that change nothing, because several nodes may execute the call.
func (c *client) query(call string, body []byte) ([]byte, error) {
	var lastErr error
	for time.Now().Before(c.deadline) {
		for _, node := range c.nodes {
			r, err := c.call(node, http.MethodPost, "/api/rpc?call="+call, body)
			if err != nil {
				lastErr = fmt.Errorf("%s: %w", node, err)
				continue
			}
			switch r.status {
			case http.StatusOK:
				return r.body, nil
			case http.StatusNotFound:
				return nil, exitErrorf(exitFailed, "%s returned not found: %s", node, r.body)
			case http.StatusBadRequest:
				return nil, exitErrorf(exitUsage, "%s rejected the request: %s", node, r.body)
			}
			lastErr = fmt.Errorf("%s returned status %d: %s", node, r.status, r.body)
		}
		time.Sleep(retryInterval)
	}
	return nil, exitErrorf(exitFailed, "no node returned a result for %s: %v", call, lastErr)
}

// submit sends a call to one node after another until one acknowledges it, and returns that node.
// The call must be idempotent. If no node acknowledges it and it may have taken effect, the exit
// code of the error is exitOutcomeUnknown.
func (c *client) submit(call string, body []byte) (node string, err error) {
	var lastErr error
	mayHaveTakenEffect := false
	for time.Now().Before(c.deadline) {
		for _, node := range c.nodes {
			r, err := c.call(node, http.MethodPost, "/api/rpc?call="+call, body)
			switch {
			case err != nil:
				var e *callError
				mayHaveTakenEffect = mayHaveTakenEffect || errors.As(err, &e) && e.mayHaveArrived
				lastErr = fmt.Errorf("%s: %w", node, err)
			case r.status == http.StatusOK:
				return node, nil
			case isRejection(r.status):
				return "", exitErrorf(exitInvalid, "%s rejected the request with status %d: %s", node, r.status, r.body)
			default:
				mayHaveTakenEffect = mayHaveTakenEffect || !isUnprocessed(r.status)
				lastErr = fmt.Errorf("%s returned status %d: %s", node, r.status, r.body)
			}
		}
		time.Sleep(retryInterval)
	}
	if mayHaveTakenEffect {
		return "", exitErrorf(exitOutcomeUnknown, "outcome unknown, the request may or may not have taken effect: %v", lastErr)
	}
	return "", exitErrorf(exitFailed, "no node accepted the request: %v", lastErr)
}

// isRejection reports whether a status means that the call itself is invalid, so that no other node
// would accept it.
func isRejection(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// isUnprocessed reports whether a status guarantees that the call was not executed.
func isUnprocessed(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// call sends a call to one node and follows its redirects. The error is a *callError.
func (c *client) call(node, method, path string, body []byte) (response, error) {
	for redirects := 0; ; redirects++ {
		r, err := c.callOnce(node, method, path, body)
		if err != nil || r.status != http.StatusTemporaryRedirect {
			return r, err
		}
		location, err := url.Parse(r.location)
		if err != nil || location.Host == "" {
			return r, &callError{
				err:            fmt.Errorf("%s redirected to %q, which is not a URL with a host", node, r.location),
				mayHaveArrived: true,
			}
		}
		if redirects == maxRedirects {
			return r, nil
		}
		node = location.Host
		path = location.RequestURI()
	}
}

// callOnce sends one request to a node, on a new connection. The error is a *callError.
func (c *client) callOnce(node, method, path string, body []byte) (response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + node + path)
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	req.SetConnectionClose()
	isConnected := false
	host := fasthttp.HostClient{
		Addr:                      node,
		MaxIdemponentCallAttempts: 1,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := fasthttp.DialTimeout(addr, c.remainingTime(dialTimeout))
			isConnected = err == nil
			return conn, err
		},
	}
	if err := host.DoTimeout(req, resp, c.remainingTime(callTimeout)); err != nil {
		return response{}, &callError{err: err, mayHaveArrived: isConnected}
	}
	return response{
		status:   resp.StatusCode(),
		body:     append([]byte(nil), resp.Body()...),
		location: string(resp.Header.Peek("Location")),
	}, nil
}

// remainingTime returns the time left until the deadline, but at most limit and at least
// minTimeout.
func (c *client) remainingTime(limit time.Duration) time.Duration {
	return max(minTimeout, min(limit, time.Until(c.deadline)))
}
