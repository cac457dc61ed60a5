package raft

import (
	"time"
)

// Node is one member of the group.
type Node struct {
	config    Config
	now       time.Duration
	hardState HardState
	role      Role

	leaderID          uint64
	lastLeaderContact time.Duration // from the leader
	lastQuorumContact time.Duration // see TouchedAt
	pendingProof      contactProof  // the oldest proof that waits for what it asks to be applied
	newestProof       contactProof  // the newest one
	electionDeadline  time.Duration // of the election timer
	votes             map[uint64]bool
	isForcedCampaign  bool
	snapshot          Snapshot // its Data may be dropped; see Compact
	entries           []Entry  // entries[0].Index == snap.Index+1
	compactedTail     []Entry  // the newest that snap stands for, for lagging members
	incomingSnapshot  *incomingSnapshot
	stableIndex       uint64
	commitIndex       uint64
	appliedIndex      uint64
	memberships       []loggedMembership

	progress          map[uint64]*progress
	lastHeartbeatAt   time.Duration
	readRound         uint64
	pendingReads      []pendingRead
	deferredReads     []uint64 // contexts of reads before termStart is committed
	transferTarget    uint64
	transferStartedAt time.Duration
	termStartIndex    uint64 // index of the entry that opened this leader's term
	diskLagIndex      uint64
	diskLagSince      time.Duration

	hardStateChanged    bool
	entriesToWrite      []Entry
	snapshotToInstall   *Snapshot
	messages            []Message
	messagesAfterAppend []Message
	readStates          []ReadState
}

// New makes a node from what its disk holds. A node whose membership is empty
// follows until a leader sends it one.
func New(cfg Config, now time.Duration, saved PersistentState) *Node {
	if cfg.MaxBatchBytes == 0 {
		cfg.MaxBatchBytes = 64 << 10
	}
	n := &Node{config: cfg, now: now, hardState: saved.HardState, snapshot: saved.Snapshot, entries: saved.Entries}
	n.commitIndex, n.appliedIndex = saved.Snapshot.Index, saved.Snapshot.Index
	n.stableIndex = n.lastIndex()
	n.memberships = []loggedMembership{{saved.Snapshot.Index, saved.Snapshot.Members}}
	for _, e := range n.entries {
		n.trackMembership(e)
	}
	// A node that has just started has no leader to disturb: PreVote asks first.
	n.shortenElectionDeadline()
	return n
}

// ID, Term, Role, Leader, Commit, Applied, Stable and Last tell the state.
func (n *Node) ID() uint64 { return n.config.ID }

func (n *Node) Term() uint64 { return n.hardState.Term }

func (n *Node) Role() Role { return n.role }

func (n *Node) LeaderID() uint64 { return n.leaderID }

func (n *Node) CommitIndex() uint64 { return n.commitIndex }

// AppliedIndex is the last index handed out as committed.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// StableIndex is the last index known to be durable here.
func (n *Node) StableIndex() uint64 { return n.stableIndex }

// LastIndex is the last index of the log.
func (n *Node) LastIndex() uint64 { return n.lastIndex() }

// CompactableEntries is how many applied entries the log holds past its snapshot, which Compact
// would drop.
func (n *Node) CompactableEntries() int { return int(n.appliedIndex - n.snapshot.Index) }

func (n *Node) lastIndex() uint64 { return n.snapshot.Index + uint64(len(n.entries)) }

func (n *Node) termAt(i uint64) (uint64, bool) {
	switch {
	case i == n.snapshot.Index:
		return n.snapshot.Term, true
	case i > n.lastIndex():
		return 0, false
	case i < n.snapshot.Index:
		if len(n.compactedTail) == 0 || i < n.compactedTail[0].Index {
			return 0, false
		}
		return n.compactedTail[i-n.compactedTail[0].Index].Term, true
	}
	return n.entries[i-n.snapshot.Index-1].Term, true
}

// entriesFrom gives the log from index i on, whose predecessor's term is known.
func (n *Node) entriesFrom(i uint64) []Entry {
	if i > n.snapshot.Index {
		return n.entries[i-n.snapshot.Index-1:]
	}
	return n.compactedTail[i-n.compactedTail[0].Index:]
}

func (n *Node) lastTerm() uint64 { t, _ := n.termAt(n.lastIndex()); return t }

// Tick lets time pass. now is a steady clock.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if now >= n.electionDeadline {
		n.resetElection(n.leaderID)
		if n.Membership().IsVoter(n.config.ID) {
			n.campaignAs(PreCandidate, false)
		} else {
			n.leaderID = 0
		}
	}
}

func (n *Node) tickLeader() {
	if n.now >= n.electionDeadline { // CheckQuorum
		n.electionDeadline = n.now + n.config.ElectionTimeout
		if !n.heardFromMajority(n.config.ElectionTimeout) {
			n.becomeRole(Follower, n.hardState.Term, 0)
			return
		}
	}
	if n.transferTarget != 0 && n.now-n.transferStartedAt > n.config.ElectionTimeout {
		n.transferTarget = 0
	}
	// A leader whose own disk takes too long over one entry gives way.
	if n.stableIndex >= n.diskLagIndex {
		n.diskLagIndex, n.diskLagSince = n.lastIndex(), n.now
	} else if n.now-n.diskLagSince > n.config.ElectionTimeout {
		n.diskLagSince = n.now
		n.TransferLeadership()
	}
	if n.now-n.lastHeartbeatAt >= n.config.HeartbeatInterval {
		n.broadcastHeartbeat()
	}
}

func (n *Node) send(m Message) {
	// A sole voter elects itself before its vote is durable: what it says as the
	// leaderID waits for that, or its next life leads in the same term again.
	if n.role == Leader && n.stableIndex < n.termStartIndex && len(n.Membership().Voters) == 1 {
		n.sendAfterAppend(m)
		return
	}
	m.From = n.config.ID
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.messages = append(n.messages, m)
}

func (n *Node) sendAfterAppend(m Message) {
	m.From = n.config.ID
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.messagesAfterAppend = append(n.messagesAfterAppend, m)
}

// Step takes a message from a peer.
func (n *Node) Step(now time.Duration, m Message) {
	n.now = max(n.now, now)
	if m.To != n.config.ID {
		return // meant for an earlier life of this address
	}
	if m.Term > n.hardState.Term {
		switch m.Type {
		case MsgPreVote:
		case MsgPreVoteResp:
			if m.Reject {
				n.becomeRole(Follower, m.Term, 0)
			}
		case MsgVote:
			if !m.Force && n.inLeaderLease() {
				return
			}
			n.becomeRole(Follower, m.Term, 0)
		case MsgAppend, MsgHeartbeat, MsgSnapshot:
			n.becomeRole(Follower, m.Term, m.From)
		default:
			n.becomeRole(Follower, m.Term, 0)
		}
	} else if m.Term < n.hardState.Term {
		switch m.Type {
		case MsgAppend, MsgHeartbeat, MsgSnapshot:
			n.sendAfterAppend(Message{Type: MsgAppendResp, To: m.From, Reject: true, Hint: n.lastIndex()})
		case MsgPreVote:
			n.sendAfterAppend(Message{Type: MsgPreVoteResp, To: m.From, Reject: true})
		}
		return
	}
	switch m.Type {
	case MsgPreVote:
		n.handlePreVote(m)
	case MsgVote:
		n.handleVote(m)
	case MsgPreVoteResp, MsgVoteResp:
		n.handleVoteResp(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		if n.role == Leader {
			return // two leaders of a term cannot be; a corrupt peer is ignored
		}
		if n.role != Follower || n.leaderID != m.From {
			n.becomeRole(Follower, m.Term, m.From)
		}
		n.lastLeaderContact = n.now
		n.electionDeadline = n.now + n.config.ElectionTimeout + time.Duration(n.config.RandInt63n(int64(n.config.ElectionTimeout)))
		switch m.Type {
		case MsgAppend:
			n.handleAppend(m)
		case MsgHeartbeat:
			n.commitTo(min(m.Commit, n.lastIndex()))
			// An entry of the same place and term is the same, and so is all before it,
			// whether or not the leader has heard that this log holds it.
			if t, ok := n.termAt(m.Index); ok && t == m.LogTerm {
				n.commitTo(m.Index)
			}
			n.recordContactProof(m)
			resp := Message{Type: MsgHeartbeatResp, To: m.From, Context: m.Context, Index: n.lastIndex(), Sent: n.now, Echo: m.Sent}
			if n.hardStateChanged {
				n.sendAfterAppend(resp)
			} else {
				n.send(resp)
			}
		case MsgSnapshot:
			n.handleSnapshot(m)
		}
	case MsgAppendResp, MsgHeartbeatResp, MsgSnapshotResp:
		if n.role == Leader {
			n.handleFollowerResp(m)
		}
	case MsgTimeoutNow:
		if n.role != Leader && n.Membership().IsVoter(n.config.ID) {
			n.campaignAs(Candidate, true)
		}
	}
}

// Ready hands out what is to be done since the last call. What earlier calls handed
// messages as committed counts as applied.
func (n *Node) Ready() Ready {
	n.advanceQuorumContact()
	if n.role == Leader {
		n.startDeferredReads()
		if len(n.pendingReads) > 0 && n.pendingReads[len(n.pendingReads)-1].round > n.readRound {
			n.readRound++
			n.broadcastHeartbeat()
		}
		for _, m := range n.Membership().AllMembers() {
			if m.ID != n.config.ID && n.ensureProgress(m.ID).nextIndex <= n.lastIndex() {
				// A member that is not heard is not sent more until it answers.
				if n.now-n.ensureProgress(m.ID).lastContact <= n.config.ElectionTimeout {
					n.sendAppend(m.ID)
				}
			}
		}
	}
	var e Ready
	e.Messages, n.messages = n.messages, nil
	e.ReadStates, n.readStates = n.readStates, nil
	if n.hardStateChanged || len(n.entriesToWrite) > 0 || len(n.messagesAfterAppend) > 0 || n.snapshotToInstall != nil {
		w := &StorageWrite{Entries: n.entriesToWrite, MessagesAfterAppend: n.messagesAfterAppend, Snapshot: n.snapshotToInstall}
		if n.hardStateChanged {
			h := n.hardState
			w.HardState = &h
		}
		e.Write = w
		e.SnapshotToInstall = n.snapshotToInstall
		n.hardStateChanged, n.entriesToWrite, n.messagesAfterAppend, n.snapshotToInstall = false, nil, nil, nil
	}
	if n.commitIndex > n.appliedIndex {
		e.CommittedEntries = append([]Entry(nil), n.entries[n.appliedIndex-n.snapshot.Index:n.commitIndex-n.snapshot.Index]...)
		n.appliedIndex = n.commitIndex
	}
	return e
}
