package relay_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lichentray/internal/controlplanetest"
	"lichentray/internal/daemon"
	"lichentray/internal/relay"
	"lichentray/internal/settings"
)

// scriptedCore is the API of a fake core node with scripted responses. It records the calls that
// it receives.
type scriptedCore struct {
	ln       net.Listener
	mu       sync.Mutex
	received []string // "connection call"
	// script returns the response to a call on the connection with the given number; "" closes the
	// connection.
	script func(conn int, of string, c net.Conn) string
}

func newScriptedCore(t *testing.T, script func(int, string, net.Conn) string) *scriptedCore {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &scriptedCore{ln: ln, script: script}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(n, c)
		}
	}()
	return r
}

func (r *scriptedCore) serve(connectionNumber int, c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		of := req.URL.Query().Get("of")
		r.mu.Lock()
		r.received = append(r.received, fmt.Sprint(connectionNumber, " ", of))
		r.mu.Unlock()
		answer := r.script(connectionNumber, of, c)
		if _, err := io.WriteString(c, answer); err != nil || answer == "" {
			return
		}
	}
}

func (r *scriptedCore) count(of string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.received {
		if strings.HasSuffix(g, " "+of) {
			n++
		}
	}
	return n
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// startRelayTo starts a relay that follows the fake core node, and returns its address.
func startRelayTo(t *testing.T, r *scriptedCore, ips []string, contactS int) string {
	control, internal := controlplanetest.FreePort(t, ips...), controlplanetest.FreePort(t, ips...)
	var diskless atomic.Bool
	startCore(t, ips[0], internal, r.ln.Addr().String(), &diskless)
	s := controlplanetest.Settings(t, ips[1], "", control, internal, []string{ips[0]}, false)
	s.QuorumMember = false
	s.Bounds.ContactWindow = settings.Seconds(contactS)
	sig := &daemon.Signals{Stop: make(chan struct{}), SettingsChanged: make(chan *settings.Settings)}
	ended := make(chan error, 1)
	go func() { ended <- relay.Run(s, slog.New(slog.NewTextHandler(io.Discard, nil)), sig) }()
	t.Cleanup(func() {
		close(sig.Stop)
		if err := <-ended; err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
	addr := fmt.Sprintf("%s:%d", ips[1], control)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if code, _ := postCall(addr, "ready"); code == 200 {
			return addr
		}
		if time.Now().After(end) {
			t.Fatal("no call was forwarded by the relay within 20 s")
		}
	}
}

func postCall(addr, of string) (int, string) {
	r, err := http.Post("http://"+addr+"/api/rpc?call=locks.begin&of="+of, "application/json", strings.NewReader("{}"))
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil || r.Header.Get("X-Part") != "" {
		return 0, fmt.Sprint("partial response: ", r.Header, err)
	}
	return r.StatusCode, string(body)
}

// TestRelayAnswersOnlyTheCallersOwnCall guards against a response that reaches another caller, or a
// call that is sent twice, after the core node sends a late, duplicate, truncated or no response. A
// call on an idle connection that was closed is sent on a new one, as no byte of it was sent.
func TestRelayAnswersOnlyTheCallersOwnCall(t *testing.T) {
	connectionClosed, stepDone := make(chan struct{}), make(chan struct{})
	r := newScriptedCore(t, func(_ int, of string, c net.Conn) string {
		switch of {
		case "late": // sent after the relay has abandoned the call
			_, _ = io.Copy(io.Discard, c)
			_, _ = io.WriteString(c, okResponse(of))
			close(connectionClosed)
			return ""
		case "doubled": // the second response is sent after the caller has the first
			_, _ = io.WriteString(c, okResponse(of))
			<-stepDone
			_, _ = io.WriteString(c, okResponse("second response"))
			stepDone <- struct{}{}
			_, _ = io.Copy(io.Discard, c)
			return ""
		case "cut":
			_, _ = io.WriteString(c, "HTTP/1.1 201 No\r\nX-Part: p\r\nContent-Length: 90\r\n\r\npart")
			return ""
		case "lost":
			return ""
		case "bye":
			_, _ = io.WriteString(c, okResponse(of))
			c.Close()
			stepDone <- struct{}{}
			return ""
		}
		return okResponse(of)
	})
	addr := startRelayTo(t, r, []string{"127.0.0.33", "127.0.0.34"}, 1)
	succeeded := 0
	for round := range 20 {
		for _, of := range []string{"doubled", "a", "bye", "b", "cut", "c", "lost", "d"} {
			want := 200
			if of == "cut" || of == "lost" {
				want = 504
			}
			code, body := postCall(addr, of)
			switch {
			case of == "b" && code == 504: // the close had not reached the relay yet
			case code != want || code == 200 && body != of:
				t.Fatalf("round %d, call %s: status %d, body %q", round, of, code, body)
			case of == "b":
				succeeded++
			}
			switch of {
			case "doubled":
				stepDone <- struct{}{}
				<-stepDone
			case "bye":
				<-stepDone
			}
		}
	}
	for _, of := range []string{"doubled", "a", "bye", "b", "cut", "c", "lost", "d"} {
		if n := r.count(of); n != 20 && of != "b" || n > 20 {
			t.Errorf("call %s was received %d times in 20 rounds, want 20 (b: at most 20)", of, n)
		}
	}
	if succeeded < 10 {
		t.Errorf("%d of 20 calls after a connection close succeeded, want at least 10", succeeded)
	}
	if code, _ := postCall(addr, "late"); code != 504 {
		t.Errorf("call with a late response: status %d, want 504", code)
	}
	<-connectionClosed // the relay has closed that connection
	if code, body := postCall(addr, "after"); code != 200 || body != "after" {
		t.Errorf("call after a late response: status %d, body %q; want 200, after", code, body)
	}
}

// TestRelayForwardsNoAmbiguousFraming guards against request smuggling: a request with ambiguous
// framing must not reach the core node as two calls.
func TestRelayForwardsNoAmbiguousFraming(t *testing.T) {
	r := newScriptedCore(t, func(_ int, of string, _ net.Conn) string { return okResponse(of) })
	addr := startRelayTo(t, r, []string{"127.0.0.35", "127.0.0.36"}, 6)
	smuggledRequest := "POST /api/rpc?call=locks.begin&of=evil HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	head := "POST /api/rpc?call=locks.begin&of=a HTTP/1.1\r\nHost: h\r\n"
	for _, raw := range []string{
		head + fmt.Sprintf("Content-Length: 3\r\nContent-Length: %d\r\n\r\n", len(smuggledRequest)),
		head + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", len(smuggledRequest)+5),
		head + fmt.Sprintf("Content-Length : %d\r\n\r\n", len(smuggledRequest)),
		head + fmt.Sprintf("content-length: %d\r\n\r\n", len(smuggledRequest)),
		head + fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n\r\n", len(smuggledRequest)),
		head + fmt.Sprintf("X-A: b\r\n Content-Length: 0\r\nContent-Length: %d\r\n\r\n", len(smuggledRequest)),
		head + fmt.Sprintf("X-A: b\rContent-Length: 0\r\nContent-Length: %d\r\n\r\n", len(smuggledRequest)),
		head + fmt.Sprintf("Connection: close, Content-Length\r\nContent-Length: %d\r\n\r\n", len(smuggledRequest)),
		strings.Replace(head, "POST", "GET", 1) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(smuggledRequest)),
		strings.Replace(head, "POST", "HEAD", 1) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(smuggledRequest)),
		strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) + fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n", len(smuggledRequest)),
		head + "Transfer-Encoding: chunked\r\nTrailer: Content-Length\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\nContent-Length: 0\r\n\r\n", len(smuggledRequest), smuggledRequest),
	} {
		if !strings.Contains(raw, smuggledRequest) {
			raw += smuggledRequest
		}
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = io.WriteString(c, raw)
		_ = c.(*net.TCPConn).CloseWrite()
		answers, _ := io.ReadAll(c)
		c.Close()
		if n := r.count("evil"); n > 0 {
			t.Errorf("%q: the body was forwarded as %d calls, want 0; response %q", raw, n, answers)
		}
		if code, body := postCall(addr, "next"); code != 200 || body != "next" {
			t.Errorf("call after %q: status %d, body %q; want 200, next", raw, code, body)
		}
		r.mu.Lock()
		r.received = nil
		r.mu.Unlock()
	}
}
