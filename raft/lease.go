package raft

import "time"

// Leases: how long ago a node was in contact with a majority (thesis, section 6.4.1).
//
// Each lease is measured on one node's own monotonic clock, from when a heartbeat was
// sent to now, never from when its answer was received. Whatever waited in a socket
// while the process was frozen, or crossed the network in one direction only, therefore
// proves nothing newer. Readings of two clocks are never compared, and the time of day
// is not used. Whether a leader steps down depends on what it hears instead; see
// heardFromMajority.

// quorumContact is what a node knows of its last contact with a majority.
type quorumContact struct {
	last time.Duration // see Node.LastQuorumContact
	// At a follower, the oldest proof whose commit index is yet to be applied, and the
	// newest one. They may be the same; asOf is zero if there is none.
	pendingProof contactProof
	newestProof  contactProof
}

// contactProof is what a heartbeat proves to a follower: a state machine that has
// applied all up to commitIndex has applied all that was acknowledged anywhere before
// asOf, by the follower's clock.
type contactProof struct {
	asOf        time.Duration
	commitIndex uint64
}

// LastQuorumContact returns the newest instant, by this node's clock, for which it is
// known that all that had been acknowledged by then is applied here, or zero if there is
// none yet. At a leader, a majority has answered a heartbeat sent at that instant, or
// later. At a follower, a leader in contact with a majority had heard what the follower
// sent then, and the follower has applied what that leader had committed. The value is
// exact at a leader. At a follower it may be too new by up to one election timeout, as
// its leader may have been deposed for so long.
func (n *Node) LastQuorumContact() time.Duration { return n.contact.last }

// HasQuorumContact reports whether this node is a leader and a majority has answered a
// heartbeat that it sent within span.
func (n *Node) HasQuorumContact(span time.Duration) bool {
	return n.role == Leader && n.now-n.quorumContactAt() <= span
}

// quorumContactAt returns the newest instant for which a majority of the voters has
// answered a heartbeat that this leader sent then or later.
func (n *Node) quorumContactAt() time.Duration {
	return majorityValue(n, n.now, func(p *progress) time.Duration { return p.ackedHeartbeatSentAt })
}

// recordContactProof keeps what a heartbeat proves, until it can be counted.
func (n *Node) recordContactProof(m *Message) {
	if !m.Touch || m.Echo == 0 {
		return
	}
	n.contact.newestProof = contactProof{asOf: m.Echo, commitIndex: m.Index}
	if n.contact.pendingProof.asOf == 0 {
		n.contact.pendingProof = n.contact.newestProof
	}
}

// advanceQuorumContact counts what is proven by the entries applied so far.
func (n *Node) advanceQuorumContact() {
	c := &n.contact
	if n.role == Leader {
		if n.hasCommittedInTerm() && n.log.appliedIndex >= n.log.commitIndex {
			c.last = max(c.last, n.quorumContactAt())
		}
		return
	}
	for c.pendingProof.asOf != 0 && n.log.appliedIndex >= c.pendingProof.commitIndex {
		c.last = max(c.last, c.pendingProof.asOf)
		if c.pendingProof == c.newestProof {
			c.pendingProof = contactProof{}
		} else {
			c.pendingProof = c.newestProof
		}
	}
}
