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
			s.recordViolation("%d votes for %d and for %d in term %d", v.voter, known.candidate, v.candidate, v.term)
		}
		return
	}
	s.votes = append(s.votes, v)
}

// checkObservations checks the outputs of a transition, in their order.
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

// checkReadState checks that a confirmed read index covers all that was committed before
// the read was asked (linearizability; thesis, section 6.4).
func (s *clusterState) checkReadState(n *nodeState, r raft.ReadState) {
	i := slices.IndexFunc(s.pendingReads, func(p pendingRead) bool { return p.requestID == r.RequestID })
	if i < 0 {
		return
	}
	if minIndex := s.pendingReads[i].minIndex; r.Confirmed && r.Index < minIndex {
		s.recordViolation("%d confirms a read index of %d, %d was committed before the read was asked", n.id, r.Index, minIndex)
	}
	s.pendingReads = slices.Delete(s.pendingReads, i, i+1)
}

// checkCommitted checks an entry that a node holds as committed against those that are
// known to be (State Machine Safety, the paper, section 5.4.3). The first node to commit
// an entry must be a leader.
func (s *clusterState) checkCommitted(n *nodeState, e raft.Entry, digest uint64) {
	position := int(e.Index) - 1
	switch {
	case position < len(s.committed):
		known := s.committed[position]
		if known.entry.Term != e.Term || known.digest != digest {
			s.recordViolation("%d holds %d/%d as committed, %d/%d was committed there before, or another state before it", n.id, e.Index, e.Term, known.entry.Index, known.entry.Term)
		}
	case position > len(s.committed):
		s.recordViolation("%d commits %d, only %d are committed anywhere", n.id, e.Index, len(s.committed))
	case n.raft.Role() != raft.Leader:
		s.recordViolation("%d holds %d/%d as committed, no leader has committed it", n.id, e.Index, e.Term)
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

// checkDurable checks that an entry that a leader commits is on the disks of a quorum.
// A disk that was lost since it acknowledged the entry counts as having held it.
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
		s.recordViolation("%d commits %d/%d, which is durable at %d of %d voters", leader.id, e.Index, e.Term, durable, len(voters))
	}
}

// logHoldsEntry reports whether a log, of a snapshot and the entries after it, holds e.
func logHoldsEntry(s raft.Snapshot, entries []raft.Entry, e raft.Entry) bool {
	if e.Index <= s.Index {
		return true
	}
	position := e.Index - s.Index - 1
	return position < uint64(len(entries)) && entries[position].Term == e.Term
}

// checkSnapshot checks that a snapshot has the state and the membership of its index.
func (s *clusterState) checkSnapshot(n *nodeState, snapshot raft.Snapshot) {
	if snapshot.Index > uint64(len(s.committed)) {
		s.recordViolation("%d has a snapshot of %d, %d entries are committed", n.id, snapshot.Index, len(s.committed))
		return
	}
	if want := encodeDigest(s.committed[snapshot.Index-1].digest); !bytes.Equal(want, snapshot.Data) {
		s.recordViolation("%d has a snapshot of %d with another state", n.id, snapshot.Index)
	}
	if want := s.committedMembership(snapshot.Index); want != describeMembership(snapshot.Members) {
		s.recordViolation("%d has a snapshot of %d with %s, not %s", n.id, snapshot.Index, describeMembership(snapshot.Members), want)
	}
}

// committedMembership returns the membership that is committed up to index.
func (s *clusterState) committedMembership(index uint64) string {
	if count := min(index, uint64(len(s.committed))); count > 0 {
		return s.committed[count-1].membership
	}
	return describeMembership(s.initialMembership)
}

// checkInvariants checks the state after n has changed.
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

// checkMembership checks the newest membership that n holds as committed. A node that is
// joining knows none before the entry that names it.
func (s *clusterState) checkMembership(n *nodeState) {
	m := n.raft.ActiveMemberships()[0]
	if len(m.AllMembers()) == 0 {
		return
	}
	if want := s.committedMembership(n.raft.CommitIndex()); describeMembership(m) != want {
		s.recordViolation("%d holds %s as committed up to %d, not %s", n.id, describeMembership(m), n.raft.CommitIndex(), want)
	}
}

// checkElectionSafety checks that a term has one leader (the paper, section 5.2).
func (s *clusterState) checkElectionSafety(leader *nodeState) {
	term := leader.raft.Term()
	known, ok := s.leaderByTerm[term]
	if ok {
		if known != leader.id {
			s.recordViolation("%d and %d lead in term %d", known, leader.id, term)
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

// checkLeaderCompleteness checks that a leader holds all entries committed in earlier
// terms (the paper, section 5.4.3).
func (s *clusterState) checkLeaderCompleteness(leader *nodeState) {
	term := leader.raft.Term()
	snapshot, entries := leader.raft.Log()
	for _, e := range s.committed {
		if e.committedInTerm < term && !logHoldsEntry(snapshot, entries, e.entry) {
			s.recordViolation("%d leads in term %d without %d/%d, committed in term %d", leader.id, term, e.entry.Index, e.entry.Term, e.committedInTerm)
		}
	}
}

// checkLogMatching checks that two logs that agree on the term of an index agree on all
// entries up to it (the paper, section 5.3).
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
			s.recordViolation("%d and %d have different entries at %d, %d/%d and %d/%d, and agree on a term there or after it", a.id, b.id, i, x.Index, x.Term, y.Index, y.Term)
		}
	}
}

// checkQuorumOverlap checks that any two memberships that can both decide have a common
// member in all their quorums (thesis, section 4.1). That of a leader can decide while a
// quorum of it is not in a later term.
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
				s.recordViolation("%s and %s are both in use and have disjoint quorums", describeMembership(a), describeMembership(b))
			}
		}
	}
}

// canDecide reports whether a majority of the voters is in this term or an earlier one.
func (s *clusterState) canDecide(m raft.Membership, term uint64) bool {
	count := 0
	for _, v := range m.Voters {
		if n := s.nodeByID(v.ID); n != nil && n.raft.Term() <= term {
			count++
		}
	}
	return count > len(m.Voters)/2
}

// quorumsIntersect reports whether each majority of a has a member in common with each
// majority of b.
func quorumsIntersect(a, b []raft.Member) bool {
	shared := 0
	for _, m := range a {
		if slices.ContainsFunc(b, func(x raft.Member) bool { return x.ID == m.ID }) {
			shared++
		}
	}
	// The fewest shared members that a majority of this many voters has.
	fewest := func(voters int) int { return max(0, voters/2+1-(voters-shared)) }
	return fewest(len(a))+fewest(len(b)) > shared
}
