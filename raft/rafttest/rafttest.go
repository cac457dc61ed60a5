// Package rafttest is a deterministic simulator of a cluster of raft nodes. Its network
// delays and drops messages and can be partitioned, its disks are slow, can hang and lose
// unsynced writes, and its nodes can crash, freeze or lose their disk. The same seed and
// the same calls produce the same execution.
//
// It is intended for tests of package raft and of programs that embed it. Time is
// simulated, everything runs on the calling goroutine, and a [Cluster] is not safe for
// concurrent use.
package rafttest

import (
	"fmt"
	"math/rand"
	"sort"
	"time"

	"lichentray/raft"
)

// Timing parameters of the simulated nodes.
const (
	HeartbeatInterval = 20 * time.Millisecond
	ElectionTimeout   = 150 * time.Millisecond
)

const (
	defaultStepInterval = 5 * time.Millisecond
	defaultMaxDelay     = 4 * time.Millisecond
	defaultMaxSyncDelay = 6 * time.Millisecond
	// defaultCompactAfter is the number of applied entries that triggers a compaction.
	defaultCompactAfter = 200
)

// StateMachine is the state machine to which a node applies its committed entries.
type StateMachine interface {
	// Apply applies a committed command. The result is passed to the proposer.
	Apply(index uint64, data []byte) any
	// Snapshot returns the complete state.
	Snapshot() []byte
	// Restore replaces the complete state with one returned by Snapshot.
	Restore(data []byte)
}

// Faults are the faults that may affect any message or write.
type Faults struct {
	DropProbability float64       // of a message, from 0 to 1
	MaxDelay        time.Duration // of a message; delays are drawn from 0 to this value
	MaxSyncDelay    time.Duration // of a write; delays are drawn from 0 to this value
}

// link is the connection from one node to another, in that direction only.
type link = [2]uint64

// Cluster is a simulated cluster. Between calls, its exported fields may be read, and
// those that are settings may be changed.
type Cluster struct {
	Now    time.Duration // simulated time since the start
	Rand   *rand.Rand    // all random draws; may be used by the test too
	Faults Faults
	Nodes  map[uint64]*Node
	// StepInterval is the resolution of the simulated time.
	StepInterval time.Duration
	// Bandwidth limits links, each from one node to another, to a number of bytes per
	// second. Excess messages are queued in order. Links not listed are unlimited.
	Bandwidth map[[2]uint64]int
	// SentBytes counts the bytes sent over each link listed in Bandwidth.
	SentBytes map[[2]uint64]int
	// Violation describes the first case of two nodes that committed different entries at
	// one index (State Machine Safety; the paper, section 5.4.3). It is empty if there is
	// none.
	Violation string

	newStateMachine func() StateMachine
	inflight        []inflightMessage
	cutLinks        map[link]bool
	linkFreeAt      map[link]time.Duration // when a limited link has sent all queued messages
	lastReadID      uint64
	committed       map[uint64]string // entries by index, as committed by any node
	compactAfter    int               // applied entries
}

// NewCluster starts a cluster of n voters with the IDs 1 to n. newStateMachine is called
// each time a node starts.
func NewCluster(seed int64, n int, newStateMachine func() StateMachine) *Cluster {
	c := &Cluster{
		Rand:            rand.New(rand.NewSource(seed)),
		Faults:          Faults{MaxDelay: defaultMaxDelay, MaxSyncDelay: defaultMaxSyncDelay},
		Nodes:           map[uint64]*Node{},
		StepInterval:    defaultStepInterval,
		Bandwidth:       map[link]int{},
		SentBytes:       map[link]int{},
		newStateMachine: newStateMachine,
		cutLinks:        map[link]bool{},
		linkFreeAt:      map[link]time.Duration{},
		committed:       map[uint64]string{},
		compactAfter:    defaultCompactAfter,
	}
	var membership raft.Membership
	for id := uint64(1); id <= uint64(n); id++ {
		membership.Voters = append(membership.Voters, raft.Member{ID: id, Addr: fmt.Sprint("node-", id)})
	}
	for _, m := range membership.Voters {
		c.addWithDisk(m.ID, raft.PersistentState{Snapshot: raft.Snapshot{Members: membership}})
	}
	return c
}

func (c *Cluster) addWithDisk(id uint64, disk raft.PersistentState) *Node {
	n := &Node{ID: id, Disk: disk}
	c.Nodes[id] = n
	c.startNode(n)
	return n
}

// Add starts a node with an empty disk that is not a member yet.
func (c *Cluster) Add(id uint64) *Node { return c.addWithDisk(id, raft.PersistentState{}) }

// Remove stops a node permanently. Its disk is lost.
func (c *Cluster) Remove(id uint64) {
	c.Crash(id)
	delete(c.Nodes, id)
}

// Crash stops a node. Its unsynced writes are lost, and its pending proposals and reads
// are completed with ok false, as their outcome is unknown.
func (c *Cluster) Crash(id uint64) {
	n := c.Nodes[id]
	n.isUp = false
	for _, p := range n.proposals {
		p.done(nil, false)
	}
	for _, done := range n.pendingReads {
		done(0, false)
	}
	n.proposals = nil
	n.pendingReads = nil
}

// Restart starts a crashed node from its durable state. It does nothing if the node is up.
func (c *Cluster) Restart(id uint64) {
	if n := c.Nodes[id]; !n.isUp {
		c.startNode(n)
	}
}

// IsUp reports whether a node exists and has not crashed.
func (c *Cluster) IsUp(id uint64) bool {
	n := c.Nodes[id]
	return n != nil && n.isUp
}

// SetFrozen suspends a node without a crash, or resumes it. Messages that arrive in the
// meantime are buffered in its socket.
func (c *Cluster) SetFrozen(id uint64, isFrozen bool) { c.Nodes[id].isFrozen = isFrozen }

// IsFrozen reports whether a node exists and is frozen.
func (c *Cluster) IsFrozen(id uint64) bool {
	n := c.Nodes[id]
	return n != nil && n.isFrozen
}

// HangDisk prevents a node's disk from completing writes for the given duration.
func (c *Cluster) HangDisk(id uint64, duration time.Duration) {
	c.Nodes[id].diskHangsUntil = c.Now + duration
}

// SetLinkCut cuts or restores the link from one node to another, in that direction only.
// Messages that arrive while it is cut are lost.
func (c *Cluster) SetLinkCut(from, to uint64, isCut bool) {
	if isCut {
		c.cutLinks[link{from, to}] = true
	} else {
		delete(c.cutLinks, link{from, to})
	}
}

// IsLinkCut reports whether the link from one node to another is cut.
func (c *Cluster) IsLinkCut(from, to uint64) bool { return c.cutLinks[link{from, to}] }

// Heal restores all links and resumes all frozen nodes.
func (c *Cluster) Heal() {
	c.cutLinks = map[link]bool{}
	for _, n := range c.Nodes {
		n.isFrozen = false
	}
}

// IDs returns the IDs of all nodes, in ascending order.
func (c *Cluster) IDs() []uint64 {
	ids := make([]uint64, 0, len(c.Nodes))
	for id := range c.Nodes {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Leader returns the running node that believes it is the leader, the one with the highest
// term if there are several, or nil.
func (c *Cluster) Leader() *Node {
	var leader *Node
	for _, id := range c.IDs() {
		n := c.Nodes[id]
		if !n.isRunning() || n.Raft.Role() != raft.Leader {
			continue
		}
		if leader == nil || n.Raft.Term() > leader.Raft.Term() {
			leader = n
		}
	}
	return leader
}

// Propose proposes a command on a node, and returns false if the node rejects it. done is
// called with the result of Apply, or with ok false if the command was not committed or
// its outcome is unknown.
func (c *Cluster) Propose(id uint64, data []byte, done func(result any, ok bool)) bool {
	n := c.Nodes[id]
	if !n.isRunning() {
		return false
	}
	index, term, ok := n.Raft.Propose(data)
	if ok {
		n.proposals[index] = proposal{term: term, done: done}
	}
	return ok
}

// Read requests a linearizable read from a node. done is called with ok true once the
// leadership of the node is confirmed, or with ok false if the read is rejected.
func (c *Cluster) Read(id uint64, done func(ok bool)) {
	c.ReadIndex(id, func(_ uint64, ok bool) { done(ok) })
}

// ReadIndex is like Read, but also passes the read index to done, so that another node can
// serve the read once it has applied the log up to that index.
func (c *Cluster) ReadIndex(id uint64, done func(index uint64, ok bool)) {
	n := c.Nodes[id]
	if !n.isRunning() {
		done(0, false)
		return
	}
	c.lastReadID++
	n.pendingReads[c.lastReadID] = done
	n.Raft.ReadIndex(c.lastReadID)
}

// Run advances the simulated time by duration, in steps of StepInterval.
func (c *Cluster) Run(duration time.Duration) {
	for end := c.Now + duration; c.Now < end; {
		c.Now += c.StepInterval
		c.deliverDue()
		for _, id := range c.IDs() {
			n := c.Nodes[id]
			if !n.isRunning() {
				continue
			}
			c.completeDueWrites(n)
			n.Raft.Tick(c.Now)
			c.processReady(n)
		}
	}
}
