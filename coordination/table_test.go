package coordination

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
)

// referenceModel is a simple model of a Table: the locks, and a list of all writes that is
// searched for each query.
type referenceModel struct {
	writes []Event // all effective writes
	locks  map[string][]Lock
}

func (m *referenceModel) cell(name string) (Cell, bool) {
	for i := len(m.writes) - 1; i >= 0; i-- {
		if m.writes[i].Name == name {
			return Cell{m.writes[i].Value, m.writes[i].Revision}, true
		}
	}
	return Cell{}, false
}

func (m *referenceModel) groupRevision(group string) uint64 {
	n := uint64(0)
	for _, p := range m.writes {
		if GroupOf(p.Name) == group {
			n++
		}
	}
	return n
}

func (m *referenceModel) apply(revision uint64, c Command) Result {
	currentLock := func() (Lock, bool) {
		l := m.locks[c.Name]
		if len(l) == 0 {
			return Lock{}, false
		}
		return l[len(l)-1], true
	}
	switch c.Operation {
	case AcquireLock:
		l, ok := currentLock()
		hasExpired := ok && l.Fence == c.ExpiredToken && l.Grant == c.ExpiredGrant
		if ok && !hasExpired && l.Holder != c.Holder {
			return Result{Code: LockHeld}
		}
		if ok && !hasExpired {
			m.locks[c.Name] = []Lock{{l.Holder, l.Fence, revision, c.LeaseMS}}
			return Result{Fence: l.Fence, Grant: revision}
		}
		m.locks[c.Name] = []Lock{{c.Holder, revision, revision, c.LeaseMS}}
		return Result{Fence: revision, Grant: revision}
	case RenewLock:
		l, ok := currentLock()
		if !ok || l.Holder != c.Holder || l.Fence != c.FencingToken {
			return Result{Code: LockLost}
		}
		m.locks[c.Name] = []Lock{{l.Holder, l.Fence, revision, c.LeaseMS}}
		return Result{Fence: l.Fence, Grant: revision}
	case ReleaseLock:
		if l, ok := currentLock(); ok && l.Holder == c.Holder && l.Fence == c.FencingToken {
			delete(m.locks, c.Name)
		}
		return Result{}
	case NextNumber:
		return Result{Value: revision}
	case PutCell:
		for _, p := range m.writes {
			if p.Name == c.Name && p.Value == c.Value {
				return Result{Revision: p.Revision}
			}
		}
		now, _ := m.cell(c.Name)
		if c.HasExpectedRevision && now.Revision != c.ExpectedRevision {
			return Result{Code: RevisionMismatch, Revision: now.Revision}
		}
		rev := m.groupRevision(GroupOf(c.Name)) + 1
		m.writes = append(m.writes, Event{c.Name, c.Value, rev, revision})
		return Result{Revision: rev}
	}
	return Result{}
}

// TestTableMatchesReferenceModel applies random commands to a Table and to the model, and
// compares all results and the events of one group.
func TestTableMatchesReferenceModel(t *testing.T) {
	for seed := int64(0); seed < 20; seed++ {
		r := rand.New(rand.NewSource(seed))
		table, m := NewTable(), &referenceModel{locks: map[string][]Lock{}}
		for revision := uint64(1); revision < 600; revision++ {
			c := Command{
				Operation: Operation(1 + r.Intn(5)), Name: fmt.Sprintf("g%d.%d", r.Intn(3), r.Intn(3)), Holder: fmt.Sprint("h", r.Intn(3)),
				LeaseMS: uint64(r.Intn(9)), Value: fmt.Sprint(r.Intn(400)), HasExpectedRevision: r.Intn(2) == 0, ExpectedRevision: uint64(r.Intn(4)),
			}
			if l, ok := table.Locks[c.Name]; ok {
				c.FencingToken = l.Fence
				if r.Intn(3) == 0 {
					c.ExpiredToken, c.ExpiredGrant = l.Fence, l.Grant
				}
			}
			if cell, ok := table.Cells[c.Name]; ok && r.Intn(2) == 0 {
				c.ExpectedRevision = cell.Revision
			}
			if got, want := table.Apply(revision, c), m.apply(revision, c); got != want {
				t.Fatalf("seed %d, revision %d: Apply(%+v) = %+v, want %+v", seed, revision, c, got, want)
			}
			after := uint64(r.Intn(10))
			events, rev, ok := table.EventsSince("g1.", after)
			var want []Event
			for _, p := range m.writes {
				if GroupOf(p.Name) == "g1." && p.Revision > after {
					want = append(want, p)
				}
			}
			if !ok || rev != m.groupRevision("g1.") || len(events) != len(want) || (len(want) > 0 && !reflect.DeepEqual(events, want)) {
				t.Fatalf("seed %d: events after %d = %v at revision %d, want %v", seed, after, events, rev, want)
			}
		}
	}
}

// TestCompactKeepsNewerHistory guards against a compaction that removes newer events, lets a
// watch skip compacted ones, or loses the revision of a cell's current value.
func TestCompactKeepsNewerHistory(t *testing.T) {
	table := NewTable()
	for revision := uint64(1); revision <= 10; revision++ {
		table.Apply(revision, Command{Operation: PutCell, Name: "g.k", Value: fmt.Sprint(revision)})
	}
	table.Apply(11, Command{Operation: CompactHistory, CompactBefore: 4})
	if _, _, ok := table.EventsSince("g.", 3); ok {
		t.Error(`EventsSince("g.", 3) succeeded, want a failure because the events are compacted`)
	}
	if ev, rev, ok := table.EventsSince("g.", 4); !ok || len(ev) != 6 || rev != 10 {
		t.Errorf(`EventsSince("g.", 4) = %v, %d, %v, want 6 events up to revision 10`, ev, rev, ok)
	}
	// A retried write of the current value still returns its revision.
	if r := table.Apply(12, Command{Operation: PutCell, Name: "g.k", Value: "10"}); r.Revision != 10 {
		t.Errorf("retried write = %+v, want revision 10", r)
	}
}
