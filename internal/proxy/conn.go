package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"lichentray/internal/transport"
)

// upstreamBufferSize is the size in bytes of the read buffer of a connection.
const upstreamBufferSize = 4096

// upstreamConn is one connection to an endpoint. One goroutine at a time uses it: that
// of the attempt that took it from its pool.
type upstreamConn struct {
	tcp     *net.TCPConn
	rawConn syscall.RawConn
	reader  *bufio.Reader
	// expiresAt is when the connection is too old to be used again, while it is idle.
	expiresAt time.Time
	// idleSince is when the connection became idle; of a new one, when it was established.
	idleSince time.Time
	// idleFor is how long the connection was idle before its present use; 0 if it is new.
	idleFor time.Duration
}

// dialUpstream connects to an endpoint. The connection fails when bytes sent on it are not
// acknowledged within userTimeout (TCP_USER_TIMEOUT).
func dialUpstream(addr string, timeout, userTimeout time.Duration) (*upstreamConn, error) {
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     time.Second,
			Interval: time.Second,
			Count:    2,
		},
	}
	conn, err := dialer.Dial("tcp4", addr)
	if err != nil {
		return nil, err
	}
	tcp := conn.(*net.TCPConn)
	transport.SetTCPUserTimeout(tcp, userTimeout)
	rawConn, err := tcp.SyscallConn()
	if err != nil {
		tcp.Close()
		return nil, err
	}
	return &upstreamConn{
		tcp:     tcp,
		rawConn: rawConn,
		reader:  bufio.NewReaderSize(tcp, upstreamBufferSize),
	}, nil
}

// isReused reports whether the connection has served another request.
func (c *upstreamConn) isReused() bool { return c.idleFor > 0 }

// isQuiet reports whether an idle connection can be used: the endpoint has neither sent
// bytes on it nor closed it.
func (c *upstreamConn) isQuiet() bool {
	return c.reader.Buffered() == 0 && transport.IsIdle(c.rawConn)
}

// close closes the connection.
func (c *upstreamConn) close() { c.tcp.Close() }

// isConnectionClosed reports whether an error means that the peer closed or reset the
// connection, in contrast to a time-out.
func isConnectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// writerOnly hides all methods but Write, so that io.Copy writes piece by piece.
type writerOnly struct{ io.Writer }

// errClientAborted means that the client, not the endpoint, ended a request early.
var errClientAborted = errors.New("proxy: client aborted its request")

// clientBody reads the client's side of a body and marks its errors.
type clientBody struct{ reader io.Reader }

// Read implements io.Reader.
func (b clientBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = fmt.Errorf("%w: %w", errClientAborted, err)
	}
	return n, err
}

// sendBodyStream sends a body as it arrives from the client: size bytes of it, or, if
// size is less than 0, all of it in chunks.
func (c *upstreamConn) sendBodyStream(body io.Reader, size int) error {
	if size < 0 {
		return c.sendChunked(clientBody{body})
	}
	n, err := io.Copy(writerOnly{c.tcp}, io.LimitReader(clientBody{body}, int64(size)))
	if err == nil && n != int64(size) {
		err = fmt.Errorf("%w: %w", errClientAborted, io.ErrUnexpectedEOF)
	}
	return err
}

// sendChunked sends a body in chunks (RFC 9112, section 7.1).
func (c *upstreamConn) sendChunked(body io.Reader) error {
	buf := make([]byte, maxChunkSent)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, err := fmt.Fprintf(c.tcp, "%x\r\n%s\r\n", n, buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = io.WriteString(c.tcp, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// maxChunkSent is the size in bytes of the longest chunk that is sent to an endpoint.
const maxChunkSent = 32 << 10
