package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestShutdownCompletesReadRequests checks that a node that shuts down is not ready immediately,
// answers the requests that it has read, closes idle connections and then returns.
func TestShutdownCompletesReadRequests(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	e := newStubEndpoint(t, func(int, string) string {
		close(started)
		<-finish
		return okResponse("whole")
	})
	p, f := startFrontend(t, e)
	addr := f.listener.Addr().String()
	idle, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	answered := make(chan []*http.Response, 1)
	go func() {
		answered <- sendRaw(t, addr, strings.Replace(postRequest("/once/a"), "Connection: close\r\n", "", 1), 1)
	}()
	<-started
	stopped := make(chan struct{})
	go func() {
		f.Shutdown(4 * time.Second)
		close(stopped)
	}()
	<-f.done // the listener is closed, and the request is still in progress
	if p.Ready() {
		t.Error("node is ready during shutdown")
	}
	select {
	case <-stopped:
		t.Fatal("Shutdown returned with a request in flight")
	default:
	}
	close(finish)
	rs := <-answered
	if statusOf(rs) != 200 || !rs[0].Close {
		t.Errorf("status %d, connection kept open %v; want 200, false", statusOf(rs), len(rs) == 1 && !rs[0].Close)
	}
	<-stopped
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("idle connection received bytes")
	}
}

// TestResponseIsNotHeldByPipelinedRequest guards against delaying a complete response until a slow
// pipelined request behind it on the same connection has been answered.
func TestResponseIsNotHeldByPipelinedRequest(t *testing.T) {
	next := make(chan struct{})
	e := newStubEndpoint(t, func(int, string) string {
		<-next
		return okResponse("x")
	})
	_, addr := startProxy(t, e)
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(c, "GET /none HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a0\r\n\r\n"+getRequest("/safe/a")); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	r, err := http.ReadResponse(br, nil)
	close(next)
	if err != nil || r.StatusCode != 404 {
		t.Fatalf("first response was not received before the second request completed: %v", err)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if r, err := http.ReadResponse(br, nil); err != nil || r.StatusCode != 200 {
		t.Errorf("second response: %v, want status 200", err)
	}
}
