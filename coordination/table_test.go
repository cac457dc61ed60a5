package coordination

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
)

// referenceModel is a slow and simple model of a Table: a list of all puts, searched anew
// for each question, and the locks.
type referenceModel struct {
	puts  []Event // all puts that took effect
	locks map[string][]Lock
}

func (m *referenceModel) cell(name string) (Cell, bool) {
	for i := len(m.puts) - 1; i >= 0; i-- {
		if m.puts[i].Name == name {
			return Cell{m.puts[i].Value, m.puts[i].Revision}, true
		}
	}
	return Cell{}, false
}

func (m *referenceModel) groupRevision(group string) uint64 {
	n := uint64(0)
	for _, p := range m.puts {
		if GroupOf(p.Name) == group {
			n++
		}
	}
	return n
}

func (m *referenceModel) apply(at uint64, c Command) Result {
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
			m.locks[c.Name] = []Lock{{l.Holder, l.Fence, at, c.LeaseMS}}
			return Result{Fence: l.Fence, Grant: at}
		}
		m.locks[c.Name] = []Lock{{c.Holder, at, at, c.LeaseMS}}
		return Result{Fence: at, Grant: at}
	case RenewLock:
		l, ok := currentLock()
		if !ok || l.Holder != c.Holder || l.Fence != c.FencingToken {
			return Result{Code: LockLost}
		}
		m.locks[c.Name] = []Lock{{l.Holder, l.Fence, at, c.LeaseMS}}
		return Result{Fence: l.Fence, Grant: at}
	case ReleaseLock:
		if l, ok := currentLock(); ok && l.Holder == c.Holder && l.Fence == c.FencingToken {
			delete(m.locks, c.Name)
		}
		return Result{}
	case NextNumber:
		return Result{Value: at}
	case PutCell:
		for _, p := range m.puts {
			if p.Name == c.Name && p.Value == c.Value {
				return Result{Revision: p.Revision}
			}
		}
		now, _ := m.cell(c.Name)
		if c.HasExpectedRevision && now.Revision != c.ExpectedRevision {
			return Result{Code: RevisionMismatch, Revision: now.Revision}
		}
		rev := m.groupRevision(GroupOf(c.Name)) + 1
		m.puts = append(m.puts, Event{c.Name, c.Value, rev, at})
		return Result{Revision: rev}
	}
	return Result{}
}

// TestTableMatchesReferenceModel applies random commands to a table and to the model.
func TestTableMatchesReferenceModel(t *testing.T) {
	for seed := int64(0); seed < 20; seed++ {
		r := rand.New(rand.NewSource(seed))
		table, m := NewTable(), &referenceModel{locks: map[string][]Lock{}}
		for at := uint64(1); at < 600; at++ {
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
			if got, want := table.Apply(at, c), m.apply(at, c); got != want {
				t.Fatalf("seed %d, at %d: %+v gave %+v, the model says %+v", seed, at, c, got, want)
			}
			after := uint64(r.Intn(10))
			events, rev, ok := table.EventsSince("g1.", after)
			var want []Event
			for _, p := range m.puts {
				if GroupOf(p.Name) == "g1." && p.Revision > after {
					want = append(want, p)
				}
			}
			if !ok || rev != m.groupRevision("g1.") || len(events) != len(want) || (len(want) > 0 && !reflect.DeepEqual(events, want)) {
				t.Fatalf("seed %d: events after %d: %v at %d, the model says %v", seed, after, events, rev, want)
			}
		}
	}
}

// TestCompactKeepsNewerHistory compacts a part of the history.
func TestCompactKeepsNewerHistory(t *testing.T) {
	table := NewTable()
	for at := uint64(1); at <= 10; at++ {
		table.Apply(at, Command{Operation: PutCell, Name: "g.k", Value: fmt.Sprint(at)})
	}
	table.Apply(11, Command{Operation: CompactHistory, CompactBefore: 4})
	if _, _, ok := table.EventsSince("g.", 3); ok {
		t.Error("history reaches back further than it was kept")
	}
	if ev, rev, ok := table.EventsSince("g.", 4); !ok || len(ev) != 6 || rev != 10 {
		t.Errorf("after 4: %v at %d, %v", ev, rev, ok)
	}
	// A repeated put of the present value still gets its revision.
	if r := table.Apply(12, Command{Operation: PutCell, Name: "g.k", Value: "10"}); r.Revision != 10 {
		t.Errorf("repeated put got %+v", r)
	}
}
