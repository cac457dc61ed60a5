package raft_test

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"lichentray/raft"
	"lichentray/raft/rafttest"
)

// commandList is a state machine that keeps all commands in their order.
type commandList struct{ commands []string }

func (l *commandList) Apply(_ uint64, data []byte) any {
	l.commands = append(l.commands, string(data))
	return len(l.commands)
}

func (l *commandList) Snapshot() []byte {
	data, _ := json.Marshal(l.commands) // cannot fail: they are strings
	return data
}

func (l *commandList) Restore(data []byte) {
	l.commands = nil
	_ = json.Unmarshal(data, &l.commands) // Snapshot wrote it
}

func newCommandList() rafttest.StateMachine { return &commandList{} }

// containsAll reports whether a state machine has applied all these commands.
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

// largeState is a state machine with a snapshot of size bytes, which begins with the number
// of commands applied.
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

// limitBandwidth limits all links to and from a node to a number of bytes a second.
func limitBandwidth(c *rafttest.Cluster, id uint64, bytesPerSecond int) {
	for _, other := range c.IDs() {
		if other != id {
			c.Bandwidth[[2]uint64{other, id}] = bytesPerSecond
			c.Bandwidth[[2]uint64{id, other}] = bytesPerSecond
		}
	}
}

// replaceVoter replaces a dead voter by a running node, as an operator would: it adds the
// node as a learner, makes it a voter once it has caught up, and removes the dead voter.
func replaceVoter(c *rafttest.Cluster, dead, fresh uint64) {
	m := raft.Member{ID: fresh, Addr: fmt.Sprint("node-", fresh)}
	for range 400 {
		c.Run(20 * time.Millisecond)
		l := c.Leader()
		if l == nil {
			continue
		}
		ms := l.Raft.Membership()
		var err error
		switch {
		case !ms.IsMember(fresh):
			err = l.Raft.ProposeConfChange(ms.WithLearner(m))
		case !ms.IsVoter(fresh) && l.Raft.MatchIndex(fresh) >= l.Raft.CommitIndex():
			err = l.Raft.ProposeConfChange(ms.WithVoter(m))
		case ms.IsVoter(fresh) && ms.IsMember(dead):
			err = l.Raft.ProposeConfChange(ms.Without(dead))
		case ms.IsVoter(fresh) && !ms.IsMember(dead) && !l.Raft.HasPendingConfChange():
			return
		}
		_ = err // tried again, as after a change that is still pending
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
