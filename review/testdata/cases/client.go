package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	status    int
	signature string
	body      string
	err       error
	took      time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %v: %v", a.took.Round(time.Millisecond), a.err)
	}
	return fmt.Sprintf("%d signature %q after %v", a.status, a.signature, a.took.Round(time.Millisecond))
}

// isOwn reports whether the answer is the proxy's own, not one of an endpoint.
func (a answer) isOwn() bool { return a.err == nil && a.signature == "" }

// clientConn is one connection of a client to a proxy.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a connection, as a client does: it gets a second to come up.
func connect(addr string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// request is one try of a client.
type request struct {
	method, host, path, id string
	deadline               time.Duration
	// padding is the size in bytes of a further header.
	padding int
	// bodySize is the size in bytes of the body of a POST; 4 if it is 0.
	bodySize int
}

// send sends a request and waits for the answer until the deadline and a little more.
func (c *clientConn) send(q request) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.padding > 0 {
		head += "Cookie: session=" + strings.Repeat("a", q.padding) + "\r\n"
	}
	if q.method == http.MethodPost {
		body := "body"
		if q.bodySize > 0 {
			body = strings.Repeat("b", q.bodySize)
		}
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	} else {
		head += "\r\n"
	}
	_ = c.conn.SetDeadline(began.Add(q.deadline + 500*time.Millisecond))
	if _, a.err = io.WriteString(c.conn, head); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.signature, a.body = resp.StatusCode, resp.Header.Get("X-Server-Signature"), string(body)
	return a
}

func (c *clientConn) close() { c.conn.Close() }
