package raft

import (
	"time"
)

// Leader election: PreVote, votes, CheckQuorum and leadership transfer.

func (n *Node) resetElection(leader uint64) {
	n.leaderID = leader
	n.votes = nil
	n.isForcedCampaign = false
	n.transferTarget = 0
	span := int64(n.config.ElectionTimeout)
	n.electionDeadline = n.now + n.config.ElectionTimeout + time.Duration(n.config.RandInt63n(span))
}

// shortenElectionDeadline sets a short election timer. It is for nodes that only ask whether an
// election would be welcome, which disturbs nobody.
func (n *Node) shortenElectionDeadline() {
	n.electionDeadline = n.now + n.config.HeartbeatInterval + time.Duration(n.config.RandInt63n(int64(n.config.ElectionTimeout/2)))
}

func (n *Node) becomeRole(role Role, term, leader uint64) {
	if term != n.hardState.Term {
		n.hardState = HardState{Term: term}
		n.hardStateChanged = true
	}
	if n.role == Leader && role != Leader {
		n.rejectPendingReads()
	}
	n.role = role
	n.resetElection(leader)
}

// Campaign makes a voter stand for election now.
func (n *Node) Campaign() {
	if n.role != Leader && n.Membership().IsVoter(n.config.ID) {
		n.campaignAs(PreCandidate, false)
	}
}

func (n *Node) campaignAs(role Role, force bool) {
	term := n.hardState.Term
	if role == Candidate {
		term++
		n.becomeRole(Candidate, term, 0)
		n.hardState.Vote = n.config.ID
		n.hardStateChanged = true
	} else {
		n.becomeRole(PreCandidate, term, 0)
		n.shortenElectionDeadline()
		term++
	}
	n.isForcedCampaign = force
	n.votes = map[uint64]bool{n.config.ID: true}
	if n.hasWonElection() {
		n.advanceCampaign()
		return
	}
	for _, m := range n.Membership().Voters {
		if m.ID == n.config.ID {
			continue
		}
		msg := Message{To: m.ID, Term: term, Index: n.lastIndex(), LogTerm: n.lastTerm(), Force: force}
		if role == Candidate {
			msg.Type = MsgVote
			n.sendAfterAppend(msg)
		} else {
			msg.Type = MsgPreVote
			n.send(msg)
		}
	}
}

func (n *Node) hasWonElection() bool {
	voters := n.Membership().Voters
	yes := 0
	for _, m := range voters {
		if n.votes[m.ID] {
			yes++
		}
	}
	return yes > len(voters)/2
}

func (n *Node) hasLostElection() bool {
	voters := n.Membership().Voters
	no := 0
	for _, m := range voters {
		if v, ok := n.votes[m.ID]; ok && !v {
			no++
		}
	}
	return no > len(voters)/2 || (len(voters)%2 == 0 && no >= len(voters)/2)
}

func (n *Node) advanceCampaign() {
	if n.role == PreCandidate {
		n.campaignAs(Candidate, n.isForcedCampaign)
		return
	}
	n.becomeRole(Leader, n.hardState.Term, n.config.ID)
	n.electionDeadline = n.now + n.config.ElectionTimeout
	n.progress = map[uint64]*progress{}
	n.readRound, n.diskLagIndex = 0, 0
	for _, m := range n.Membership().AllMembers() {
		if m.ID != n.config.ID {
			n.ensureProgress(m.ID)
		}
	}
	n.termStartIndex = n.lastIndex() + 1
	n.appendEntry(Entry{Type: EntryNormal}) // commits what earlier terms left behind
	n.broadcastHeartbeat()
}

// TransferLeadership hands leadership to the best follower, if there is one.
func (n *Node) TransferLeadership() bool {
	if n.role != Leader {
		return false
	}
	var best uint64
	var bestMatch uint64
	for _, m := range n.Membership().Voters {
		p := n.progress[m.ID]
		if m.ID == n.config.ID || p == nil || n.now-p.lastContact > n.config.ElectionTimeout {
			continue
		}
		if best == 0 || p.matchIndex > bestMatch {
			best, bestMatch = m.ID, p.matchIndex
		}
	}
	if best == 0 {
		return false
	}
	n.transferTarget, n.transferStartedAt = best, n.now
	n.maybeSendTimeoutNow()
	return true
}

func (n *Node) maybeSendTimeoutNow() {
	if p := n.progress[n.transferTarget]; p != nil && p.matchIndex == n.lastIndex() {
		n.send(Message{Type: MsgTimeoutNow, To: n.transferTarget})
	}
}

// heardFromMajority tells whether a leader has heard from a majority within span, however old what
// it heard was: enough to go on leading, as over a slow link, not to count on it.
func (n *Node) heardFromMajority(span time.Duration) bool {
	count := 0
	voters := n.Membership().Voters
	for _, m := range voters {
		if p := n.progress[m.ID]; m.ID == n.config.ID || p != nil && n.now-p.lastContact <= span {
			count++
		}
	}
	return count > len(voters)/2
}

// inLeaderLease tells whether this node has a living leader, so that a vote asked for
// by somebody else is not answered.
func (n *Node) inLeaderLease() bool {
	if n.role == Leader {
		return n.heardFromMajority(n.config.ElectionTimeout)
	}
	return n.leaderID != 0 && n.now-n.lastLeaderContact < n.config.ElectionTimeout
}

func (n *Node) isLogUpToDate(m Message) bool {
	t := n.lastTerm()
	return m.LogTerm > t || (m.LogTerm == t && m.Index >= n.lastIndex())
}

func (n *Node) handlePreVote(m Message) {
	ok := m.Term > n.hardState.Term && n.isLogUpToDate(m) && !n.inLeaderLease()
	resp := Message{Type: MsgPreVoteResp, To: m.From, Term: m.Term, Reject: !ok}
	if !ok {
		resp.Term = n.hardState.Term
	}
	n.sendAfterAppend(resp)
}

func (n *Node) handleVote(m Message) {
	ok := (n.hardState.Vote == 0 || n.hardState.Vote == m.From) && n.leaderID == 0 && n.isLogUpToDate(m)
	if ok {
		if n.hardState.Vote != m.From {
			n.hardState.Vote = m.From
			n.hardStateChanged = true
		}
		n.electionDeadline = n.now + n.config.ElectionTimeout + time.Duration(n.config.RandInt63n(int64(n.config.ElectionTimeout)))
	}
	n.sendAfterAppend(Message{Type: MsgVoteResp, To: m.From, Reject: !ok})
}

func (n *Node) handleVoteResp(m Message) {
	want := MsgVoteResp
	if n.role == PreCandidate {
		want = MsgPreVoteResp
	}
	if (n.role != PreCandidate && n.role != Candidate) || m.Type != want {
		return
	}
	if _, seen := n.votes[m.From]; !seen {
		n.votes[m.From] = !m.Reject
	}
	switch {
	case n.hasWonElection():
		n.advanceCampaign()
	case n.hasLostElection():
		n.becomeRole(Follower, n.hardState.Term, 0)
	}
}
