package raft

import "hash/crc32"

// Snapshots and compaction of the log. A lagging member is sent a snapshot in
// parts (InstallSnapshot), each after the one before is acknowledged, so that
// heartbeats and entries for others go on meanwhile. It asks for the part that it
// lacks and may go on after a broken connection or under another leader.

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// transfer is a snapshot on its way to a member.
type transfer struct {
	snap    Snapshot // stays as it is when the leader compacts its log meanwhile
	sum     uint32
	offset  int  // up to here the member has it
	waiting bool // for the acknowledgement of what was sent
}

// incoming is a snapshot of which a part has come.
type incoming struct {
	snap Snapshot
	size int
	sum  uint32
}

// sendSnapshot begins to send the newest snapshot.
func (n *Node) sendSnapshot(to uint64, p *progress) {
	if n.snap.Data == nil {
		return
	}
	p.flow.lost()
	p.transfer = &transfer{snap: n.snap, sum: crc32.Checksum(n.snap.Data, castagnoli)}
	n.sendPart(to, p)
}

// sendPart sends the next part, as large as the link is known to take at once.
func (n *Node) sendPart(to uint64, p *progress) {
	t := p.transfer
	if t.waiting {
		return
	}
	if _, ok := n.term(t.snap.Index); !ok {
		n.sendSnapshot(to, p) // entries after the old one are gone
		return
	}
	s := t.snap
	end := min(t.offset+p.flow.window, len(s.Data))
	s.Data = s.Data[t.offset:end]
	n.out(Message{Type: MsgSnapshot, To: to, Snap: &s, Offset: t.offset, Size: len(t.snap.Data), Sum: t.sum})
	t.waiting, p.sentAt, p.next = true, n.now, s.Index+1
	p.flow.sent(n.now, uint64(end), len(s.Data))
}

func (n *Node) stepSnapshotResp(m Message, p *progress) {
	t := p.transfer
	if t == nil || m.Index != t.snap.Index || m.Sum != t.sum || m.Offset == t.offset || m.Offset > len(t.snap.Data) {
		return
	}
	if m.Offset > t.offset {
		p.flow.acked(n, uint64(m.Offset))
	}
	p.flow.lost()
	p.ackedAt = n.now
	t.offset, t.waiting = m.Offset, false
	n.sendPart(m.From, p)
}

func (n *Node) stepSnapshot(m Message) {
	s := m.Snap
	if s == nil {
		return
	}
	if t, ok := n.term(s.Index); s.Index <= n.commit || (ok && t == s.Term) {
		n.commitTo(min(s.Index, n.last()))
		n.outAfter(Message{Type: MsgAppendResp, To: m.From, Index: n.commit})
		return
	}
	in := n.incoming
	if in == nil || in.snap.Index != s.Index || in.snap.Term != s.Term || in.size != m.Size || in.sum != m.Sum {
		in = &incoming{snap: *s, size: m.Size, sum: m.Sum}
		in.snap.Data = []byte{}
		n.incoming = in
	}
	if m.Offset == len(in.snap.Data) {
		if m.Offset == 0 && len(s.Data) < m.Size {
			in.snap.Data = make([]byte, 0, m.Size)
		}
		in.snap.Data = append(in.snap.Data, s.Data...)
	}
	if len(in.snap.Data) >= in.size && crc32.Checksum(in.snap.Data, castagnoli) != in.sum {
		in.snap.Data = in.snap.Data[:0] // damaged on its way; from the start
	} else if len(in.snap.Data) == in.size {
		if n.cfg.Check != nil && n.cfg.Check(in.snap.Data) != nil {
			return
		}
		n.installSnapshot(in.snap)
		n.outAfter(Message{Type: MsgAppendResp, To: m.From, Index: s.Index})
		return
	}
	resp := Message{Type: MsgSnapshotResp, To: m.From, Index: s.Index, Offset: len(in.snap.Data), Sum: in.sum}
	if n.hardDirty {
		n.outAfter(resp)
	} else {
		n.out(resp)
	}
}

func (n *Node) installSnapshot(s Snapshot) {
	n.entries, n.unsaved, n.tail, n.incoming = nil, nil, nil, nil
	n.snap = s
	n.commit, n.applied, n.stable = s.Index, s.Index, s.Index
	n.memberships = []placedMembership{{s.Index, s.Members}}
	n.install = &s
}

// Compact drops the log up to a snapshot that the caller made of its state at
// index. The newest entries that it stands for stay in memory, as many bytes as the
// snapshot has at most: a member that lacks less, or has just got the snapshot
// before, is sent them.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, bool) {
	t, ok := n.term(index)
	if !ok || index <= n.snap.Index || index > n.applied {
		return Snapshot{}, false
	}
	var members Membership
	for len(n.memberships) > 1 && n.memberships[1].index <= index {
		n.memberships = n.memberships[1:]
	}
	members = n.memberships[0].members
	if len(members.All()) == 0 {
		return Snapshot{}, false // one that joins, before the entry that names it
	}
	n.memberships[0].index = index
	k := index - n.snap.Index
	old := append(n.tail[:len(n.tail):len(n.tail)], n.entries[:k]...)
	keep, size := len(old), 0
	for keep > 0 && size+weight(old[keep-1]) <= len(data) {
		keep--
		size += weight(old[keep])
	}
	n.tail = append([]Entry(nil), old[keep:]...)
	n.entries = append([]Entry(nil), n.entries[k:]...)
	n.snap = Snapshot{Index: index, Term: t, Members: members, Data: data}
	return n.snap, true
}
