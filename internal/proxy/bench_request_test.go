package proxy

import (
	"bufio"
	"bytes"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/config"
	"lichentray/internal/controlplanetest"
	"lichentray/internal/metrics"
	"lichentray/registry"
	"lichentray/routing"
)

const benchmarkRequest = "POST /once/a?b=c HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a2\r\nX-Deadline: 4000\r\nAccept: */*\r\nUser-Agent: bench\r\nContent-Length: 3\r\n\r\nabc"

// BenchmarkReadRequest measures reading and validating one request and matching its route.
func BenchmarkReadRequest(b *testing.B) {
	c, err := config.DecodeValidated([]byte(testConfig))
	if err != nil {
		b.Fatal(err)
	}
	snapshot := &routingSnapshot{table: routing.Compile(c)}
	var ctx fasthttp.RequestCtx
	if err := ctx.Request.Read(bufio.NewReader(strings.NewReader(benchmarkRequest))); err != nil {
		b.Fatal(err)
	}
	buf := make([]byte, 0, 2048)
	b.ReportAllocs()
	for b.Loop() {
		q := request{ctx: &ctx, startedAt: time.Now()}
		if err := q.read(snapshot, buf); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReadResponse measures reading one response with a Content-Length and one with a chunked
// body.
func BenchmarkReadResponse(b *testing.B) {
	for name, text := range map[string]string{
		"length": strings.Replace(okResponse("body of the response"), "ID", "a2", 1),
		"chunks": "HTTP/1.1 200 OK\r\nX-Attempt-Id: a2\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			in := strings.NewReader(text)
			br := bufio.NewReader(in)
			b.ReportAllocs()
			for b.Loop() {
				in.Reset(text)
				br.Reset(in)
				if _, err := readResponse(br, false, maxBufferedResponseBytes, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkForward measures one request over the loopback interface from a client to an endpoint
// and back. The client and the endpoint do not allocate per request.
func BenchmarkForward(b *testing.B) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go serveBenchmarkEndpoint(ln)
	set := controlplanetest.Settings(b, "127.0.0.1", "", 1, 2, []string{"127.0.0.1"}, false)
	p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
	p.applyObject(registry.Object{Key: registry.ConfigKey, Value: append(make([]byte, 8), testConfig...)}, false)
	x := registry.Endpoint{ID: "i-0", Service: "s", Address: ln.Addr().String(), Zone: "a", Capacity: 4}
	p.applyObject(registry.Object{Key: x.Key(), Value: x.Encode()}, false)
	front, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer front.Close()
	go NewFrontend(p, front).Run()
	conn, err := net.Dial("tcp4", front.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	raw, in := []byte(benchmarkRequest), make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(raw); err != nil {
			b.Fatal(err)
		}
		n, err := conn.Read(in)
		if err != nil || !bytes.HasPrefix(in[:n], []byte("HTTP/1.1 200")) || !bytes.HasSuffix(in[:n], []byte("\r\n\r\nx")) {
			b.Fatalf("%q, %v", in[:n], err)
		}
	}
}

// serveBenchmarkEndpoint responds to every read with the same response.
func serveBenchmarkEndpoint(ln net.Listener) {
	response := []byte(strings.Replace(okResponse("x"), "ID", "a2", 1))
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in := make([]byte, 4096)
			for {
				if _, err := c.Read(in); err != nil {
					return
				}
				if _, err := c.Write(response); err != nil {
					return
				}
			}
		}()
	}
}
