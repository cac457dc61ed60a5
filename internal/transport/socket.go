package transport

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 18

// SetTCPUserTimeout sets how long sent data may stay unacknowledged before the kernel closes a
// TCP connection (TCP_USER_TIMEOUT, RFC 5482). Without it, the power loss of a peer is detected
// only after minutes. It has no effect on other connections, or if the kernel does not support the
// option.
func SetTCPUserTimeout(raw net.Conn, timeout time.Duration) {
	socket, ok := raw.(syscall.Conn)
	if !ok {
		return
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = rawConn.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
}

// tcpCloseWait is the Linux constant TCP_CLOSE_WAIT, the state of a TCP connection whose peer has
// closed its side.
const tcpCloseWait = 8

// PeerProbe checks whether the peer of a connection has closed it. It is safe for concurrent use,
// and a check does not allocate.
type PeerProbe struct {
	conn    syscall.RawConn
	inspect func(fd uintptr)

	mu        sync.Mutex
	hasClosed bool
	peeked    [1]byte
}

// NewPeerProbe returns a probe for conn.
func NewPeerProbe(conn syscall.RawConn) *PeerProbe {
	p := &PeerProbe{conn: conn}
	p.inspect = p.inspectDescriptor
	return p
}

// HasClosed reports whether the peer has closed or reset the connection. It does not block and
// consumes no data. While unread data is pending, it detects the close only on TCP connections. It
// returns false if the local end has closed the connection.
func (p *PeerProbe) HasClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasClosed = false
	// Control is used because Read fails once a previously set deadline has passed.
	err := p.conn.Control(p.inspect)
	return err == nil && p.hasClosed
}

// inspectDescriptor checks the descriptor and sets hasClosed. The caller must hold mu.
func (p *PeerProbe) inspectDescriptor(fd uintptr) {
	n, _, err := syscall.Recvfrom(int(fd), p.peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
	case err != nil || n == 0:
		p.hasClosed = true
	default:
		// The first byte of struct tcp_info is the connection state.
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		p.hasClosed = err == nil && info&0xff == tcpCloseWait
	}
}

// IsIdle reports whether a connection is open and has nothing to read: neither the end of the
// stream nor unexpected data. It does not block and consumes no data.
func IsIdle(c syscall.RawConn) bool {
	hasNothingToRead := false
	// Control is used because Read fails once a previously set deadline has passed.
	err := c.Control(func(fd uintptr) {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasNothingToRead = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && hasNothingToRead
}
