package transport

import (
	"errors"
	"net"
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
