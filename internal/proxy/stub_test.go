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

// stubEndpoint is an endpoint that reads one request at a time and answers by a script.
type stubEndpoint struct {
	t        *testing.T
	listener net.Listener
	mu       sync.Mutex
	received []string
	script   func(n int, req string) string // "" closes the connection unanswered
}

// newStubEndpoint starts an endpoint on the loopback that ends with the test.
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

// serve answers the requests of one connection.
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
		a := e.script(n, text)
		if a == "" {
			return
		}
		a = strings.ReplaceAll(a, "ID", req.Header.Get("X-Attempt-Id"))
		if _, err := io.WriteString(c, a); err != nil || strings.Contains(a, "BREAK") {
			return
		}
	}
}

// requests returns the requests that were received, each as method, target and body.
func (e *stubEndpoint) requests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.received...)
}

// okResponse is a valid success. The endpoint replaces ID by the request's attempt id.
func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Signature: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// notExecutedResponse states that the request was not executed.
const notExecutedResponse = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// testConfig has an idempotent route /safe/ and a non-idempotent one /once/, both to service s.
const testConfig = `{"config_version":3,"limits":{"max_header_bytes":2000,"max_body_bytes":600000,"header_timeout_s":1,"idle_timeout_s":5},
"listeners":[{"hostname":"h","rules":[
 {"name":"safe","route_type":"idempotent","target_latency_s":1,"priority":1,"match":{"path_prefix":"/safe/"},"action":{"backend_service":"s","timeout_s":5,"max_attempts":2}},
 {"name":"once","route_type":"non_idempotent","target_latency_s":1,"priority":1,"match":{"path_prefix":"/once/"},"action":{"backend_service":"s","timeout_s":5,"max_attempts":2}}]}],
"clusters":[{"name":"s","health_check_path":"/health","max_connections":100}]}`

// startProxy starts a proxy node on the loopback that knows the endpoints.
func startProxy(t *testing.T, endpoints ...*stubEndpoint) (*Proxy, string) {
	p, f := startFrontend(t, endpoints...)
	return p, f.listener.Addr().String()
}

// startFrontend is startProxy for tests that need the frontend.
func startFrontend(t *testing.T, endpoints ...*stubEndpoint) (*Proxy, *Frontend) {
	set := controlplanetest.Settings(t, "127.0.0.1", "", 1, 2, []string{"127.0.0.1"}, false)
	p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
	p.applyObject(registry.Object{Key: registry.ConfigKey, Value: append(make([]byte, 8), testConfig...)}, false)
	for i, e := range endpoints {
		x := registry.Endpoint{ID: fmt.Sprint("i-", i), Service: "s", Address: e.listener.Addr().String(), Zone: "a", Capacity: 4}
		p.applyObject(registry.Object{Key: x.Key(), Value: x.Encode()}, false)
	}
	for range 100 { // a retry budget
		p.services["s"].retryBudget.Deposit()
	}
	return p, serveFrontend(t, p)
}

// serveFrontend lets a proxy node accept requests on the loopback.
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

// sendRaw writes raw bytes and reads responses until the node closes the connection or want are
// there. A response whose body is incomplete has the status -1.
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
			r.StatusCode = -1 // cut short
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		out = append(out, r)
	}
	return out
}

// getRequest is a complete GET request to a path.
func getRequest(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Deadline: 4000\r\nConnection: close\r\n\r\n"
}

// postRequest is a complete POST request to a path.
func postRequest(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a2\r\nX-Deadline: 4000\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc"
}

// statusOf is the status of the only response; 0 if there is not exactly one.
func statusOf(rs []*http.Response) int {
	if len(rs) != 1 {
		return 0
	}
	return rs[0].StatusCode
}

// scriptedConn is a client's connection that sends some bytes and ends.
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
