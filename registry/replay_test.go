package registry_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"lichentray/coordination"
	"lichentray/raft"
	"lichentray/raft/rafttest"
	"lichentray/registry"
)

// TestEventLogReplaysAlikeOnAllReplicas runs five nodes with freezes, partitions in one
// direction and both, crashes, hanging disks, a lost disk whose machine joins as a new
// member, and snapshots, while watchers move from node to node. The model is a plain
// list of the puts that took effect. No watcher may see a gap, a duplicate or another
// value, none may find a revision gone that it had within the retention, and in the end
// every node, also the one that joined from a snapshot, must replay the same from every
// revision that it holds.
func TestEventLogReplaysAlikeOnAllReplicas(t *testing.T) {
	for seed := int64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runReplaySimulation(t, seed) })
	}
}

func runReplaySimulation(t *testing.T, seed int64) {
	const retention = 2 * time.Second
	var c *rafttest.Cluster
	c = rafttest.NewCluster(seed, 5, func() rafttest.StateMachine {
		return newSimulatedStore(func() time.Duration {
			if c == nil {
				return 0
			}
			return c.Now
		})
	})
	c.Run(time.Second)
	table := func(id uint64) *coordination.Table {
		return c.Nodes[id].StateMachine.(*simulatedStore).store.Coordination()
	}
	propose := func(l *coordination.Command, done func(coordination.Result)) {
		if n := c.Leader(); n != nil {
			c.Propose(n.ID, registry.EncodeCommand(registry.Command{Coordination: l}), func(res any, ok bool) {
				if r, is := res.(registry.Result); ok && is {
					done(r.Latch)
				}
			})
		}
	}
	type watcher struct {
		group string
		after uint64
		at    time.Duration // when it got to revision after
	}
	watchers := make([]watcher, 6)
	for i := range watchers {
		watchers[i] = watcher{group: fmt.Sprintf("g%d.", i%2), at: c.Now}
	}
	model := map[string]map[uint64]coordination.Event{"g0.": {}, "g1.": {}}
	recordEvent := func(group string, e coordination.Event) {
		if was, there := model[group][e.Revision]; there && was != e {
			t.Errorf("revision %d of %s was %+v and is %+v", e.Revision, group, was, e)
		}
		model[group][e.Revision] = e
	}
	type sample struct {
		at       time.Duration
		revision uint64
	}
	var samples []sample
	seen, compacted, lost := 0, 0, uint64(0)
	next := uint64(6)
	// admitReplacement takes the next step to make the new member a voter in place of the
	// lost one.
	admitReplacement := func() {
		if l := c.Leader(); l != nil && lost != 0 && !l.Raft.HasPendingConfChange() {
			ms, id := l.Raft.Membership(), next-1
			m := raft.Member{ID: id, Addr: fmt.Sprint("node-", id)}
			switch {
			case ms.IsMember(lost):
				_ = l.Raft.ProposeConfChange(ms.Without(lost)) // retried in the next round
			case !ms.IsMember(id):
				_ = l.Raft.ProposeConfChange(ms.WithLearner(m))
			case !ms.IsVoter(id) && l.Raft.MatchIndex(id)+100 > l.Raft.LastIndex():
				_ = l.Raft.ProposeConfChange(ms.WithVoter(m))
			case ms.IsVoter(id):
				lost = 0
			}
		}
	}
	for round := range 220 {
		ids := c.IDs()
		id := ids[c.Rand.Intn(len(ids))]
		injectFault(c, id, 9)
		// One machine comes back with an empty disk, as another member.
		if l := c.Leader(); c.Rand.Intn(12) == 0 && l != nil && lost == 0 && l.ID != id && l.Raft.Membership().IsVoter(id) {
			lost = id
			c.Crash(id)
			c.Remove(id)
			c.Add(next)
			next++
		}
		admitReplacement()
		for k := range 4 {
			name := fmt.Sprintf("g%d.%d", c.Rand.Intn(2), c.Rand.Intn(3))
			e := coordination.Event{Name: name, Value: fmt.Sprint(round, "-", k)}
			propose(&coordination.Command{Operation: coordination.PutCell, Name: e.Name, Value: e.Value}, func(r coordination.Result) {
				if was, there := model[coordination.GroupOf(name)][r.Revision]; there && was.Value != e.Value {
					t.Errorf("revision %d was given to %+v and %+v", r.Revision, was, e)
				}
			})
			c.Run(time.Duration(5+c.Rand.Intn(30)) * time.Millisecond)
		}
		if l := c.Leader(); l != nil {
			samples = append(samples, sample{c.Now, l.StateMachine.(*simulatedStore).store.Revision()})
			for len(samples) > 0 && c.Now-samples[0].at > retention*3/2 {
				propose(&coordination.Command{Operation: coordination.CompactHistory, CompactBefore: samples[0].revision}, func(coordination.Result) {})
				samples = samples[1:]
			}
		}
		for i := range watchers {
			if c.Rand.Intn(2) == 0 {
				continue // disconnected or slow
			}
			id, w, was := ids[c.Rand.Intn(len(ids))], &watchers[i], watchers[i]
			l := c.Leader()
			if l == nil || !c.IsUp(id) {
				continue
			}
			store, lead := c.Nodes[id].StateMachine.(*simulatedStore).store, l.StateMachine.(*simulatedStore).store
			tab := store.Coordination()
			c.Read(l.ID, func(ok bool) { // a read index, behind which any node that has reached it may serve
				if !ok || *w != was || store.Revision() < lead.Revision() {
					return
				}
				events, rev, kept := tab.EventsSince(w.group, w.after)
				if !kept {
					if c.Now-w.at < retention {
						t.Errorf("node %d: revision %d, had %v ago, is gone", id, w.after, c.Now-w.at)
					}
					compacted++
					*w = watcher{w.group, rev, c.Now}
					return
				}
				for _, e := range events {
					if e.Revision != w.after+1 {
						t.Errorf("node %d: after %d comes %d", id, w.after, e.Revision)
					}
					w.after = e.Revision
					recordEvent(w.group, e)
					seen++
				}
				if w.after != rev {
					t.Errorf("node %d: replayed to %d of %d", id, w.after, rev)
				}
				w.at = c.Now
			})
		}
		if c.Violation != "" {
			t.Fatal(c.Violation)
		}
	}
	c.Heal()
	for _, id := range c.IDs() {
		c.SetFrozen(id, false)
	}
	for range 100 {
		admitReplacement()
		c.Run(50 * time.Millisecond)
	}
	if lost != 0 {
		t.Error("the new member never became a voter")
	}
	propose(&coordination.Command{Operation: coordination.PutCell, Name: "g0.0", Value: "last"}, func(coordination.Result) {})
	c.Run(3 * time.Second)
	var first *coordination.Table
	for _, id := range c.IDs() {
		tab := table(id)
		if first == nil {
			first = tab
		}
		for group := range model {
			for after := uint64(0); after <= first.GroupRevision(group); after++ {
				a, ra, ka := first.EventsSince(group, after)
				b, rb, kb := tab.EventsSince(group, after)
				if ra != rb || ka != kb || !reflect.DeepEqual(a, b) {
					t.Fatalf("node %d replays %s after %d as %v at %d (%v), the first as %v at %d (%v)", id, group, after, b, rb, kb, a, ra, ka)
				}
			}
		}
	}
	if seen < 100 {
		t.Errorf("watchers saw %d events, %d times compacted", seen, compacted)
	}
}
