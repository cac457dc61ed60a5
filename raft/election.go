package raft

import (
	"time"
)

// Leader election: PreVote, votes, CheckQuorum and leadership transfer.

func (n *Node) reset(leader uint64) {
	n.leader = leader
	n.votes = nil
	n.forced = false
	n.transferTo = 0
	span := int64(n.cfg.Election)
	n.deadline = n.now + n.cfg.Election + time.Duration(n.cfg.Rand(span))
}

// hurry sets a short election timer. It is for nodes that only ask whether an
// election would be welcome, which disturbs nobody.
func (n *Node) hurry() {
	n.deadline = n.now + n.cfg.Heartbeat + time.Duration(n.cfg.Rand(int64(n.cfg.Election/2)))
}

func (n *Node) become(role Role, term, leader uint64) {
	if term != n.hard.Term {
		n.hard = HardState{Term: term}
		n.hardDirty = true
	}
	if n.role == Leader && role != Leader {
		n.dropReads()
	}
	n.role = role
	n.reset(leader)
}

// Campaign makes a voter stand for election now.
func (n *Node) Campaign() {
	if n.role != Leader && n.Members().Voter(n.cfg.ID) {
		n.campaign(PreCandidate, false)
	}
}

func (n *Node) campaign(role Role, force bool) {
	term := n.hard.Term
	if role == Candidate {
		term++
		n.become(Candidate, term, 0)
		n.hard.Vote = n.cfg.ID
		n.hardDirty = true
	} else {
		n.become(PreCandidate, term, 0)
		n.hurry()
		term++
	}
	n.forced = force
	n.votes = map[uint64]bool{n.cfg.ID: true}
	if n.won() {
		n.advance()
		return
	}
	for _, m := range n.Members().Voters {
		if m.ID == n.cfg.ID {
			continue
		}
		msg := Message{To: m.ID, Term: term, Index: n.last(), LogTerm: n.lastTerm(), Force: force}
		if role == Candidate {
			msg.Type = MsgVote
			n.outAfter(msg)
		} else {
			msg.Type = MsgPreVote
			n.out(msg)
		}
	}
}

func (n *Node) won() bool {
	voters := n.Members().Voters
	yes := 0
	for _, m := range voters {
		if n.votes[m.ID] {
			yes++
		}
	}
	return yes > len(voters)/2
}

func (n *Node) lost() bool {
	voters := n.Members().Voters
	no := 0
	for _, m := range voters {
		if v, ok := n.votes[m.ID]; ok && !v {
			no++
		}
	}
	return no > len(voters)/2 || (len(voters)%2 == 0 && no >= len(voters)/2)
}

func (n *Node) advance() {
	if n.role == PreCandidate {
		n.campaign(Candidate, n.forced)
		return
	}
	n.become(Leader, n.hard.Term, n.cfg.ID)
	n.deadline = n.now + n.cfg.Election
	n.peers = map[uint64]*progress{}
	n.seq, n.lagMark = 0, 0
	for _, m := range n.Members().All() {
		if m.ID != n.cfg.ID {
			n.peer(m.ID)
		}
	}
	n.termStart = n.last() + 1
	n.push(Entry{Type: Normal}) // commits what earlier terms left behind
	n.beat()
}

// Transfer hands leadership to the best follower, if there is one.
func (n *Node) Transfer() bool {
	if n.role != Leader {
		return false
	}
	var best uint64
	var bestMatch uint64
	for _, m := range n.Members().Voters {
		p := n.peers[m.ID]
		if m.ID == n.cfg.ID || p == nil || n.now-p.heardAt > n.cfg.Election {
			continue
		}
		if best == 0 || p.match > bestMatch {
			best, bestMatch = m.ID, p.match
		}
	}
	if best == 0 {
		return false
	}
	n.transferTo, n.transferAt = best, n.now
	n.tryTransfer()
	return true
}

func (n *Node) tryTransfer() {
	if p := n.peers[n.transferTo]; p != nil && p.match == n.last() {
		n.out(Message{Type: MsgTimeoutNow, To: n.transferTo})
	}
}

// hears tells whether a leader has heard from a majority within span, however old what
// it heard was: enough to go on leading, as over a slow link, not to count on it.
func (n *Node) hears(span time.Duration) bool {
	count := 0
	voters := n.Members().Voters
	for _, m := range voters {
		if p := n.peers[m.ID]; m.ID == n.cfg.ID || p != nil && n.now-p.heardAt <= span {
			count++
		}
	}
	return count > len(voters)/2
}

// leased tells whether this node has a living leader, so that a vote asked for
// by somebody else is not answered.
func (n *Node) leased() bool {
	if n.role == Leader {
		return n.hears(n.cfg.Election)
	}
	return n.leader != 0 && n.now-n.heardAt < n.cfg.Election
}

func (n *Node) upToDate(m Message) bool {
	t := n.lastTerm()
	return m.LogTerm > t || (m.LogTerm == t && m.Index >= n.last())
}

func (n *Node) stepPreVote(m Message) {
	ok := m.Term > n.hard.Term && n.upToDate(m) && !n.leased()
	resp := Message{Type: MsgPreVoteResp, To: m.From, Term: m.Term, Reject: !ok}
	if !ok {
		resp.Term = n.hard.Term
	}
	n.outAfter(resp)
}

func (n *Node) stepVote(m Message) {
	ok := (n.hard.Vote == 0 || n.hard.Vote == m.From) && n.leader == 0 && n.upToDate(m)
	if ok {
		if n.hard.Vote != m.From {
			n.hard.Vote = m.From
			n.hardDirty = true
		}
		n.deadline = n.now + n.cfg.Election + time.Duration(n.cfg.Rand(int64(n.cfg.Election)))
	}
	n.outAfter(Message{Type: MsgVoteResp, To: m.From, Reject: !ok})
}

func (n *Node) stepVoteResp(m Message) {
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
	case n.won():
		n.advance()
	case n.lost():
		n.become(Follower, n.hard.Term, 0)
	}
}
