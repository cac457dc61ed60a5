package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestLongResponsesAreStreamed: a long response is relayed while it arrives. Where the endpoint ends
// it early, the client receives a part that does not look complete, and the endpoint is ejected.
// Where the client closes the connection, the endpoint is not ejected.
func TestLongResponsesAreStreamed(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 40<<10)
	whole := okResponse(body)
	var chunked atomic.Bool
	e := newStubEndpoint(t, func(n int, _ string) string {
		if chunked.Load() {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		}
		if n == 2 {
			return whole[:len(whole)/2] + "BREAK"
		}
		return whole
	})
	p, addr := startProxy(t, e)
	ejected := func() bool {
		s := p.services["s"]
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.pool.Endpoints()[0].IsEjected(p.now())
	}
	ask := func(most int) (n int, err error) {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, getRequest("/safe/a")); err != nil {
			t.Fatal(err)
		}
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(io.LimitReader(r.Body, int64(most)))
		if !strings.HasPrefix(body, string(got)) {
			t.Error("the answer was changed")
		}
		return len(got), err
	}
	if n, err := ask(len(body)); n != len(body) || err != nil {
		t.Errorf("whole: %d bytes, %v", n, err)
	}
	if n, err := ask(len(body)); n >= len(body) || err == nil {
		t.Errorf("broken off: %d bytes, %v", n, err)
	}
	for end := time.Now().Add(10 * time.Second); !ejected(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("an endpoint that broke an answer off was not kept out")
		}
	}
	for ejected() { // until its time is up
		time.Sleep(time.Millisecond)
	}
	chunked.Store(true)
	if n, err := ask(len(body)); n != len(body) || err != nil {
		t.Errorf("in chunks: %d bytes, %v", n, err)
	}
	chunked.Store(false)
	if n, err := ask(1000); n != 1000 || err != nil {
		t.Errorf("left: %d bytes, %v", n, err)
	}
	if n, err := ask(len(body)); n != len(body) || err != nil || ejected() {
		t.Errorf("after a client has left: %d bytes, %v, ejected %v", n, err, ejected())
	}
}
