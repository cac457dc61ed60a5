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

// patientConfig is testConfig with a time-out and a latency target that no test reaches: what
// ends in the tests below ends because its client has left.
var patientConfig = strings.NewReplacer(`"timeout_s":5`, `"timeout_s":300`, `"target_latency_s":1,`, `"target_latency_s":300,`,
	`"config_version":3`, `"config_version":4`).Replace(testConfig)

// departureBound is how long the tests wait for what has to happen once a client has left. It
// is far above the time that it takes, as the machine may be busy.
const departureBound = 20 * time.Second

// slowEndpoint is an endpoint that begins to work on each request and answers when it is told
// to, or notices that the connection was closed.
type slowEndpoint struct {
	listener net.Listener
	// begin is sent at once for each request: the start of an answer, or nothing.
	begin string
	// started receives the path of each request, ended that of each whose connection has ended.
	started, ended chan string
	// answer has what is sent to whichever request waits for an answer.
	answer chan string
}

func newSlowEndpoint(t *testing.T, begin string) *slowEndpoint {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &slowEndpoint{
		listener: listener,
		begin:    begin,
		started:  make(chan string, 100),
		ended:    make(chan string, 100),
		answer:   make(chan string),
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

// serve works on the requests of one connection, one at a time.
func (e *slowEndpoint) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // it is short
		path := request.URL.Path
		e.started <- path
		if _, err := io.WriteString(conn, e.begin); err != nil {
			return
		}
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			_, _ = reader.Peek(1) // the next request, or the end
		}()
		select {
		case answer := <-e.answer:
			_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "ID", request.Header.Get("X-Attempt-Id"))) // it may be closed
			<-closed
		case <-closed:
		}
		if reader.Buffered() == 0 {
			e.ended <- path
			return
		}
	}
}

// startPatientProxy starts a proxy node with patientConfig and endpoints of a capacity.
func startPatientProxy(t *testing.T, capacity int, endpoints ...*slowEndpoint) (*Proxy, *Frontend) {
	p, f := startFrontend(t)
	p.applyObject(registry.Object{Key: registry.ConfigKey, Value: append(make([]byte, 8), patientConfig...)}, false)
	for i, e := range endpoints {
		x := registry.Endpoint{ID: fmt.Sprint("slow-", i), Service: "s", Address: e.listener.Addr().String(), Zone: "a", Capacity: capacity}
		p.applyObject(registry.Object{Key: x.Key(), Value: x.Encode()}, false)
	}
	return p, f
}

// slowRequest is a request with a deadline that no test reaches, on a connection that is kept.
func slowRequest(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Deadline: 250000\r\nContent-Length: 0\r\n\r\n"
}

// sendAndStay sends a request and returns the connection. The client leaves when it is closed.
func sendAndStay(t *testing.T, f *Frontend, request string) net.Conn {
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

// receivePath receives what an endpoint tells.
func receivePath(t *testing.T, from <-chan string, what string) string {
	t.Helper()
	select {
	case path := <-from:
		return path
	case <-time.After(departureBound):
		t.Fatal("never came: " + what)
		return ""
	}
}

// awaitCondition waits until a condition holds, and ends the test if it does not.
func awaitCondition(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(departureBound); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never came: " + what)
		}
	}
}

// queueLength is how many requests wait for an endpoint.
func queueLength(p *Proxy) int {
	s := p.services["s"]
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue.waiters)
}

// openConnections is how many client connections there are.
func openConnections(f *Frontend) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.connections)
}

// TestAttemptEndsWhenClientLeaves: an endpoint's work on a request that may be repeated, or on a
// long response, ends once its client has left, and no other endpoint is asked.
func TestAttemptEndsWhenClientLeaves(t *testing.T) {
	longHead := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Signature: s\r\nContent-Length: 1000000\r\n\r\n"
	for _, c := range []struct{ name, begin, request string }{
		{"before the response begins", "", slowRequest("GET", "/safe/x")},
		{"within the head of the response", longHead[:20], slowRequest("GET", "/safe/x")},
		{"within a buffered body", strings.Replace(longHead, "1000000", "100", 1), slowRequest("GET", "/safe/x")},
		{"within a streamed body", longHead + strings.Repeat("x", 100000), slowRequest("GET", "/safe/x")},
		{"within a streamed body of a request that is not idempotent", longHead + strings.Repeat("x", 100000), slowRequest("POST", "/once/x")},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, second := newSlowEndpoint(t, c.begin), newSlowEndpoint(t, c.begin)
			_, f := startPatientProxy(t, 4, first, second)
			client := sendAndStay(t, f, c.request)
			var working, idle *slowEndpoint
			select {
			case <-first.started:
				working, idle = first, second
			case <-second.started:
				working, idle = second, first
			}
			client.Close()
			receivePath(t, working.ended, "the end of the endpoint's connection")
			awaitCondition(t, "the end of the request", func() bool { return openConnections(f) == 0 })
			if len(working.started)+len(idle.started) > 0 {
				t.Error("the request of a client that has left was sent to another endpoint")
			}
		})
	}
}

// TestStreamEndsWhenClientLeavesWithoutReading: a client that closes its side and reads nothing does
// not hold a long response, which fills the connection.
func TestStreamEndsWhenClientLeavesWithoutReading(t *testing.T) {
	const size = 64 << 20
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Signature: s\r\nContent-Length: %d\r\n\r\n", size)
	endpoint := newSlowEndpoint(t, head+strings.Repeat("x", size))
	p, f := startPatientProxy(t, 4, endpoint)
	client := sendAndStay(t, f, slowRequest("GET", "/safe/x"))
	receivePath(t, endpoint.started, "the request")
	if err := client.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	awaitCondition(t, "the end of the connection", func() bool { return openConnections(f) == 0 })
	if p.departures.cut.Value() != 1 {
		t.Errorf("%d attempts cut", p.departures.cut.Value())
	}
}

// TestQueuedRequestIsDroppedWhenClientLeaves: a request that waits for an endpoint leaves the
// queue with its client, whether it may be repeated or not, and never reaches an endpoint.
func TestQueuedRequestIsDroppedWhenClientLeaves(t *testing.T) {
	for _, request := range []string{slowRequest("GET", "/safe/queued"), slowRequest("POST", "/once/queued")} {
		endpoint := newSlowEndpoint(t, "")
		p, f := startPatientProxy(t, 1, endpoint)
		queued := 0
		for queueLength(p) == 0 { // occupies the endpoint
			sendAndStay(t, f, slowRequest("GET", "/safe/first"))
			queued++
			awaitCondition(t, "the request is handled", func() bool { return len(endpoint.started)+queueLength(p) == queued })
		}
		before := queueLength(p)
		client := sendAndStay(t, f, request)
		awaitCondition(t, "the request waits for an endpoint", func() bool { return queueLength(p) == before+1 })
		client.Close()
		awaitCondition(t, "the request leaves the queue", func() bool { return queueLength(p) == before })
		for len(endpoint.started) > 0 {
			if path := <-endpoint.started; strings.HasSuffix(path, "queued") {
				t.Errorf("%s reached an endpoint", path)
			}
		}
	}
}

// TestRunThatMayRunOnceGoesOnWithoutClient: an endpoint's work on a request that may run once is
// not broken off when the client leaves, and neither is any while the client stays, be it that it
// has sent its next request already.
func TestRunThatMayRunOnceGoesOnWithoutClient(t *testing.T) {
	endpoint := newSlowEndpoint(t, "")
	p, f := startPatientProxy(t, 4, endpoint)
	leaving := sendAndStay(t, f, slowRequest("POST", "/once/leaving"))
	receivePath(t, endpoint.started, "the first request")
	patient := sendAndStay(t, f, slowRequest("GET", "/safe/a")+slowRequest("GET", "/safe/b"))
	receivePath(t, endpoint.started, "the second request")
	leaving.Close()
	awaitCondition(t, "the departure is noticed", func() bool { return p.departures.departures.Value() == 1 })
	for range maxSweepsAfterDeparture { // further ones notice nothing
		seen := p.departures.sweeps.Value()
		awaitCondition(t, "a sweep", func() bool { return p.departures.sweeps.Value() > seen })
	}
	if len(endpoint.ended) > 0 {
		t.Fatalf("the work on %s was broken off", <-endpoint.ended)
	}
	for range 2 {
		endpoint.answer <- okResponse("done")
	}
	receivePath(t, endpoint.started, "the third request, behind the answer to the second")
	endpoint.answer <- okResponse("done")
	reader := bufio.NewReader(patient)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != 200 {
			t.Fatalf("the client that stayed got %+v, %v", response, err)
		}
		_, _ = io.Copy(io.Discard, response.Body) // it is short
	}
	awaitCondition(t, "the end of the request whose client has left", func() bool { return openConnections(f) == 1 })
	if p.departures.cut.Value() != 0 || p.departures.violations.Value() != 0 {
		t.Errorf("%d attempts cut, %d violations", p.departures.cut.Value(), p.departures.violations.Value())
	}
}

// TestWorkForDepartedClientIsAViolation: the watcher counts a request that is still in progress
// some sweeps after its client has left, once, unless an endpoint must not be interrupted.
func TestWorkForDepartedClientIsAViolation(t *testing.T) {
	for _, c := range []struct {
		name       string
		begin      func(*departure)
		violations int64
	}{
		{"nothing keeps it", func(*departure) {}, 1},
		{"an attempt that was broken off", func(d *departure) { d.attach(newTestUpstream(t), true) }, 1},
		{"an attempt that must go on", func(d *departure) { d.attach(newTestUpstream(t), false) }, 0},
		{"it has ended", func(d *departure) { d.end() }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newDepartureWatcher(metrics.NewRegistry())
			client, server := newConnectionPair(t)
			d := &departure{client: server, conn: newClientConn(server).probe}
			w.watch(d)
			c.begin(d)
			client.Close()
			awaitCondition(t, "the end is seen", func() bool {
				d.check()
				return d.hasLeft() || d.isEnded
			})
			for range 2 * maxSweepsAfterDeparture {
				d.sweep()
			}
			if got := w.violations.Value(); got != c.violations {
				t.Errorf("%d violations, want %d", got, c.violations)
			}
			if d.hasLeft() && d.attach(newTestUpstream(t), true) {
				t.Error("an attempt began for a client that has left")
			}
			d.end()
		})
	}
}

// newConnectionPair returns both ends of a connection over the loopback.
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

// newTestUpstream returns a connection to an endpoint that does nothing.
func newTestUpstream(t *testing.T) *upstreamConn {
	t.Helper()
	client, _ := newConnectionPair(t)
	return &upstreamConn{tcp: client.(*net.TCPConn)}
}
