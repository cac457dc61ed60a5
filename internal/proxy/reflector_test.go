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

// stubControlNode is a control-plane node that answers requests for streams by a function and sends
// the frames that the test puts into frames.
type stubControlNode struct {
	streamsOpened atomic.Int64
	frames        chan *transport.Frame
	respond       func(*transport.Request) *transport.Response
}

// newStubControlNode starts a control-plane node that ends with the test.
func newStubControlNode(t *testing.T, addr string, answer func(*transport.Request) *transport.Response) *stubControlNode {
	c := &stubControlNode{frames: make(chan *transport.Frame), respond: answer}
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
				a := c.respond(f.Ask)
				if a == nil {
					continue // it does not answer
				}
				if !a.Failed {
					c.streamsOpened.Add(1)
				}
				if conn.Send(&transport.Frame{Answer: a}) != nil {
					return
				}
				open <- struct{}{}
			}
		}
	}()
	var frames chan *transport.Frame // only once a stream is open
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

// TestQuietStreamIsKept: a stream that falls silent is followed on if it speaks before another is
// open, with nothing lost, and replaced by another that opens.
func TestQuietStreamIsKept(t *testing.T) {
	port := controlplanetest.FreePort(t, "127.0.0.21", "127.0.0.22")
	set := controlplanetest.Settings(t, "127.0.0.23", "", 1, port, []string{"127.0.0.21", "127.0.0.22"}, false)
	set.Bounds.DrainPropagation, set.Bounds.ConfigPropagation = 1, 1
	address := func(ip string) string { return set.InternalAddr(ip + ":1") }
	list := func(a *transport.Request) *transport.Response {
		return &transport.Response{ID: a.ID, Revision: max(1, a.Least)}
	}
	var isSilent atomic.Bool
	isSilent.Store(true)
	asked := make(chan struct{}, 100)
	first := newStubControlNode(t, address("127.0.0.21"), func(a *transport.Request) *transport.Response {
		if a.Watch {
			return nil
		}
		return list(a)
	})
	second := newStubControlNode(t, address("127.0.0.22"), func(a *transport.Request) *transport.Response {
		if a.Watch { // a stream after the first asks for the watch to go on
			asked <- struct{}{}
		}
		if isSilent.Load() {
			return nil
		}
		return list(a)
	})
	p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.ListAndWatch(ctx) }()
	defer func() { stop(); <-done }()
	until := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("never happened: " + what)
			}
		}
	}
	until("a list", func() bool { return p.counters.lists.Value() == 1 })
	<-asked // the first is silent: the second is asked, and does not answer
	e := registry.Endpoint{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Zone: "a"}
	first.frames <- &transport.Frame{Events: []registry.Event{{Type: registry.Added, Object: registry.Object{Key: e.Key(), Value: e.Encode(), ModRevision: 2}, Revision: 2}}, Bookmark: &transport.Bookmark{Revision: 2}}
	until("events of the silent stream", func() bool { return p.counters.registryRevision.Value() == 2 })
	if p.counters.streamsLost.Value() != 0 || first.streamsOpened.Load() != 1 {
		t.Errorf("the stream was closed: %d lost, opened %d times", p.counters.streamsLost.Value(), first.streamsOpened.Load())
	}
	isSilent.Store(false)
	until("the other node is followed", func() bool { return second.streamsOpened.Load() > 0 && p.counters.watches.Value() > 0 })
	second.frames <- &transport.Frame{Bookmark: &transport.Bookmark{Revision: 7}}
	until("bookmark of the other node", func() bool { return p.counters.registryRevision.Value() == 7 })
}

// TestRelaySeedsReferToCore: a proxy whose seeds are all relays is referred to the core and follows
// it.
func TestRelaySeedsReferToCore(t *testing.T) {
	port := controlplanetest.FreePort(t, "127.0.0.24", "127.0.0.25")
	set := controlplanetest.Settings(t, "127.0.0.26", "", 1, port, []string{"127.0.0.24"}, false)
	core := set.InternalAddr("127.0.0.25:1")
	newStubControlNode(t, core, func(a *transport.Request) *transport.Response { return &transport.Response{ID: a.ID, Revision: 1} })
	controlplanetest.StartFakeRelay(t, set.InternalAddr("127.0.0.24:1"), transport.ControlNode{Addr: core})
	p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.ListAndWatch(ctx) }()
	defer func() { stop(); <-done }()
	for end := time.Now().Add(30 * time.Second); p.counters.lists.Value() == 0; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the core was never found")
		}
	}
}

// TestDeadNearerNodeKeepsStream: a nearer node that is named and does not answer costs the present
// stream nothing; one that answers replaces it.
func TestDeadNearerNodeKeepsStream(t *testing.T) {
	port := controlplanetest.FreePort(t, "127.0.0.41", "127.0.0.42")
	set := controlplanetest.Settings(t, "127.0.0.43", "", 1, port, []string{"127.0.0.41"}, false)
	set.Bounds.ContactWindow = 0.2
	address := func(ip string) string { return set.InternalAddr(ip + ":1") }
	list := func(a *transport.Request) *transport.Response {
		return &transport.Response{ID: a.ID, Revision: max(1, a.Least)}
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
		time.Sleep(set.Bounds.ContactWindow.Duration() / 4) // a nearer node is sought once in each contact window
	}
	if far.streamsOpened.Load() != 1 {
		t.Errorf("the stream was opened %d times", far.streamsOpened.Load())
	}
	near := newStubControlNode(t, address("127.0.0.42"), list)
	for end := time.Now().Add(30 * time.Second); near.streamsOpened.Load() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the nearer node was never followed")
		}
		select {
		case far.frames <- &transport.Frame{Bookmark: &transport.Bookmark{Revision: 20, Control: control}}:
		default:
		}
	}
}

// TestRelayIsAskedOnce: a relay on this machine that is named as a seed is nearest of all and only
// refers to the core. It is not asked over and over again before the core is.
func TestRelayIsAskedOnce(t *testing.T) {
	own, core := "127.0.0.26", "127.0.0.27"
	port := controlplanetest.FreePort(t, own, core)
	set := controlplanetest.Settings(t, own, "", 1, port, []string{own, core}, false)
	address := func(ip string) string { return set.InternalAddr(ip + ":1") }
	var asked atomic.Int64
	controlplanetest.StartFakeNode(t, address(own), func(conn *transport.Conn) {
		asked.Add(1)
		known := []transport.ControlNode{{Addr: address(core), API: core + ":1", Zone: set.Zone}}
		for err := conn.Send(&transport.Frame{Bookmark: &transport.Bookmark{Control: known}}); err == nil; {
			_, err = conn.Receive(0)
		}
	})
	newStubControlNode(t, address(core), func(a *transport.Request) *transport.Response {
		return &transport.Response{ID: a.ID, Revision: max(1, a.Least)}
	})
	p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	s := p.findStream(ctx, "", transport.Request{ID: 1, List: true, Packs: true})
	if s == nil {
		t.Fatalf("the core was never followed, the relay was asked %d times", asked.Load())
	}
	s.close()
	if n := asked.Load(); s.addr != address(core) || n > 2 {
		t.Errorf("followed %s, asked the relay %d times", s.addr, n)
	}
}
