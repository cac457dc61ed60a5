// Package rafttest is a deterministic simulator of a group of clamp nodes
// (simulation testing): a network that delays, drops and parts, disks that lag,
// hang and forget what was not synced, nodes that crash, freeze or lose their
// disk. One seed gives one history. It is meant for tests, this project's and
// those of programs that embed clamp.
package rafttest

import (
	"fmt"
	"math/rand"
	"sort"
	"time"

	"lichentray/raft"
)

// How patient the simulated nodes are.
const (
	HeartbeatInterval = 20 * time.Millisecond
	ElectionTimeout   = 150 * time.Millisecond
)

// StateMachine is the state machine that a node feeds.
type StateMachine interface {
	// Apply takes a committed command; its result goes to the proposer.
	Apply(index uint64, data []byte) any
	Snapshot() []byte
	Restore(data []byte)
}

// Faults are the chances of trouble, each per message or write.
type Faults struct {
	DropProbability float64
	MaxDelay        time.Duration
	MaxSyncDelay    time.Duration
}

type inflightMessage struct {
	deliverAt time.Duration
	seq       int
	message   raft.Message
}

type pendingWrite struct {
	durableAt time.Duration
	write     *raft.StorageWrite
}

// Node is one simulated node.
type Node struct {
	ID           uint64
	Raft         *raft.Node
	StateMachine StateMachine
	// Disk is what would be found after a crash.
	Disk raft.PersistentState

	isUp, isFrozen bool
	diskHangsUntil time.Duration
	pendingWrites  []pendingWrite
	proposals      map[uint64]proposal
	pendingReads   map[uint64]func(index uint64, ok bool)
}

type proposal struct {
	term uint64
	done func(result any, ok bool)
}

// Cluster is the simulated group.
type Cluster struct {
	Now          time.Duration
	Rand         *rand.Rand
	Faults       Faults
	Nodes        map[uint64]*Node
	StepInterval time.Duration
	// Bandwidth is what a way carries, in bytes a second; what is sent beyond it
	// waits in order. A way that isn't named carries anything.
	Bandwidth map[[2]uint64]int
	// CarriedBytes is how many bytes each way of those named has taken.
	CarriedBytes map[[2]uint64]int

	linkFreeAt      map[[2]uint64]time.Duration // when a way has carried all
	newStateMachine func() StateMachine
	inflight        []inflightMessage
	messageSeq      int
	cutLinks        map[[2]uint64]bool
	readSeq         uint64
	committed       map[uint64]string // what was committed at an index, anywhere
	// Violation holds the first violation of agreement, or is empty.
	Violation    string
	compactAfter int
}

// NewCluster makes n voters whose machines come from fresh.
func NewCluster(seed int64, n int, fresh func() StateMachine) *Cluster {
	c := &Cluster{
		Rand: rand.New(rand.NewSource(seed)), Nodes: map[uint64]*Node{}, StepInterval: 5 * time.Millisecond, newStateMachine: fresh,
		Faults:   Faults{MaxDelay: 4 * time.Millisecond, MaxSyncDelay: 6 * time.Millisecond},
		cutLinks: map[[2]uint64]bool{}, committed: map[uint64]string{}, compactAfter: 200,
		Bandwidth: map[[2]uint64]int{}, CarriedBytes: map[[2]uint64]int{}, linkFreeAt: map[[2]uint64]time.Duration{},
	}
	var ms raft.Membership
	for id := uint64(1); id <= uint64(n); id++ {
		ms.Voters = append(ms.Voters, raft.Member{ID: id, Addr: fmt.Sprint("node-", id)})
	}
	for _, m := range ms.Voters {
		c.addWithDisk(m.ID, raft.PersistentState{Snapshot: raft.Snapshot{Members: ms}})
	}
	return c
}

func (c *Cluster) addWithDisk(id uint64, disk raft.PersistentState) *Node {
	n := &Node{ID: id, Disk: disk}
	c.Nodes[id] = n
	c.startNode(n)
	return n
}

// Add starts a node with an empty disk that is no member yet.
func (c *Cluster) Add(id uint64) *Node { return c.addWithDisk(id, raft.PersistentState{}) }

func (c *Cluster) startNode(n *Node) {
	n.StateMachine = c.newStateMachine()
	if n.Disk.Snapshot.Data != nil {
		n.StateMachine.Restore(n.Disk.Snapshot.Data)
	}
	saved := n.Disk
	saved.Entries = append([]raft.Entry(nil), saved.Entries...)
	n.Raft = raft.New(raft.Config{ID: n.ID, HeartbeatInterval: HeartbeatInterval, ElectionTimeout: ElectionTimeout, RandInt63n: c.Rand.Int63n}, c.Now, saved)
	n.pendingWrites, n.proposals, n.pendingReads, n.isUp, n.isFrozen, n.diskHangsUntil = nil, map[uint64]proposal{}, map[uint64]func(uint64, bool){}, true, false, 0
}

// Crash stops a node; what its disk had not synced is lost.
func (c *Cluster) Crash(id uint64) {
	n := c.Nodes[id]
	n.isUp = false
	for _, w := range n.proposals {
		w.done(nil, false)
	}
	for _, r := range n.pendingReads {
		r(0, false)
	}
	n.proposals, n.pendingReads = nil, nil
}

// Restart starts a crashed node from its disk.
func (c *Cluster) Restart(id uint64) {
	if n := c.Nodes[id]; !n.isUp {
		c.startNode(n)
	}
}

// Remove ends a node for good.
func (c *Cluster) Remove(id uint64) {
	c.Crash(id)
	delete(c.Nodes, id)
}

// IsUp tells whether a node runs.
func (c *Cluster) IsUp(id uint64) bool { n := c.Nodes[id]; return n != nil && n.isUp }

// SetFrozen makes a node stand still, or go on.
func (c *Cluster) SetFrozen(id uint64, on bool) { c.Nodes[id].isFrozen = on }

// IsFrozen tells whether a node stands still.
func (c *Cluster) IsFrozen(id uint64) bool { n := c.Nodes[id]; return n != nil && n.isFrozen }

// HangDisk makes a node's disk hang for a time.
func (c *Cluster) HangDisk(id uint64, span time.Duration) { c.Nodes[id].diskHangsUntil = c.Now + span }

// SetLinkCut parts the way from one node to another, in that direction only.
func (c *Cluster) SetLinkCut(from, to uint64, on bool) {
	if on {
		c.cutLinks[[2]uint64{from, to}] = true
	} else {
		delete(c.cutLinks, [2]uint64{from, to})
	}
}

// IsLinkCut tells whether the way from one node to another is cut.
func (c *Cluster) IsLinkCut(from, to uint64) bool { return c.cutLinks[[2]uint64{from, to}] }

// Heal joins all ways and thaws all nodes.
func (c *Cluster) Heal() {
	c.cutLinks = map[[2]uint64]bool{}
	for _, n := range c.Nodes {
		n.isFrozen = false
	}
}

// IDs gives the nodes in order.
func (c *Cluster) IDs() []uint64 {
	ids := make([]uint64, 0, len(c.Nodes))
	for id := range c.Nodes {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Leader gives a node that believes it leads, the one of the highest term.
func (c *Cluster) Leader() *Node {
	var best *Node
	for _, id := range c.IDs() {
		n := c.Nodes[id]
		if n.isUp && !n.isFrozen && n.Raft.Role() == raft.Leader && (best == nil || n.Raft.Term() > best.Raft.Term()) {
			best = n
		}
	}
	return best
}

// Propose puts a command to a node. done hears the result, or ok = false when
// the outcome is unknown or nothing was done.
func (c *Cluster) Propose(id uint64, data []byte, done func(result any, ok bool)) bool {
	n := c.Nodes[id]
	if !n.isUp || n.isFrozen {
		return false
	}
	index, term, ok := n.Raft.Propose(data)
	if ok {
		n.proposals[index] = proposal{term, done}
	}
	return ok
}

// Read asks a node for a confirmed read point; done runs when its machine has
// reached it.
func (c *Cluster) Read(id uint64, done func(ok bool)) {
	c.ReadIndex(id, func(_ uint64, ok bool) { done(ok) })
}

// ReadIndex does so and tells the read point, for another node to wait for.
func (c *Cluster) ReadIndex(id uint64, done func(index uint64, ok bool)) {
	n := c.Nodes[id]
	if !n.isUp || n.isFrozen {
		done(0, false)
		return
	}
	c.readSeq++
	n.pendingReads[c.readSeq] = done
	n.Raft.ReadIndex(c.readSeq)
}

// Run lets simulated time pass.
func (c *Cluster) Run(span time.Duration) {
	for end := c.Now + span; c.Now < end; {
		c.Now += c.StepInterval
		c.deliverDue()
		for _, id := range c.IDs() {
			n := c.Nodes[id]
			if !n.isUp || n.isFrozen {
				continue
			}
			for len(n.pendingWrites) > 0 && n.pendingWrites[0].durableAt <= c.Now && n.diskHangsUntil <= c.Now {
				c.completeWrite(n, n.pendingWrites[0].write)
				n.pendingWrites = n.pendingWrites[1:]
			}
			n.Raft.Tick(c.Now)
			c.processReady(n)
		}
	}
}

func (c *Cluster) deliverDue() {
	due := c.inflight
	c.inflight = nil
	sort.SliceStable(due, func(i, j int) bool { return due[i].deliverAt < due[j].deliverAt })
	for _, l := range due {
		if l.deliverAt > c.Now {
			c.inflight = append(c.inflight, l)
			continue
		}
		n := c.Nodes[l.message.To]
		if n == nil || !n.isUp || c.IsLinkCut(l.message.From, l.message.To) {
			continue
		}
		if n.isFrozen { // it waits in the socket
			c.inflight = append(c.inflight, l)
			continue
		}
		n.Raft.Step(c.Now, l.message)
		c.processReady(n)
	}
}

func (c *Cluster) sendMessages(ms []raft.Message) {
	for _, m := range ms {
		if c.Rand.Float64() < c.Faults.DropProbability {
			continue
		}
		c.messageSeq++
		at := c.Now
		way := [2]uint64{m.From, m.To}
		if rate := c.Bandwidth[way]; rate > 0 {
			n := messageSize(m)
			at = max(at, c.linkFreeAt[way]) + time.Second*time.Duration(n)/time.Duration(rate)
			c.linkFreeAt[way] = at
			c.CarriedBytes[way] += n
		}
		c.inflight = append(c.inflight, inflightMessage{at + time.Duration(c.Rand.Int63n(int64(c.Faults.MaxDelay)+1)), c.messageSeq, m})
	}
}

// messageSize is about what a message takes on its way.
func messageSize(m raft.Message) int {
	n := 100
	for _, e := range m.Entries {
		n += 30 + len(e.Data)
	}
	if m.Snap != nil {
		n += len(m.Snap.Data)
	}
	return n
}

// completeWrite makes a write durable.
func (c *Cluster) completeWrite(n *Node, w *raft.StorageWrite) {
	if w.HardState != nil {
		n.Disk.HardState = *w.HardState
	}
	if w.Snapshot != nil {
		n.Disk.Snapshot, n.Disk.Entries = *w.Snapshot, nil
	}
	for _, e := range w.Entries {
		at := int(e.Index - n.Disk.Snapshot.Index - 1)
		if e.Index <= n.Disk.Snapshot.Index {
			continue
		}
		n.Disk.Entries = append(n.Disk.Entries[:at:at], e)
	}
	c.sendMessages(w.MessagesAfterAppend)
	if k := len(w.Entries); k > 0 {
		n.Raft.ReportPersisted(w.Entries[k-1].Index, w.Entries[k-1].Term)
	}
}

func (c *Cluster) processReady(n *Node) {
	for {
		e := n.Raft.Ready()
		if len(e.Messages) == 0 && e.Write == nil && len(e.CommittedEntries) == 0 && len(e.ReadStates) == 0 {
			return
		}
		c.sendMessages(e.Messages)
		if e.Write != nil {
			n.pendingWrites = append(n.pendingWrites, pendingWrite{c.Now + time.Duration(c.Rand.Int63n(int64(c.Faults.MaxSyncDelay)+1)), e.Write})
		}
		if e.SnapshotToInstall != nil {
			n.StateMachine.Restore(e.SnapshotToInstall.Data)
		}
		for _, en := range e.CommittedEntries {
			c.applyCommitted(n, en)
		}
		for _, r := range e.ReadStates {
			if done := n.pendingReads[r.RequestID]; done != nil {
				delete(n.pendingReads, r.RequestID)
				done(r.Index, r.Confirmed)
			}
		}
		if n.Raft.CompactableEntries() > c.compactAfter && len(n.pendingWrites) == 0 {
			if s, ok := n.Raft.Compact(n.Raft.AppliedIndex(), n.StateMachine.Snapshot()); ok {
				k := s.Index - n.Disk.Snapshot.Index
				if k <= uint64(len(n.Disk.Entries)) {
					n.Disk.Entries = append([]raft.Entry(nil), n.Disk.Entries[k:]...)
				} else {
					n.Disk.Entries = nil
				}
				n.Disk.Snapshot = s
			}
		}
	}
}

func (c *Cluster) applyCommitted(n *Node, en raft.Entry) {
	text := fmt.Sprint(en.Term, en.Type, string(en.Data))
	if was, ok := c.committed[en.Index]; ok && was != text && c.Violation == "" {
		c.Violation = fmt.Sprintf("index %d was committed as %q and, at node %d, as %q", en.Index, was, n.ID, text)
	}
	c.committed[en.Index] = text
	var result any
	if en.Type == raft.EntryNormal && len(en.Data) > 0 {
		result = n.StateMachine.Apply(en.Index, en.Data)
	}
	if w, ok := n.proposals[en.Index]; ok {
		delete(n.proposals, en.Index)
		w.done(result, w.term == en.Term)
	}
}
