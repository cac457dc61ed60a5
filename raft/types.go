// Package raft is consensus (Raft): leader election with PreVote and
// CheckQuorum, pipelined log replication, ReadIndex, learners, single-server
// membership change, snapshots and leadership transfer.
//
// A Node does no input or output and has no goroutine. Time and messages come
// in through Tick, Step and Propose; Ready hands out what is to be written to
// disk, sent and applied. What must not be sent before the write is durable is
// kept apart from what may go at once, so that a slow disk holds up only its
// own promises.
package raft

import "time"

// Member is one node of the group. ID belongs to one life of one disk.
type Member struct {
	ID   uint64
	Addr string // where its peers reach it
	API  string // where its callers reach it
	// Uncounted marks a node that may go at any time, whatever the group's tolerance.
	Uncounted bool
}

// Membership is who votes and who only follows.
type Membership struct {
	Voters   []Member
	Learners []Member
}

// IsVoter tells whether id votes.
func (m Membership) IsVoter(id uint64) bool { return indexOfMember(m.Voters, id) >= 0 }

// IsMember tells whether id is a member at all.
func (m Membership) IsMember(id uint64) bool {
	return m.IsVoter(id) || indexOfMember(m.Learners, id) >= 0
}

// AllMembers gives voters and learners.
func (m Membership) AllMembers() []Member {
	return append(append([]Member(nil), m.Voters...), m.Learners...)
}

func indexOfMember(ms []Member, id uint64) int {
	for i := range ms {
		if ms[i].ID == id {
			return i
		}
	}
	return -1
}

func withoutMember(ms []Member, id uint64) []Member {
	out := make([]Member, 0, len(ms))
	for _, m := range ms {
		if m.ID != id {
			out = append(out, m)
		}
	}
	return out
}

// WithLearner gives the membership in which m only follows.
func (m Membership) WithLearner(x Member) Membership {
	return Membership{Voters: withoutMember(m.Voters, x.ID), Learners: append(withoutMember(m.Learners, x.ID), x)}
}

// WithVoter gives the membership in which m votes.
func (m Membership) WithVoter(x Member) Membership {
	return Membership{Voters: append(withoutMember(m.Voters, x.ID), x), Learners: withoutMember(m.Learners, x.ID)}
}

// Without gives the membership that id has left.
func (m Membership) Without(id uint64) Membership {
	return Membership{Voters: withoutMember(m.Voters, id), Learners: withoutMember(m.Learners, id)}
}

// EntryType tells commands from changes of membership.
type EntryType uint8

// The kinds of entry.
const (
	EntryNormal EntryType = iota
	EntryConfChange
)

// Entry is one place in the log.
type Entry struct {
	Index uint64
	Term  uint64
	Type  EntryType
	Data  []byte
}

// HardState must be durable before anything that relies on it is sent.
type HardState struct {
	Term uint64
	Vote uint64
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Membership
	Data    []byte
}

// MessageType names a message.
type MessageType uint8

// The messages between nodes.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteResp
	MsgVote
	MsgVoteResp
	MsgAppend
	MsgAppendResp
	MsgHeartbeat
	MsgHeartbeatResp
	MsgSnapshot
	MsgTimeoutNow
	MsgSnapshotResp // Offset tells how much of the snapshot up to Index is held
)

// Message is what one node tells another.
type Message struct {
	Type    MessageType
	From    uint64
	To      uint64
	Term    uint64
	Index   uint64 // of the entry before Entries, or the last one held
	LogTerm uint64
	Commit  uint64
	Reject  bool
	Hint    uint64
	Context uint64
	Force   bool // a vote asked for by the leader itself
	// Sent is when a heartbeat or its answer was sent, by the sender's steady clock,
	// and Echo the newest Sent of the receiver that had reached the sender by then.
	Sent, Echo time.Duration
	// Touch tells that the leader that sends a heartbeat has committed in its term
	// and that a majority answered it within its lease.
	Touch   bool
	Entries []Entry
	// A part of a snapshot: Snap's Data are the bytes from Offset on, of Size in
	// all, whose checksum (CRC-32, Castagnoli) is Sum.
	Snap   *Snapshot
	Offset int
	Size   int
	Sum    uint32
}

// Role is what a node is at the moment.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "precandidate", "candidate", "leader"}[r]
}

// Config tells a node who it is and how patient to be.
type Config struct {
	ID                uint64
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration // shortest; the longest is twice that
	RandInt63n        func(n int64) int64
	// ValidateSnapshot tells whether a leader's snapshot can be restored; nil takes all. One
	// that cannot is not installed, and the node goes on lagging.
	ValidateSnapshot func(data []byte) error
	MaxBatchBytes    int // bytes of entries in one message; four times as many may be on their way to a member
}

// PersistentState is what a node finds on its disk.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// ReadState is a ReadIndex request that the quorum has confirmed: state applied up
// to Index answers it. OK is false when this node lost its leadership.
type ReadState struct {
	RequestID uint64
	Index     uint64
	Confirmed bool
}

// StorageWrite is a batch for the disk. Carry it out in order; once it is durable,
// send After and call Persisted with its last entry.
type StorageWrite struct {
	HardState           *HardState
	Snapshot            *Snapshot
	Entries             []Entry // replace all from the first one's index on
	MessagesAfterAppend []Message
}

// Ready is what a node wants done.
type Ready struct {
	Messages          []Message // at once
	Write             *StorageWrite
	SnapshotToInstall *Snapshot // replace the state machine by this, before Committed
	CommittedEntries  []Entry
	ReadStates        []ReadState
}
