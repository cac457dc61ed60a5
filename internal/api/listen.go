package api

import (
	"errors"
	"fmt"
	"net"
	"time"

	"lichentray/internal/metrics"
)

// retryingListener is a listener that outlives a lack of descriptors, memory or buffers: what
// is open goes on, and who comes waits in the kernel's queue. A server that is handed
// such an error ends, and its process with it.
type retryingListener struct {
	net.Listener
	failures   *metrics.Counter
	retryDelay time.Duration
}

// Listen opens a TCP listener at address (IP:port) whose Accept fails only once it is
// closed.
func Listen(address string, board *metrics.Registry) (net.Listener, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	return retryingListener{ln, board.Counter("accept_failures_total"), 10 * time.Millisecond}, nil
}

// Accept waits for a connection; its only error is net.ErrClosed.
func (p retryingListener) Accept() (net.Conn, error) {
	for {
		c, err := p.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		p.failures.Inc()
		time.Sleep(p.retryDelay)
	}
}
