// Package storage is the durable store of a Raft node: its log, its hard state, its newest
// snapshot and its identity, in one SQLite database.
//
// The package keeps bytes and knows nothing of what is proposed or applied: it is called by
// the control-plane node alone, which hands over what Raft wants to be durable before it
// sends the messages that depend on it (Ongaro, "Consensus: Bridging Theory and Practice",
// section 3.8). It starts no goroutine and keeps no time.
//
// One process owns the database: it is opened with an exclusive lock, and the journal is a
// write-ahead log, so that no shared memory is needed and each Save costs one sync. Every row
// carries a checksum, as SQLite does not notice a flipped bit in a value.
//
// A store that cannot be read, or that its reader rejects, is quarantined as a whole and
// replaced by an empty one under a new identity. The node then joins the group as a new
// member: under its old identity it could break a vote or an acknowledgement that it gave and
// has lost.
package storage

import (
	"database/sql/driver"

	"github.com/mattn/go-sqlite3"

	"lichentray/raft"
)

// Store is an open store. It must not be used by two goroutines at once.
type Store struct {
	// dir is the directory of the database, or empty for a database in memory.
	dir string
	// conn is nil after Close and after a transaction that failed.
	conn *sqlite3.SQLiteConn

	// The prepared statements of conn, see prepareStatements.
	insertEntry   driver.Stmt
	deleteFrom    driver.Stmt
	deleteThrough driver.Stmt
	replaceMeta   driver.Stmt
}

// Identity is the Raft identity that a store belongs to.
type Identity struct {
	// ID is the member's ID. It is never used for another store.
	ID uint64
	// IsNew reports that this call of Open found no identity and stored ID.
	IsNew bool
	// DiscardReason is why an unreadable store was quarantined by this call of Open. It is
	// nil if none was.
	DiscardReason error
}

// Open opens the store in the directory dir and creates it if there is none. If dir is empty,
// the store is in memory and is lost when it is closed.
//
// The state that was saved last is returned, a zero state for a new store. If check is not
// nil, it is called with a state that was found, and an error from it means that the state is
// of no use. A store that is damaged or that check rejects is quarantined, and an empty one
// takes its place; the reason is in the identity that is returned.
//
// A new store gets initialID as its identity, or a random one if initialID is 0 or if the
// directory holds a store that was quarantined. Random identities have the highest bit set.
//
// An error means that the disk failed or that the directory cannot be used. No store is open
// then, and a later call may succeed. When Open returns without an error, the identity is
// durable, and no quarantined file can come back under its old name after a loss of power.
func Open(dir string, initialID uint64, check func(raft.PersistentState) error) (*Store, Identity, raft.PersistentState, error) {
	s := &Store{dir: dir}
	id, state, err := s.recoverOrReplace(initialID, check)
	if err != nil {
		s.Close() // its exclusive lock would make the next attempt fail
		return nil, Identity{}, raft.PersistentState{}, err
	}
	return s, id, state, nil
}

// Close closes the database. What was saved stays durable. A closed store may be closed again.
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
