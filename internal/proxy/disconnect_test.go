package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lichentray/internal/metrics"
	"lichentray/registry"
)

// longTimeoutConfig is testConfig with a timeout and a latency target that no test reaches, so that
// requests in the tests below end only because their client disconnects.
var longTimeoutConfig = strings.NewReplacer(`"timeout_s":5`, `"timeout_s":300`, `"target_latency_s":1,`, `"target_latency_s":300,`,
	`"config_version":3`, `"config_version":4`).Replace(testConfig)

// conditionTimeout is how long the tests wait for an expected event. It is far longer than needed,
// as the machine may be busy.
const conditionTimeout = 20 * time.Second

// manualEndpoint is an endpoint that accepts each request and responds when the test tells it to, or
// detects that the connection was closed.
type manualEndpoint struct {
	listener net.Listener
	// responsePrefix is sent immediately for each request: the start of a response, or nothing.
	responsePrefix string
	// started receives the path of each request, ended the path of each whose connection was closed.
	started, ended chan string
	// responseRest provides the rest of the response to any one of the waiting requests.
	responseRest chan string
}

func newManualEndpoint(t *testing.T, responsePrefix string) *manualEndpoint {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &manualEndpoint{
		listener:       listener,
		responsePrefix: responsePrefix,
		started:        make(chan string, 100),
		ended:          make(chan string, 100),
		responseRest:   make(chan string),
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go e.serve(conn)
		}
	}()
	return e
}

// serve handles the requests of one connection, one at a time.
func (e *manualEndpoint) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // it is short
		path := request.URL.Path
		e.started <- path
		if _, err := io.WriteString(conn, e.responsePrefix); err != nil {
			return
		}
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			_, _ = reader.Peek(1) // returns on the next request or the end of the connection
		}()
		select {
		case rest := <-e.responseRest:
			_, _ = io.WriteString(conn, strings.ReplaceAll(rest, "ID", request.Header.Get("X-Attempt-Id"))) // fails if the connection is closed
			<-closed
		case <-closed:
		}
		if reader.Buffered() == 0 {
			e.ended <- path
			return
		}
	}
}

// startLongTimeoutProxy starts a proxy node with longTimeoutConfig and with endpoints of the given
// capacity.
func startLongTimeoutProxy(t *testing.T, capacity int, endpoints ...*manualEndpoint) (*Proxy, *Frontend) {
	p, f := startFrontend(t)
	p.applyObject(registry.Object{Key: registry.ConfigKey, Value: append(make([]byte, 8), longTimeoutConfig...)}, false)
	for i, e := range endpoints {
		x := registry.Endpoint{ID: fmt.Sprint("slow-", i), Service: "s", Address: e.listener.Addr().String(), Zone: "a", Capacity: capacity}
		p.applyObject(registry.Object{Key: x.Key(), Value: x.Encode()}, false)
	}
	return p, f
}

// longDeadlineRequest returns a request with a deadline that no test reaches, on a persistent
// connection.
func longDeadlineRequest(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Deadline: 250000\r\nContent-Length: 0\r\n\r\n"
}

// sendAndKeepOpen sends a request and returns the open connection. Closing it is the client's
// disconnect.
func sendAndKeepOpen(t *testing.T, f *Frontend, request string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", f.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	return conn
}

// receiveWithin receives a path from a channel of an endpoint, and fails the test after
// conditionTimeout.
func receiveWithin(t *testing.T, from <-chan string, what string) string {
	t.Helper()
	select {
	case path := <-from:
		return path
	case <-time.After(conditionTimeout):
		t.Fatal("timed out waiting for: " + what)
		return ""
	}
}

// awaitCondition waits until a condition holds, and fails the test after conditionTimeout.
func awaitCondition(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(conditionTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

// countQueued returns the number of requests queued for an endpoint.
func countQueued(p *Proxy) int {
	s := p.services["s"]
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue.waiters)
}

// countOpenConnections returns the number of open client connections.
func countOpenConnections(f *Frontend) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.connections)
}

// TestAttemptIsCanceledWhenClientDisconnects checks that an attempt of an idempotent request, or
// one that streams a response, is canceled once the client has disconnected, and that no other
// endpoint is attempted.
func TestAttemptIsCanceledWhenClientDisconnects(t *testing.T) {
	longHead := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Signature: s\r\nContent-Length: 1000000\r\n\r\n"
	for _, c := range []struct{ name, responsePrefix, request string }{
		{"before the response begins", "", longDeadlineRequest("GET", "/safe/x")},
		{"within the response head", longHead[:20], longDeadlineRequest("GET", "/safe/x")},
		{"within a buffered body", strings.Replace(longHead, "1000000", "100", 1), longDeadlineRequest("GET", "/safe/x")},
		{"within a streamed body", longHead + strings.Repeat("x", 100000), longDeadlineRequest("GET", "/safe/x")},
		{"within a streamed body of a non-idempotent request", longHead + strings.Repeat("x", 100000), longDeadlineRequest("POST", "/once/x")},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, second := newManualEndpoint(t, c.responsePrefix), newManualEndpoint(t, c.responsePrefix)
			_, f := startLongTimeoutProxy(t, 4, first, second)
			client := sendAndKeepOpen(t, f, c.request)
			var working, idle *manualEndpoint
			select {
			case <-first.started:
				working, idle = first, second
			case <-second.started:
				working, idle = second, first
			}
			client.Close()
			receiveWithin(t, working.ended, "close of the endpoint's connection")
			awaitCondition(t, "end of the request", func() bool { return countOpenConnections(f) == 0 })
			if len(working.started)+len(idle.started) > 0 {
				t.Error("request was sent to another endpoint after the client disconnected")
			}
		})
	}
}

// TestStreamIsCanceledWhenClientHalfClosesWithoutReading guards against a blocked write: a client
// that closes its write side and reads nothing lets a long response fill the connection.
func TestStreamIsCanceledWhenClientHalfClosesWithoutReading(t *testing.T) {
	const size = 64 << 20
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Signature: s\r\nContent-Length: %d\r\n\r\n", size)
	endpoint := newManualEndpoint(t, head+strings.Repeat("x", size))
	p, f := startLongTimeoutProxy(t, 4, endpoint)
	client := sendAndKeepOpen(t, f, longDeadlineRequest("GET", "/safe/x"))
	receiveWithin(t, endpoint.started, "request")
	if err := client.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	awaitCondition(t, "close of the client connection", func() bool { return countOpenConnections(f) == 0 })
	if p.disconnectWatcher.canceledAttempts.Value() != 1 {
		t.Errorf("canceled attempts = %d, want 1", p.disconnectWatcher.canceledAttempts.Value())
	}
}

// TestQueuedRequestIsDroppedWhenClientDisconnects checks that a queued request, idempotent or
// not, is removed from the queue when its client disconnects, and never reaches an endpoint.
func TestQueuedRequestIsDroppedWhenClientDisconnects(t *testing.T) {
	for _, request := range []string{longDeadlineRequest("GET", "/safe/queued"), longDeadlineRequest("POST", "/once/queued")} {
		endpoint := newManualEndpoint(t, "")
		p, f := startLongTimeoutProxy(t, 1, endpoint)
		queued := 0
		for countQueued(p) == 0 { // fill the endpoint's capacity
			sendAndKeepOpen(t, f, longDeadlineRequest("GET", "/safe/first"))
			queued++
			awaitCondition(t, "request at the endpoint or in the queue", func() bool { return len(endpoint.started)+countQueued(p) == queued })
		}
		before := countQueued(p)
		client := sendAndKeepOpen(t, f, request)
		awaitCondition(t, "request in the queue", func() bool { return countQueued(p) == before+1 })
		client.Close()
		awaitCondition(t, "removal of the request from the queue", func() bool { return countQueued(p) == before })
		for len(endpoint.started) > 0 {
			if path := <-endpoint.started; strings.HasSuffix(path, "queued") {
				t.Errorf("%s reached an endpoint", path)
			}
		}
	}
}

// TestNonIdempotentAttemptCompletesAfterDisconnect checks that an attempt of a non-idempotent
// request is not canceled when the client disconnects, and that no attempt is canceled while its
// client remains connected, even if the client has already sent a pipelined request.
func TestNonIdempotentAttemptCompletesAfterDisconnect(t *testing.T) {
	endpoint := newManualEndpoint(t, "")
	p, f := startLongTimeoutProxy(t, 4, endpoint)
	leaving := sendAndKeepOpen(t, f, longDeadlineRequest("POST", "/once/leaving"))
	receiveWithin(t, endpoint.started, "first request")
	remaining := sendAndKeepOpen(t, f, longDeadlineRequest("GET", "/safe/a")+longDeadlineRequest("GET", "/safe/b"))
	receiveWithin(t, endpoint.started, "second request")
	leaving.Close()
	awaitCondition(t, "detection of the disconnect", func() bool { return p.disconnectWatcher.disconnects.Value() == 1 })
	for range maxSweepsAfterDisconnect { // further sweeps must not cancel the attempt
		seen := p.disconnectWatcher.sweeps.Value()
		awaitCondition(t, "sweep", func() bool { return p.disconnectWatcher.sweeps.Value() > seen })
	}
	if len(endpoint.ended) > 0 {
		t.Fatalf("attempt of %s was canceled", <-endpoint.ended)
	}
	for range 2 {
		endpoint.responseRest <- okResponse("done")
	}
	receiveWithin(t, endpoint.started, "third request, after the response to the second")
	endpoint.responseRest <- okResponse("done")
	reader := bufio.NewReader(remaining)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != 200 {
			t.Fatalf("connected client received %+v, %v; want status 200", response, err)
		}
		_, _ = io.Copy(io.Discard, response.Body) // it is short
	}
	awaitCondition(t, "end of the request of the disconnected client", func() bool { return countOpenConnections(f) == 1 })
	if p.disconnectWatcher.canceledAttempts.Value() != 0 || p.disconnectWatcher.violations.Value() != 0 {
		t.Errorf("%d canceled attempts, %d violations; want 0, 0", p.disconnectWatcher.canceledAttempts.Value(), p.disconnectWatcher.violations.Value())
	}
}

// TestRequestInProgressAfterDisconnectIsAViolation checks that the watcher counts one violation for
// a request that is still in progress several sweeps after its client has disconnected, and none if
// the attempt in progress must complete or the request has ended.
func TestRequestInProgressAfterDisconnectIsAViolation(t *testing.T) {
	for _, c := range []struct {
		name       string
		start      func(*clientWatch)
		violations int64
	}{
		{"no attempt", func(*clientWatch) {}, 1},
		{"canceled attempt", func(d *clientWatch) { d.attach(newIdleUpstream(t), true) }, 1},
		{"attempt that must complete", func(d *clientWatch) { d.attach(newIdleUpstream(t), false) }, 0},
		{"ended request", func(d *clientWatch) { d.finish() }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newDisconnectWatcher(metrics.NewRegistry())
			client, server := newConnectionPair(t)
			d := &clientWatch{conn: server, probe: newClientConn(server).probe}
			w.watch(d)
			c.start(d)
			client.Close()
			awaitCondition(t, "detection of the disconnect or end of the request", func() bool {
				d.check()
				return d.hasDisconnected() || d.isFinished
			})
			for range 2 * maxSweepsAfterDisconnect {
				d.sweep()
			}
			if got := w.violations.Value(); got != c.violations {
				t.Errorf("violations = %d, want %d", got, c.violations)
			}
			if d.hasDisconnected() && d.attach(newIdleUpstream(t), true) {
				t.Error("attach succeeded after the client disconnected")
			}
			d.finish()
		})
	}
}

// newConnectionPair returns both ends of a loopback connection.
func newConnectionPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err = net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server
}

// newIdleUpstream returns a connection to an endpoint that never responds.
func newIdleUpstream(t *testing.T) *upstreamConn {
	t.Helper()
	client, _ := newConnectionPair(t)
	return &upstreamConn{tcp: client.(*net.TCPConn)}
}
