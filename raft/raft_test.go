package raft_test

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"lichentray/raft"
	"lichentray/raft/rafttest"
)

// commandList is a state machine that stores all commands in order.
type commandList struct{ commands []string }

func (l *commandList) Apply(_ uint64, data []byte) any {
	l.commands = append(l.commands, string(data))
	return len(l.commands)
}

func (l *commandList) Snapshot() []byte {
	data, _ := json.Marshal(l.commands) // cannot fail for strings
	return data
}

func (l *commandList) Restore(data []byte) {
	l.commands = nil
	_ = json.Unmarshal(data, &l.commands) // cannot fail for the output of Snapshot
}

func newCommandList() rafttest.StateMachine { return &commandList{} }

// containsAll reports whether a state machine has applied all the given commands.
func containsAll(l *commandList, values []string) bool {
	applied := make(map[string]bool, len(l.commands))
	for _, v := range l.commands {
		applied[v] = true
	}
	for _, v := range values {
		if !applied[v] {
			return false
		}
	}
	return true
}

// largeState is a state machine whose snapshot has size bytes and begins with the number of
// commands applied.
type largeState struct {
	size    int
	applied uint64
}

func (s *largeState) Apply(uint64, []byte) any { s.applied++; return s.applied }

func (s *largeState) Snapshot() []byte {
	b := make([]byte, s.size)
	for i := range b {
		b[i] = byte(i * i >> 8)
	}
	binary.BigEndian.PutUint64(b, s.applied)
	return b
}

func (s *largeState) Restore(b []byte) { s.size, s.applied = len(b), binary.BigEndian.Uint64(b) }

// limitBandwidth limits the bandwidth of all links to and from a node.
func limitBandwidth(c *rafttest.Cluster, id uint64, bytesPerSecond int) {
	for _, other := range c.IDs() {
		if other != id {
			c.Bandwidth[[2]uint64{other, id}] = bytesPerSecond
			c.Bandwidth[[2]uint64{id, other}] = bytesPerSecond
		}
	}
}

// replaceVoter replaces a failed voter with a running node: it adds the node as a learner,
// promotes it to a voter once it has caught up, and then removes the failed voter.
func replaceVoter(c *rafttest.Cluster, failedID, newID uint64) {
	m := raft.Member{ID: newID, Addr: fmt.Sprint("node-", newID)}
	for range 400 {
		c.Run(20 * time.Millisecond)
		l := c.Leader()
		if l == nil {
			continue
		}
		membership := l.Raft.Membership()
		var err error
		switch {
		case !membership.IsMember(newID):
			err = l.Raft.ProposeConfChange(membership.WithLearner(m))
		case !membership.IsVoter(newID) && l.Raft.MatchIndex(newID) >= l.Raft.CommitIndex():
			err = l.Raft.ProposeConfChange(membership.WithVoter(m))
		case membership.IsVoter(newID) && membership.IsMember(failedID):
			err = l.Raft.ProposeConfChange(membership.Without(failedID))
		case membership.IsVoter(newID) && !membership.IsMember(failedID) && !l.Raft.HasPendingConfChange():
			return
		}
		_ = err // retried, for example while another change is pending
	}
}

func Example() {
	c := rafttest.NewCluster(1, 3, newCommandList)
	c.Run(time.Second)
	leader := c.Leader()
	c.Propose(leader.ID, []byte("hello"), func(result any, ok bool) { fmt.Println("committed:", ok, "length:", result) })
	c.Run(100 * time.Millisecond)
	// Output: committed: true length: 1
}
