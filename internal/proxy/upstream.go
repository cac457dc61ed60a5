package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"lichentray/internal/transport"
)

// upstreamConn is one connection to an endpoint.
type upstreamConn struct {
	tcp       *net.TCPConn
	rawConn   syscall.RawConn
	reader    *bufio.Reader
	expiresAt time.Time     // idle no longer than this
	idleSince time.Time     // idle since; of a new one, since it came up
	idleFor   time.Duration // how long it was idle before its present use; 0: it is new
}

// connPool keeps the idle connections of one endpoint.
type connPool struct {
	mu     sync.Mutex
	idle   []*upstreamConn
	closed bool
}

// headerValue gives the idle connection used last that is still sound, or nil. One that
// has rested for over most is not taken.
func (s *connPool) get(now time.Time, most time.Duration) *upstreamConn {
	for {
		s.mu.Lock()
		n := len(s.idle)
		if n == 0 {
			s.mu.Unlock()
			return nil
		}
		u := s.idle[n-1]
		s.idle = s.idle[:n-1]
		s.mu.Unlock()
		if u.idleFor = max(1, now.Sub(u.idleSince)); now.Before(u.expiresAt) && u.idleFor <= most && u.isQuiet() {
			return u
		}
		u.tcp.Close()
	}
}

func (s *connPool) put(u *upstreamConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		u.tcp.Close()
		return
	}
	s.idle = append(s.idle, u)
}

// idleCount is how many connections are idle.
func (s *connPool) idleCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.idle)
}

// closeIdle closes all idle connections.
func (s *connPool) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdleLocked()
}

// closeIdleLocked does what drop does, under the lock.
func (s *connPool) closeIdleLocked() {
	for _, u := range s.idle {
		u.tcp.Close()
	}
	s.idle = nil
}

// closeExpired closes connections whose time is up; close ends the shelf.
func (s *connPool) closeExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keep := s.idle[:0]
	for _, u := range s.idle {
		if now.Before(u.expiresAt) {
			keep = append(keep, u)
		} else {
			u.tcp.Close()
		}
	}
	s.idle = keep
}

func (s *connPool) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.closeIdleLocked()
}

// isQuiet tells that nothing has come on an idle connection.
func (u *upstreamConn) isQuiet() bool { return u.reader.Buffered() == 0 && transport.IsIdle(u.rawConn) }

func dialUpstream(addr string, wait, silence time.Duration) (*upstreamConn, error) {
	d := net.Dialer{Timeout: wait, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	c, err := d.Dial("tcp4", addr)
	if err != nil {
		return nil, err
	}
	t := c.(*net.TCPConn)
	transport.SetTCPUserTimeout(t, silence)
	rc, err := t.SyscallConn()
	if err != nil {
		t.Close()
		return nil, err
	}
	return &upstreamConn{tcp: t, rawConn: rc, reader: bufio.NewReaderSize(t, 4096)}, nil
}

// header is one header line of an answer.
type header struct{ name, value []byte }

// response is a whole answer of an endpoint.
type response struct {
	status  int
	headers []header
	body    []byte
	// rest, if not nil, is what of the body has not been read yet.
	stream        io.Reader
	contentLength int64
	isReusable    bool
	keepAlive     time.Duration
}

func (a *response) headerValue(name string) []byte {
	for _, h := range a.headers {
		if equalFold(h.name, name) {
			return h.value
		}
	}
	return nil
}

func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		x, y := b[i], s[i]
		if x|0x20 != y|0x20 || (x != y && (x|0x20 < 'a' || x|0x20 > 'z')) {
			return false
		}
	}
	return true
}

var errInvalidResponse = errors.New("not a whole HTTP answer")

const maxResponseHeader = 64 << 10

func readLine(br *bufio.Reader, left *int) ([]byte, error) {
	line, err := br.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := append([]byte(nil), line...)
		for errors.Is(err, bufio.ErrBufferFull) && len(long) < *left {
			line, err = br.ReadSlice('\n')
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

// maxChunkedBody bounds an answer in chunks, which is held until it is whole.
const maxChunkedBody = 1 << 20

// readResponse reads an answer up to the body, and bodies of a known length up to whole
// bytes. With an error, an answer tells that its head was whole. Errors that are no
// errInvalidResponse are the connection's.
func readResponse(br *bufio.Reader, head bool, whole int) (*response, error) {
	a := &response{contentLength: -1}
	for {
		left := maxResponseHeader
		line, err := readLine(br, &left)
		if err != nil {
			return nil, err
		}
		if len(line) < 12 || string(line[:7]) != "HTTP/1." || line[8] != ' ' || (len(line) > 12 && line[12] != ' ') {
			return nil, fmt.Errorf("%w: status line", errInvalidResponse)
		}
		minor := line[7]
		a.status, err = strconv.Atoi(string(line[9:12]))
		if err != nil || a.status < 100 || (minor != '0' && minor != '1') {
			return nil, fmt.Errorf("%w: status line", errInvalidResponse)
		}
		a.headers = a.headers[:0]
		a.isReusable = minor == '1'
		chunked := false
		for {
			line, err := readLine(br, &left)
			if err != nil {
				return nil, err
			}
			if len(line) == 0 {
				break
			}
			i := bytes.IndexByte(line, ':')
			if i <= 0 || !isToken(line[:i]) { // a space before the colon hides a framing header
				return nil, fmt.Errorf("%w: header line", errInvalidResponse)
			}
			h := header{append([]byte(nil), line[:i]...), append([]byte(nil), bytes.Trim(line[i+1:], " \t")...)}
			switch {
			case equalFold(h.name, "content-length"):
				n, err := strconv.ParseInt(string(h.value), 10, 63)
				if err != nil || !isDigits(h.value) || (a.contentLength >= 0 && a.contentLength != n) {
					return nil, fmt.Errorf("%w: content-length", errInvalidResponse)
				}
				a.contentLength = n
			case equalFold(h.name, "transfer-encoding"):
				if !equalFold(h.value, "chunked") || chunked {
					return nil, fmt.Errorf("%w: transfer-encoding", errInvalidResponse)
				}
				chunked = true
			case equalFold(h.name, "connection"):
				if containsToken(h.value, "close") {
					a.isReusable = false
				}
			case equalFold(h.name, "keep-alive"):
				a.keepAlive = parseKeepAlive(h.value)
			}
			a.headers = append(a.headers, h)
		}
		if a.status == 101 {
			return nil, fmt.Errorf("%w: switched protocols", errInvalidResponse)
		}
		if a.status < 200 {
			a.contentLength = -1
			continue
		}
		switch {
		case chunked && a.contentLength >= 0:
			return nil, fmt.Errorf("%w: two framings", errInvalidResponse)
		case head || a.status == 204 || a.status == 304:
			return a, nil
		case chunked:
			a.body, err = readChunkedBody(br, maxChunkedBody)
			return a, err
		case a.contentLength < 0:
			// The end of the connection cannot tell a whole body from a part.
			return nil, fmt.Errorf("%w: no length", errInvalidResponse)
		case a.contentLength > int64(whole):
			a.stream = io.LimitReader(br, a.contentLength)
			return a, nil
		}
		a.body = make([]byte, a.contentLength)
		_, err = io.ReadFull(br, a.body)
		return a, err
	}
}

func containsToken(list []byte, token string) bool {
	for _, t := range bytes.Split(list, []byte{','}) {
		if equalFold(bytes.TrimSpace(t), token) {
			return true
		}
	}
	return false
}

func parseKeepAlive(v []byte) time.Duration {
	for _, p := range bytes.Split(v, []byte{','}) {
		if k, n, ok := bytes.Cut(bytes.TrimSpace(p), []byte{'='}); ok && equalFold(k, "timeout") {
			if s, err := strconv.Atoi(string(n)); err == nil && s > 0 {
				return time.Duration(s) * time.Second
			}
		}
	}
	return 0
}

func readChunkedBody(br *bufio.Reader, most int) ([]byte, error) {
	var body []byte
	for {
		left := 1024
		line, err := readLine(br, &left)
		if err != nil {
			return nil, err
		}
		if i := bytes.IndexByte(line, ';'); i >= 0 {
			line = line[:i]
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(line)), 16, 31)
		if err != nil {
			return nil, fmt.Errorf("%w: chunk size", errInvalidResponse)
		}
		if n == 0 {
			break
		}
		if len(body)+int(n) > most {
			return nil, fmt.Errorf("%w: chunked body of over %d bytes", errInvalidResponse, most)
		}
		at := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(br, body[at:]); err != nil {
			return nil, err
		}
		if line, err := readLine(br, &left); err != nil || len(line) != 0 {
			return nil, fmt.Errorf("%w: chunk end", errInvalidResponse)
		}
	}
	for left := maxResponseHeader; ; { // trailers are dropped
		line, err := readLine(br, &left)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return body, nil
		}
	}
}
