package api

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"lichentray/internal/metrics"
)

// failingListener is a listener that is short of descriptors three times before each connection.
type failingListener struct {
	net.Listener
	attempts atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.attempts.Add(1)%4 != 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServerSurvivesDescriptorShortage checks that a server goes on after its process was short of
// descriptors for a while, and that it ends when its listener is closed.
func TestServerSurvivesDescriptorShortage(t *testing.T) {
	registry := metrics.NewRegistry()
	listener, err := Listen("127.0.0.1:0", registry)
	if err != nil {
		t.Fatal(err)
	}
	retrying := listener.(retryingListener)
	retrying.Listener = &failingListener{Listener: retrying.Listener}
	retrying.retryDelay = 0
	ended := make(chan error, 1)
	go func() { ended <- NewServer(NewHandler(&fakeNode{}, registry, 0).Serve, 1<<20).Serve(retrying) }()
	for range 3 {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		answer := make([]byte, 12)
		if _, err = conn.Write([]byte("GET /api/readiness HTTP/1.1\r\nHost: h\r\n\r\n")); err == nil {
			_, err = conn.Read(answer)
		}
		if err != nil || string(answer) != "HTTP/1.1 200" {
			t.Errorf("got %q, %v", answer, err)
		}
		conn.Close()
	}
	if n := registry.Counter("accept_failures_total").Value(); n < 9 {
		t.Errorf("%d failures counted", n)
	}
	retrying.Close()
	if err := <-ended; err != nil && !errors.Is(err, net.ErrClosed) {
		t.Errorf("ended with %v", err)
	}
}
