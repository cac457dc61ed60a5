package raft

import "errors"

// Membership changes, one voter at a time (thesis, section 4.1). A node uses the newest
// membership in its log, committed or not.

// The errors of ProposeConfChange.
var (
	// ErrNotLeader means that this node does not lead, or is transferring its leadership.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrConfChangePending means that the last membership is not committed yet, or that
	// the leader has committed no entry of its own term yet.
	ErrConfChangePending = errors.New("raft: another membership change is pending")
	// ErrTooManyVoterChanges means that more than one voter would be added or removed.
	ErrTooManyVoterChanges = errors.New("raft: more than one voter changed")
	// ErrLeaderRemoval means that the leader would not be a voter any more. It must
	// transfer its leadership first.
	ErrLeaderRemoval = errors.New("raft: the leader cannot remove itself")
)

// loggedMembership is a membership and the index from which on it is in force.
type loggedMembership struct {
	index      uint64
	membership Membership
}

// membershipHistory holds the membership of the snapshot, and all later ones in the log,
// in the order of their indexes. It is never empty.
type membershipHistory []loggedMembership

func newMembershipHistory(s Snapshot) membershipHistory {
	return membershipHistory{{index: s.Index, membership: s.Members}}
}

func (h membershipHistory) newest() *loggedMembership { return &h[len(h)-1] }

// track adds the membership of an entry that is appended to the log, if it has one. An
// entry that cannot be decoded changes nothing; it is the same at all nodes.
func (h *membershipHistory) track(e Entry) {
	if e.Type != EntryConfChange {
		return
	}
	if m, err := DecodeMembership(e.Data); err == nil {
		*h = append(*h, loggedMembership{index: e.Index, membership: m})
	}
}

// truncateFrom removes the memberships of the entries from index on.
func (h *membershipHistory) truncateFrom(index uint64) {
	for len(*h) > 1 && h.newest().index >= index {
		*h = (*h)[:len(*h)-1]
	}
}

// dropBefore removes the memberships that were replaced at or before index.
func (h *membershipHistory) dropBefore(index uint64) {
	for len(*h) > 1 && (*h)[1].index <= index {
		*h = (*h)[1:]
	}
}

// active returns the newest membership that is committed and all that follow it.
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

// Membership returns the newest membership in the log, committed or not. It must not be
// changed.
func (n *Node) Membership() Membership { return n.log.memberships.newest().membership }

// MembershipIndex returns the index of the entry, or snapshot, that holds the newest
// membership.
func (n *Node) MembershipIndex() uint64 { return n.log.memberships.newest().index }

// ActiveMemberships returns the memberships whose quorums may decide, as far as this
// node knows: the newest committed one and all that follow it in the log.
func (n *Node) ActiveMemberships() []Membership {
	return n.log.memberships.active(n.log.commitIndex)
}

// HasPendingConfChange reports whether the newest membership is not committed yet, or
// the leader has not committed an entry of its own term yet. Before that, two changes
// under different leaders could lead to disjoint quorums (Ongaro, "Bug in single-server
// membership changes", raft-dev, 2015).
func (n *Node) HasPendingConfChange() bool {
	return n.MembershipIndex() > n.log.commitIndex || !n.hasCommittedInTerm()
}

// ProposeConfChange appends a membership to the log of the leader, where it is in force
// at once. It may differ from the present one by one voter and by any learners. The
// error is one of ErrNotLeader, ErrConfChangePending, ErrTooManyVoterChanges and
// ErrLeaderRemoval; nothing has happened then.
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
