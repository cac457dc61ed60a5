package storage

import (
	"bytes"
	"crypto/rand"
	"database/sql/driver"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/mattn/go-sqlite3"

	"lichentray/raft"
)

// ErrLogGap is the DiscardReason of a store with missing entries: its log does not start right
// after its snapshot, or its indexes are not consecutive.
var ErrLogGap = errors.New("storage: log has a gap")

const (
	// identityBytes is the size of a stored identity, a big-endian integer.
	identityBytes = 8
	// randomIdentityBit is set in every randomly generated identity, and in none that a
	// deployment assigns.
	randomIdentityBit = 1 << 63
)

// recoverOrReplace loads the store in the directory. If the store is damaged or rejected by
// check, it is quarantined and replaced by an empty one.
func (s *Store) recoverOrReplace(initialID uint64, check func(raft.PersistentState) error) (Identity, raft.PersistentState, error) {
	if s.dir == "" {
		return s.loadAndCheck(initialID, check)
	}
	hasQuarantined, err := s.prepareDirectory()
	if err != nil {
		return Identity{}, raft.PersistentState{}, err
	}
	if hasQuarantined {
		initialID = 0 // the group may already know this disk under initialID
	}
	id, state, err := s.loadAndCheck(initialID, check)
	if err == nil {
		return id, state, syncDirectory(s.dir)
	}
	if isDeviceError(err) {
		return id, state, err
	}
	discardReason := err
	s.Close()
	if err := s.quarantine(); err != nil {
		return Identity{}, raft.PersistentState{}, err
	}
	id, state, err = s.loadState(0)
	if err != nil {
		return id, state, err
	}
	id.DiscardReason = discardReason
	return id, state, syncDirectory(s.dir)
}

// prepareDirectory quarantines journals without a database, as SQLite would replay them into a
// new one. It reports whether the directory holds quarantined files, in which case the group may
// know an earlier identity of this disk. If filepath.Glob rejects the name of the directory as a
// pattern, it conservatively reports true.
func (s *Store) prepareDirectory() (hasQuarantined bool, err error) {
	database := filepath.Join(s.dir, databaseName)
	if _, err := os.Stat(database); errors.Is(err, os.ErrNotExist) {
		if err := s.quarantine(); err != nil {
			return false, err
		}
	}
	quarantined, err := filepath.Glob(database + "*" + quarantineSuffix)
	return err != nil || len(quarantined) > 0, nil
}

// isDeviceError reports whether err is a failed disk operation and not damaged content: the same
// file may be readable later.
func isDeviceError(err error) bool {
	var sqliteErr sqlite3.Error
	if !errors.As(err, &sqliteErr) {
		return false
	}
	switch sqliteErr.Code {
	case sqlite3.ErrCorrupt, sqlite3.ErrNotADB, sqlite3.ErrSchema, sqlite3.ErrError:
		return false
	}
	return true
}

// loadAndCheck loads the store and passes its state to check, unless check is nil.
func (s *Store) loadAndCheck(initialID uint64, check func(raft.PersistentState) error) (Identity, raft.PersistentState, error) {
	id, state, err := s.loadState(initialID)
	if err == nil && check != nil {
		err = check(state)
	}
	return id, state, err
}

// loadState opens the database and reads the identity and the state. If the database has no
// identity, one is created.
func (s *Store) loadState(initialID uint64) (Identity, raft.PersistentState, error) {
	if err := s.openDatabase(); err != nil {
		return Identity{}, raft.PersistentState{}, err
	}
	meta, err := s.readMeta()
	if err != nil {
		return Identity{}, raft.PersistentState{}, err
	}
	stored := meta[metaIdentity]
	if len(stored) != identityBytes {
		id, err := s.createIdentity(initialID)
		return id, raft.PersistentState{}, err
	}
	id := Identity{ID: binary.BigEndian.Uint64(stored)}
	state, err := s.readState(meta)
	return id, state, err
}

// createIdentity stores initialID, or a random identity if it is 0.
func (s *Store) createIdentity(initialID uint64) (Identity, error) {
	id := Identity{ID: initialID, IsNew: true}
	var raw [identityBytes]byte
	if initialID == 0 {
		if _, err := rand.Read(raw[:]); err != nil {
			return Identity{}, fmt.Errorf("storage: generate identity: %w", err)
		}
		id.ID = binary.BigEndian.Uint64(raw[:]) | randomIdentityBit
	}
	binary.BigEndian.PutUint64(raw[:], id.ID)
	err := s.inTransaction(func() error { return s.putMeta(metaIdentity, raw[:]) })
	return id, err
}

// readMeta returns the values of the meta table by name.
func (s *Store) readMeta() (map[string][]byte, error) {
	meta := map[string][]byte{}
	err := s.query("SELECT name, value, sum FROM meta", func(row []driver.Value) error {
		name, _ := row[0].(string)
		if raw, ok := row[0].([]byte); ok {
			name = string(raw)
		}
		value, _ := row[1].([]byte)
		if err := verifyChecksum(row[2], rowChecksum(value, name)); err != nil {
			return fmt.Errorf("%w: meta %q", err, name)
		}
		meta[name] = append([]byte(nil), value...) // SQLite owns the memory of the row
		return nil
	})
	return meta, err
}

// readState decodes the hard state and the snapshot and reads the log that follows them.
func (s *Store) readState(meta map[string][]byte) (raft.PersistentState, error) {
	var state raft.PersistentState
	if err := decodeMeta(meta, metaHardState, &state.HardState); err != nil {
		return state, err
	}
	if err := decodeMeta(meta, metaSnapshot, &state.Snapshot); err != nil {
		return state, err
	}
	if data, ok := meta[metaSnapshotData]; ok {
		state.Snapshot.Data = data
	}
	entries, err := s.readLog(state.Snapshot.Index + 1)
	state.Entries = entries
	return state, err
}

// decodeMeta decodes the value with the given name into target. If there is no such value,
// target is unchanged.
func decodeMeta(meta map[string][]byte, name string, target any) error {
	raw, ok := meta[name]
	if !ok {
		return nil
	}
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(target); err != nil {
		return fmt.Errorf("storage: decode meta %q: %w", name, err)
	}
	return nil
}

// readLog returns the log entries from index first on. Earlier ones are skipped.
func (s *Store) readLog(first uint64) ([]raft.Entry, error) {
	var entries []raft.Entry
	next := first
	err := s.query("SELECT idx, term, type, data, sum FROM log ORDER BY idx", func(row []driver.Value) error {
		entry, err := decodeEntry(row)
		if err != nil || entry.Index < next {
			return err
		}
		if entry.Index != next {
			return fmt.Errorf("%w: entry %d follows entry %d", ErrLogGap, entry.Index, next-1)
		}
		next++
		entries = append(entries, entry)
		return nil
	})
	return entries, err
}

// decodeEntry decodes a row of the log table.
func decodeEntry(row []driver.Value) (raft.Entry, error) {
	index, term, entryType := row[0].(int64), row[1].(int64), row[2].(int64)
	data, _ := row[3].([]byte)
	if err := verifyChecksum(row[4], rowChecksum(data, index, term, entryType)); err != nil {
		return raft.Entry{}, fmt.Errorf("%w: entry %d", err, index)
	}
	return raft.Entry{
		Index: uint64(index),
		Term:  uint64(term),
		Type:  raft.EntryType(entryType),
		Data:  append([]byte(nil), data...), // SQLite owns the memory of the row
	}, nil
}

// query calls handleRow for each row of the result. The row and the memory that it refers to are
// valid until handleRow returns. An error from handleRow ends the query and is returned unchanged.
func (s *Store) query(statement string, handleRow func(row []driver.Value) error) error {
	rows, err := s.conn.Query(statement, nil)
	if err != nil {
		return fmt.Errorf("storage: %s: %w", statement, err)
	}
	defer rows.Close()
	row := make([]driver.Value, len(rows.Columns()))
	for {
		err := rows.Next(row)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("storage: %s: %w", statement, err)
		}
		if err := handleRow(row); err != nil {
			return err
		}
	}
}
