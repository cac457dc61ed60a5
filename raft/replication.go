package raft

// Log replication (the paper, section 5.3). Appends are pipelined: the leader advances
// nextIndex when it sends entries, and rewinds it after a rejection, a timeout or a
// reconnection.

// rejectionDedupHeartbeats is how long, in heartbeat intervals, a leader ignores further
// rejections of entries that it has resent.
const rejectionDedupHeartbeats = 3

// snapshotRetentionElectionTimeouts is how long, in election timeouts, a leader keeps the
// snapshot of an unfinished transfer to a member that has stopped responding.
const snapshotRetentionElectionTimeouts = 10

// Propose appends a command to the leader's log. It returns the index and the term of the
// new entry; the command is committed when Ready returns that entry with that term in
// CommittedEntries. ok is false, and nothing is appended, if this node is not the leader
// or is transferring its leadership.
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

// broadcastHeartbeat sends a heartbeat to every other member, after resending the entries
// that the member has not acknowledged in time.
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

// hasCommittedInTerm reports whether the first entry of this leader's term is committed.
// Until then a leader does not know which entries are committed (the paper, section 8).
func (n *Node) hasCommittedInTerm() bool { return n.log.commitIndex >= n.termStartIndex }

// resendAfterTimeout resends the entries that a member lacks, if the member has
// acknowledged nothing within its timeout.
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

// rewindProgress treats all messages in flight to a member as lost, so that all entries
// after its match index are resent. A snapshot transfer resumes at its acknowledged
// offset.
func (n *Node) rewindProgress(p *progress) {
	p.nextIndex = p.matchIndex + 1
	p.flow.reset()
	if p.pendingSnapshot == nil {
		return
	}
	p.pendingSnapshot.isAwaitingAck = false
	if n.now-p.lastContact > snapshotRetentionElectionTimeouts*n.config.ElectionTimeout {
		p.pendingSnapshot = nil // frees the memory
	}
}

// ReportReconnected tells a leader that the connection to a member has been replaced:
// unacknowledged messages on the previous connection are lost.
func (n *Node) ReportReconnected(id uint64) {
	if p := n.progress[id]; p != nil && n.role == Leader {
		n.rewindProgress(p)
	}
}

// sendAppend sends a member the entries that it lacks, up to the limits of flow control,
// or a snapshot if the first of them is no longer in memory.
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

// nextBatch returns the entries starting at nextIndex that fit into one message, at least
// one, and their size in bytes.
func (n *Node) nextBatch(p *progress) (batch []Entry, size int) {
	entries := n.log.entriesFrom(p.nextIndex)
	limit := min(n.config.MaxBatchBytes, p.flow.windowBytes)
	count := 0
	for count < len(entries) && (count == 0 || size+entrySize(entries[count]) <= limit) {
		size += entrySize(entries[count])
		count++
	}
	// Copied because the log may be truncated while the message waits to be sent.
	return append([]Entry(nil), entries[:count]...), size
}

// handleAppend appends the leader's entries, or rejects them if the log lacks the entry
// that precedes them.
func (n *Node) handleAppend(m *Message) {
	if m.Index < n.log.commitIndex {
		n.sendAfterAppend(Message{Type: MsgAppendResp, To: m.From, Index: n.log.commitIndex})
		return
	}
	if !n.log.hasEntry(m.Index, m.LogTerm) {
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

// handleHeartbeat advances the commit index to the leader's and responds with this node's
// clock.
func (n *Node) handleHeartbeat(m *Message) {
	n.log.commitTo(min(m.Commit, n.log.lastIndex()))
	// If the log contains the leader's last committed entry, all entries up to it are
	// committed, even if the leader does not know yet that this log matches.
	if n.log.hasEntry(m.Index, m.LogTerm) {
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

// handleFollowerResp handles a follower's response to an append, a heartbeat or a
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
	// A member that missed one append rejects all appends that were in flight after it.
	// Only the first rejection causes a resend; the others refer to appends sent before
	// it.
	isAlreadyResent := m.Index >= p.resentFrom && m.Index <= p.resentThrough
	if isAlreadyResent && n.now-p.resentAt <= rejectionDedupHeartbeats*n.config.HeartbeatInterval {
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

// maybeCommit commits the entries that are durable on a majority, if the last of them is
// of the leader's own term (the paper, section 5.4.2).
func (n *Node) maybeCommit() {
	index := majorityValue(n, n.log.stableIndex, func(p *progress) uint64 { return p.matchIndex })
	if n.log.hasEntry(index, n.hardState.Term) {
		n.log.commitTo(index)
	}
}
