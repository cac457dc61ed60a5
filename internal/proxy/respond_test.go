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

// TestLongResponsesAreStreamed checks that a long response is relayed unchanged. If the endpoint
// truncates it, the client must be able to detect that, and the endpoint is ejected. If the client
// closes the connection, the endpoint is not ejected.
func TestLongResponsesAreStreamed(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 40<<10)
	response := okResponse(body)
	var chunked atomic.Bool
	e := newStubEndpoint(t, func(n int, _ string) string {
		if chunked.Load() {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		}
		if n == 2 {
			return response[:len(response)/2] + "BREAK"
		}
		return response
	})
	p, addr := startProxy(t, e)
	ejected := func() bool {
		s := p.services["s"]
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.pool.Endpoints()[0].IsEjected(p.now())
	}
	fetch := func(maxBytes int) (n int, err error) {
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
		got, err := io.ReadAll(io.LimitReader(r.Body, int64(maxBytes)))
		if !strings.HasPrefix(body, string(got)) {
			t.Error("the relayed body differs from the endpoint's")
		}
		return len(got), err
	}
	if n, err := fetch(len(body)); n != len(body) || err != nil {
		t.Errorf("complete response: fetched %d bytes, error %v", n, err)
	}
	if n, err := fetch(len(body)); n >= len(body) || err == nil {
		t.Errorf("truncated response: fetched %d bytes, error %v; want a part and an error", n, err)
	}
	for end := time.Now().Add(10 * time.Second); !ejected(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the endpoint was not ejected after it truncated a response")
		}
	}
	for ejected() { // until the ejection expires
		time.Sleep(time.Millisecond)
	}
	chunked.Store(true)
	if n, err := fetch(len(body)); n != len(body) || err != nil {
		t.Errorf("chunked response: fetched %d bytes, error %v", n, err)
	}
	chunked.Store(false)
	if n, err := fetch(1000); n != 1000 || err != nil {
		t.Errorf("client that disconnects: fetched %d bytes, error %v", n, err)
	}
	if n, err := fetch(len(body)); n != len(body) || err != nil || ejected() {
		t.Errorf("after a client disconnected: fetched %d bytes, error %v, ejected = %v", n, err, ejected())
	}
}
