package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/config"
	"lichentray/internal/api"
	"lichentray/routing"
)

// scriptedConn is a client's connection that says some bytes and ends.
type scriptedConn struct {
	net.Conn
	in io.Reader
}

func (s *scriptedConn) Read(b []byte) (int, error)       { return s.in.Read(b) }
func (s *scriptedConn) Write(b []byte) (int, error)      { return len(b), nil }
func (s *scriptedConn) Close() error                     { return nil }
func (s *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (s *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (s *scriptedConn) SetWriteDeadline(time.Time) error { return nil }
func (s *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (s *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }

// FuzzRequest: whatever a client sends, each request that is taken leaves as exactly one
// request with one framing, whose target, body and id are the client's (no request
// smuggling).
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
			// The target passes as it is, also one that is no URL to this reader.
			line, rest, _ := bytes.Cut(out, []byte("\r\n"))
			if want := fmt.Sprintf("%s %s HTTP/1.1", ctx.Method(), ctx.RequestURI()); string(line) != want || bytes.ContainsAny(line, "\r\n") {
				t.Fatalf("%q leaves as %q", in, out)
			}
			br := bufio.NewReader(io.MultiReader(strings.NewReader("POST / HTTP/1.1\r\n"), bytes.NewReader(rest)))
			req, err := http.ReadRequest(br)
			if err != nil {
				t.Fatalf("%q leaves as %q: %v", in, out, err)
			}
			body, err := io.ReadAll(req.Body)
			if err != nil || !bytes.Equal(body, q.body) || br.Buffered() > 0 || len(req.TransferEncoding) > 0 {
				t.Fatalf("%q leaves as %q: %v", in, out, err)
			}
			if to := req.Header["X-Target-Instance"]; len(to) != 1 || to[0] != "i-0" || len(req.Header["X-Deadline"]) != 1 || len(q.attemptID) > 0 && (len(req.Header["X-Attempt-Id"]) != 1 || req.Header.Get("X-Attempt-Id") != string(q.attemptID)) {
				t.Fatalf("%q leaves with %v", in, req.Header)
			}
		}, maxBufferedRequest)
		srv.StreamRequestBody = true
		_ = srv.ServeConn(&scriptedConn{in: bytes.NewReader(in)}) // an error is the client's
	})
}
