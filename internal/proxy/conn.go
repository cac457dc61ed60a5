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

// upstreamReadBufferBytes is the size of a connection's read buffer.
const upstreamReadBufferBytes = 4096

// upstreamConn is a connection to an endpoint. It is used by one goroutine at a time: that of
// the attempt that took it from the pool.
type upstreamConn struct {
	tcp     *net.TCPConn
	rawConn syscall.RawConn
	reader  *bufio.Reader
	// expiresAt is when an idle connection becomes too old to be reused.
	expiresAt time.Time
	// idleSince is when the connection became idle, or was established if it is new.
	idleSince time.Time
	// idleFor is how long the connection was idle before its current use; 0 if it is new.
	idleFor time.Duration
}

// dialUpstream connects to an endpoint. The connection fails if sent bytes are not acknowledged
// within userTimeout (TCP_USER_TIMEOUT).
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
		reader:  bufio.NewReaderSize(tcp, upstreamReadBufferBytes),
	}, nil
}

// isReused reports whether the connection has served an earlier request.
func (c *upstreamConn) isReused() bool { return c.idleFor > 0 }

// isReusable reports whether an idle connection can be reused: the endpoint has neither closed
// it nor sent unexpected bytes on it.
func (c *upstreamConn) isReusable() bool {
	return c.reader.Buffered() == 0 && transport.IsIdle(c.rawConn)
}

// close closes the connection.
func (c *upstreamConn) close() { c.tcp.Close() }

// isConnectionClosed reports whether err means that the peer closed or reset the connection, as
// opposed to a timeout.
func isConnectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// writerOnly hides all methods but Write, so that io.Copy copies through a buffer instead of
// calling ReadFrom.
type writerOnly struct{ io.Writer }

// errClientAborted means that the client, not the endpoint, aborted the request.
var errClientAborted = errors.New("proxy: client aborted its request")

// clientBody reads a request body from the client and wraps errors with errClientAborted.
type clientBody struct{ reader io.Reader }

// Read implements io.Reader.
func (b clientBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = fmt.Errorf("%w: %w", errClientAborted, err)
	}
	return n, err
}

// sendBodyStream sends a body as it arrives from the client: exactly size bytes, or all of it
// with chunked transfer encoding if size is negative.
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

// sendChunked sends a body with chunked transfer encoding (RFC 9112, section 7.1).
func (c *upstreamConn) sendChunked(body io.Reader) error {
	buf := make([]byte, maxSentChunkBytes)
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

// maxSentChunkBytes is the size of the longest chunk that is sent to an endpoint.
const maxSentChunkBytes = 32 << 10
