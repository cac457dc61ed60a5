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

// Operation names a command on the state.
type Operation uint8

// The commands.
const (
	AcquireLock    Operation = iota + 1 // take a lock, or take over one that ran out
	RenewLock                           // hold a lock for longer
	ReleaseLock                         // give a lock back
	NextNumber                          // draw a number
	PutCell                             // replace a cell
	CompactHistory                      // forget history up to a revision of the log
)

// Code is how a command ended.
type Code uint8

// The outcomes. Everything but OK changed nothing.
const (
	OK               Code = iota
	LockHeld              // another holds the lock
	LockLost              // the lock is no longer held under this fence
	RevisionMismatch      // the cell has another revision
)

// Command is one change asked of the state.
type Command struct {
	Operation    Operation
	Name         string
	Holder       string
	FencingToken uint64
	LeaseMS      uint64
	// ExpiredToken and SpentGrant name the grant that the proposer saw run out.
	ExpiredToken, ExpiredGrant uint64
	Value                      string
	ExpectedRevision           uint64
	HasExpectedRevision        bool
	CompactBefore              uint64
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

// CellChange is one put as the feed holds it.
type CellChange struct{ Name, Value string }

// Table is the whole state.
type Table struct {
	Locks map[string]Lock
	Cells map[string]Cell
	// Feed holds the puts of all groups in the log's order; a group is a topic of
	// it, and its revisions are the topic's numbers.
	Feed *eventlog.Log[CellChange]
	// Groups is how earlier versions kept the history; it is read once.
	Groups map[string]*LegacyGroup

	firstRevision map[CellChange]uint64 // the revision of each put that the feed holds
}

// LegacyGroup is a history as earlier versions kept it.
type LegacyGroup struct {
	Revision uint64
	Floor    uint64
	Events   []Event
}

// NewTable makes an empty state.
func NewTable() *Table {
	return &Table{Locks: map[string]Lock{}, Cells: map[string]Cell{}, Feed: &eventlog.Log[CellChange]{}, firstRevision: map[CellChange]uint64{}}
}

// FinishDecode makes a table that was decoded ready for use.
func (t *Table) FinishDecode() {
	if len(t.Groups) > 0 {
		t.migrateLegacyGroups()
	}
	t.Feed.BuildIndex()
	t.firstRevision = map[CellChange]uint64{}
	for _, e := range t.Feed.Entries {
		t.firstRevision[e.Value] = e.Number
	}
}

// migrateLegacyGroups takes over the histories of an earlier version.
func (t *Table) migrateLegacyGroups() {
	var all []Event
	t.Feed = &eventlog.Log[CellChange]{Last: map[string]uint64{}, Floor: map[string]uint64{}}
	for name, g := range t.Groups {
		t.Feed.Last[name], t.Feed.Floor[name] = g.Floor, g.Floor
		all = append(all, g.Events...)
	}
	slices.SortFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	for _, e := range all {
		t.Feed.Append(e.At, GroupOf(e.Name), CellChange{e.Name, e.Value})
	}
	t.Groups = nil
}

// GroupOf gives the group of a cell's name: what stands up to and with the
// firstRevision dot, or the whole name when it has none.
func GroupOf(name string) string {
	if i := strings.IndexByte(name, '.'); i >= 0 {
		return name[:i+1]
	}
	return name
}

// Apply carries out one command. at is the log's global revision for it; it
// rises with every call and serves as fence, grant and number.
func (t *Table) Apply(at uint64, c Command) Result {
	switch c.Operation {
	case AcquireLock:
		return t.acquireLock(at, c)
	case RenewLock:
		l, ok := t.Locks[c.Name]
		if !ok || l.Fence != c.FencingToken || l.Holder != c.Holder {
			return Result{Code: LockLost}
		}
		l.Grant, l.HoldMS = at, max(l.HoldMS, c.LeaseMS)
		t.Locks[c.Name] = l
		return Result{Fence: l.Fence, Grant: at}
	case ReleaseLock:
		if l, ok := t.Locks[c.Name]; ok && l.Fence == c.FencingToken && l.Holder == c.Holder {
			delete(t.Locks, c.Name)
		}
		return Result{}
	case NextNumber:
		return Result{Value: at}
	case PutCell:
		return t.putCell(at, c)
	case CompactHistory:
		t.compactHistory(c.CompactBefore)
	}
	return Result{}
}

func (t *Table) acquireLock(at uint64, c Command) Result {
	l, held := t.Locks[c.Name]
	if held {
		spent := c.ExpiredToken == l.Fence && c.ExpiredGrant == l.Grant
		switch {
		case l.Holder == c.Holder && !spent:
			l.Grant, l.HoldMS = at, max(l.HoldMS, c.LeaseMS)
			t.Locks[c.Name] = l
			return Result{Fence: l.Fence, Grant: at}
		case !spent:
			return Result{Code: LockHeld}
		}
	}
	t.Locks[c.Name] = Lock{Holder: c.Holder, Fence: at, Grant: at, HoldMS: c.LeaseMS}
	return Result{Fence: at, Grant: at}
}

func (t *Table) putCell(at uint64, c Command) Result {
	change := CellChange{c.Name, c.Value}
	// A put that arrives again gets the revision it got first.
	if n := t.firstRevision[change]; n > 0 {
		return Result{Revision: n}
	}
	cell := t.Cells[c.Name]
	if cell.Revision != 0 && cell.Value == c.Value {
		return Result{Revision: cell.Revision}
	}
	if c.HasExpectedRevision && cell.Revision != c.ExpectedRevision {
		return Result{Code: RevisionMismatch, Revision: cell.Revision}
	}
	n := t.Feed.Append(at, GroupOf(c.Name), change)
	t.firstRevision[change] = n
	t.Cells[c.Name] = Cell{Value: c.Value, Revision: n}
	return Result{Revision: n}
}

func (t *Table) compactHistory(before uint64) {
	for _, e := range t.Feed.Entries[:t.Feed.FirstAfter(before)] {
		delete(t.firstRevision, e.Value)
	}
	t.Feed.Compact(before)
}

// GroupRevision is a group's newest revision; 0 before its first put.
func (t *Table) GroupRevision(group string) uint64 { return t.Feed.Last[group] }

// EventsSince gives the events of a group above after, and the group's revision.
// ok is false when the history no longer reaches back to after.
func (t *Table) EventsSince(group string, after uint64) (events []Event, revision uint64, ok bool) {
	ok = t.Feed.Replay(group, after, func(e eventlog.Entry[CellChange]) bool {
		events = append(events, Event{e.Value.Name, e.Value.Value, e.Number, e.At})
		return true
	})
	return events, t.Feed.Last[group], ok
}
