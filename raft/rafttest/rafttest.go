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
	Heartbeat = 20 * time.Millisecond
	Election  = 150 * time.Millisecond
)

// Machine is the state machine that a node feeds.
type Machine interface {
	// Apply takes a committed command; its result goes to the proposer.
	Apply(index uint64, data []byte) any
	Snapshot() []byte
	Restore(data []byte)
}

// Faults are the chances of trouble, each per message or write.
type Faults struct {
	Drop     float64
	DelayMax time.Duration
	SyncMax  time.Duration
}

type letter struct {
	at  time.Duration
	seq int
	m   raft.Message
}

type job struct {
	at time.Duration
	w  *raft.Write
}

// Node is one simulated node.
type Node struct {
	ID      uint64
	Raft    *raft.Node
	Machine Machine
	// Disk is what would be found after a crash.
	Disk raft.Saved

	up, frozen bool
	diskUntil  time.Duration
	jobs       []job
	waiting    map[uint64]call
	reads      map[uint64]func(index uint64, ok bool)
}

type call struct {
	term uint64
	done func(result any, ok bool)
}

// Cluster is the simulated group.
type Cluster struct {
	Now    time.Duration
	Rand   *rand.Rand
	Faults Faults
	Nodes  map[uint64]*Node
	Step   time.Duration
	// Bandwidth is what a way carries, in bytes a second; what is sent beyond it
	// waits in order. A way that isn't named carries anything.
	Bandwidth map[[2]uint64]int
	// Carried is how many bytes each way of those named has taken.
	Carried map[[2]uint64]int

	free    map[[2]uint64]time.Duration // when a way has carried all
	fresh   func() Machine
	letters []letter
	seq     int
	cut     map[[2]uint64]bool
	readSeq uint64
	chosen  map[uint64]string // what was committed at an index, anywhere
	// Broken holds the first violation of agreement, or is empty.
	Broken  string
	compact int
}

// New makes n voters whose machines come from fresh.
func New(seed int64, n int, fresh func() Machine) *Cluster {
	c := &Cluster{
		Rand: rand.New(rand.NewSource(seed)), Nodes: map[uint64]*Node{}, Step: 5 * time.Millisecond, fresh: fresh,
		Faults: Faults{DelayMax: 4 * time.Millisecond, SyncMax: 6 * time.Millisecond},
		cut:    map[[2]uint64]bool{}, chosen: map[uint64]string{}, compact: 200,
		Bandwidth: map[[2]uint64]int{}, Carried: map[[2]uint64]int{}, free: map[[2]uint64]time.Duration{},
	}
	var ms raft.Membership
	for id := uint64(1); id <= uint64(n); id++ {
		ms.Voters = append(ms.Voters, raft.Member{ID: id, Addr: fmt.Sprint("node-", id)})
	}
	for _, m := range ms.Voters {
		c.add(m.ID, raft.Saved{Snapshot: raft.Snapshot{Members: ms}})
	}
	return c
}

func (c *Cluster) add(id uint64, disk raft.Saved) *Node {
	n := &Node{ID: id, Disk: disk}
	c.Nodes[id] = n
	c.start(n)
	return n
}

// Add starts a node with an empty disk that is no member yet.
func (c *Cluster) Add(id uint64) *Node { return c.add(id, raft.Saved{}) }

func (c *Cluster) start(n *Node) {
	n.Machine = c.fresh()
	if n.Disk.Snapshot.Data != nil {
		n.Machine.Restore(n.Disk.Snapshot.Data)
	}
	saved := n.Disk
	saved.Entries = append([]raft.Entry(nil), saved.Entries...)
	n.Raft = raft.New(raft.Config{ID: n.ID, Heartbeat: Heartbeat, Election: Election, Rand: c.Rand.Int63n}, c.Now, saved)
	n.jobs, n.waiting, n.reads, n.up, n.frozen, n.diskUntil = nil, map[uint64]call{}, map[uint64]func(uint64, bool){}, true, false, 0
}

// Crash stops a node; what its disk had not synced is lost.
func (c *Cluster) Crash(id uint64) {
	n := c.Nodes[id]
	n.up = false
	for _, w := range n.waiting {
		w.done(nil, false)
	}
	for _, r := range n.reads {
		r(0, false)
	}
	n.waiting, n.reads = nil, nil
}

// Restart starts a crashed node from its disk.
func (c *Cluster) Restart(id uint64) {
	if n := c.Nodes[id]; !n.up {
		c.start(n)
	}
}

// Remove ends a node for good.
func (c *Cluster) Remove(id uint64) {
	c.Crash(id)
	delete(c.Nodes, id)
}

// Up tells whether a node runs.
func (c *Cluster) Up(id uint64) bool { n := c.Nodes[id]; return n != nil && n.up }

// Freeze makes a node stand still, or go on.
func (c *Cluster) Freeze(id uint64, on bool) { c.Nodes[id].frozen = on }

// Frozen tells whether a node stands still.
func (c *Cluster) Frozen(id uint64) bool { n := c.Nodes[id]; return n != nil && n.frozen }

// HangDisk makes a node's disk hang for a time.
func (c *Cluster) HangDisk(id uint64, span time.Duration) { c.Nodes[id].diskUntil = c.Now + span }

// Cut parts the way from one node to another, in that direction only.
func (c *Cluster) Cut(from, to uint64, on bool) {
	if on {
		c.cut[[2]uint64{from, to}] = true
	} else {
		delete(c.cut, [2]uint64{from, to})
	}
}

// Parted tells whether the way from one node to another is cut.
func (c *Cluster) Parted(from, to uint64) bool { return c.cut[[2]uint64{from, to}] }

// Heal joins all ways and thaws all nodes.
func (c *Cluster) Heal() {
	c.cut = map[[2]uint64]bool{}
	for _, n := range c.Nodes {
		n.frozen = false
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
		if n.up && !n.frozen && n.Raft.Role() == raft.Leader && (best == nil || n.Raft.Term() > best.Raft.Term()) {
			best = n
		}
	}
	return best
}

// Propose puts a command to a node. done hears the result, or ok = false when
// the outcome is unknown or nothing was done.
func (c *Cluster) Propose(id uint64, data []byte, done func(result any, ok bool)) bool {
	n := c.Nodes[id]
	if !n.up || n.frozen {
		return false
	}
	index, term, ok := n.Raft.Propose(data)
	if ok {
		n.waiting[index] = call{term, done}
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
	if !n.up || n.frozen {
		done(0, false)
		return
	}
	c.readSeq++
	n.reads[c.readSeq] = done
	n.Raft.ReadIndex(c.readSeq)
}

// Run lets simulated time pass.
func (c *Cluster) Run(span time.Duration) {
	for end := c.Now + span; c.Now < end; {
		c.Now += c.Step
		c.deliver()
		for _, id := range c.IDs() {
			n := c.Nodes[id]
			if !n.up || n.frozen {
				continue
			}
			for len(n.jobs) > 0 && n.jobs[0].at <= c.Now && n.diskUntil <= c.Now {
				c.sync(n, n.jobs[0].w)
				n.jobs = n.jobs[1:]
			}
			n.Raft.Tick(c.Now)
			c.drain(n)
		}
	}
}

func (c *Cluster) deliver() {
	due := c.letters
	c.letters = nil
	sort.SliceStable(due, func(i, j int) bool { return due[i].at < due[j].at })
	for _, l := range due {
		if l.at > c.Now {
			c.letters = append(c.letters, l)
			continue
		}
		n := c.Nodes[l.m.To]
		if n == nil || !n.up || c.Parted(l.m.From, l.m.To) {
			continue
		}
		if n.frozen { // it waits in the socket
			c.letters = append(c.letters, l)
			continue
		}
		n.Raft.Step(c.Now, l.m)
		c.drain(n)
	}
}

func (c *Cluster) post(ms []raft.Message) {
	for _, m := range ms {
		if c.Rand.Float64() < c.Faults.Drop {
			continue
		}
		c.seq++
		at := c.Now
		way := [2]uint64{m.From, m.To}
		if rate := c.Bandwidth[way]; rate > 0 {
			n := size(m)
			at = max(at, c.free[way]) + time.Second*time.Duration(n)/time.Duration(rate)
			c.free[way] = at
			c.Carried[way] += n
		}
		c.letters = append(c.letters, letter{at + time.Duration(c.Rand.Int63n(int64(c.Faults.DelayMax)+1)), c.seq, m})
	}
}

// size is about what a message takes on its way.
func size(m raft.Message) int {
	n := 100
	for _, e := range m.Entries {
		n += 30 + len(e.Data)
	}
	if m.Snap != nil {
		n += len(m.Snap.Data)
	}
	return n
}

// sync makes a write durable.
func (c *Cluster) sync(n *Node, w *raft.Write) {
	if w.Hard != nil {
		n.Disk.Hard = *w.Hard
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
	c.post(w.After)
	if k := len(w.Entries); k > 0 {
		n.Raft.Persisted(w.Entries[k-1].Index, w.Entries[k-1].Term)
	}
}

func (c *Cluster) drain(n *Node) {
	for {
		e := n.Raft.Ready()
		if len(e.Send) == 0 && e.Write == nil && len(e.Committed) == 0 && len(e.Reads) == 0 {
			return
		}
		c.post(e.Send)
		if e.Write != nil {
			n.jobs = append(n.jobs, job{c.Now + time.Duration(c.Rand.Int63n(int64(c.Faults.SyncMax)+1)), e.Write})
		}
		if e.Install != nil {
			n.Machine.Restore(e.Install.Data)
		}
		for _, en := range e.Committed {
			c.commit(n, en)
		}
		for _, r := range e.Reads {
			if done := n.reads[r.Context]; done != nil {
				delete(n.reads, r.Context)
				done(r.Index, r.OK)
			}
		}
		if n.Raft.LogSize() > c.compact && len(n.jobs) == 0 {
			if s, ok := n.Raft.Compact(n.Raft.Applied(), n.Machine.Snapshot()); ok {
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

func (c *Cluster) commit(n *Node, en raft.Entry) {
	text := fmt.Sprint(en.Term, en.Type, string(en.Data))
	if was, ok := c.chosen[en.Index]; ok && was != text && c.Broken == "" {
		c.Broken = fmt.Sprintf("index %d was committed as %q and, at node %d, as %q", en.Index, was, n.ID, text)
	}
	c.chosen[en.Index] = text
	var result any
	if en.Type == raft.Normal && len(en.Data) > 0 {
		result = n.Machine.Apply(en.Index, en.Data)
	}
	if w, ok := n.waiting[en.Index]; ok {
		delete(n.waiting, en.Index)
		w.done(result, w.term == en.Term)
	}
}
