package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lichentray/internal/controlplanetest"
	"lichentray/internal/daemon"
	"lichentray/internal/discovery"
	"lichentray/internal/metrics"
	"lichentray/internal/relay"
	"lichentray/internal/settings"
	"lichentray/internal/transport"
)

// startCore starts a fake core node that sends its followers bookmarks with the address of its API.
func startCore(t *testing.T, ip string, internal int, api string, diskless *atomic.Bool) {
	addr := fmt.Sprintf("%s:%d", ip, internal)
	controlplanetest.StartFakeNode(t, addr, func(c *transport.Conn) {
		for {
			if c.Send(&transport.Frame{Bookmark: &transport.Bookmark{Control: []transport.ControlNode{{Addr: addr, API: api}}, Diskless: diskless.Load()}}) != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// TestRelayForwardsRedirectsAndYieldsToDisklessCore checks that calls and responses are forwarded
// unchanged, that a call that may have reached the core is not reported as unprocessed, that large
// calls are redirected, that other processes are referred to the core, and that Run returns
// ErrCoreDiskless, so that the node can join the core, if no core machine has a disk.
func TestRelayForwardsRedirectsAndYieldsToDisklessCore(t *testing.T) {
	ips := []string{"127.0.0.31", "127.0.0.32"}
	control, internal := controlplanetest.FreePort(t, ips...), controlplanetest.FreePort(t, ips...)
	api := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Query().Get("of") == "break" {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(409)
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
	}))
	defer api.Close()
	var diskless atomic.Bool
	startCore(t, ips[0], internal, strings.TrimPrefix(api.URL, "http://"), &diskless)
	set := func(seed string) *settings.Settings {
		s := controlplanetest.Settings(t, ips[1], "", control, internal, []string{seed}, false)
		s.QuorumMember = false
		return s
	}
	start := func(s *settings.Settings) (chan error, *daemon.Signals) {
		sig := &daemon.Signals{Stop: make(chan struct{}), SettingsChanged: make(chan *settings.Settings)}
		ended := make(chan error, 1)
		go func() { ended <- relay.Run(s, slog.New(slog.NewTextHandler(io.Discard, nil)), sig) }()
		return ended, sig
	}
	call := func(of string) (int, string) {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			r, err := http.Post(fmt.Sprintf("http://%s:%d/api/rpc?call=locks.begin&of=%s", ips[1], control, of), "application/json", strings.NewReader("{}"))
			if err != nil || (r.StatusCode == 503 && time.Now().Before(end.Add(-5*time.Second))) {
				if time.Now().After(end) {
					t.Fatal("no response from the relay within 10 s")
				}
				continue
			}
			body, _ := io.ReadAll(r.Body)
			return r.StatusCode, string(body)
		}
	}
	ended, sig := start(set(ips[0]))
	if code, body := call("l"); code != 409 || body != "POST /api/rpc?call=locks.begin&of=l {}" {
		t.Errorf("forwarded call: status %d, body %q; want those of the core", code, body)
	}
	if code, _ := call("break"); code != 504 {
		t.Errorf("call without a response: status %d, want 504", code)
	}
	// Calls with a large body in either direction are redirected.
	for call, body := range map[string]string{"configuration.replace": strings.Repeat(" ", 100<<10), "configuration.read": ""} {
		r, err := (&http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}).Post(
			fmt.Sprintf("http://%s:%d/api/rpc?call=%s", ips[1], control, call), "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		if at := r.Header.Get("Location"); r.StatusCode != 307 || at != api.URL+"/api/rpc?call="+call {
			t.Errorf("%s: status %d, Location %q; want a redirect to the core", call, r.StatusCode, at)
		}
	}
	// A process that takes the relay for a core node is referred to the core.
	c, err := transport.Dial(context.Background(), fmt.Sprintf("%s:%d", ips[1], internal), 5*time.Second, transport.Hello{Role: transport.RoleProxy, Node: "p"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.Send(&transport.Frame{Ask: &transport.Request{ID: 1, List: true}}); err != nil {
		t.Fatal(err)
	}
	if f, err := c.Receive(5 * time.Second); err != nil || f.Bookmark == nil || len(f.Bookmark.Control) != 1 || f.Bookmark.Control[0].Addr != fmt.Sprintf("%s:%d", ips[0], internal) {
		t.Errorf("Receive() = %+v, %v; want a bookmark with the core node", f, err)
	}
	close(sig.Stop)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	diskless.Store(true)
	ended, _ = start(set(ips[0]))
	if err := <-ended; !errors.Is(err, relay.ErrCoreDiskless) {
		t.Errorf("Run() with a diskless core = %v, want ErrCoreDiskless", err)
	}
}

// TestRelaysPassAnnouncementsOn guards against a relay that never finds the core, as its only seed
// node is itself. Another relay, which has it as a seed node, receives an announcement, follows the
// core and announces it to the first. Both then forward calls.
func TestRelaysPassAnnouncementsOn(t *testing.T) {
	const core, informed, isolated = "127.0.0.31", "127.0.0.32", "127.0.0.33"
	control, internal := controlplanetest.FreePort(t, core, informed, isolated), controlplanetest.FreePort(t, core, informed, isolated)
	api := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(409) }))
	defer api.Close()
	apiAddress := strings.TrimPrefix(api.URL, "http://")
	startCore(t, core, internal, apiAddress, new(atomic.Bool))
	for _, ip := range []string{informed, isolated} {
		startRelay(t, controlplanetest.Settings(t, ip, "", control, internal, []string{isolated}, false))
	}
	ctx, cancel := context.WithCancel(context.Background())
	announcer := discovery.NewAnnouncer(discovery.AnnouncerConfig{
		ContactWindow: 6 * time.Second,
		SeedAddrs:     func() []string { return []string{fmt.Sprintf("%s:%d", informed, internal)} },
		Core: func() []transport.ControlNode {
			return []transport.ControlNode{{Addr: fmt.Sprintf("%s:%d", core, internal), API: apiAddress}}
		},
		Metrics: metrics.NewRegistry(),
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		announcer.Run(ctx)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	for _, ip := range []string{informed, isolated} {
		eventually(t, ip+" forwards a call", func() bool { return callStatus(ip, control) == 409 })
	}
}

// TestPeerTellsRelay guards against a relay that does not find the core while the core still has a
// member with the relay's address: its only seed node is itself, and core nodes do not announce the
// core to members. The relay follows a core node that connects to that member.
func TestPeerTellsRelay(t *testing.T) {
	const core, isolated = "127.0.0.31", "127.0.0.32"
	control, internal := controlplanetest.FreePort(t, core, isolated), controlplanetest.FreePort(t, core, isolated)
	api := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(409) }))
	defer api.Close()
	startCore(t, core, internal, strings.TrimPrefix(api.URL, "http://"), new(atomic.Bool))
	startRelay(t, controlplanetest.Settings(t, isolated, "", control, internal, []string{isolated}, false))
	peer := transport.Hello{Role: transport.RolePeer, Node: "core", ID: 1, Addr: fmt.Sprintf("%s:%d", core, internal)}
	eventually(t, "the peer connects", func() bool {
		conn, err := transport.Dial(t.Context(), fmt.Sprintf("%s:%d", isolated, internal), time.Second, peer)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	eventually(t, "a call is forwarded", func() bool { return callStatus(isolated, control) == 409 })
}

// startRelay starts a relay that runs until the test ends.
func startRelay(t *testing.T, set *settings.Settings) {
	sig := &daemon.Signals{Stop: make(chan struct{}), SettingsChanged: make(chan *settings.Settings)}
	ended := make(chan error, 1)
	go func() { ended <- relay.Run(set, slog.New(slog.NewTextHandler(io.Discard, nil)), sig) }()
	t.Cleanup(func() {
		close(sig.Stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// callStatus sends a call to a relay and returns the status, or 0 if there is no response.
func callStatus(ip string, port int) int {
	r, err := http.Post(fmt.Sprintf("http://%s:%d/api/rpc?call=locks.begin&of=l", ip, port), "application/json", strings.NewReader("{}"))
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}

// eventually waits up to 20 s until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("condition not met within 20 s: " + what)
}

// TestWatchEndsWithItsCaller guards against watches that stay open at the core node after their
// callers have disconnected. A watch whose caller stays is answered, and the next one reuses the
// connection.
func TestWatchEndsWithItsCaller(t *testing.T) {
	ips := []string{"127.0.0.31", "127.0.0.32"}
	control, internal := controlplanetest.FreePort(t, ips...), controlplanetest.FreePort(t, ips...)
	watchStarted, watchEnded := make(chan string, 10), make(chan string, 10)
	api := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "0" {
			fmt.Fprint(w, r.RequestURI, " from ", r.RemoteAddr)
			return
		}
		watchStarted <- r.URL.Path
		<-r.Context().Done()
		watchEnded <- r.URL.Path
	}))
	defer api.Close()
	startCore(t, ips[0], internal, strings.TrimPrefix(api.URL, "http://"), new(atomic.Bool))
	set := controlplanetest.Settings(t, ips[1], "", control, internal, []string{ips[0]}, false)
	sig := &daemon.Signals{Stop: make(chan struct{}), SettingsChanged: make(chan *settings.Settings)}
	stopped := make(chan error, 1)
	go func() { stopped <- relay.Run(set, slog.New(slog.NewTextHandler(io.Discard, nil)), sig) }()
	defer func() {
		close(sig.Stop)
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	}()
	get := func(after int) string {
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			r, err := http.Get(fmt.Sprintf("http://%s:%d/api/watch/a%%2F..%%2Fg.?after=%d&wait_ms=1000", ips[1], control, after))
			if err != nil {
				continue
			}
			body, _ := io.ReadAll(r.Body)
			r.Body.Close()
			if r.StatusCode == 200 {
				return string(body)
			}
		}
		t.Fatal("no response to a watch within 20 s")
		return ""
	}
	if first, second := get(0), get(0); first != second || !strings.HasPrefix(first, "/api/watch/a%2F..%2Fg.?after=0&wait_ms=1000 from ") {
		t.Errorf("responses to consecutive watches = %q, %q; want the same URI and connection", first, second)
	}
	ctx, leave := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/api/watch/g.?after=1&wait_ms=1000", ips[1], control), nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if r, err := http.DefaultClient.Do(request); err == nil {
			r.Body.Close()
		}
	}()
	<-watchStarted
	leave()
	select {
	case <-watchEnded:
	case <-time.After(15 * time.Second): // less than the relay's own timeout of 26 s
		t.Error("the watch is still open at the core node after its caller disconnected")
	}
}
