package coordination

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
)

// model is the slow and plain state: every command ever, looked through anew
// for each question.
type model struct {
	puts []Event // all puts that took effect, At being the log's revision
	lock map[string][]Lock
}

func (m *model) cell(name string) (Cell, bool) {
	for i := len(m.puts) - 1; i >= 0; i-- {
		if m.puts[i].Name == name {
			return Cell{m.puts[i].Value, m.puts[i].Revision}, true
		}
	}
	return Cell{}, false
}

func (m *model) groupRevision(group string) uint64 {
	n := uint64(0)
	for _, p := range m.puts {
		if GroupOf(p.Name) == group {
			n++
		}
	}
	return n
}

func (m *model) apply(at uint64, c Command) Result {
	held := func() (Lock, bool) {
		l := m.lock[c.Name]
		if len(l) == 0 {
			return Lock{}, false
		}
		return l[len(l)-1], true
	}
	switch c.Op {
	case Begin:
		l, ok := held()
		spent := ok && l.Fence == c.SpentFence && l.Grant == c.SpentGrant
		if ok && !spent && l.Holder != c.Holder {
			return Result{Code: Held}
		}
		if ok && !spent {
			m.lock[c.Name] = []Lock{{l.Holder, l.Fence, at, c.HoldMS}}
			return Result{Fence: l.Fence, Grant: at}
		}
		m.lock[c.Name] = []Lock{{c.Holder, at, at, c.HoldMS}}
		return Result{Fence: at, Grant: at}
	case Renew:
		l, ok := held()
		if !ok || l.Holder != c.Holder || l.Fence != c.Fence {
			return Result{Code: Lost}
		}
		m.lock[c.Name] = []Lock{{l.Holder, l.Fence, at, c.HoldMS}}
		return Result{Fence: l.Fence, Grant: at}
	case Finish:
		if l, ok := held(); ok && l.Holder == c.Holder && l.Fence == c.Fence {
			delete(m.lock, c.Name)
		}
		return Result{}
	case Next:
		return Result{Value: at}
	case Put:
		for _, p := range m.puts {
			if p.Name == c.Name && p.Value == c.Value {
				return Result{Revision: p.Revision}
			}
		}
		now, _ := m.cell(c.Name)
		if c.HasExpect && now.Revision != c.Expect {
			return Result{Code: Mismatch, Revision: now.Revision}
		}
		rev := m.groupRevision(GroupOf(c.Name)) + 1
		m.puts = append(m.puts, Event{c.Name, c.Value, rev, at})
		return Result{Revision: rev}
	}
	return Result{}
}

func TestAgainstPlainModel(t *testing.T) {
	for seed := int64(0); seed < 20; seed++ {
		r := rand.New(rand.NewSource(seed))
		tab, m := NewTable(), &model{lock: map[string][]Lock{}}
		for at := uint64(1); at < 600; at++ {
			c := Command{
				Op: Op(1 + r.Intn(5)), Name: fmt.Sprintf("g%d.%d", r.Intn(3), r.Intn(3)), Holder: fmt.Sprint("h", r.Intn(3)),
				HoldMS: uint64(r.Intn(9)), Value: fmt.Sprint(r.Intn(400)), HasExpect: r.Intn(2) == 0, Expect: uint64(r.Intn(4)),
			}
			if l, ok := tab.Locks[c.Name]; ok {
				c.Fence = l.Fence
				if r.Intn(3) == 0 {
					c.SpentFence, c.SpentGrant = l.Fence, l.Grant
				}
			}
			if cell, ok := tab.Cells[c.Name]; ok && r.Intn(2) == 0 {
				c.Expect = cell.Revision
			}
			if got, want := tab.Apply(at, c), m.apply(at, c); got != want {
				t.Fatalf("seed %d, at %d: %+v gave %+v, the model says %+v", seed, at, c, got, want)
			}
			after := uint64(r.Intn(10))
			events, rev, ok := tab.Since("g1.", after)
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
func TestHistoryOfAnEarlierVersion(t *testing.T) {
	tab := &Table{Cells: map[string]Cell{"g.a": {"4", 4}}, Groups: map[string]*Group{
		"g.": {Revision: 4, Floor: 2, Events: []Event{{"g.b", "3", 3, 8}, {"g.a", "4", 4, 11}}},
		"h.": {Revision: 1, Events: []Event{{"h.a", "1", 1, 9}}},
	}}
	tab.Settle()
	if _, _, ok := tab.Since("g.", 1); ok {
		t.Error("what was forgotten before is there again")
	}
	if ev, rev, ok := tab.Since("g.", 3); !ok || rev != 4 || !reflect.DeepEqual(ev, []Event{{"g.a", "4", 4, 11}}) {
		t.Errorf("after 3: %v at %d, %v", ev, rev, ok)
	}
	if r := tab.Apply(12, Command{Op: Put, Name: "g.b", Value: "3"}); r.Revision != 3 {
		t.Errorf("a put that arrives again got %+v", r)
	}
	if r := tab.Apply(13, Command{Op: Put, Name: "h.a", Value: "2"}); r.Revision != 2 {
		t.Errorf("a new put got %+v", r)
	}
}

func TestTrimKeepsWhatIsYounger(t *testing.T) {
	tab := NewTable()
	for at := uint64(1); at <= 10; at++ {
		tab.Apply(at, Command{Op: Put, Name: "g.k", Value: fmt.Sprint(at)})
	}
	tab.Apply(11, Command{Op: Trim, Before: 4})
	if _, _, ok := tab.Since("g.", 3); ok {
		t.Error("history reaches back further than it was kept")
	}
	if ev, rev, ok := tab.Since("g.", 4); !ok || len(ev) != 6 || rev != 10 {
		t.Errorf("after 4: %v at %d, %v", ev, rev, ok)
	}
	// A put of the newest value that arrives again still has its revision.
	if r := tab.Apply(12, Command{Op: Put, Name: "g.k", Value: "10"}); r.Revision != 10 {
		t.Errorf("repeated put got %+v", r)
	}
}

func ExampleTable() {
	t := NewTable()
	a := t.Apply(1, Command{Op: Begin, Name: "press", Holder: "ann", HoldMS: 3000})
	b := t.Apply(2, Command{Op: Begin, Name: "press", Holder: "bo", HoldMS: 3000})
	// Ann's time has run out by the proposer's clock, which names her grant.
	c := t.Apply(3, Command{Op: Begin, Name: "press", Holder: "bo", HoldMS: 3000, SpentFence: a.Fence, SpentGrant: a.Grant})
	fmt.Println(a.Fence, b.Code == Held, c.Fence)
	// Output: 1 true 3
}

// Example_election: an election is a lock whose holders watch. Whoever gets the lock
// leads and puts its name, with its fence, into a key; the others watch the key's
// group and know who leads, and from when on an earlier leader's word is void.
func Example_election() {
	t := NewTable()
	lead := func(at uint64, who string, spent Result) Result {
		r := t.Apply(at, Command{Op: Begin, Name: "halls", Holder: who, HoldMS: 3000, SpentFence: spent.Fence, SpentGrant: spent.Grant})
		if r.Code == OK {
			t.Apply(at+1, Command{Op: Put, Name: "halls.leader", Value: fmt.Sprintf("%s under %d", who, r.Fence)})
		}
		return r
	}
	semarang := lead(1, "Semarang", Result{})
	lead(3, "Solo", Result{}) // it is held: Solo watches
	lead(5, "Solo", semarang) // Semarang's time has run out
	events, _, _ := t.Since("halls.", 0)
	for _, e := range events {
		fmt.Println(e.Revision, e.Value)
	}
	// Semarang wakes up and renews: too late.
	fmt.Println(t.Apply(7, Command{Op: Renew, Name: "halls", Holder: "Semarang", Fence: semarang.Fence, HoldMS: 3000}).Code == Lost)
	// Output:
	// 1 Semarang under 1
	// 2 Solo under 5
	// true
}
