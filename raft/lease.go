package raft

import "time"

// Leases: how long ago a node was in contact with a majority (thesis, section 6.4.1).
//
// Each lease is measured by a node's own monotonic clock, from the time at which a
// heartbeat was sent, never from the time at which its response was received. Messages
// that were buffered in a socket while the process was suspended, or that crossed the
// network in one direction only, therefore never extend a lease. Readings of different
// clocks are never compared, and wall-clock time is not used. Whether a leader steps down
// depends instead on when it last received responses; see heardFromMajority.

// quorumContact tracks a node's last contact with a majority.
type quorumContact struct {
	last time.Duration // see Node.LastQuorumContact
	// On a follower, the oldest proof whose commit index is not applied yet, and the
	// latest one. They may be the same; asOf is zero if there is none.
	pendingProof contactProof
	newestProof  contactProof
}

// contactProof is what a heartbeat proves to a follower: a state machine that has applied
// all entries up to commitIndex has applied everything that was acknowledged anywhere
// before asOf, by the follower's clock.
type contactProof struct {
	asOf        time.Duration
	commitIndex uint64
}

// LastQuorumContact returns the latest time, by this node's clock, for which everything
// acknowledged by then is known to be applied on this node, or zero if there is none yet.
// On a leader, a majority has responded to a heartbeat sent at that time or later. On a
// follower, a leader in contact with a majority had received the message that the
// follower sent at that time, and the follower has applied what that leader had
// committed. The value is exact on a leader. On a follower it may be up to one election
// timeout later than the correct value, as its leader may have been deposed for that long.
func (n *Node) LastQuorumContact() time.Duration { return n.contact.last }

// HasQuorumContact reports whether this node is the leader and a majority has responded
// to a heartbeat that it sent within the given time.
func (n *Node) HasQuorumContact(within time.Duration) bool {
	return n.role == Leader && n.now-n.quorumContactAt() <= within
}

// quorumContactAt returns the latest time such that a majority of the voters has responded
// to a heartbeat that this leader sent at that time or later.
func (n *Node) quorumContactAt() time.Duration {
	return majorityValue(n, n.now, func(p *progress) time.Duration { return p.ackedHeartbeatSentAt })
}

// recordContactProof stores the proof in a heartbeat until its commit index is applied.
func (n *Node) recordContactProof(m *Message) {
	if !m.Touch || m.Echo == 0 {
		return
	}
	n.contact.newestProof = contactProof{asOf: m.Echo, commitIndex: m.Index}
	if n.contact.pendingProof.asOf == 0 {
		n.contact.pendingProof = n.contact.newestProof
	}
}

// advanceQuorumContact advances the last contact to the latest time that the entries
// applied so far prove.
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
