// Package coordination holds locks with fences, numbers and cells (distributed locks
// with fencing tokens, sequencers, and compare-and-set registers with an event
// history) as pure state for a replicated state machine.
//
// The state has no clock: each replica keeps its own timer for a lock from the
// moment it applied the grant, and a taking over names the grant that its
// proposer saw run out. Two replicas that apply the same commands hold the same
// state.
package coordination

import (
	"cmp"
	"slices"
	"strings"

	"lichentray/eventlog"
)

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
// started for an older grant can be told apart. HoldMS is the longest time that its
// holder asked for: calls may overtake each other, and a late one that asks for
// less must not end the time that a newer one was given.
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

// Event is one put as a watch shows it: its revision is its group's, At the log's
// global revision.
type Event struct {
	Name     string
	Value    string
	Revision uint64
	At       uint64
}

// Change is one put as the feed holds it.
type Change struct{ Name, Value string }

// Table is the whole state.
type Table struct {
	Locks map[string]Lock
	Cells map[string]Cell
	// Feed holds the puts of all groups in the log's order; a group is a topic of
	// it, and its revisions are the topic's numbers.
	Feed *eventlog.Reel[Change]
	// Groups is how earlier versions kept the history; it is read once.
	Groups map[string]*Group

	first map[Change]uint64 // the revision of each put that the feed holds
}

// Group is a history as earlier versions kept it.
type Group struct {
	Revision uint64
	Floor    uint64
	Events   []Event
}

// NewTable makes an empty state.
func NewTable() *Table {
	return &Table{Locks: map[string]Lock{}, Cells: map[string]Cell{}, Feed: &eventlog.Reel[Change]{}, first: map[Change]uint64{}}
}

// Settle makes a table that was decoded ready for use.
func (t *Table) Settle() {
	if len(t.Groups) > 0 {
		t.adopt()
	}
	t.Feed.Index()
	t.first = map[Change]uint64{}
	for _, e := range t.Feed.Entries {
		t.first[e.Value] = e.Number
	}
}

// adopt takes over the histories of an earlier version.
func (t *Table) adopt() {
	var all []Event
	t.Feed = &eventlog.Reel[Change]{Last: map[string]uint64{}, Floor: map[string]uint64{}}
	for name, g := range t.Groups {
		t.Feed.Last[name], t.Feed.Floor[name] = g.Floor, g.Floor
		all = append(all, g.Events...)
	}
	slices.SortFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	for _, e := range all {
		t.Feed.Append(e.At, GroupOf(e.Name), Change{e.Name, e.Value})
	}
	t.Groups = nil
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
		l.Grant, l.HoldMS = at, max(l.HoldMS, c.HoldMS)
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
			l.Grant, l.HoldMS = at, max(l.HoldMS, c.HoldMS)
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
	change := Change{c.Name, c.Value}
	// A put that arrives again gets the revision it got first.
	if n := t.first[change]; n > 0 {
		return Result{Revision: n}
	}
	cell := t.Cells[c.Name]
	if cell.Revision != 0 && cell.Value == c.Value {
		return Result{Revision: cell.Revision}
	}
	if c.HasExpect && cell.Revision != c.Expect {
		return Result{Code: Mismatch, Revision: cell.Revision}
	}
	n := t.Feed.Append(at, GroupOf(c.Name), change)
	t.first[change] = n
	t.Cells[c.Name] = Cell{Value: c.Value, Revision: n}
	return Result{Revision: n}
}

func (t *Table) trim(before uint64) {
	for _, e := range t.Feed.Entries[:t.Feed.From(before)] {
		delete(t.first, e.Value)
	}
	t.Feed.Trim(before)
}

// Revision is a group's newest revision; 0 before its first put.
func (t *Table) Revision(group string) uint64 { return t.Feed.Last[group] }

// Since gives the events of a group above after, and the group's revision.
// ok is false when the history no longer reaches back to after.
func (t *Table) Since(group string, after uint64) (events []Event, revision uint64, ok bool) {
	ok = t.Feed.Each(group, after, func(e eventlog.Entry[Change]) bool {
		events = append(events, Event{e.Value.Name, e.Value.Value, e.Number, e.At})
		return true
	})
	return events, t.Feed.Last[group], ok
}
