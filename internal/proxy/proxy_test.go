package proxy

import (
	"bufio"
	"bytes"
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
	"lichentray/internal/metrics"
	"lichentray/registry"
)

// stubEndpoint is a stand-in: it reads one request a turn and answers by script.
type stubEndpoint struct {
	t        *testing.T
	listener net.Listener
	mu       sync.Mutex
	received []string
	script   func(n int, req string) string // "" closes the connection unanswered
}

func newStubEndpoint(t *testing.T, script func(n int, req string) string) *stubEndpoint {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &stubEndpoint{t: t, listener: ln, script: script}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *stubEndpoint) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		text := fmt.Sprintf("%s %s %s", req.Method, req.RequestURI, body)
		e.mu.Lock()
		e.received = append(e.received, text)
		n := len(e.received)
		e.mu.Unlock()
		a := e.script(n, text)
		if a == "" {
			return
		}
		a = strings.ReplaceAll(a, "ID", req.Header.Get("X-Attempt-Id"))
		if _, err := io.WriteString(c, a); err != nil || strings.Contains(a, "BREAK") {
			return
		}
	}
}

func (e *stubEndpoint) requests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.received...)
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Signature: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

const notExecutedResponse = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

const testConfig = `{"config_version":3,"limits":{"max_header_bytes":2000,"max_body_bytes":600000,"header_timeout_s":1,"idle_timeout_s":5},
"listeners":[{"hostname":"h","rules":[
 {"name":"safe","route_type":"idempotent","target_latency_s":1,"priority":1,"match":{"path_prefix":"/safe/"},"action":{"backend_service":"s","timeout_s":5,"max_attempts":2}},
 {"name":"once","route_type":"non_idempotent","target_latency_s":1,"priority":1,"match":{"path_prefix":"/once/"},"action":{"backend_service":"s","timeout_s":5,"max_attempts":2}}]}],
"clusters":[{"name":"s","health_check_path":"/health","max_connections":100}]}`

// startProxy starts a proxy node on the loopback that knows the given endpoints.
func startProxy(t *testing.T, endpoints ...*stubEndpoint) (*Proxy, string) {
	p, f := startFrontend(t, endpoints...)
	return p, f.listener.Addr().String()
}

func startFrontend(t *testing.T, endpoints ...*stubEndpoint) (*Proxy, *Frontend) {
	set := controlplanetest.Settings(t, "127.0.0.1", "", 1, 2, []string{"127.0.0.1"}, false)
	p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
	p.applyObject(registry.Object{Key: registry.ConfigKey, Value: append(make([]byte, 8), testConfig...)}, false)
	for i, e := range endpoints {
		x := registry.Endpoint{ID: fmt.Sprint("i-", i), Service: "s", Address: e.listener.Addr().String(), Zone: "a", Capacity: 4}
		p.applyObject(registry.Object{Key: x.Key(), Value: x.Encode()}, false)
	}
	for range 100 { // a budget in hand for further tries
		p.services["s"].retryBudget.Deposit()
	}
	return p, serveFrontend(t, p)
}

// serveFrontend lets a proxy node take requests on the loopback.
func serveFrontend(t *testing.T, p *Proxy) *Frontend {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := NewFrontend(p, ln)
	go f.Run()
	t.Cleanup(func() { ln.Close() })
	return f
}

// TestFirstView: a request that comes right after the start waits for the first
// view and is served; one that comes when none is to come soon is refused with a
// time to come back.
func TestRequestWaitsForFirstConfig(t *testing.T) {
	e := newStubEndpoint(t, func(int, string) string { return okResponse("x") })
	set := controlplanetest.Settings(t, "127.0.0.1", "", 1, 2, []string{"127.0.0.1"}, false)
	set.Bounds.ContactWindow, set.Bounds.ConfigApply, set.Bounds.DrainApply = 6, 40, 40 // a view within 10 s of the start
	open := func(began time.Duration) (*Proxy, string) {
		p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
		p.startedAt = p.startedAt.Add(-began)
		return p, serveFrontend(t, p).listener.Addr().String()
	}
	p, addr := open(0)
	_, longAgo := open(time.Hour)

	get := "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nX-Deadline: %d\r\n\r\n"
	got := make(chan int, 1)
	go func() { got <- sendRaw(t, addr, fmt.Sprintf(get, 60000), 1)[0].StatusCode }()
	for p.counters.requests.Value() == 0 {
		time.Sleep(time.Millisecond)
	}
	for _, deadline := range []int{4, 400} {
		r := sendRaw(t, addr, fmt.Sprintf(get, deadline), 1)[0]
		if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" {
			t.Errorf("deadline of %d ms without a view: %d, Retry-After %q", deadline, r.StatusCode, r.Header.Get("Retry-After"))
		}
	}
	if r := sendRaw(t, longAgo, fmt.Sprintf(get, 60000), 1)[0]; r.StatusCode != 503 {
		t.Errorf("long after the start: %d", r.StatusCode)
	}
	// By now the first request has waited for longer than a late one would.
	x := registry.Endpoint{ID: "i-0", Service: "s", Address: e.listener.Addr().String(), Zone: "a", Capacity: 4}
	p.applyObject(registry.Object{Key: x.Key(), Value: x.Encode()}, false)
	p.applyObject(registry.Object{Key: registry.ConfigKey, Value: append(make([]byte, 8), testConfig...)}, false)
	if code := <-got; code != 200 {
		t.Errorf("the request that came right after the start: %d", code)
	}
}

// sendRaw writes raw bytes and reads all answers until the node closes or the
// number wanted is there.
func sendRaw(t *testing.T, addr, raw string, want int) []*http.Response {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	var out []*http.Response
	for len(out) < want {
		r, err := http.ReadResponse(br, nil)
		if err != nil {
			return out
		}
		b, err := io.ReadAll(r.Body)
		if err != nil {
			r.StatusCode = -1 // cut short
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		out = append(out, r)
	}
	return out
}

func getRequest(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Deadline: 4000\r\nConnection: close\r\n\r\n"
}

func postRequest(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a2\r\nX-Deadline: 4000\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc"
}

func statusOf(rs []*http.Response) int {
	if len(rs) != 1 {
		return 0
	}
	return rs[0].StatusCode
}

// TestOutcomes: what the endpoints do, what the client gets, how often a
// request was handed to them.
func TestAttemptOutcomes(t *testing.T) {
	always := func(a string) func(int, string) string { return func(int, string) string { return a } }
	first := func(a, then string) func(int, string) string {
		return func(n int, _ string) string {
			if n == 1 {
				return a
			}
			return then
		}
	}
	for _, c := range []struct {
		name    string
		script  func(int, string) string
		request string
		status  int
		handed  int
	}{
		{"served", always(okResponse("x")), getRequest("/safe/a"), 200, 1},
		{"no route", always(okResponse("x")), getRequest("/none/a"), 404, 0},
		{"repeatable is tried again after a broken connection", first("", okResponse("x")), getRequest("/safe/a"), 200, 2},
		{"repeatable is tried again after a failure", first("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", okResponse("x")), getRequest("/safe/a"), 200, 2},
		{"once may have run: no promise, no second try", always(""), postRequest("/once/a"), 502, 1},
		{"once that was turned away goes elsewhere", first(notExecutedResponse, okResponse("x")), postRequest("/once/a"), 200, 2},
		{"once turned away everywhere is refused with a promise", always(notExecutedResponse), postRequest("/once/a"), 503, 2},
		{"once failed by itself is no promise", always("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), postRequest("/once/a"), 502, 1},
		{"an answer to another request", always(strings.Replace(okResponse("x"), "ID", "zz", 1)), postRequest("/once/a"), 502, 1},
		{"a success without a signature", always("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"), postRequest("/once/a"), 502, 1},
		{"a body cut short", always("HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 9\r\n\r\nBREAK"), postRequest("/once/a"), 502, 1},
		{"a body without a length", always("HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n\r\nBREAK"), postRequest("/once/a"), 502, 1},
		{"no HTTP at all", always("BREAK what is this\r\n\r\n"), postRequest("/once/a"), 502, 1},
		{"two lengths", always("HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy"), postRequest("/once/a"), 502, 1},
		{"chunked", always("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), postRequest("/once/a"), 200, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var mu sync.Mutex
			n := 0
			shared := func(_ int, req string) string {
				mu.Lock()
				n++
				k := n
				mu.Unlock()
				return c.script(k, req)
			}
			_, addr := startProxy(t, newStubEndpoint(t, shared), newStubEndpoint(t, shared))
			rs := sendRaw(t, addr, c.request, 1)
			mu.Lock()
			handed := n
			mu.Unlock()
			if statusOf(rs) != c.status || handed != c.handed {
				t.Errorf("client got %d, handed on %d times; want %d and %d", statusOf(rs), handed, c.status, c.handed)
			}
			if s := statusOf(rs); s == 503 && rs[0].Header.Get("Retry-After") == "" {
				t.Error("a refusal does not say when to come back")
			}
		})
	}
}

// TestHostileRequests: nothing ambiguous is passed on, and nothing is smuggled.
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
					t.Errorf("smuggled: %q", got)
				}
			}
			if len(rs) > 1 {
				t.Errorf("%d answers to one unreadable request", len(rs))
			}
			if len(rs) == 1 && (rs[0].StatusCode < 400 || rs[0].StatusCode >= 500) {
				t.Errorf("answered %d", rs[0].StatusCode)
			}
		})
	}
}

// TestPassesByteForByte: path, query, body and headers arrive as they were
// sent; what concerns one connection does not.
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
		t.Fatalf("answered %d", statusOf(rs))
	}
	<-done
	lines := strings.Split(got, "\r\n")
	if lines[0] != "POST /once/a//b/../%2e%2F;x?q=%20&&a=b+c HTTP/1.1" {
		t.Errorf("request line became %q", lines[0])
	}
	want := map[string]bool{"hOsT: h": true, "X-Attempt-Id: q": true, "x-odd-CASE: v  w": true, "Accept-Encoding: identity": true, "X-Target-Instance: i-0": true, "Content-Length: 4": true}
	for _, l := range lines[1 : len(lines)-2] {
		if strings.HasPrefix(l, "X-Deadline: ") {
			continue
		}
		if !want[l] {
			t.Errorf("unasked header %q", l)
		}
		delete(want, l)
	}
	if len(want) > 0 {
		t.Errorf("headers lost: %v", want)
	}
}

// TestLeftoverBytesEndTheConnection: bytes after a whole answer belong to no
// request.
func TestExcessBytesCloseConnection(t *testing.T) {
	n := 0
	var mu sync.Mutex
	e := newStubEndpoint(t, func(int, string) string {
		mu.Lock()
		defer mu.Unlock()
		n++
		if n == 1 {
			return okResponse("first") + "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 4\r\n\r\nevil"
		}
		return okResponse("second")
	})
	_, addr := startProxy(t, e)
	for _, want := range []string{"first", "second"} {
		rs := sendRaw(t, addr, getRequest("/safe/a"), 1)
		if statusOf(rs) != 200 {
			t.Fatalf("answered %d", statusOf(rs))
		}
		if b, _ := io.ReadAll(rs[0].Body); string(b) != want {
			t.Errorf("got %q instead of %q", b, want)
		}
	}
}

// TestDrainingGetsNothingNew: neither first nor second tries go to an endpoint
// that drains, and a configuration never goes back.
func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	a, b := newStubEndpoint(t, func(int, string) string { return okResponse("x") }), newStubEndpoint(t, func(int, string) string { return okResponse("x") })
	p, addr := startProxy(t, a, b)
	x := registry.Endpoint{ID: "i-0", Service: "s", Address: a.listener.Addr().String(), Zone: "a", Capacity: 4, Draining: true}
	p.applyObject(registry.Object{Key: x.Key(), Value: x.Encode()}, true)
	for range 30 {
		sendRaw(t, addr, getRequest("/safe/a"), 1)
	}
	if len(a.requests()) != 0 || len(b.requests()) != 30 {
		t.Errorf("draining endpoint got %d requests, the other %d", len(a.requests()), len(b.requests()))
	}
	old := strings.Replace(strings.Replace(testConfig, `"config_version":3`, `"config_version":2`, 1), "/safe/", "/other/", 1)
	p.applyObject(registry.Object{Key: registry.ConfigKey, Value: append(make([]byte, 8), old...)}, true)
	if s := statusOf(sendRaw(t, addr, getRequest("/safe/a"), 1)); s != 200 {
		t.Errorf("an older configuration came into force: %d", s)
	}
}

// TestHomesAndEmptiedZones: a request goes to its homes alone, and to no zone
// that is evacuated; where that leaves nobody it is refused with a promise.
func TestAllowedRegionsAndEvacuatedZones(t *testing.T) {
	near := newStubEndpoint(t, func(int, string) string { return okResponse("near") })
	far := newStubEndpoint(t, func(int, string) string { return okResponse("far") })
	p, f := startFrontend(t)
	addr := f.listener.Addr().String()
	p.settings.RegionByZone = map[string]string{"a": "r1", "b": "r2"}
	p.regionIndex, p.ownRegion = map[string]int{"r1": 0, "r2": 1}, 0
	for id, e := range map[string]*stubEndpoint{"a": near, "b": far} {
		x := registry.Endpoint{ID: "i-" + id, Service: "s", Address: e.listener.Addr().String(), Zone: id, Capacity: 4}
		p.applyObject(registry.Object{Key: x.Key(), Value: x.Encode()}, false)
	}
	version := 3
	check := func(regions, want string) {
		t.Helper()
		version++
		text := strings.Replace(strings.Replace(testConfig, `"max_attempts":2`, `"max_attempts":2,"allowed_regions":[`+regions+`]`, -1), `"config_version":3`, fmt.Sprintf(`"config_version":%d`, version), 1)
		p.applyObject(registry.Object{Key: registry.ConfigKey, Value: append(make([]byte, 8), text...)}, true)
		for range 5 {
			rs := sendRaw(t, addr, postRequest("/once/a"), 1)
			if len(rs) != 1 {
				t.Fatal("no answer")
			}
			body, _ := io.ReadAll(rs[0].Body)
			if got := fmt.Sprint(rs[0].StatusCode, " ", string(body)); !strings.HasPrefix(got, want) {
				t.Fatalf("homes %q: %s, want %s", regions, got, want)
			}
		}
	}
	check("", "200 near")
	check(`"r2"`, "200 far")
	check(`"nowhere"`, "503")
	evac := registry.Object{Key: registry.EvacuationPrefix + "b", Value: []byte(registry.Evacuated), ModRevision: 1}
	if err := p.applyEvent(registry.Event{Type: registry.Added, Object: evac, Revision: 1}); err != nil {
		t.Fatal(err)
	}
	check(`"r2"`, "503")
	check("", "200 near")
	if err := p.applyEvent(registry.Event{Type: registry.Deleted, Object: registry.Object{Key: evac.Key, ModRevision: 2}, Revision: 2}); err != nil {
		t.Fatal(err)
	}
	check(`"r2"`, "200 far")
}

// TestForgottenConnection: an endpoint that has forgotten an idle connection is
// not ejected for it, a request that may run once is not sent again, and later
// ones go out on fresher connections.
func TestStaleConnectionDoesNotEject(t *testing.T) {
	e := newStubEndpoint(t, func(n int, _ string) string {
		if n == 2 {
			return ""
		}
		return okResponse("x")
	})
	p, addr := startProxy(t, e)
	var got []int
	for range 4 {
		got = append(got, statusOf(sendRaw(t, addr, postRequest("/once/a"), 1)))
		time.Sleep(5 * time.Millisecond)
	}
	if fmt.Sprint(got) != "[200 502 200 200]" || len(e.requests()) != 4 {
		t.Errorf("answers %v, %d requests arrived", got, len(e.requests()))
	}
	if p.counters.staleConnections.Value() != 1 || p.counters.ejections.Value() != 0 || p.services["s"].idleLimit(p.now()) > time.Second {
		t.Errorf("forgotten %d, ejected %d", p.counters.staleConnections.Value(), p.counters.ejections.Value())
	}
}

// TestPaced: a long answer comes whole, a piece at a time as the link has room,
// and without waiting where its time is short.
func TestPacer(t *testing.T) {
	p := newPacer(4)
	now := time.Unix(1000, 0)
	total := time.Duration(0)
	for range 10 {
		total = p.reserve(now, 40_000)
	}
	if want := time.Duration(9*40_000/(500_000*pacedLinkShare)*1e9) - pacedBurst; total < want-time.Millisecond || total > want+time.Millisecond {
		t.Errorf("the tenth piece waits %v, want %v", total, want)
	}
	if wait := newPacer(1000).reserve(now, 1e6); wait != 0 {
		t.Errorf("a wide link waits %v", wait)
	}
	body := bytes.Repeat([]byte("0123456789"), 5000)
	began := time.Now()
	got, err := io.ReadAll(&pacedReader{pacer: newPacer(0.1), body: body, deadline: began.Add(100 * time.Millisecond)})
	if err != nil || !bytes.Equal(got, body) || time.Since(began) > 2*time.Second {
		t.Errorf("%d of %d bytes after %v, %v", len(got), len(body), time.Since(began), err)
	}
}

// TestIdleConnectionOutlivesADeadline: the deadline of the last request says
// nothing about an idle connection; unasked bytes and an end do.
func TestIdleConnectionOutlivesDeadline(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	u, err := dialUpstream(ln.Addr().String(), 5*time.Second, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := u.tcp.SetDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	if !u.isQuiet() {
		t.Error("a sound idle connection was given up")
	}
	if _, err := io.WriteString(other, "x"); err != nil {
		t.Fatal(err)
	}
	_ = u.tcp.SetDeadline(time.Time{})
	if _, err := u.reader.Peek(1); err != nil || u.isQuiet() {
		t.Errorf("unasked bytes were not seen: %v", err)
	}
}

// TestStopFinishesWhatWasRead: a node told to end is not ready at once, answers
// what it has read, ends idle connections, and waits no longer than it must.
func TestShutdownCompletesReadRequests(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	e := newStubEndpoint(t, func(int, string) string {
		close(started)
		<-finish
		return okResponse("whole")
	})
	p, f := startFrontend(t, e)
	addr := f.listener.Addr().String()
	idle, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	answered := make(chan []*http.Response, 1)
	go func() {
		answered <- sendRaw(t, addr, strings.Replace(postRequest("/once/a"), "Connection: close\r\n", "", 1), 1)
	}()
	<-started
	stopped := make(chan struct{})
	go func() {
		f.Shutdown(4 * time.Second)
		close(stopped)
	}()
	<-f.done // it no longer accepts, and the request is still at the endpoint
	if p.Ready() {
		t.Error("a stopping node calls itself ready")
	}
	select {
	case <-stopped:
		t.Fatal("it ended with a request in hand")
	default:
	}
	close(finish)
	rs := <-answered
	if statusOf(rs) != 200 || !rs[0].Close {
		t.Errorf("answered %d, kept open %v", statusOf(rs), len(rs) == 1 && !rs[0].Close)
	}
	<-stopped
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("the idle connection got bytes")
	}
}

// FuzzReadAnswer: whatever an endpoint sends, an answer that is taken for whole
// has the length that it names.
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

// TestQueueOrder: a place that becomes free goes to the smaller priority number,
// then to the client that asked less; who presses is the first to be refused.
func TestWaitersAreServedByRank(t *testing.T) {
	e := newStubEndpoint(t, func(int, string) string { return okResponse("x") })
	p, _ := startProxy(t, e)
	s := p.services["s"]
	s.pool.SetMaxConnections(1) // one request at a time
	busy, _ := s.acquireEndpoint(p, queueRank{}, 0, nil)
	if busy == nil {
		t.Fatal("no free place at the start")
	}
	var press queueRank
	for range 12 {
		press = s.recordArrival("noisy", 1)
	}
	calm := s.recordArrival("calm", 1)
	order := make(chan string, 3)
	enter := func(name string, r queueRank, queued int) {
		go func() {
			got, _ := s.acquireEndpoint(p, r, 20*time.Second, nil)
			order <- name
			s.releaseEndpoint(p, got, true, 0)
		}()
		for { // until it stands in the queue
			s.mu.Lock()
			n := len(s.waiters)
			s.mu.Unlock()
			if n == queued {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	enter("noisy", press, 1)
	enter("calm", calm, 2)
	enter("urgent", queueRank{priority: 0}, 3)
	s.releaseEndpoint(p, busy, true, 0)
	for _, want := range []string{"urgent", "calm", "noisy"} {
		if got := <-order; got != want {
			t.Errorf("%s went where %s should", got, want)
		}
	}
}

// TestLongAnswers: a long answer goes out while it comes in; where the endpoint
// breaks it off the client gets a part that does not look whole, and the endpoint is
// kept out for a while; where the client leaves, the endpoint is not blamed.
func TestLongResponsesAreStreamed(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 40<<10)
	whole := okResponse(body)
	var chunked atomic.Bool
	e := newStubEndpoint(t, func(n int, _ string) string {
		if chunked.Load() {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		}
		if n == 2 {
			return whole[:len(whole)/2] + "BREAK"
		}
		return whole
	})
	p, addr := startProxy(t, e)
	ejected := func() bool {
		s := p.services["s"]
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.pool.Endpoints()[0].IsEjected(p.now())
	}
	ask := func(most int) (n int, err error) {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, getRequest("/safe/a")); err != nil {
			t.Fatal(err)
		}
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(io.LimitReader(r.Body, int64(most)))
		if !strings.HasPrefix(body, string(got)) {
			t.Error("the answer was changed")
		}
		return len(got), err
	}
	if n, err := ask(len(body)); n != len(body) || err != nil {
		t.Errorf("whole: %d bytes, %v", n, err)
	}
	if n, err := ask(len(body)); n >= len(body) || err == nil {
		t.Errorf("broken off: %d bytes, %v", n, err)
	}
	for end := time.Now().Add(10 * time.Second); !ejected(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("an endpoint that broke an answer off was not kept out")
		}
	}
	for ejected() { // until its time is up
		time.Sleep(time.Millisecond)
	}
	chunked.Store(true)
	if n, err := ask(len(body)); n != len(body) || err != nil {
		t.Errorf("in chunks: %d bytes, %v", n, err)
	}
	chunked.Store(false)
	if n, err := ask(1000); n != 1000 || err != nil {
		t.Errorf("left: %d bytes, %v", n, err)
	}
	if n, err := ask(len(body)); n != len(body) || err != nil || ejected() {
		t.Errorf("after a client has left: %d bytes, %v, ejected %v", n, err, ejected())
	}
}
