package controlplane

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"lichentray/coordination"
	"lichentray/internal/apierror"
	"lichentray/internal/controlplanetest"
	"lichentray/internal/metrics"
	"lichentray/internal/settings"
	"lichentray/internal/transport"
	"lichentray/raft"
	"lichentray/registry"
	"lichentray/watchcache"
)

const configurationFormat = `{"config_version":%d,"listeners":[],"clusters":[{"name":"s","health_check_path":"/health"}]}`

type testCluster struct {
	t                         *testing.T
	dir                       string
	controlPort, internalPort int
	ips                       []string
	nodes                     []*Node
	configure                 func(*settings.Settings)
}

func newTestCluster(t *testing.T, n int, tune func(*settings.Settings)) *testCluster {
	g := &testCluster{t: t, dir: t.TempDir(), configure: tune}
	for i := range n {
		g.ips = append(g.ips, fmt.Sprint("127.0.0.", 11+i))
	}
	g.controlPort, g.internalPort = controlplanetest.FreePort(t, g.ips...), controlplanetest.FreePort(t, g.ips...)
	for i := range n {
		g.nodes = append(g.nodes, nil)
		g.start(i, true)
	}
	t.Cleanup(func() {
		for _, l := range g.nodes {
			l.Close()
		}
	})
	return g
}

func (g *testCluster) dataDirectory(i int) string { return filepath.Join(g.dir, fmt.Sprint(i)) }

func (g *testCluster) start(i int, bootstrap bool) {
	g.t.Helper()
	if err := os.MkdirAll(g.dataDirectory(i), 0o700); err != nil {
		g.t.Fatal(err)
	}
	set := controlplanetest.Settings(g.t, g.ips[i], g.dataDirectory(i), g.controlPort, g.internalPort, g.ips[:min(3, len(g.ips))], bootstrap)
	if g.configure != nil {
		g.configure(set)
	}
	var err error
	for range 100 { // the port may still be held by the life before
		if g.nodes[i], err = Start(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry()); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.t.Fatal(err)
}

// eventually waits for what must come, far longer than it takes.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("never came: " + what)
}

// storedObject returns an object as a node holds it, empty if it holds none.
func storedObject(n *Node, key string) (object registry.Object) {
	n.state.view(func(r *replicatedState) { object, _ = r.store.Get(key) })
	return object
}

func (g *testCluster) leader() *Node {
	for _, l := range g.nodes {
		if l.Status().Role == raft.Leader.String() {
			return l
		}
	}
	return nil
}

// TestClusterServesCallsAndRecovers drives three nodes on the loopback through the calls, a watch that
// resumes elsewhere, the loss of a disk, and the loss of all processes.
func TestClusterServesCallsAndRecovers(t *testing.T) {
	g := newTestCluster(t, 3, nil)
	l := g.nodes
	eventually(t, "a configuration is taken", func() bool { return l[0].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 5))) == nil })

	// An older version is acknowledged and changes nothing; an invalid one is not.
	if err := l[1].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 4))); err != nil {
		t.Errorf("older version: %v", err)
	}
	if err := l[2].ReplaceConfiguration([]byte(`{"config_version":9`)); apierror.KindOf(err) != apierror.InvalidConfiguration {
		t.Errorf("a cut-short configuration got %v", err)
	}
	for i := range l {
		if got, err := l[i].Configuration(); err != nil || string(got) != fmt.Sprintf(configurationFormat, 5) {
			t.Errorf("node %d reads %q, %v", i, got, err)
		}
	}

	// A beat creates, an ordinary one writes nothing, a drain updates, a
	// sign-off deletes, and a late beat brings nothing back.
	e := registry.Endpoint{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Capacity: 2, Sequence: 1}
	if err := l[0].Heartbeat(e); err != nil {
		t.Fatal(err)
	}
	stream, mirror := watchAsProxy(t, l[1].self.Addr, watchcache.NewMirror())
	// The beat is acknowledged once it is committed; this node may apply it later.
	if err := l[0].ReadIndex(); err != nil {
		t.Fatal(err)
	}
	before := l[0].Status().Revision
	e.Sequence = 2
	if err := l[0].Heartbeat(e); err != nil || l[0].Status().Revision != before {
		t.Errorf("an ordinary beat: %v, revision %d then %d", err, before, l[0].Status().Revision)
	}
	stream.Close() // the proxy is away while the endpoint drains and leaves
	e.Sequence, e.Draining = 4, true
	if err := l[1].Heartbeat(e); err != nil {
		t.Fatal(err)
	}
	if err := l[2].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 6))); err != nil {
		t.Fatal(err)
	}
	if err := l[2].Deregister("i-1"); err != nil {
		t.Fatal(err)
	}
	e.Sequence, e.Draining = 3, false
	for i := range l {
		if err := l[i].Heartbeat(e); err != nil {
			t.Error(err)
		}
	}
	if err := l[2].ReadIndex(); err != nil {
		t.Error(err)
	}
	if n := l[2].Status().Endpoints; n != 0 {
		t.Errorf("a late beat brought a departed endpoint back")
	}
	// The watch resumes at another node and brings every event that was missed.
	stream, mirror = watchAsProxy(t, l[2].self.Addr, mirror)
	if _, there := mirror.Objects()[e.Key()]; there {
		t.Error("the resumed copy still has the departed endpoint")
	}
	if o := mirror.Objects()[registry.ConfigKey]; len(o.Value) < 8 || string(o.Value[8:]) != fmt.Sprintf(configurationFormat, 6) {
		t.Error("the resumed copy lacks the configuration that came meanwhile")
	}
	stream.Close()

	// Locks, numbers, cells and a watch over all nodes.
	var last uint64
	for i := range 9 {
		r, err := l[i%3].Propose(registry.Command{Coordination: &coordination.Command{Operation: coordination.NextNumber, Name: "n"}})
		if err != nil || r.Latch.Value <= last {
			t.Fatalf("number %d after %d, %v", r.Latch.Value, last, err)
		}
		last = r.Latch.Value
	}
	got := make(chan error, 1)
	if _, err := l[0].Propose(registry.Command{Coordination: &coordination.Command{Operation: coordination.PutCell, Name: "g.a", Value: "1"}}); err != nil {
		t.Fatal(err)
	}
	go func() {
		events, rev, err := l[1].Watch("g.", 1, 20*time.Second)
		if err == nil && (len(events) != 1 || events[0].Value != "2" || rev != 2) {
			err = fmt.Errorf("watch gave %v at %d", events, rev)
		}
		got <- err
	}()
	if _, err := l[2].Propose(registry.Command{Coordination: &coordination.Command{Operation: coordination.PutCell, Name: "g.a", Value: "2"}}); err != nil {
		t.Fatal(err)
	}
	if err := <-got; err != nil {
		t.Error(err)
	}

	// A disk is lost: its node joins as a new member and the group is whole again.
	lost := 0
	if g.leader() == l[0] {
		lost = 1
	}
	oldID := l[lost].self.ID
	l[lost].Close()
	if err := os.RemoveAll(g.dataDirectory(lost)); err != nil {
		t.Fatal(err)
	}
	g.start(lost, false)
	eventually(t, "the new life votes and the old one is gone", func() bool {
		x := g.leader()
		if x == nil {
			return false
		}
		s := x.Status()
		votes := false
		for _, m := range s.Members {
			if m.ID == formatMemberID(oldID) {
				return false
			}
			votes = votes || (m.ID == formatMemberID(l[lost].self.ID) && m.IsVoter)
		}
		return votes && len(s.Members) == 3
	})

	// All processes end; their disks stay.
	for i := range l {
		l[i].Close()
	}
	for i := range l {
		g.start(i, false)
	}
	eventually(t, "the configuration is read back", func() bool {
		got, err := l[0].Configuration()
		return err == nil && string(got) == fmt.Sprintf(configurationFormat, 6)
	})
	if c, err := l[1].Cell("g.a"); err != nil || c.Value != "2" || c.Revision != 2 {
		t.Errorf("cell after the restart: %+v, %v", c, err)
	}
}

// watchAsProxy lists or resumes at a node as a proxy does, up to the newest revision.
func watchAsProxy(t *testing.T, addr string, m *watchcache.Mirror) (*transport.Conn, *watchcache.Mirror) {
	t.Helper()
	c, err := transport.Dial(context.Background(), addr, 5*time.Second, transport.Hello{Role: transport.RoleProxy, Node: "p"})
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Send(&transport.Frame{Ask: &transport.Request{ID: 1, List: !m.HasSynced(), Watch: m.HasSynced(), Least: m.Revision(), Packs: true}}); err != nil {
		t.Fatal(err)
	}
	target := uint64(0)
	for {
		f, err := c.Receive(20 * time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if a := f.Answer; a != nil {
			if a.Failed || a.Gone {
				t.Fatalf("list or watch failed: %+v", a)
			}
			target = a.Revision
			if !m.HasSynced() {
				objects, err := a.UnpackObjects()
				if err != nil {
					t.Fatal(err)
				}
				if err := m.Replace(a.Revision, objects); err != nil {
					t.Fatal(err)
				}
			}
		}
		events, err := f.UnpackEvents()
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range events {
			if _, err := m.ApplyEvent(e); err != nil {
				t.Fatal(err)
			}
		}
		if f.Bookmark != nil {
			m.ApplyBookmark(f.Bookmark.Revision)
			if target > 0 && m.Revision() >= target {
				return c, m
			}
		}
	}
}

// TestListIsEncodedOnceForManyProxies lets 300 proxies list a thousand endpoints at the same
// moment, as after a loss of power: the list is encoded once for all of them, and
// one change reaches each as one event. The figures do not depend on the machine.
func TestListIsEncodedOnceForManyProxies(t *testing.T) {
	const proxies, endpoints = 300, 1000
	g := newTestCluster(t, 1, nil)
	l := g.nodes[0]
	var all registry.Txn
	for i := range endpoints {
		e := registry.Endpoint{ID: fmt.Sprintf("i-%04d", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: "z", Capacity: 3}
		all.Then = append(all.Then, registry.Write{Key: e.Key(), Value: e.Encode()})
	}
	eventually(t, "a thousand endpoints are known", func() bool { _, err := l.Propose(registry.Command{Txn: &all}); return err == nil })

	type copyOf struct {
		conn *transport.Conn
		m    *watchcache.Mirror
	}
	copies := make(chan copyOf, proxies)
	gate := make(chan struct{}, 25) // a slow machine does not get to all of them in time
	for range proxies {
		go func() {
			var got copyOf
			gate <- struct{}{}
			defer func() { <-gate; copies <- got }()
			got.conn, got.m = watchAsProxy(t, l.self.Addr, watchcache.NewMirror())
		}()
	}
	var got []copyOf
	for range proxies {
		c := <-copies
		if c.conn == nil {
			t.FailNow() // follow has said why
		}
		t.Cleanup(c.conn.Close)
		got = append(got, c)
	}
	if n := l.metrics.listsEncoded.Value(); n != 1 {
		t.Errorf("one list was encoded %d times for %d proxies", n, proxies)
	}
	if l.metrics.lists.Value() != proxies {
		t.Errorf("%d lists for %d proxies", l.metrics.lists.Value(), proxies)
	}

	drained := registry.Endpoint{ID: "i-0007", Service: "s", Address: "10.0.0.7:80", Zone: "z", Capacity: 3, Draining: true, Sequence: 1}
	eventually(t, "the drain is acknowledged", func() bool { return l.Heartbeat(drained) == nil })
	key := drained.Key()
	want := storedObject(l, key)
	for i, c := range got {
		events := 0
		for c.m.Objects()[key].ModRevision != want.ModRevision {
			f, err := c.conn.Receive(20 * time.Second)
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range f.Events {
				events++
				if _, err := c.m.ApplyEvent(e); err != nil {
					t.Fatal(err)
				}
			}
		}
		if events != 1 || len(c.m.Objects()) != endpoints {
			t.Fatalf("proxy %d: %d events for one change, %d endpoints", i, events, len(c.m.Objects()))
		}
	}
	// A large configuration is encoded once for all of them, too.
	var routes strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&routes, `{"name":"r%d","route_type":"idempotent","match":{"path_prefix":"/p%d/"},"action":{"backend_service":"s","timeout_s":1,"max_attempts":2}},`, i, i*7919)
	}
	large := fmt.Sprintf(`{"config_version":9,"listeners":[{"hostname":"h","rules":[%s]}],"clusters":[{"name":"s","health_check_path":"/health"}]}`, strings.TrimSuffix(routes.String(), ","))
	if err := l.ReplaceConfiguration([]byte(large)); err != nil {
		t.Fatal(err)
	}
	for i, c := range got {
		for c.m.Objects()[registry.ConfigKey].ModRevision == 0 {
			f, err := c.conn.Receive(20 * time.Second)
			if err != nil {
				t.Fatal(err)
			}
			events, err := f.UnpackEvents()
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range events {
				if _, err := c.m.ApplyEvent(e); err != nil {
					t.Fatal(err)
				}
			}
		}
		if _, held, _ := registry.DecodeConfig(c.m.Objects()[registry.ConfigKey]); string(held) != large {
			t.Fatalf("proxy %d holds %d bytes of a configuration of %d", i, len(held), len(large))
		}
	}
	if n := l.metrics.eventsEncoded.Value(); n != 1 {
		t.Errorf("one configuration was encoded %d times for %d proxies", n, proxies)
	}
	// Who does not know the packed form, as an earlier version, gets the same list,
	// and a list after a change is a new one.
	_, m := watchAsProxy(t, l.self.Addr, watchcache.NewMirror())
	plain, _ := l.watches.listObjects(&transport.Request{ID: 1, List: true})
	if len(plain.Objects) != endpoints+1 || l.metrics.listsEncoded.Value() != 2 {
		t.Errorf("%d endpoints unpacked, encoded %d times", len(plain.Objects), l.metrics.listsEncoded.Value())
	}
	for _, o := range plain.Objects {
		if held := m.Objects()[o.Key]; !reflect.DeepEqual(held, o) {
			t.Fatalf("packed %+v, plain %+v", held, o)
		}
	}
}

// TestOneCheckAtATime: a storm of configurations is checked one by one; who waits
// for too long is put off with a promise, and nothing is stored.
func TestConfigurationsAreValidatedOneAtATime(t *testing.T) {
	g := newTestCluster(t, 1, nil)
	l := g.nodes[0]
	eventually(t, "a configuration is taken", func() bool { return l.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 5))) == nil })
	l.configs.validationSlot <- struct{}{} // somebody's check takes long
	if err := l.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 6))); apierror.KindOf(err) != apierror.Unavailable {
		t.Errorf("while another is checked: %v", err)
	}
	if got, err := l.Configuration(); err != nil || string(got) != fmt.Sprintf(configurationFormat, 5) {
		t.Errorf("held is %q, %v", got, err)
	}
	<-l.configs.validationSlot
	done := make(chan error, 8)
	for v := range 8 {
		go func() {
			err := l.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 7+v)))
			for apierror.KindOf(err) == apierror.Unavailable { // a slow machine puts it off
				err = l.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 7+v)))
			}
			done <- err
		}()
	}
	for range 8 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if got, err := l.Configuration(); err != nil || string(got) != fmt.Sprintf(configurationFormat, 14) || l.metrics.configsDeferred.Value() < 1 {
		t.Errorf("held is %q, %v; %d put off", got, err, l.metrics.configsDeferred.Value())
	}
}

// TestListsAreSpread: a proxy that would list at a node of another zone is sent to
// the one of its own while that is up, and lists where it is otherwise.
func TestListIsRedirectedToNodeOfOwnZone(t *testing.T) {
	zones := map[string]string{"z1": "r", "z2": "r", "z3": "r"}
	g := newTestCluster(t, 3, func(s *settings.Settings) {
		s.RegionByZone, s.Zone = zones, fmt.Sprint("z", s.IPAddress[len(s.IPAddress)-1:])
	})
	l := g.nodes
	eventually(t, "a configuration is taken", func() bool { return l[0].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 1))) == nil })
	ask := func(zone string) *transport.Response {
		a, _ := l[0].watches.listOrWatch(&transport.Request{ID: 1, List: true, Packs: true, Zone: zone})
		return a
	}
	eventually(t, "a proxy of another zone is sent there", func() bool {
		for _, n := range ask("z3").Nearer {
			if n.Addr == l[2].self.Addr && n.Zone == "z3" {
				return true
			}
		}
		return false
	})
	for _, zone := range []string{"", "z1", "z9"} {
		if a := ask(zone); a.Failed || a.Nearer != nil || a.Packed == nil {
			t.Errorf("asked from zone %q: failed %v, sent to %v", zone, a.Failed, a.Nearer)
		}
	}
	l[2].Close()
	eventually(t, "with its node gone the proxy lists here", func() bool { a := ask("z3"); return !a.Failed && a.Packed != nil })
	g.start(2, false)
}

// TestPeerThatShowsItself: a link that waits before its next attempt dials at once
// when the peer connects here, as after a loss of power.
func TestIncomingPeerConnectionTriggersRedial(t *testing.T) {
	g := newTestCluster(t, 1, func(s *settings.Settings) { s.Bounds.ContactWindow = 1200 }) // an attempt every 12 s and more
	l := g.nodes[0]
	addr := fmt.Sprintf("127.0.0.50:%d", controlplanetest.FreePort(t, "127.0.0.50"))
	k := l.peers.connection(addr) // refused
	time.Sleep(200 * time.Millisecond)
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	if err := ln.(*net.TCPListener).SetDeadline(time.Now().Add(8 * time.Second)); err != nil {
		t.Fatal(err)
	}
	peer, err := transport.Dial(context.Background(), l.self.Addr, time.Second, transport.Hello{Role: transport.RolePeer, Node: "peer", ID: 7, Addr: addr})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(peer.Close)
	c, err := ln.Accept()
	if err != nil {
		t.Fatalf("not dialled when the peer showed itself: %v", err)
	}
	t.Cleanup(func() { c.Close() })
	eventually(t, "the link is up", k.isUp)
}

// TestDirectoryWarmUpAndEvacuation drives three nodes of a global tier: directory, leases of proxies,
// cold marks, evacuations that outlive the loss of all processes.
func TestDirectoryWarmUpAndEvacuation(t *testing.T) {
	g := newTestCluster(t, 3, func(s *settings.Settings) {
		s.RegionByZone = map[string]string{"a": "r1", "b": "r2"}
		s.Bounds.SlowStartOvershoot, s.Bounds.SlowStartSlack, s.Bounds.MaxTTL = 1.5, 8, 5
		s.Bounds.AckTimeout = 8
		s.HeartbeatInterval = 0.2
	})
	l := g.nodes
	config := `{"config_version":1,"listeners":[{"hostname":"h","rules":[]}],"clusters":[{"name":"s","health_check_path":"/health","cold_rate_s":6}]}`
	eventually(t, "a configuration is taken", func() bool { return l[0].ReplaceConfiguration([]byte(config)) == nil })

	// A proxy registers over its stream, says that it leaves, and is dropped once
	// it is not heard of.
	stream, _ := watchAsProxy(t, l[1].self.Addr, watchcache.NewMirror())
	self := &registry.Proxy{Name: "p", Address: "10.0.0.1:80", Zone: "a", Weight: 5}
	places := func(n *Node) string {
		got, ttl, err := n.Resolve("10.9.9.9", "h", "r1", "a")
		return fmt.Sprint(got, ttl, err != nil)
	}
	if got := places(l[0]); got != "[] 0s true" {
		t.Errorf("without proxies: %s", got)
	}
	// A node that a loaded machine has kept from its leader says that it does not know.
	eventually(t, "a host that no configuration has is refused as such", func() bool {
		_, _, err := l[0].Resolve("10.9.9.9", "other", "r1", "a")
		return apierror.KindOf(err) == apierror.NoRoute
	})
	report := func() {
		if err := stream.Send(&transport.Frame{Report: &transport.ProxyReport{Seq: 1, Self: self}}); err != nil {
			t.Fatal(err)
		}
	}
	report()
	for i := range l {
		eventually(t, "the directory knows the proxy", func() bool { return places(l[i]) == "[10.0.0.1:80] 1.25s false" })
	}
	self.Leaving = true
	report()
	eventually(t, "its leaving is known", func() (isDraining bool) {
		l[2].state.view(func(r *replicatedState) { isDraining = r.proxies[registry.ProxyPrefix+"p"].Draining })
		return isDraining
	})
	stream.Close()
	eventually(t, "its lease runs out", func() bool { return places(l[2]) == "[] 0s true" })

	// A beat that tells of a cold start marks the endpoint, a later one ends it.
	e := registry.Endpoint{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Zone: "b", Capacity: 2, Sequence: 1, WarmUpSeconds: 3}
	marked := func() bool {
		x, err := registry.DecodeEndpoint(storedObject(l[0], e.Key()))
		return err == nil && x.WarmingUp
	}
	if err := l[0].Heartbeat(e); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the cold start is known", marked)
	e.Sequence, e.WarmUpSeconds = 2, 0
	if err := l[0].Heartbeat(e); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the end of the cold start is known", func() bool { return !marked() })

	// Evacuations: odd orders are harmless, what is acknowledged stays.
	waits := func() bool { return true }
	if err := l[1].Evacuate("b", true, func() bool { return false }); apierror.KindOf(err) != apierror.Unavailable {
		t.Errorf("an order whose caller has gone: %v", err)
	}
	if zones, err := l[1].Evacuations(); err != nil || len(zones) != 0 {
		t.Errorf("after an order whose caller has gone: %v, %v", zones, err)
	}
	if err := l[0].Evacuate("nowhere", true, waits); apierror.KindOf(err) != apierror.BadRequest {
		t.Errorf("an unknown zone: %v", err)
	}
	for _, begin := range []bool{false, true, true} {
		eventually(t, "the order is acknowledged", func() bool { return l[1].Evacuate("b", begin, waits) == nil })
	}
	for i := range l {
		l[i].Close()
	}
	for i := range l {
		g.start(i, false)
	}
	eventually(t, "the evacuation is read back", func() bool {
		got, err := l[2].Evacuations()
		return err == nil && got["b"] == registry.Evacuated
	})
	// A second operator's order counts once it can be no repeat, and the zone is
	// back only when both are taken back.
	order := func(begin bool) (now registry.Evacuation) {
		// Without a clear answer it is sent again, as an operator does.
		eventually(t, "an order is acknowledged", func() bool { return l[0].Evacuate("b", begin, waits) == nil })
		eventually(t, "a read point", func() bool { return l[0].ReadIndex() == nil })
		return registry.DecodeEvacuation(storedObject(l[0], registry.EvacuationPrefix+"b"))
	}
	if now := order(true); now.BeginCount != 1 {
		t.Errorf("a repeat after the loss of all: %+v", now)
	}
	eventually(t, "a second order counts", func() bool { return order(true).BeginCount == 2 })
	if now := order(false); now.FinishCount != 1 || now.State() != registry.Evacuated {
		t.Errorf("one finish of two: %+v", now)
	}
	eventually(t, "the second finish counts", func() bool { return order(false).FinishCount == 2 })
	if got, err := l[1].Evacuations(); err != nil || got["b"] != registry.Returning {
		t.Errorf("after the finish: %v, %v", got, err)
	}
	eventually(t, "the zone is in ordinary use", func() bool {
		got, err := l[1].Evacuations()
		return err == nil && len(got) == 0
	})
}

// TestVotersAreSpread: with five voters over three regions, no region may hold a
// majority of them, and no zone more than one.
func TestVotersAreSpreadOverRegions(t *testing.T) {
	zones := map[string]string{"0": "r0", "1": "r0", "2": "r0", "3": "r1", "4": "r1", "5": "r2", "6": "r2"}
	g := newTestCluster(t, 7, func(s *settings.Settings) {
		s.RegionByZone, s.Zone = zones, fmt.Sprint(s.IPAddress[len(s.IPAddress)-1]-'1')
		s.FaultTolerance.Machines, s.FaultTolerance.Regions = 2, 1
	})
	eventually(t, "five voters, two in a region at the most", func() bool {
		x := g.leader()
		if x == nil {
			return false
		}
		in, n := map[string]int{}, 0
		for _, m := range x.Status().Members {
			if m.IsVoter {
				n++
				in[zones[x.peers.zoneOf(m.Addr)]]++
			}
		}
		return n == 5 && in["r0"] == 2 && in["r1"]+in["r2"] == 3 && in["r1"] > 0 && in["r2"] > 0
	})
}

// TestOutOfTouch: a node that has lost the others hands out nothing, confirms nothing
// that it does not know to be committed, refuses nothing for good, and says so at once.
func TestIsolatedNodeRejectsCalls(t *testing.T) {
	g := newTestCluster(t, 3, nil)
	l := g.nodes[0]
	held := []byte(fmt.Sprintf(configurationFormat, 5))
	eventually(t, "a configuration is taken", func() bool { return l.ReplaceConfiguration(held) == nil })
	e := registry.Endpoint{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Capacity: 2, Sequence: 1}
	for _, id := range []string{"i-1", "i-2"} {
		e.ID = id
		if err := l.Heartbeat(e); err != nil {
			t.Fatal(err)
		}
	}
	e.Draining = true
	if err := errors.Join(l.Heartbeat(e), l.ReadIndex()); err != nil {
		t.Fatal(err)
	}
	g.nodes[1].Close()
	g.nodes[2].Close()
	eventually(t, "the node knows that it has lost touch", func() bool { return !l.proposer.waitToRetry(time.Now().Add(time.Hour)) })

	beat := func(id string, draining bool) error {
		return l.Heartbeat(registry.Endpoint{ID: id, Service: "s", Address: "127.0.0.1:1", Capacity: 2, Sequence: 9, Draining: draining})
	}
	_, readErr := l.Configuration()
	_, cellErr := l.Cell("c")
	_, _, watchErr := l.Watch("g.", 0, time.Second)
	_, numberErr := l.Propose(registry.Command{Coordination: &coordination.Command{Operation: coordination.NextNumber, Name: "n"}})
	for what, err := range map[string]error{
		"a configuration is read":     readErr,
		"a cell is read":              cellErr,
		"a watch is opened":           watchErr,
		"a number is drawn":           numberErr,
		"an ordinary beat":            beat("i-1", false),
		"a drain that is new":         beat("i-1", true),
		"an endpoint that is new":     beat("i-3", false),
		"a sign-off":                  l.Deregister("i-1"),
		"a higher configuration":      l.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 6))),
		"a lower one that is unknown": l.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 4))),
	} {
		if apierror.KindOf(err) != apierror.Unavailable {
			t.Errorf("%s: %v", what, err)
		}
	}
	if a, _ := l.watches.listOrWatch(&transport.Request{ID: 1, List: true}); !a.Failed || l.consensus.isUpToDate() {
		t.Errorf("a list: %+v; in touch: %v", a, l.consensus.isUpToDate())
	}
	// What is committed stays true.
	for what, err := range map[string]error{"the configuration held, again": l.ReplaceConfiguration(held), "a drain that was acknowledged": beat("i-2", true)} {
		if err != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
	if err := l.ReplaceConfiguration(append(held, ' ')); apierror.KindOf(err) != apierror.Conflict {
		t.Errorf("another content under the version held: %v", err)
	}
	// It does not count as in touch when it starts anew, from its first moment on.
	l.Close()
	g.start(0, false)
	if l = g.nodes[0]; l.consensus.isUpToDate() {
		t.Error("a node that has just started and heard nobody counts as in touch")
	}
	// What is committed stays true, but it knows no commit yet.
	eventually(t, "the node knows that it has lost touch", func() bool { return !l.proposer.waitToRetry(time.Now().Add(time.Hour)) })
	if err := l.ReplaceConfiguration(held); apierror.KindOf(err) != apierror.Unavailable {
		t.Errorf("the configuration held, again, before anything is known to be committed: %v", err)
	}
}

// TestJoinThroughARelay: a node whose only seed is a relay is told of a node of the
// core that does not lead, and joins all the same.
func TestJoinThroughRelay(t *testing.T) {
	g := newTestCluster(t, 3, nil)
	var follower *Node
	eventually(t, "a leader and one that follows it", func() bool {
		lead := g.leader()
		for _, n := range g.nodes {
			if s := n.Status(); lead != nil && n != lead && s.Leader == lead.Status().ID {
				follower = n
			}
		}
		return follower != nil
	})
	const relay, joins = "127.0.0.28", "127.0.0.29"
	controlplanetest.StartFakeRelay(t, fmt.Sprintf("%s:%d", relay, g.internalPort), transport.ControlNode{Addr: follower.self.Addr})
	set := controlplanetest.Settings(t, joins, t.TempDir(), g.controlPort, g.internalPort, []string{relay}, false)
	l, err := Start(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	eventually(t, "the node is a member", func() bool {
		for _, m := range l.Status().Members {
			if m.ID == formatMemberID(l.self.ID) {
				return true
			}
		}
		return false
	})
}
