package raft_test

import (
	"testing"
	"time"

	"lichentray/raft"
	"lichentray/raft/rafttest"
)

// TestLeaderWithHangingDiskTransfersLeadership: a leader whose disk hangs transfers its
// leadership, while the others continue to commit.
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
		t.Error("the leader with a hanging disk still leads")
	}
	if committed < 30 {
		t.Errorf("only %d of 40 commands were committed", committed)
	}
}

// TestIsolatedLeaderStepsDown: a leader that hears nobody, whether the others hear it or
// not, steps down within two election timeouts (CheckQuorum).
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
			t.Errorf("can send %v: it still leads", canSend)
		}
	}
}

// TestSoleVoterSendsOnlyAfterItsVoteIsDurable: a sole voter leads at once, but sends
// nothing as the leader before its vote is durable, as after a crash it could lead in the
// same term with another log.
func TestSoleVoterSendsOnlyAfterItsVoteIsDurable(t *testing.T) {
	n := raft.New(raft.Config{ID: 1, HeartbeatInterval: time.Millisecond, ElectionTimeout: time.Second, RandInt63n: func(int64) int64 { return 0 }}, 0,
		raft.PersistentState{Snapshot: raft.Snapshot{Members: raft.Membership{Voters: []raft.Member{{ID: 1}}, Learners: []raft.Member{{ID: 2}}}}})
	n.Campaign()
	first := n.Ready()
	n.Propose([]byte("x"))
	second := n.Ready()
	if len(first.Messages)+len(second.Messages) > 0 {
		t.Errorf("sent before the vote is durable: %+v %+v", first.Messages, second.Messages)
	}
	last := first.Write.Entries[len(first.Write.Entries)-1]
	if n.ReportPersisted(last.Index, last.Term); len(first.Write.MessagesAfterAppend) == 0 || n.CommitIndex() != last.Index {
		t.Errorf("nothing is sent after the write, or committed up to %d of %d", n.CommitIndex(), last.Index)
	}
}

// TestMessageToEarlierIncarnationIsIgnored: a message to the ID of an earlier incarnation
// at the same address does nothing.
func TestMessageToEarlierIncarnationIsIgnored(t *testing.T) {
	n := raft.New(raft.Config{ID: 2, HeartbeatInterval: time.Millisecond, ElectionTimeout: time.Second, RandInt63n: func(int64) int64 { return 0 }}, 0, raft.PersistentState{})
	n.Step(0, raft.Message{Type: raft.MsgVote, From: 1, To: 3, Term: 9, Index: 5, LogTerm: 5})
	if e := n.Ready(); e.Write != nil || len(e.Messages) > 0 || n.Term() != 0 {
		t.Error("a message to another incarnation was taken")
	}
}
