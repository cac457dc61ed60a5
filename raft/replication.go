package raft

import "time"

// Log replication.

type progress struct {
	match    uint64
	next     uint64
	sentAt   time.Duration // last append or part of a snapshot
	heardAt  time.Duration
	askedAt  time.Duration // when the newest heartbeat that was answered was sent
	theirs   time.Duration // the newest time of its own clock that was heard
	ackedAt  time.Duration // last time match moved or was whole
	context  uint64
	flow     flow
	transfer *transfer // of a snapshot, or nil
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
		patience := p.flow.patience(n.cfg.Heartbeat)
		if p.match < n.last() && n.now-p.sentAt > patience && n.now-p.ackedAt > patience {
			n.again(p)
			if n.now-p.heardAt <= n.cfg.Election {
				p.flow.tries++
				n.append(m.ID)
			}
		}
		n.out(Message{Type: MsgHeartbeat, To: m.ID, Commit: min(n.commit, p.match), Context: n.seq,
			Index: n.commit, LogTerm: term, Sent: n.now, Echo: p.theirs, Touch: touch})
	}
}

// again has a member sent anew what it is not known to hold. A snapshot goes on
// where it stood.
func (n *Node) again(p *progress) {
	p.next = p.match + 1
	p.flow.lost()
	if p.transfer != nil {
		p.transfer.waiting = false
		if n.now-p.heardAt > 10*n.cfg.Election {
			p.transfer = nil // a member that is gone for long holds no memory here
		}
	}
}

// Reconnected tells that what was on its way to a member and is not acknowledged
// is lost, as its connection is a new one.
func (n *Node) Reconnected(id uint64) {
	if p := n.peers[id]; p != nil && n.role == Leader {
		n.again(p)
	}
}

func (n *Node) peer(id uint64) *progress {
	p := n.peers[id]
	if p == nil {
		p = &progress{next: n.last() + 1, heardAt: n.now, askedAt: n.now, ackedAt: n.now, flow: flow{window: n.cfg.MaxBatch}}
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
	if m.Type == MsgSnapshotResp {
		n.stepSnapshotResp(m, p)
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
		p.flow.lost()
		p.transfer = nil
		n.append(m.From)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.ackedAt = n.now
	}
	if t := p.transfer; t == nil {
		p.flow.acked(n, p.match)
	} else if p.match >= t.snap.Index {
		p.flow.acked(n, uint64(len(t.snap.Data)))
		p.flow.lost()
		p.transfer = nil
	}
	p.next = max(p.next, p.match+1)
	n.maybeCommit()
	if n.transferTo == m.From {
		n.tryTransfer()
	}
}

func (n *Node) append(to uint64) {
	p := n.peers[to]
	if p == nil {
		return
	}
	if p.transfer != nil {
		n.sendPart(to, p)
		return
	}
	for p.next <= n.last() && p.flow.open() {
		prev := p.next - 1
		t, ok := n.term(prev)
		if !ok {
			n.sendSnapshot(to, p)
			return
		}
		from := n.from(p.next)
		size, k := 0, 0
		for k < len(from) && (k == 0 || size+weight(from[k]) <= min(n.cfg.MaxBatch, p.flow.window)) {
			size += weight(from[k])
			k++
		}
		// A copy, as the log may be cut while the message waits.
		n.out(Message{Type: MsgAppend, To: to, Index: prev, LogTerm: t, Commit: n.commit, Entries: append([]Entry(nil), from[:k]...)})
		p.next += uint64(k)
		p.sentAt = n.now
		p.flow.sent(n.now, p.next-1, size)
	}
}

// weight is what an entry takes on its way and in memory, in bytes.
func weight(e Entry) int { return len(e.Data) + 64 }

// flow bounds what is on its way to one member (congestion control): what is sent
// ahead of its acknowledgements is what heartbeats wait behind on a narrow link.
type flow struct {
	window  int // bytes that may be on their way
	bytes   int // bytes that are
	flights []flight
	rtt     time.Duration // least time to an acknowledgement, slowly forgotten
	tries   int           // times in a row that nothing was acknowledged in time
}

type flight struct {
	last uint64 // index of its last entry; of a part of a snapshot, its end
	size int
	at   time.Duration
}

const (
	minWindow  = 4 << 10 // bytes
	maxFlights = 128     // messages
	// patient is how many bytes on their way lengthen the wait for an
	// acknowledgement by one more time.
	patient = 32 << 10
)

// open tells whether more may be sent. One message always may.
func (f *flow) open() bool {
	return f.bytes == 0 || f.bytes < f.window && len(f.flights) < maxFlights
}

func (f *flow) sent(now time.Duration, last uint64, size int) {
	f.flights = append(f.flights, flight{last, size, now})
	f.bytes += size
}

// lost forgets what is on its way.
func (f *flow) lost() { f.flights, f.bytes = nil, 0 }

// acked takes an acknowledgement. The window follows the delay, as in LEDBAT (RFC
// 6817): it shrinks while acknowledgements come a quarter of the shortest election
// time-out later than they could, and grows while they don't.
func (f *flow) acked(n *Node, through uint64) {
	for len(f.flights) > 0 && f.flights[0].last <= through {
		x := f.flights[0]
		f.flights = f.flights[1:]
		f.bytes -= x.size
		f.tries = 0
		took := n.now - x.at
		if f.rtt == 0 || took < f.rtt {
			f.rtt = took
		} else {
			f.rtt += f.rtt / 32
		}
		if took > f.rtt+n.cfg.Election/4 {
			f.window = max(f.window/2, minWindow)
		} else {
			f.window = min(f.window+x.size, 4*n.cfg.MaxBatch)
		}
	}
}

// patience is how long an acknowledgement is waited for. It doubles with each try,
// so that a link slower than any expected isn't filled with copies.
func (f *flow) patience(heartbeat time.Duration) time.Duration {
	return 3 * heartbeat * time.Duration(1+f.bytes/patient) << min(f.tries, 4)
}

func (n *Node) maybeCommit() {
	i := majority(n, n.stable, func(p *progress) uint64 { return p.match })
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
