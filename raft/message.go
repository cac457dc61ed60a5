package raft

import (
	"fmt"
	"time"
)

// EntryType distinguishes state machine commands from membership changes.
type EntryType uint8

// Entry types.
const (
	EntryNormal     EntryType = iota // Data is a command; empty in the first entry of a term
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

// Entry is one log entry. The field names are part of the wire format.
type Entry struct {
	Index uint64
	Term  uint64
	Type  EntryType
	Data  []byte
}

// HardState is the current term and vote of a node (the paper, figure 2: currentTerm and
// votedFor). It must be durable before any message that relies on it is sent. The field
// names are part of the storage format.
type HardState struct {
	Term uint64
	Vote uint64 // 0 if this node has not voted in Term
}

// Snapshot is the state of the state machine after applying all entries up to Index. The
// field names are part of the wire format.
type Snapshot struct {
	Index   uint64
	Term    uint64 // of the entry at Index
	Members Membership
	// Data is the serialized state machine, opaque to this package. The control plane
	// stores its registry here (registry.Store.Snapshot).
	Data []byte
}

// MessageType is the type of a message between two nodes.
type MessageType uint8

// Message types. The numeric values are part of the wire format.
const (
	MsgPreVote MessageType = iota + 1 // PreVote (thesis, section 9.6); does not start a term
	MsgPreVoteResp
	MsgVote // RequestVote (the paper, section 5.2)
	MsgVoteResp
	MsgAppend // AppendEntries (the paper, section 5.3)
	MsgAppendResp
	MsgHeartbeat     // AppendEntries without entries; confirms reads and leases
	MsgHeartbeatResp // repeats the heartbeat's Context, and its Sent as Echo
	MsgSnapshot      // InstallSnapshot (the paper, section 7), one chunk
	MsgTimeoutNow    // TimeoutNow (thesis, section 3.10)
	MsgSnapshotResp  // Offset is the number of bytes received of the snapshot at Index
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

// String returns the name of the type, as used in the traces of package modelcheck.
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
	// Term is the sender's current term; in a pre-vote, and in the response that grants
	// it, the term that the candidate would start.
	Term uint64
	// Index depends on the type. In a vote request it is the last index of the
	// candidate's log; in an append, the index before Entries; in the response to an
	// append, the index that the follower acknowledges or rejects; in a heartbeat, the
	// leader's commit index; in the response to a heartbeat, the last index of the
	// follower's log; in the response to a snapshot chunk, the index of the snapshot.
	Index   uint64
	LogTerm uint64 // term of the entry at Index, in messages of a candidate or a leader
	Commit  uint64 // the leader's commit index, in a heartbeat capped at the follower's match index
	Reject  bool
	Hint    uint64 // in a rejected append, the last index at which the logs may agree
	Context uint64 // number of the heartbeat round, repeated in the response; see ReadIndex
	Force   bool   // a vote request during a leadership transfer, which ignores the leader's lease
	// Sent is when a heartbeat or its response was sent, by the sender's monotonic clock.
	// Echo is, in a heartbeat, the latest Sent that the sender has received from the
	// receiver; in a response, the Sent of the heartbeat.
	Sent, Echo time.Duration
	// Touch marks a heartbeat whose sender has committed an entry of its own term and
	// has received heartbeat responses from a majority within its election timeout; see
	// Node.LastQuorumContact.
	Touch   bool
	Entries []Entry
	// Snap is one chunk of a snapshot. Its Data starts at Offset; the whole snapshot has
	// Size bytes, whose CRC-32 (Castagnoli) is Sum.
	Snap   *Snapshot
	Offset int
	Size   int
	Sum    uint32
}
