package clamp

// Snapshots and compaction of the log.

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
	n.entries, n.unsaved = nil, nil
	n.snap = *s
	n.commit, n.applied, n.stable = s.Index, s.Index, s.Index
	n.memberships = []placedMembership{{s.Index, s.Members}}
	n.install = s
	n.outAfter(Message{Type: MsgAppendResp, To: m.From, Index: s.Index})
}

// Compact drops the log up to a snapshot that the caller made of its state at
// index. Until the next one, lagging members are sent this one.
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
	n.entries = append([]Entry(nil), n.entries[index-n.snap.Index:]...)
	n.snap = Snapshot{Index: index, Term: t, Members: members, Data: data}
	return n.snap, true
}
