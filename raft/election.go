package raft

import "time"

// Leader election (the paper, section 5.2) with PreVote (thesis, section 9.6), leader
// leases (thesis, sections 4.2.3 and 6.4.1) and leadership transfer (thesis, section
// 3.10).

// randomElectionTimeout returns a random timeout of one to two election timeouts.
func (n *Node) randomElectionTimeout() time.Duration {
	return n.config.ElectionTimeout + time.Duration(n.config.RandInt63n(int64(n.config.ElectionTimeout)))
}

// resetElection clears the votes and any leadership transfer, and restarts the election
// timer.
func (n *Node) resetElection(leaderID uint64) {
	n.leaderID = leaderID
	n.votes = nil
	n.isForcedCampaign = false
	n.transferTarget = 0
	n.electionDeadline = n.now + n.randomElectionTimeout()
}

// shortenElectionDeadline sets a short election timer. It is for a node whose next
// campaign is a pre-vote, which does not disrupt the cluster.
func (n *Node) shortenElectionDeadline() {
	jitter := time.Duration(n.config.RandInt63n(int64(n.config.ElectionTimeout / 2)))
	n.electionDeadline = n.now + n.config.HeartbeatInterval + jitter
}

// becomeRole changes the role and the term. leaderID is the leader of that term, or 0 if
// it is unknown.
func (n *Node) becomeRole(role Role, term, leaderID uint64) {
	if term != n.hardState.Term {
		n.hardState = HardState{Term: term}
		n.hardStateChanged = true
	}
	if n.role == Leader && role != Leader {
		n.rejectPendingReads()
	}
	n.role = role
	n.resetElection(leaderID)
}

// Campaign makes a voter start an election now, beginning with a pre-vote. It does
// nothing on a leader or a learner.
func (n *Node) Campaign() {
	if n.role != Leader && n.Membership().IsVoter(n.config.ID) {
		n.campaignAs(PreCandidate, false)
	}
}

// campaignAs requests votes from all voters, as PreCandidate or Candidate. A forced
// campaign is one that the leader requested.
func (n *Node) campaignAs(role Role, isForced bool) {
	if role == Candidate {
		n.becomeRole(Candidate, n.hardState.Term+1, 0)
		n.hardState.Vote = n.config.ID
		n.hardStateChanged = true
	} else {
		n.becomeRole(PreCandidate, n.hardState.Term, 0)
		n.shortenElectionDeadline()
	}
	n.isForcedCampaign = isForced
	n.votes = map[uint64]bool{n.config.ID: true}
	if n.hasWonElection() {
		n.advanceCampaign()
		return
	}
	n.requestVotes()
}

func (n *Node) requestVotes() {
	request := Message{
		Term:    n.hardState.Term,
		Index:   n.log.lastIndex(),
		LogTerm: n.log.lastTerm(),
		Force:   n.isForcedCampaign,
	}
	for _, m := range n.Membership().Voters {
		if m.ID == n.config.ID {
			continue
		}
		request.To = m.ID
		if n.role == Candidate {
			request.Type = MsgVote
			n.sendAfterAppend(request) // once this node's own vote is durable
		} else {
			request.Type = MsgPreVote
			request.Term = n.hardState.Term + 1
			n.send(request)
		}
	}
}

// countVotes counts the voters that granted and that rejected the vote.
func (n *Node) countVotes() (granted, rejected int) {
	for _, m := range n.Membership().Voters {
		isGranted, hasVoted := n.votes[m.ID]
		switch {
		case isGranted:
			granted++
		case hasVoted:
			rejected++
		}
	}
	return granted, rejected
}

func (n *Node) hasWonElection() bool {
	granted, _ := n.countVotes()
	return isMajority(granted, len(n.Membership().Voters))
}

// hasLostElection reports whether so many voters have rejected the vote that a majority
// is no longer possible.
func (n *Node) hasLostElection() bool {
	_, rejected := n.countVotes()
	return 2*rejected >= len(n.Membership().Voters)
}

// advanceCampaign makes a pre-candidate that has won a candidate, and a candidate that
// has won the leader.
func (n *Node) advanceCampaign() {
	if n.role == PreCandidate {
		n.campaignAs(Candidate, n.isForcedCampaign)
	} else {
		n.becomeLeader()
	}
}

func (n *Node) becomeLeader() {
	n.becomeRole(Leader, n.hardState.Term, n.config.ID)
	n.electionDeadline = n.now + n.config.ElectionTimeout
	n.reads.round = 0
	n.diskLagIndex = 0
	n.progress = map[uint64]*progress{}
	for _, m := range n.Membership().AllMembers() {
		if m.ID != n.config.ID {
			n.ensureProgress(m.ID)
		}
	}
	// Committing an empty entry of this term also commits all entries of earlier terms
	// (the paper, section 5.4.2).
	n.termStartIndex = n.log.lastIndex() + 1
	n.appendEntry(Entry{Type: EntryNormal})
	n.broadcastHeartbeat()
}

// handlePreVote responds whether this node would vote for the sender.
func (n *Node) handlePreVote(m *Message) {
	isGranted := m.Term > n.hardState.Term && n.log.isUpToDate(m.Index, m.LogTerm) && !n.inLeaderLease()
	// A granted pre-vote carries the term that the candidate would start, since this
	// node remains in its own term. A rejection carries this node's term, for the sender
	// to adopt.
	resp := Message{Type: MsgPreVoteResp, To: m.From, Term: m.Term, Reject: !isGranted}
	if !isGranted {
		resp.Term = n.hardState.Term
	}
	n.sendAfterAppend(resp)
}

// handleVote grants this node's vote in the current term, to at most one candidate. It
// rejects the request if the leader of the term is known, as the election is over.
func (n *Node) handleVote(m *Message) {
	canVote := n.hardState.Vote == 0 || n.hardState.Vote == m.From
	isGranted := canVote && n.leaderID == 0 && n.log.isUpToDate(m.Index, m.LogTerm)
	if isGranted {
		if n.hardState.Vote != m.From {
			n.hardState.Vote = m.From
			n.hardStateChanged = true
		}
		n.electionDeadline = n.now + n.randomElectionTimeout()
	}
	n.sendAfterAppend(Message{Type: MsgVoteResp, To: m.From, Reject: !isGranted})
}

// handleVoteResp counts a vote if it belongs to the current campaign. Only the first
// response of a voter counts.
func (n *Node) handleVoteResp(m *Message) {
	isPreVote := n.role == PreCandidate && m.Type == MsgPreVoteResp
	isVote := n.role == Candidate && m.Type == MsgVoteResp
	if !isPreVote && !isVote {
		return
	}
	if _, hasVoted := n.votes[m.From]; !hasVoted {
		n.votes[m.From] = !m.Reject
	}
	switch {
	case n.hasWonElection():
		n.advanceCampaign()
	case n.hasLostElection():
		n.becomeRole(Follower, n.hardState.Term, 0)
	}
}

// heardFromMajority reports whether a leader has received responses from a majority within
// the given time. As a response may have been delayed for long, this suffices to keep a
// leader that has a slow link from stepping down, but it is not a lease; see
// HasQuorumContact.
func (n *Node) heardFromMajority(within time.Duration) bool {
	voters := n.Membership().Voters
	heard := 0
	for _, m := range voters {
		if p := n.progress[m.ID]; m.ID == n.config.ID || p != nil && n.now-p.lastContact <= within {
			heard++
		}
	}
	return isMajority(heard, len(voters))
}

// inLeaderLease reports whether this node is a live leader or has recently heard from one,
// and therefore must not vote for another node.
func (n *Node) inLeaderLease() bool {
	if n.role == Leader {
		return n.heardFromMajority(n.config.ElectionTimeout)
	}
	return n.leaderID != 0 && n.now-n.lastLeaderContact < n.config.ElectionTimeout
}

// TransferLeadership starts to transfer leadership to the voter with the longest log
// among those that responded within an election timeout. Voters that keep their log in
// memory are chosen only if there is no other. It returns false if this node is not the
// leader or there is no such voter. Proposals are rejected until the target is the leader
// or an election timeout has passed.
func (n *Node) TransferLeadership() bool {
	if n.role != Leader {
		return false
	}
	target, isFound := n.chooseTransferTarget()
	if !isFound {
		return false
	}
	n.transferTarget = target.ID
	n.transferStartedAt = n.now
	n.maybeSendTimeoutNow()
	return true
}

// chooseTransferTarget returns the voter to transfer leadership to.
func (n *Node) chooseTransferTarget() (target Member, isFound bool) {
	for _, m := range n.Membership().Voters {
		p := n.progress[m.ID]
		if m.ID == n.config.ID || p == nil || n.now-p.lastContact > n.config.ElectionTimeout {
			continue
		}
		if !isFound || n.isBetterTransferTarget(m, target) {
			target = m
			isFound = true
		}
	}
	return target, isFound
}

// isBetterTransferTarget reports whether m is preferred to other as the target of a
// leadership transfer. Both must have progress.
func (n *Node) isBetterTransferTarget(m, other Member) bool {
	if inMemory := m.Storage == StorageMemory; inMemory != (other.Storage == StorageMemory) {
		return !inMemory
	}
	return n.progress[m.ID].matchIndex > n.progress[other.ID].matchIndex
}

// maybeSendTimeoutNow asks the target of a transfer to campaign, provided that it has the
// complete log.
func (n *Node) maybeSendTimeoutNow() {
	if p := n.progress[n.transferTarget]; p != nil && p.matchIndex == n.log.lastIndex() {
		n.send(Message{Type: MsgTimeoutNow, To: n.transferTarget})
	}
}
