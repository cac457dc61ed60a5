// Package storage keeps a control-plane node's log on disk (durable log store)
// in SQLite. One process owns the file: the journal is a WAL under an exclusive
// lock, so no shared memory is used, and every Save is one durable sync.
package storage

import (
	"bytes"
	"context"
	"crypto/rand"
	"database/sql/driver"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/mattn/go-sqlite3"

	"lichentray/raft"
)

// Store is an open store. It is not safe for use from two goroutines at once.
type Store struct {
	dir  string
	conn *sqlite3.SQLiteConn

	insertEntry, deleteFrom, replaceMeta, deleteThrough driver.Stmt
}

// Identity is who this disk's life is.
type Identity struct {
	ID uint64
	// IsNew tells that the disk was empty and Open has drawn the identity.
	IsNew bool
	// DiscardReason is why an unreadable store was set aside, or nil.
	DiscardReason error
}

const databaseName = "chest.db"

// maxQuarantineBytes is how many bytes of a file that was set aside are kept to look at: a
// full copy beside the new store may be more than the disk holds.
const maxQuarantineBytes = 4 << 20

// Open opens or makes the store in dir; an empty dir keeps it in memory. An
// unreadable store, or one that check refuses, is set aside: its identity is not
// used again, as it may have forgotten a vote or an acknowledged entry. first, if not
// 0, is the identity to use for an empty disk.
//
// When it returns, the identity is durable, and nothing that was set aside can come
// back under its name after a loss of power.
func Open(dir string, first uint64, check func(raft.PersistentState) error) (*Store, Identity, raft.PersistentState, error) {
	c := &Store{dir: dir}
	if dir != "" {
		if _, err := os.Stat(filepath.Join(dir, databaseName)); errors.Is(err, os.ErrNotExist) {
			// A write-ahead log left by itself is not to be played into a new store.
			if err := c.quarantine(); err != nil {
				return c, Identity{}, raft.PersistentState{}, err
			}
		}
		if bad, err := filepath.Glob(filepath.Join(dir, databaseName+"*.bad")); err != nil || len(bad) > 0 {
			first = 0 // the disk had a life before
		}
	}
	id, saved, err := c.loadState(first)
	if err == nil && check != nil {
		err = check(saved)
	}
	if err == nil && dir != "" {
		err = syncDirectory(dir)
	} else if err != nil && dir != "" && !isDeviceError(err) {
		why := err
		c.Close()
		if err = c.quarantine(); err == nil {
			id, saved, err = c.loadState(0)
		}
		if err == nil {
			err = syncDirectory(dir)
		}
		id.DiscardReason = why
	}
	if err != nil {
		c.Close() // or its lock refuses the next try
	}
	return c, id, saved, err
}

// quarantine renames the store's files. Each change of a name that the folder has not
// synced may be kept or lost by itself: the store goes before the log that completes
// it, or it could be found without that and under its identity, and no new file is
// made before both are gone for good.
func (c *Store) quarantine() error {
	for _, f := range []string{databaseName, databaseName + "-wal", databaseName + "-journal"} {
		old := filepath.Join(c.dir, f)
		err := os.Rename(old, old+".bad")
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err == nil {
			err = syncDirectory(c.dir)
		}
		if err == nil {
			if info, e := os.Stat(old + ".bad"); e == nil && info.Size() > maxQuarantineBytes {
				err = os.Truncate(old+".bad", maxQuarantineBytes)
			}
		}
		if err != nil {
			return fmt.Errorf("storage: set aside: %w", err)
		}
	}
	return nil
}

// syncDirectory makes the names in a folder durable.
var syncDirectory = func(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("storage: folder: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("storage: sync folder: %w", err)
	}
	return nil
}

// isDeviceError tells a disk that refuses work from a file that is damaged.
func isDeviceError(err error) bool {
	var se sqlite3.Error
	if errors.As(err, &se) {
		switch se.Code {
		case sqlite3.ErrCorrupt, sqlite3.ErrNotADB, sqlite3.ErrSchema, sqlite3.ErrError:
			return false
		}
		return true
	}
	return false
}

func (c *Store) openDatabase() error {
	path := "file::memory:"
	if c.dir != "" {
		path = "file:" + filepath.Join(c.dir, databaseName)
	}
	d, err := (&sqlite3.SQLiteDriver{}).Open(path)
	if err != nil {
		return fmt.Errorf("storage: open: %w", err)
	}
	c.conn = d.(*sqlite3.SQLiteConn)
	for _, q := range []string{
		"PRAGMA locking_mode=EXCLUSIVE",
		"PRAGMA journal_mode=WAL",
		"PRAGMA synchronous=FULL",
		"PRAGMA cache_size=-512",
		"PRAGMA wal_autocheckpoint=500",
		"PRAGMA journal_size_limit=4194304",
		"CREATE TABLE IF NOT EXISTS log (idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, type INTEGER NOT NULL, data BLOB NOT NULL, sum INTEGER)",
		"CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value BLOB NOT NULL, sum INTEGER) WITHOUT ROWID",
	} {
		if _, err := c.conn.Exec(q, nil); err != nil {
			return fmt.Errorf("storage: %s: %w", q, err)
		}
	}
	// Stores of before had no checksums.
	for _, table := range []string{"log", "meta"} {
		has := false
		if err := c.query("SELECT 1 FROM pragma_table_info('"+table+"') WHERE name = 'sum'", func([]driver.Value) error { has = true; return nil }); err != nil {
			return err
		}
		if !has {
			if _, err := c.conn.Exec("ALTER TABLE "+table+" ADD COLUMN sum INTEGER", nil); err != nil {
				return fmt.Errorf("storage: add checksums: %w", err)
			}
		}
	}
	for _, p := range []struct {
		to  *driver.Stmt
		sql string
	}{
		{&c.insertEntry, "INSERT OR REPLACE INTO log VALUES (?,?,?,?,?)"},
		{&c.deleteFrom, "DELETE FROM log WHERE idx >= ?"},
		{&c.deleteThrough, "DELETE FROM log WHERE idx <= ?"},
		{&c.replaceMeta, "INSERT OR REPLACE INTO meta VALUES (?,?,?)"},
	} {
		st, err := c.conn.Prepare(p.sql)
		if err != nil {
			return fmt.Errorf("storage: prepare: %w", err)
		}
		*p.to = st
	}
	return nil
}

// Close closes the store.
func (c *Store) Close() {
	if c.conn == nil {
		return
	}
	for _, s := range []driver.Stmt{c.insertEntry, c.deleteFrom, c.replaceMeta, c.deleteThrough} {
		if s != nil {
			s.Close()
		}
	}
	c.conn.Close()
	c.conn, c.insertEntry, c.deleteFrom, c.replaceMeta, c.deleteThrough = nil, nil, nil, nil, nil
}

func encodeGob(v any) []byte {
	var b bytes.Buffer
	_ = gob.NewEncoder(&b).Encode(v) // plain structs always encode
	return b.Bytes()
}

func (c *Store) loadState(first uint64) (id Identity, saved raft.PersistentState, err error) {
	if err = c.openDatabase(); err != nil {
		return
	}
	meta := map[string][]byte{}
	err = c.query("SELECT name, value, sum FROM meta", func(v []driver.Value) error {
		name, _ := v[0].(string)
		if b, ok := v[0].([]byte); ok {
			name = string(b)
		}
		value, _ := v[1].([]byte)
		meta[name] = append([]byte(nil), value...)
		return verifyChecksum(v[2], rowChecksum(value, name))
	})
	if err != nil {
		return
	}
	if raw, ok := meta["id"]; ok && len(raw) == 8 {
		id.ID = binary.BigEndian.Uint64(raw)
	} else {
		id.IsNew, id.ID = true, first
		if first == 0 {
			var raw [8]byte
			if _, err = rand.Read(raw[:]); err != nil {
				return
			}
			id.ID = binary.BigEndian.Uint64(raw[:]) | 1<<63
		}
		var raw [8]byte
		binary.BigEndian.PutUint64(raw[:], id.ID)
		err = c.inTransaction(func() error { return c.putMeta("id", raw[:]) })
		return
	}
	for name, to := range map[string]any{"hard": &saved.HardState, "snapshot": &saved.Snapshot} {
		if raw, ok := meta[name]; ok {
			if err = gob.NewDecoder(bytes.NewReader(raw)).Decode(to); err != nil {
				return id, saved, fmt.Errorf("storage: %s: %w", name, err)
			}
		}
	}
	if raw, ok := meta["state"]; ok {
		saved.Snapshot.Data = raw
	}
	next := saved.Snapshot.Index + 1
	err = c.query("SELECT idx, term, type, data, sum FROM log ORDER BY idx", func(v []driver.Value) error {
		data, _ := v[3].([]byte)
		if err := verifyChecksum(v[4], rowChecksum(data, v[0], v[1], v[2])); err != nil {
			return err
		}
		e := raft.Entry{Index: uint64(v[0].(int64)), Term: uint64(v[1].(int64)), Type: raft.EntryType(v[2].(int64)), Data: append([]byte(nil), data...)}
		if e.Index < next {
			return nil
		}
		if e.Index != next {
			return fmt.Errorf("storage: log has a gap before %d", e.Index)
		}
		next++
		saved.Entries = append(saved.Entries, e)
		return nil
	})
	return
}

func (c *Store) query(q string, each func([]driver.Value) error) error {
	rows, err := c.conn.Query(q, nil)
	if err != nil {
		return fmt.Errorf("storage: %s: %w", q, err)
	}
	defer rows.Close()
	v := make([]driver.Value, len(rows.Columns()))
	for {
		switch err := rows.Next(v); {
		case err == nil:
			if err := each(v); err != nil {
				return err
			}
		case errors.Is(err, io.EOF):
			return nil
		default:
			return fmt.Errorf("storage: %s: %w", q, err)
		}
	}
}

// errChecksum tells damage that SQLite does not notice.
var errChecksum = errors.New("storage: checksum does not match")

// rowChecksum is the checksum of a row: of its data and of what names it.
func rowChecksum(data []byte, names ...any) int64 {
	return int64(crc32.Update(crc32.Checksum([]byte(fmt.Sprint(names...)), castagnoliTable), castagnoliTable, data))
}

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

func verifyChecksum(held driver.Value, sum int64) error {
	if held != nil && held != sum {
		return errChecksum
	}
	return nil
}

func (c *Store) putMeta(name string, value []byte) error {
	return execStatement(c.replaceMeta, name, value, rowChecksum(value, name))
}

func execStatement(s driver.Stmt, args ...driver.Value) error {
	named := make([]driver.NamedValue, len(args))
	for i, a := range args {
		named[i] = driver.NamedValue{Ordinal: i + 1, Value: a}
	}
	_, err := s.(driver.StmtExecContext).ExecContext(context.Background(), named)
	return err
}

func (c *Store) inTransaction(body func() error) error {
	if c.conn == nil {
		if err := c.openDatabase(); err != nil {
			c.Close()
			return err
		}
	}
	_, err := c.conn.Exec("BEGIN IMMEDIATE", nil)
	if err == nil {
		if err = body(); err == nil {
			_, err = c.conn.Exec("COMMIT", nil)
		}
	}
	if err != nil {
		// After a refused write or sync nothing that the connection holds is
		// trusted: the next try opens the file anew.
		c.Close()
		return fmt.Errorf("storage: save: %w", err)
	}
	return nil
}

// Save makes one batch durable, all of it or nothing. A snapshot drops the
// entries that it stands for; with replace it stands for the whole log.
func (c *Store) Save(hard *raft.HardState, snapshot *raft.Snapshot, replace bool, entries []raft.Entry) error {
	return c.inTransaction(func() error {
		if hard != nil {
			if err := c.putMeta("hard", encodeGob(*hard)); err != nil {
				return err
			}
		}
		if snapshot != nil {
			// The state goes as it is: a copy of it may be much of the memory.
			bare := *snapshot
			bare.Data = nil
			if err := c.putMeta("snapshot", encodeGob(bare)); err != nil {
				return err
			}
			if snapshot.Data != nil {
				if err := c.putMeta("state", snapshot.Data); err != nil {
					return err
				}
			}
			if err := execStatement(c.deleteThrough, int64(snapshot.Index)); err != nil {
				return err
			}
		}
		from := int64(0) // everything, when a leader's snapshot comes
		if !replace && len(entries) > 0 {
			from = int64(entries[0].Index)
		}
		if replace || len(entries) > 0 {
			if err := execStatement(c.deleteFrom, from); err != nil {
				return err
			}
		}
		for _, e := range entries {
			if err := execStatement(c.insertEntry, int64(e.Index), int64(e.Term), int64(e.Type), append([]byte{}, e.Data...), rowChecksum(e.Data, int64(e.Index), int64(e.Term), int64(e.Type))); err != nil {
				return err
			}
		}
		return nil
	})
}
