// Package registry is the replicated object store of the control plane: a
// deterministic state machine over a multi-version key-value map.
//
// An object stands under a key of the form "kind/name" and carries the global
// revision of its last write (etcd's ModRevision, Kubernetes' resource version).
// A transaction compares revisions and then writes, all or nothing. Beside the
// objects, and under the same revision, the store holds the locks, sequences and
// cells of package coordination and the log of package audit. The package also
// holds the forms of what it stores: the command codec of the replicated log, the
// delta between two values, the snapshot, and the values of the object kinds.
//
// The package does no input or output, reads no clock and starts no goroutine.
// It does not replicate: package raft orders the commands, and internal/controlplane
// applies them and passes the events on to package watchcache. A replica that
// applies the same commands in the same order holds the same state, so every
// function that Apply reaches must depend on its arguments and the state alone.
package registry

import (
	"slices"
	"strings"

	"lichentray/audit"
	"lichentray/coordination"
)

// Object is one entry of the store. It is stored in snapshots and sent to proxies
// by gob, so its field names are part of those formats.
type Object struct {
	Key   string
	Value []byte
	// CreateRevision and ModRevision are the global revisions of the write that
	// created the object and of the newest write to it.
	CreateRevision uint64
	ModRevision    uint64
}

// EventType says what happened to an object.
type EventType uint8

// The kinds of event on a watch. Their values are part of the internal protocol.
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

// Event is one change to one object at one global revision. It is sent to proxies
// by gob, so its field names are part of the internal protocol.
type Event struct {
	Type     EventType
	Object   Object
	Revision uint64
	// Patch, where it is not nil, is the delta (see ComputeDelta) that makes the
	// object's value from the one that it had at revision Base. A sender may then
	// leave Object.Value out.
	Patch []byte
	Base  uint64
}

// Command is one entry of the replicated log. Exactly one field is set.
// EncodeCommand and DecodeCommand are its codec.
type Command struct {
	Txn          *Txn
	Coordination *coordination.Command
	// Audit is a batch of records for the audit log.
	Audit *audit.Batch
}

// Result is the outcome of a command. It is sent between control-plane nodes by
// gob, so its field names are part of the internal protocol.
type Result struct {
	// Revision is the global revision after the command.
	Revision uint64
	// Conflict says that a transaction wrote nothing because a comparison failed or
	// a delta did not fit.
	Conflict bool
	// Current holds the objects whose comparison failed, without their values.
	Current []Object
	// Latch is the outcome of a coordination command, under its name in the internal
	// protocol.
	Latch coordination.Result
	// Account is, for a batch of audit records, the sequence number up to which the
	// audit log holds all records of the sending incarnation, see audit.Log.Ingest.
	Account uint64
}

// Store is the state machine. It is not safe for concurrent use; its owner
// serialises all calls. What it returns shares memory with the store and must not
// be modified.
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

// Revision returns the global revision, which rises by one with every command that
// succeeds, whether or not it changes an object.
func (s *Store) Revision() uint64 { return s.revision }

// Coordination returns the locks, sequences and cells for reading.
func (s *Store) Coordination() *coordination.Table { return s.coordination }

// AuditLog returns the audit log for reading.
func (s *Store) AuditLog() *audit.Log { return s.auditLog }

// Get returns the object under key and whether there is one.
func (s *Store) Get(key string) (Object, bool) {
	o, ok := s.objects[key]
	return o, ok
}

// List returns all objects whose key begins with prefix, in the order of their
// keys, as they are at the store's revision.
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

// Apply carries out one command and returns its outcome and the changes to objects
// in the order of the command's writes. Commands must come in the order of the
// replicated log, each once.
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
	// One command bounds both histories, as their retention is the same.
	if c.Operation == coordination.CompactHistory {
		s.auditLog.Compact(c.CompactBefore)
	}
	return Result{Revision: s.revision, Latch: outcome}
}
