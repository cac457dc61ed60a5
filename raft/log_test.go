package raft

import (
	"slices"
	"testing"
)

// newTestLog returns a log with a snapshot at index 2 of term 1, followed by one entry for
// each of the given terms. All of it is durable and none of the entries is committed.
func newTestLog(terms ...uint64) *raftLog {
	saved := PersistentState{Snapshot: Snapshot{
		Index:   2,
		Term:    1,
		Members: Membership{Voters: []Member{{ID: 1}}},
	}}
	for i, term := range terms {
		saved.Entries = append(saved.Entries, Entry{Index: uint64(i) + 3, Term: term})
	}
	l := newRaftLog(saved)
	return &l
}

func (l *raftLog) terms() []uint64 {
	var terms []uint64
	for _, e := range l.entries {
		terms = append(terms, e.Term)
	}
	return terms
}

func TestLogTermAt(t *testing.T) {
	l := newTestLog(1, 2, 2)
	for _, test := range []struct {
		name  string
		index uint64
		term  uint64
		ok    bool
	}{
		{"compacted", 1, 0, false},
		{"snapshot", 2, 1, true},
		{"first entry", 3, 1, true},
		{"last entry", 5, 2, true},
		{"after the last entry", 6, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if term, ok := l.termAt(test.index); term != test.term || ok != test.ok {
				t.Errorf("termAt(%d) = %d, %v, want %d, %v", test.index, term, ok, test.term, test.ok)
			}
		})
	}
}

func TestLogIsUpToDate(t *testing.T) {
	l := newTestLog(1, 2, 2)
	for _, test := range []struct {
		name        string
		index, term uint64
		want        bool
	}{
		{"equal", 5, 2, true},
		{"longer", 6, 2, true},
		{"shorter", 4, 2, false},
		{"later term, shorter", 3, 3, true},
		{"earlier term, longer", 9, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := l.isUpToDate(test.index, test.term); got != test.want {
				t.Errorf("isUpToDate(%d, %d) = %v, want %v", test.index, test.term, got, test.want)
			}
		})
	}
}

func TestLogMerge(t *testing.T) {
	for _, test := range []struct {
		name        string
		entries     []Entry
		want        []uint64 // terms
		stableIndex uint64
		written     int // entries to write
	}{
		{"already present", []Entry{{Index: 3, Term: 1}, {Index: 4, Term: 2}}, []uint64{1, 2, 2}, 5, 0},
		{"appended", []Entry{{Index: 5, Term: 2}, {Index: 6, Term: 3}}, []uint64{1, 2, 2, 3}, 5, 1},
		{"conflict", []Entry{{Index: 4, Term: 3}}, []uint64{1, 3}, 3, 1},
		{"conflict after a present entry", []Entry{{Index: 3, Term: 1}, {Index: 4, Term: 3}, {Index: 5, Term: 3}, {Index: 6, Term: 3}}, []uint64{1, 3, 3, 3}, 3, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newTestLog(1, 2, 2)
			l.merge(test.entries)
			if got := l.terms(); !slices.Equal(got, test.want) {
				t.Errorf("terms = %v, want %v", got, test.want)
			}
			if l.stableIndex != test.stableIndex {
				t.Errorf("stableIndex = %d, want %d", l.stableIndex, test.stableIndex)
			}
			if len(l.entriesToWrite) != test.written {
				t.Errorf("got %d entries to write, want %d", len(l.entriesToWrite), test.written)
			}
		})
	}
}

// TestLogTruncateFrom checks that a truncated entry is not written, that a membership in it
// is no longer used, and that committed entries are not truncated.
func TestLogTruncateFrom(t *testing.T) {
	l := newTestLog(1)
	l.commitTo(3)
	changed := Membership{Voters: []Member{{ID: 1}, {ID: 2}}}
	l.appendEntry(Entry{Index: 4, Term: 1})
	l.appendEntry(Entry{Index: 5, Term: 1, Type: EntryConfChange, Data: changed.Encode()})
	if got := l.memberships.newest(); got.index != 5 || !got.membership.IsVoter(2) {
		t.Fatalf("newest membership = %+v, want index 5 with voter 2", got)
	}
	l.truncateFrom(5)
	if got := l.memberships.newest(); got.index != 2 || got.membership.IsVoter(2) {
		t.Errorf("newest membership after truncateFrom(5) = %+v, want index 2 without voter 2", got)
	}
	if len(l.entriesToWrite) != 1 || l.entriesToWrite[0].Index != 4 {
		t.Errorf("entriesToWrite = %+v, want only index 4", l.entriesToWrite)
	}
	l.truncateFrom(3)
	if l.lastIndex() != 4 {
		t.Errorf("lastIndex() = %d, want 4: a committed entry was truncated", l.lastIndex())
	}
}

func TestLogConflictHint(t *testing.T) {
	l := newTestLog(1, 1, 3, 3)
	l.commitTo(3)
	for _, test := range []struct {
		name        string
		index, term uint64
		want        uint64
	}{
		{"log is shorter", 9, 3, 6},
		{"later terms are skipped", 6, 2, 4},
		{"not below the commit index", 6, 0, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := l.conflictHint(test.index, test.term); got != test.want {
				t.Errorf("conflictHint(%d, %d) = %d, want %d", test.index, test.term, got, test.want)
			}
		})
	}
}

func TestLogStabilizeTo(t *testing.T) {
	l := newTestLog()
	l.appendEntry(Entry{Index: 3, Term: 2})
	l.appendEntry(Entry{Index: 4, Term: 2})
	if l.stabilizeTo(4, 1) || l.stableIndex != 2 {
		t.Errorf("stableIndex = %d, want 2: a replaced entry counts as durable", l.stableIndex)
	}
	if !l.stabilizeTo(3, 2) || l.stableIndex != 3 {
		t.Errorf("stableIndex = %d, want 3", l.stableIndex)
	}
	if l.stabilizeTo(3, 2) {
		t.Error("second stabilizeTo(3, 2) = true, want false")
	}
}

// TestLogCompact checks that compaction keeps the newest entries, up to the size of the
// snapshot, for members that lag slightly, and that entries not applied are not compacted.
func TestLogCompact(t *testing.T) {
	l := newTestLog(1, 2, 2, 3)
	if l.compact(4, nil) {
		t.Error("compact(4) = true before entry 4 was applied")
	}
	l.commitTo(5)
	if got := l.takeCommitted(); len(got) != 3 || got[0].Index != 3 || l.takeCommitted() != nil {
		t.Errorf("takeCommitted() = %+v, want entries 3 to 5, returned once", got)
	}
	if !l.compact(5, make([]byte, 2*entryOverheadBytes)) {
		t.Fatal("compact(5) = false")
	}
	if got := l.terms(); !slices.Equal(got, []uint64{3}) || l.snapshot.Index != 5 || l.snapshot.Term != 2 {
		t.Errorf("terms = %v after a snapshot at %d/%d, want [3] after 5/2", got, l.snapshot.Index, l.snapshot.Term)
	}
	if !l.snapshot.Members.IsVoter(1) || l.memberships.newest().index != 5 {
		t.Errorf("newest membership = %+v, want index 5 with voter 1", l.memberships.newest())
	}
	if _, ok := l.termAt(3); ok {
		t.Error("the compacted entries kept in memory exceed the size of the snapshot")
	}
	if got := l.entriesFrom(4); len(got) != 2 || got[0].Index != 4 || got[1].Index != 5 {
		t.Errorf("entriesFrom(4) = %+v, want entries 4 and 5", got)
	}
}

func TestMajorityValue(t *testing.T) {
	for _, test := range []struct {
		name    string
		own     uint64
		matches []uint64 // of the other voters; 0 for one without progress
		want    uint64
	}{
		{"sole voter", 7, nil, 7},
		{"two voters", 7, []uint64{4}, 4},
		{"three voters", 7, []uint64{4, 5}, 5},
		{"four voters", 7, []uint64{6, 5, 4}, 5},
		{"own value is the lowest", 1, []uint64{4, 5}, 4},
		{"unknown voters", 7, []uint64{0, 0}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			membership := Membership{Voters: []Member{{ID: 1}}}
			n := &Node{config: Config{ID: 1}, progress: map[uint64]*progress{}}
			for i, match := range test.matches {
				id := uint64(i) + 2
				membership.Voters = append(membership.Voters, Member{ID: id})
				if match > 0 {
					n.progress[id] = &progress{matchIndex: match}
				}
			}
			membership.Learners = []Member{{ID: 100}}
			n.progress[100] = &progress{matchIndex: 100}
			n.log = newRaftLog(PersistentState{Snapshot: Snapshot{Members: membership}})
			got := majorityValue(n, test.own, func(p *progress) uint64 { return p.matchIndex })
			if got != test.want {
				t.Errorf("majorityValue() = %d, want %d", got, test.want)
			}
		})
	}
}
