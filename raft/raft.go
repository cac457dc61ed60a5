// Package raft implements the Raft consensus algorithm (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", 2014, "the paper" below; Ongaro,
// "Consensus: Bridging Theory and Practice", 2014, "the thesis"): leader election
// with PreVote and CheckQuorum, pipelined log replication, ReadIndex, learners,
// single-server membership changes, snapshots and leadership transfer.
//
// A [Node] is a deterministic state machine. It does no input or output, reads no
// clock and starts no goroutine. Its caller passes time and messages in through
// [Node.Tick], [Node.Step] and [Node.Propose], and carries out what [Node.Ready]
// returns: messages to send, a write to make durable, entries to apply, reads to
// answer. A Node is not safe for concurrent use; one goroutine, the caller's event
// loop, owns it.
//
// Messages that depend on a write, such as a granted vote or the acknowledgement of
// an entry, are returned apart from those that may be sent at once
// ([StorageWrite.MessagesAfterAppend]), so that a slow disk delays only what it has
// to. Heartbeats do not wait for the disk, and their answers do so only right after a
// change of term.
//
// All instants are readings of the caller's monotonic clock, as the time since an
// origin of the caller's choice. Instants of two nodes are never compared.
//
// The transport, the storage and the state machine belong to the caller. Package
// rafttest simulates a group of nodes under faults, and package modelcheck explores
// the reachable states of a small group.
package raft

import "time"

// defaultMaxBatchBytes is the value of Config.MaxBatchBytes if it is zero.
const defaultMaxBatchBytes = 64 << 10

// Config holds the parameters of a node.
type Config struct {
	// ID identifies this node. It must not be zero, and a node that has lost its disk
	// must not return under its former ID, as it no longer knows how it voted.
	ID uint64
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest election timeout. Each timeout is drawn between
	// it and twice its length.
	ElectionTimeout time.Duration
	// RandInt63n returns a random number in [0, n).
	RandInt63n func(n int64) int64
	// ValidateSnapshot reports as an error that the state machine could not be
	// restored from a leader's snapshot. Such a snapshot is not installed, and the
	// node continues to lag. A nil function accepts every snapshot.
	ValidateSnapshot func(data []byte) error
	// MaxBatchBytes limits the bytes of entries in one message; up to four times as
	// many may be in flight to one member. Zero means 64 KiB.
	MaxBatchBytes int
}

// PersistentState is what a node reads from its disk when it starts (the paper,
// figure 2, "persistent state on all servers").
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // the first one has the index Snapshot.Index+1
}

// Role is the part that a node plays in its current term.
type Role uint8

// The roles of the paper, section 5.1, and PreCandidate of the thesis, section 9.6.
const (
	Follower     Role = iota
	PreCandidate      // asks whether an election could succeed, in its old term
	Candidate
	Leader
)

// String returns the role in lower case, as the status page shows it.
func (r Role) String() string {
	return [...]string{"follower", "precandidate", "candidate", "leader"}[r]
}

// Ready is the work that a node hands to its caller.
type Ready struct {
	// Messages may be sent at once.
	Messages []Message
	// Write must become durable, after the writes of earlier calls; nil if there is
	// nothing to write.
	Write *StorageWrite
	// SnapshotToInstall replaces the state of the state machine, before
	// CommittedEntries are applied; nil if there is none.
	SnapshotToInstall *Snapshot
	// CommittedEntries are to be applied in order. The node counts them as applied
	// from its next call of Ready on.
	CommittedEntries []Entry
	// ReadStates answer earlier calls of ReadIndex.
	ReadStates []ReadState
}

// StorageWrite is one write to the disk. Writes are carried out in the order in which
// they were handed out. Once one is durable, the caller sends MessagesAfterAppend and,
// if there are Entries, calls [Node.ReportPersisted] with the last of them.
type StorageWrite struct {
	HardState *HardState // nil if unchanged
	Snapshot  *Snapshot  // replaces the complete log; nil if there is none
	// Entries replace all stored entries from the index of the first one on.
	Entries             []Entry
	MessagesAfterAppend []Message
}

// Node is one member of the group.
type Node struct {
	config    Config
	now       time.Duration
	hardState HardState
	role      Role
	log       raftLog

	// Follower and candidate.
	leaderID          uint64        // 0 if unknown
	lastLeaderContact time.Duration // when the leader was last heard
	electionDeadline  time.Duration // at a leader, of the next CheckQuorum
	votes             map[uint64]bool
	isForcedCampaign  bool // the leader asked for it; its lease does not count
	incomingSnapshot  *incomingSnapshot
	contact           quorumContact

	// Leader.
	progress          map[uint64]*progress
	lastHeartbeatAt   time.Duration
	reads             readOnly
	transferTarget    uint64 // 0 unless leadership is being transferred
	transferStartedAt time.Duration
	termStartIndex    uint64        // index of the entry that opened this leader's term
	diskLagIndex      uint64        // last index of the log when the disk last caught up
	diskLagSince      time.Duration // then, or at the last transfer; see transferIfDiskLags

	// Collected for the next Ready, beside the log's entriesToWrite and the answers in
	// reads.
	hardStateChanged    bool
	snapshotToInstall   *Snapshot
	messages            []Message
	messagesAfterAppend []Message
}

// New returns a follower that resumes from what its disk holds. now is the caller's
// clock. A node whose membership is empty stays a follower until a leader sends it one.
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
	// A short deadline is safe: the node begins with PreVote, which disturbs no leader.
	n.shortenElectionDeadline()
	return n
}

// ID returns the identity of this node.
func (n *Node) ID() uint64 { return n.config.ID }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Role returns the role of this node in the current term.
func (n *Node) Role() Role { return n.role }

// LeaderID returns the leader that this node knows in the current term, or 0.
func (n *Node) LeaderID() uint64 { return n.leaderID }

// CommitIndex returns the index of the last entry that is known to be committed.
func (n *Node) CommitIndex() uint64 { return n.log.commitIndex }

// AppliedIndex returns the index of the last entry that Ready handed out as committed.
func (n *Node) AppliedIndex() uint64 { return n.log.appliedIndex }

// HasAppliedInTerm reports whether this node leads and has applied the entry that opened its
// term, and so every entry that an earlier leader has committed.
func (n *Node) HasAppliedInTerm() bool {
	return n.role == Leader && n.log.appliedIndex >= n.termStartIndex
}

// StableIndex returns the index of the last entry known to be durable on this node.
func (n *Node) StableIndex() uint64 { return n.log.stableIndex }

// LastIndex returns the index of the last entry of the log, durable or not.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// CompactableEntries returns the number of applied entries after the snapshot, which
// Compact could drop.
func (n *Node) CompactableEntries() int {
	return int(n.log.appliedIndex - n.log.snapshot.Index)
}

// Tick advances the node's clock to now and starts what has become due: an election at
// a follower, a heartbeat or CheckQuorum at a leader. It is to be called several times
// in each heartbeat interval.
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

// transferIfDiskLags transfers leadership if this leader's own disk has not, within an
// election timeout, made the log durable up to diskLagIndex. The other voters can still
// commit, but the group tolerates one failure less.
func (n *Node) transferIfDiskLags() {
	if n.log.stableIndex >= n.diskLagIndex {
		n.diskLagIndex = n.log.lastIndex()
		n.diskLagSince = n.now
	} else if n.now-n.diskLagSince > n.config.ElectionTimeout {
		n.diskLagSince = n.now
		n.TransferLeadership()
	}
}

// Step handles a message from another node. now is the caller's clock; it may lie
// before the newest reading that the node has seen. A message to another ID, as to an
// earlier incarnation of this address, is ignored.
func (n *Node) Step(now time.Duration, m Message) {
	n.now = max(n.now, now)
	if m.To != n.config.ID {
		return
	}
	if m.Term < n.hardState.Term {
		n.rejectOldTerm(&m)
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

// rejectOldTerm answers a message of an earlier term, so that a deposed leader or a
// pre-candidate that has fallen behind learns the current one.
func (n *Node) rejectOldTerm(m *Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.sendAfterAppend(Message{Type: MsgAppendResp, To: m.From, Reject: true, Hint: n.log.lastIndex()})
	case MsgPreVote:
		n.sendAfterAppend(Message{Type: MsgPreVoteResp, To: m.From, Reject: true})
	}
}

// adoptTerm moves to the later term of m where m calls for it. It returns false if m is
// to be ignored: a vote for somebody else while this node's leader is alive (thesis,
// section 4.2.3), unless that leader asked for the election itself.
func (n *Node) adoptTerm(m *Message) bool {
	switch m.Type {
	case MsgPreVote:
		// The sender has not begun the term of its message.
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

// stepFromLeader handles a message that only the leader of the current term sends.
func (n *Node) stepFromLeader(m *Message) {
	if n.role == Leader {
		return // A term has one leader (Election Safety): the sender is faulty.
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

// send queues m to be sent at once.
func (n *Node) send(m Message) {
	// A sole voter elects itself before its vote is durable. What it says as the leader
	// waits for that; otherwise it could crash and lead again in the same term.
	if n.role == Leader && n.log.stableIndex < n.termStartIndex && len(n.Membership().Voters) == 1 {
		n.sendAfterAppend(m)
		return
	}
	n.setSender(&m)
	n.messages = append(n.messages, m)
}

// sendAfterAppend queues m to be sent once all that was changed before is durable.
func (n *Node) sendAfterAppend(m Message) {
	n.setSender(&m)
	n.messagesAfterAppend = append(n.messagesAfterAppend, m)
}

// sendAfterHardState queues m to be sent at once, or after a change of the hard state
// that has not been handed out to be written yet.
func (n *Node) sendAfterHardState(m Message) {
	if n.hardStateChanged {
		n.sendAfterAppend(m)
	} else {
		n.send(m)
	}
}

// setSender sets the sender of m and, unless it has one, its term.
func (n *Node) setSender(m *Message) {
	m.From = n.config.ID
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
}

// Ready returns the work that has come up since the last call. All of it must be
// carried out; see [Ready]. The entries that earlier calls returned as committed count
// as applied.
func (n *Node) Ready() Ready {
	n.advanceQuorumContact()
	if n.role == Leader {
		n.readyLeader()
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

// readyLeader queues the messages of a leader that wait for Ready, so that proposals
// and reads of one turn of the caller's loop share them.
func (n *Node) readyLeader() {
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
		// A member that is not heard from gets heartbeats only: appends would fill its
		// window, and are sent again anyway once it answers.
		if p.nextIndex <= n.log.lastIndex() && n.now-p.lastContact <= n.config.ElectionTimeout {
			n.sendAppend(m.ID)
		}
	}
}

// takeWrite returns what is to be written since the last call, or nil.
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
// durable. A report of an entry that has been replaced since is ignored.
func (n *Node) ReportPersisted(index, term uint64) {
	if n.log.stabilizeTo(index, term) && n.role == Leader {
		n.maybeCommit()
	}
}
