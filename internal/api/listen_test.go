package api

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"lichentray/internal/metrics"
)

// failingListener is a listener whose Accept fails with EMFILE three times before each connection.
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

// TestServerSurvivesDescriptorShortage checks that a temporary shortage of file descriptors does
// not stop a server, and that closing the listener does.
func TestServerSurvivesDescriptorShortage(t *testing.T) {
	registry := metrics.NewRegistry()
	listener, err := Listen("127.0.0.1:0", registry)
	if err != nil {
		t.Fatal(err)
	}
	retrying := listener.(retryingListener)
	retrying.Listener = &failingListener{Listener: retrying.Listener}
	retrying.retryDelay = 0
	serveErr := make(chan error, 1)
	go func() { serveErr <- NewServer(NewHandler(&fakeNode{}, registry, 0).Serve, 1<<20).Serve(retrying) }()
	for range 3 {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		response := make([]byte, 12)
		if _, err = conn.Write([]byte("GET /api/readiness HTTP/1.1\r\nHost: h\r\n\r\n")); err == nil {
			_, err = conn.Read(response)
		}
		if err != nil || string(response) != "HTTP/1.1 200" {
			t.Errorf("response = %q, error %v, want status 200", response, err)
		}
		conn.Close()
	}
	if n := registry.Counter("accept_failures_total").Value(); n < 9 {
		t.Errorf("accept_failures_total = %d, want at least 9", n)
	}
	retrying.Close()
	if err := <-serveErr; err != nil && !errors.Is(err, net.ErrClosed) {
		t.Errorf("Serve() = %v, want nil or net.ErrClosed", err)
	}
}
