package api

import (
	"errors"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"lichentray/internal/apierror"
)

// unreservedBodyBytes is the size up to which a body counts as part of the memory of an idle
// connection. The server library reads as much of a body before it calls the handler.
const unreservedBodyBytes = 8 << 10

// ReadAtMost reads from body until its end, or until it has read maxBytes bytes. length is the
// length of the body if it is known, and negative otherwise. The bytes are reserved at conn, as they
// arrive and not as length promises, and remain so until the request ends or the caller releases
// them. The number of reserved bytes is returned.
//
// Errors are those of body, or of the reservation.
func ReadAtMost(conn *Conn, body io.Reader, length, maxBytes int) (text []byte, reserved int, err error) {
	if length >= 0 {
		maxBytes = min(length, maxBytes)
	}
	text = make([]byte, 0, min(maxBytes, unreservedBodyBytes))
	for len(text) < maxBytes {
		if len(text) == cap(text) {
			if text, reserved, err = growReserved(conn, text, reserved, maxBytes); err != nil {
				return nil, reserved, err
			}
		}
		n, err := body.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if errors.Is(err, io.EOF) {
			return text, reserved, nil
		}
		if err != nil {
			return nil, reserved, err
		}
	}
	return text, reserved, nil
}

// growReserved doubles the capacity of a buffer, to at most maxBytes. While the buffer is copied,
// both the old and the new one are reserved.
func growReserved(conn *Conn, text []byte, reserved, maxBytes int) ([]byte, int, error) {
	size := min(2*cap(text), maxBytes)
	if err := conn.Reserve(size); err != nil {
		return nil, reserved, err
	}
	grown := append(make([]byte, 0, size), text...)
	conn.Release(reserved)
	return grown, size, nil
}

// bufferBody reads the body of a request, of at most maxBytes bytes, in place of the stream that the
// server has set. Errors have a kind, see apierror.KindOf; the connection must then be closed.
func bufferBody(ctx *fasthttp.RequestCtx, maxBytes int) error {
	_, err := BufferStart(ctx, maxBytes, maxBytes)
	return err
}

// BufferStart reads the body of a request, of at most maxBytes bytes, in place of the stream that the
// server has set. If it is longer than bufferedBytes, isLong is set, the body is discarded and the
// request has none. Errors have a kind, see apierror.KindOf; the connection must then be closed.
func BufferStart(ctx *fasthttp.RequestCtx, bufferedBytes, maxBytes int) (isLong bool, err error) {
	if !ctx.Request.IsBodyStream() {
		return false, nil
	}
	length := ctx.Request.Header.ContentLength()
	if length > maxBytes {
		return true, apierror.New(apierror.BodyTooLarge, "%d bytes of at most %d", length, maxBytes)
	}
	conn, stream := GuardedConn(ctx), ctx.RequestBodyStream()
	text, _, err := ReadAtMost(conn, stream, length, bufferedBytes+1)
	if err != nil {
		return false, BodyError(conn, err)
	}
	size := len(text)
	if isLong = size > bufferedBytes; isLong {
		text = nil
		discarded, err := io.Copy(io.Discard, io.LimitReader(stream, int64(maxBytes-size+1)))
		if err != nil {
			return true, BodyError(conn, err)
		}
		size += int(discarded)
	}
	switch {
	case size > maxBytes:
		return isLong, apierror.New(apierror.BodyTooLarge, "over %d bytes", maxBytes)
	case length >= 0 && size < length:
		// If the client disconnects, the server library ends a body with a Content-Length as if it
		// were complete.
		return isLong, apierror.New(apierror.BadRequest, "%d bytes of a body of %d", size, length)
	case !conn.BeginProcessing():
		return isLong, BodyError(conn, errReservationRejected)
	}
	ctx.Request.SetBodyRaw(text)
	return isLong, nil
}

// BodyError converts an error of reading a body on conn to the error for the client.
func BodyError(conn *Conn, err error) error {
	var netErr net.Error
	switch {
	case errors.Is(err, errReservationRejected) || conn.IsEvicted():
		return apierror.New(apierror.Unavailable, "too much memory is held for clients")
	case errors.As(err, &netErr) && netErr.Timeout():
		return apierror.New(apierror.HeaderTimeout, "body")
	default:
		return apierror.New(apierror.BadRequest, "body")
	}
}
