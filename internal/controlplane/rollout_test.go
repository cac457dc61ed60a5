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

// reportAsProxy watches on one of the nodes and reports answers of the target version of a
// rollout, all of them failures while isTargetFailing is set.
func reportAsProxy(ctx context.Context, nodes []string, isTargetFailing *atomic.Bool) {
	mirror := watchcache.NewMirror()
	for i := 0; ctx.Err() == nil; i++ {
		conn, err := transport.Dial(ctx, nodes[i%len(nodes)], time.Second, transport.Hello{Role: transport.RoleProxy, Node: "p"})
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, conn.Close)
		err = conn.Send(&transport.Frame{Ask: &transport.Request{ID: 1, List: !mirror.HasSynced(), Watch: mirror.HasSynced(), Least: mirror.Revision()}})
		for seq := uint64(1); err == nil; seq++ {
			var frame *transport.Frame
			if frame, err = conn.Receive(2 * time.Second); err != nil {
				break
			}
			if response := frame.Answer; response != nil && !response.Failed && !response.Gone && !mirror.HasSynced() {
				err = mirror.Replace(response.Revision, response.Objects)
			}
			events, _ := frame.UnpackEvents()
			for _, e := range events {
				if _, err := mirror.ApplyEvent(e); err != nil {
					mirror.Invalidate()
				}
			}
			report := &transport.ProxyReport{Seq: seq}
			if object, ok := mirror.Objects()[registry.RolloutPrefix+"s"]; ok {
				if r, _ := rollout.Decode(object.Value); r.State == rollout.InProgress {
					evidence := rollout.Evidence{}
					for id := range 6 {
						counts := rollout.Counts{Answers: 3}
						if isTargetFailing.Load() {
							counts.Failed = 3
						}
						evidence.Add(rollout.Evidence{"r": rollout.NewTargetCounts(fmt.Sprint("new-", id), counts)})
						evidence.Add(rollout.Evidence{"r": rollout.NewBaseCounts(rollout.Counts{Answers: 30})})
					}
					report.Trials = map[string]transport.RolloutReport{"s": {Order: r.OrderNumber, Proxies: 1, Stage: r.Stage, Evidence: evidence}}
				}
			}
			if err == nil {
				err = conn.Send(&transport.Frame{Ack: 1, Report: report})
			}
		}
		stop()
		conn.Close()
	}
}

// TestMergeRolloutProgress checks the combined progress of the proxies of several nodes. A node
// without connected proxies must not hold back the progress.
func TestMergeRolloutProgress(t *testing.T) {
	to := map[string]transport.RolloutReport{}
	for _, report := range []transport.RolloutReport{{Order: 1, Proxies: 1, Stage: 3, AtBase: 9}, {Order: 2, Proxies: 2, Stage: 3}, {Order: 2, Stage: 0}, {Order: 2, Proxies: 1, Stage: 2, AtBase: 4}, {Order: 1, Proxies: 1}} {
		mergeRolloutProgress(to, map[string]transport.RolloutReport{"s": report})
	}
	if merged := to["s"]; merged.Order != 2 || merged.Proxies != 3 || merged.Stage != 2 || merged.AtBase != 4 {
		t.Errorf("merged progress = %+v, want order 2, 3 proxies, stage 2 and 4 requests at the base", merged)
	}
}

// TestRolloutSucceedsAndRollsBack runs three nodes through invalid orders, an order that succeeds
// although the leader is restarted in between, an order that is rolled back, and a restart of all
// nodes.
func TestRolloutSucceedsAndRollsBack(t *testing.T) {
	cluster := newTestCluster(t, 3, func(s *settings.Settings) {
		s.Guarantees = []string{"rollout"}
		s.Bounds.ConfigPropagation, s.Bounds.DrainPropagation = 1, 1
	})
	nodes := cluster.nodes
	eventually(t, "configuration accepted", func() bool {
		return nodes[0].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 5)), nil) == nil
	})
	if _, err := nodes[0].Rollout("s"); apierror.KindOf(err) != apierror.NotFound {
		t.Errorf("Rollout before any order: error %v, want kind NotFound", err)
	}
	if err := nodes[0].BeginRollout("other", "v2", time.Minute); apierror.KindOf(err) != apierror.BadRequest {
		t.Errorf("BeginRollout for an unknown service: error %v, want kind BadRequest", err)
	}
	if err := nodes[0].BeginRollout("s", "v2", time.Minute); apierror.KindOf(err) != apierror.Conflict {
		t.Errorf("BeginRollout for a service without endpoints: error %v, want kind Conflict", err)
	}
	for id := range 6 {
		for version, kind := range []string{"old", "new"} {
			e := registry.Endpoint{ID: fmt.Sprint(kind, "-", id), Service: "s", Version: fmt.Sprint("v", version+1), Address: "127.0.0.1:1", Capacity: 2, Sequence: 1}
			eventually(t, "heartbeat acknowledged", func() bool { return nodes[id%3].Heartbeat(e) == nil })
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var isTargetFailing atomic.Bool
	var addrs []string
	for _, node := range nodes {
		addrs = append(addrs, node.self.Addr)
	}
	go reportAsProxy(ctx, addrs, &isTargetFailing)
	read := func(at *Node) (r rollout.Rollout) {
		eventually(t, "rollout read", func() bool {
			var err error
			r, err = at.Rollout("s")
			return err == nil
		})
		return r
	}
	begin := func(at *Node, target string, deadline time.Duration) {
		eventually(t, "order acknowledged", func() bool { return at.BeginRollout("s", target, deadline) == nil })
	}
	begin(nodes[1], "v2", 14*time.Second)
	begin(nodes[2], "v2", 14*time.Second) // the same order, sent to another node
	if err := nodes[0].BeginRollout("s", "v3", time.Minute); apierror.KindOf(err) != apierror.Conflict {
		t.Errorf("BeginRollout of another version during a rollout: error %v, want kind Conflict", err)
	}
	if r := read(nodes[0]); r.State != rollout.InProgress || r.Base != "v1" || r.OrderNumber != 1 {
		t.Errorf("rollout after the order = %+v, want order 1 in progress from v1", r)
	}
	// The leader is closed and restarted. The next leader continues the rollout.
	leaderIndex := 0
	eventually(t, "a leader is elected", func() bool {
		for i := range nodes {
			if cluster.leader() == nodes[i] {
				leaderIndex = i
				return true
			}
		}
		return false
	})
	nodes[leaderIndex].Close()
	cluster.start(leaderIndex, false)
	eventually(t, "rollout of the healthy version ended", func() bool { return read(nodes[(leaderIndex+1)%3]).State != rollout.InProgress })
	if r := read(nodes[leaderIndex]); r.State != rollout.Succeeded || r.Base != "v2" || r.OrderNumber != 1 {
		t.Fatalf("ended rollout = %+v, want order 1 succeeded with base v2", r)
	}
	isTargetFailing.Store(true)
	begin(nodes[0], "v3", time.Minute)
	eventually(t, "rollout of the failing version ended", func() bool { return read(nodes[1]).State != rollout.InProgress })
	for i := range nodes {
		nodes[i].Close()
	}
	for i := range nodes {
		cluster.start(i, false)
	}
	if r := read(nodes[2]); r.State != rollout.RolledBack || r.Base != "v2" || r.Target != "v3" || r.OrderNumber != 2 || r.Reason == "" {
		t.Errorf("rollout after the restart = %+v, want order 2 rolled back from v3 to v2 with a reason", r)
	}
	if err := nodes[0].BeginRollout("s", "v3", time.Minute); err != nil || read(nodes[0]).State != rollout.RolledBack {
		t.Errorf("repeated order after its rollback: %v, %+v, want nil and the state rolled back", err, read(nodes[0]))
	}
	if err := nodes[0].BeginRollout("s", "v3", time.Hour); apierror.KindOf(err) != apierror.Conflict {
		t.Errorf("new order for a version that was rolled back: error %v, want kind Conflict", err)
	}
}

// TestRolloutEvidence checks that evidence is summed for the newest order only, and discarded
// once that order has ended.
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
		t.Errorf("report = %+v, want order 2, 7 answers, 3 proxies, stage 1 and 5 requests at the base", got)
	}
	putObject(state, registry.RolloutPrefix+"s", rollout.Rollout{Base: "v1", OrderNumber: 2, State: rollout.RolledBack}.Encode())
	if got := collect(); got.Evidence != nil || len(c.evidence) != 0 {
		t.Errorf("after the end of the order: report %+v and %d kept, want no evidence and 0", got, len(c.evidence))
	}
}
