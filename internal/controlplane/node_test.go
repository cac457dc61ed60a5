package controlplane

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"lichentray/coordination"
	"lichentray/internal/apierror"
	"lichentray/internal/controlplanetest"
	"lichentray/internal/settings"
	"lichentray/internal/transport"
	"lichentray/registry"
	"lichentray/watchcache"
)

// TestClusterServesCallsAndRecovers runs three nodes on the loopback interface through all
// calls, a watch that resumes at another node, the loss of a disk, and a restart of all
// processes.
func TestClusterServesCallsAndRecovers(t *testing.T) {
	cluster := newTestCluster(t, 3, nil)
	nodes := cluster.nodes
	eventually(t, "a configuration is accepted", func() bool {
		return nodes[0].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 5)), nil) == nil
	})

	// An older version is acknowledged without effect; an invalid configuration is rejected.
	if err := nodes[1].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 4)), nil); err != nil {
		t.Errorf("ReplaceConfiguration(older version) = %v", err)
	}
	if err := nodes[2].ReplaceConfiguration([]byte(`{"config_version":9`), nil); apierror.KindOf(err) != apierror.InvalidConfiguration {
		t.Errorf("ReplaceConfiguration(truncated) = %v, want kind InvalidConfiguration", err)
	}
	for i := range nodes {
		if got, err := nodes[i].Configuration(); err != nil || string(got) != fmt.Sprintf(configurationFormat, 5) {
			t.Errorf("node %d: Configuration() = %q, %v", i, got, err)
		}
	}

	// The first heartbeat registers an endpoint, an unchanged one writes nothing, and one that
	// drains updates it. A deregistration deletes it, and a late heartbeat does not register it
	// again.
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
		t.Errorf("unchanged heartbeat: error %v, revision %d before and %d after", err, before, nodes[0].Status().Revision)
	}
	stream.Close() // the proxy is disconnected while the endpoint drains and deregisters
	e.Sequence, e.Draining = 4, true
	if err := nodes[1].Heartbeat(e); err != nil {
		t.Fatal(err)
	}
	if err := nodes[2].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 6)), nil); err != nil {
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
		t.Errorf("a late heartbeat registered a deregistered endpoint again")
	}
	// The watch resumes at another node and delivers every missed event.
	stream, mirror = watchAsProxy(t, nodes[2].self.Addr, mirror)
	if _, there := mirror.Objects()[e.Key()]; there {
		t.Error("the resumed mirror still has the deregistered endpoint")
	}
	if o := mirror.Objects()[registry.ConfigKey]; len(o.Value) < 8 || string(o.Value[8:]) != fmt.Sprintf(configurationFormat, 6) {
		t.Error("the resumed mirror lacks the configuration replaced while it was disconnected")
	}
	stream.Close()

	// Numbers, cells and a watch, each through several nodes.
	var last uint64
	for i := range 9 {
		r, err := nodes[i%3].Propose(registry.Command{Coordination: &coordination.Command{Operation: coordination.NextNumber, Name: "n"}})
		if err != nil || r.Latch.Value <= last {
			t.Fatalf("NextNumber = %d after %d, error %v", r.Latch.Value, last, err)
		}
		last = r.Latch.Value
	}
	got := make(chan error, 1)
	if _, err := nodes[0].Propose(registry.Command{Coordination: &coordination.Command{Operation: coordination.PutCell, Name: "g.a", Value: "1"}}); err != nil {
		t.Fatal(err)
	}
	go func() {
		events, rev, err := nodes[1].Watch("g.", 1, 20*time.Second, isStillWaiting)
		if err == nil && (len(events) != 1 || events[0].Value != "2" || rev != 2) {
			err = fmt.Errorf("Watch() = %v, revision %d", events, rev)
		}
		got <- err
	}()
	if _, err := nodes[2].Propose(registry.Command{Coordination: &coordination.Command{Operation: coordination.PutCell, Name: "g.a", Value: "2"}}); err != nil {
		t.Fatal(err)
	}
	if err := <-got; err != nil {
		t.Error(err)
	}

	// A node that lost its disk joins as a new member and replaces its old identity.
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
		leader := cluster.leader()
		if leader == nil {
			return false
		}
		s := leader.Status()
		votes := false
		for _, m := range s.Members {
			if m.ID == formatMemberID(oldID) {
				return false
			}
			votes = votes || (m.ID == formatMemberID(nodes[lost].self.ID) && m.IsVoter)
		}
		return votes && len(s.Members) == 3
	})

	// All processes stop and restart on their disks.
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
		t.Errorf("Cell(\"g.a\") after the restart = %+v, %v", c, err)
	}
}

// TestListIsEncodedOnceForManyProxies guards against encoding the same data for each proxy. As
// after a power failure, 300 proxies list a thousand endpoints at the same time: the list must
// be encoded once for all of them, and one change must reach each proxy as one event. The
// counts do not depend on the machine.
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
	slots := make(chan struct{}, 25) // a slow machine cannot serve all of them in time
	for range proxies {
		go func() {
			var got mirroringProxy
			slots <- struct{}{}
			defer func() { <-slots; connected <- got }()
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
		t.Errorf("lists encoded = %d for %d proxies, want 1", n, proxies)
	}
	if node.metrics.lists.Value() != proxies {
		t.Errorf("lists sent = %d for %d proxies", node.metrics.lists.Value(), proxies)
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
			t.Fatalf("proxy %d: %d events for one change, want 1; %d endpoints", i, events, len(c.mirror.Objects()))
		}
	}
	// A large configuration is also encoded once for all proxies.
	var routes strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&routes, `{"name":"r%d","route_type":"idempotent","match":{"path_prefix":"/p%d/"},"action":{"backend_service":"s","timeout_s":1,"max_attempts":2}},`, i, i*7919)
	}
	large := fmt.Sprintf(`{"config_version":9,"listeners":[{"hostname":"h","rules":[%s]}],"clusters":[{"name":"s","health_check_path":"/health"}]}`, strings.TrimSuffix(routes.String(), ","))
	if err := node.ReplaceConfiguration([]byte(large), nil); err != nil {
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
			t.Fatalf("proxy %d: configuration differs, %d bytes, want %d", i, len(held), len(large))
		}
	}
	if n := node.metrics.eventsEncoded.Value(); n != 1 {
		t.Errorf("events encoded = %d for one configuration and %d proxies, want 1", n, proxies)
	}
	// A proxy of an earlier version, which does not support the packed form, gets the same
	// list. A list after a change is encoded again.
	_, m := watchAsProxy(t, node.self.Addr, watchcache.NewMirror())
	plain, _ := node.watches.listObjects(&transport.Request{ID: 1, List: true})
	if len(plain.Objects) != endpoints+1 || node.metrics.listsEncoded.Value() != 2 {
		t.Errorf("plain list has %d objects, lists encoded = %d", len(plain.Objects), node.metrics.listsEncoded.Value())
	}
	for _, o := range plain.Objects {
		if held := m.Objects()[o.Key]; !reflect.DeepEqual(held, o) {
			t.Fatalf("packed object %+v, plain object %+v", held, o)
		}
	}
}

// TestConfigurationsAreValidatedOneAtATime checks that concurrent configurations are validated
// one at a time, and that one that waits too long is rejected as unavailable without being
// stored.
func TestConfigurationsAreValidatedOneAtATime(t *testing.T) {
	cluster := newTestCluster(t, 1, nil)
	node := cluster.nodes[0]
	eventually(t, "a configuration is accepted", func() bool { return node.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 5)), nil) == nil })
	node.configs.validationSlot <- struct{}{} // simulates a long validation
	if err := node.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 6)), nil); apierror.KindOf(err) != apierror.Unavailable {
		t.Errorf("ReplaceConfiguration during another validation = %v, want kind Unavailable", err)
	}
	if got, err := node.Configuration(); err != nil || string(got) != fmt.Sprintf(configurationFormat, 5) {
		t.Errorf("Configuration() = %q, %v", got, err)
	}
	<-node.configs.validationSlot
	done := make(chan error, 8)
	for v := range 8 {
		go func() {
			err := node.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 7+v)), nil)
			for apierror.KindOf(err) == apierror.Unavailable { // deferred on a slow machine
				err = node.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 7+v)), nil)
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
		t.Errorf("Configuration() = %q, %v; %d deferred", got, err, node.metrics.configsDeferred.Value())
	}
}

// TestListIsRedirectedToNodeOfOwnZone checks that a proxy that lists at a node of another zone
// is redirected to the node of its own zone while that node is up, and is served otherwise.
func TestListIsRedirectedToNodeOfOwnZone(t *testing.T) {
	zones := map[string]string{"z1": "r", "z2": "r", "z3": "r"}
	cluster := newTestCluster(t, 3, func(s *settings.Settings) {
		s.RegionByZone, s.Zone = zones, fmt.Sprint("z", s.IPAddress[len(s.IPAddress)-1:])
	})
	nodes := cluster.nodes
	eventually(t, "a configuration is accepted", func() bool {
		return nodes[0].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 1)), nil) == nil
	})
	list := func(zone string) *transport.Response {
		a, _ := nodes[0].watches.listOrWatch(&transport.Request{ID: 1, List: true, Packs: true, Zone: zone})
		return a
	}
	eventually(t, "a proxy of another zone is redirected", func() bool {
		for _, n := range list("z3").Nearer {
			if n.Addr == nodes[2].self.Addr && n.Zone == "z3" {
				return true
			}
		}
		return false
	})
	for _, zone := range []string{"", "z1", "z9"} {
		if a := list(zone); a.Failed || a.Nearer != nil || a.Packed == nil {
			t.Errorf("list from zone %q: failed %v, redirected to %v", zone, a.Failed, a.Nearer)
		}
	}
	nodes[2].Close()
	eventually(t, "the proxy is served here once the node of its zone is closed", func() bool { a := list("z3"); return !a.Failed && a.Packed != nil })
	cluster.start(2, false)
}

// TestIncomingPeerConnectionTriggersRedial guards against slow recovery after a power failure:
// a peer connection that is waiting before its next attempt must dial at once when the peer
// connects to this node.
func TestIncomingPeerConnectionTriggersRedial(t *testing.T) {
	cluster := newTestCluster(t, 1, func(s *settings.Settings) { s.Bounds.ContactWindow = 1200 }) // 12 s or more between attempts
	node := cluster.nodes[0]
	addr := fmt.Sprintf("127.0.0.50:%d", controlplanetest.FreePort(t, "127.0.0.50"))
	connection := node.peers.connection(addr) // refused
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
		t.Fatalf("no redial after the peer connected: %v", err)
	}
	t.Cleanup(func() { c.Close() })
	eventually(t, "the connection is up", connection.isUp)
}

// TestDirectoryWarmUpAndEvacuation runs three nodes of a global tier through directory queries,
// proxy leases, the warm-up of endpoints, and evacuations that survive a restart of all
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
	eventually(t, "a configuration is accepted", func() bool { return nodes[0].ReplaceConfiguration([]byte(config), nil) == nil })

	// A proxy registers through its reports, starts to drain, and is removed once its lease
	// has expired.
	stream, _ := watchAsProxy(t, nodes[1].self.Addr, watchcache.NewMirror())
	self := &registry.Proxy{Name: "p", Address: "10.0.0.1:80", Zone: "a", Weight: 5}
	resolve := func(n *Node) string {
		got, ttl, err := n.Resolve("10.9.9.9", "h", "r1", "a")
		return fmt.Sprint(got, ttl, err != nil)
	}
	if got := resolve(nodes[0]); got != "[] 0s true" {
		t.Errorf("Resolve without proxies = %s", got)
	}
	// On a loaded machine a node may lose contact with its leader; it then answers Unavailable.
	eventually(t, "an unconfigured host is rejected with kind NoRoute", func() bool {
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
		eventually(t, "the directory returns the proxy", func() bool { return resolve(nodes[i]) == "[10.0.0.1:80] 1.25s false" })
	}
	self.Leaving = true
	report()
	eventually(t, "the proxy is marked as draining", func() (isDraining bool) {
		nodes[2].state.view(func(r *replicatedState) { isDraining = r.proxies[registry.ProxyPrefix+"p"].Draining })
		return isDraining
	})
	stream.Close()
	eventually(t, "the lease of the proxy expires", func() bool { return resolve(nodes[2]) == "[] 0s true" })

	// A heartbeat marks the endpoint as warming up, and a later one ends the warm-up.
	e := registry.Endpoint{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Zone: "b", Capacity: 2, Sequence: 1, WarmUpSeconds: 3}
	marked := func() bool {
		x, err := registry.DecodeEndpoint(storedObject(nodes[0], e.Key()))
		return err == nil && x.WarmingUp
	}
	if err := nodes[0].Heartbeat(e); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the endpoint is warming up", marked)
	e.Sequence, e.WarmUpSeconds = 2, 0
	if err := nodes[0].Heartbeat(e); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the warm-up has ended", func() bool { return !marked() })

	// Evacuations: rejected requests have no effect, acknowledged ones persist.
	callerIsWaiting := func() bool { return true }
	if err := nodes[1].Evacuate("b", true, func() bool { return false }); apierror.KindOf(err) != apierror.Unavailable {
		t.Errorf("Evacuate after the caller disconnected = %v, want kind Unavailable", err)
	}
	if zones, err := nodes[1].Evacuations(); err != nil || len(zones) != 0 {
		t.Errorf("Evacuations() after a rejected request = %v, %v", zones, err)
	}
	if err := nodes[0].Evacuate("nowhere", true, callerIsWaiting); apierror.KindOf(err) != apierror.BadRequest {
		t.Errorf("Evacuate(unknown zone) = %v, want kind BadRequest", err)
	}
	for _, begin := range []bool{false, true, true} {
		eventually(t, "the request is acknowledged", func() bool { return nodes[1].Evacuate("b", begin, callerIsWaiting) == nil })
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
	// A second operator's request is counted once it can no longer be a repeat of the first, and
	// the zone returns to use only when both evacuations are finished.
	request := func(begin bool) (now registry.Evacuation) {
		// A request with an unknown outcome is sent again, as an operator would do.
		eventually(t, "a request is acknowledged", func() bool { return nodes[0].Evacuate("b", begin, callerIsWaiting) == nil })
		eventually(t, "the read index is confirmed", func() bool { return nodes[0].ReadIndex() == nil })
		return registry.DecodeEvacuation(storedObject(nodes[0], registry.EvacuationPrefix+"b"))
	}
	if now := request(true); now.BeginCount != 1 {
		t.Errorf("repeated request after the restart: %+v, want BeginCount 1", now)
	}
	eventually(t, "the second request is counted", func() bool { return request(true).BeginCount == 2 })
	if now := request(false); now.FinishCount != 1 || now.State() != registry.Evacuated {
		t.Errorf("after one of two finishes: %+v", now)
	}
	eventually(t, "the second finish is counted", func() bool { return request(false).FinishCount == 2 })
	if got, err := nodes[1].Evacuations(); err != nil || got["b"] != registry.Returning {
		t.Errorf("Evacuations() after both finishes = %v, %v", got, err)
	}
	eventually(t, "the zone is in normal use", func() bool {
		got, err := nodes[1].Evacuations()
		return err == nil && len(got) == 0
	})
}

// TestVotersAreSpreadOverRegions guards against the loss of the majority with one region: of
// five voters over three regions, no region may hold more than two.
func TestVotersAreSpreadOverRegions(t *testing.T) {
	zones := map[string]string{"0": "r0", "1": "r0", "2": "r0", "3": "r1", "4": "r1", "5": "r2", "6": "r2"}
	cluster := newTestCluster(t, 7, func(s *settings.Settings) {
		s.RegionByZone, s.Zone = zones, fmt.Sprint(s.IPAddress[len(s.IPAddress)-1]-'1')
		s.FaultTolerance.Machines, s.FaultTolerance.Regions = 2, 1
	})
	eventually(t, "five voters, at most two in each region", func() bool {
		leader := cluster.leader()
		if leader == nil {
			return false
		}
		votersByRegion, n := map[string]int{}, 0
		for _, m := range leader.Status().Members {
			if m.IsVoter {
				n++
				votersByRegion[zones[leader.peers.zoneOf(m.Addr)]]++
			}
		}
		return n == 5 && votersByRegion["r0"] == 2 && votersByRegion["r1"]+votersByRegion["r2"] == 3 && votersByRegion["r1"] > 0 && votersByRegion["r2"] > 0
	})
}

// TestIsolatedNodeRejectsCalls checks that a node without quorum contact returns no reads,
// acknowledges nothing that it does not know to be committed, rejects nothing permanently, and
// answers without delay.
func TestIsolatedNodeRejectsCalls(t *testing.T) {
	cluster := newTestCluster(t, 3, nil)
	node := cluster.nodes[0]
	stored := []byte(fmt.Sprintf(configurationFormat, 5))
	eventually(t, "a configuration is accepted", func() bool { return node.ReplaceConfiguration(stored, nil) == nil })
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
	eventually(t, "the node has detected the loss of quorum contact", func() bool { return !node.proposer.waitToRetry(time.Now().Add(time.Hour)) })

	heartbeat := func(id string, draining bool) error {
		return node.Heartbeat(registry.Endpoint{ID: id, Service: "s", Address: "127.0.0.1:1", Capacity: 2, Sequence: 9, Draining: draining})
	}
	_, readErr := node.Configuration()
	_, cellErr := node.Cell("c")
	_, _, watchErr := node.Watch("g.", 0, time.Second, isStillWaiting)
	_, numberErr := node.Propose(registry.Command{Coordination: &coordination.Command{Operation: coordination.NextNumber, Name: "n"}})
	for what, err := range map[string]error{
		"Configuration":                readErr,
		"Cell":                         cellErr,
		"Watch":                        watchErr,
		"Propose(NextNumber)":          numberErr,
		"unchanged heartbeat":          heartbeat("i-1", false),
		"new drain":                    heartbeat("i-1", true),
		"new endpoint":                 heartbeat("i-3", false),
		"Deregister":                   node.Deregister("i-1"),
		"higher configuration":         node.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 6)), nil),
		"lower, unknown configuration": node.ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 4)), nil),
	} {
		if apierror.KindOf(err) != apierror.Unavailable {
			t.Errorf("%s: error %v, want kind Unavailable", what, err)
		}
	}
	if a, _ := node.watches.listOrWatch(&transport.Request{ID: 1, List: true}); !a.Failed || node.consensus.isUpToDate() {
		t.Errorf("list = %+v, want a failure; isUpToDate = %v, want false", a, node.consensus.isUpToDate())
	}
	// Requests for what is known to be committed succeed.
	for what, err := range map[string]error{"stored configuration again": node.ReplaceConfiguration(stored, nil), "acknowledged drain again": heartbeat("i-2", true)} {
		if err != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
	if err := node.ReplaceConfiguration(append(stored, ' '), nil); apierror.KindOf(err) != apierror.Conflict {
		t.Errorf("other content under the stored version: error %v, want kind Conflict", err)
	}
	// After a restart without quorum contact the node must not be up to date.
	node.Close()
	cluster.start(0, false)
	if node = cluster.nodes[0]; node.consensus.isUpToDate() {
		t.Error("a restarted node without quorum contact is up to date")
	}
	// The restarted node does not know yet that the stored configuration is committed.
	eventually(t, "the node has detected the loss of quorum contact", func() bool { return !node.proposer.waitToRetry(time.Now().Add(time.Hour)) })
	if err := node.ReplaceConfiguration(stored, nil); apierror.KindOf(err) != apierror.Unavailable {
		t.Errorf("stored configuration again, before any entry is known to be committed: error %v, want kind Unavailable", err)
	}
}

// TestJoinThroughRelay guards against a node that cannot join because its only seed is a relay
// that reports a single member, which is not the leader.
func TestJoinThroughRelay(t *testing.T) {
	cluster := newTestCluster(t, 3, nil)
	var follower *Node
	eventually(t, "a leader and a follower", func() bool {
		lead := cluster.leader()
		for _, n := range cluster.nodes {
			if s := n.Status(); lead != nil && n != lead && s.Leader == lead.Status().ID {
				follower = n
			}
		}
		return follower != nil
	})
	const relayIP, joinerIP = "127.0.0.28", "127.0.0.29"
	controlplanetest.StartFakeRelay(t, fmt.Sprintf("%s:%d", relayIP, cluster.internalPort), transport.ControlNode{Addr: follower.self.Addr})
	set := controlplanetest.Settings(t, joinerIP, t.TempDir(), cluster.controlPort, cluster.internalPort, []string{relayIP}, false)
	node, err := startForTest(set)
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	eventually(t, "the node is a member", func() bool {
		for _, m := range node.Status().Members {
			if m.ID == formatMemberID(node.self.ID) {
				return true
			}
		}
		return false
	})
}
