package coordination

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
)

// referenceModel is the slow and plain state: every command ever, looked through anew
// for each question.
type referenceModel struct {
	puts  []Event // all puts that took effect, At being the log's revision
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
	held := func() (Lock, bool) {
		l := m.locks[c.Name]
		if len(l) == 0 {
			return Lock{}, false
		}
		return l[len(l)-1], true
	}
	switch c.Operation {
	case AcquireLock:
		l, ok := held()
		spent := ok && l.Fence == c.ExpiredToken && l.Grant == c.ExpiredGrant
		if ok && !spent && l.Holder != c.Holder {
			return Result{Code: LockHeld}
		}
		if ok && !spent {
			m.locks[c.Name] = []Lock{{l.Holder, l.Fence, at, c.LeaseMS}}
			return Result{Fence: l.Fence, Grant: at}
		}
		m.locks[c.Name] = []Lock{{c.Holder, at, at, c.LeaseMS}}
		return Result{Fence: at, Grant: at}
	case RenewLock:
		l, ok := held()
		if !ok || l.Holder != c.Holder || l.Fence != c.FencingToken {
			return Result{Code: LockLost}
		}
		m.locks[c.Name] = []Lock{{l.Holder, l.Fence, at, c.LeaseMS}}
		return Result{Fence: l.Fence, Grant: at}
	case ReleaseLock:
		if l, ok := held(); ok && l.Holder == c.Holder && l.Fence == c.FencingToken {
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

func TestTableMatchesReferenceModel(t *testing.T) {
	for seed := int64(0); seed < 20; seed++ {
		r := rand.New(rand.NewSource(seed))
		tab, m := NewTable(), &referenceModel{locks: map[string][]Lock{}}
		for at := uint64(1); at < 600; at++ {
			c := Command{
				Operation: Operation(1 + r.Intn(5)), Name: fmt.Sprintf("g%d.%d", r.Intn(3), r.Intn(3)), Holder: fmt.Sprint("h", r.Intn(3)),
				LeaseMS: uint64(r.Intn(9)), Value: fmt.Sprint(r.Intn(400)), HasExpectedRevision: r.Intn(2) == 0, ExpectedRevision: uint64(r.Intn(4)),
			}
			if l, ok := tab.Locks[c.Name]; ok {
				c.FencingToken = l.Fence
				if r.Intn(3) == 0 {
					c.ExpiredToken, c.ExpiredGrant = l.Fence, l.Grant
				}
			}
			if cell, ok := tab.Cells[c.Name]; ok && r.Intn(2) == 0 {
				c.ExpectedRevision = cell.Revision
			}
			if got, want := tab.Apply(at, c), m.apply(at, c); got != want {
				t.Fatalf("seed %d, at %d: %+v gave %+v, the model says %+v", seed, at, c, got, want)
			}
			after := uint64(r.Intn(10))
			events, rev, ok := tab.EventsSince("g1.", after)
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

// TestHistoryOfAnEarlierVersion: a table that holds its histories by group, as
// earlier versions wrote them, replays the same events after it was taken over.
func TestMigrateLegacyHistory(t *testing.T) {
	tab := &Table{Cells: map[string]Cell{"g.a": {"4", 4}}, Groups: map[string]*LegacyGroup{
		"g.": {Revision: 4, Floor: 2, Events: []Event{{"g.b", "3", 3, 8}, {"g.a", "4", 4, 11}}},
		"h.": {Revision: 1, Events: []Event{{"h.a", "1", 1, 9}}},
	}}
	tab.FinishDecode()
	if _, _, ok := tab.EventsSince("g.", 1); ok {
		t.Error("what was forgotten before is there again")
	}
	if ev, rev, ok := tab.EventsSince("g.", 3); !ok || rev != 4 || !reflect.DeepEqual(ev, []Event{{"g.a", "4", 4, 11}}) {
		t.Errorf("after 3: %v at %d, %v", ev, rev, ok)
	}
	if r := tab.Apply(12, Command{Operation: PutCell, Name: "g.b", Value: "3"}); r.Revision != 3 {
		t.Errorf("a put that arrives again got %+v", r)
	}
	if r := tab.Apply(13, Command{Operation: PutCell, Name: "h.a", Value: "2"}); r.Revision != 2 {
		t.Errorf("a new put got %+v", r)
	}
}

func TestCompactKeepsNewerHistory(t *testing.T) {
	tab := NewTable()
	for at := uint64(1); at <= 10; at++ {
		tab.Apply(at, Command{Operation: PutCell, Name: "g.k", Value: fmt.Sprint(at)})
	}
	tab.Apply(11, Command{Operation: CompactHistory, CompactBefore: 4})
	if _, _, ok := tab.EventsSince("g.", 3); ok {
		t.Error("history reaches back further than it was kept")
	}
	if ev, rev, ok := tab.EventsSince("g.", 4); !ok || len(ev) != 6 || rev != 10 {
		t.Errorf("after 4: %v at %d, %v", ev, rev, ok)
	}
	// A put of the newest value that arrives again still has its revision.
	if r := tab.Apply(12, Command{Operation: PutCell, Name: "g.k", Value: "10"}); r.Revision != 10 {
		t.Errorf("repeated put got %+v", r)
	}
}

func ExampleTable() {
	t := NewTable()
	a := t.Apply(1, Command{Operation: AcquireLock, Name: "press", Holder: "ann", LeaseMS: 3000})
	b := t.Apply(2, Command{Operation: AcquireLock, Name: "press", Holder: "bo", LeaseMS: 3000})
	// Ann's time has run out by the proposer's clock, which names her grant.
	c := t.Apply(3, Command{Operation: AcquireLock, Name: "press", Holder: "bo", LeaseMS: 3000, ExpiredToken: a.Fence, ExpiredGrant: a.Grant})
	fmt.Println(a.Fence, b.Code == LockHeld, c.Fence)
	// Output: 1 true 3
}

// Example_election: an election is a lock whose holders watch. Whoever gets the lock
// leads and puts its name, with its fence, into a key; the others watch the key's
// group and know who leads, and from when on an earlier leader's word is void.
func Example_election() {
	t := NewTable()
	lead := func(at uint64, who string, spent Result) Result {
		r := t.Apply(at, Command{Operation: AcquireLock, Name: "halls", Holder: who, LeaseMS: 3000, ExpiredToken: spent.Fence, ExpiredGrant: spent.Grant})
		if r.Code == OK {
			t.Apply(at+1, Command{Operation: PutCell, Name: "halls.leader", Value: fmt.Sprintf("%s under %d", who, r.Fence)})
		}
		return r
	}
	semarang := lead(1, "Semarang", Result{})
	lead(3, "Solo", Result{}) // it is held: Solo watches
	lead(5, "Solo", semarang) // Semarang's time has run out
	events, _, _ := t.EventsSince("halls.", 0)
	for _, e := range events {
		fmt.Println(e.Revision, e.Value)
	}
	// Semarang wakes up and renews: too late.
	fmt.Println(t.Apply(7, Command{Operation: RenewLock, Name: "halls", Holder: "Semarang", FencingToken: semarang.Fence, LeaseMS: 3000}).Code == LockLost)
	// Output:
	// 1 Semarang under 1
	// 2 Solo under 5
	// true
}
