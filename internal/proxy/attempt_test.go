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

// TestAttemptOutcomes: what endpoints do, what the client receives for it, and how often the
// request was attempted.
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
		{"served", always(okResponse("x")), getRequest("/safe/a"), 200, 1},
		{"no route", always(okResponse("x")), getRequest("/none/a"), 404, 0},
		{"idempotent is retried after a broken connection", first("", okResponse("x")), getRequest("/safe/a"), 200, 2},
		{"idempotent is retried after a failure", first("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", okResponse("x")), getRequest("/safe/a"), 200, 2},
		{"non-idempotent may have been executed: no promise, no retry", always(""), postRequest("/once/a"), 502, 1},
		{"non-idempotent and unprocessed is retried", first(notExecutedResponse, okResponse("x")), postRequest("/once/a"), 200, 2},
		{"unprocessed everywhere is rejected as not executed", always(notExecutedResponse), postRequest("/once/a"), 503, 2},
		{"failure of a non-idempotent request is no promise", always("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), postRequest("/once/a"), 502, 1},
		{"a response to another request", always(strings.Replace(okResponse("x"), "ID", "zz", 1)), postRequest("/once/a"), 502, 1},
		{"a success without a signature", always("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"), postRequest("/once/a"), 502, 1},
		{"a body cut short", always("HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 9\r\n\r\nBREAK"), postRequest("/once/a"), 502, 1},
		{"a body without a length", always("HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n\r\nBREAK"), postRequest("/once/a"), 502, 1},
		{"no HTTP at all", always("BREAK what is this\r\n\r\n"), postRequest("/once/a"), 502, 1},
		{"two lengths", always("HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy"), postRequest("/once/a"), 502, 1},
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
				t.Errorf("client got %d after %d attempts; want %d and %d", statusOf(rs), attempts, c.status, c.attempts)
			}
			if s := statusOf(rs); s == 503 && rs[0].Header.Get("Retry-After") == "" {
				t.Error("a rejection has no Retry-After")
			}
		})
	}
}

// TestExcessBytesCloseConnection: bytes behind a complete response belong to no request.
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
			t.Fatalf("answered %d", statusOf(rs))
		}
		if b, _ := io.ReadAll(rs[0].Body); string(b) != want {
			t.Errorf("got %q instead of %q", b, want)
		}
	}
}

// TestStaleConnectionDoesNotEject: an endpoint that has forgotten an idle connection is not ejected
// for it, a request that is not idempotent is not sent again, and later ones use fresher
// connections.
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
		t.Errorf("answers %v, %d requests arrived", got, len(e.requests()))
	}
	if p.counters.staleConnections.Value() != 1 || p.counters.ejections.Value() != 0 || p.services["s"].idleLimit(p.now()) > time.Second {
		t.Errorf("stale connections %d, ejections %d", p.counters.staleConnections.Value(), p.counters.ejections.Value())
	}
}

// TestRequestWithoutIDUsesNewConnection: a request without X-Attempt-Id uses no connection that has
// served another, as nothing would tell its response from an excess one.
func TestRequestWithoutIDUsesNewConnection(t *testing.T) {
	e := newStubEndpoint(t, func(int, string) string { return okResponse("x") })
	p, addr := startProxy(t, e)
	ask := func(raw string) {
		if s := statusOf(sendRaw(t, addr, raw, 1)); s != 200 {
			t.Errorf("answered %d", s)
		}
	}
	idle := func() int { return p.services["s"].connPools[p.services["s"].pool.Endpoints()[0]].idleCount() }
	ask(getRequest("/safe/a"))
	if idle() != 1 {
		t.Fatal("the connection was not kept")
	}
	ask(strings.Replace(getRequest("/safe/b"), "X-Attempt-Id: a1\r\n", "", 1))
	if idle() != 2 {
		t.Errorf("%d connections are idle, the request without an id used one", idle())
	}
	ask(getRequest("/safe/c"))
	if idle() != 2 {
		t.Errorf("%d connections are idle after a request with an id", idle())
	}
}

// TestEarlyRejectionIsHonoured: an endpoint that rejects a request before it has read it, and closes
// the connection, is believed although the rest could not be sent.
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
		c.Close() // with bytes unread: a reset
	}()
	_, addr := startProxy(t, &stubEndpoint{listener: ln})
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	body := strings.Repeat("b", maxBufferedRequest)
	_, _ = fmt.Fprintf(c, "POST /once/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a2\r\nX-Deadline: 9000\r\nContent-Length: %d\r\n\r\n%sb", 2*maxBufferedRequest, body)
	<-ended
	_, _ = io.WriteString(c, body[1:])
	if r, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || r.StatusCode != 503 {
		t.Errorf("answered %+v, %v", r, err)
	}
}
