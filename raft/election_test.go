package raft_test

import (
	"testing"
	"time"

	"lichentray/raft"
	"lichentray/raft/rafttest"
)

// TestLeaderWithHangingDiskTransfersLeadership checks that a leader whose disk hangs
// transfers its leadership, and that the cluster continues to commit.
func TestLeaderWithHangingDiskTransfersLeadership(t *testing.T) {
	c := rafttest.NewCluster(7, 3, newCommandList)
	c.Run(time.Second)
	old := c.Leader().ID
	c.HangDisk(old, 4*time.Second)
	committed := 0
	for range 40 {
		if l := c.Leader(); l != nil {
			c.Propose(l.ID, []byte("x"), func(_ any, ok bool) {
				if ok {
					committed++
				}
			})
		}
		c.Run(25 * time.Millisecond)
	}
	if l := c.Leader(); l == nil || l.ID == old {
		t.Error("no other node became the leader while the leader's disk hung")
	}
	if committed < 30 {
		t.Errorf("committed %d of 40 commands, want at least 30", committed)
	}
}

// TestIsolatedLeaderStepsDown checks that a leader that receives no messages steps down
// within about two election timeouts (CheckQuorum), whether or not the other nodes receive
// its own messages.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	for _, canSend := range []bool{false, true} {
		c := rafttest.NewCluster(3, 3, newCommandList)
		c.Run(time.Second)
		old := c.Leader()
		for _, id := range c.IDs() {
			c.SetLinkCut(id, old.ID, true)
			c.SetLinkCut(old.ID, id, !canSend)
		}
		c.Run(310 * time.Millisecond)
		if old.Raft.Role() == raft.Leader {
			t.Errorf("canSend %v: the isolated node is still the leader", canSend)
		}
	}
}

// TestSoleVoterSendsOnlyAfterItsVoteIsDurable guards against two different logs in one
// term: a sole voter becomes the leader before its vote is durable. If it sent messages at
// that point, it could crash, lose the vote and lead the same term again with another log.
func TestSoleVoterSendsOnlyAfterItsVoteIsDurable(t *testing.T) {
	n := raft.New(raft.Config{ID: 1, HeartbeatInterval: time.Millisecond, ElectionTimeout: time.Second, RandInt63n: func(int64) int64 { return 0 }}, 0,
		raft.PersistentState{Snapshot: raft.Snapshot{Members: raft.Membership{Voters: []raft.Member{{ID: 1}}, Learners: []raft.Member{{ID: 2}}}}})
	n.Campaign()
	first := n.Ready()
	n.Propose([]byte("x"))
	second := n.Ready()
	if len(first.Messages)+len(second.Messages) > 0 {
		t.Errorf("sent %+v and %+v before the vote was durable, want no messages", first.Messages, second.Messages)
	}
	last := first.Write.Entries[len(first.Write.Entries)-1]
	if n.ReportPersisted(last.Index, last.Term); len(first.Write.MessagesAfterAppend) == 0 || n.CommitIndex() != last.Index {
		t.Errorf("after the write: no messages to send, or CommitIndex() = %d, want %d", n.CommitIndex(), last.Index)
	}
}

// TestMessageToEarlierIncarnationIsIgnored checks that a node ignores a message addressed
// to the ID of an earlier node at the same address.
func TestMessageToEarlierIncarnationIsIgnored(t *testing.T) {
	n := raft.New(raft.Config{ID: 2, HeartbeatInterval: time.Millisecond, ElectionTimeout: time.Second, RandInt63n: func(int64) int64 { return 0 }}, 0, raft.PersistentState{})
	n.Step(0, raft.Message{Type: raft.MsgVote, From: 1, To: 3, Term: 9, Index: 5, LogTerm: 5})
	if e := n.Ready(); e.Write != nil || len(e.Messages) > 0 || n.Term() != 0 {
		t.Error("the node handled a message addressed to another ID")
	}
}
