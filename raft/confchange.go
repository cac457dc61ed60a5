package raft

import "errors"

// Membership changes, one voter at a time (thesis, section 4.1). A node uses the latest
// membership in its log, committed or not.

// Errors returned by ProposeConfChange.
var (
	// ErrNotLeader means that this node is not the leader, or is transferring its
	// leadership.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrConfChangePending means that the latest membership is not committed yet, or that
	// the leader has not committed an entry of its own term yet.
	ErrConfChangePending = errors.New("raft: another membership change is pending")
	// ErrTooManyVoterChanges means that more than one voter would be added or removed.
	ErrTooManyVoterChanges = errors.New("raft: more than one voter changed")
	// ErrLeaderRemoval means that the leader would no longer be a voter. It must transfer
	// its leadership first.
	ErrLeaderRemoval = errors.New("raft: the leader cannot remove itself")
)

// loggedMembership is a membership and the index at which it takes effect.
type loggedMembership struct {
	index      uint64
	membership Membership
}

// membershipHistory holds the membership of the snapshot and all later ones in the log,
// in ascending order of index. It is never empty.
type membershipHistory []loggedMembership

func newMembershipHistory(s Snapshot) membershipHistory {
	return membershipHistory{{index: s.Index, membership: s.Members}}
}

func (h membershipHistory) newest() *loggedMembership { return &h[len(h)-1] }

// track adds the membership of an entry that is appended to the log, if it has one. It
// ignores an entry that cannot be decoded, as all nodes do alike.
func (h *membershipHistory) track(e Entry) {
	if e.Type != EntryConfChange {
		return
	}
	if m, err := DecodeMembership(e.Data); err == nil {
		*h = append(*h, loggedMembership{index: e.Index, membership: m})
	}
}

// truncateFrom removes the memberships of all entries starting at index.
func (h *membershipHistory) truncateFrom(index uint64) {
	for len(*h) > 1 && h.newest().index >= index {
		*h = (*h)[:len(*h)-1]
	}
}

// dropBefore removes the memberships that were superseded at or before index.
func (h *membershipHistory) dropBefore(index uint64) {
	for len(*h) > 1 && (*h)[1].index <= index {
		*h = (*h)[1:]
	}
}

// active returns the latest committed membership and all that follow it.
func (h membershipHistory) active(commitIndex uint64) []Membership {
	var memberships []Membership
	for i, m := range h {
		isReplaced := i+1 < len(h) && h[i+1].index <= commitIndex
		if !isReplaced {
			memberships = append(memberships, m.membership)
		}
	}
	return memberships
}

// Membership returns the latest membership in the log, committed or not. The caller must
// not modify it.
func (n *Node) Membership() Membership { return n.log.memberships.newest().membership }

// MembershipIndex returns the index of the entry or snapshot that contains the latest
// membership.
func (n *Node) MembershipIndex() uint64 { return n.log.memberships.newest().index }

// ActiveMemberships returns the memberships whose quorums may make decisions, as far as
// this node knows: the latest committed one and all that follow it in the log.
func (n *Node) ActiveMemberships() []Membership {
	return n.log.memberships.active(n.log.commitIndex)
}

// HasPendingConfChange reports whether the latest membership is not committed yet, or the
// leader has not committed an entry of its own term yet. Until it has, changes proposed by
// different leaders could result in disjoint quorums (Ongaro, "Bug in single-server
// membership changes", raft-dev, 2015).
func (n *Node) HasPendingConfChange() bool {
	return n.MembershipIndex() > n.log.commitIndex || !n.hasCommittedInTerm()
}

// ProposeConfChange appends a membership to the leader's log, where it takes effect
// immediately. It may differ from the current one by at most one voter and by any number
// of learners. The error is ErrNotLeader, ErrConfChangePending, ErrTooManyVoterChanges or
// ErrLeaderRemoval; in these cases nothing is appended.
func (n *Node) ProposeConfChange(m Membership) error {
	switch {
	case n.role != Leader || n.transferTarget != 0:
		return ErrNotLeader
	case n.HasPendingConfChange():
		return ErrConfChangePending
	case voterDifference(n.Membership().Voters, m.Voters) > 1:
		return ErrTooManyVoterChanges
	case !m.IsVoter(n.config.ID):
		return ErrLeaderRemoval
	}
	n.appendEntry(Entry{Type: EntryConfChange, Data: m.Encode()})
	for _, x := range m.AllMembers() {
		if x.ID != n.config.ID {
			n.ensureProgress(x.ID)
		}
	}
	return nil
}
