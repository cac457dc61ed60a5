// Package raft implements the Raft consensus algorithm (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", 2014, "the paper" below; Ongaro,
// "Consensus: Bridging Theory and Practice", 2014, "the thesis"): leader election
// with PreVote and CheckQuorum, pipelined log replication, ReadIndex, learners,
// single-server membership changes, snapshots and leadership transfer.
//
// A [Node] is a deterministic state machine. It performs no I/O, reads no clock and
// starts no goroutines. The caller passes in time and messages through [Node.Tick],
// [Node.Step] and [Node.Propose], and processes what [Node.Ready] returns: messages to
// send, a write to persist, entries to apply and reads to answer. A Node is not safe for
// concurrent use; it belongs to one goroutine, the caller's event loop.
//
// Messages that depend on a write, such as a granted vote or the acknowledgement of an
// entry, are returned in [StorageWrite.MessagesAfterAppend], separately from those that
// may be sent immediately, so that a slow disk delays only the messages that depend on
// it. Heartbeats do not wait for the disk, and heartbeat responses wait only for a change
// of the hard state that Ready has not returned yet.
//
// All timestamps are readings of the caller's monotonic clock, given as the time since an
// arbitrary origin. Timestamps of different nodes are never compared.
//
// The transport, the storage and the state machine belong to the caller. Package
// rafttest simulates a cluster of nodes under faults, and package modelcheck explores
// the reachable states of a small cluster.
package raft

import "time"

// defaultMaxBatchBytes is used if Config.MaxBatchBytes is zero.
const defaultMaxBatchBytes = 64 << 10

// Config holds the parameters of a node.
type Config struct {
	// ID identifies this node. It must not be zero, and a node that has lost its disk
	// must not reuse its previous ID, as it no longer knows how it voted.
	ID uint64
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum election timeout. Each timeout is drawn at random
	// from [ElectionTimeout, 2*ElectionTimeout).
	ElectionTimeout time.Duration
	// RandInt63n returns a random number in [0, n).
	RandInt63n func(n int64) int64
	// ValidateSnapshot returns an error if the state machine could not be restored
	// from a leader's snapshot. Such a snapshot is not installed, and the node
	// continues to lag. A nil function accepts every snapshot.
	ValidateSnapshot func(data []byte) error
	// MaxBatchBytes limits the size of the entries in one message. The limit of the
	// bytes in flight to one member grows to at most four times this value. Zero means
	// 64 KiB.
	MaxBatchBytes int
}

// PersistentState is the state that a node reads from its disk at startup (the paper,
// figure 2, "persistent state on all servers").
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // Entries[0].Index == Snapshot.Index+1
}

// Role is the role of a node in its current term.
type Role uint8

// The roles of the paper, section 5.1, and PreCandidate of the thesis, section 9.6.
const (
	Follower     Role = iota
	PreCandidate      // asks whether it could win an election, without starting a new term
	Candidate
	Leader
)

// String returns the role in lower case, as it appears in the status of a node.
func (r Role) String() string {
	return [...]string{"follower", "precandidate", "candidate", "leader"}[r]
}

// Ready is the pending work of a node, to be processed by its caller.
type Ready struct {
	// Messages may be sent immediately.
	Messages []Message
	// Write must be persisted, after the writes of earlier calls; nil if there is
	// nothing to write.
	Write *StorageWrite
	// SnapshotToInstall replaces the state of the state machine, before
	// CommittedEntries are applied; nil if there is none.
	SnapshotToInstall *Snapshot
	// CommittedEntries must be applied in order. The node counts them as applied from
	// the next call to Ready.
	CommittedEntries []Entry
	// ReadStates are the results of earlier calls to ReadIndex.
	ReadStates []ReadState
}

// StorageWrite is one write to the disk. Writes must be performed in the order in which
// Ready returned them. Once one is durable, the caller sends MessagesAfterAppend and, if
// Entries is not empty, calls [Node.ReportPersisted] with the index and term of the last
// entry.
type StorageWrite struct {
	HardState *HardState // nil if unchanged
	Snapshot  *Snapshot  // replaces the entire log; nil if there is none
	// Entries replace all stored entries from the index of the first one onwards.
	Entries             []Entry
	MessagesAfterAppend []Message
}

// Node is one member of a Raft cluster.
type Node struct {
	config    Config
	now       time.Duration
	hardState HardState
	role      Role
	log       raftLog

	// Follower and candidate.
	leaderID          uint64        // 0 if unknown
	lastLeaderContact time.Duration // when the last message from the leader was received
	electionDeadline  time.Duration // on a leader, the time of the next CheckQuorum
	votes             map[uint64]bool
	isForcedCampaign  bool // the leader requested the campaign; voters ignore its lease
	incomingSnapshot  *incomingSnapshot
	contact           quorumContact

	// Leader.
	progress          map[uint64]*progress
	lastHeartbeatAt   time.Duration
	reads             readOnly
	transferTarget    uint64 // 0 unless leadership is being transferred
	transferStartedAt time.Duration
	termStartIndex    uint64        // index of the first entry of this leader's term
	diskLagIndex      uint64        // last index of the log when the disk last caught up
	diskLagSince      time.Duration // time of that, or of the last transfer; see transferIfDiskLags

	// Output for the next Ready, in addition to log.entriesToWrite and reads.states.
	hardStateChanged    bool
	snapshotToInstall   *Snapshot
	messages            []Message
	messagesAfterAppend []Message
}

// New returns a follower that resumes from the state saved on its disk. now is the
// caller's clock. A node whose membership is empty remains a follower until a leader
// sends it one.
func New(config Config, now time.Duration, saved PersistentState) *Node {
	if config.MaxBatchBytes == 0 {
		config.MaxBatchBytes = defaultMaxBatchBytes
	}
	n := &Node{
		config:    config,
		now:       now,
		hardState: saved.HardState,
		log:       newRaftLog(saved),
	}
	// A short deadline is safe: the node starts with PreVote, which does not disrupt an
	// existing leader.
	n.shortenElectionDeadline()
	return n
}

// ID returns the ID of this node.
func (n *Node) ID() uint64 { return n.config.ID }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Role returns the role of this node in the current term.
func (n *Node) Role() Role { return n.role }

// LeaderID returns the ID of the current term's leader, or 0 if it is unknown.
func (n *Node) LeaderID() uint64 { return n.leaderID }

// CommitIndex returns the index of the last entry known to be committed.
func (n *Node) CommitIndex() uint64 { return n.log.commitIndex }

// AppliedIndex returns the index of the last entry that Ready returned in
// CommittedEntries.
func (n *Node) AppliedIndex() uint64 { return n.log.appliedIndex }

// HasAppliedInTerm reports whether this node is the leader and has applied the first
// entry of its term, and therefore every entry that an earlier leader committed.
func (n *Node) HasAppliedInTerm() bool {
	return n.role == Leader && n.log.appliedIndex >= n.termStartIndex
}

// StableIndex returns the index of the last entry known to be durable on this node.
func (n *Node) StableIndex() uint64 { return n.log.stableIndex }

// LastIndex returns the index of the last entry of the log, durable or not.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// CompactableEntries returns the number of applied entries after the snapshot, which
// Compact could discard.
func (n *Node) CompactableEntries() int {
	return int(n.log.appliedIndex - n.log.snapshot.Index)
}

// Tick advances the node's clock to now and runs whatever is due: an election on a
// follower, a heartbeat or CheckQuorum on a leader. It should be called several times per
// heartbeat interval.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if now < n.electionDeadline {
		return
	}
	n.resetElection(n.leaderID)
	if n.Membership().IsVoter(n.config.ID) {
		n.campaignAs(PreCandidate, false)
	} else {
		n.leaderID = 0
	}
}

func (n *Node) tickLeader() {
	if n.now >= n.electionDeadline { // CheckQuorum (thesis, section 6.2)
		n.electionDeadline = n.now + n.config.ElectionTimeout
		if !n.heardFromMajority(n.config.ElectionTimeout) {
			n.becomeRole(Follower, n.hardState.Term, 0)
			return
		}
	}
	if n.transferTarget != 0 && n.now-n.transferStartedAt > n.config.ElectionTimeout {
		n.transferTarget = 0
	}
	n.transferIfDiskLags()
	if n.now-n.lastHeartbeatAt >= n.config.HeartbeatInterval {
		n.broadcastHeartbeat()
	}
}

// transferIfDiskLags transfers leadership if this leader's own disk has not persisted the
// log up to diskLagIndex within an election timeout. The other voters can still commit,
// but the cluster tolerates one failure fewer.
func (n *Node) transferIfDiskLags() {
	if n.log.stableIndex >= n.diskLagIndex {
		n.diskLagIndex = n.log.lastIndex()
		n.diskLagSince = n.now
	} else if n.now-n.diskLagSince > n.config.ElectionTimeout {
		n.diskLagSince = n.now
		n.TransferLeadership()
	}
}

// Step handles a message from another node. now is the caller's clock; a value earlier
// than one passed before is allowed. A message addressed to another ID, such as that of
// an earlier node at the same address, is ignored.
func (n *Node) Step(now time.Duration, m Message) {
	n.now = max(n.now, now)
	if m.To != n.config.ID {
		return
	}
	if m.Term < n.hardState.Term {
		n.rejectStaleTerm(&m)
		return
	}
	if m.Term > n.hardState.Term && !n.adoptTerm(&m) {
		return
	}
	switch m.Type {
	case MsgPreVote:
		n.handlePreVote(&m)
	case MsgVote:
		n.handleVote(&m)
	case MsgPreVoteResp, MsgVoteResp:
		n.handleVoteResp(&m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.stepFromLeader(&m)
	case MsgAppendResp, MsgHeartbeatResp, MsgSnapshotResp:
		if n.role == Leader {
			n.handleFollowerResp(&m)
		}
	case MsgTimeoutNow:
		if n.role != Leader && n.Membership().IsVoter(n.config.ID) {
			n.campaignAs(Candidate, true)
		}
	}
}

// rejectStaleTerm responds to a message of an earlier term, so that a deposed leader or a
// pre-candidate that has fallen behind learns the current term.
func (n *Node) rejectStaleTerm(m *Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.sendAfterAppend(Message{Type: MsgAppendResp, To: m.From, Reject: true, Hint: n.log.lastIndex()})
	case MsgPreVote:
		n.sendAfterAppend(Message{Type: MsgPreVoteResp, To: m.From, Reject: true})
	}
}

// adoptTerm advances to the later term of m if its type requires that. It returns false
// if m must be ignored: a vote request received within the lease of a live leader
// (thesis, section 4.2.3), unless that leader requested the election itself.
func (n *Node) adoptTerm(m *Message) bool {
	switch m.Type {
	case MsgPreVote:
		// The sender has not started the term of its message.
	case MsgPreVoteResp:
		if m.Reject {
			n.becomeRole(Follower, m.Term, 0)
		}
	case MsgVote:
		if !m.Force && n.inLeaderLease() {
			return false
		}
		n.becomeRole(Follower, m.Term, 0)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.becomeRole(Follower, m.Term, m.From)
	default:
		n.becomeRole(Follower, m.Term, 0)
	}
	return true
}

// stepFromLeader handles a message that only the leader of the current term may send.
func (n *Node) stepFromLeader(m *Message) {
	if n.role == Leader {
		return // a term has at most one leader (Election Safety): the sender is faulty
	}
	if n.role != Follower || n.leaderID != m.From {
		n.becomeRole(Follower, m.Term, m.From)
	}
	n.lastLeaderContact = n.now
	n.electionDeadline = n.now + n.randomElectionTimeout()
	switch m.Type {
	case MsgAppend:
		n.handleAppend(m)
	case MsgHeartbeat:
		n.handleHeartbeat(m)
	case MsgSnapshot:
		n.handleSnapshot(m)
	}
}

// send queues m to be sent immediately.
func (n *Node) send(m Message) {
	// A sole voter elects itself before its vote is durable. Its messages as the leader
	// must wait until it is; otherwise the node could crash and lead the same term again
	// with a different log.
	if n.role == Leader && n.log.stableIndex < n.termStartIndex && len(n.Membership().Voters) == 1 {
		n.sendAfterAppend(m)
		return
	}
	n.setSender(&m)
	n.messages = append(n.messages, m)
}

// sendAfterAppend queues m to be sent once all preceding changes are durable.
func (n *Node) sendAfterAppend(m Message) {
	n.setSender(&m)
	n.messagesAfterAppend = append(n.messagesAfterAppend, m)
}

// sendAfterHardState queues m to be sent immediately, or after a change of the hard state
// that Ready has not returned yet.
func (n *Node) sendAfterHardState(m Message) {
	if n.hardStateChanged {
		n.sendAfterAppend(m)
	} else {
		n.send(m)
	}
}

// setSender sets the sender of m and, if it has no term, the current term.
func (n *Node) setSender(m *Message) {
	m.From = n.config.ID
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
}

// Ready returns the work that has accumulated since the last call. The caller must
// process all of it; see [Ready]. The entries returned by earlier calls as committed count
// as applied.
func (n *Node) Ready() Ready {
	n.advanceQuorumContact()
	if n.role == Leader {
		n.queueLeaderMessages()
	}
	var r Ready
	r.Messages, n.messages = n.messages, nil
	r.ReadStates, n.reads.states = n.reads.states, nil
	r.Write = n.takeWrite()
	if r.Write != nil {
		r.SnapshotToInstall = r.Write.Snapshot
	}
	r.CommittedEntries = n.log.takeCommitted()
	return r
}

// queueLeaderMessages queues the appends and read-index heartbeats of a leader. They are
// deferred until Ready so that all proposals and reads of one iteration of the caller's
// event loop share them.
func (n *Node) queueLeaderMessages() {
	n.startDeferredReads()
	if n.reads.needsHeartbeatRound() {
		n.reads.round++
		n.broadcastHeartbeat()
	}
	for _, m := range n.Membership().AllMembers() {
		if m.ID == n.config.ID {
			continue
		}
		p := n.ensureProgress(m.ID)
		// A member that does not respond receives heartbeats only: appends would fill
		// its window, and are sent again anyway once it responds.
		if p.nextIndex <= n.log.lastIndex() && n.now-p.lastContact <= n.config.ElectionTimeout {
			n.sendAppend(m.ID)
		}
	}
}

// takeWrite returns and clears the pending write, or returns nil if there is none.
func (n *Node) takeWrite() *StorageWrite {
	if !n.hardStateChanged && len(n.log.entriesToWrite) == 0 && len(n.messagesAfterAppend) == 0 && n.snapshotToInstall == nil {
		return nil
	}
	w := &StorageWrite{
		Snapshot:            n.snapshotToInstall,
		Entries:             n.log.entriesToWrite,
		MessagesAfterAppend: n.messagesAfterAppend,
	}
	if n.hardStateChanged {
		hardState := n.hardState
		w.HardState = &hardState
	}
	n.hardStateChanged = false
	n.log.entriesToWrite = nil
	n.messagesAfterAppend = nil
	n.snapshotToInstall = nil
	return w
}

// ReportPersisted records that the write whose last entry has this index and term is
// durable. It ignores an entry that has been replaced in the meantime.
func (n *Node) ReportPersisted(index, term uint64) {
	if n.log.stabilizeTo(index, term) && n.role == Leader {
		n.maybeCommit()
	}
}
