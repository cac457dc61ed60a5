package raft

import "slices"

// raftLog is the in-memory copy of the replicated log: a snapshot, the entries after it,
// and the indexes up to which they are durable, committed and applied. The invariants are
//
//	snapshot.Index <= appliedIndex <= commitIndex <= lastIndex()
//	stableIndex <= lastIndex()
type raftLog struct {
	// snapshot replaces all entries up to its index. Its Data may be nil if the disk has
	// no snapshot.
	snapshot Snapshot
	// entries are the entries after the snapshot; entries[0].Index == snapshot.Index+1.
	entries []Entry
	// compactedTail holds the newest entries covered by the snapshot, contiguous up to
	// snapshot.Index. They let a member that lags slightly catch up without a snapshot.
	compactedTail []Entry
	// entriesToWrite are the entries that Ready has not returned for writing yet.
	entriesToWrite []Entry

	stableIndex  uint64 // index of the last durable entry
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

// termAt returns the term of the entry at index. ok is false if its term is not in
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

// hasEntry reports whether the log contains an entry with this index and term and, by the
// Log Matching Property (the paper, section 5.3), all entries before it.
func (l *raftLog) hasEntry(index, term uint64) bool {
	t, ok := l.termAt(index)
	return ok && t == term
}

// entriesFrom returns the entries starting at index: up to the last one, or only up to
// the snapshot if index is within compactedTail, in which case the caller must call again
// for the remaining ones. The term of the entry before index must be in memory.
func (l *raftLog) entriesFrom(index uint64) []Entry {
	if index > l.snapshot.Index {
		return l.entries[index-l.snapshot.Index-1:]
	}
	return l.compactedTail[index-l.compactedTail[0].Index:]
}

// isUpToDate reports whether a log whose last entry has this index and term is at least
// as up-to-date as this one (the paper, section 5.4.1).
func (l *raftLog) isUpToDate(index, term uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || (term == lastTerm && index >= l.lastIndex())
}

// appendEntry appends an entry, whose index must be lastIndex()+1.
func (l *raftLog) appendEntry(e Entry) {
	l.entries = append(l.entries, e)
	l.entriesToWrite = append(l.entriesToWrite, e)
	l.memberships.track(e)
}

// merge appends the entries of a leader that the log does not contain, after removing any
// entries that conflict with them. The log must contain the entry before the first one.
func (l *raftLog) merge(entries []Entry) {
	for i, e := range entries {
		if l.hasEntry(e.Index, e.Term) {
			continue
		}
		l.truncateFrom(e.Index)
		for _, missing := range entries[i:] {
			l.appendEntry(missing)
		}
		return
	}
}

// truncateFrom removes all entries starting at index. It does nothing if that would
// remove a committed entry.
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

// conflictHint returns the last index, no greater than index, at which this log may agree
// with the log of a leader whose entry at index has this term. It skips all entries of
// later terms at once (the optimization at the end of section 5.3 of the paper).
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

// commitTo raises the commit index to index. It never lowers it.
func (l *raftLog) commitTo(index uint64) {
	l.commitIndex = max(l.commitIndex, index)
}

// stabilizeTo raises the stable index to index if the log still contains the entry that
// was written there, and reports whether it raised it.
func (l *raftLog) stabilizeTo(index, term uint64) bool {
	if !l.hasEntry(index, term) || index <= l.stableIndex {
		return false
	}
	l.stableIndex = index
	return true
}

// takeCommitted returns the committed entries that it has not returned before and marks
// them as applied.
func (l *raftLog) takeCommitted() []Entry {
	if l.commitIndex <= l.appliedIndex {
		return nil
	}
	first := l.appliedIndex - l.snapshot.Index
	end := l.commitIndex - l.snapshot.Index
	l.appliedIndex = l.commitIndex
	return append([]Entry(nil), l.entries[first:end]...)
}

// restore replaces the log with a snapshot.
func (l *raftLog) restore(s Snapshot) {
	*l = raftLog{
		snapshot:     s,
		stableIndex:  s.Index,
		commitIndex:  s.Index,
		appliedIndex: s.Index,
		memberships:  newMembershipHistory(s),
	}
}

// compact replaces the applied entries up to index with a snapshot that contains data. It
// keeps the newest of them in compactedTail, up to the size of data. It returns false if
// there is nothing to compact, or if no membership is known at index.
func (l *raftLog) compact(index uint64, data []byte) bool {
	term, ok := l.termAt(index)
	if !ok || index <= l.snapshot.Index || index > l.appliedIndex {
		return false
	}
	l.memberships.dropBefore(index)
	membership := l.memberships[0].membership
	if len(membership.AllMembers()) == 0 {
		return false // a joining node that has not received a membership yet
	}
	l.memberships[0].index = index
	dropped := index - l.snapshot.Index
	compacted := append(slices.Clip(l.compactedTail), l.entries[:dropped]...)
	l.compactedTail = newestEntriesWithin(compacted, len(data))
	l.entries = append([]Entry(nil), l.entries[dropped:]...)
	l.snapshot = Snapshot{Index: index, Term: term, Members: membership, Data: data}
	return true
}

// newestEntriesWithin returns a copy of the newest entries whose total size is at most
// maxBytes.
func newestEntriesWithin(entries []Entry, maxBytes int) []Entry {
	first, size := len(entries), 0
	for first > 0 && size+entrySize(entries[first-1]) <= maxBytes {
		first--
		size += entrySize(entries[first])
	}
	return append([]Entry(nil), entries[first:]...)
}

// clone returns a copy that shares no mutable slice with l.
func (l *raftLog) clone() raftLog {
	c := *l
	c.entries = slices.Clone(l.entries)
	c.compactedTail = slices.Clone(l.compactedTail)
	c.entriesToWrite = slices.Clone(l.entriesToWrite)
	c.memberships = slices.Clone(l.memberships)
	return c
}

// entryOverheadBytes is the approximate size of an entry without its data, in memory and
// on the wire.
const entryOverheadBytes = 64

// entrySize returns the approximate size of an entry in bytes, in memory and on the wire.
func entrySize(e Entry) int { return len(e.Data) + entryOverheadBytes }
