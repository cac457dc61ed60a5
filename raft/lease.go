package raft

import "time"

// Leases: how long ago a node was in touch with a majority.
//
// Each is reckoned by one node's own steady clock, from when a question was sent to
// when it is looked at, never from when an answer was read: what waited in a socket
// while the process was frozen, or went one way only, proves nothing newer. No time
// of one clock is compared with one of another, and the time of day is not used. Whether
// a leader steps down is asked of what it hears, see hears.

// contactProof is a leader's word to a follower: whoever holds the log up to commit held
// all that was acknowledged anywhere before at, by the follower's clock.
type contactProof struct {
	asOf        time.Duration
	commitIndex uint64
}

// LastQuorumContact is the newest moment, by this node's steady clock, for which it is known
// that all that had been acknowledged by then is applied here; 0 if there is none
// yet. At a leader a majority has answered a heartbeat sent then; at a follower a
// leader in touch with a majority has heard what was sent then, and the follower has
// applied what that leader had committed. It is exact at a leader and may err by one
// election time-out at a follower, whose leader may have been deposed for so long.
func (n *Node) LastQuorumContact() time.Duration { return n.lastQuorumContact }

// HasQuorumContact tells whether a majority has answered a heartbeat that this leader sent
// within span.
func (n *Node) HasQuorumContact(span time.Duration) bool {
	return n.role == Leader && n.now-n.quorumContactAt() <= span
}

// quorumContactAt is the newest moment for which a majority of the voters has answered a
// heartbeat that this leader sent then or later.
func (n *Node) quorumContactAt() time.Duration {
	return majorityValue(n, n.now, func(p *progress) time.Duration { return p.ackedHeartbeatSentAt })
}

// recordContactProof takes what a heartbeat proves.
func (n *Node) recordContactProof(m Message) {
	if !m.Touch || m.Echo == 0 {
		return
	}
	n.newestProof = contactProof{m.Echo, m.Index}
	if n.pendingProof.asOf == 0 {
		n.pendingProof = n.newestProof
	}
}

// advanceQuorumContact counts what is proven by now.
func (n *Node) advanceQuorumContact() {
	if n.role == Leader {
		if n.commitIndex >= n.termStartIndex && n.appliedIndex >= n.commitIndex {
			n.lastQuorumContact = max(n.lastQuorumContact, n.quorumContactAt())
		}
		return
	}
	for n.pendingProof.asOf != 0 && n.appliedIndex >= n.pendingProof.commitIndex {
		n.lastQuorumContact = max(n.lastQuorumContact, n.pendingProof.asOf)
		if n.pendingProof == n.newestProof {
			n.pendingProof = contactProof{}
		} else {
			n.pendingProof = n.newestProof
		}
	}
}
