package clamp

import (
	"sort"
	"time"
)

// Log replication.

type progress struct {
	match    uint64
	next     uint64
	sentAt   time.Duration // last append or snapshot
	heardAt  time.Duration
	askedAt  time.Duration // when the newest heartbeat that was answered was sent
	theirs   time.Duration // the newest time of its own clock that was heard
	ackedAt  time.Duration // last time match moved or was whole
	context  uint64
	snapshot bool
	// What was sent anew after the newest rejection, and when.
	anewFrom, anewThrough uint64
	anewAt                time.Duration
}

// Heard tells when a leader last heard from a member.
func (n *Node) Heard(id uint64) time.Duration {
	if p := n.peers[id]; p != nil {
		return p.heardAt
	}
	return 0
}

// Match tells up to where a member is known to hold the leader's log.
func (n *Node) Match(id uint64) uint64 {
	if id == n.cfg.ID {
		return n.stable
	}
	if p := n.peers[id]; p != nil {
		return p.match
	}
	return 0
}

func (n *Node) beat() {
	n.beatAt = n.now
	touch := n.commit >= n.termStart && n.InTouch(n.cfg.Election)
	term, _ := n.term(n.commit)
	for _, m := range n.Members().All() {
		if m.ID == n.cfg.ID {
			continue
		}
		p := n.peer(m.ID)
		// Nothing acknowledged for a while: send again from what is known.
		if p.match < n.last() && n.now-p.sentAt > 3*n.cfg.Heartbeat && n.now-p.ackedAt > 3*n.cfg.Heartbeat {
			p.next, p.snapshot = p.match+1, false
			if n.now-p.heardAt <= n.cfg.Election {
				n.append(m.ID)
			}
		}
		n.out(Message{Type: MsgHeartbeat, To: m.ID, Commit: min(n.commit, p.match), Context: n.seq,
			Index: n.commit, LogTerm: term, Sent: n.now, Echo: p.theirs, Touch: touch})
	}
}

func (n *Node) peer(id uint64) *progress {
	p := n.peers[id]
	if p == nil {
		p = &progress{next: n.last() + 1, heardAt: n.now, askedAt: n.now, ackedAt: n.now}
		n.peers[id] = p
	}
	return p
}

func (n *Node) push(e Entry) uint64 {
	e.Term, e.Index = n.hard.Term, n.last()+1
	n.entries = append(n.entries, e)
	n.unsaved = append(n.unsaved, e)
	n.noteMembership(e)
	return e.Index
}

// Propose appends a command at the leader. ok is false, and nothing was done,
// if this node does not lead or is handing its leadership on.
func (n *Node) Propose(data []byte) (index, term uint64, ok bool) {
	if n.role != Leader || n.transferTo != 0 {
		return 0, 0, false
	}
	return n.push(Entry{Type: Normal, Data: data}), n.hard.Term, true
}

func (n *Node) stepAppend(m Message) {
	if m.Index < n.commit {
		n.outAfter(Message{Type: MsgAppendResp, To: m.From, Index: n.commit})
		return
	}
	if t, ok := n.term(m.Index); !ok || t != m.LogTerm {
		hint := min(m.Index, n.last())
		for hint > n.commit {
			if t, ok := n.term(hint); ok && t <= m.LogTerm {
				break
			}
			hint--
		}
		n.outAfter(Message{Type: MsgAppendResp, To: m.From, Reject: true, Index: m.Index, Hint: hint})
		return
	}
	for i, e := range m.Entries {
		if t, ok := n.term(e.Index); ok && t == e.Term {
			continue
		}
		n.cut(e.Index)
		for _, e := range m.Entries[i:] {
			n.entries = append(n.entries, e)
			n.unsaved = append(n.unsaved, e)
			n.noteMembership(e)
		}
		break
	}
	held := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, held))
	n.outAfter(Message{Type: MsgAppendResp, To: m.From, Index: held})
}

// cut removes all entries from index on. Committed ones never go.
func (n *Node) cut(index uint64) {
	if index > n.last() || index <= n.commit {
		return
	}
	n.entries = append([]Entry(nil), n.entries[:index-n.snap.Index-1]...)
	n.stable = min(n.stable, index-1)
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
	for i, e := range n.unsaved {
		if e.Index >= index {
			n.unsaved = n.unsaved[:i]
			break
		}
	}
}

func (n *Node) commitTo(i uint64) {
	if i > n.commit {
		n.commit = i
	}
}

func (n *Node) stepResp(m Message) {
	p := n.peers[m.From]
	if p == nil {
		return
	}
	p.heardAt = n.now
	if m.Type == MsgHeartbeatResp {
		p.askedAt, p.theirs = max(p.askedAt, m.Echo), max(p.theirs, m.Sent)
		if m.Context > p.context {
			p.context = m.Context
			n.releaseReads()
		}
		if p.match >= n.last() {
			p.ackedAt = n.now
		}
		return
	}
	if m.Reject {
		if m.Index == 0 || m.Index < p.match {
			return
		}
		// A peer that was away rejects each of the appends that were on their way;
		// the first rejection has everything sent anew, the others are of before.
		if m.Index >= p.anewFrom && m.Index <= p.anewThrough && n.now-p.anewAt <= 3*n.cfg.Heartbeat {
			return
		}
		p.next = max(p.match+1, min(m.Hint+1, m.Index))
		p.anewFrom, p.anewThrough, p.anewAt = p.next, n.last(), n.now
		p.snapshot = false
		n.append(m.From)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.ackedAt = n.now
	}
	p.snapshot = p.snapshot && p.match < n.snap.Index
	p.next = max(p.next, p.match+1)
	n.maybeCommit()
	if n.transferTo == m.From {
		n.tryTransfer()
	}
}

func (n *Node) append(to uint64) {
	p := n.peers[to]
	if p == nil || p.snapshot {
		return
	}
	if p.next <= n.snap.Index {
		if n.snap.Data == nil {
			return
		}
		s := n.snap
		p.snapshot, p.sentAt, p.next = true, n.now, n.snap.Index+1
		n.out(Message{Type: MsgSnapshot, To: to, Snap: &s})
		return
	}
	for p.next <= n.last() {
		prev := p.next - 1
		t, _ := n.term(prev)
		from := n.entries[p.next-n.snap.Index-1:]
		size, k := 0, 0
		for k < len(from) && (k == 0 || size+len(from[k].Data) < n.cfg.MaxBatch) {
			size += len(from[k].Data)
			k++
		}
		// A copy, as the log may be cut while the message waits.
		n.out(Message{Type: MsgAppend, To: to, Index: prev, LogTerm: t, Commit: n.commit, Entries: append([]Entry(nil), from[:k]...)})
		p.next += uint64(k)
		p.sentAt = n.now
	}
}

func (n *Node) maybeCommit() {
	voters := n.Members().Voters
	if len(voters) == 0 {
		return
	}
	got := make([]uint64, 0, len(voters))
	for _, m := range voters {
		got = append(got, n.Match(m.ID))
	}
	sort.Slice(got, func(i, j int) bool { return got[i] > got[j] })
	i := got[len(voters)/2]
	if t, ok := n.term(i); ok && t == n.hard.Term && i > n.commit {
		n.commit = i
	}
}

// Persisted tells that the write whose last entry stood at index in term is
// durable.
func (n *Node) Persisted(index, term uint64) {
	if t, ok := n.term(index); ok && t == term && index > n.stable {
		n.stable = index
		if n.role == Leader {
			n.maybeCommit()
		}
	}
}
