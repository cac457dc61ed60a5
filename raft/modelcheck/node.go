package modelcheck

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lichentray/raft"
)

// digestSize is the size of a snapshot's data in bytes. The data is the digest of all
// applied entries, which represents the state of the state machine.
const digestSize = 8

// nodeState is the state of one node and its disk. It is immutable: an event leads to
// another nodeState. Equal states within an exploration share one pointer.
type nodeState struct {
	id            uint64
	raft          *raft.Node
	now           time.Duration
	disk          raft.PersistentState
	pendingWrites []pendingWrite
	appliedDigest uint64 // of all applied entries
	fingerprint   uint64
}

// pendingWrite is a write that the disk has not completed.
type pendingWrite struct {
	write        *raft.StorageWrite
	isCompaction bool // the snapshot replaces only the entries up to its index
}

// packet is a message in the network. Equal messages within an exploration share one
// pointer.
type packet struct {
	message     raft.Message
	fingerprint uint64
}

// transition is the effect of an event on one node. It depends only on that node and the
// event, not on the rest of the cluster.
type transition struct {
	next         *nodeState // nil if the event cannot occur on the node
	sent         []*packet
	observations []observation // in the order of the outputs
	violation    string        // of an invariant of a single node
}

// observation is an output of a node that is checked against the invariants. Exactly one
// of its pointers is set.
type observation struct {
	committed   *raft.Entry
	snapshot    *raft.Snapshot
	readState   *raft.ReadState
	digestAfter uint64 // of all entries up to committed
}

// transitionKey identifies a transition.
type transitionKey struct {
	node   *nodeState
	event  event  // without the node
	serial uint64 // of a proposal or a read; the new ID for LoseDisk
}

// transitionCache stores the node states, messages and transitions of an exploration.
type transitionCache struct {
	initialMembership raft.Membership
	nodeStates        map[uint64]*nodeState // by fingerprint
	packets           map[uint64]*packet    // by fingerprint
	transitions       map[transitionKey]*transition
}

func newTransitionCache() *transitionCache {
	return &transitionCache{
		nodeStates:  map[uint64]*nodeState{},
		packets:     map[uint64]*packet{},
		transitions: map[transitionKey]*transition{},
	}
}

// startNode returns a node that starts from the state on its disk.
func startNode(id uint64, now time.Duration, disk raft.PersistentState) *nodeState {
	n := &nodeState{id: id, now: now, disk: disk}
	n.restoreDigest(disk.Snapshot)
	saved := disk
	saved.Entries = slices.Clone(disk.Entries)
	n.raft = raft.New(raft.Config{
		ID:                id,
		HeartbeatInterval: heartbeatInterval,
		ElectionTimeout:   electionTimeout,
		MaxBatchBytes:     1,
		RandInt63n:        func(int64) int64 { return 0 },
	}, now, saved)
	return n
}

// restoreDigest restores the applied digest from a snapshot, if the snapshot has one.
func (n *nodeState) restoreDigest(s raft.Snapshot) {
	if len(s.Data) == digestSize {
		n.appliedDigest = binary.BigEndian.Uint64(s.Data)
	}
}

// encodeDigest returns the data of a snapshot.
func encodeDigest(digest uint64) []byte { return binary.BigEndian.AppendUint64(nil, digest) }

// internNode returns the exploration's unique nodeState that equals n.
func (t *transitionCache) internNode(n *nodeState) *nodeState {
	b := n.raft.Fingerprint(make([]byte, 0, 1024), fingerprintHorizon)
	b = n.disk.Fingerprint(b)
	for _, w := range n.pendingWrites {
		b = w.write.Fingerprint(append(b, '.'))
	}
	b = binary.BigEndian.AppendUint64(b, n.appliedDigest)
	n.fingerprint = xxhash.Sum64(b)
	if known := t.nodeStates[n.fingerprint]; known != nil {
		return known
	}
	t.nodeStates[n.fingerprint] = n
	return n
}

// internMessage returns the exploration's unique packet with this message.
func (t *transitionCache) internMessage(m raft.Message) *packet {
	fingerprint := xxhash.Sum64(m.Fingerprint(nil))
	p := t.packets[fingerprint]
	if p == nil {
		p = &packet{message: m, fingerprint: fingerprint}
		t.packets[fingerprint] = p
	}
	return p
}

// transition returns the effect of key's event on key's node.
func (t *transitionCache) transition(key transitionKey) *transition {
	known := t.transitions[key]
	if known == nil {
		known = t.computeTransition(key)
		t.transitions[key] = known
	}
	return known
}

// computeTransition applies the event to a copy of the node.
func (t *transitionCache) computeTransition(key transitionKey) *transition {
	n := *key.node
	n.raft = n.raft.Clone()
	n.pendingWrites = slices.Clone(n.pendingWrites)
	result := &transition{}
	if !t.applyEvent(&n, key, result) {
		return result
	}
	t.processReady(&n, result)
	result.next = t.internNode(&n)
	return result
}

// applyEvent applies an event to n. It returns false if the event cannot occur on n.
func (t *transitionCache) applyEvent(n *nodeState, key transitionKey, result *transition) bool {
	switch key.event.kind {
	case Deliver:
		n.raft.Step(n.now, key.event.packet.message)
	case Sync:
		return t.syncOldestWrite(n, result)
	case Tick:
		n.now += electionTimeout
		n.raft.Tick(n.now)
	case Propose:
		_, _, ok := n.raft.Propose(fmt.Append(nil, "v", key.serial))
		return ok
	case ReadIndex:
		n.raft.ReadIndex(key.serial)
	case TransferLeadership:
		return n.raft.TransferLeadership()
	case Crash:
		*n = *startNode(n.id, n.now, n.disk)
	case ReuseDisk:
		*n = *startNode(n.id, n.now, raft.PersistentState{Snapshot: raft.Snapshot{Members: t.initialMembership}})
	case LoseDisk:
		*n = *startNode(key.serial, fingerprintHorizon, raft.PersistentState{})
	case Compact:
		return n.compact(result)
	case ConfChange:
		return n.raft.ProposeConfChange(key.event.changedMembership(n.raft.Membership())) == nil
	}
	return true
}

// changedMembership returns the membership after a ConfChange.
func (e event) changedMembership(m raft.Membership) raft.Membership {
	target := raft.Member{ID: e.target}
	switch e.change {
	case addLearner:
		return m.WithLearner(target)
	case promoteLearner:
		return m.WithVoter(target)
	case swapVoter:
		return m.WithVoter(target).Without(e.removed)
	case removeVoter:
		return m.Without(e.target)
	}
	return m
}

// compact takes a snapshot of the applied state and queues it to be written.
func (n *nodeState) compact(result *transition) bool {
	snapshot, ok := n.raft.Compact(n.raft.AppliedIndex(), encodeDigest(n.appliedDigest))
	if !ok {
		return false
	}
	result.observations = append(result.observations, observation{snapshot: &snapshot})
	n.pendingWrites = append(n.pendingWrites, pendingWrite{write: &raft.StorageWrite{Snapshot: &snapshot}, isCompaction: true})
	return true
}

// syncOldestWrite completes the oldest pending write and reports it to the raft node.
func (t *transitionCache) syncOldestWrite(n *nodeState, result *transition) bool {
	if len(n.pendingWrites) == 0 {
		return false
	}
	w := n.pendingWrites[0]
	n.pendingWrites = n.pendingWrites[1:]
	n.completeWrite(w)
	t.sendMessages(n, result, w.write.MessagesAfterAppend)
	if count := len(w.write.Entries); count > 0 {
		last := w.write.Entries[count-1]
		n.raft.ReportPersisted(last.Index, last.Term)
	}
	return true
}

// completeWrite applies a write to the disk.
func (n *nodeState) completeWrite(w pendingWrite) {
	if w.write.HardState != nil {
		n.disk.HardState = *w.write.HardState
	}
	if s := w.write.Snapshot; s != nil {
		var kept []raft.Entry
		for _, e := range n.disk.Entries {
			if w.isCompaction && e.Index > s.Index {
				kept = append(kept, e)
			}
		}
		n.disk.Snapshot = *s
		n.disk.Entries = kept
	}
	for _, e := range w.write.Entries {
		if e.Index > n.disk.Snapshot.Index {
			before := n.disk.Entries[:e.Index-n.disk.Snapshot.Index-1]
			n.disk.Entries = append(slices.Clip(before), e)
		}
	}
}

// processReady processes the output of the raft node until there is none left.
func (t *transitionCache) processReady(n *nodeState, result *transition) {
	for {
		ready := n.raft.Ready()
		if len(ready.Messages) == 0 && ready.Write == nil && len(ready.CommittedEntries) == 0 && len(ready.ReadStates) == 0 {
			return
		}
		t.sendMessages(n, result, ready.Messages)
		if ready.Write != nil {
			t.queueWrite(n, result, ready.Write)
		}
		n.observe(result, ready)
	}
}

// queueWrite queues a write. If the write is empty and no other is pending, it sends the
// messages of the write immediately.
func (t *transitionCache) queueWrite(n *nodeState, result *transition, w *raft.StorageWrite) {
	isEmpty := w.HardState == nil && w.Snapshot == nil && len(w.Entries) == 0
	if isEmpty && len(n.pendingWrites) == 0 {
		t.sendMessages(n, result, w.MessagesAfterAppend)
		return
	}
	n.pendingWrites = append(n.pendingWrites, pendingWrite{write: w})
}

// observe applies committed entries and records the outputs to check against the
// invariants.
func (n *nodeState) observe(result *transition, ready raft.Ready) {
	if s := ready.SnapshotToInstall; s != nil {
		result.observations = append(result.observations, observation{snapshot: s})
		n.restoreDigest(*s)
	}
	for _, e := range ready.CommittedEntries {
		n.appliedDigest = xxhash.Sum64(fmt.Appendf(nil, "%d %d %d %d %s", n.appliedDigest, e.Index, e.Term, e.Type, e.Data))
		result.observations = append(result.observations, observation{committed: &e, digestAfter: n.appliedDigest})
	}
	for _, r := range ready.ReadStates {
		result.observations = append(result.observations, observation{readState: &r})
	}
}

// sendMessages records the messages that a node sends, and checks that the state that each
// message relies on is on the node's disk.
func (t *transitionCache) sendMessages(n *nodeState, result *transition, messages []raft.Message) {
	for _, m := range messages {
		if !n.isBackedByDisk(m) {
			result.violation = fmt.Sprintf("node %d sent a message that relies on state not on its disk: %s", n.id, describeMessage(m))
		}
		result.sent = append(result.sent, t.internMessage(m))
	}
}

// isBackedByDisk reports whether the vote or the entries that a message relies on are on
// the sender's disk.
func (n *nodeState) isBackedByDisk(m raft.Message) bool {
	disk := n.disk.HardState
	switch {
	case m.Type == raft.MsgVote:
		return disk == raft.HardState{Term: m.Term, Vote: m.From} || disk.Term > m.Term
	case m.Type == raft.MsgVoteResp && !m.Reject:
		return disk == raft.HardState{Term: m.Term, Vote: m.To} || disk.Term > m.Term
	case m.Type == raft.MsgAppendResp && !m.Reject:
		return m.Index <= n.disk.Snapshot.Index+uint64(len(n.disk.Entries))
	}
	return true
}
