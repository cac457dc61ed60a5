package transport

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not name.
const tcpUserTimeout = 18

// SetTCPUserTimeout sets how long sent bytes may stay unacknowledged before the kernel breaks a
// TCP connection (TCP_USER_TIMEOUT, RFC 5482). Without it, a peer that has lost its power is
// noticed only after minutes. Connections of other kinds are left as they are, and so is a
// connection whose kernel does not know the option.
func SetTCPUserTimeout(raw net.Conn, timeout time.Duration) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return
	}
	rawConn, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = rawConn.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
}

// tcpCloseWait is the state of a TCP connection whose peer has closed its side (Linux,
// TCP_CLOSE_WAIT).
const tcpCloseWait = 8

// PeerProbe looks whether the peer of one connection has closed it. It is safe for concurrent use,
// and looking allocates nothing.
type PeerProbe struct {
	conn syscall.RawConn
	look func(fd uintptr)

	mu        sync.Mutex
	hasClosed bool
	peeked    [1]byte
}

// NewPeerProbe returns the probe of a connection.
func NewPeerProbe(conn syscall.RawConn) *PeerProbe {
	p := &PeerProbe{conn: conn}
	p.look = p.lookAt
	return p
}

// HasClosed reports whether the peer has closed or reset the connection. It does not wait, and it
// consumes nothing. Where bytes of the peer are still to be read, only a TCP connection shows that
// it was closed behind them. For a connection that this end has closed it returns false.
func (p *PeerProbe) HasClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasClosed = false
	// Control is used because Read fails once a deadline of an earlier use has passed.
	err := p.conn.Control(p.look)
	return err == nil && p.hasClosed
}

// lookAt looks at the connection's descriptor. The caller has the lock.
func (p *PeerProbe) lookAt(fd uintptr) {
	n, _, err := syscall.Recvfrom(int(fd), p.peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
	case err != nil || n == 0:
		p.hasClosed = true
	default:
		// The first byte of TCP_INFO is the state.
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		p.hasClosed = err == nil && info&0xff == tcpCloseWait
	}
}

// IsIdle reports whether a connection is open and has nothing to read: neither its end nor bytes
// that belong to no request. It does not wait, and it consumes nothing.
func IsIdle(c syscall.RawConn) bool {
	hasNothingToRead := false
	// Control is used because Read fails once a deadline of an earlier use has passed.
	err := c.Control(func(fd uintptr) {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasNothingToRead = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && hasNothingToRead
}
