package raft

import (
	"fmt"
	"time"
)

// EntryType distinguishes commands of the state machine from changes of membership.
type EntryType uint8

// The types of entries.
const (
	EntryNormal     EntryType = iota // Data is a command; empty in the entry that opens a term
	EntryConfChange                  // Data is an encoded Membership
)

// String returns the name of the type.
func (t EntryType) String() string {
	switch t {
	case EntryNormal:
		return "normal"
	case EntryConfChange:
		return "conf-change"
	}
	return fmt.Sprintf("entry-type-%d", uint8(t))
}

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Type  EntryType
	Data  []byte
}

// HardState must be durable before any message that relies on it is sent (the paper,
// figure 2: currentTerm and votedFor).
type HardState struct {
	Term uint64
	Vote uint64 // 0 if this node has not voted in Term
}

// Snapshot is the state of the state machine after all entries up to Index.
type Snapshot struct {
	Index   uint64
	Term    uint64 // of the entry at Index
	Members Membership
	// Data is the opaque state of the embedder; the control plane's is the encoded
	// registry (registry.Store.Snapshot).
	Data []byte
}

// MessageType is the type of a message between two nodes.
type MessageType uint8

// The types of messages. Their numbers are part of the wire format.
const (
	MsgPreVote MessageType = iota + 1 // RequestVote of the thesis, section 9.6; starts no term
	MsgPreVoteResp
	MsgVote // RequestVote (the paper, section 5.2)
	MsgVoteResp
	MsgAppend // AppendEntries (the paper, section 5.3)
	MsgAppendResp
	MsgHeartbeat     // AppendEntries without entries; confirms reads and leases
	MsgHeartbeatResp // repeats the heartbeat's Context, and its Sent as Echo
	MsgSnapshot      // InstallSnapshot (the paper, section 7), one chunk
	MsgTimeoutNow    // TimeoutNow (thesis, section 3.10)
	MsgSnapshotResp  // Offset is how much of the snapshot at Index has arrived
)

var messageTypeNames = [...]string{
	MsgPreVote:       "prevote",
	MsgPreVoteResp:   "prevote-resp",
	MsgVote:          "vote",
	MsgVoteResp:      "vote-resp",
	MsgAppend:        "append",
	MsgAppendResp:    "append-resp",
	MsgHeartbeat:     "heartbeat",
	MsgHeartbeatResp: "heartbeat-resp",
	MsgSnapshot:      "snapshot",
	MsgTimeoutNow:    "timeout-now",
	MsgSnapshotResp:  "snapshot-resp",
}

// String returns the name of the type, as the traces of package modelcheck use it.
func (t MessageType) String() string {
	if t > 0 && int(t) < len(messageTypeNames) {
		return messageTypeNames[t]
	}
	return fmt.Sprintf("message-type-%d", uint8(t))
}

// Message is a message from one node to another. Which fields are set depends on Type.
// The field names are part of the wire format.
type Message struct {
	Type MessageType
	From uint64
	To   uint64
	// Term is the sender's current term; in a pre-vote, and the answer that grants it,
	// the term that the candidate would begin.
	Term uint64
	// Index is, by type: the last index of a candidate's log; the index before Entries;
	// the last index that a follower acknowledges, or the one that it rejects; the
	// leader's commit index in a heartbeat; the index of the snapshot in the answer to
	// a chunk.
	Index   uint64
	LogTerm uint64 // term of the entry at Index, where a candidate or a leader gives one
	Commit  uint64 // the leader's commit index, in a heartbeat as far as the follower's log is known to match
	Reject  bool
	Hint    uint64 // in a rejected append, the last index at which the logs may agree
	Context uint64 // number of the heartbeat round, repeated in the answer; see ReadIndex
	Force   bool   // a vote during a leadership transfer, which ignores the leader's lease
	// Sent is when a heartbeat or its answer was sent, by the sender's monotonic clock.
	// Echo is the newest Sent of the receiver that had reached the sender by then.
	Sent, Echo time.Duration
	// Touch marks a heartbeat whose sender has committed an entry of its own term and
	// has been answered by a majority within its election timeout; see
	// Node.LastQuorumContact.
	Touch   bool
	Entries []Entry
	// Snap is one chunk of a snapshot: its Data are the bytes from Offset on, of Size
	// bytes in all, whose CRC-32 (Castagnoli) is Sum.
	Snap   *Snapshot
	Offset int
	Size   int
	Sum    uint32
}
