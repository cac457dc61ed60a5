package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/config"
	"lichentray/internal/api"
	"lichentray/routing"
)

// TestAmbiguousRequestsAreRejected checks that requests with an ambiguous framing are rejected, so
// that no request hidden in their bodies is forwarded (request smuggling).
func TestAmbiguousRequestsAreRejected(t *testing.T) {
	smuggled := "GET /safe/evil HTTP/1.1\r\nHost: h\r\n\r\n"
	head := "POST /once/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: q\r\n"
	for name, raw := range map[string]string{
		"two lengths":         head + "Content-Length: 3\r\nContent-Length: 50\r\n\r\nabc" + smuggled,
		"same length twice":   head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc" + smuggled,
		"length and chunks":   head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"odd encoding":        head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled,
		"bad chunk":           head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n" + smuggled,
		"space before colon":  head + "Content-Length : 3\r\n\r\nabc" + smuggled,
		"folded header":       head + "X-A: b\r\n c: d\r\nContent-Length: 3\r\n\r\nabc" + smuggled,
		"signed length":       head + "Content-Length: +3\r\n\r\nabc" + smuggled,
		"no host":             "GET /safe/a HTTP/1.1\r\nX-Attempt-Id: q\r\n\r\n" + smuggled,
		"two hosts":           "GET /safe/a HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n" + smuggled,
		"header too large":    "GET /safe/a HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("a", 9000) + "\r\n\r\n" + smuggled,
		"body too large":      head + "Content-Length: 700000\r\n\r\n" + smuggled,
		"garbage":             "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n" + smuggled,
		"target with a space": "GET /safe/a b HTTP/1.1\r\nHost: h\r\n\r\n" + smuggled,
	} {
		t.Run(name, func(t *testing.T) {
			e := newStubEndpoint(t, func(int, string) string { return okResponse("x") })
			_, addr := startProxy(t, e)
			rs := sendRaw(t, addr, raw, 5)
			for _, got := range e.requests() {
				if strings.Contains(got, "evil") {
					t.Errorf("endpoint received the smuggled request %q", got)
				}
			}
			if len(rs) > 1 {
				t.Errorf("got %d responses, want at most 1", len(rs))
			}
			if len(rs) == 1 && (rs[0].StatusCode < 400 || rs[0].StatusCode >= 500) {
				t.Errorf("status = %d, want 4xx", rs[0].StatusCode)
			}
		})
	}
}

// TestRequestIsForwardedUnchanged checks that the endpoint receives the target, the body and the
// headers byte for byte as the client sent them, without hop-by-hop headers.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	var got string
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		b := make([]byte, 4096)
		for !strings.HasSuffix(got, "body") {
			n, err := c.Read(b)
			if err != nil {
				return
			}
			got += string(b[:n])
		}
		_, _ = io.WriteString(c, strings.Replace(okResponse("y"), "ID", "q", 1))
	}()
	_, addr := startProxy(t, &stubEndpoint{listener: ln})
	rs := sendRaw(t, addr, "POST /once/a//b/../%2e%2F;x?q=%20&&a=b+c HTTP/1.1\r\nhOsT: h\r\nX-Attempt-Id: q\r\nx-odd-CASE: v  w\r\nAccept-Encoding: identity\r\nX-Hop: gone\r\nConnection: close, X-Hop\r\nX-Target-Instance: i-evil\r\nContent-Length: 4\r\n\r\nbody", 1)
	if statusOf(rs) != 200 {
		t.Fatalf("status = %d, want 200", statusOf(rs))
	}
	<-done
	lines := strings.Split(got, "\r\n")
	if lines[0] != "POST /once/a//b/../%2e%2F;x?q=%20&&a=b+c HTTP/1.1" {
		t.Errorf("forwarded request line = %q, want it unchanged", lines[0])
	}
	want := map[string]bool{"hOsT: h": true, "X-Attempt-Id: q": true, "x-odd-CASE: v  w": true, "Accept-Encoding: identity": true, "X-Target-Instance: i-0": true, "Content-Length: 4": true}
	for _, l := range lines[1 : len(lines)-2] {
		if strings.HasPrefix(l, "X-Deadline: ") {
			continue
		}
		if !want[l] {
			t.Errorf("forwarded unexpected header %q", l)
		}
		delete(want, l)
	}
	if len(want) > 0 {
		t.Errorf("headers not forwarded: %v", want)
	}
}

// TestTruncatedUploadIsNotForwarded checks that no endpoint receives a request whose client closes
// the connection before the body has the length of Content-Length. The server library ends such a
// body as if it were complete.
func TestTruncatedUploadIsNotForwarded(t *testing.T) {
	var arrived atomic.Int64
	e := newStubEndpoint(t, func(int, string) string { arrived.Add(1); return okResponse("x") })
	p, addr := startProxy(t, e)
	sizes := [][2]int{{40000, 20000}, {40000, 39999}, {maxBufferedRequestBytes, maxBufferedRequestBytes - 1}, {2 * maxBufferedRequestBytes, maxBufferedRequestBytes}}
	for i, x := range sizes {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = fmt.Fprintf(c, "POST /once/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a%d\r\nX-Deadline: 9000\r\nContent-Length: %d\r\n\r\n%s", i, x[0], strings.Repeat("b", x[1]))
		_ = c.(*net.TCPConn).CloseWrite()
		if r, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && r.StatusCode != 400 {
			t.Errorf("%d of %d bytes: status = %d, want 400", x[1], x[0], r.StatusCode)
		}
		c.Close()
	}
	if n := p.counters.requests.Value(); arrived.Load() != 0 || n != int64(len(sizes)) {
		t.Errorf("the endpoint received %d requests, want 0; the proxy received %d", arrived.Load(), n)
	}
}

// FuzzReadRequest checks that, for any bytes that a client sends, each accepted request is
// forwarded as exactly one request with an unambiguous framing, with the target, body and attempt
// id that the client sent (request smuggling).
func FuzzReadRequest(f *testing.F) {
	f.Add([]byte(getRequest("/safe/a") + postRequest("/once/b?c")))
	f.Add([]byte("POST /once/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n3;x=y\r\nabc\r\n0\r\nX-T: v\r\n\r\n"))
	f.Add([]byte("POST /once/a HTTP/1.1\r\nHost: h\r\nConnection: X-Attempt-Id, content-length, x\r\nX: y\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\nb"))
	f.Add([]byte("POST /once/a HTTP/1.0\r\nHost: h\r\nContent-Length: 3\r\nX-Target-Instance: evil\r\n\r\nabcGET /safe/b HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("HEAD /safe/a HTTP/1.1\r\nHost: h\r\nX-Deadline: 1e3\r\nContent-Length : 3\r\n\r\n"))
	f.Add([]byte("GET /safe/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nX-Attempt-Id: b\r\n\r\n"))
	c, err := config.DecodeValidated([]byte(testConfig))
	if err != nil {
		f.Fatal(err)
	}
	r := &routingSnapshot{table: routing.Compile(c)}
	f.Fuzz(func(t *testing.T, in []byte) {
		srv := api.NewServer(func(ctx *fasthttp.RequestCtx) {
			q := request{ctx: ctx, startedAt: ctx.Time(), isHead: ctx.IsHead()}
			if q.read(r, nil) != nil {
				ctx.SetConnectionClose()
				return
			}
			out := append(q.appendHead(nil, "i-0", time.Second), q.body...)
			// The target is forwarded unchanged even if net/http would reject it as a URL, so it is
			// checked separately.
			line, rest, _ := bytes.Cut(out, []byte("\r\n"))
			if want := fmt.Sprintf("%s %s HTTP/1.1", ctx.Method(), ctx.RequestURI()); string(line) != want || bytes.ContainsAny(line, "\r\n") {
				t.Fatalf("%q is forwarded as %q", in, out)
			}
			br := bufio.NewReader(io.MultiReader(strings.NewReader("POST / HTTP/1.1\r\n"), bytes.NewReader(rest)))
			req, err := http.ReadRequest(br)
			if err != nil {
				t.Fatalf("%q is forwarded as %q: %v", in, out, err)
			}
			body, err := io.ReadAll(req.Body)
			if err != nil || !bytes.Equal(body, q.body) || br.Buffered() > 0 || len(req.TransferEncoding) > 0 {
				t.Fatalf("%q is forwarded as %q, whose body or framing differs: %v", in, out, err)
			}
			if to := req.Header["X-Target-Instance"]; len(to) != 1 || to[0] != "i-0" || len(req.Header["X-Deadline"]) != 1 || len(q.attemptID) > 0 && (len(req.Header["X-Attempt-Id"]) != 1 || req.Header.Get("X-Attempt-Id") != string(q.attemptID)) {
				t.Fatalf("%q is forwarded with headers %v", in, req.Header)
			}
		}, maxBufferedRequestBytes)
		srv.StreamRequestBody = true
		_ = srv.ServeConn(&scriptedConn{in: bytes.NewReader(in)}) // fails if the client's bytes are invalid
	})
}
