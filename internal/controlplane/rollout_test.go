package controlplane

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"lichentray/internal/apierror"
	"lichentray/internal/settings"
	"lichentray/internal/transport"
	"lichentray/registry"
	"lichentray/rollout"
	"lichentray/watchcache"
)

// reportAsProxy watches at some node of a group and reports the answers of the target
// version of a roll-out: nothing but failures if bad.
func reportAsProxy(ctx context.Context, nodes []string, bad *atomic.Bool) {
	m := watchcache.NewMirror()
	for i := 0; ctx.Err() == nil; i++ {
		c, err := transport.Dial(ctx, nodes[i%len(nodes)], time.Second, transport.Hello{Role: transport.RoleProxy, Node: "p"})
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, c.Close)
		err = c.Send(&transport.Frame{Ask: &transport.Request{ID: 1, List: !m.HasSynced(), Watch: m.HasSynced(), Least: m.Revision()}})
		for seq := uint64(1); err == nil; seq++ {
			var f *transport.Frame
			if f, err = c.Receive(2 * time.Second); err != nil {
				break
			}
			if a := f.Answer; a != nil && !a.Failed && !a.Gone && !m.HasSynced() {
				err = m.Replace(a.Revision, a.Objects)
			}
			events, _ := f.UnpackEvents()
			for _, e := range events {
				if _, err := m.ApplyEvent(e); err != nil {
					m.Invalidate()
				}
			}
			report := &transport.ProxyReport{Seq: seq}
			if o, ok := m.Objects()[registry.RolloutPrefix+"s"]; ok {
				if r, _ := rollout.Decode(o.Value); r.State == rollout.InProgress {
					e := rollout.Evidence{}
					for id := range 6 {
						n := rollout.Counts{Answers: 3}
						if bad.Load() {
							n.Failed = 3
						}
						e.Add(rollout.Evidence{"r": rollout.NewTargetCounts(fmt.Sprint("new-", id), n)})
						e.Add(rollout.Evidence{"r": rollout.NewBaseCounts(rollout.Counts{Answers: 30})})
					}
					report.Trials = map[string]transport.RolloutReport{"s": {Order: r.OrderNumber, Proxies: 1, Stage: r.Stage, Evidence: e}}
				}
			}
			if err == nil {
				err = c.Send(&transport.Frame{Ack: 1, Report: report})
			}
		}
		stop()
		c.Close()
	}
}

// TestMergeRolloutProgress: how far the proxies of several nodes are together. A node
// that no proxy watches any more delays nothing.
func TestMergeRolloutProgress(t *testing.T) {
	to := map[string]transport.RolloutReport{}
	for _, n := range []transport.RolloutReport{{Order: 1, Proxies: 1, Stage: 3, AtBase: 9}, {Order: 2, Proxies: 2, Stage: 3}, {Order: 2, Stage: 0}, {Order: 2, Proxies: 1, Stage: 2, AtBase: 4}, {Order: 1, Proxies: 1}} {
		mergeRolloutProgress(to, map[string]transport.RolloutReport{"s": n})
	}
	if x := to["s"]; x.Order != 2 || x.Proxies != 3 || x.Stage != 2 || x.AtBase != 4 {
		t.Errorf("merged to %+v", x)
	}
}

// TestRolloutSucceedsAndRollsBack drives three nodes through orders that are invalid, one
// that succeeds although the leader fails meanwhile, one that is rolled back, and the
// failure of all processes after that.
func TestRolloutSucceedsAndRollsBack(t *testing.T) {
	cluster := newTestCluster(t, 3, func(s *settings.Settings) {
		s.Guarantees = []string{"rollout"}
		s.Bounds.ConfigPropagation, s.Bounds.DrainPropagation = 1, 1
	})
	nodes := cluster.nodes
	eventually(t, "a configuration is taken", func() bool { return nodes[0].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 5))) == nil })
	if _, err := nodes[0].Rollout("s"); apierror.KindOf(err) != apierror.NotFound {
		t.Errorf("reading before any order: %v", err)
	}
	if err := nodes[0].BeginRollout("other", "v2", time.Minute); apierror.KindOf(err) != apierror.BadRequest {
		t.Errorf("a service that is not known: %v", err)
	}
	if err := nodes[0].BeginRollout("s", "v2", time.Minute); apierror.KindOf(err) != apierror.Conflict {
		t.Errorf("a service without an endpoint: %v", err)
	}
	for id := range 6 {
		for v, kind := range []string{"old", "new"} {
			e := registry.Endpoint{ID: fmt.Sprint(kind, "-", id), Service: "s", Version: fmt.Sprint("v", v+1), Address: "127.0.0.1:1", Capacity: 2, Sequence: 1}
			eventually(t, "a heartbeat is acknowledged", func() bool { return nodes[id%3].Heartbeat(e) == nil })
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var bad atomic.Bool
	var addrs []string
	for _, node := range nodes {
		addrs = append(addrs, node.self.Addr)
	}
	go reportAsProxy(ctx, addrs, &bad)
	read := func(at *Node) (r rollout.Rollout) {
		eventually(t, "the roll-out is read", func() bool {
			var err error
			r, err = at.Rollout("s")
			return err == nil
		})
		return r
	}
	begin := func(at *Node, target string, d time.Duration) {
		eventually(t, "the order is acknowledged", func() bool { return at.BeginRollout("s", target, d) == nil })
	}
	begin(nodes[1], "v2", 14*time.Second)
	begin(nodes[2], "v2", 14*time.Second) // once more, to another node
	if err := nodes[0].BeginRollout("s", "v3", time.Minute); apierror.KindOf(err) != apierror.Conflict {
		t.Errorf("another version while one is under way: %v", err)
	}
	if r := read(nodes[0]); r.State != rollout.InProgress || r.Base != "v1" || r.OrderNumber != 1 {
		t.Errorf("begun: %+v", r)
	}
	// The leader fails and restarts; the next one continues.
	lost := 0
	eventually(t, "a leader", func() bool {
		for i := range nodes {
			if cluster.leader() == nodes[i] {
				lost = i
				return true
			}
		}
		return false
	})
	nodes[lost].Close()
	cluster.start(lost, false)
	eventually(t, "the good version has succeeded", func() bool { return read(nodes[(lost+1)%3]).State != rollout.InProgress })
	if r := read(nodes[lost]); r.State != rollout.Succeeded || r.Base != "v2" || r.OrderNumber != 1 {
		t.Fatalf("ended: %+v", r)
	}
	bad.Store(true)
	begin(nodes[0], "v3", time.Minute)
	eventually(t, "the bad version is rolled back", func() bool { return read(nodes[1]).State != rollout.InProgress })
	for i := range nodes {
		nodes[i].Close()
	}
	for i := range nodes {
		cluster.start(i, false)
	}
	if r := read(nodes[2]); r.State != rollout.RolledBack || r.Base != "v2" || r.Target != "v3" || r.OrderNumber != 2 || r.Reason == "" {
		t.Errorf("after the restart: %+v", r)
	}
	if err := nodes[0].BeginRollout("s", "v3", time.Minute); err != nil || read(nodes[0]).State != rollout.RolledBack {
		t.Errorf("the order again after its roll-back: %v, %+v", err, read(nodes[0]))
	}
	if err := nodes[0].BeginRollout("s", "v3", time.Hour); apierror.KindOf(err) != apierror.Conflict {
		t.Errorf("another order for a version that was rolled back: %v", err)
	}
}

// TestRolloutEvidence: evidence adds up for the newest order alone, and is dropped
// once that has ended.
func TestRolloutEvidence(t *testing.T) {
	report := func(order uint64, answers int) map[string]transport.RolloutReport {
		evidence := rollout.Evidence{"r": rollout.NewTargetCounts("e", rollout.Counts{Answers: answers})}
		return map[string]transport.RolloutReport{"s": {Order: order, Evidence: evidence}}
	}
	state := newTestState(t)
	c := newRolloutController(state.replicated.env, state, nil)
	for _, reported := range []map[string]transport.RolloutReport{report(1, 9), report(2, 3), report(1, 9), report(2, 4)} {
		c.addEvidence(reported)
	}
	collect := func() transport.RolloutReport {
		progress := map[string]transport.RolloutReport{"s": {Order: 2, Proxies: 3, Stage: 1, AtBase: 5}}
		c.addTotalEvidence(nil, progress)
		return progress["s"]
	}
	if got := collect(); got.Order != 2 || got.Evidence.TargetAnswers() != 7 || got.Proxies != 3 || got.Stage != 1 || got.AtBase != 5 {
		t.Errorf("collected %+v", got)
	}
	putObject(state, registry.RolloutPrefix+"s", rollout.Rollout{Base: "v1", OrderNumber: 2, State: rollout.RolledBack}.Encode())
	if got := collect(); got.Evidence != nil || len(c.evidence) != 0 {
		t.Errorf("after the end %+v, %d kept", got, len(c.evidence))
	}
}
