package storage

import (
	"database/sql/driver"
	"fmt"
	"path/filepath"

	"github.com/mattn/go-sqlite3"
)

// The names in this file are part of the storage format: the file name of the database, its
// tables and columns, and the keys of the meta table.
const (
	databaseName = "chest.db"

	metaIdentity     = "id"       // identity, see identityBytes
	metaHardState    = "hard"     // raft.HardState, gob-encoded
	metaSnapshot     = "snapshot" // raft.Snapshot without Data, gob-encoded
	metaSnapshotData = "state"    // Data of the snapshot
)

// pragmas configure a connection. With an exclusive lock SQLite needs no shared memory file, and
// synchronous=FULL syncs the write-ahead log on each commit. The page cache (512 KiB), the
// write-ahead log (500 pages before a checkpoint) and its file (4 MiB) are bounded, as nodes have
// little memory and disk space.
var pragmas = []string{
	"PRAGMA locking_mode=EXCLUSIVE",
	"PRAGMA journal_mode=WAL",
	"PRAGMA synchronous=FULL",
	"PRAGMA cache_size=-512",
	"PRAGMA wal_autocheckpoint=500",
	"PRAGMA journal_size_limit=4194304",
}

// tables create the schema: log entries by index, and single values by name. The column sum
// holds the checksum of the row, see rowChecksum.
var tables = []string{
	"CREATE TABLE IF NOT EXISTS log (idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, type INTEGER NOT NULL, data BLOB NOT NULL, sum INTEGER)",
	"CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value BLOB NOT NULL, sum INTEGER) WITHOUT ROWID",
}

// openDatabase connects to the database and creates or migrates its schema.
func (s *Store) openDatabase() error {
	uri := "file::memory:"
	if s.dir != "" {
		uri = "file:" + filepath.Join(s.dir, databaseName)
	}
	conn, err := (&sqlite3.SQLiteDriver{}).Open(uri)
	if err != nil {
		return fmt.Errorf("storage: open: %w", err)
	}
	s.conn = conn.(*sqlite3.SQLiteConn)
	for _, statements := range [][]string{pragmas, tables} {
		for _, statement := range statements {
			if _, err := s.conn.Exec(statement, nil); err != nil {
				return fmt.Errorf("storage: %s: %w", statement, err)
			}
		}
	}
	for _, table := range []string{"log", "meta"} {
		if err := s.addChecksumColumn(table); err != nil {
			return err
		}
	}
	return s.prepareStatements()
}

// addChecksumColumn adds the column sum to a table that was created by a version without it.
func (s *Store) addChecksumColumn(table string) error {
	hasColumn := false
	err := s.query("SELECT 1 FROM pragma_table_info('"+table+"') WHERE name = 'sum'", func([]driver.Value) error {
		hasColumn = true
		return nil
	})
	if err != nil || hasColumn {
		return err
	}
	if _, err := s.conn.Exec("ALTER TABLE "+table+" ADD COLUMN sum INTEGER", nil); err != nil {
		return fmt.Errorf("storage: add checksum column: %w", err)
	}
	return nil
}

// prepareStatements prepares the statements that Save executes.
func (s *Store) prepareStatements() error {
	for _, p := range []struct {
		target *driver.Stmt
		sql    string
	}{
		{&s.insertEntry, "INSERT OR REPLACE INTO log VALUES (?,?,?,?,?)"},
		{&s.deleteFrom, "DELETE FROM log WHERE idx >= ?"},
		{&s.deleteThrough, "DELETE FROM log WHERE idx <= ?"},
		{&s.replaceMeta, "INSERT OR REPLACE INTO meta VALUES (?,?,?)"},
	} {
		statement, err := s.conn.Prepare(p.sql)
		if err != nil {
			return fmt.Errorf("storage: prepare: %w", err)
		}
		*p.target = statement
	}
	return nil
}
