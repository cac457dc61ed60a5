package raft_test

import (
	"errors"
	"testing"
	"time"

	"lichentray/raft"
)

// TestProposeConfChangeErrors: a membership that may not be proposed is refused with the
// error that says why.
func TestProposeConfChangeErrors(t *testing.T) {
	newNode := func() *raft.Node {
		members := raft.Membership{Voters: []raft.Member{{ID: 1}}}
		return raft.New(raft.Config{
			ID:                1,
			HeartbeatInterval: time.Millisecond,
			ElectionTimeout:   time.Second,
			RandInt63n:        func(int64) int64 { return 0 },
		}, 0, raft.PersistentState{Snapshot: raft.Snapshot{Members: members}})
	}
	follower := newNode()
	candidate := newNode()
	candidate.Campaign() // leads, and its first entry is not durable yet
	leader := newNode()
	leader.Campaign()
	persist(t, leader)
	added := leader.Membership().WithVoter(raft.Member{ID: 2})
	for _, test := range []struct {
		name       string
		node       *raft.Node
		membership raft.Membership
		want       error
	}{
		{"follower", follower, added, raft.ErrNotLeader},
		{"nothing committed in its term", candidate, added, raft.ErrConfChangePending},
		{"two voters added", leader, added.WithVoter(raft.Member{ID: 3}), raft.ErrTooManyVoterChanges},
		{"leader removed", leader, raft.Membership{}, raft.ErrLeaderRemoval},
		{"one voter added", leader, added, nil},
		{"a change pending", leader, added.WithLearner(raft.Member{ID: 3}), raft.ErrConfChangePending},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := test.node.ProposeConfChange(test.membership); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// persist makes all durable that a sole voter has to write.
func persist(t *testing.T, n *raft.Node) {
	t.Helper()
	w := n.Ready().Write
	if w == nil || len(w.Entries) == 0 {
		t.Fatal("nothing to write")
	}
	last := w.Entries[len(w.Entries)-1]
	n.ReportPersisted(last.Index, last.Term)
}
