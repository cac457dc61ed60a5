// Package modelcheck explores the states that a small cluster of raft nodes can reach
// within a bounded number of events (bounded explicit-state model checking), and checks
// Raft's invariants in each of them: the five properties of the paper's figure 3 (Election
// Safety, Leader Append-Only by way of Log Matching, Leader Completeness, State Machine
// Safety), that committed entries are durable on a quorum, that memberships in use cannot
// make decisions independently, and that confirmed reads are linearizable.
//
// It runs the actual raft.Node, not a model of it. An event is the delivery of a message,
// the completion of a disk write, a tick, a crash, a proposal and so on; see EventKind.
// States are compared by 64-bit fingerprints. Two different states could therefore be
// mistaken for one, with a probability that is negligible for the sizes explored here.
//
// The package is meant for tests. An exploration runs on the calling goroutine, performs
// no I/O and is deterministic.
package modelcheck

import (
	"fmt"
	"time"
)

// EventKind is a kind of event that the explorer tries.
type EventKind uint8

// Event kinds. There is none for a lost message, a partition or a stopped machine: a
// message that is never delivered, and stays in the network forever, covers all of them.
const (
	Deliver   EventKind = iota
	Sync                // completes the oldest pending write of a node
	Duplicate           // delivers a message and leaves a copy in the network
	Tick                // advances a node's clock by one election timeout
	Propose
	Crash    // restarts a node, without its unsynced writes
	LoseDisk // replaces a node with one that has an empty disk and the next free ID
	// ReuseDisk replaces a node with one that has an empty disk and the same ID, which a
	// deployment must never do. It verifies that the explorer finds the consequences.
	ReuseDisk
	ConfChange
	Compact
	ReadIndex
	TransferLeadership
	numEventKinds
)

var eventKindNames = [numEventKinds]string{
	Deliver:            "deliver",
	Sync:               "sync",
	Duplicate:          "duplicate",
	Tick:               "tick",
	Propose:            "propose",
	Crash:              "crash",
	LoseDisk:           "lose",
	ReuseDisk:          "reuse",
	ConfChange:         "conf-change",
	Compact:            "compact",
	ReadIndex:          "read",
	TransferLeadership: "transfer",
}

// String returns the verb of the kind in a trace. A trace shows a ConfChange by the verb
// of its change instead.
func (k EventKind) String() string {
	if k < numEventKinds {
		return eventKindNames[k]
	}
	return fmt.Sprintf("event-kind-%d", uint8(k))
}

// isBudgeted reports whether events of this kind are limited by a Budget.
func (k EventKind) isBudgeted() bool { return k != Deliver && k != Sync }

// Budget limits how often each kind of event may occur on one path. Deliver and Sync are
// not limited.
type Budget [numEventKinds]int

// Exploration is a bounded breadth-first search of the reachable states of a cluster. Each
// state is visited once, in the order of its distance from the initial state.
type Exploration struct {
	Voters   int // nodes 1 to Voters are voters
	Learners int // the next nodes are learners
	// Start is a trace that leads to the initial state; see Replay.
	Start     []string
	Depth     int // maximum number of events after Start
	Budget    Budget
	MaxStates int // the search stops, incomplete, at this number; 0 means no limit
}

// Result is the result of an exploration.
type Result struct {
	Depth       int // last level that was explored completely
	States      int
	Transitions int
	IsComplete  bool // whether every state within Exploration.Depth was visited
	// Violation describes the first violated invariant, or is empty. Trace leads to the
	// violation and can be passed to Replay.
	Violation string
	Trace     []string
}

// Timing parameters, in abstract units of the nodes' clocks. A tick is an election timeout
// and longer than a heartbeat interval, so a leader sends heartbeats at each tick, and
// steps down at the second tick without a response.
const (
	heartbeatInterval = time.Duration(1)
	electionTimeout   = time.Duration(4)
	// fingerprintHorizon is longer than any timeout of a node, so that older timestamps
	// need not be distinguished.
	fingerprintHorizon = 4 * electionTimeout
)
