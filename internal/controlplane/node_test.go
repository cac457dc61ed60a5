package controlplane

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
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
	"lichentray/registry"
	"lichentray/watchcache"
)

// TestClusterServesCallsAndRecovers drives three nodes on the loopback through the calls,
// a watch that resumes at another node, the loss of a disk, and the failure of all
// processes.
func TestClusterServesCallsAndRecovers(t *testing.T) {
	cluster := newTestCluster(t, 3, nil)
	nodes := cluster.nodes
	eventually(t, "a configuration is taken", func() bool { return nodes[0].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 5))) == nil })

	// An older version is acknowledged and changes nothing; an invalid one is not.
	if err := nodes[1].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 4))); err != nil {
		t.Errorf("older version: %v", err)
	}
	if err := nodes[2].ReplaceConfiguration([]byte(`{"config_version":9`)); apierror.KindOf(err) != apierror.InvalidConfiguration {
		t.Errorf("a truncated configuration: %v", err)
	}
	for i := range nodes {
		if got, err := nodes[i].Configuration(); err != nil || string(got) != fmt.Sprintf(configurationFormat, 5) {
			t.Errorf("node %d reads %q, %v", i, got, err)
		}
	}

	// A heartbeat registers an endpoint, an ordinary one writes nothing, one that drains
	// updates, a deregistration deletes, and a late heartbeat does not register it again.
	e := registry.Endpoint{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Capacity: 2, Sequence: 1}
	if err := nodes[0].Heartbeat(e); err != nil {
		t.Fatal(err)
	}
	stream, mirror := watchAsProxy(t, nodes[1].self.Addr, watchcache.NewMirror())
	// The heartbeat is acknowledged once it is committed; this node may apply it later.
	if err := nodes[0].ReadIndex(); err != nil {
		t.Fatal(err)
	}
	before := nodes[0].Status().Revision
	e.Sequence = 2
	if err := nodes[0].Heartbeat(e); err != nil || nodes[0].Status().Revision != before {
		t.Errorf("an ordinary heartbeat: %v, revision %d then %d", err, before, nodes[0].Status().Revision)
	}
	stream.Close() // the proxy is disconnected while the endpoint drains and leaves
	e.Sequence, e.Draining = 4, true
	if err := nodes[1].Heartbeat(e); err != nil {
		t.Fatal(err)
	}
	if err := nodes[2].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 6))); err != nil {
		t.Fatal(err)
	}
	if err := nodes[2].Deregister("i-1"); err != nil {
		t.Fatal(err)
	}
	e.Sequence, e.Draining = 3, false
	for i := range nodes {
		if err := nodes[i].Heartbeat(e); err != nil {
			t.Error(err)
		}
	}
	if err := nodes[2].ReadIndex(); err != nil {
		t.Error(err)
	}
	if n := nodes[2].Status().Endpoints; n != 0 {
		t.Errorf("a late heartbeat registered a departed endpoint again")
	}
	// The watch resumes at another node and brings every event that was missed.
	stream, mirror = watchAsProxy(t, nodes[2].self.Addr, mirror)
	if _, there := mirror.Objects()[e.Key()]; there {
		t.Error("the resumed mirror still has the departed endpoint")
	}
	if o := mirror.Objects()[registry.ConfigKey]; len(o.Value) < 8 || string(o.Value[8:]) != fmt.Sprintf(configurationFormat, 6) {
		t.Error("the resumed mirror lacks the configuration replaced meanwhile")
	}
	stream.Close()

	// Locks, numbers, cells and a watch over all nodes.
	var last uint64
	for i := range 9 {
		r, err := nodes[i%3].Propose(registry.Command{Coordination: &coordination.Command{Operation: coordination.NextNumber, Name: "n"}})
		if err != nil || r.Latch.Value <= last {
			t.Fatalf("number %d after %d, %v", r.Latch.Value, last, err)
		}
		last = r.Latch.Value
	}
	got := make(chan error, 1)
	if _, err := nodes[0].Propose(registry.Command{Coordination: &coordination.Command{Operation: coordination.PutCell, Name: "g.a", Value: "1"}}); err != nil {
		t.Fatal(err)
	}
	go func() {
		events, rev, err := nodes[1].Watch("g.", 1, 20*time.Second, stays)
		if err == nil && (len(events) != 1 || events[0].Value != "2" || rev != 2) {
			err = fmt.Errorf("watch gave %v at %d", events, rev)
		}
		got <- err
	}()
	if _, err := nodes[2].Propose(registry.Command{Coordination: &coordination.Command{Operation: coordination.PutCell, Name: "g.a", Value: "2"}}); err != nil {
		t.Fatal(err)
	}
	if err := <-got; err != nil {
		t.Error(err)
	}

	// A disk is lost: its node joins as a new member and the group is complete again.
	lost := 0
	if cluster.leader() == nodes[0] {
		lost = 1
	}
	oldID := nodes[lost].self.ID
	nodes[lost].Close()
	if err := os.RemoveAll(cluster.dataDirectory(lost)); err != nil {
		t.Fatal(err)
	}
	cluster.start(lost, false)
	eventually(t, "the new member votes and the old one is removed", func() bool {
		x := cluster.leader()
		if x == nil {
			return false
		}
		s := x.Status()
		votes := false
		for _, m := range s.Members {
			if m.ID == formatMemberID(oldID) {
				return false
			}
			votes = votes || (m.ID == formatMemberID(nodes[lost].self.ID) && m.IsVoter)
		}
		return votes && len(s.Members) == 3
	})

	// All processes end; their disks stay.
	for i := range nodes {
		nodes[i].Close()
	}
	for i := range nodes {
		cluster.start(i, false)
	}
	eventually(t, "the configuration is read back", func() bool {
		got, err := nodes[0].Configuration()
		return err == nil && string(got) == fmt.Sprintf(configurationFormat, 6)
	})
	if c, err := nodes[1].Cell("g.a"); err != nil || c.Value != "2" || c.Revision != 2 {
		t.Errorf("cell after the restart: %+v, %v", c, err)
	}
}

// TestListIsEncodedOnceForManyProxies has 300 proxies list a thousand endpoints at the
// same moment, as after a loss of power: the list is encoded once for all of them, and
// one change reaches each as one event. The figures do not depend on the machine.
func TestListIsEncodedOnceForManyProxies(t *testing.T) {
	const proxies, endpoints = 300, 1000
	cluster := newTestCluster(t, 1, nil)
	node := cluster.nodes[0]
	var all registry.Txn
	for i := range endpoints {
		e := registry.Endpoint{ID: fmt.Sprintf("i-%04d", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: "z", Capacity: 3}
		all.Then = append(all.Then, registry.Write{Key: e.Key(), Value: e.Encode()})
	}
	eventually(t, "a thousand endpoints are known", func() bool { _, err := node.Propose(registry.Command{Txn: &all}); return err == nil })

	type mirroringProxy struct {
		conn   *transport.Conn
		mirror *watchcache.Mirror
	}
	connected := make(chan mirroringProxy, proxies)
	gate := make(chan struct{}, 25) // a slow machine does not get to all of them in time
	for range proxies {
		go func() {
			var got mirroringProxy
			gate <- struct{}{}
			defer func() { <-gate; connected <- got }()
			got.conn, got.mirror = watchAsProxy(t, node.self.Addr, watchcache.NewMirror())
		}()
	}
	var got []mirroringProxy
	for range proxies {
		c := <-connected
		if c.conn == nil {
			t.FailNow() // watchAsProxy has reported why
		}
		t.Cleanup(c.conn.Close)
		got = append(got, c)
	}
	if n := node.metrics.listsEncoded.Value(); n != 1 {
		t.Errorf("one list was encoded %d times for %d proxies", n, proxies)
	}
	if node.metrics.lists.Value() != proxies {
		t.Errorf("%d lists for %d proxies", node.metrics.lists.Value(), proxies)
	}

	drained := registry.Endpoint{ID: "i-0007", Service: "s", Address: "10.0.0.7:80", Zone: "z", Capacity: 3, Draining: true, Sequence: 1}
	eventually(t, "the drain is acknowledged", func() bool { return node.Heartbeat(drained) == nil })
	key := drained.Key()
	want := storedObject(node, key)
	for i, c := range got {
		events := 0
		for c.mirror.Objects()[key].ModRevision != want.ModRevision {
			f, err := c.conn.Receive(20 * time.Second)
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range f.Events {
				events++
				if _, err := c.mirror.ApplyEvent(e); err != nil {
					t.Fatal(err)
				}
			}
		}
		if events != 1 || len(c.mirror.Objects()) != endpoints {
			t.Fatalf("proxy %d: %d events for one change, %d endpoints", i, events, len(c.mirror.Objects()))
		}
	}
	// A large configuration is encoded once for all of them, too.
	var routes strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&routes, `{"name":"r%d","route_type":"idempotent","match":{"path_prefix":"/p%d/"},"action":{"backend_service":"s","timeout_s":1,"max_attempts":2}},`, i, i*7919)
	}
	large := fmt.Sprintf(`{"config_version":9,"listeners":[{"hostname":"h","rules":[%s]}],"clusters":[{"name":"s","health_check_path":"/health"}]}`, strings.TrimSuffix(routes.String(), ","))
	if err := node.ReplaceConfiguration([]byte(large)); err != nil {
		t.Fatal(err)
	}
	for i, c := range got {
		for c.mirror.Objects()[registry.ConfigKey].ModRevision == 0 {
			f, err := c.conn.Receive(20 * time.Second)
			if err != nil {
				t.Fatal(err)
			}
			events, err := f.UnpackEvents()
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range events {
				if _, err := c.mirror.ApplyEvent(e); err != nil {
					t.Fatal(err)
				}
			}
		}
		if _, held, _ := registry.DecodeConfig(c.mirror.Objects()[registry.ConfigKey]); string(held) != large {
			t.Fatalf("proxy %d holds %d bytes of a configuration of %d", i, len(held), len(large))
		}
	}
	if n := node.metrics.eventsEncoded.Value(); n != 1 {
		t.Errorf("one configuration was encoded %d times for %d proxies", n, proxies)
	}
	// A proxy that does not know the packed form, of an earlier version, gets the same
	// list, and a list after a change is encoded anew.
	_, m := watchAsProxy(t, node.self.Addr, watchcache.NewMirror())
	plain, _ := node.watches.listObjects(&transport.Request{ID: 1, List: true})
	if len(plain.Objects) != endpoints+1 || node.metrics.listsEncoded.Value() != 2 {
		t.Errorf("%d endpoints unpacked, encoded %d times", len(plain.Objects), node.metrics.listsEncoded.Value())
	}
	for _, o := range plain.Objects {
		if held := m.Objects()[o.Key]; !reflect.DeepEqual(held, o) {
			t.Fatalf("packed %+v, plain %+v", held, o)
		}
	}
}

// TestConfigurationsAreValidatedOneAtATime: of many configurations at once one is
// validated at a time; one that waits for too long is rejected as unavailable, and
// nothing is stored.
func TestConfigurationsAreValidatedOneAtATime(t *testing.T) {
	cluster := newTestCluster(t, 1, nil)
	node := cluster.nodes[0]
	eventually(t, "a configuration is taken", func() bool { return node.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 5))) == nil })
	node.configs.validationSlot <- struct{}{} // another validation takes long
	if err := node.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 6))); apierror.KindOf(err) != apierror.Unavailable {
		t.Errorf("while another is validated: %v", err)
	}
	if got, err := node.Configuration(); err != nil || string(got) != fmt.Sprintf(configurationFormat, 5) {
		t.Errorf("stored is %q, %v", got, err)
	}
	<-node.configs.validationSlot
	done := make(chan error, 8)
	for v := range 8 {
		go func() {
			err := node.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 7+v)))
			for apierror.KindOf(err) == apierror.Unavailable { // a slow machine defers it
				err = node.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 7+v)))
			}
			done <- err
		}()
	}
	for range 8 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if got, err := node.Configuration(); err != nil || string(got) != fmt.Sprintf(configurationFormat, 14) || node.metrics.configsDeferred.Value() < 1 {
		t.Errorf("stored is %q, %v; %d deferred", got, err, node.metrics.configsDeferred.Value())
	}
}

// TestListIsRedirectedToNodeOfOwnZone: a proxy that would list at a node of another zone
// is redirected to the one of its own while that is up, and lists here otherwise.
func TestListIsRedirectedToNodeOfOwnZone(t *testing.T) {
	zones := map[string]string{"z1": "r", "z2": "r", "z3": "r"}
	cluster := newTestCluster(t, 3, func(s *settings.Settings) {
		s.RegionByZone, s.Zone = zones, fmt.Sprint("z", s.IPAddress[len(s.IPAddress)-1:])
	})
	nodes := cluster.nodes
	eventually(t, "a configuration is taken", func() bool { return nodes[0].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 1))) == nil })
	ask := func(zone string) *transport.Response {
		a, _ := nodes[0].watches.listOrWatch(&transport.Request{ID: 1, List: true, Packs: true, Zone: zone})
		return a
	}
	eventually(t, "a proxy of another zone is redirected", func() bool {
		for _, n := range ask("z3").Nearer {
			if n.Addr == nodes[2].self.Addr && n.Zone == "z3" {
				return true
			}
		}
		return false
	})
	for _, zone := range []string{"", "z1", "z9"} {
		if a := ask(zone); a.Failed || a.Nearer != nil || a.Packed == nil {
			t.Errorf("asked from zone %q: failed %v, redirected to %v", zone, a.Failed, a.Nearer)
		}
	}
	nodes[2].Close()
	eventually(t, "with its node gone the proxy lists here", func() bool { a := ask("z3"); return !a.Failed && a.Packed != nil })
	cluster.start(2, false)
}

// TestIncomingPeerConnectionTriggersRedial: a connection that waits before its next
// attempt dials at once when the peer connects here, as after a loss of power.
func TestIncomingPeerConnectionTriggersRedial(t *testing.T) {
	cluster := newTestCluster(t, 1, func(s *settings.Settings) { s.Bounds.ContactWindow = 1200 }) // an attempt every 12 s and more
	node := cluster.nodes[0]
	addr := fmt.Sprintf("127.0.0.50:%d", controlplanetest.FreePort(t, "127.0.0.50"))
	k := node.peers.connection(addr) // refused
	time.Sleep(200 * time.Millisecond)
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	if err := ln.(*net.TCPListener).SetDeadline(time.Now().Add(8 * time.Second)); err != nil {
		t.Fatal(err)
	}
	peer, err := transport.Dial(context.Background(), node.self.Addr, time.Second, transport.Hello{Role: transport.RolePeer, Node: "peer", ID: 7, Addr: addr})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(peer.Close)
	c, err := ln.Accept()
	if err != nil {
		t.Fatalf("not dialled when the peer connected: %v", err)
	}
	t.Cleanup(func() { c.Close() })
	eventually(t, "the connection is up", k.isUp)
}

// TestDirectoryWarmUpAndEvacuation drives three nodes of a global tier: directory, leases
// of proxies, endpoints that warm up, evacuations that outlive the failure of all
// processes.
func TestDirectoryWarmUpAndEvacuation(t *testing.T) {
	cluster := newTestCluster(t, 3, func(s *settings.Settings) {
		s.RegionByZone = map[string]string{"a": "r1", "b": "r2"}
		s.Bounds.SlowStartOvershoot, s.Bounds.SlowStartSlack, s.Bounds.MaxTTL = 1.5, 8, 5
		s.Bounds.AckTimeout = 8
		s.HeartbeatInterval = 0.2
	})
	nodes := cluster.nodes
	config := `{"config_version":1,"listeners":[{"hostname":"h","rules":[]}],"clusters":[{"name":"s","health_check_path":"/health","cold_rate_s":6}]}`
	eventually(t, "a configuration is taken", func() bool { return nodes[0].ReplaceConfiguration([]byte(config)) == nil })

	// A proxy registers by its reports, begins to drain, and is removed once its lease
	// has run out.
	stream, _ := watchAsProxy(t, nodes[1].self.Addr, watchcache.NewMirror())
	self := &registry.Proxy{Name: "p", Address: "10.0.0.1:80", Zone: "a", Weight: 5}
	places := func(n *Node) string {
		got, ttl, err := n.Resolve("10.9.9.9", "h", "r1", "a")
		return fmt.Sprint(got, ttl, err != nil)
	}
	if got := places(nodes[0]); got != "[] 0s true" {
		t.Errorf("without proxies: %s", got)
	}
	// A node that a loaded machine has kept from its leader answers that it does not know.
	eventually(t, "a host that no configuration has is rejected as such", func() bool {
		_, _, err := nodes[0].Resolve("10.9.9.9", "other", "r1", "a")
		return apierror.KindOf(err) == apierror.NoRoute
	})
	report := func() {
		if err := stream.Send(&transport.Frame{Report: &transport.ProxyReport{Seq: 1, Self: self}}); err != nil {
			t.Fatal(err)
		}
	}
	report()
	for i := range nodes {
		eventually(t, "the directory knows the proxy", func() bool { return places(nodes[i]) == "[10.0.0.1:80] 1.25s false" })
	}
	self.Leaving = true
	report()
	eventually(t, "its draining is known", func() (isDraining bool) {
		nodes[2].state.view(func(r *replicatedState) { isDraining = r.proxies[registry.ProxyPrefix+"p"].Draining })
		return isDraining
	})
	stream.Close()
	eventually(t, "its lease runs out", func() bool { return places(nodes[2]) == "[] 0s true" })

	// A heartbeat marks the endpoint as warming up, a later one ends that.
	e := registry.Endpoint{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Zone: "b", Capacity: 2, Sequence: 1, WarmUpSeconds: 3}
	marked := func() bool {
		x, err := registry.DecodeEndpoint(storedObject(nodes[0], e.Key()))
		return err == nil && x.WarmingUp
	}
	if err := nodes[0].Heartbeat(e); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the warm-up is known", marked)
	e.Sequence, e.WarmUpSeconds = 2, 0
	if err := nodes[0].Heartbeat(e); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the end of the warm-up is known", func() bool { return !marked() })

	// Evacuations: orders without effect are harmless, what is acknowledged stays.
	waits := func() bool { return true }
	if err := nodes[1].Evacuate("b", true, func() bool { return false }); apierror.KindOf(err) != apierror.Unavailable {
		t.Errorf("an order whose caller has gone: %v", err)
	}
	if zones, err := nodes[1].Evacuations(); err != nil || len(zones) != 0 {
		t.Errorf("after an order whose caller has gone: %v, %v", zones, err)
	}
	if err := nodes[0].Evacuate("nowhere", true, waits); apierror.KindOf(err) != apierror.BadRequest {
		t.Errorf("an unknown zone: %v", err)
	}
	for _, begin := range []bool{false, true, true} {
		eventually(t, "the order is acknowledged", func() bool { return nodes[1].Evacuate("b", begin, waits) == nil })
	}
	for i := range nodes {
		nodes[i].Close()
	}
	for i := range nodes {
		cluster.start(i, false)
	}
	eventually(t, "the evacuation is read back", func() bool {
		got, err := nodes[2].Evacuations()
		return err == nil && got["b"] == registry.Evacuated
	})
	// A second operator's order counts once it can be no repeat, and the zone is
	// back only when both are taken back.
	order := func(begin bool) (now registry.Evacuation) {
		// Without a clear outcome it is sent again, as an operator does.
		eventually(t, "an order is acknowledged", func() bool { return nodes[0].Evacuate("b", begin, waits) == nil })
		eventually(t, "a read point", func() bool { return nodes[0].ReadIndex() == nil })
		return registry.DecodeEvacuation(storedObject(nodes[0], registry.EvacuationPrefix+"b"))
	}
	if now := order(true); now.BeginCount != 1 {
		t.Errorf("a repeat after the loss of all: %+v", now)
	}
	eventually(t, "a second order counts", func() bool { return order(true).BeginCount == 2 })
	if now := order(false); now.FinishCount != 1 || now.State() != registry.Evacuated {
		t.Errorf("one finish of two: %+v", now)
	}
	eventually(t, "the second finish counts", func() bool { return order(false).FinishCount == 2 })
	if got, err := nodes[1].Evacuations(); err != nil || got["b"] != registry.Returning {
		t.Errorf("after the finish: %v, %v", got, err)
	}
	eventually(t, "the zone is in ordinary use", func() bool {
		got, err := nodes[1].Evacuations()
		return err == nil && len(got) == 0
	})
}

// TestVotersAreSpreadOverRegions: with five voters over three regions, no region may hold a
// majority of them, and no zone more than one.
func TestVotersAreSpreadOverRegions(t *testing.T) {
	zones := map[string]string{"0": "r0", "1": "r0", "2": "r0", "3": "r1", "4": "r1", "5": "r2", "6": "r2"}
	cluster := newTestCluster(t, 7, func(s *settings.Settings) {
		s.RegionByZone, s.Zone = zones, fmt.Sprint(s.IPAddress[len(s.IPAddress)-1]-'1')
		s.FaultTolerance.Machines, s.FaultTolerance.Regions = 2, 1
	})
	eventually(t, "five voters, two in a region at the most", func() bool {
		x := cluster.leader()
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

// TestIsolatedNodeRejectsCalls: a node that has lost contact with the others returns
// nothing, acknowledges nothing that it does not know to be committed, rejects nothing
// for good, and answers so at once.
func TestIsolatedNodeRejectsCalls(t *testing.T) {
	cluster := newTestCluster(t, 3, nil)
	node := cluster.nodes[0]
	stored := []byte(fmt.Sprintf(configurationFormat, 5))
	eventually(t, "a configuration is taken", func() bool { return node.ReplaceConfiguration(stored) == nil })
	e := registry.Endpoint{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Capacity: 2, Sequence: 1}
	for _, id := range []string{"i-1", "i-2"} {
		e.ID = id
		if err := node.Heartbeat(e); err != nil {
			t.Fatal(err)
		}
	}
	e.Draining = true
	if err := errors.Join(node.Heartbeat(e), node.ReadIndex()); err != nil {
		t.Fatal(err)
	}
	cluster.nodes[1].Close()
	cluster.nodes[2].Close()
	eventually(t, "the node knows that it has lost contact", func() bool { return !node.proposer.waitToRetry(time.Now().Add(time.Hour)) })

	heartbeat := func(id string, draining bool) error {
		return node.Heartbeat(registry.Endpoint{ID: id, Service: "s", Address: "127.0.0.1:1", Capacity: 2, Sequence: 9, Draining: draining})
	}
	_, readErr := node.Configuration()
	_, cellErr := node.Cell("c")
	_, _, watchErr := node.Watch("g.", 0, time.Second, stays)
	_, numberErr := node.Propose(registry.Command{Coordination: &coordination.Command{Operation: coordination.NextNumber, Name: "n"}})
	for what, err := range map[string]error{
		"a configuration is read":     readErr,
		"a cell is read":              cellErr,
		"a watch is opened":           watchErr,
		"a number is drawn":           numberErr,
		"an ordinary heartbeat":       heartbeat("i-1", false),
		"a drain that is new":         heartbeat("i-1", true),
		"an endpoint that is new":     heartbeat("i-3", false),
		"a deregistration":            node.Deregister("i-1"),
		"a higher configuration":      node.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 6))),
		"a lower one that is unknown": node.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 4))),
	} {
		if apierror.KindOf(err) != apierror.Unavailable {
			t.Errorf("%s: %v", what, err)
		}
	}
	if a, _ := node.watches.listOrWatch(&transport.Request{ID: 1, List: true}); !a.Failed || node.consensus.isUpToDate() {
		t.Errorf("a list: %+v; up to date: %v", a, node.consensus.isUpToDate())
	}
	// What is committed stays true.
	for what, err := range map[string]error{"the stored configuration, again": node.ReplaceConfiguration(stored), "a drain that was acknowledged": heartbeat("i-2", true)} {
		if err != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
	if err := node.ReplaceConfiguration(append(stored, ' ')); apierror.KindOf(err) != apierror.Conflict {
		t.Errorf("another content under the stored version: %v", err)
	}
	// After a restart it is not up to date from its first moment on.
	node.Close()
	cluster.start(0, false)
	if node = cluster.nodes[0]; node.consensus.isUpToDate() {
		t.Error("a node that has just started and heard nobody is up to date")
	}
	// What is committed stays true, but it knows no commit yet.
	eventually(t, "the node knows that it has lost contact", func() bool { return !node.proposer.waitToRetry(time.Now().Add(time.Hour)) })
	if err := node.ReplaceConfiguration(stored); apierror.KindOf(err) != apierror.Unavailable {
		t.Errorf("the stored configuration, again, before anything is known to be committed: %v", err)
	}
}

// TestJoinThroughRelay: a node whose only seed is a relay learns of a member that does
// not lead, and joins all the same.
func TestJoinThroughRelay(t *testing.T) {
	cluster := newTestCluster(t, 3, nil)
	var follower *Node
	eventually(t, "a leader and one that follows it", func() bool {
		lead := cluster.leader()
		for _, n := range cluster.nodes {
			if s := n.Status(); lead != nil && n != lead && s.Leader == lead.Status().ID {
				follower = n
			}
		}
		return follower != nil
	})
	const relay, joins = "127.0.0.28", "127.0.0.29"
	controlplanetest.StartFakeRelay(t, fmt.Sprintf("%s:%d", relay, cluster.internalPort), transport.ControlNode{Addr: follower.self.Addr})
	set := controlplanetest.Settings(t, joins, t.TempDir(), cluster.controlPort, cluster.internalPort, []string{relay}, false)
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
