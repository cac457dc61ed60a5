package proxy

import (
	"errors"
	"io"

	"lichentray/internal/api"
	"lichentray/internal/apierror"
)

const (
	// maxBufferedRequestBytes is the size of the longest request body that is buffered before the
	// request is forwarded, so that it can be sent again on a retry.
	maxBufferedRequestBytes = 256 << 10
	// unlimitedBodyBytes is the limit of the body if the configuration sets none.
	unlimitedBodyBytes = 1 << 40
)

// readBody buffers the body, or its start if it is too long to buffer. maxBytes limits the body
// unless it is 0 or negative.
func (q *request) readBody(maxBytes float64) error {
	q.streamSize = q.ctx.Request.Header.ContentLength()
	if maxBytes > 0 && float64(q.streamSize) > maxBytes {
		return apierror.New(apierror.BodyTooLarge, "%d bytes", q.streamSize)
	}
	if q.ctx.Request.IsBodyStream() {
		return q.bufferBodyStream(maxBytes)
	}
	q.body = q.ctx.Request.Body()
	if maxBytes > 0 && float64(len(q.body)) > maxBytes {
		return apierror.New(apierror.BodyTooLarge, "%d bytes", len(q.body))
	}
	return nil
}

// bufferBodyStream reads the start of a body that the client is still sending. It sets body if the
// body fits into the buffer, and bodyStream otherwise.
func (q *request) bufferBodyStream(maxBytes float64) error {
	if maxBytes <= 0 {
		maxBytes = unlimitedBodyBytes
	}
	conn := api.GuardedConn(q.ctx)
	stream := &limitedBody{reader: q.ctx.RequestBodyStream(), remaining: int64(maxBytes)}
	start, reserved, err := api.ReadAtMost(conn, stream, q.streamSize, maxBufferedRequestBytes+1)
	if errors.Is(err, errBodyTooLarge) {
		return apierror.New(apierror.BodyTooLarge, "over %d bytes", int64(maxBytes))
	}
	if err != nil {
		return api.BodyError(conn, err)
	}
	// If the client disconnects, the server library ends a body with a Content-Length as if it were
	// complete.
	if q.streamSize >= 0 && len(start) < min(q.streamSize, maxBufferedRequestBytes+1) {
		return apierror.New(apierror.BadRequest, "%d bytes of a body of %d", len(start), q.streamSize)
	}
	if !conn.BeginProcessing() {
		return apierror.New(apierror.Unavailable, "too much memory is held for clients")
	}
	if len(start) <= maxBufferedRequestBytes {
		q.body = start
		q.streamSize = len(start)
		return nil
	}
	q.bodyStream = io.MultiReader(&reservedReader{conn: conn, reserved: reserved, rest: start}, stream)
	return nil
}

// reservedReader reads bytes that are reserved at a connection, and releases them when all of them
// have been read.
type reservedReader struct {
	conn     *api.Conn
	reserved int // bytes
	rest     []byte
}

// Read implements io.Reader.
func (r *reservedReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		r.rest = nil
		r.conn.Release(r.reserved)
		r.reserved = 0
		return 0, io.EOF
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// errBodyTooLarge means that a body exceeds the limit of the configuration.
var errBodyTooLarge = errors.New("proxy: body is too large")

// limitedBody reads a body and returns errBodyTooLarge if it exceeds the limit.
type limitedBody struct {
	reader    io.Reader
	remaining int64 // bytes
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}
