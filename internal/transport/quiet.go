package transport

import (
	"errors"
	"syscall"
)

// IsIdle tells that nothing has come on an idle connection: neither its end nor bytes
// that nobody asked for.
func IsIdle(c syscall.RawConn) bool {
	quiet := false
	// Control, as Read would fail once a deadline of the last use has passed.
	err := c.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}
