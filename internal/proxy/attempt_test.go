package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestAttemptOutcomes checks the status that the client receives, and the number of attempts, for
// valid, failed and invalid responses of endpoints.
func TestAttemptOutcomes(t *testing.T) {
	always := func(a string) func(int, string) string { return func(int, string) string { return a } }
	first := func(a, then string) func(int, string) string {
		return func(n int, _ string) string {
			if n == 1 {
				return a
			}
			return then
		}
	}
	for _, c := range []struct {
		name     string
		script   func(int, string) string
		request  string
		status   int
		attempts int
	}{
		{"success", always(okResponse("x")), getRequest("/safe/a"), 200, 1},
		{"no route", always(okResponse("x")), getRequest("/none/a"), 404, 0},
		{"idempotent request is retried after a closed connection", first("", okResponse("x")), getRequest("/safe/a"), 200, 2},
		{"idempotent request is retried after a server error", first("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", okResponse("x")), getRequest("/safe/a"), 200, 2},
		{"non-idempotent request that may have been executed is neither retried nor reported as not executed", always(""), postRequest("/once/a"), 502, 1},
		{"unprocessed non-idempotent request is retried", first(notExecutedResponse, okResponse("x")), postRequest("/once/a"), 200, 2},
		{"request that all endpoints leave unprocessed is rejected as not executed", always(notExecutedResponse), postRequest("/once/a"), 503, 2},
		{"status 503 for a non-idempotent request does not mean not executed", always("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), postRequest("/once/a"), 502, 1},
		{"response to another request", always(strings.Replace(okResponse("x"), "ID", "zz", 1)), postRequest("/once/a"), 502, 1},
		{"success without a signature", always("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"), postRequest("/once/a"), 502, 1},
		{"truncated body", always("HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 9\r\n\r\nBREAK"), postRequest("/once/a"), 502, 1},
		{"body without a length", always("HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n\r\nBREAK"), postRequest("/once/a"), 502, 1},
		{"not HTTP", always("BREAK what is this\r\n\r\n"), postRequest("/once/a"), 502, 1},
		{"two Content-Length headers", always("HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy"), postRequest("/once/a"), 502, 1},
		{"chunked", always("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), postRequest("/once/a"), 200, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var mu sync.Mutex
			n := 0
			shared := func(_ int, req string) string {
				mu.Lock()
				n++
				k := n
				mu.Unlock()
				return c.script(k, req)
			}
			_, addr := startProxy(t, newStubEndpoint(t, shared), newStubEndpoint(t, shared))
			rs := sendRaw(t, addr, c.request, 1)
			mu.Lock()
			attempts := n
			mu.Unlock()
			if statusOf(rs) != c.status || attempts != c.attempts {
				t.Errorf("status %d after %d attempts, want %d after %d", statusOf(rs), attempts, c.status, c.attempts)
			}
			if s := statusOf(rs); s == 503 && rs[0].Header.Get("Retry-After") == "" {
				t.Error("response with status 503 has no Retry-After header")
			}
		})
	}
}

// TestExcessBytesCloseConnection guards against relaying excess bytes after a complete response as
// the response to the next request on that connection.
func TestExcessBytesCloseConnection(t *testing.T) {
	n := 0
	var mu sync.Mutex
	e := newStubEndpoint(t, func(int, string) string {
		mu.Lock()
		defer mu.Unlock()
		n++
		if n == 1 {
			return okResponse("first") + "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 4\r\n\r\nevil"
		}
		return okResponse("second")
	})
	_, addr := startProxy(t, e)
	for _, want := range []string{"first", "second"} {
		rs := sendRaw(t, addr, getRequest("/safe/a"), 1)
		if statusOf(rs) != 200 {
			t.Fatalf("status = %d, want 200", statusOf(rs))
		}
		if b, _ := io.ReadAll(rs[0].Body); string(b) != want {
			t.Errorf("body = %q, want %q", b, want)
		}
	}
}

// TestStaleConnectionDoesNotEject checks that an endpoint that closes an idle connection is not
// ejected, that a non-idempotent request sent on it is not retried, and that the idle limit for
// reusing connections is lowered.
func TestStaleConnectionDoesNotEject(t *testing.T) {
	e := newStubEndpoint(t, func(n int, _ string) string {
		if n == 2 {
			return ""
		}
		return okResponse("x")
	})
	p, addr := startProxy(t, e)
	var got []int
	for range 4 {
		got = append(got, statusOf(sendRaw(t, addr, postRequest("/once/a"), 1)))
		time.Sleep(5 * time.Millisecond)
	}
	if fmt.Sprint(got) != "[200 502 200 200]" || len(e.requests()) != 4 {
		t.Errorf("statuses %v with %d requests at the endpoint, want [200 502 200 200] with 4", got, len(e.requests()))
	}
	if p.counters.staleConnections.Value() != 1 || p.counters.ejections.Value() != 0 || p.services["s"].idleLimit(p.now()) > time.Second {
		t.Errorf("stale connections %d, ejections %d; want 1, 0 and an idle limit of at most 1s", p.counters.staleConnections.Value(), p.counters.ejections.Value())
	}
}

// TestRequestWithoutIDUsesNewConnection checks that a request without X-Attempt-Id is sent on a new
// connection: on a reused one, its response could not be distinguished from an excess response to
// an earlier request.
func TestRequestWithoutIDUsesNewConnection(t *testing.T) {
	e := newStubEndpoint(t, func(int, string) string { return okResponse("x") })
	p, addr := startProxy(t, e)
	sendOK := func(raw string) {
		if s := statusOf(sendRaw(t, addr, raw, 1)); s != 200 {
			t.Errorf("status = %d, want 200", s)
		}
	}
	idle := func() int { return p.services["s"].connPools[p.services["s"].pool.Endpoints()[0]].countIdle() }
	sendOK(getRequest("/safe/a"))
	if idle() != 1 {
		t.Fatal("the connection was not returned to the pool")
	}
	sendOK(strings.Replace(getRequest("/safe/b"), "X-Attempt-Id: a1\r\n", "", 1))
	if idle() != 2 {
		t.Errorf("%d idle connections after a request without an id, want 2", idle())
	}
	sendOK(getRequest("/safe/c"))
	if idle() != 2 {
		t.Errorf("%d idle connections after a request with an id, want 2", idle())
	}
}

// TestEarlyRejectionIsHonoured checks that the response is used if an endpoint rejects a request and
// closes the connection before the whole request was sent.
func TestEarlyRejectionIsHonoured(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if _, err = bufio.NewReader(c).ReadString('\n'); err == nil {
			_, _ = io.WriteString(c, strings.Replace(notExecutedResponse, "X-Not", "X-Attempt-Id: a2\r\nX-Not", 1))
		}
		c.Close() // closing with unread bytes resets the connection
	}()
	_, addr := startProxy(t, &stubEndpoint{listener: ln})
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	body := strings.Repeat("b", maxBufferedRequestBytes)
	_, _ = fmt.Fprintf(c, "POST /once/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a2\r\nX-Deadline: 9000\r\nContent-Length: %d\r\n\r\n%sb", 2*maxBufferedRequestBytes, body)
	<-ended
	_, _ = io.WriteString(c, body[1:])
	if r, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || r.StatusCode != 503 {
		t.Errorf("response = %+v, %v; want status 503", r, err)
	}
}
