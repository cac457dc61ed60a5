package rafttest

import (
	"fmt"
	"time"

	"lichentray/raft"
)

// Node is one simulated node.
type Node struct {
	ID           uint64
	Raft         *raft.Node
	StateMachine StateMachine
	// Disk is the durable state, from which the node restarts after a crash.
	Disk raft.PersistentState

	isUp           bool
	isFrozen       bool
	diskHangsUntil time.Duration
	pendingWrites  []pendingWrite                             // in order
	proposals      map[uint64]proposal                        // by index
	pendingReads   map[uint64]func(readIndex uint64, ok bool) // by request ID
}

// pendingWrite is a write that the disk has not completed.
type pendingWrite struct {
	durableAt time.Duration
	write     *raft.StorageWrite
}

// proposal is a proposed command whose entry is not committed yet.
type proposal struct {
	term uint64
	done func(result any, ok bool)
}

func (n *Node) isRunning() bool { return n.isUp && !n.isFrozen }

// startNode starts a node from its durable state.
func (c *Cluster) startNode(n *Node) {
	n.StateMachine = c.newStateMachine()
	if n.Disk.Snapshot.Data != nil {
		n.StateMachine.Restore(n.Disk.Snapshot.Data)
	}
	saved := n.Disk
	saved.Entries = append([]raft.Entry(nil), saved.Entries...)
	n.Raft = raft.New(raft.Config{
		ID:                n.ID,
		HeartbeatInterval: HeartbeatInterval,
		ElectionTimeout:   ElectionTimeout,
		RandInt63n:        c.Rand.Int63n,
	}, c.Now, saved)
	n.pendingWrites = nil
	n.proposals = map[uint64]proposal{}
	n.pendingReads = map[uint64]func(uint64, bool){}
	n.isUp = true
	n.isFrozen = false
	n.diskHangsUntil = 0
}

// completeDueWrites completes the writes that are due, unless the disk hangs.
func (c *Cluster) completeDueWrites(n *Node) {
	for len(n.pendingWrites) > 0 && n.pendingWrites[0].durableAt <= c.Now && n.diskHangsUntil <= c.Now {
		c.completeWrite(n, n.pendingWrites[0].write)
		n.pendingWrites = n.pendingWrites[1:]
	}
}

// completeWrite makes a write durable and reports it to the raft node.
func (c *Cluster) completeWrite(n *Node, w *raft.StorageWrite) {
	if w.HardState != nil {
		n.Disk.HardState = *w.HardState
	}
	if w.Snapshot != nil {
		n.Disk.Snapshot = *w.Snapshot
		n.Disk.Entries = nil
	}
	for _, e := range w.Entries {
		if e.Index <= n.Disk.Snapshot.Index {
			continue
		}
		position := int(e.Index - n.Disk.Snapshot.Index - 1)
		n.Disk.Entries = append(n.Disk.Entries[:position:position], e)
	}
	c.sendMessages(w.MessagesAfterAppend)
	if count := len(w.Entries); count > 0 {
		last := w.Entries[count-1]
		n.Raft.ReportPersisted(last.Index, last.Term)
	}
}

// processReady processes the output of a raft node until there is none left.
func (c *Cluster) processReady(n *Node) {
	for {
		ready := n.Raft.Ready()
		if len(ready.Messages) == 0 && ready.Write == nil && len(ready.CommittedEntries) == 0 && len(ready.ReadStates) == 0 {
			return
		}
		c.sendMessages(ready.Messages)
		if ready.Write != nil {
			delay := time.Duration(c.Rand.Int63n(int64(c.Faults.MaxSyncDelay) + 1))
			n.pendingWrites = append(n.pendingWrites, pendingWrite{durableAt: c.Now + delay, write: ready.Write})
		}
		if ready.SnapshotToInstall != nil {
			n.StateMachine.Restore(ready.SnapshotToInstall.Data)
		}
		for _, e := range ready.CommittedEntries {
			c.applyCommitted(n, e)
		}
		for _, r := range ready.ReadStates {
			n.finishRead(r)
		}
		c.maybeCompact(n)
	}
}

func (n *Node) finishRead(r raft.ReadState) {
	if done := n.pendingReads[r.RequestID]; done != nil {
		delete(n.pendingReads, r.RequestID)
		done(r.Index, r.Confirmed)
	}
}

// applyCommitted checks a committed entry against the one that other nodes committed at
// the same index, applies it and completes its proposal.
func (c *Cluster) applyCommitted(n *Node, e raft.Entry) {
	entry := fmt.Sprint(e.Term, e.Type, string(e.Data))
	if known, ok := c.committed[e.Index]; ok && known != entry && c.Violation == "" {
		c.Violation = fmt.Sprintf("index %d was committed as %q, but on node %d as %q", e.Index, known, n.ID, entry)
	}
	c.committed[e.Index] = entry
	var result any
	if e.Type == raft.EntryNormal && len(e.Data) > 0 {
		result = n.StateMachine.Apply(e.Index, e.Data)
	}
	if p, ok := n.proposals[e.Index]; ok {
		delete(n.proposals, e.Index)
		p.done(result, p.term == e.Term)
	}
}

// maybeCompact compacts a node's log if it exceeds compactAfter and no write is pending.
// The snapshot is durable immediately.
func (c *Cluster) maybeCompact(n *Node) {
	if n.Raft.CompactableEntries() <= c.compactAfter || len(n.pendingWrites) > 0 {
		return
	}
	snapshot, ok := n.Raft.Compact(n.Raft.AppliedIndex(), n.StateMachine.Snapshot())
	if !ok {
		return
	}
	dropped := snapshot.Index - n.Disk.Snapshot.Index
	if dropped <= uint64(len(n.Disk.Entries)) {
		n.Disk.Entries = append([]raft.Entry(nil), n.Disk.Entries[dropped:]...)
	} else {
		n.Disk.Entries = nil
	}
	n.Disk.Snapshot = snapshot
}
