package raft_test

import (
	"errors"
	"testing"
	"time"

	"lichentray/raft"
)

// TestProposeConfChangeErrors checks the error returned for each kind of membership change
// that is not permitted.
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
	candidate.Campaign() // becomes the leader, but its first entry is not durable yet
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
		{"change pending", leader, added.WithLearner(raft.Member{ID: 3}), raft.ErrConfChangePending},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := test.node.ProposeConfChange(test.membership); !errors.Is(err, test.want) {
				t.Errorf("ProposeConfChange() = %v, want %v", err, test.want)
			}
		})
	}
}

// persist reports the pending write of a sole voter as durable.
func persist(t *testing.T, n *raft.Node) {
	t.Helper()
	w := n.Ready().Write
	if w == nil || len(w.Entries) == 0 {
		t.Fatal("nothing to write")
	}
	last := w.Entries[len(w.Entries)-1]
	n.ReportPersisted(last.Index, last.Term)
}
