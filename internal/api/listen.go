package api

import (
	"errors"
	"fmt"
	"net"
	"time"

	"lichentray/internal/metrics"
)

// acceptRetryDelay is the pause after a failed Accept.
const acceptRetryDelay = 10 * time.Millisecond

// retryingListener is a listener that outlives a shortage of descriptors, memory or buffers: open
// connections go on, and new ones wait in the kernel's queue. Without it, the server would end
// with the first such error of Accept, and its process with it.
type retryingListener struct {
	net.Listener
	failures   *metrics.Counter
	retryDelay time.Duration
}

// Listen opens a TCP listener at address (IP:port) whose Accept fails only once it is closed.
// Other failures of Accept are counted as accept_failures_total in registry.
func Listen(address string, registry *metrics.Registry) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	return retryingListener{
		Listener:   listener,
		failures:   registry.Counter("accept_failures_total"),
		retryDelay: acceptRetryDelay,
	}, nil
}

// Accept waits for a connection. Its only error is net.ErrClosed.
func (l retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.failures.Inc()
		time.Sleep(l.retryDelay)
	}
}
