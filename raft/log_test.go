package raft

import (
	"slices"
	"testing"
)

// newTestLog returns a log with a snapshot up to index 2 of term 1 and entries of these
// terms after it. All of it is durable and none of the entries is committed.
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
		{"held already", []Entry{{Index: 3, Term: 1}, {Index: 4, Term: 2}}, []uint64{1, 2, 2}, 5, 0},
		{"appended", []Entry{{Index: 5, Term: 2}, {Index: 6, Term: 3}}, []uint64{1, 2, 2, 3}, 5, 1},
		{"conflict", []Entry{{Index: 4, Term: 3}}, []uint64{1, 3}, 3, 1},
		{"conflict after a held one", []Entry{{Index: 3, Term: 1}, {Index: 4, Term: 3}, {Index: 5, Term: 3}, {Index: 6, Term: 3}}, []uint64{1, 3, 3, 3}, 3, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newTestLog(1, 2, 2)
			l.merge(test.entries)
			if got := l.terms(); !slices.Equal(got, test.want) {
				t.Errorf("terms %v, want %v", got, test.want)
			}
			if l.stableIndex != test.stableIndex {
				t.Errorf("stable index %d, want %d", l.stableIndex, test.stableIndex)
			}
			if len(l.entriesToWrite) != test.written {
				t.Errorf("%d entries to write, want %d", len(l.entriesToWrite), test.written)
			}
		})
	}
}

// TestLogTruncateFrom: what is truncated is neither written nor in force as a membership,
// and what is committed stays.
func TestLogTruncateFrom(t *testing.T) {
	l := newTestLog(1)
	l.commitTo(3)
	changed := Membership{Voters: []Member{{ID: 1}, {ID: 2}}}
	l.appendEntry(Entry{Index: 4, Term: 1})
	l.appendEntry(Entry{Index: 5, Term: 1, Type: EntryConfChange, Data: changed.Encode()})
	if got := l.memberships.newest(); got.index != 5 || !got.membership.IsVoter(2) {
		t.Fatalf("newest membership %+v", got)
	}
	l.truncateFrom(5)
	if got := l.memberships.newest(); got.index != 2 || got.membership.IsVoter(2) {
		t.Errorf("newest membership %+v after the truncation", got)
	}
	if len(l.entriesToWrite) != 1 || l.entriesToWrite[0].Index != 4 {
		t.Errorf("entries to write %+v", l.entriesToWrite)
	}
	l.truncateFrom(3)
	if l.lastIndex() != 4 {
		t.Errorf("last index %d, a committed entry was truncated", l.lastIndex())
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
		{"skips later terms", 6, 2, 4},
		{"not before the commit index", 6, 0, 3},
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
		t.Errorf("an entry that was replaced counts as durable up to %d", l.stableIndex)
	}
	if !l.stabilizeTo(3, 2) || l.stableIndex != 3 {
		t.Errorf("stable index %d, want 3", l.stableIndex)
	}
	if l.stabilizeTo(3, 2) {
		t.Error("the same write counts twice")
	}
}

// TestLogCompact: the entries that fit into the size of the snapshot stay for members that
// lag a little.
func TestLogCompact(t *testing.T) {
	l := newTestLog(1, 2, 2, 3)
	if l.compact(4, nil) {
		t.Error("entries that are not applied were compacted")
	}
	l.commitTo(5)
	if got := l.takeCommitted(); len(got) != 3 || got[0].Index != 3 || l.takeCommitted() != nil {
		t.Errorf("committed entries %+v, want 3 to 5 once", got)
	}
	if !l.compact(5, make([]byte, 2*entryOverhead)) {
		t.Fatal("not compacted")
	}
	if got := l.terms(); !slices.Equal(got, []uint64{3}) || l.snapshot.Index != 5 || l.snapshot.Term != 2 {
		t.Errorf("entries of terms %v after a snapshot at %d/%d", got, l.snapshot.Index, l.snapshot.Term)
	}
	if !l.snapshot.Members.IsVoter(1) || l.memberships.newest().index != 5 {
		t.Errorf("membership %+v", l.memberships.newest())
	}
	if _, ok := l.termAt(3); ok {
		t.Error("more entries stay in memory than the snapshot has bytes")
	}
	if got := l.entriesFrom(4); len(got) != 2 || got[0].Index != 4 || got[1].Index != 5 {
		t.Errorf("entries from 4 on: %+v", got)
	}
}

func TestMajorityValue(t *testing.T) {
	for _, test := range []struct {
		name    string
		own     uint64
		matches []uint64 // of the other voters; 0 is not known
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
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
