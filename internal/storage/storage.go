// Package storage stores the durable state of a Raft node in one SQLite database: its log, its
// hard state, its latest snapshot and its identity.
//
// The package does not interpret log entries or snapshot data. Its only caller is the
// control-plane node, which saves what Raft requires to be durable before it sends the messages
// that depend on it (Ongaro, "Consensus: Bridging Theory and Practice", section 3.8). The package
// starts no goroutines and uses no timers.
//
// A single process owns the database, which is opened with an exclusive lock and in write-ahead
// logging mode: no shared memory is needed, and each Save costs one sync. Every row has a
// checksum, as SQLite does not detect a flipped bit in a value.
//
// A store that cannot be read, or that the caller's check rejects, is quarantined as a whole and
// replaced by an empty store with a new identity. The node then joins the group as a new member:
// under its old identity it could contradict a vote or an acknowledgement that it has lost.
package storage

import (
	"database/sql/driver"

	"github.com/mattn/go-sqlite3"

	"lichentray/raft"
)

// Store is an open store. It is not safe for concurrent use.
type Store struct {
	// dir is the directory of the database, or empty for a database in memory.
	dir string
	// conn is nil after Close and after a transaction that failed.
	conn *sqlite3.SQLiteConn

	// Prepared statements of conn, see prepareStatements.
	insertEntry   driver.Stmt
	deleteFrom    driver.Stmt
	deleteThrough driver.Stmt
	replaceMeta   driver.Stmt
}

// Identity is the Raft identity that a store belongs to.
type Identity struct {
	// ID is the Raft member ID. It is never used for another store.
	ID uint64
	// IsNew reports whether this call of Open found no identity and stored ID.
	IsNew bool
	// DiscardReason is the error for which this call of Open quarantined a store, or nil if it
	// quarantined none.
	DiscardReason error
}

// Open opens the store in the directory dir and creates it if there is none. If dir is empty,
// the store is in memory and is lost when it is closed.
//
// Open returns the state that was saved last, or a zero state for a new store. If check is not
// nil, it is called with the state that was read, and rejects it by returning an error. A store
// that is damaged or rejected by check is quarantined and replaced by an empty one; the returned
// identity gives the reason.
//
// A new store gets initialID as its identity, or a random one if initialID is 0 or if the
// directory holds a quarantined store. Random identities have the highest bit set.
//
// An error means that the disk failed or that the directory cannot be used. No store is open
// then, and a later call may succeed. When Open returns without an error, the identity is
// durable, and a power loss cannot restore a quarantined file under its original name.
func Open(dir string, initialID uint64, check func(raft.PersistentState) error) (*Store, Identity, raft.PersistentState, error) {
	s := &Store{dir: dir}
	id, state, err := s.recoverOrReplace(initialID, check)
	if err != nil {
		s.Close() // the exclusive lock would make the next attempt fail
		return nil, Identity{}, raft.PersistentState{}, err
	}
	return s, id, state, nil
}

// Close closes the database. Saved state stays durable. Closing a closed store has no effect.
func (s *Store) Close() {
	if s.conn == nil {
		return
	}
	for _, statement := range []driver.Stmt{s.insertEntry, s.deleteFrom, s.replaceMeta, s.deleteThrough} {
		if statement != nil {
			statement.Close()
		}
	}
	s.conn.Close()
	*s = Store{dir: s.dir}
}
