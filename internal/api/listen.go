package api

import (
	"errors"
	"fmt"
	"net"
	"time"

	"lichentray/internal/metrics"
)

// acceptRetryDelay is the delay between a failed Accept and the next attempt.
const acceptRetryDelay = 10 * time.Millisecond

// retryingListener is a listener that tolerates a temporary shortage of file descriptors, memory or
// socket buffers: open connections are not affected, and new ones wait in the kernel's accept
// queue. Without it, the first such error of Accept would stop the server, and the process with it.
type retryingListener struct {
	net.Listener
	failures   *metrics.Counter
	retryDelay time.Duration
}

// Listen opens a TCP listener on address (IP:port) whose Accept returns an error only after the
// listener was closed. Other failures of Accept are retried and counted in the metric
// accept_failures_total of registry.
func Listen(address string, registry *metrics.Registry) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return retryingListener{
		Listener:   listener,
		failures:   registry.Counter("accept_failures_total"),
		retryDelay: acceptRetryDelay,
	}, nil
}

// Accept waits for the next connection. The only error that it returns is net.ErrClosed.
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
