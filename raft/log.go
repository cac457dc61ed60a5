package raft

import "slices"

// raftLog is the replicated log as one node holds it in memory: a snapshot, the entries
// after it, and how far they are durable, committed and applied. At all times
//
//	snapshot.Index <= appliedIndex <= commitIndex <= lastIndex()
//
// holds, and stableIndex <= lastIndex().
type raftLog struct {
	// snapshot stands for all entries up to its index. Its Data may be nil where the
	// disk holds none.
	snapshot Snapshot
	// entries are those after the snapshot; entries[0].Index == snapshot.Index+1.
	entries []Entry
	// compactedTail are the newest entries that the snapshot stands for, without gaps
	// up to snapshot.Index. They let a member that lags a little catch up without a
	// snapshot.
	compactedTail []Entry
	// entriesToWrite are those that have not been handed out to be written yet.
	entriesToWrite []Entry

	stableIndex  uint64 // last durable entry
	commitIndex  uint64
	appliedIndex uint64

	memberships membershipHistory
}

func newRaftLog(saved PersistentState) raftLog {
	l := raftLog{
		snapshot:     saved.Snapshot,
		entries:      saved.Entries,
		commitIndex:  saved.Snapshot.Index,
		appliedIndex: saved.Snapshot.Index,
		memberships:  newMembershipHistory(saved.Snapshot),
	}
	l.stableIndex = l.lastIndex()
	for _, e := range l.entries {
		l.memberships.track(e)
	}
	return l
}

func (l *raftLog) lastIndex() uint64 {
	return l.snapshot.Index + uint64(len(l.entries))
}

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt returns the term of the entry at index; ok is false if that entry is not in
// memory.
func (l *raftLog) termAt(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index > l.lastIndex():
		return 0, false
	case index < l.snapshot.Index:
		if len(l.compactedTail) == 0 || index < l.compactedTail[0].Index {
			return 0, false
		}
		return l.compactedTail[index-l.compactedTail[0].Index].Term, true
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// holds reports whether the log has an entry of this index and term, and with it, by the
// Log Matching Property (the paper, section 5.3), all entries before it.
func (l *raftLog) holds(index, term uint64) bool {
	t, ok := l.termAt(index)
	return ok && t == term
}

// entriesFrom returns the entries from index on: up to the last one, or only up to the
// snapshot if index lies in compactedTail, so that the caller asks again for the
// others. The entry before index must be in memory.
func (l *raftLog) entriesFrom(index uint64) []Entry {
	if index > l.snapshot.Index {
		return l.entries[index-l.snapshot.Index-1:]
	}
	return l.compactedTail[index-l.compactedTail[0].Index:]
}

// isUpToDate reports whether a log that ends in an entry of this index and term is at
// least as up to date as this one (the paper, section 5.4.1).
func (l *raftLog) isUpToDate(index, term uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || (term == lastTerm && index >= l.lastIndex())
}

// appendEntry adds an entry, whose index must be the next one, at the end.
func (l *raftLog) appendEntry(e Entry) {
	l.entries = append(l.entries, e)
	l.entriesToWrite = append(l.entriesToWrite, e)
	l.memberships.track(e)
}

// merge appends those of a leader's entries that the log does not hold, after it has
// removed what conflicts with them. The log must hold the entry before the first one.
func (l *raftLog) merge(entries []Entry) {
	for i, e := range entries {
		if l.holds(e.Index, e.Term) {
			continue
		}
		l.truncateFrom(e.Index)
		for _, missing := range entries[i:] {
			l.appendEntry(missing)
		}
		return
	}
}

// truncateFrom removes all entries from index on. Committed ones are never removed.
func (l *raftLog) truncateFrom(index uint64) {
	if index > l.lastIndex() || index <= l.commitIndex {
		return
	}
	l.entries = append([]Entry(nil), l.entries[:index-l.snapshot.Index-1]...)
	l.stableIndex = min(l.stableIndex, index-1)
	l.memberships.truncateFrom(index)
	for i, e := range l.entriesToWrite {
		if e.Index >= index {
			l.entriesToWrite = l.entriesToWrite[:i]
			break
		}
	}
}

// conflictHint returns the last index up to index at which a leader's log, whose entry
// at index has this term, may agree with this one. It skips all entries of later terms
// at once (the paper, section 5.3, the optimization at its end).
func (l *raftLog) conflictHint(index, term uint64) uint64 {
	hint := min(index, l.lastIndex())
	for hint > l.commitIndex {
		if t, ok := l.termAt(hint); ok && t <= term {
			break
		}
		hint--
	}
	return hint
}

// commitTo raises the commit index to index. It never falls.
func (l *raftLog) commitTo(index uint64) {
	l.commitIndex = max(l.commitIndex, index)
}

// stabilizeTo raises the stable index to index, if the log still has the entry that was
// written there, and reports whether it has risen.
func (l *raftLog) stabilizeTo(index, term uint64) bool {
	if !l.holds(index, term) || index <= l.stableIndex {
		return false
	}
	l.stableIndex = index
	return true
}

// takeCommitted returns the committed entries that have not been handed out yet and
// counts them as applied.
func (l *raftLog) takeCommitted() []Entry {
	if l.commitIndex <= l.appliedIndex {
		return nil
	}
	first := l.appliedIndex - l.snapshot.Index
	end := l.commitIndex - l.snapshot.Index
	l.appliedIndex = l.commitIndex
	return append([]Entry(nil), l.entries[first:end]...)
}

// restore replaces the log by a snapshot.
func (l *raftLog) restore(s Snapshot) {
	*l = raftLog{
		snapshot:     s,
		stableIndex:  s.Index,
		commitIndex:  s.Index,
		appliedIndex: s.Index,
		memberships:  newMembershipHistory(s),
	}
}

// compact replaces the applied entries up to index by a snapshot with this data. The
// newest of them stay in compactedTail, up to as many bytes as the snapshot has. It
// returns false if there is nothing to compact, or no membership is known at index.
func (l *raftLog) compact(index uint64, data []byte) bool {
	term, ok := l.termAt(index)
	if !ok || index <= l.snapshot.Index || index > l.appliedIndex {
		return false
	}
	l.memberships.dropBefore(index)
	membership := l.memberships[0].membership
	if len(membership.AllMembers()) == 0 {
		return false // a node that is joining, before the entry that names it
	}
	l.memberships[0].index = index
	dropped := index - l.snapshot.Index
	compacted := append(slices.Clip(l.compactedTail), l.entries[:dropped]...)
	l.compactedTail = newestWithin(compacted, len(data))
	l.entries = append([]Entry(nil), l.entries[dropped:]...)
	l.snapshot = Snapshot{Index: index, Term: term, Members: membership, Data: data}
	return true
}

// newestWithin returns the newest entries that take at most maxBytes, in new memory.
func newestWithin(entries []Entry, maxBytes int) []Entry {
	first, size := len(entries), 0
	for first > 0 && size+entrySize(entries[first-1]) <= maxBytes {
		first--
		size += entrySize(entries[first])
	}
	return append([]Entry(nil), entries[first:]...)
}

// clone returns a copy that shares no slice that either log could change.
func (l *raftLog) clone() raftLog {
	c := *l
	c.entries = slices.Clone(l.entries)
	c.compactedTail = slices.Clone(l.compactedTail)
	c.entriesToWrite = slices.Clone(l.entriesToWrite)
	c.memberships = slices.Clone(l.memberships)
	return c
}

// entryOverhead is what an entry takes beside its data, in bytes, in memory and on the
// wire.
const entryOverhead = 64

// entrySize returns about how many bytes an entry takes in memory and on the wire.
func entrySize(e Entry) int { return len(e.Data) + entryOverhead }
