package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"lichentray/internal/api"
)

const (
	// maxResponseHeaderBytes is the maximum size of a response's head, and of its trailers.
	maxResponseHeaderBytes = 64 << 10
	// minStatusLineLength is the length of the shortest status line, "HTTP/1.1 200".
	minStatusLineLength = len("HTTP/1.1 200")
)

// errInvalidResponse means that an endpoint sent something other than a valid HTTP/1 response to
// the request.
var errInvalidResponse = errors.New("proxy: invalid response")

// header is one header line of a response.
type header struct{ name, value []byte }

// response is an endpoint's final response.
type response struct {
	status  int
	headers []header
	// body is complete, unless stream is set.
	body []byte
	// stream, if not nil, is the whole body, which is still to be read.
	stream io.Reader
	// contentLength is the value of Content-Length; -1 if there is none.
	contentLength int64
	// isReusable is true if the connection can be reused after this response.
	isReusable bool
	// keepAlive is the timeout that the Keep-Alive header sets for an idle connection; 0 if none.
	keepAlive time.Duration
}

// headerValue returns the value of the first header with the given name, or nil if there is none.
func (r *response) headerValue(name string) []byte {
	for _, h := range r.headers {
		if equalFold(h.name, name) {
			return h.value
		}
	}
	return nil
}

// belongsTo reports whether the response is to the request with the given attempt id, and not an
// excess response to another request. On a reused connection, the response must contain an id.
func (r *response) belongsTo(attemptID []byte, isConnReused bool) bool {
	hasID := false
	for _, h := range r.headers {
		if !equalFold(h.name, "X-Attempt-Id") {
			continue
		}
		if len(attemptID) > 0 && !bytes.Equal(h.value, attemptID) {
			return false
		}
		hasID = true
	}
	return hasID || !isConnReused
}

// isUnprocessed reports whether the response states that the endpoint has not processed the
// request.
func (r *response) isUnprocessed() bool {
	return r.headerValue("X-Not-Executed") != nil || r.status == statusMisdirected
}

// isUnsignedSuccess reports whether the response is a success without the signature that shows
// that it comes from the service.
func (r *response) isUnsignedSuccess() bool {
	return r.status < 300 && r.headerValue("X-Server-Signature") == nil
}

// responseState is the part of a response that a responseReader reads next.
type responseState uint8

const (
	// readingStatusLine reads the first line of a final or interim (1xx) response.
	readingStatusLine responseState = iota
	// readingHeaders reads the header lines up to the empty one.
	readingHeaders
	// choosingFraming reads nothing; it determines the framing of the body from the headers.
	choosingFraming
	// readingFixedBody reads a body whose length is that of Content-Length.
	readingFixedBody
	// readingChunkedBody reads a chunked body and its trailers.
	readingChunkedBody
	// responseComplete is the final state.
	responseComplete
)

// String returns the name of the state.
func (s responseState) String() string {
	names := [...]string{"status line", "headers", "framing", "fixed body", "chunked body", "complete"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("responseState(%d)", uint8(s))
}

// responseReader reads one final response and the interim responses before it (RFC 9112). It
// rejects any response that two parsers could frame differently.
type responseReader struct {
	in       *bufio.Reader
	response *response
	state    responseState
	// isHead is true for a response to a HEAD request, which has no body.
	isHead bool
	// maxBufferedBytes is the maximum Content-Length of a body that is read.
	maxBufferedBytes int
	// client is the connection at which the memory for a body is reserved; nil to reserve none.
	client *api.Conn
	// headerBytesLeft is the number of bytes by which the current head may still grow.
	headerBytesLeft int
	isChunked       bool
}

// readResponse reads a response's head, and its body if that is chunked or not longer than
// maxBufferedBytes bytes. A longer body is left to be read from the response's stream. It
// reserves the memory for a body at the client's connection, unless that is nil.
//
// If it returns both a response and an error, the response's head is complete. The error is
// errInvalidResponse or an error of the connection.
func readResponse(in *bufio.Reader, isHead bool, maxBufferedBytes int, client *api.Conn) (*response, error) {
	r := responseReader{
		in:               in,
		response:         &response{contentLength: -1},
		isHead:           isHead,
		maxBufferedBytes: maxBufferedBytes,
		client:           client,
	}
	for r.state != responseComplete {
		state := r.state
		if err := r.step(); err != nil {
			if state == readingFixedBody || state == readingChunkedBody {
				return r.response, err
			}
			return nil, err
		}
	}
	return r.response, nil
}

// step performs the current state and sets the next one.
func (r *responseReader) step() (err error) {
	switch r.state {
	case readingStatusLine:
		err = r.readStatusLine()
	case readingHeaders:
		err = r.readHeaders()
	case choosingFraming:
		err = r.chooseFraming()
	case readingFixedBody:
		if r.response.contentLength > unreservedResponseBytes {
			r.client.ReserveResponse(int(r.response.contentLength))
		}
		r.response.body = make([]byte, r.response.contentLength)
		_, err = io.ReadFull(r.in, r.response.body)
		r.state = responseComplete
	case readingChunkedBody:
		r.response.body, err = readChunkedBody(r.in, maxChunkedBodyBytes, r.client)
		r.state = responseComplete
	}
	return err
}

// readStatusLine reads the status line and discards the headers of a preceding interim response.
func (r *responseReader) readStatusLine() error {
	r.headerBytesLeft = maxResponseHeaderBytes
	line, err := readLine(r.in, &r.headerBytesLeft)
	if err != nil {
		return err
	}
	status, minor, ok := parseStatusLine(line)
	if !ok {
		return fmt.Errorf("%w: status line", errInvalidResponse)
	}
	r.response.status = status
	r.response.headers = r.response.headers[:0]
	r.response.isReusable = minor == '1'
	r.isChunked = false
	r.state = readingHeaders
	return nil
}

// parseStatusLine parses the status and the HTTP minor version from a status line such as
// "HTTP/1.1 200 OK".
func parseStatusLine(line []byte) (status int, minor byte, ok bool) {
	const (
		minorAt  = len("HTTP/1.")
		statusAt = len("HTTP/1.1 ")
	)
	if len(line) < minStatusLineLength || string(line[:minorAt]) != "HTTP/1." || line[statusAt-1] != ' ' {
		return 0, 0, false
	}
	if len(line) > minStatusLineLength && line[minStatusLineLength] != ' ' {
		return 0, 0, false
	}
	minor = line[minorAt]
	status, err := strconv.Atoi(string(line[statusAt:minStatusLineLength]))
	isValid := err == nil && status >= 100 && (minor == '0' || minor == '1')
	return status, minor, isValid
}

// readHeaders reads the header lines up to the empty one.
func (r *responseReader) readHeaders() error {
	for {
		line, err := readLine(r.in, &r.headerBytesLeft)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			r.state = choosingFraming
			return nil
		}
		if err := r.addHeader(line); err != nil {
			return err
		}
	}
}

// addHeader parses and validates one header line, and adds a copy to the response.
func (r *responseReader) addHeader(line []byte) error {
	colon := bytes.IndexByte(line, ':')
	// Some parsers would not recognize a framing header with a space before the colon.
	if colon <= 0 || !isToken(line[:colon]) {
		return fmt.Errorf("%w: header line", errInvalidResponse)
	}
	h := header{
		name:  append([]byte(nil), line[:colon]...),
		value: append([]byte(nil), bytes.Trim(line[colon+1:], " \t")...),
	}
	switch {
	case equalFold(h.name, "content-length"):
		if err := r.setContentLength(h.value); err != nil {
			return err
		}
	case equalFold(h.name, "transfer-encoding"):
		if !equalFold(h.value, "chunked") || r.isChunked {
			return fmt.Errorf("%w: transfer-encoding", errInvalidResponse)
		}
		r.isChunked = true
	case equalFold(h.name, "connection"):
		if containsToken(h.value, "close") {
			r.response.isReusable = false
		}
	case equalFold(h.name, "keep-alive"):
		r.response.keepAlive = parseKeepAlive(h.value)
	}
	r.response.headers = append(r.response.headers, h)
	return nil
}

// setContentLength sets the length from a Content-Length, which may be repeated with the same
// value.
func (r *responseReader) setContentLength(value []byte) error {
	n, err := strconv.ParseInt(string(value), 10, 63)
	earlier := r.response.contentLength
	if err != nil || !isDigits(value) || (earlier >= 0 && earlier != n) {
		return fmt.Errorf("%w: content-length", errInvalidResponse)
	}
	r.response.contentLength = n
	return nil
}

// chooseFraming determines how the body is read (RFC 9112, section 6.3).
func (r *responseReader) chooseFraming() error {
	resp := r.response
	switch {
	case resp.status == 101:
		return fmt.Errorf("%w: switched protocols", errInvalidResponse)
	case resp.status < 200:
		resp.contentLength = -1
		r.state = readingStatusLine
	case r.isChunked && resp.contentLength >= 0:
		return fmt.Errorf("%w: two framings", errInvalidResponse)
	case r.isHead || resp.status == 204 || resp.status == 304:
		r.state = responseComplete
	case r.isChunked:
		r.state = readingChunkedBody
	case resp.contentLength < 0:
		// Without a length, a truncated body cannot be distinguished from a complete one.
		return fmt.Errorf("%w: no length", errInvalidResponse)
	case resp.contentLength > int64(r.maxBufferedBytes):
		resp.stream = io.LimitReader(r.in, resp.contentLength)
		r.state = responseComplete
	default:
		r.state = readingFixedBody
	}
	return nil
}

// parseKeepAlive returns the timeout parameter of a Keep-Alive header, or 0 if it has none.
func parseKeepAlive(value []byte) time.Duration {
	for _, parameter := range bytes.Split(value, []byte{','}) {
		name, number, ok := bytes.Cut(bytes.TrimSpace(parameter), []byte{'='})
		if !ok || !equalFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(string(number)); err == nil && s > 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

// readLine reads one line, returns it without its end, and subtracts its size from bytesLeft, the
// number of bytes permitted. The line is valid until the next read.
func readLine(in *bufio.Reader, bytesLeft *int) ([]byte, error) {
	line, err := in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := append([]byte(nil), line...)
		for errors.Is(err, bufio.ErrBufferFull) && len(long) < *bytesLeft {
			line, err = in.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	if err != nil {
		return nil, err
	}
	if *bytesLeft -= len(line); *bytesLeft < 0 {
		return nil, fmt.Errorf("%w: header too long", errInvalidResponse)
	}
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
	if bytes.ContainsAny(line, "\r\x00") {
		return nil, fmt.Errorf("%w: bare CR or NUL", errInvalidResponse)
	}
	return line, nil
}
