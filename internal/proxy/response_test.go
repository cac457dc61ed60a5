package proxy

import (
	"bufio"
	"bytes"
	"testing"
)

// FuzzReadResponse: whatever an endpoint sends, a response that is accepted as complete has the
// length that it states.
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
		a, err := readResponse(bufio.NewReader(bytes.NewReader(b)), false, 1<<16)
		if err != nil {
			return
		}
		if a.status < 200 || a.status > 999 || (a.stream == nil && a.contentLength >= 0 && a.status != 204 && a.status != 304 && int64(len(a.body)) != a.contentLength) {
			t.Fatalf("%q was taken as %+v", b, a)
		}
		for _, h := range a.headers { // nothing that another reader may frame otherwise
			if !isToken(h.name) || bytes.ContainsAny(h.value, "\r\n\x00") || equalFold(h.name, "content-length") && !isDigits(h.value) {
				t.Fatalf("%q was taken with header %q: %q", b, h.name, h.value)
			}
		}
	})
}
