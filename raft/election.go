package raft

import "time"

// Leader election (the paper, section 5.2) with PreVote (thesis, section 9.6), leases of
// the leader (thesis, sections 4.2.3 and 6.4.1) and leadership transfer (thesis, section
// 3.10).

// randomElectionTimeout draws a timeout between one and two election timeouts.
func (n *Node) randomElectionTimeout() time.Duration {
	return n.config.ElectionTimeout + time.Duration(n.config.RandInt63n(int64(n.config.ElectionTimeout)))
}

// resetElection forgets the votes and a transfer of leadership, and restarts the
// election timer.
func (n *Node) resetElection(leaderID uint64) {
	n.leaderID = leaderID
	n.votes = nil
	n.isForcedCampaign = false
	n.transferTarget = 0
	n.electionDeadline = n.now + n.randomElectionTimeout()
}

// shortenElectionDeadline sets a short election timer, for a node that only asks whether
// an election could succeed, which disturbs nobody.
func (n *Node) shortenElectionDeadline() {
	jitter := time.Duration(n.config.RandInt63n(int64(n.config.ElectionTimeout / 2)))
	n.electionDeadline = n.now + n.config.HeartbeatInterval + jitter
}

// becomeRole changes to a role in a term, under a leader if one is known.
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

// Campaign makes a voter stand for election now, beginning with a pre-vote. It does
// nothing at a leader or a learner.
func (n *Node) Campaign() {
	if n.role != Leader && n.Membership().IsVoter(n.config.ID) {
		n.campaignAs(PreCandidate, false)
	}
}

// campaignAs asks all voters for their votes, as PreCandidate or Candidate. A forced
// campaign is one that the leader asked for.
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

// countVotes counts the voters that have granted and rejected their votes.
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

// hasLostElection reports whether the voters that have not answered cannot make up a
// majority any more.
func (n *Node) hasLostElection() bool {
	_, rejected := n.countVotes()
	return 2*rejected >= len(n.Membership().Voters)
}

// advanceCampaign turns a pre-candidate that has won into a candidate, and a candidate
// into the leader.
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
	// An empty entry of the own term commits what earlier terms have left behind.
	n.termStartIndex = n.log.lastIndex() + 1
	n.appendEntry(Entry{Type: EntryNormal})
	n.broadcastHeartbeat()
}

// handlePreVote answers whether this node would vote for the sender.
func (n *Node) handlePreVote(m *Message) {
	isGranted := m.Term > n.hardState.Term && n.log.isUpToDate(m.Index, m.LogTerm) && !n.inLeaderLease()
	// A granted pre-vote carries the term that the candidate would begin, as this node
	// stays in its own. A rejection carries this node's term, for the sender to adopt.
	resp := Message{Type: MsgPreVoteResp, To: m.From, Term: m.Term, Reject: !isGranted}
	if !isGranted {
		resp.Term = n.hardState.Term
	}
	n.sendAfterAppend(resp)
}

// handleVote grants a vote of the current term, to one candidate only. In a term whose
// leader is known the election is decided.
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

// handleVoteResp counts a vote, if it belongs to the present campaign. Only the first
// answer of a voter counts.
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

// heardFromMajority reports whether a leader has received any message from a majority
// within span. A message may have been long on its way, so this is enough to go on
// leading over a slow link, but it is no lease; see HasQuorumContact.
func (n *Node) heardFromMajority(span time.Duration) bool {
	voters := n.Membership().Voters
	heard := 0
	for _, m := range voters {
		if p := n.progress[m.ID]; m.ID == n.config.ID || p != nil && n.now-p.lastContact <= span {
			heard++
		}
	}
	return isMajority(heard, len(voters))
}

// inLeaderLease reports whether this node has a live leader, or is one, so that it does
// not vote for anybody else.
func (n *Node) inLeaderLease() bool {
	if n.role == Leader {
		return n.heardFromMajority(n.config.ElectionTimeout)
	}
	return n.leaderID != 0 && n.now-n.lastLeaderContact < n.config.ElectionTimeout
}

// TransferLeadership starts to transfer leadership to the voter with the longest log
// among those heard within an election timeout, and to one that keeps its log in memory
// only if there is no other. It returns false if this node does not lead or there is no
// such voter. Until the target leads, or an election timeout has passed, proposals are
// rejected.
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

// chooseTransferTarget returns the voter that leadership is transferred to.
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

// isBetterTransferTarget reports whether leadership goes rather to m than to another voter. Both
// have progress.
func (n *Node) isBetterTransferTarget(m, than Member) bool {
	if inMemory := m.Storage == StorageMemory; inMemory != (than.Storage == StorageMemory) {
		return !inMemory
	}
	return n.progress[m.ID].matchIndex > n.progress[than.ID].matchIndex
}

// maybeSendTimeoutNow asks the target of a transfer to campaign, once it holds the
// complete log.
func (n *Node) maybeSendTimeoutNow() {
	if p := n.progress[n.transferTarget]; p != nil && p.matchIndex == n.log.lastIndex() {
		n.send(Message{Type: MsgTimeoutNow, To: n.transferTarget})
	}
}
