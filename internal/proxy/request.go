package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/config"
	"lichentray/internal/apierror"
	"lichentray/routing"
)

const (
	// maxBufferedRequest is how many bytes of a request's body are read before the request
	// is forwarded. A body that fits can be sent again.
	maxBufferedRequest = 256 << 10
	// defaultRequestTimeout is for routes that set no time-out.
	defaultRequestTimeout = 10 * time.Minute
	// maxDeadlineMilliseconds bounds what a client can ask for with X-Deadline.
	maxDeadlineMilliseconds = 1e9
	// unlimitedBody is the limit in bytes where the configuration sets none.
	unlimitedBody = 1 << 40
)

// headBuffers holds buffers for the heads of requests on their way to an endpoint.
var headBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 2048); return &b }}

// request is one request of a client, as it is forwarded.
type request struct {
	ctx     *fasthttp.RequestCtx
	route   *routing.Route
	stats   *routeStats
	service *service
	// regionMask has a bit for each region that may serve the request; 0 permits all.
	regionMask uint64
	// head has the request line and the headers to forward, without the empty line.
	head []byte
	// body is the complete body, unless bodyStream is set.
	body []byte
	// bodyStream, if not nil, is a long body, which can be read once.
	bodyStream io.Reader
	// streamSize is the length of bodyStream in bytes; less than 0 if it is not known.
	streamSize int
	// bodyConsumed is set once bodyStream was read from: the body cannot be sent again.
	bodyConsumed bool
	// attemptID is the client's X-Attempt-Id; empty if there is none.
	attemptID []byte
	startedAt time.Time
	deadline  time.Time
	isHead    bool
	// client is whether the client has left.
	client clientWatch
}

// read reads and checks a request and finds its route. It appends the head to forward to
// the buffer head.
//
// An error is one of apierror. After any but NoRoute the
// connection must be closed, as where the next request begins is not known.
func (q *request) read(snapshot *routingSnapshot, head []byte) error {
	limits := &snapshot.table.Limits
	framing, err := q.readHead(limits, head)
	if err != nil {
		return err
	}
	if q.route = snapshot.table.Match(framing.host, q.path()); q.route == nil {
		return apierror.New(apierror.NoRoute, "")
	}
	if err := q.setDeadline(framing.deadline); err != nil {
		return err
	}
	return q.readBody(limits.MaxBodyBytes)
}

// path is the request target without its query.
func (q *request) path() []byte {
	path, _, _ := bytes.Cut(q.ctx.Request.Header.RequestURI(), []byte{'?'})
	return path
}

// readHead checks the head and sets the one to forward.
func (q *request) readHead(limits *config.Limits, head []byte) (framing requestFraming, err error) {
	h := &q.ctx.Request.Header
	raw := h.RawHeaders()
	target := h.RequestURI()
	if size := len(raw) + len(target); limits.MaxHeaderBytes > 0 && float64(size) > limits.MaxHeaderBytes {
		return framing, apierror.New(apierror.HeaderTooLarge, "%d bytes", size)
	}
	if len(target) == 0 || target[0] != '/' || bytes.IndexByte(target, '#') >= 0 {
		return framing, apierror.New(apierror.BadRequest, "request target")
	}
	head = append(head, h.Method()...)
	head = append(head, ' ')
	head = append(head, target...)
	head = append(head, " HTTP/1.1\r\n"...)
	if head, err = framing.readHeaders(raw, head); err != nil {
		return framing, err
	}
	if !framing.isUnambiguous() {
		return framing, apierror.New(apierror.BadRequest, "host, framing or id headers are missing or double")
	}
	if len(framing.connection) > 0 {
		head = removeConnectionHeaders(head, framing.connection)
	}
	q.attemptID = framing.attemptID
	q.head = head
	return framing, nil
}

// requestFraming is what the headers say about a request itself, and how often.
type requestFraming struct {
	host      []byte
	deadline  []byte
	attemptID []byte
	// connection has the values of all Connection headers, each with a comma behind it.
	connection []byte

	hosts, lengths, encodings, attemptIDs int
}

// isUnambiguous reports whether every reader finds the same host, body and id.
func (f *requestFraming) isUnambiguous() bool {
	return f.hosts == 1 && f.lengths+f.encodings <= 1 && f.attemptIDs <= 1
}

// readHeaders takes the header lines up to the empty one and appends to head those that
// are forwarded.
func (f *requestFraming) readHeaders(raw, head []byte) ([]byte, error) {
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
		isForwarded, err := f.readHeader(line)
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

// readHeader takes one header line and reports whether it is forwarded as it is.
func (f *requestFraming) readHeader(line []byte) (isForwarded bool, err error) {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !isToken(line[:colon]) || bytes.ContainsAny(line, "\r\x00") {
		return false, apierror.New(apierror.BadRequest, "header line")
	}
	name, value := line[:colon], bytes.Trim(line[colon+1:], " \t")
	switch {
	case equalFold(name, "host"):
		f.host = value
		f.hosts++
	case equalFold(name, "content-length"):
		f.lengths++
		if len(value) == 0 || !isDigits(value) {
			return false, apierror.New(apierror.BadRequest, "content-length")
		}
		return false, nil
	case equalFold(name, "transfer-encoding"):
		f.encodings++
		if !equalFold(value, "chunked") {
			return false, apierror.New(apierror.BadRequest, "transfer-encoding")
		}
		return false, nil
	case equalFold(name, "x-deadline"):
		f.deadline = value
		return false, nil
	case equalFold(name, "connection"):
		f.connection = append(append(f.connection, value...), ',')
		return false, nil
	case isHopByHop(name):
		return false, nil
	case equalFold(name, "x-attempt-id"):
		f.attemptID = value
		f.attemptIDs++
	}
	return true, nil
}

// setDeadline sets the deadline: the route's, or that of the X-Deadline header in
// milliseconds if it comes first.
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
	asked := time.Duration(min(ms, maxDeadlineMilliseconds) * float64(time.Millisecond))
	if t := q.startedAt.Add(asked); t.Before(q.deadline) {
		q.deadline = t
	}
	return nil
}

// readBody buffers the body, or as much of it as is buffered. maxBytes bounds the body; 0
// or less sets no bound.
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

// bufferBodyStream reads the start of a body that the client still sends. A body that
// fits into the buffer is no stream any more.
func (q *request) bufferBodyStream(maxBytes float64) error {
	if maxBytes <= 0 {
		maxBytes = unlimitedBody
	}
	stream := &limitedBody{reader: q.ctx.RequestBodyStream(), remaining: int64(maxBytes)}
	start, err := io.ReadAll(io.LimitReader(stream, maxBufferedRequest+1))
	if err != nil {
		return bodyError(err, int64(maxBytes))
	}
	// Where the client hangs up, the server library ends a body of a stated length as if
	// it were complete.
	if q.streamSize >= 0 && len(start) < min(q.streamSize, maxBufferedRequest+1) {
		return apierror.New(apierror.BadRequest, "%d bytes of a body of %d", len(start), q.streamSize)
	}
	if len(start) <= maxBufferedRequest {
		q.body = start
		q.streamSize = len(start)
		return nil
	}
	q.bodyStream = io.MultiReader(bytes.NewReader(start), stream)
	return nil
}

// bodyError is the client's error for one of reading its body.
func bodyError(err error, maxBytes int64) error {
	var netErr net.Error
	switch {
	case errors.Is(err, errBodyTooLarge):
		return apierror.New(apierror.BodyTooLarge, "over %d bytes", maxBytes)
	case errors.As(err, &netErr) && netErr.Timeout():
		return apierror.New(apierror.HeaderTimeout, "body")
	default:
		return apierror.New(apierror.BadRequest, "body")
	}
}

// errBodyTooLarge means that a body is longer than the configuration permits.
var errBodyTooLarge = errors.New("proxy: body is too large")

// limitedBody reads a body and fails where it is longer than it may be.
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

// appendHead appends the head as it is sent to an endpoint, with the framing of the body.
// remaining is the time left until the deadline.
func (q *request) appendHead(b []byte, endpoint string, remaining time.Duration) []byte {
	b = append(b, q.head...)
	b = append(b, "X-Deadline: "...)
	b = strconv.AppendInt(b, max(1, remaining.Milliseconds()), 10)
	b = append(b, "\r\nX-Target-Instance: "...)
	b = append(b, endpoint...)
	switch {
	case q.bodyStream != nil && q.streamSize < 0:
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
	case q.hasContentLength():
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(q.contentLength()), 10)
	}
	return append(b, "\r\n\r\n"...)
}

// hasContentLength reports whether the forwarded head states a length. Requests of methods
// that usually have a body state it also where the body is empty.
func (q *request) hasContentLength() bool {
	return q.streamSize > 0 || len(q.body) > 0 || !(q.isHead || q.ctx.IsGet())
}

// contentLength is the length of the body in bytes.
func (q *request) contentLength() int {
	if q.bodyStream != nil {
		return q.streamSize
	}
	return len(q.body)
}
