// Package registry implements the replicated object store of the control plane, a
// deterministic state machine over a key-value map with revisions.
//
// An object is stored under a key of the form "kind/name" with the global revision of
// its last write (ModRevision in etcd, the resource version in Kubernetes). A
// transaction compares revisions and then performs all of its writes or none. The store
// also holds the locks, sequences and cells of package coordination and the log of
// package audit, under the same global revision. The package further defines the
// encodings: the command codec of the replicated log, the delta between two values, the
// snapshot, and the values of the object kinds.
//
// The package performs no I/O, reads no clock and starts no goroutines. It does not
// replicate: package raft orders the commands, and internal/controlplane applies them
// and forwards the events to package watchcache. Replicas that apply the same commands
// in the same order must hold the same state, so every function called by Apply must
// depend only on its arguments and on the state.
package registry

import (
	"slices"
	"strings"

	"lichentray/audit"
	"lichentray/coordination"
)

// Object is an entry of the store. Snapshots store it and proxies receive it in gob
// encoding, so its field names are part of both formats.
type Object struct {
	Key   string
	Value []byte
	// CreateRevision and ModRevision are the global revisions of the write that created
	// the object and of the newest write to it.
	CreateRevision uint64
	ModRevision    uint64
}

// EventType is the kind of change to an object.
type EventType uint8

// The event types. Their values are part of the internal protocol.
const (
	Added EventType = iota + 1
	Modified
	Deleted
)

// String returns the name of the event type.
func (t EventType) String() string {
	switch t {
	case Added:
		return "added"
	case Modified:
		return "modified"
	case Deleted:
		return "deleted"
	}
	return "unknown"
}

// Event is a change to one object at one global revision. Proxies receive it in gob
// encoding, so its field names are part of the internal protocol.
type Event struct {
	Type     EventType
	Object   Object
	Revision uint64
	// Patch, if not nil, is the delta (see ComputeDelta) from the object's value at
	// revision Base to the new value. A sender may then omit Object.Value.
	Patch []byte
	Base  uint64
}

// Command is an entry of the replicated log. Exactly one field is set. EncodeCommand and
// DecodeCommand are its codec.
type Command struct {
	Txn          *Txn
	Coordination *coordination.Command
	// Audit is a batch of records for the audit log.
	Audit *audit.Batch
}

// Result is the outcome of a command. Control-plane nodes exchange it in gob encoding, so
// its field names are part of the internal protocol.
type Result struct {
	// Revision is the global revision after the command.
	Revision uint64
	// Conflict reports whether a transaction wrote nothing because a comparison failed or
	// a delta did not match the old value.
	Conflict bool
	// Current holds the existing objects whose comparison failed, without their values.
	Current []Object
	// Latch is the outcome of a coordination command. The internal protocol fixes its
	// name.
	Latch coordination.Result
	// Account is the audit log's acknowledgement of a batch: the sequence number up to
	// which the log holds all records of the sending incarnation, see audit.Log.Ingest.
	// The internal protocol fixes its name.
	Account uint64
}

// Store is the state machine. It is not safe for concurrent use: its owner must serialize
// all calls. Returned values share memory with the store and must not be modified.
type Store struct {
	revision     uint64
	objects      map[string]Object
	coordination *coordination.Table
	auditLog     *audit.Log
}

// NewStore returns an empty store at revision 0.
func NewStore() *Store {
	return &Store{
		objects:      map[string]Object{},
		coordination: coordination.NewTable(),
		auditLog:     audit.NewLog(),
	}
}

// Revision returns the global revision, which increases by one with every successful
// command, whether or not the command changes an object.
func (s *Store) Revision() uint64 { return s.revision }

// Coordination returns the locks, sequences and cells. The caller must only read them.
func (s *Store) Coordination() *coordination.Table { return s.coordination }

// AuditLog returns the audit log. The caller must only read it.
func (s *Store) AuditLog() *audit.Log { return s.auditLog }

// Get returns the object under key and whether it exists.
func (s *Store) Get(key string) (Object, bool) {
	o, ok := s.objects[key]
	return o, ok
}

// List returns the objects whose key begins with prefix, sorted by key, as of the store's
// revision.
func (s *Store) List(prefix string) []Object {
	var objects []Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return strings.Compare(a.Key, b.Key) })
	return objects
}

// Apply executes a command and returns its outcome and the changes to objects in the order
// of the command's writes. Each command of the replicated log must be applied once, in log
// order.
func (s *Store) Apply(c Command) (Result, []Event) {
	switch {
	case c.Audit != nil:
		return s.applyAudit(c.Audit), nil
	case c.Coordination != nil:
		return s.applyCoordination(c.Coordination), nil
	case c.Txn != nil:
		return s.applyTxn(c.Txn)
	}
	return Result{Revision: s.revision}, nil
}

func (s *Store) applyAudit(batch *audit.Batch) Result {
	s.revision++
	acknowledged := s.auditLog.Ingest(s.revision, *batch)
	return Result{Revision: s.revision, Account: acknowledged}
}

func (s *Store) applyCoordination(c *coordination.Command) Result {
	outcome := s.coordination.Apply(s.revision+1, *c)
	if outcome.Code == coordination.OK {
		s.revision++
	}
	// The event history and the audit log share one retention, so one command compacts
	// both.
	if c.Operation == coordination.CompactHistory {
		s.auditLog.Compact(c.CompactBefore)
	}
	return Result{Revision: s.revision, Latch: outcome}
}
