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

// upstream is one connection to an endpoint.
type upstream struct {
	raw    *net.TCPConn
	rc     syscall.RawConn
	br     *bufio.Reader
	until  time.Time     // idle no longer than this
	since  time.Time     // idle since; of a new one, since it came up
	rested time.Duration // how long it was idle before its present use; 0: it is new
}

// shelf keeps the idle connections of one endpoint.
type shelf struct {
	mu     sync.Mutex
	idle   []*upstream
	closed bool
}

// take gives the idle connection used last that is still sound, or nil. One that
// has rested for over most is not taken.
func (s *shelf) take(now time.Time, most time.Duration) *upstream {
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
		if u.rested = max(1, now.Sub(u.since)); now.Before(u.until) && u.rested <= most && u.silent() {
			return u
		}
		u.raw.Close()
	}
}

func (s *shelf) put(u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		u.raw.Close()
		return
	}
	s.idle = append(s.idle, u)
}

// count is how many connections are idle.
func (s *shelf) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.idle)
}

// drop closes all idle connections.
func (s *shelf) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.empty()
}

// empty does what drop does, under the lock.
func (s *shelf) empty() {
	for _, u := range s.idle {
		u.raw.Close()
	}
	s.idle = nil
}

// sweep closes connections whose time is up; close ends the shelf.
func (s *shelf) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keep := s.idle[:0]
	for _, u := range s.idle {
		if now.Before(u.until) {
			keep = append(keep, u)
		} else {
			u.raw.Close()
		}
	}
	s.idle = keep
}

func (s *shelf) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.empty()
}

// silent tells that nothing has come on an idle connection.
func (u *upstream) silent() bool { return u.br.Buffered() == 0 && transport.IsIdle(u.rc) }

func dialUpstream(addr string, wait, silence time.Duration) (*upstream, error) {
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
	return &upstream{raw: t, rc: rc, br: bufio.NewReaderSize(t, 4096)}, nil
}

// header is one header line of an answer.
type header struct{ name, value []byte }

// answer is a whole answer of an endpoint.
type answer struct {
	status  int
	headers []header
	body    []byte
	// rest, if not nil, is what of the body has not been read yet.
	rest   io.Reader
	length int64
	reuse  bool
	keep   time.Duration
}

func (a *answer) get(name string) []byte {
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

var errAnswer = errors.New("not a whole HTTP answer")

const maxAnswerHeader = 64 << 10

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
		return nil, fmt.Errorf("%w: header too long", errAnswer)
	}
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
	if bytes.ContainsAny(line, "\r\x00") {
		return nil, fmt.Errorf("%w: bare CR or NUL", errAnswer)
	}
	return line, nil
}

// mostChunked bounds an answer in chunks, which is held until it is whole.
const mostChunked = 1 << 20

// readAnswer reads an answer up to the body, and bodies of a known length up to whole
// bytes. With an error, an answer tells that its head was whole. Errors that are no
// errAnswer are the connection's.
func readAnswer(br *bufio.Reader, head bool, whole int) (*answer, error) {
	a := &answer{length: -1}
	for {
		left := maxAnswerHeader
		line, err := readLine(br, &left)
		if err != nil {
			return nil, err
		}
		if len(line) < 12 || string(line[:7]) != "HTTP/1." || line[8] != ' ' || (len(line) > 12 && line[12] != ' ') {
			return nil, fmt.Errorf("%w: status line", errAnswer)
		}
		minor := line[7]
		a.status, err = strconv.Atoi(string(line[9:12]))
		if err != nil || a.status < 100 || (minor != '0' && minor != '1') {
			return nil, fmt.Errorf("%w: status line", errAnswer)
		}
		a.headers = a.headers[:0]
		a.reuse = minor == '1'
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
			if i <= 0 || !tokenChars(line[:i]) { // a space before the colon hides a framing header
				return nil, fmt.Errorf("%w: header line", errAnswer)
			}
			h := header{append([]byte(nil), line[:i]...), append([]byte(nil), bytes.Trim(line[i+1:], " \t")...)}
			switch {
			case equalFold(h.name, "content-length"):
				n, err := strconv.ParseInt(string(h.value), 10, 63)
				if err != nil || !digits(h.value) || (a.length >= 0 && a.length != n) {
					return nil, fmt.Errorf("%w: content-length", errAnswer)
				}
				a.length = n
			case equalFold(h.name, "transfer-encoding"):
				if !equalFold(h.value, "chunked") || chunked {
					return nil, fmt.Errorf("%w: transfer-encoding", errAnswer)
				}
				chunked = true
			case equalFold(h.name, "connection"):
				if tokenIn(h.value, "close") {
					a.reuse = false
				}
			case equalFold(h.name, "keep-alive"):
				a.keep = keepAlive(h.value)
			}
			a.headers = append(a.headers, h)
		}
		if a.status == 101 {
			return nil, fmt.Errorf("%w: switched protocols", errAnswer)
		}
		if a.status < 200 {
			a.length = -1
			continue
		}
		switch {
		case chunked && a.length >= 0:
			return nil, fmt.Errorf("%w: two framings", errAnswer)
		case head || a.status == 204 || a.status == 304:
			return a, nil
		case chunked:
			a.body, err = readChunked(br, mostChunked)
			return a, err
		case a.length < 0:
			// The end of the connection cannot tell a whole body from a part.
			return nil, fmt.Errorf("%w: no length", errAnswer)
		case a.length > int64(whole):
			a.rest = io.LimitReader(br, a.length)
			return a, nil
		}
		a.body = make([]byte, a.length)
		_, err = io.ReadFull(br, a.body)
		return a, err
	}
}

func tokenIn(list []byte, token string) bool {
	for _, t := range bytes.Split(list, []byte{','}) {
		if equalFold(bytes.TrimSpace(t), token) {
			return true
		}
	}
	return false
}

func keepAlive(v []byte) time.Duration {
	for _, p := range bytes.Split(v, []byte{','}) {
		if k, n, ok := bytes.Cut(bytes.TrimSpace(p), []byte{'='}); ok && equalFold(k, "timeout") {
			if s, err := strconv.Atoi(string(n)); err == nil && s > 0 {
				return time.Duration(s) * time.Second
			}
		}
	}
	return 0
}

func readChunked(br *bufio.Reader, most int) ([]byte, error) {
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
			return nil, fmt.Errorf("%w: chunk size", errAnswer)
		}
		if n == 0 {
			break
		}
		if len(body)+int(n) > most {
			return nil, fmt.Errorf("%w: chunked body of over %d bytes", errAnswer, most)
		}
		at := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(br, body[at:]); err != nil {
			return nil, err
		}
		if line, err := readLine(br, &left); err != nil || len(line) != 0 {
			return nil, fmt.Errorf("%w: chunk end", errAnswer)
		}
	}
	for left := maxAnswerHeader; ; { // trailers are dropped
		line, err := readLine(br, &left)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return body, nil
		}
	}
}
