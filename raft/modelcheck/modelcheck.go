// Package modelcheck explores the states that a small group of raft nodes can reach, up
// to a bounded number of events (bounded explicit-state model checking), and checks the
// invariants of Raft in each: the five properties of the paper's figure 3 (Election
// Safety, Leader Append-Only by way of Log Matching, Leader Completeness, State Machine
// Safety), that committed entries are durable at a quorum, that memberships in use
// cannot decide independently, and that confirmed reads are linearizable.
//
// It runs the real raft.Node, not a model of it. An event is the delivery of a message,
// the end of a disk write, a tick, a crash, a proposal and so on; see EventKind. States
// are compared by 64-bit fingerprints, so that two different states could be taken for
// one, with a probability that is negligible for the sizes explored here.
//
// Its callers are tests. An exploration runs on the calling goroutine, does no input or
// output, and gives the same result each time.
package modelcheck

import (
	"fmt"
	"time"
)

// EventKind is one kind of event that the explorer tries.
type EventKind uint8

// The kinds of event. A message that is not delivered stays in the network for ever,
// which is what a lost message, a partition and a stopped machine come to.
const (
	Deliver   EventKind = iota
	Sync                // finishes the oldest write of a node's disk
	Duplicate           // delivers a message and leaves a copy in the network
	Tick                // advances a node's clock by one election timeout
	Propose
	Crash    // restarts a node, without the writes that are not synced
	LoseDisk // replaces a node by one with an empty disk and the next free ID
	// ReuseDisk replaces a node by one with an empty disk and the same ID, which a
	// deployment must never do. It shows that the explorer finds the consequences.
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

// String returns the verb that stands for the kind in a trace. A ConfChange stands there
// under what it changes instead.
func (k EventKind) String() string {
	if k < numEventKinds {
		return eventKindNames[k]
	}
	return fmt.Sprintf("event-kind-%d", uint8(k))
}

// isBudgeted reports whether events of this kind are limited by a Budget.
func (k EventKind) isBudgeted() bool { return k != Deliver && k != Sync }

// Budget is how often each kind of event may occur on one path. Deliver and Sync are not
// limited.
type Budget [numEventKinds]int

// Exploration is a bounded search through all that can happen to a group of nodes. Each
// state is visited once, in the order of its distance from the first one.
type Exploration struct {
	Voters   int // the nodes 1 to Voters vote
	Learners int // the nodes after them are learners
	// Start is a trace that leads to the first state; see Replay.
	Start     []string
	Depth     int // number of events after Start
	Budget    Budget
	MaxStates int // ends the search, which is then incomplete; 0 means no limit
}

// Result is what an exploration has found.
type Result struct {
	Depth       int // of the last level that was explored completely
	States      int
	Transitions int
	IsComplete  bool // whether every state within Exploration.Depth was visited
	// Violation describes the first invariant found broken, or is empty. Trace leads to
	// it and can be given to Replay.
	Violation string
	Trace     []string
}

// The clocks of the nodes count abstract units. A tick is an election timeout and more
// than a heartbeat interval, so a leader sends heartbeats at each tick, and steps down at
// the second one without an answer.
const (
	heartbeatInterval = time.Duration(1)
	electionTimeout   = time.Duration(4)
	// fingerprintHorizon is longer than any wait of a node, so that instants further
	// back need not be distinguished.
	fingerprintHorizon = 4 * electionTimeout
)
