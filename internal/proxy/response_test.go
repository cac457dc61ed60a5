package proxy

import (
	"bufio"
	"bytes"
	"testing"
)

// FuzzReadResponse checks that, for any bytes that an endpoint sends, a response that is accepted
// has a valid status, a body of the length that its headers state, and headers that no parser can
// frame differently.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte(okResponse("body")))
	f.Add([]byte(notExecutedResponse))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\nContent-Length: 5\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length : 9\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\nx"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: a\rb\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		resp, err := readResponse(bufio.NewReader(bytes.NewReader(b)), false, 1<<16, nil)
		if err != nil {
			return
		}
		if resp.status < 200 || resp.status > 999 || (resp.stream == nil && resp.contentLength >= 0 && resp.status != 204 && resp.status != 304 && int64(len(resp.body)) != resp.contentLength) {
			t.Fatalf("%q is accepted as %+v", b, resp)
		}
		for _, h := range resp.headers { // nothing that another parser may frame differently
			if !isToken(h.name) || bytes.ContainsAny(h.value, "\r\n\x00") || equalFold(h.name, "content-length") && !isDigits(h.value) {
				t.Fatalf("%q is accepted with header %q: %q", b, h.name, h.value)
			}
		}
	})
}
