package raft

import "time"

// Log replication.

type progress struct {
	matchIndex           uint64
	nextIndex            uint64
	lastSentAt           time.Duration // last append or part of a snapshot
	lastContact          time.Duration
	ackedHeartbeatSentAt time.Duration // when the newest heartbeat that was answered was sent
	peerClock            time.Duration // the newest time of its own clock that was heard
	lastProgressAt       time.Duration // last time match moved or was whole
	ackedReadRound       uint64
	flow                 flowControl
	pendingSnapshot      *snapshotTransfer // of a snapshot, or nil
	// What was sent anew after the newest rejection, and when.
	resentFrom, resentThrough uint64
	resentAt                  time.Duration
}

// LastContact tells when a leader last heard from a member.
func (n *Node) LastContact(id uint64) time.Duration {
	if p := n.progress[id]; p != nil {
		return p.lastContact
	}
	return 0
}

// MatchIndex tells up to where a member is known to hold the leader's log.
func (n *Node) MatchIndex(id uint64) uint64 {
	if id == n.config.ID {
		return n.stableIndex
	}
	if p := n.progress[id]; p != nil {
		return p.matchIndex
	}
	return 0
}

func (n *Node) broadcastHeartbeat() {
	n.lastHeartbeatAt = n.now
	touch := n.commitIndex >= n.termStartIndex && n.HasQuorumContact(n.config.ElectionTimeout)
	term, _ := n.termAt(n.commitIndex)
	for _, m := range n.Membership().AllMembers() {
		if m.ID == n.config.ID {
			continue
		}
		p := n.ensureProgress(m.ID)
		// Nothing acknowledged for a while: send again from what is known.
		patience := p.flow.ackTimeout(n.config.HeartbeatInterval)
		if p.matchIndex < n.lastIndex() && n.now-p.lastSentAt > patience && n.now-p.lastProgressAt > patience {
			n.rewindProgress(p)
			if n.now-p.lastContact <= n.config.ElectionTimeout {
				p.flow.consecutiveTimeouts++
				n.sendAppend(m.ID)
			}
		}
		n.send(Message{Type: MsgHeartbeat, To: m.ID, Commit: min(n.commitIndex, p.matchIndex), Context: n.readRound,
			Index: n.commitIndex, LogTerm: term, Sent: n.now, Echo: p.peerClock, Touch: touch})
	}
}

// rewindProgress has a member sent anew what it is not known to hold. A snapshot goes on
// where it stood.
func (n *Node) rewindProgress(p *progress) {
	p.nextIndex = p.matchIndex + 1
	p.flow.reset()
	if p.pendingSnapshot != nil {
		p.pendingSnapshot.isAwaitingAck = false
		if n.now-p.lastContact > 10*n.config.ElectionTimeout {
			p.pendingSnapshot = nil // a member that is gone for long holds no memory here
		}
	}
}

// ReportReconnected tells that what was on its way to a member and is not acknowledged
// is lost, as its connection is a new one.
func (n *Node) ReportReconnected(id uint64) {
	if p := n.progress[id]; p != nil && n.role == Leader {
		n.rewindProgress(p)
	}
}

func (n *Node) ensureProgress(id uint64) *progress {
	p := n.progress[id]
	if p == nil {
		p = &progress{nextIndex: n.lastIndex() + 1, lastContact: n.now, ackedHeartbeatSentAt: n.now, lastProgressAt: n.now, flow: flowControl{windowBytes: n.config.MaxBatchBytes}}
		n.progress[id] = p
	}
	return p
}

func (n *Node) appendEntry(e Entry) uint64 {
	e.Term, e.Index = n.hardState.Term, n.lastIndex()+1
	n.entries = append(n.entries, e)
	n.entriesToWrite = append(n.entriesToWrite, e)
	n.trackMembership(e)
	return e.Index
}

// Propose appends a command at the leader. ok is false, and nothing was done,
// if this node does not lead or is handing its leadership on.
func (n *Node) Propose(data []byte) (index, term uint64, ok bool) {
	if n.role != Leader || n.transferTarget != 0 {
		return 0, 0, false
	}
	return n.appendEntry(Entry{Type: EntryNormal, Data: data}), n.hardState.Term, true
}

func (n *Node) handleAppend(m Message) {
	if m.Index < n.commitIndex {
		n.sendAfterAppend(Message{Type: MsgAppendResp, To: m.From, Index: n.commitIndex})
		return
	}
	if t, ok := n.termAt(m.Index); !ok || t != m.LogTerm {
		hint := min(m.Index, n.lastIndex())
		for hint > n.commitIndex {
			if t, ok := n.termAt(hint); ok && t <= m.LogTerm {
				break
			}
			hint--
		}
		n.sendAfterAppend(Message{Type: MsgAppendResp, To: m.From, Reject: true, Index: m.Index, Hint: hint})
		return
	}
	for i, e := range m.Entries {
		if t, ok := n.termAt(e.Index); ok && t == e.Term {
			continue
		}
		n.truncateFrom(e.Index)
		for _, e := range m.Entries[i:] {
			n.entries = append(n.entries, e)
			n.entriesToWrite = append(n.entriesToWrite, e)
			n.trackMembership(e)
		}
		break
	}
	held := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, held))
	n.sendAfterAppend(Message{Type: MsgAppendResp, To: m.From, Index: held})
}

// truncateFrom removes all entries from index on. Committed ones never go.
func (n *Node) truncateFrom(index uint64) {
	if index > n.lastIndex() || index <= n.commitIndex {
		return
	}
	n.entries = append([]Entry(nil), n.entries[:index-n.snapshot.Index-1]...)
	n.stableIndex = min(n.stableIndex, index-1)
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
	for i, e := range n.entriesToWrite {
		if e.Index >= index {
			n.entriesToWrite = n.entriesToWrite[:i]
			break
		}
	}
}

func (n *Node) commitTo(i uint64) {
	if i > n.commitIndex {
		n.commitIndex = i
	}
}

func (n *Node) handleFollowerResp(m Message) {
	p := n.progress[m.From]
	if p == nil {
		return
	}
	p.lastContact = n.now
	if m.Type == MsgHeartbeatResp {
		p.ackedHeartbeatSentAt, p.peerClock = max(p.ackedHeartbeatSentAt, m.Echo), max(p.peerClock, m.Sent)
		if m.Context > p.ackedReadRound {
			p.ackedReadRound = m.Context
			n.confirmReads()
		}
		if p.matchIndex >= n.lastIndex() {
			p.lastProgressAt = n.now
		}
		return
	}
	if m.Type == MsgSnapshotResp {
		n.handleSnapshotResp(m, p)
		return
	}
	if m.Reject {
		if m.Index == 0 || m.Index < p.matchIndex {
			return
		}
		// A peer that was away rejects each of the appends that were on their way;
		// the first rejection has everything sent anew, the others are of before.
		if m.Index >= p.resentFrom && m.Index <= p.resentThrough && n.now-p.resentAt <= 3*n.config.HeartbeatInterval {
			return
		}
		p.nextIndex = max(p.matchIndex+1, min(m.Hint+1, m.Index))
		p.resentFrom, p.resentThrough, p.resentAt = p.nextIndex, n.lastIndex(), n.now
		p.flow.reset()
		p.pendingSnapshot = nil
		n.sendAppend(m.From)
		return
	}
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
		p.lastProgressAt = n.now
	}
	if t := p.pendingSnapshot; t == nil {
		p.flow.recordAck(n, p.matchIndex)
	} else if p.matchIndex >= t.snapshot.Index {
		p.flow.recordAck(n, uint64(len(t.snapshot.Data)))
		p.flow.reset()
		p.pendingSnapshot = nil
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	n.maybeCommit()
	if n.transferTarget == m.From {
		n.maybeSendTimeoutNow()
	}
}

func (n *Node) sendAppend(to uint64) {
	p := n.progress[to]
	if p == nil {
		return
	}
	if p.pendingSnapshot != nil {
		n.sendSnapshotChunk(to, p)
		return
	}
	for p.nextIndex <= n.lastIndex() && p.flow.canSend() {
		prev := p.nextIndex - 1
		t, ok := n.termAt(prev)
		if !ok {
			n.startSnapshotTransfer(to, p)
			return
		}
		from := n.entriesFrom(p.nextIndex)
		size, k := 0, 0
		for k < len(from) && (k == 0 || size+entrySize(from[k]) <= min(n.config.MaxBatchBytes, p.flow.windowBytes)) {
			size += entrySize(from[k])
			k++
		}
		// A copy, as the log may be cut while the message waits.
		n.send(Message{Type: MsgAppend, To: to, Index: prev, LogTerm: t, Commit: n.commitIndex, Entries: append([]Entry(nil), from[:k]...)})
		p.nextIndex += uint64(k)
		p.lastSentAt = n.now
		p.flow.recordSent(n.now, p.nextIndex-1, size)
	}
}

// entrySize is what an entry takes on its way and in memory, in bytes.
func entrySize(e Entry) int { return len(e.Data) + 64 }

// flowControl bounds what is on its way to one member (congestion control): what is sent
// ahead of its acknowledgements is what heartbeats wait behind on a narrow link.
type flowControl struct {
	windowBytes         int // bytes that may be on their way
	inflightBytes       int // bytes that are
	inflights           []inflight
	minRTT              time.Duration // least time to an acknowledgement, slowly forgotten
	consecutiveTimeouts int           // times in a row that nothing was acknowledged in time
}

type inflight struct {
	end    uint64 // index of its last entry; of a part of a snapshot, its end
	size   int
	sentAt time.Duration
}

const (
	minWindowBytes = 4 << 10 // bytes
	maxInflights   = 128     // messages
	// bytesPerTimeout is how many bytes on their way lengthen the wait for an
	// acknowledgement by one more time.
	bytesPerTimeout = 32 << 10
)

// canSend tells whether more may be sent. One message always may.
func (f *flowControl) canSend() bool {
	return f.inflightBytes == 0 || f.inflightBytes < f.windowBytes && len(f.inflights) < maxInflights
}

func (f *flowControl) recordSent(now time.Duration, last uint64, size int) {
	f.inflights = append(f.inflights, inflight{last, size, now})
	f.inflightBytes += size
}

// reset forgets what is on its way.
func (f *flowControl) reset() { f.inflights, f.inflightBytes = nil, 0 }

// recordAck takes an acknowledgement. The window follows the delay, as in LEDBAT (RFC
// 6817): it shrinks while acknowledgements come a quarter of the shortest election
// time-out later than they could, and grows while they don't.
func (f *flowControl) recordAck(n *Node, through uint64) {
	for len(f.inflights) > 0 && f.inflights[0].end <= through {
		x := f.inflights[0]
		f.inflights = f.inflights[1:]
		f.inflightBytes -= x.size
		f.consecutiveTimeouts = 0
		took := n.now - x.sentAt
		if f.minRTT == 0 || took < f.minRTT {
			f.minRTT = took
		} else {
			f.minRTT += f.minRTT / 32
		}
		if took > f.minRTT+n.config.ElectionTimeout/4 {
			f.windowBytes = max(f.windowBytes/2, minWindowBytes)
		} else {
			f.windowBytes = min(f.windowBytes+x.size, 4*n.config.MaxBatchBytes)
		}
	}
}

// ackTimeout is how long an acknowledgement is waited for. It doubles with each try,
// so that a link slower than any expected isn't filled with copies.
func (f *flowControl) ackTimeout(heartbeat time.Duration) time.Duration {
	return 3 * heartbeat * time.Duration(1+f.inflightBytes/bytesPerTimeout) << min(f.consecutiveTimeouts, 4)
}

func (n *Node) maybeCommit() {
	i := majorityValue(n, n.stableIndex, func(p *progress) uint64 { return p.matchIndex })
	if t, ok := n.termAt(i); ok && t == n.hardState.Term && i > n.commitIndex {
		n.commitIndex = i
	}
}

// ReportPersisted tells that the write whose last entry stood at index in term is
// durable.
func (n *Node) ReportPersisted(index, term uint64) {
	if t, ok := n.termAt(index); ok && t == term && index > n.stableIndex {
		n.stableIndex = index
		if n.role == Leader {
			n.maybeCommit()
		}
	}
}
