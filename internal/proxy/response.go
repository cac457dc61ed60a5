package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

const (
	// maxResponseHeader bounds the head of a response in bytes, and its trailers.
	maxResponseHeader = 64 << 10
	// maxChunkedBody bounds a chunked body in bytes, which is buffered completely.
	maxChunkedBody = 1 << 20
	// maxChunkLine bounds the lines around one chunk in bytes.
	maxChunkLine = 1024
	// statusLineLength is the length of the shortest status line, "HTTP/1.1 200".
	statusLineLength = len("HTTP/1.1 200")
)

// errInvalidResponse means that what an endpoint sent is not a complete HTTP/1 response.
var errInvalidResponse = errors.New("proxy: not a complete HTTP response")

// header is one header line of a response.
type header struct{ name, value []byte }

// response is a final response of an endpoint.
type response struct {
	status  int
	headers []header
	// body is complete, unless stream is set.
	body []byte
	// stream, if not nil, is the body, of which nothing has been read.
	stream io.Reader
	// contentLength is the length that the headers state; -1 if they state none.
	contentLength int64
	// isReusable: the connection may carry another request behind this response.
	isReusable bool
	// keepAlive is how long the endpoint keeps an idle connection; 0 if it does not say.
	keepAlive time.Duration
}

// headerValue returns the value of the first header of a name; nil if there is none.
func (r *response) headerValue(name string) []byte {
	for _, h := range r.headers {
		if equalFold(h.name, name) {
			return h.value
		}
	}
	return nil
}

// belongsTo reports whether a response is to the request of an attempt id, and not an
// excess one to another request. On a connection that has served another request the
// response must name the id.
func (r *response) belongsTo(attemptID []byte, hasServedOther bool) bool {
	isNamed := false
	for _, h := range r.headers {
		if !equalFold(h.name, "X-Attempt-Id") {
			continue
		}
		if len(attemptID) > 0 && !bytes.Equal(h.value, attemptID) {
			return false
		}
		isNamed = true
	}
	return isNamed || !hasServedOther
}

// statesUnprocessed reports whether the endpoint states that it has not processed the
// request.
func (r *response) statesUnprocessed() bool {
	return r.headerValue("X-Not-Executed") != nil || r.status == statusMisdirected
}

// isUnsignedSuccess reports whether a success lacks the signature that proves that it
// comes from the service.
func (r *response) isUnsignedSuccess() bool {
	return r.status < 300 && r.headerValue("X-Server-Signature") == nil
}

// responseState is what a responseReader reads next.
type responseState uint8

const (
	// readingStatusLine: the first line of a response, final or interim (1xx).
	readingStatusLine responseState = iota
	// readingHeaders: the header lines up to the empty one.
	readingHeaders
	// choosingFraming: nothing is read; the headers say how the body is framed.
	choosingFraming
	// readingFixedBody: a body of the length that the headers state.
	readingFixedBody
	// readingChunkedBody: a body in chunks, and its trailers.
	readingChunkedBody
	// responseComplete: nothing more is read.
	responseComplete
)

// String names the state.
func (s responseState) String() string {
	names := [...]string{"status line", "headers", "framing", "fixed body", "chunked body", "complete"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("responseState(%d)", uint8(s))
}

// responseReader reads one final response and the interim ones before it (RFC 9112).
// It is strict: whatever two readers could frame differently is an error.
type responseReader struct {
	in       *bufio.Reader
	response *response
	state    responseState
	// isHead: the request's method is HEAD, so that no body follows.
	isHead bool
	// maxBuffered is the longest body of a stated length that is read, in bytes.
	maxBuffered int
	// headerLeft is how many bytes of the present head may still come.
	headerLeft int
	isChunked  bool
}

// readResponse reads a response up to its body, and the body if it is chunked or not
// longer than maxBuffered bytes. A longer body is left in the response's stream.
//
// If an error comes with a response, that response's head is complete. An error is
// errInvalidResponse or one of the connection.
func readResponse(in *bufio.Reader, isHead bool, maxBuffered int) (*response, error) {
	r := responseReader{
		in:          in,
		response:    &response{contentLength: -1},
		isHead:      isHead,
		maxBuffered: maxBuffered,
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

// step reads what the state names and moves on to the next state.
func (r *responseReader) step() (err error) {
	switch r.state {
	case readingStatusLine:
		err = r.readStatusLine()
	case readingHeaders:
		err = r.readHeaders()
	case choosingFraming:
		err = r.chooseFraming()
	case readingFixedBody:
		r.response.body = make([]byte, r.response.contentLength)
		_, err = io.ReadFull(r.in, r.response.body)
		r.state = responseComplete
	case readingChunkedBody:
		r.response.body, err = readChunkedBody(r.in, maxChunkedBody)
		r.state = responseComplete
	}
	return err
}

// readStatusLine reads the status line and forgets the headers of an interim response.
func (r *responseReader) readStatusLine() error {
	r.headerLeft = maxResponseHeader
	line, err := readLine(r.in, &r.headerLeft)
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

// parseStatusLine returns the status and the minor version of a status line such as
// "HTTP/1.1 200 OK".
func parseStatusLine(line []byte) (status int, minor byte, ok bool) {
	const (
		minorAt  = len("HTTP/1.")
		statusAt = len("HTTP/1.1 ")
	)
	if len(line) < statusLineLength || string(line[:minorAt]) != "HTTP/1." || line[statusAt-1] != ' ' {
		return 0, 0, false
	}
	if len(line) > statusLineLength && line[statusLineLength] != ' ' {
		return 0, 0, false
	}
	minor = line[minorAt]
	status, err := strconv.Atoi(string(line[statusAt:statusLineLength]))
	isValid := err == nil && status >= 100 && (minor == '0' || minor == '1')
	return status, minor, isValid
}

// readHeaders reads the header lines up to the empty one.
func (r *responseReader) readHeaders() error {
	for {
		line, err := readLine(r.in, &r.headerLeft)
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

// addHeader takes one header line. It copies the line.
func (r *responseReader) addHeader(line []byte) error {
	colon := bytes.IndexByte(line, ':')
	// A space before the colon would hide a framing header from one of two readers.
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

// setContentLength takes a Content-Length, which may be repeated with the same value.
func (r *responseReader) setContentLength(value []byte) error {
	n, err := strconv.ParseInt(string(value), 10, 63)
	stated := r.response.contentLength
	if err != nil || !isDigits(value) || (stated >= 0 && stated != n) {
		return fmt.Errorf("%w: content-length", errInvalidResponse)
	}
	r.response.contentLength = n
	return nil
}

// chooseFraming decides how the body is read (RFC 9112, section 6.3).
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
		// The end of the connection cannot tell a complete body from a part of one.
		return fmt.Errorf("%w: no length", errInvalidResponse)
	case resp.contentLength > int64(r.maxBuffered):
		resp.stream = io.LimitReader(r.in, resp.contentLength)
		r.state = responseComplete
	default:
		r.state = readingFixedBody
	}
	return nil
}

// parseKeepAlive returns the timeout of a Keep-Alive header; 0 if it has none.
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

// readLine reads one line without its end and counts it off left, the bytes that may
// still come. The line is valid until the next read.
func readLine(in *bufio.Reader, left *int) ([]byte, error) {
	line, err := in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := append([]byte(nil), line...)
		for errors.Is(err, bufio.ErrBufferFull) && len(long) < *left {
			line, err = in.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	if err != nil {
		return nil, err
	}
	if *left -= len(line); *left < 0 {
		return nil, fmt.Errorf("%w: header too long", errInvalidResponse)
	}
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
	if bytes.ContainsAny(line, "\r\x00") {
		return nil, fmt.Errorf("%w: bare CR or NUL", errInvalidResponse)
	}
	return line, nil
}

// readChunkedBody reads the chunks of a body and its trailers, which are dropped. The
// body may have up to maxBytes bytes.
func readChunkedBody(in *bufio.Reader, maxBytes int) ([]byte, error) {
	var body []byte
	for {
		left := maxChunkLine
		size, err := readChunkSize(in, &left)
		if err != nil {
			return nil, err
		}
		if size == 0 {
			break
		}
		if len(body)+size > maxBytes {
			return nil, fmt.Errorf("%w: chunked body of over %d bytes", errInvalidResponse, maxBytes)
		}
		at := len(body)
		body = append(body, make([]byte, size)...)
		if _, err := io.ReadFull(in, body[at:]); err != nil {
			return nil, err
		}
		if line, err := readLine(in, &left); err != nil || len(line) != 0 {
			return nil, fmt.Errorf("%w: chunk end", errInvalidResponse)
		}
	}
	if err := skipTrailers(in); err != nil {
		return nil, err
	}
	return body, nil
}

// readChunkSize reads the line before a chunk and drops its extensions.
func readChunkSize(in *bufio.Reader, left *int) (int, error) {
	line, err := readLine(in, left)
	if err != nil {
		return 0, err
	}
	if i := bytes.IndexByte(line, ';'); i >= 0 {
		line = line[:i]
	}
	n, err := strconv.ParseUint(string(bytes.TrimSpace(line)), 16, 31)
	if err != nil {
		return 0, fmt.Errorf("%w: chunk size", errInvalidResponse)
	}
	return int(n), nil
}

// skipTrailers reads the lines behind the last chunk up to the empty one.
func skipTrailers(in *bufio.Reader) error {
	left := maxResponseHeader
	for {
		line, err := readLine(in, &left)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return nil
		}
	}
}
