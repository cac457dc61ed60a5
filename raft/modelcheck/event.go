package modelcheck

import (
	"fmt"

	"lichentray/raft"
)

// confChangeKind is the kind of change that a ConfChange event makes.
type confChangeKind uint8

const (
	noConfChange   confChangeKind = iota
	addLearner                    // the target becomes a learner
	promoteLearner                // the target becomes a voter
	swapVoter                     // the target replaces a voter in one step; must be rejected
	removeVoter                   // the target is removed
)

var confChangeVerbs = [...]string{
	addLearner:     "learner",
	promoteLearner: "voter",
	swapVoter:      "swap",
	removeVoter:    "out",
}

// String returns the verb of the change in a trace.
func (k confChangeKind) String() string { return confChangeVerbs[k] }

// event leads from one cluster state to the next.
type event struct {
	kind    EventKind
	change  confChangeKind // of a ConfChange
	node    uint64         // 0 for Deliver and Duplicate; the packet contains the receiver
	target  uint64         // the member that a ConfChange affects
	removed uint64         // the voter that a swapVoter removes
	packet  *packet        // of Deliver and Duplicate
}

// String returns the event as a line of a trace.
func (e event) String() string {
	if e.packet != nil {
		return e.kind.String() + " " + describeMessage(e.packet.message)
	}
	verb := e.kind.String()
	if e.kind == ConfChange {
		verb = e.change.String()
	}
	line := fmt.Sprint(verb, " ", e.node)
	for _, id := range []uint64{e.target, e.removed} {
		if id != 0 {
			line += fmt.Sprint(" ", id)
		}
	}
	return line
}

// enabledEvents returns all events that may occur next. Some of them may have no effect.
func (s *clusterState) enabledEvents() []event {
	var events []event
	for _, n := range s.nodes {
		if len(n.pendingWrites) > 0 {
			events = append(events, event{kind: Sync, node: n.id})
		}
	}
	for _, p := range s.network {
		events = append(events, event{kind: Deliver, packet: p}, event{kind: Duplicate, packet: p})
	}
	for _, n := range s.nodes {
		for _, kind := range []EventKind{Tick, Crash, LoseDisk, ReuseDisk, Compact} {
			events = append(events, event{kind: kind, node: n.id})
		}
		if n.raft.Role() == raft.Leader {
			events = s.appendLeaderEvents(events, n)
		}
	}
	return events
}

func (s *clusterState) appendLeaderEvents(events []event, leader *nodeState) []event {
	for _, kind := range []EventKind{Propose, ReadIndex, TransferLeadership} {
		events = append(events, event{kind: kind, node: leader.id})
	}
	change := func(kind confChangeKind, target, removed uint64) {
		events = append(events, event{kind: ConfChange, change: kind, node: leader.id, target: target, removed: removed})
	}
	membership := leader.raft.Membership()
	for _, n := range s.nodes {
		if !membership.IsMember(n.id) {
			change(addLearner, n.id, 0)
		}
	}
	for _, learner := range membership.Learners {
		change(promoteLearner, learner.ID, 0)
		for _, voter := range membership.Voters {
			change(swapVoter, learner.ID, voter.ID)
		}
	}
	for _, voter := range membership.Voters {
		change(removeVoter, voter.ID, 0)
	}
	return events
}
