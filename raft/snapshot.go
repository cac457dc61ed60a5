package raft

import "hash/crc32"

// Snapshots and log compaction (the paper, section 7).
//
// A leader sends a snapshot in chunks, each one after the previous is acknowledged, so
// that heartbeats and entries for other members are sent in between. The receiver requests
// the next offset that it needs. It can therefore resume a transfer after a reconnection,
// or from another leader that has the same snapshot.

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// snapshotTransfer is a snapshot that a leader is sending to a member.
type snapshotTransfer struct {
	snapshot      Snapshot // unchanged if the leader compacts its log during the transfer
	checksum      uint32
	ackedOffset   int  // the member has all bytes before this offset
	isAwaitingAck bool // a chunk is in flight
}

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	snapshot  Snapshot // Data is the part received so far
	totalSize int
	checksum  uint32
}

// accepts reports whether a chunk belongs to this snapshot.
func (in *incomingSnapshot) accepts(m *Message) bool {
	return in.snapshot.Index == m.Snap.Index && in.snapshot.Term == m.Snap.Term &&
		in.totalSize == m.Size && in.checksum == m.Sum
}

// addChunk adds a chunk if it is the next one, and reports whether the snapshot is
// complete. If all bytes have arrived but the checksum does not match, it discards them
// and the transfer restarts from offset zero.
func (in *incomingSnapshot) addChunk(m *Message) (isComplete bool) {
	if m.Offset == len(in.snapshot.Data) {
		if m.Offset == 0 && len(m.Snap.Data) < m.Size {
			in.snapshot.Data = make([]byte, 0, m.Size)
		}
		in.snapshot.Data = append(in.snapshot.Data, m.Snap.Data...)
	}
	if len(in.snapshot.Data) < in.totalSize {
		return false
	}
	if crc32.Checksum(in.snapshot.Data, castagnoliTable) != in.checksum {
		in.snapshot.Data = in.snapshot.Data[:0]
		return false
	}
	return len(in.snapshot.Data) == in.totalSize
}

// clone returns a deep copy. in may be nil.
func (in *incomingSnapshot) clone() *incomingSnapshot {
	if in == nil {
		return nil
	}
	c := *in
	c.snapshot.Data = append([]byte{}, in.snapshot.Data...)
	return &c
}

// startSnapshotTransfer starts sending the latest snapshot, if its data is in memory.
func (n *Node) startSnapshotTransfer(to uint64, p *progress) {
	snapshot := n.log.snapshot
	if snapshot.Data == nil {
		return
	}
	p.flow.reset()
	p.pendingSnapshot = &snapshotTransfer{
		snapshot: snapshot,
		checksum: crc32.Checksum(snapshot.Data, castagnoliTable),
	}
	n.sendSnapshotChunk(to, p)
}

// sendSnapshotChunk sends the next chunk, limited to the flow control window. It does
// nothing while a chunk is in flight.
func (n *Node) sendSnapshotChunk(to uint64, p *progress) {
	t := p.pendingSnapshot
	if t.isAwaitingAck {
		return
	}
	if _, ok := n.log.termAt(t.snapshot.Index); !ok {
		n.startSnapshotTransfer(to, p) // the entries after this snapshot are compacted
		return
	}
	chunk := t.snapshot
	end := min(t.ackedOffset+p.flow.windowBytes, len(chunk.Data))
	chunk.Data = chunk.Data[t.ackedOffset:end]
	n.send(Message{
		Type:   MsgSnapshot,
		To:     to,
		Snap:   &chunk,
		Offset: t.ackedOffset,
		Size:   len(t.snapshot.Data),
		Sum:    t.checksum,
	})
	t.isAwaitingAck = true
	p.lastSentAt = n.now
	p.nextIndex = chunk.Index + 1
	p.flow.recordSent(n.now, uint64(end), len(chunk.Data))
}

// handleSnapshotResp sends a member the chunk that it requests.
func (n *Node) handleSnapshotResp(m *Message, p *progress) {
	t := p.pendingSnapshot
	if t == nil || m.Index != t.snapshot.Index || m.Sum != t.checksum || m.Offset == t.ackedOffset || m.Offset > len(t.snapshot.Data) {
		return
	}
	if m.Offset > t.ackedOffset {
		p.flow.recordAck(&n.config, n.now, uint64(m.Offset))
	}
	p.flow.reset()
	p.lastProgressAt = n.now
	t.ackedOffset = m.Offset
	t.isAwaitingAck = false
	n.sendSnapshotChunk(m.From, p)
}

// handleSnapshot adds a chunk of a snapshot, and installs the snapshot once it is complete
// and valid. It sends no response for an invalid snapshot: the leader resends the last
// chunk after a timeout, and the snapshot is validated again.
func (n *Node) handleSnapshot(m *Message) {
	if m.Snap == nil {
		return
	}
	// The log already covers the snapshot: the leader can continue with entries.
	if index := m.Snap.Index; index <= n.log.commitIndex || n.log.hasEntry(index, m.Snap.Term) {
		n.log.commitTo(min(index, n.log.lastIndex()))
		n.sendAfterAppend(Message{Type: MsgAppendResp, To: m.From, Index: n.log.commitIndex})
		return
	}
	if n.incomingSnapshot == nil || !n.incomingSnapshot.accepts(m) {
		n.incomingSnapshot = &incomingSnapshot{snapshot: *m.Snap, totalSize: m.Size, checksum: m.Sum}
		n.incomingSnapshot.snapshot.Data = []byte{}
	}
	in := n.incomingSnapshot
	if !in.addChunk(m) {
		n.sendAfterHardState(Message{
			Type:   MsgSnapshotResp,
			To:     m.From,
			Index:  m.Snap.Index,
			Offset: len(in.snapshot.Data),
			Sum:    in.checksum,
		})
		return
	}
	if n.config.ValidateSnapshot != nil && n.config.ValidateSnapshot(in.snapshot.Data) != nil {
		return
	}
	n.installSnapshot(in.snapshot)
	n.sendAfterAppend(Message{Type: MsgAppendResp, To: m.From, Index: m.Snap.Index})
}

// installSnapshot replaces the log with s. The next Ready tells the caller to replace the
// state machine.
func (n *Node) installSnapshot(s Snapshot) {
	n.incomingSnapshot = nil
	n.log.restore(s)
	n.snapshotToInstall = &s
}

// Compact replaces the log up to index with a snapshot. data is the state machine that the
// caller serialized at that index, which must not exceed AppliedIndex. It returns the
// snapshot to be stored, or false if there is nothing to compact.
//
// The newest discarded entries stay in memory, up to the size of the snapshot. They are
// sent to a member that lacks no earlier entries, or that has just received the previous
// snapshot.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, bool) {
	if !n.log.compact(index, data) {
		return Snapshot{}, false
	}
	return n.log.snapshot, true
}
