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

// Limits of the calls. A node gets a part of the time, so that another can be asked.
const (
	maxRedirects  = 2
	dialTimeout   = 2 * time.Second
	callTimeout   = 3 * time.Second
	retryInterval = 200 * time.Millisecond
	// minTimeout is what a call gets when the deadline has passed.
	minTimeout = time.Millisecond
)

// client calls control-plane nodes until a deadline.
type client struct {
	nodes    []string // addresses
	deadline time.Time
}

// response is what a node answered.
type response struct {
	status   int
	body     []byte
	location string // where a node that does not forward the call redirects it
}

// callError is a call without a usable answer.
type callError struct {
	err error
	// mayHaveArrived reports whether a node may have received the call.
	mayHaveArrived bool
}

// Error returns the message of the cause.
func (e *callError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.err }

// query asks one node after the other until one answers. Only calls that
// change nothing may be sent with it, as several nodes may process them.
func (c *client) query(call string, body []byte) ([]byte, error) {
	var last error
	for time.Now().Before(c.deadline) {
		for _, node := range c.nodes {
			r, err := c.call(node, http.MethodPost, "/api/rpc?call="+call, body)
			if err != nil {
				last = fmt.Errorf("%s: %w", node, err)
				continue
			}
			switch r.status {
			case http.StatusOK:
				return r.body, nil
			case http.StatusNotFound:
				return nil, exitErrorf(exitFailed, "%s has none: %s", node, r.body)
			case http.StatusBadRequest:
				return nil, exitErrorf(exitUsage, "%s refused it: %s", node, r.body)
			}
			last = fmt.Errorf("%s answered %d: %s", node, r.status, r.body)
		}
		time.Sleep(retryInterval)
	}
	return nil, exitErrorf(exitFailed, "no node answered %s: %v", call, last)
}

// submit sends a command to one node after the other until one acknowledges it, and
// returns that node. Commands are idempotent. If no node does, the exit code of the
// error is exitOutcomeUnknown if the command may be in force.
func (c *client) submit(call string, body []byte) (node string, err error) {
	var last error
	mayBeInForce := false
	for time.Now().Before(c.deadline) {
		for _, node := range c.nodes {
			r, err := c.call(node, http.MethodPost, "/api/rpc?call="+call, body)
			switch {
			case err != nil:
				var e *callError
				mayBeInForce = mayBeInForce || errors.As(err, &e) && e.mayHaveArrived
				last = fmt.Errorf("%s: %w", node, err)
			case r.status == http.StatusOK:
				return node, nil
			case isRejection(r.status):
				return "", exitErrorf(exitInvalid, "%s refused it with %d: %s", node, r.status, r.body)
			default:
				mayBeInForce = mayBeInForce || !isUnprocessed(r.status)
				last = fmt.Errorf("%s answered %d: %s", node, r.status, r.body)
			}
		}
		time.Sleep(retryInterval)
	}
	if mayBeInForce {
		return "", exitErrorf(exitOutcomeUnknown, "no clear answer, the order may or may not be in force: %v", last)
	}
	return "", exitErrorf(exitFailed, "no node took the order: %v", last)
}

// isRejection reports whether a status means that the command itself is invalid, so that no
// other node would accept it.
func isRejection(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// isUnprocessed reports whether a status promises that the command was not processed.
func isUnprocessed(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// call calls one node, and follows its redirects. The error is a *callError.
func (c *client) call(node, method, path string, body []byte) (response, error) {
	for redirects := 0; ; redirects++ {
		r, err := c.callOnce(node, method, path, body)
		if err != nil || r.status != http.StatusTemporaryRedirect {
			return r, err
		}
		at, err := url.Parse(r.location)
		if err != nil || at.Host == "" {
			return r, &callError{
				err:            fmt.Errorf("%s sends on to %q, which is no address", node, r.location),
				mayHaveArrived: true,
			}
		}
		if redirects == maxRedirects {
			return r, nil
		}
		node = at.Host
		path = at.RequestURI()
	}
}

// callOnce calls one node once, on a connection of its own. The error is a *callError.
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
			conn, err := fasthttp.DialTimeout(addr, c.atMost(dialTimeout))
			isConnected = err == nil
			return conn, err
		},
	}
	if err := host.DoTimeout(req, resp, c.atMost(callTimeout)); err != nil {
		return response{}, &callError{err: err, mayHaveArrived: isConnected}
	}
	return response{
		status:   resp.StatusCode(),
		body:     append([]byte(nil), resp.Body()...),
		location: string(resp.Header.Peek("Location")),
	}, nil
}

// atMost returns the time left until the deadline, or limit if that is less.
func (c *client) atMost(limit time.Duration) time.Duration {
	return max(minTimeout, min(limit, time.Until(c.deadline)))
}
