// Package latch holds locks with fences, numbers and cells (distributed locks
// with fencing tokens, sequencers, and compare-and-set registers with an event
// history) as pure state for a replicated state machine.
//
// The state has no clock: each replica keeps its own timer for a lock from the
// moment it applied the grant, and a taking over names the grant that its
// proposer saw run out. Two replicas that apply the same commands hold the same
// state.
package latch

import "strings"

// Op names a command on the state.
type Op uint8

// The commands.
const (
	Begin  Op = iota + 1 // take a lock, or take over one that ran out
	Renew                // hold a lock for longer
	Finish               // give a lock back
	Next                 // draw a number
	Put                  // replace a cell
	Trim                 // forget history up to a revision of the log
)

// Code is how a command ended.
type Code uint8

// The outcomes. Everything but OK changed nothing.
const (
	OK       Code = iota
	Held          // another holds the lock
	Lost          // the lock is no longer held under this fence
	Mismatch      // the cell has another revision
)

// Command is one change asked of the state.
type Command struct {
	Op     Op
	Name   string
	Holder string
	Fence  uint64
	HoldMS uint64
	// SpentFence and SpentGrant name the grant that the proposer saw run out.
	SpentFence, SpentGrant uint64
	Value                  string
	Expect                 uint64
	HasExpect              bool
	Before                 uint64
}

// Result is what a command gave.
type Result struct {
	Code     Code
	Fence    uint64
	Grant    uint64
	Value    uint64
	Revision uint64
}

// Lock is one held lock. Grant changes with every renewal, so that a timer
// started for an older grant can be told apart.
type Lock struct {
	Holder string
	Fence  uint64
	Grant  uint64
	HoldMS uint64
}

// Cell is the newest value under one key.
type Cell struct {
	Value    string
	Revision uint64
}

// Event is one put in a group's history. At is the log's global revision.
type Event struct {
	Name     string
	Value    string
	Revision uint64
	At       uint64
}

// Group is the keys that share one count of revisions.
type Group struct {
	Revision uint64
	// Floor is the highest revision that the history no longer holds.
	Floor  uint64
	Events []Event
}

// Table is the whole state.
type Table struct {
	Locks  map[string]Lock
	Cells  map[string]Cell
	Groups map[string]*Group
}

// NewTable makes an empty state.
func NewTable() *Table {
	return &Table{Locks: map[string]Lock{}, Cells: map[string]Cell{}, Groups: map[string]*Group{}}
}

// GroupOf gives the group of a cell's name: what stands up to and with the
// first dot, or the whole name when it has none.
func GroupOf(name string) string {
	if i := strings.IndexByte(name, '.'); i >= 0 {
		return name[:i+1]
	}
	return name
}

// Apply carries out one command. at is the log's global revision for it; it
// rises with every call and serves as fence, grant and number.
func (t *Table) Apply(at uint64, c Command) Result {
	switch c.Op {
	case Begin:
		return t.begin(at, c)
	case Renew:
		l, ok := t.Locks[c.Name]
		if !ok || l.Fence != c.Fence || l.Holder != c.Holder {
			return Result{Code: Lost}
		}
		l.Grant, l.HoldMS = at, c.HoldMS
		t.Locks[c.Name] = l
		return Result{Fence: l.Fence, Grant: at}
	case Finish:
		if l, ok := t.Locks[c.Name]; ok && l.Fence == c.Fence && l.Holder == c.Holder {
			delete(t.Locks, c.Name)
		}
		return Result{}
	case Next:
		return Result{Value: at}
	case Put:
		return t.put(at, c)
	case Trim:
		t.trim(c.Before)
	}
	return Result{}
}

func (t *Table) begin(at uint64, c Command) Result {
	l, held := t.Locks[c.Name]
	if held {
		spent := c.SpentFence == l.Fence && c.SpentGrant == l.Grant
		switch {
		case l.Holder == c.Holder && !spent:
			l.Grant, l.HoldMS = at, c.HoldMS
			t.Locks[c.Name] = l
			return Result{Fence: l.Fence, Grant: at}
		case !spent:
			return Result{Code: Held}
		}
	}
	t.Locks[c.Name] = Lock{Holder: c.Holder, Fence: at, Grant: at, HoldMS: c.HoldMS}
	return Result{Fence: at, Grant: at}
}

func (t *Table) put(at uint64, c Command) Result {
	name := GroupOf(c.Name)
	g := t.Groups[name]
	if g != nil {
		// A put that arrives again gets the revision it got first.
		for i := len(g.Events) - 1; i >= 0; i-- {
			if e := &g.Events[i]; e.Value == c.Value && e.Name == c.Name {
				return Result{Revision: e.Revision}
			}
		}
	}
	cell := t.Cells[c.Name]
	if cell.Revision != 0 && cell.Value == c.Value {
		return Result{Revision: cell.Revision}
	}
	if c.HasExpect && cell.Revision != c.Expect {
		return Result{Code: Mismatch, Revision: cell.Revision}
	}
	if g == nil {
		g = &Group{}
		t.Groups[name] = g
	}
	g.Revision++
	g.Events = append(g.Events, Event{Name: c.Name, Value: c.Value, Revision: g.Revision, At: at})
	t.Cells[c.Name] = Cell{Value: c.Value, Revision: g.Revision}
	return Result{Revision: g.Revision}
}

func (t *Table) trim(before uint64) {
	for _, g := range t.Groups {
		n := 0
		for n < len(g.Events) && g.Events[n].At <= before {
			n++
		}
		if n > 0 {
			g.Floor = g.Events[n-1].Revision
			g.Events = append([]Event(nil), g.Events[n:]...)
		}
	}
}

// Since gives the events of a group above after, and the group's revision.
// ok is false when the history no longer reaches back to after.
func (t *Table) Since(group string, after uint64) (events []Event, revision uint64, ok bool) {
	g := t.Groups[group]
	if g == nil {
		return nil, 0, true
	}
	if after < g.Floor {
		return nil, g.Revision, false
	}
	i := len(g.Events)
	for i > 0 && g.Events[i-1].Revision > after {
		i--
	}
	return g.Events[i:], g.Revision, true
}
