package proxy

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"lichentray/internal/controlplanetest"
	"lichentray/internal/metrics"
	"lichentray/internal/transport"
	"lichentray/registry"
)

// stubControlNode is a control-plane node that responds to requests for streams by a function, and
// sends the frames that it receives from the channel frames.
type stubControlNode struct {
	streamsOpened atomic.Int64
	frames        chan *transport.Frame
	respond       func(*transport.Request) *transport.Response
}

// newStubControlNode starts a control-plane node that stops at the end of the test.
func newStubControlNode(t *testing.T, addr string, respond func(*transport.Request) *transport.Response) *stubControlNode {
	c := &stubControlNode{frames: make(chan *transport.Frame), respond: respond}
	controlplanetest.StartFakeNode(t, addr, c.serve)
	return c
}

// serve serves one connection.
func (c *stubControlNode) serve(conn *transport.Conn) {
	closed, open := make(chan struct{}), make(chan struct{}, 1)
	go func() {
		defer close(closed)
		for {
			f, err := conn.Receive(0)
			if err != nil {
				return
			}
			if f.Ask != nil {
				response := c.respond(f.Ask)
				if response == nil {
					continue // no response is sent
				}
				if !response.Failed {
					c.streamsOpened.Add(1)
				}
				if conn.Send(&transport.Frame{Answer: response}) != nil {
					return
				}
				open <- struct{}{}
			}
		}
	}()
	var frames chan *transport.Frame // nil until a stream is open
	for {
		select {
		case <-open:
			frames = c.frames
		case f := <-frames:
			if conn.Send(f) != nil {
				return
			}
		case <-closed:
			return
		}
	}
}

// TestSilentStreamIsKept checks that a silent stream remains in use, without loss of events, if it
// delivers a frame before another stream opens, and that it is replaced when another one opens.
func TestSilentStreamIsKept(t *testing.T) {
	port := controlplanetest.FreePort(t, "127.0.0.21", "127.0.0.22")
	set := controlplanetest.Settings(t, "127.0.0.23", "", 1, port, []string{"127.0.0.21", "127.0.0.22"}, false)
	set.Bounds.DrainPropagation, set.Bounds.ConfigPropagation = 1, 1
	address := func(ip string) string { return set.InternalAddr(ip + ":1") }
	list := func(request *transport.Request) *transport.Response {
		return &transport.Response{ID: request.ID, Revision: max(1, request.Least)}
	}
	var isSilent atomic.Bool
	isSilent.Store(true)
	requested := make(chan struct{}, 100)
	first := newStubControlNode(t, address("127.0.0.21"), func(request *transport.Request) *transport.Response {
		if request.Watch {
			return nil
		}
		return list(request)
	})
	second := newStubControlNode(t, address("127.0.0.22"), func(request *transport.Request) *transport.Response {
		if request.Watch { // requests after the first stream resume the watch
			requested <- struct{}{}
		}
		if isSilent.Load() {
			return nil
		}
		return list(request)
	})
	p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.ListAndWatch(ctx) }()
	defer func() { stop(); <-done }()
	waitFor := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("timed out waiting for " + what)
			}
		}
	}
	waitFor("a list", func() bool { return p.counters.lists.Value() == 1 })
	<-requested // the first node is silent; the second receives a request and does not respond
	e := registry.Endpoint{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Zone: "a"}
	first.frames <- &transport.Frame{Events: []registry.Event{{Type: registry.Added, Object: registry.Object{Key: e.Key(), Value: e.Encode(), ModRevision: 2}, Revision: 2}}, Bookmark: &transport.Bookmark{Revision: 2}}
	waitFor("the events of the silent stream", func() bool { return p.counters.registryRevision.Value() == 2 })
	if p.counters.streamsLost.Value() != 0 || first.streamsOpened.Load() != 1 {
		t.Errorf("streams lost = %d, want 0; streams opened = %d, want 1", p.counters.streamsLost.Value(), first.streamsOpened.Load())
	}
	isSilent.Store(false)
	waitFor("a stream of the second node", func() bool { return second.streamsOpened.Load() > 0 && p.counters.watches.Value() > 0 })
	second.frames <- &transport.Frame{Bookmark: &transport.Bookmark{Revision: 7}}
	waitFor("the bookmark of the second node", func() bool { return p.counters.registryRevision.Value() == 7 })
}

// TestRelaySeedsReferToCore checks that a proxy whose only seed is a relay opens a stream from the
// core node that the relay refers it to.
func TestRelaySeedsReferToCore(t *testing.T) {
	port := controlplanetest.FreePort(t, "127.0.0.24", "127.0.0.25")
	set := controlplanetest.Settings(t, "127.0.0.26", "", 1, port, []string{"127.0.0.24"}, false)
	core := set.InternalAddr("127.0.0.25:1")
	newStubControlNode(t, core, func(request *transport.Request) *transport.Response {
		return &transport.Response{ID: request.ID, Revision: 1}
	})
	controlplanetest.StartFakeRelay(t, set.InternalAddr("127.0.0.24:1"), transport.ControlNode{Addr: core})
	p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.ListAndWatch(ctx) }()
	defer func() { stop(); <-done }()
	for end := time.Now().Add(30 * time.Second); p.counters.lists.Value() == 0; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for a list from the core")
		}
	}
}

// TestUnresponsiveNearerNodeKeepsStream checks that the current stream is kept while a nearer node
// is known but does not respond, and is replaced once the nearer node responds.
func TestUnresponsiveNearerNodeKeepsStream(t *testing.T) {
	port := controlplanetest.FreePort(t, "127.0.0.41", "127.0.0.42")
	set := controlplanetest.Settings(t, "127.0.0.43", "", 1, port, []string{"127.0.0.41"}, false)
	set.Bounds.ContactWindow = 0.2
	address := func(ip string) string { return set.InternalAddr(ip + ":1") }
	list := func(request *transport.Request) *transport.Response {
		return &transport.Response{ID: request.ID, Revision: max(1, request.Least)}
	}
	far := newStubControlNode(t, address("127.0.0.41"), list)
	p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.ListAndWatch(ctx) }()
	defer func() { stop(); <-done }()
	control := []transport.ControlNode{{Addr: address("127.0.0.41"), Zone: "b"}, {Addr: address("127.0.0.42"), Zone: "a"}}
	for rev := uint64(2); rev < 12; rev++ {
		far.frames <- &transport.Frame{Bookmark: &transport.Bookmark{Revision: rev, Control: control}}
		time.Sleep(set.Bounds.ContactWindow.Duration() / 4) // a nearer node is searched for once per contact window
	}
	if far.streamsOpened.Load() != 1 {
		t.Errorf("streams opened = %d, want 1", far.streamsOpened.Load())
	}
	near := newStubControlNode(t, address("127.0.0.42"), list)
	for end := time.Now().Add(30 * time.Second); near.streamsOpened.Load() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for a stream of the nearer node")
		}
		select {
		case far.frames <- &transport.Frame{Bookmark: &transport.Bookmark{Revision: 20, Control: control}}:
		default:
		}
	}
}

// TestRelayIsTriedOnce checks that a relay on the proxy's own machine, which is the nearest seed
// and only refers to the core, is not tried repeatedly before the core node is.
func TestRelayIsTriedOnce(t *testing.T) {
	own, core := "127.0.0.26", "127.0.0.27"
	port := controlplanetest.FreePort(t, own, core)
	set := controlplanetest.Settings(t, own, "", 1, port, []string{own, core}, false)
	address := func(ip string) string { return set.InternalAddr(ip + ":1") }
	var relayRequests atomic.Int64
	controlplanetest.StartFakeNode(t, address(own), func(conn *transport.Conn) {
		relayRequests.Add(1)
		known := []transport.ControlNode{{Addr: address(core), API: core + ":1", Zone: set.Zone}}
		for err := conn.Send(&transport.Frame{Bookmark: &transport.Bookmark{Control: known}}); err == nil; {
			_, err = conn.Receive(0)
		}
	})
	newStubControlNode(t, address(core), func(request *transport.Request) *transport.Response {
		return &transport.Response{ID: request.ID, Revision: max(1, request.Least)}
	})
	p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	s := p.findStream(ctx, "", transport.Request{ID: 1, List: true, Packs: true})
	if s == nil {
		t.Fatalf("found no stream of the core; the relay was tried %d times", relayRequests.Load())
	}
	s.close()
	if n := relayRequests.Load(); s.addr != address(core) || n > 2 {
		t.Errorf("found a stream of %s, want the core; the relay was tried %d times, want at most 2", s.addr, n)
	}
}
