// Package coordination implements the coordination primitives that the control plane
// offers its clients: locks with fencing tokens, sequences, and cells, which are
// compare-and-set registers whose writes can be watched by group.
//
// A Table is a deterministic state machine without a clock: replicas that apply the same
// commands in the same order hold the same state. Lease expiry is tracked outside the
// Table, by the LeaseTimers of each replica. A timer starts when the replica applies a
// grant. A command that takes over a lock names the grant whose lease has expired by the
// proposer's timer, and the Table only checks that this grant is still the newest one. A
// renewal that is committed before the takeover therefore wins.
//
// The package does no input or output, reads no clock and starts no goroutines. A Table is
// part of the state of package registry, which applies the commands; internal/controlplane
// drives the LeaseTimers and serves reads and watches.
package coordination

import (
	"lichentray/eventlog"
)

// Operation is the kind of a command.
type Operation uint8

// The operations. Their values are stored in the replicated log.
const (
	AcquireLock    Operation = iota + 1 // acquire a lock, or take over one whose lease has expired
	RenewLock                           // extend the lease of a lock
	ReleaseLock                         // release a lock before its lease expires
	NextNumber                          // return the next number of a sequence
	PutCell                             // replace the value of a cell
	CompactHistory                      // remove writes to cells up to a global revision from the history
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

// The outcomes. A command with an outcome other than OK changes nothing. The values are
// part of the internal protocol.
const (
	OK               Code = iota
	LockHeld              // another holder has the lock
	LockLost              // the caller does not hold the lock under this fencing token
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

// Command is a command to a Table. Operation determines which other fields are used.
type Command struct {
	Operation Operation
	Name      string // of the lock, sequence or cell

	Holder       string // client that acquires, renews or releases the lock
	FencingToken uint64 // of the lock to renew or release
	LeaseMS      uint64 // requested lease duration in ms
	// ExpiredToken and ExpiredGrant are the Fence and Grant of the present lock if the
	// proposer of an acquisition found that the acquirer may take it over: normally because
	// the lease has expired by the proposer's timer (see LeaseTimers.Prepare). Otherwise
	// they are zero.
	ExpiredToken, ExpiredGrant uint64

	Value               string // new value of the cell
	ExpectedRevision    uint64 // required revision of the cell if HasExpectedRevision; 0: no value yet
	HasExpectedRevision bool

	CompactBefore uint64 // newest global revision that CompactHistory removes
}

// Result is the result of a command. Control-plane nodes send it to each other with gob,
// so the field names are part of the internal protocol.
type Result struct {
	Code Code
	// Fence is the fencing token, and Grant the newest grant, of the acquired or renewed
	// lock.
	Fence uint64
	Grant uint64
	// Value is the number returned by NextNumber.
	Value uint64
	// Revision is the revision of the write by PutCell or, for RevisionMismatch, the
	// cell's current revision.
	Revision uint64
}

// Table is the state of all locks and cells. Snapshots store its exported fields with gob,
// so their names are part of the snapshot format. Callers must not modify the fields.
// Concurrent reads are safe; a write must not run concurrently with any other access.
type Table struct {
	Locks map[string]Lock // held locks by name
	Cells map[string]Cell // by name
	// Feed is the history of the writes to cells. Its topics are the groups (see GroupOf),
	// and the numbers of its entries are the revisions of cells.
	Feed *eventlog.Log[CellChange]
	// Groups is the history in the format of earlier versions; FinishDecode converts it to
	// Feed.
	Groups map[string]*LegacyGroup

	// firstRevision holds the revision of each write in Feed. Retried writes are answered
	// from it.
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

// FinishDecode must be called after a table has been decoded. It migrates the format of
// earlier versions and rebuilds the indexes that are not stored.
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

// Apply executes one command. revision is the global revision that the command gets if it
// succeeds. It serves as fencing token, grant and sequence number, so it must be greater
// than the revision of every earlier successful command.
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
