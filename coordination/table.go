// Package coordination is the state of the coordination primitives that the control
// plane offers its clients: locks with fencing tokens, sequences, and cells, which
// are compare-and-set registers whose writes can be watched in groups.
//
// A Table is a deterministic state machine without a clock. A lease is timed beside it, by
// the LeaseTimers of each replica: a timer starts when the replica applies a grant, and an
// acquisition that takes a lock over names the grant whose lease expired by its proposer's
// timer. The state only checks that this grant is still the newest one, so a renewal that is
// committed first wins. Replicas that apply the same commands in the same order hold the
// same state.
//
// The package does no input or output, reads no clock and starts no goroutine. A
// Table is part of the state of package registry, which applies the commands;
// internal/controlplane drives the LeaseTimers and serves reads and watches.
package coordination

import (
	"lichentray/eventlog"
)

// Operation is the kind of a command.
type Operation uint8

// The operations. Their values are stored in the replicated log.
const (
	AcquireLock    Operation = iota + 1 // acquire a lock, or take over one whose lease ran out
	RenewLock                           // extend the lease of a lock
	ReleaseLock                         // give a lock back before its lease ends
	NextNumber                          // draw the next number of a sequence
	PutCell                             // replace the value of a cell
	CompactHistory                      // forget the writes to cells up to a revision of the log
)

// String returns the name of the operation.
func (o Operation) String() string {
	switch o {
	case AcquireLock:
		return "acquire lock"
	case RenewLock:
		return "renew lock"
	case ReleaseLock:
		return "release lock"
	case NextNumber:
		return "next number"
	case PutCell:
		return "put cell"
	case CompactHistory:
		return "compact history"
	}
	return "unknown"
}

// Code is the outcome of a command.
type Code uint8

// The outcomes. A command whose outcome is not OK changed nothing. Their values are
// part of the internal protocol.
const (
	OK               Code = iota
	LockHeld              // another holder has the lock
	LockLost              // the holder no longer has the lock under this fencing token
	RevisionMismatch      // the cell is not at the expected revision
)

// String returns the name of the outcome.
func (c Code) String() string {
	switch c {
	case OK:
		return "ok"
	case LockHeld:
		return "lock held"
	case LockLost:
		return "lock lost"
	case RevisionMismatch:
		return "revision mismatch"
	}
	return "unknown"
}

// Command is a command on the state. Which fields are used depends on Operation.
type Command struct {
	Operation Operation
	Name      string // of the lock, sequence or cell

	Holder       string // who acquires, renews or releases the lock
	FencingToken uint64 // of the lock to renew or release
	LeaseMS      uint64 // duration of the lease in ms
	// ExpiredToken and ExpiredGrant are the Fence and Grant of the lock whose lease has
	// expired by the timer of the proposer of an acquisition; zero if none has.
	ExpiredToken, ExpiredGrant uint64

	Value               string // to put into the cell
	ExpectedRevision    uint64 // that the cell must have if HasExpectedRevision; 0: no value yet
	HasExpectedRevision bool

	CompactBefore uint64 // global revision up to which the history is forgotten
}

// Result is the outcome of a command. It is sent between control-plane nodes by gob,
// so its field names are part of the internal protocol.
type Result struct {
	Code Code
	// Fence is the fencing token and Grant the newest grant of a lock that was acquired
	// or renewed.
	Fence uint64
	Grant uint64
	// Value is the number drawn from a sequence.
	Value uint64
	// Revision is the cell's revision: that of the write, or, for RevisionMismatch, the
	// present one.
	Revision uint64
}

// Table is the state. Its exported fields are stored in snapshots by gob, so their
// names are part of that format; they are for reading only. It is not safe for
// concurrent use, but reads may run at the same time as each other.
type Table struct {
	Locks map[string]Lock // the locks that are held, by name
	Cells map[string]Cell // by name
	// Feed is the log of the writes to cells. Its topics are the groups (see GroupOf),
	// and its offsets the revisions of cells.
	Feed *eventlog.Log[CellChange]
	// Groups is the history in the form of earlier versions; FinishDecode moves it to
	// Feed.
	Groups map[string]*LegacyGroup

	// firstRevision is the revision of each write that Feed still holds. A repeated
	// write is answered from it.
	firstRevision map[CellChange]uint64
}

// NewTable returns an empty state.
func NewTable() *Table {
	return &Table{
		Locks:         map[string]Lock{},
		Cells:         map[string]Cell{},
		Feed:          &eventlog.Log[CellChange]{},
		firstRevision: map[CellChange]uint64{},
	}
}

// FinishDecode makes a table that was decoded ready for use: it migrates the form of
// earlier versions and rebuilds what is not stored.
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

// Apply carries out one command. revision is the global revision that the command gets
// if it succeeds; it must be above that of every earlier success, as it serves as
// fencing token, grant and number.
func (t *Table) Apply(revision uint64, c Command) Result {
	switch c.Operation {
	case AcquireLock:
		return t.acquireLock(revision, c)
	case RenewLock:
		return t.renewLock(revision, c)
	case ReleaseLock:
		return t.releaseLock(c)
	case NextNumber:
		return nextNumber(revision)
	case PutCell:
		return t.putCell(revision, c)
	case CompactHistory:
		t.compactHistory(c.CompactBefore)
	}
	return Result{}
}
