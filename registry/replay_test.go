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

// TestEventLogReplaysAlikeOnAllReplicas guards against replicas whose event logs differ, so
// that a watcher that moves to another node misses events. Five nodes run with freezes,
// bidirectional and one-way partitions, crashes, hanging disks, lost disks whose nodes are
// replaced, and snapshots, while watchers move between nodes. No watcher may see a gap, a
// duplicate or a different value, nor find a revision compacted that it reached within the
// retention. In the end all nodes, including one that joined from a snapshot, must replay
// the same events from every revision.
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
	tableOf := func(id uint64) *coordination.Table {
		return c.Nodes[id].StateMachine.(*simulatedStore).store.Coordination()
	}
	propose := func(l *coordination.Command, done func(coordination.Result)) {
		if n := c.Leader(); n != nil {
			c.Propose(n.ID, registry.EncodeCommand(registry.Command{Coordination: l}), func(res any, ok bool) {
				if r, isResult := res.(registry.Result); ok && isResult {
					done(r.Latch)
				}
			})
		}
	}
	type watcher struct {
		group     string
		after     uint64
		reachedAt time.Duration // when the watcher reached that revision
	}
	watchers := make([]watcher, 6)
	for i := range watchers {
		watchers[i] = watcher{group: fmt.Sprintf("g%d.", i%2), reachedAt: c.Now}
	}
	model := map[string]map[uint64]coordination.Event{"g0.": {}, "g1.": {}}
	recordEvent := func(group string, e coordination.Event) {
		if previous, exists := model[group][e.Revision]; exists && previous != e {
			t.Errorf("revision %d of %s has two events: %+v and %+v", e.Revision, group, previous, e)
		}
		model[group][e.Revision] = e
	}
	type sample struct {
		at       time.Duration
		revision uint64
	}
	var samples []sample
	eventsSeen, compactedWatches, lostNodeID := 0, 0, uint64(0)
	nextNodeID := uint64(6)
	// admitReplacement takes the next step of the membership change that replaces the lost
	// voter by the new member.
	admitReplacement := func() {
		if l := c.Leader(); l != nil && lostNodeID != 0 && !l.Raft.HasPendingConfChange() {
			membership, id := l.Raft.Membership(), nextNodeID-1
			member := raft.Member{ID: id, Addr: fmt.Sprint("node-", id)}
			switch {
			case membership.IsMember(lostNodeID):
				_ = l.Raft.ProposeConfChange(membership.Without(lostNodeID)) // retried in the next round
			case !membership.IsMember(id):
				_ = l.Raft.ProposeConfChange(membership.WithLearner(member))
			case !membership.IsVoter(id) && l.Raft.MatchIndex(id)+100 > l.Raft.LastIndex():
				_ = l.Raft.ProposeConfChange(membership.WithVoter(member))
			case membership.IsVoter(id):
				lostNodeID = 0
			}
		}
	}
	for round := range 220 {
		ids := c.IDs()
		id := ids[c.Rand.Intn(len(ids))]
		injectFault(c, id, 9)
		// A voter loses its disk and is replaced by a new member.
		if l := c.Leader(); c.Rand.Intn(12) == 0 && l != nil && lostNodeID == 0 && l.ID != id && l.Raft.Membership().IsVoter(id) {
			lostNodeID = id
			c.Crash(id)
			c.Remove(id)
			c.Add(nextNodeID)
			nextNodeID++
		}
		admitReplacement()
		for k := range 4 {
			name := fmt.Sprintf("g%d.%d", c.Rand.Intn(2), c.Rand.Intn(3))
			e := coordination.Event{Name: name, Value: fmt.Sprint(round, "-", k)}
			propose(&coordination.Command{Operation: coordination.PutCell, Name: e.Name, Value: e.Value}, func(r coordination.Result) {
				if previous, exists := model[coordination.GroupOf(name)][r.Revision]; exists && previous.Value != e.Value {
					t.Errorf("revision %d was assigned to two puts: %+v and %+v", r.Revision, previous, e)
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
			id, current, previous := ids[c.Rand.Intn(len(ids))], &watchers[i], watchers[i]
			l := c.Leader()
			if l == nil || !c.IsUp(id) {
				continue
			}
			store, leaderStore := c.Nodes[id].StateMachine.(*simulatedStore).store, l.StateMachine.(*simulatedStore).store
			table := store.Coordination()
			c.Read(l.ID, func(ok bool) { // any node that has applied up to the read index may serve the watch
				if !ok || *current != previous || store.Revision() < leaderStore.Revision() {
					return
				}
				events, revision, kept := table.EventsSince(current.group, current.after)
				if !kept {
					if c.Now-current.reachedAt < retention {
						t.Errorf("node %d: revision %d is compacted, although the watcher reached it %v ago", id, current.after, c.Now-current.reachedAt)
					}
					compactedWatches++
					*current = watcher{current.group, revision, c.Now}
					return
				}
				for _, e := range events {
					if e.Revision != current.after+1 {
						t.Errorf("node %d: revision %d is followed by %d", id, current.after, e.Revision)
					}
					current.after = e.Revision
					recordEvent(current.group, e)
					eventsSeen++
				}
				if current.after != revision {
					t.Errorf("node %d: replay ended at revision %d, want %d", id, current.after, revision)
				}
				current.reachedAt = c.Now
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
	if lostNodeID != 0 {
		t.Error("the new member never became a voter")
	}
	propose(&coordination.Command{Operation: coordination.PutCell, Name: "g0.0", Value: "last"}, func(coordination.Result) {})
	c.Run(3 * time.Second)
	var first *coordination.Table
	for _, id := range c.IDs() {
		table := tableOf(id)
		if first == nil {
			first = table
		}
		for group := range model {
			for after := uint64(0); after <= first.GroupRevision(group); after++ {
				want, wantRevision, wantKept := first.EventsSince(group, after)
				got, gotRevision, gotKept := table.EventsSince(group, after)
				if wantRevision != gotRevision || wantKept != gotKept || !reflect.DeepEqual(want, got) {
					t.Fatalf("node %d: EventsSince(%q, %d) = %v, %d, %v; on the first node %v, %d, %v", id, group, after, got, gotRevision, gotKept, want, wantRevision, wantKept)
				}
			}
		}
	}
	if eventsSeen < 100 {
		t.Errorf("watchers saw only %d events and %d compacted revisions", eventsSeen, compactedWatches)
	}
}
