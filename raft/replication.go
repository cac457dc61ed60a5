package raft

// Log replication (the paper, section 5.3). Appends are pipelined: the leader advances
// nextIndex when it sends, and rewinds it after a rejection, a timeout or a reconnect.

// resendGuardHeartbeats is for how long after a rejection, in heartbeats, further
// rejections of the same entries are ignored.
const resendGuardHeartbeats = 3

// snapshotRetention is for how long, in election timeouts, a leader keeps a snapshot
// that it was sending to a member that is no longer heard.
const snapshotRetention = 10

// Propose appends a command to the log of the leader. It returns the index and the term
// of its entry; the command is committed when Ready hands out that entry with that term.
// ok is false, and nothing has happened, if this node does not lead or is transferring
// its leadership.
func (n *Node) Propose(data []byte) (index, term uint64, ok bool) {
	if n.role != Leader || n.transferTarget != 0 {
		return 0, 0, false
	}
	return n.appendEntry(Entry{Type: EntryNormal, Data: data}), n.hardState.Term, true
}

// appendEntry appends e to the leader's own log and returns its index.
func (n *Node) appendEntry(e Entry) uint64 {
	e.Term = n.hardState.Term
	e.Index = n.log.lastIndex() + 1
	n.log.appendEntry(e)
	return e.Index
}

// broadcastHeartbeat sends a heartbeat to every other member, and first sends again
// what a member has not acknowledged in time.
func (n *Node) broadcastHeartbeat() {
	n.lastHeartbeatAt = n.now
	hasQuorumContact := n.hasCommittedInTerm() && n.HasQuorumContact(n.config.ElectionTimeout)
	commitTerm, _ := n.log.termAt(n.log.commitIndex)
	for _, m := range n.Membership().AllMembers() {
		if m.ID == n.config.ID {
			continue
		}
		p := n.ensureProgress(m.ID)
		n.resendAfterTimeout(m.ID, p)
		n.send(Message{
			Type:    MsgHeartbeat,
			To:      m.ID,
			Commit:  min(n.log.commitIndex, p.matchIndex),
			Context: n.reads.round,
			Index:   n.log.commitIndex,
			LogTerm: commitTerm,
			Sent:    n.now,
			Echo:    p.peerClock,
			Touch:   hasQuorumContact,
		})
	}
}

// hasCommittedInTerm reports whether the entry that opened this leader's term is
// committed. Before, a leader does not know which entries are (the paper, section 8).
func (n *Node) hasCommittedInTerm() bool { return n.log.commitIndex >= n.termStartIndex }

// resendAfterTimeout sends the entries again that a member lacks, if it has
// acknowledged nothing for its timeout.
func (n *Node) resendAfterTimeout(id uint64, p *progress) {
	timeout := p.flow.ackTimeout(n.config.HeartbeatInterval)
	if p.matchIndex >= n.log.lastIndex() || n.now-p.lastSentAt <= timeout || n.now-p.lastProgressAt <= timeout {
		return
	}
	n.rewindProgress(p)
	if n.now-p.lastContact <= n.config.ElectionTimeout {
		p.flow.consecutiveTimeouts++
		n.sendAppend(id)
	}
}

// rewindProgress counts what is in flight to a member as lost, so that all entries that
// it is not known to hold are sent again. A snapshot continues where it stood.
func (n *Node) rewindProgress(p *progress) {
	p.nextIndex = p.matchIndex + 1
	p.flow.reset()
	if p.pendingSnapshot == nil {
		return
	}
	p.pendingSnapshot.isAwaitingAck = false
	if n.now-p.lastContact > snapshotRetention*n.config.ElectionTimeout {
		p.pendingSnapshot = nil // frees the memory
	}
}

// ReportReconnected records at a leader that the connection to a member is a new one:
// what was in flight on the former one and is not acknowledged is lost.
func (n *Node) ReportReconnected(id uint64) {
	if p := n.progress[id]; p != nil && n.role == Leader {
		n.rewindProgress(p)
	}
}

// sendAppend sends a member the entries that it lacks, as far as the flow control
// permits, or a snapshot if the first of them is no longer in memory.
func (n *Node) sendAppend(to uint64) {
	p := n.progress[to]
	if p == nil {
		return
	}
	if p.pendingSnapshot != nil {
		n.sendSnapshotChunk(to, p)
		return
	}
	for p.nextIndex <= n.log.lastIndex() && p.flow.canSend() {
		prevIndex := p.nextIndex - 1
		prevTerm, ok := n.log.termAt(prevIndex)
		if !ok {
			n.startSnapshotTransfer(to, p)
			return
		}
		batch, size := n.nextBatch(p)
		n.send(Message{
			Type:    MsgAppend,
			To:      to,
			Index:   prevIndex,
			LogTerm: prevTerm,
			Commit:  n.log.commitIndex,
			Entries: batch,
		})
		p.nextIndex += uint64(len(batch))
		p.lastSentAt = n.now
		p.flow.recordSent(n.now, p.nextIndex-1, size)
	}
}

// nextBatch returns the entries from nextIndex on that fit into one message, at least
// one, and their size in bytes.
func (n *Node) nextBatch(p *progress) (batch []Entry, size int) {
	entries := n.log.entriesFrom(p.nextIndex)
	limit := min(n.config.MaxBatchBytes, p.flow.windowBytes)
	count := 0
	for count < len(entries) && (count == 0 || size+entrySize(entries[count]) <= limit) {
		size += entrySize(entries[count])
		count++
	}
	// A copy, as the log may be truncated while the message waits to be sent.
	return append([]Entry(nil), entries[:count]...), size
}

// handleAppend appends the leader's entries, or rejects them if the entry before them
// is missing.
func (n *Node) handleAppend(m *Message) {
	if m.Index < n.log.commitIndex {
		n.sendAfterAppend(Message{Type: MsgAppendResp, To: m.From, Index: n.log.commitIndex})
		return
	}
	if !n.log.holds(m.Index, m.LogTerm) {
		n.sendAfterAppend(Message{
			Type:   MsgAppendResp,
			To:     m.From,
			Reject: true,
			Index:  m.Index,
			Hint:   n.log.conflictHint(m.Index, m.LogTerm),
		})
		return
	}
	n.log.merge(m.Entries)
	matchIndex := m.Index + uint64(len(m.Entries))
	n.log.commitTo(min(m.Commit, matchIndex))
	n.sendAfterAppend(Message{Type: MsgAppendResp, To: m.From, Index: matchIndex})
}

// handleHeartbeat follows the leader's commit index and answers with this node's clock.
func (n *Node) handleHeartbeat(m *Message) {
	n.log.commitTo(min(m.Commit, n.log.lastIndex()))
	// If the log holds the leader's last committed entry, all up to it is committed,
	// even where the leader does not know yet that this log matches.
	if n.log.holds(m.Index, m.LogTerm) {
		n.log.commitTo(m.Index)
	}
	n.recordContactProof(m)
	n.sendAfterHardState(Message{
		Type:    MsgHeartbeatResp,
		To:      m.From,
		Context: m.Context,
		Index:   n.log.lastIndex(),
		Sent:    n.now,
		Echo:    m.Sent,
	})
}

// handleFollowerResp handles a follower's answer to an append, a heartbeat or a
// snapshot chunk.
func (n *Node) handleFollowerResp(m *Message) {
	p := n.progress[m.From]
	if p == nil {
		return
	}
	p.lastContact = n.now
	switch {
	case m.Type == MsgHeartbeatResp:
		n.handleHeartbeatResp(m, p)
	case m.Type == MsgSnapshotResp:
		n.handleSnapshotResp(m, p)
	case m.Reject:
		n.handleAppendRejected(m, p)
	default:
		n.handleAppendAccepted(m, p)
	}
}

func (n *Node) handleHeartbeatResp(m *Message, p *progress) {
	p.ackedHeartbeatSentAt = max(p.ackedHeartbeatSentAt, m.Echo)
	p.peerClock = max(p.peerClock, m.Sent)
	if m.Context > p.ackedReadRound {
		p.ackedReadRound = m.Context
		n.confirmReads()
	}
	if p.matchIndex >= n.log.lastIndex() {
		p.lastProgressAt = n.now
	}
}

func (n *Node) handleAppendRejected(m *Message, p *progress) {
	if m.Index == 0 || m.Index < p.matchIndex {
		return
	}
	// A member that missed one append rejects each of those that were in flight behind
	// it. The first rejection has everything sent again; the others are older.
	isResentAlready := m.Index >= p.resentFrom && m.Index <= p.resentThrough
	if isResentAlready && n.now-p.resentAt <= resendGuardHeartbeats*n.config.HeartbeatInterval {
		return
	}
	p.nextIndex = max(p.matchIndex+1, min(m.Hint+1, m.Index))
	p.resentFrom = p.nextIndex
	p.resentThrough = n.log.lastIndex()
	p.resentAt = n.now
	p.flow.reset()
	p.pendingSnapshot = nil
	n.sendAppend(m.From)
}

func (n *Node) handleAppendAccepted(m *Message, p *progress) {
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
		p.lastProgressAt = n.now
	}
	if t := p.pendingSnapshot; t == nil {
		p.flow.recordAck(&n.config, n.now, p.matchIndex)
	} else if p.matchIndex >= t.snapshot.Index {
		p.flow.recordAck(&n.config, n.now, uint64(len(t.snapshot.Data)))
		p.flow.reset()
		p.pendingSnapshot = nil
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	n.maybeCommit()
	if n.transferTarget == m.From {
		n.maybeSendTimeoutNow()
	}
}

// maybeCommit commits what a majority holds durably, if that includes an entry of the
// leader's own term (the paper, section 5.4.2).
func (n *Node) maybeCommit() {
	index := majorityValue(n, n.log.stableIndex, func(p *progress) uint64 { return p.matchIndex })
	if n.log.holds(index, n.hardState.Term) {
		n.log.commitTo(index)
	}
}
