package raft

import "hash/crc32"

// Snapshots and compaction of the log. A lagging member is sent a snapshot in
// parts (InstallSnapshot), each after the one before is acknowledged, so that
// heartbeats and entries for others go on meanwhile. It asks for the part that it
// lacks and may go on after a broken connection or under another leader.

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// snapshotTransfer is a snapshot on its way to a member.
type snapshotTransfer struct {
	snapshot      Snapshot // stays as it is when the leader compacts its log meanwhile
	checksum      uint32
	ackedOffset   int  // up to here the member has it
	isAwaitingAck bool // for the acknowledgement of what was sent
}

// incomingSnapshot is a snapshot of which a part has come.
type incomingSnapshot struct {
	snapshot  Snapshot
	totalSize int
	checksum  uint32
}

// startSnapshotTransfer begins to send the newest snapshot.
func (n *Node) startSnapshotTransfer(to uint64, p *progress) {
	if n.snapshot.Data == nil {
		return
	}
	p.flow.reset()
	p.pendingSnapshot = &snapshotTransfer{snapshot: n.snapshot, checksum: crc32.Checksum(n.snapshot.Data, castagnoliTable)}
	n.sendSnapshotChunk(to, p)
}

// sendSnapshotChunk sends the next part, as large as the link is known to take at once.
func (n *Node) sendSnapshotChunk(to uint64, p *progress) {
	t := p.pendingSnapshot
	if t.isAwaitingAck {
		return
	}
	if _, ok := n.termAt(t.snapshot.Index); !ok {
		n.startSnapshotTransfer(to, p) // entries after the old one are gone
		return
	}
	s := t.snapshot
	end := min(t.ackedOffset+p.flow.windowBytes, len(s.Data))
	s.Data = s.Data[t.ackedOffset:end]
	n.send(Message{Type: MsgSnapshot, To: to, Snap: &s, Offset: t.ackedOffset, Size: len(t.snapshot.Data), Sum: t.checksum})
	t.isAwaitingAck, p.lastSentAt, p.nextIndex = true, n.now, s.Index+1
	p.flow.recordSent(n.now, uint64(end), len(s.Data))
}

func (n *Node) handleSnapshotResp(m Message, p *progress) {
	t := p.pendingSnapshot
	if t == nil || m.Index != t.snapshot.Index || m.Sum != t.checksum || m.Offset == t.ackedOffset || m.Offset > len(t.snapshot.Data) {
		return
	}
	if m.Offset > t.ackedOffset {
		p.flow.recordAck(n, uint64(m.Offset))
	}
	p.flow.reset()
	p.lastProgressAt = n.now
	t.ackedOffset, t.isAwaitingAck = m.Offset, false
	n.sendSnapshotChunk(m.From, p)
}

func (n *Node) handleSnapshot(m Message) {
	s := m.Snap
	if s == nil {
		return
	}
	if t, ok := n.termAt(s.Index); s.Index <= n.commitIndex || (ok && t == s.Term) {
		n.commitTo(min(s.Index, n.lastIndex()))
		n.sendAfterAppend(Message{Type: MsgAppendResp, To: m.From, Index: n.commitIndex})
		return
	}
	in := n.incomingSnapshot
	if in == nil || in.snapshot.Index != s.Index || in.snapshot.Term != s.Term || in.totalSize != m.Size || in.checksum != m.Sum {
		in = &incomingSnapshot{snapshot: *s, totalSize: m.Size, checksum: m.Sum}
		in.snapshot.Data = []byte{}
		n.incomingSnapshot = in
	}
	if m.Offset == len(in.snapshot.Data) {
		if m.Offset == 0 && len(s.Data) < m.Size {
			in.snapshot.Data = make([]byte, 0, m.Size)
		}
		in.snapshot.Data = append(in.snapshot.Data, s.Data...)
	}
	if len(in.snapshot.Data) >= in.totalSize && crc32.Checksum(in.snapshot.Data, castagnoliTable) != in.checksum {
		in.snapshot.Data = in.snapshot.Data[:0] // damaged on its way; from the start
	} else if len(in.snapshot.Data) == in.totalSize {
		if n.config.ValidateSnapshot != nil && n.config.ValidateSnapshot(in.snapshot.Data) != nil {
			return
		}
		n.installSnapshot(in.snapshot)
		n.sendAfterAppend(Message{Type: MsgAppendResp, To: m.From, Index: s.Index})
		return
	}
	resp := Message{Type: MsgSnapshotResp, To: m.From, Index: s.Index, Offset: len(in.snapshot.Data), Sum: in.checksum}
	if n.hardStateChanged {
		n.sendAfterAppend(resp)
	} else {
		n.send(resp)
	}
}

func (n *Node) installSnapshot(s Snapshot) {
	n.entries, n.entriesToWrite, n.compactedTail, n.incomingSnapshot = nil, nil, nil, nil
	n.snapshot = s
	n.commitIndex, n.appliedIndex, n.stableIndex = s.Index, s.Index, s.Index
	n.memberships = []loggedMembership{{s.Index, s.Members}}
	n.snapshotToInstall = &s
}

// Compact drops the log up to a snapshot that the caller made of its state at
// index. The newest entries that it stands for stay in memory, as many bytes as the
// snapshot has at most: a member that lacks less, or has just got the snapshot
// before, is sent them.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, bool) {
	t, ok := n.termAt(index)
	if !ok || index <= n.snapshot.Index || index > n.appliedIndex {
		return Snapshot{}, false
	}
	var members Membership
	for len(n.memberships) > 1 && n.memberships[1].index <= index {
		n.memberships = n.memberships[1:]
	}
	members = n.memberships[0].membership
	if len(members.AllMembers()) == 0 {
		return Snapshot{}, false // one that joins, before the entry that names it
	}
	n.memberships[0].index = index
	k := index - n.snapshot.Index
	old := append(n.compactedTail[:len(n.compactedTail):len(n.compactedTail)], n.entries[:k]...)
	keep, size := len(old), 0
	for keep > 0 && size+entrySize(old[keep-1]) <= len(data) {
		keep--
		size += entrySize(old[keep])
	}
	n.compactedTail = append([]Entry(nil), old[keep:]...)
	n.entries = append([]Entry(nil), n.entries[k:]...)
	n.snapshot = Snapshot{Index: index, Term: t, Members: members, Data: data}
	return n.snapshot, true
}
