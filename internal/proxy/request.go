package proxy

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/config"
	"lichentray/internal/apierror"
	"lichentray/routing"
)

const (
	// defaultRequestTimeout applies to routes without a timeout.
	defaultRequestTimeout = 10 * time.Minute
	// maxDeadlineMilliseconds is the maximum value of X-Deadline; larger ones are reduced to it.
	maxDeadlineMilliseconds = 1e9
)

// headBuffers holds buffers for the heads of requests that are sent to endpoints.
var headBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 2048); return &b }}

// request is a client's request, as it is forwarded.
type request struct {
	ctx     *fasthttp.RequestCtx
	route   *routing.Route
	stats   *routeStats
	service *service
	// regionMask is the set of regions that may serve the request; see Proxy.regionMask.
	regionMask uint64
	// head holds the request line and the headers to forward, without the final empty line.
	head []byte
	// body is the complete body, unless bodyStream is set.
	body []byte
	// bodyStream is a body that is too long to buffer, and can be read only once; nil if the body
	// is buffered.
	bodyStream io.Reader
	// streamSize is the length of bodyStream in bytes; negative if it is unknown.
	streamSize int
	// bodyConsumed is set when bodyStream is about to be read, after which the body cannot be sent
	// again.
	bodyConsumed bool
	// attemptID is the client's X-Attempt-Id; empty if there is none.
	attemptID []byte
	startedAt time.Time
	deadline  time.Time
	isHead    bool
	// client tracks whether the client has disconnected.
	client clientWatch
}

// read reads and validates a request and matches its route. It appends the head to forward to the
// buffer head.
//
// Errors are of package apierror. After any error but NoRoute, the connection must be closed, as
// the start of the next request is unknown.
func (q *request) read(snapshot *routingSnapshot, head []byte) error {
	limits := &snapshot.table.Limits
	headers, err := q.readHead(limits, head)
	if err != nil {
		return err
	}
	if q.route = snapshot.table.Match(headers.host, q.path()); q.route == nil {
		return apierror.New(apierror.NoRoute, "")
	}
	if err := q.setDeadline(headers.deadline); err != nil {
		return err
	}
	return q.readBody(limits.MaxBodyBytes)
}

// path returns the request target without its query.
func (q *request) path() []byte {
	path, _, _ := bytes.Cut(q.ctx.Request.Header.RequestURI(), []byte{'?'})
	return path
}

// readHead validates the head and sets the head to forward.
func (q *request) readHead(limits *config.Limits, head []byte) (headers interpretedHeaders, err error) {
	h := &q.ctx.Request.Header
	raw := h.RawHeaders()
	target := h.RequestURI()
	if size := len(raw) + len(target); limits.MaxHeaderBytes > 0 && float64(size) > limits.MaxHeaderBytes {
		return headers, apierror.New(apierror.HeaderTooLarge, "%d bytes", size)
	}
	if len(target) == 0 || target[0] != '/' || bytes.IndexByte(target, '#') >= 0 {
		return headers, apierror.New(apierror.BadRequest, "request target")
	}
	head = append(head, h.Method()...)
	head = append(head, ' ')
	head = append(head, target...)
	head = append(head, " HTTP/1.1\r\n"...)
	if head, err = headers.readHeaders(raw, head); err != nil {
		return headers, err
	}
	if !headers.isUnambiguous() {
		return headers, apierror.New(apierror.BadRequest, "host, framing or id headers are missing or double")
	}
	if len(headers.connection) > 0 {
		head = removeConnectionHeaders(head, headers.connection)
	}
	q.attemptID = headers.attemptID
	q.head = head
	return headers, nil
}

// interpretedHeaders holds the headers that the proxy itself interprets.
type interpretedHeaders struct {
	host      []byte
	deadline  []byte
	attemptID []byte
	// connection holds the values of all Connection headers, each followed by a comma.
	connection []byte

	// The fields below count the occurrences of a header.
	hostCount, lengthCount, encodingCount, attemptIDCount int
}

// isUnambiguous reports whether all parsers determine the same host, body and attempt id.
func (h *interpretedHeaders) isUnambiguous() bool {
	return h.hostCount == 1 && h.lengthCount+h.encodingCount <= 1 && h.attemptIDCount <= 1
}

// readHeaders parses the header lines up to the empty one, and appends those to forward to head.
func (h *interpretedHeaders) readHeaders(raw, head []byte) ([]byte, error) {
	for rest := raw; len(rest) > 0; {
		line := rest
		if i := bytes.IndexByte(rest, '\n'); i >= 0 {
			line, rest = rest[:i], rest[i+1:]
		} else {
			rest = nil
		}
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 {
			break
		}
		isForwarded, err := h.readHeader(line)
		if err != nil {
			return nil, err
		}
		if isForwarded {
			head = append(head, line...)
			head = append(head, "\r\n"...)
		}
	}
	return head, nil
}

// readHeader parses one header line and reports whether it is forwarded unchanged.
func (h *interpretedHeaders) readHeader(line []byte) (isForwarded bool, err error) {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !isToken(line[:colon]) || bytes.ContainsAny(line, "\r\x00") {
		return false, apierror.New(apierror.BadRequest, "header line")
	}
	name, value := line[:colon], bytes.Trim(line[colon+1:], " \t")
	switch {
	case equalFold(name, "host"):
		h.host = value
		h.hostCount++
	case equalFold(name, "content-length"):
		h.lengthCount++
		if len(value) == 0 || !isDigits(value) {
			return false, apierror.New(apierror.BadRequest, "content-length")
		}
		return false, nil
	case equalFold(name, "transfer-encoding"):
		h.encodingCount++
		if !equalFold(value, "chunked") {
			return false, apierror.New(apierror.BadRequest, "transfer-encoding")
		}
		return false, nil
	case equalFold(name, "x-deadline"):
		h.deadline = value
		return false, nil
	case equalFold(name, "connection"):
		h.connection = append(append(h.connection, value...), ',')
		return false, nil
	case isHopByHop(name):
		return false, nil
	case equalFold(name, "x-attempt-id"):
		h.attemptID = value
		h.attemptIDCount++
	}
	return true, nil
}

// setDeadline sets the deadline to the earlier of that by the route's timeout and that by the
// X-Deadline header, whose value is in milliseconds from the start of the request and may be empty.
func (q *request) setDeadline(milliseconds []byte) error {
	timeout := q.route.Timeout
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	q.deadline = q.startedAt.Add(timeout)
	if len(milliseconds) == 0 {
		return nil
	}
	ms, err := strconv.ParseFloat(string(milliseconds), 64)
	if err != nil || ms < 0 {
		return apierror.New(apierror.BadRequest, "x-deadline")
	}
	requested := time.Duration(min(ms, maxDeadlineMilliseconds) * float64(time.Millisecond))
	if t := q.startedAt.Add(requested); t.Before(q.deadline) {
		q.deadline = t
	}
	return nil
}

// appendHead appends the head that is sent to an endpoint, including the framing of the body.
// remaining is the time until the deadline.
func (q *request) appendHead(b []byte, endpointID string, remaining time.Duration) []byte {
	b = append(b, q.head...)
	b = append(b, "X-Deadline: "...)
	b = strconv.AppendInt(b, max(1, remaining.Milliseconds()), 10)
	b = append(b, "\r\nX-Target-Instance: "...)
	b = append(b, endpointID...)
	switch {
	case q.bodyStream != nil && q.streamSize < 0:
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
	case q.hasContentLength():
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(q.contentLength()), 10)
	}
	return append(b, "\r\n\r\n"...)
}

// hasContentLength reports whether the forwarded head has a Content-Length. For methods other than
// GET and HEAD it has one even if the body is empty.
func (q *request) hasContentLength() bool {
	return q.streamSize > 0 || len(q.body) > 0 || !(q.isHead || q.ctx.IsGet())
}

// contentLength returns the length of the body in bytes.
func (q *request) contentLength() int {
	if q.bodyStream != nil {
		return q.streamSize
	}
	return len(q.body)
}
