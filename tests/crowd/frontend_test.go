package crowd

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
)

const (
	// frontendCrowd is a crowd whose connections alone fit into a process.
	frontendCrowd = 700
	// idleCrowd is larger than the number of descriptors of a process.
	idleCrowd = 1100
	// bufferedBodyBytes is just under what a proxy buffers of a body.
	bufferedBodyBytes = 256<<10 - 16
	// streamedBodyBytes is more than a proxy buffers of a body.
	streamedBodyBytes = 1 << 20
)

// TestFrontendCrowds plays crowds of clients of a proxy.
func TestFrontendCrowds(t *testing.T) {
	buffered := func(f framing) []byte {
		return post("/held/echo", bytes.Repeat([]byte("b"), bufferedBodyBytes), f)
	}
	streamed := post("/held/echo", bytes.Repeat([]byte("b"), streamedBodyBytes), byLength)
	longHead := "GET /held/echo HTTP/1.1\r\nHost: " + hostName + "\r\nX-Filler: " + strings.Repeat("f", maxHeaderBytes-200)
	tests := []struct {
		name   string
		count  int
		member member
	}{
		{"short of its end by length", frontendCrowd, stoppingShort(buffered(byLength))},
		{"short of its end in chunks", frontendCrowd, stoppingShort(buffered(byChunks))},
		{"trickling by length", frontendCrowd, trickling(buffered(byLength))},
		{"trickling in chunks", frontendCrowd, trickling(buffered(byChunks))},
		{"complete by length", frontendCrowd, member{start: post("/held/hold", bytes.Repeat([]byte("b"), bufferedBodyBytes), byLength)}},
		{"complete in chunks", frontendCrowd, member{start: post("/held/hold", bytes.Repeat([]byte("b"), bufferedBodyBytes), byChunks)}},
		{"streamed short of its end", frontendCrowd, stoppingShort(streamed)},
		{"heads without an end", idleCrowd, member{start: []byte(longHead)}},
		{"long heads on connections that stay", idleCrowd, member{start: []byte(longHead + "\r\n\r\n")}},
		{"idle", idleCrowd, member{}},
		{"slow readers", frontendCrowd, member{start: post("/held/large", nil, byLength)}},
		{"pipelined slow readers", frontendCrowd, member{start: bytes.Repeat(post("/held/large", nil, byLength), 8)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := startDeployment(t)
			gather(t, d.address(proxyIP, "frontend"), test.count, test.member)
			d.waitFor("a response to an ordinary request", d.isOrdinaryAnswered)
			d.waitFor("a response to a request with a long body", func() bool { return d.isLongEchoed(bufferedBodyBytes) })
			d.waitFor("the readiness check", d.isProxyReady)
			d.proxy.check(t)
		})
	}
}

// isLongEchoed reports whether a request with a body of the given size is answered with that body.
func (d *deployment) isLongEchoed(size int) bool {
	sent := bytes.Repeat([]byte("o"), size)
	status, body := d.postThroughProxy("/ordinary/echo", sent)
	return status == 200 && bytes.Equal(body, sent)
}

// TestReadinessCrowd plays a crowd at the listener of the readiness check.
func TestReadinessCrowd(t *testing.T) {
	d := startDeployment(t)
	gather(t, d.address(proxyIP, "readiness"), idleCrowd, member{})
	d.waitFor("the readiness check", d.isProxyReady)
	d.waitFor("a response to an ordinary request", d.isOrdinaryAnswered)
	d.proxy.check(t)
}

// TestLargestRequestInCalm checks that a single request at the limits of the configuration is
// served.
func TestLargestRequestInCalm(t *testing.T) {
	d := startDeployment(t)
	if !d.isLongEchoed(maxBodyBytes) {
		t.Errorf("a body of max_body_bytes was not served")
	}
	if !d.isLongHeadServed(maxHeaderBytes - 200) {
		t.Errorf("a head of almost max_header_bytes was not served")
	}
	d.proxy.check(t)
}

// isLongHeadServed reports whether a request with a head of the given size is served.
func (d *deployment) isLongHeadServed(size int) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.address(proxyIP, "frontend")+"/ordinary/echo", strings.NewReader("hello"))
	if err != nil {
		d.t.Fatal(err)
	}
	request.Host = hostName
	request.Header.Set("X-Filler", strings.Repeat("f", size-300))
	status, _ := do(request)
	return status == http.StatusOK
}
