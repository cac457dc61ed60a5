package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lichentray/internal/controlplanetest"
	"lichentray/internal/metrics"
	"lichentray/registry"
)

// stubEndpoint is an endpoint that reads requests one at a time and responds by a script. It closes
// the connection after a response that contains BREAK.
type stubEndpoint struct {
	t        *testing.T
	listener net.Listener
	mu       sync.Mutex
	received []string
	script   func(n int, req string) string // "" closes the connection without a response
}

// newStubEndpoint starts an endpoint on the loopback interface that stops at the end of the test.
func newStubEndpoint(t *testing.T, script func(n int, req string) string) *stubEndpoint {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &stubEndpoint{t: t, listener: ln, script: script}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

// serve serves one connection.
func (e *stubEndpoint) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		text := fmt.Sprintf("%s %s %s", req.Method, req.RequestURI, body)
		e.mu.Lock()
		e.received = append(e.received, text)
		n := len(e.received)
		e.mu.Unlock()
		response := e.script(n, text)
		if response == "" {
			return
		}
		response = strings.ReplaceAll(response, "ID", req.Header.Get("X-Attempt-Id"))
		if _, err := io.WriteString(c, response); err != nil || strings.Contains(response, "BREAK") {
			return
		}
	}
}

// requests returns the received requests, each as method, target and body.
func (e *stubEndpoint) requests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.received...)
}

// okResponse returns a valid success. stubEndpoint replaces ID with the request's attempt id.
func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Signature: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// notExecutedResponse is a response stating that the request was not executed.
const notExecutedResponse = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// testConfig has an idempotent route /safe/ and a non-idempotent one /once/, both to service s.
const testConfig = `{"config_version":3,"limits":{"max_header_bytes":2000,"max_body_bytes":600000,"header_timeout_s":1,"idle_timeout_s":5},
"listeners":[{"hostname":"h","rules":[
 {"name":"safe","route_type":"idempotent","target_latency_s":1,"priority":1,"match":{"path_prefix":"/safe/"},"action":{"backend_service":"s","timeout_s":5,"max_attempts":2}},
 {"name":"once","route_type":"non_idempotent","target_latency_s":1,"priority":1,"match":{"path_prefix":"/once/"},"action":{"backend_service":"s","timeout_s":5,"max_attempts":2}}]}],
"clusters":[{"name":"s","health_check_path":"/health","max_connections":100}]}`

// startProxy starts a proxy node on the loopback interface, with the given endpoints of service s,
// and returns its address.
func startProxy(t *testing.T, endpoints ...*stubEndpoint) (*Proxy, string) {
	p, f := startFrontend(t, endpoints...)
	return p, f.listener.Addr().String()
}

// startFrontend does the same as startProxy, and returns the frontend.
func startFrontend(t *testing.T, endpoints ...*stubEndpoint) (*Proxy, *Frontend) {
	set := controlplanetest.Settings(t, "127.0.0.1", "", 1, 2, []string{"127.0.0.1"}, false)
	p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
	p.applyObject(registry.Object{Key: registry.ConfigKey, Value: append(make([]byte, 8), testConfig...)}, false)
	for i, e := range endpoints {
		x := registry.Endpoint{ID: fmt.Sprint("i-", i), Service: "s", Address: e.listener.Addr().String(), Zone: "a", Capacity: 4}
		p.applyObject(registry.Object{Key: x.Key(), Value: x.Encode()}, false)
	}
	for range 100 { // fills the retry budget
		p.services["s"].retryBudget.Deposit()
	}
	return p, serveFrontend(t, p)
}

// serveFrontend starts a frontend for a proxy node on the loopback interface.
func serveFrontend(t *testing.T, p *Proxy) *Frontend {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := NewFrontend(p, ln)
	go f.Run()
	t.Cleanup(func() { ln.Close() })
	return f
}

// sendRaw writes raw bytes and reads responses, until there are want responses or the node closes
// the connection. It sets the status of a response with an incomplete body to -1.
func sendRaw(t *testing.T, addr, raw string, want int) []*http.Response {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	var out []*http.Response
	for len(out) < want {
		r, err := http.ReadResponse(br, nil)
		if err != nil {
			return out
		}
		b, err := io.ReadAll(r.Body)
		if err != nil {
			r.StatusCode = -1 // truncated
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		out = append(out, r)
	}
	return out
}

// getRequest returns a complete GET request to a path.
func getRequest(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Deadline: 4000\r\nConnection: close\r\n\r\n"
}

// postRequest returns a complete POST request to a path.
func postRequest(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a2\r\nX-Deadline: 4000\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc"
}

// statusOf returns the status of the only response, or 0 if there is not exactly one.
func statusOf(rs []*http.Response) int {
	if len(rs) != 1 {
		return 0
	}
	return rs[0].StatusCode
}

// scriptedConn is a client connection that delivers the bytes of in and then ends. It discards all
// writes.
type scriptedConn struct {
	net.Conn
	in io.Reader
}

func (s *scriptedConn) Read(b []byte) (int, error)       { return s.in.Read(b) }
func (s *scriptedConn) Write(b []byte) (int, error)      { return len(b), nil }
func (s *scriptedConn) Close() error                     { return nil }
func (s *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (s *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (s *scriptedConn) SetWriteDeadline(time.Time) error { return nil }
func (s *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (s *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
