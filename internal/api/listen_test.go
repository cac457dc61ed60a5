package api

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"lichentray/internal/metrics"
)

// failingListener is a listener that lacks descriptors a few times before each connection.
type failingListener struct {
	net.Listener
	attempts atomic.Int64
}

func (s *failingListener) Accept() (net.Conn, error) {
	if s.attempts.Add(1)%4 != 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return s.Listener.Accept()
}

// TestOutOfDescriptors: a server goes on when its process lacks descriptors for a
// while, and ends when its listener is closed.
func TestServerSurvivesDescriptorShortage(t *testing.T) {
	board := metrics.NewRegistry()
	ln, err := Listen("127.0.0.1:0", board)
	if err != nil {
		t.Fatal(err)
	}
	p := ln.(retryingListener)
	p.Listener, p.retryDelay = &failingListener{Listener: p.Listener}, 0
	ended := make(chan error, 1)
	go func() { ended <- NewServer(NewHandler(&fakeNode{}, board, 0).Serve, 1<<20).Serve(p) }()
	for range 3 {
		c, err := net.Dial("tcp4", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		answer := make([]byte, 12)
		if _, err = c.Write([]byte("GET /api/readiness HTTP/1.1\r\nHost: h\r\n\r\n")); err == nil {
			_, err = c.Read(answer)
		}
		if err != nil || string(answer) != "HTTP/1.1 200" {
			t.Errorf("got %q, %v", answer, err)
		}
		c.Close()
	}
	if n := board.Counter("accept_failures_total").Value(); n < 9 {
		t.Errorf("%d failures counted", n)
	}
	p.Close()
	if err := <-ended; err != nil && !errors.Is(err, net.ErrClosed) {
		t.Errorf("ended with %v", err)
	}
}
