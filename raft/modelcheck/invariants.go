package modelcheck

import (
	"bytes"
	"slices"

	"lichentray/raft"
)

// recordVote checks that no node votes for two candidates in one term (the paper,
// section 5.2).
func (s *clusterState) recordVote(v grantedVote) {
	for _, known := range s.votes {
		if known.term != v.term || known.voter != v.voter {
			continue
		}
		if known.candidate != v.candidate {
			s.recordViolation("node %d voted for %d and for %d in term %d", v.voter, known.candidate, v.candidate, v.term)
		}
		return
	}
	s.votes = append(s.votes, v)
}

// checkObservations checks the outputs of a transition, in order.
func (s *clusterState) checkObservations(t *transition) {
	for _, o := range t.observations {
		switch {
		case o.committed != nil:
			s.checkCommitted(t.next, *o.committed, o.digestAfter)
		case o.snapshot != nil:
			s.checkSnapshot(t.next, *o.snapshot)
		default:
			s.checkReadState(t.next, *o.readState)
		}
	}
}

// checkReadState checks that a confirmed read index covers all entries committed before
// the read was requested (linearizability; thesis, section 6.4).
func (s *clusterState) checkReadState(n *nodeState, r raft.ReadState) {
	i := slices.IndexFunc(s.pendingReads, func(p pendingRead) bool { return p.requestID == r.RequestID })
	if i < 0 {
		return
	}
	if minIndex := s.pendingReads[i].minIndex; r.Confirmed && r.Index < minIndex {
		s.recordViolation("node %d confirmed a read index of %d, but index %d was committed before the read was requested", n.id, r.Index, minIndex)
	}
	s.pendingReads = slices.Delete(s.pendingReads, i, i+1)
}

// checkCommitted checks an entry that a node considers committed against the known
// committed entries (State Machine Safety; the paper, section 5.4.3). The first node to
// commit an entry must be a leader.
func (s *clusterState) checkCommitted(n *nodeState, e raft.Entry, digest uint64) {
	position := int(e.Index) - 1
	switch {
	case position < len(s.committed):
		known := s.committed[position]
		if known.entry.Term != e.Term || known.digest != digest {
			s.recordViolation("node %d committed %d/%d, but %d/%d was committed there before, or different entries before it", n.id, e.Index, e.Term, known.entry.Index, known.entry.Term)
		}
	case position > len(s.committed):
		s.recordViolation("node %d committed index %d, but only %d entries are committed on any node", n.id, e.Index, len(s.committed))
	case n.raft.Role() != raft.Leader:
		s.recordViolation("node %d committed %d/%d, which no leader has committed", n.id, e.Index, e.Term)
	default:
		membership := s.committedMembership(e.Index)
		if e.Type == raft.EntryConfChange {
			membership = describeMembershipData(e.Data)
		}
		s.committed = append(s.committed, committedEntry{
			entry:           e,
			digest:          digest,
			committedInTerm: n.raft.Term(),
			membership:      membership,
		})
		s.checkDurable(n, e)
	}
}

// checkDurable checks that an entry that a leader commits is on the disks of a quorum. A
// voter whose disk was lost counts as having had the entry, since it may have acknowledged
// the entry before.
func (s *clusterState) checkDurable(leader *nodeState, e raft.Entry) {
	voters := leader.raft.Membership().Voters
	durable := 0
	for _, m := range voters {
		n := s.nodeByID(m.ID)
		isOnDisk := n != nil && logHoldsEntry(n.disk.Snapshot, n.disk.Entries, e)
		if isOnDisk || slices.Contains(s.lostDisks, m.ID) {
			durable++
		}
	}
	if durable <= len(voters)/2 {
		s.recordViolation("node %d committed %d/%d, which is durable on only %d of %d voters", leader.id, e.Index, e.Term, durable, len(voters))
	}
}

// logHoldsEntry reports whether a log, given as a snapshot and the entries after it,
// contains e.
func logHoldsEntry(s raft.Snapshot, entries []raft.Entry, e raft.Entry) bool {
	if e.Index <= s.Index {
		return true
	}
	position := e.Index - s.Index - 1
	return position < uint64(len(entries)) && entries[position].Term == e.Term
}

// checkSnapshot checks that a snapshot has the state and the membership that are committed
// at its index.
func (s *clusterState) checkSnapshot(n *nodeState, snapshot raft.Snapshot) {
	if snapshot.Index > uint64(len(s.committed)) {
		s.recordViolation("node %d has a snapshot at index %d, but only %d entries are committed", n.id, snapshot.Index, len(s.committed))
		return
	}
	if want := encodeDigest(s.committed[snapshot.Index-1].digest); !bytes.Equal(want, snapshot.Data) {
		s.recordViolation("node %d has a snapshot at index %d with a state that differs from the committed one", n.id, snapshot.Index)
	}
	if want := s.committedMembership(snapshot.Index); want != describeMembership(snapshot.Members) {
		s.recordViolation("node %d has a snapshot at index %d with membership %q, want %q", n.id, snapshot.Index, describeMembership(snapshot.Members), want)
	}
}

// committedMembership returns the latest membership committed at or before index.
func (s *clusterState) committedMembership(index uint64) string {
	if count := min(index, uint64(len(s.committed))); count > 0 {
		return s.committed[count-1].membership
	}
	return describeMembership(s.initialMembership)
}

// checkInvariants checks the state after an event has changed n.
func (s *clusterState) checkInvariants(n *nodeState) {
	for _, other := range s.nodes {
		if other.id != n.id {
			s.checkLogMatching(n, other)
		}
	}
	s.checkMembership(n)
	if n.raft.Role() == raft.Leader {
		s.checkElectionSafety(n)
		s.checkLeaderCompleteness(n)
	}
	s.checkQuorumOverlap()
}

// checkMembership checks the latest membership that n considers committed. A joining node
// has none before the entry that adds it.
func (s *clusterState) checkMembership(n *nodeState) {
	m := n.raft.ActiveMemberships()[0]
	if len(m.AllMembers()) == 0 {
		return
	}
	if want := s.committedMembership(n.raft.CommitIndex()); describeMembership(m) != want {
		s.recordViolation("node %d has membership %q as committed at commit index %d, want %q", n.id, describeMembership(m), n.raft.CommitIndex(), want)
	}
}

// checkElectionSafety checks that a term has at most one leader (the paper, section 5.2).
func (s *clusterState) checkElectionSafety(leader *nodeState) {
	term := leader.raft.Term()
	known, ok := s.leaderByTerm[term]
	if ok {
		if known != leader.id {
			s.recordViolation("nodes %d and %d are both leaders of term %d", known, leader.id, term)
		}
		return
	}
	leaders := make(map[uint64]uint64, len(s.leaderByTerm)+1)
	for t, id := range s.leaderByTerm {
		leaders[t] = id
	}
	leaders[term] = leader.id
	s.leaderByTerm = leaders
}

// checkLeaderCompleteness checks that a leader has all entries committed in earlier terms
// (the paper, section 5.4.3).
func (s *clusterState) checkLeaderCompleteness(leader *nodeState) {
	term := leader.raft.Term()
	snapshot, entries := leader.raft.Log()
	for _, e := range s.committed {
		if e.committedInTerm < term && !logHoldsEntry(snapshot, entries, e.entry) {
			s.recordViolation("node %d is the leader of term %d, but lacks %d/%d, committed in term %d", leader.id, term, e.entry.Index, e.entry.Term, e.committedInTerm)
		}
	}
}

// checkLogMatching checks that two logs with the same term at an index have the same
// entries up to that index (the paper, section 5.3).
func (s *clusterState) checkLogMatching(a, b *nodeState) {
	snapshotA, logA := a.raft.Log()
	snapshotB, logB := b.raft.Log()
	first := max(snapshotA.Index, snapshotB.Index) + 1
	last := min(snapshotA.Index+uint64(len(logA)), snapshotB.Index+uint64(len(logB)))
	hasAgreed := false
	for i := last; i >= first; i-- {
		x, y := logA[i-snapshotA.Index-1], logB[i-snapshotB.Index-1]
		isSame := x.Term == y.Term && x.Type == y.Type && bytes.Equal(x.Data, y.Data)
		hasAgreed = hasAgreed || x.Term == y.Term
		if hasAgreed && !isSame {
			s.recordViolation("nodes %d and %d have different entries at index %d, %d/%d and %d/%d, but the same term there or at a later index", a.id, b.id, i, x.Index, x.Term, y.Index, y.Term)
		}
	}
}

// checkQuorumOverlap checks that every quorum of a membership in use intersects every
// quorum of any other membership in use (thesis, section 4.1). The memberships of a leader
// are in use as long as a majority of their voters is not in a later term.
func (s *clusterState) checkQuorumOverlap() {
	var active []raft.Membership
	for _, n := range s.nodes {
		if n.raft.Role() != raft.Leader {
			continue
		}
		for _, m := range n.raft.ActiveMemberships() {
			if s.canDecide(m, n.raft.Term()) {
				active = append(active, m)
			}
		}
	}
	for i, a := range active {
		for _, b := range active[:i] {
			if !quorumsIntersect(a.Voters, b.Voters) {
				s.recordViolation("memberships %q and %q are both in use and have disjoint quorums", describeMembership(a), describeMembership(b))
			}
		}
	}
}

// canDecide reports whether a majority of the voters is in the given term or an earlier one.
func (s *clusterState) canDecide(m raft.Membership, term uint64) bool {
	count := 0
	for _, v := range m.Voters {
		if n := s.nodeByID(v.ID); n != nil && n.raft.Term() <= term {
			count++
		}
	}
	return count > len(m.Voters)/2
}

// quorumsIntersect reports whether every majority of a has a member in common with every
// majority of b.
func quorumsIntersect(a, b []raft.Member) bool {
	shared := 0
	for _, m := range a {
		if slices.ContainsFunc(b, func(x raft.Member) bool { return x.ID == m.ID }) {
			shared++
		}
	}
	// minShared returns the minimum number of shared members in a majority of the voters.
	minShared := func(voters int) int { return max(0, voters/2+1-(voters-shared)) }
	return minShared(len(a))+minShared(len(b)) > shared
}
