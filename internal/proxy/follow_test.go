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

// stubControlNode is a stand-in control-plane node: it answers lists and watches and sends
// what it is told to.
type stubControlNode struct {
	streamsOpened atomic.Int64
	frames        chan *transport.Frame
	respond       func(*transport.Request) *transport.Response
}

func newStubControlNode(t *testing.T, addr string, answer func(*transport.Request) *transport.Response) *stubControlNode {
	c := &stubControlNode{frames: make(chan *transport.Frame), respond: answer}
	controlplanetest.StartFakeNode(t, addr, c.serve)
	return c
}

func (c *stubControlNode) serve(conn *transport.Conn) {
	gone, open := make(chan struct{}), make(chan struct{}, 1)
	go func() {
		defer close(gone)
		for {
			f, err := conn.Receive(0)
			if err != nil {
				return
			}
			if f.Ask != nil {
				a := c.respond(f.Ask)
				if a == nil {
					continue // it hears and does not answer
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
	var say chan *transport.Frame // only once a stream is open
	for {
		select {
		case <-open:
			say = c.frames
		case f := <-say:
			if conn.Send(f) != nil {
				return
			}
		case <-gone:
			return
		}
	}
}

// TestQuietStreamIsKept: a stream that falls quiet is followed on if it speaks
// before another is open, with nothing lost; and left for another that opens.
func TestQuietStreamIsKept(t *testing.T) {
	port := controlplanetest.FreePort(t, "127.0.0.21", "127.0.0.22")
	set := controlplanetest.Settings(t, "127.0.0.23", "", 1, port, []string{"127.0.0.21", "127.0.0.22"}, false)
	set.Bounds.DrainApply, set.Bounds.ConfigApply = 1, 1
	address := func(ip string) string { return set.InternalAddr(ip + ":1") }
	list := func(a *transport.Request) *transport.Response {
		return &transport.Response{ID: a.ID, Revision: max(1, a.Least)}
	}
	var deaf atomic.Bool
	deaf.Store(true)
	asked := make(chan struct{}, 100)
	first := newStubControlNode(t, address("127.0.0.21"), func(a *transport.Request) *transport.Response {
		if a.Watch {
			return nil
		}
		return list(a)
	})
	second := newStubControlNode(t, address("127.0.0.22"), func(a *transport.Request) *transport.Response {
		if a.Watch { // only a stream that is sought anew asks to go on
			asked <- struct{}{}
		}
		if deaf.Load() {
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
				t.Fatal("never came: " + what)
			}
		}
	}
	until("a list", func() bool { return p.counters.lists.Value() == 1 })
	<-asked // the first has been quiet: the second is asked, and does not answer
	e := registry.Endpoint{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Zone: "a"}
	first.frames <- &transport.Frame{Events: []registry.Event{{Type: registry.Added, Object: registry.Object{Key: e.Key(), Value: e.Encode(), ModRevision: 2}, Revision: 2}}, Bookmark: &transport.Bookmark{Revision: 2}}
	until("what the quiet stream said", func() bool { return p.counters.registryRevision.Value() == 2 })
	if p.counters.streamsLost.Value() != 0 || first.streamsOpened.Load() != 1 {
		t.Errorf("the stream was broken off: %d lost, opened %d times", p.counters.streamsLost.Value(), first.streamsOpened.Load())
	}
	deaf.Store(false)
	until("the other node is followed", func() bool { return second.streamsOpened.Load() > 0 && p.counters.watches.Value() > 0 })
	second.frames <- &transport.Frame{Bookmark: &transport.Bookmark{Revision: 7}}
	until("what the other node said", func() bool { return p.counters.registryRevision.Value() == 7 })
}

// TestSeedsAreRelays: a proxy whose seeds are all relays is told where the core is
// and follows it.
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

// TestNearerThatIsDead: a nearer node that is named and does not answer costs the
// stream that is followed nothing; one that answers takes over.
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
		time.Sleep(set.Bounds.ContactWindow.Duration() / 4) // what is nearer is sought at each span of contact
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

// TestRelayIsAskedOnce: a relay on the own machine that is named as a seed lies
// nearest of all and only points to the core. It is not asked over and over again
// before the core is.
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
