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

// ErrLogGap is the DiscardReason of a store whose log does not continue its snapshot, or itself,
// without a gap.
var ErrLogGap = errors.New("storage: log has a gap")

const (
	// identityBytes is the length of a stored identity, a big-endian integer.
	identityBytes = 8
	// randomIdentityBit is set in each identity that was drawn at random, and in none that
	// a deployment assigns.
	randomIdentityBit = 1 << 63
)

// recoverOrReplace loads what the directory holds. If that is damaged or rejected by check,
// it is quarantined and an empty store takes its place.
func (s *Store) recoverOrReplace(initialID uint64, check func(raft.PersistentState) error) (Identity, raft.PersistentState, error) {
	if s.dir == "" {
		return s.loadChecked(initialID, check)
	}
	hasQuarantined, err := s.prepareDirectory()
	if err != nil {
		return Identity{}, raft.PersistentState{}, err
	}
	if hasQuarantined {
		initialID = 0 // the group may know this disk under initialID: draw another
	}
	id, state, err := s.loadChecked(initialID, check)
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

// prepareDirectory quarantines journals that were left without their database, as SQLite would
// play them into a new one. It reports whether the directory holds files that were quarantined,
// so that an earlier identity of this disk may be known to the group. A directory whose name is
// no valid pattern for filepath.Glob counts as holding some, which is the safe side.
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

// isDeviceError reports that the disk failed an operation, in contrast to a file whose content is
// damaged: the same file may be readable later.
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

// loadChecked loads the store and hands its state to check.
func (s *Store) loadChecked(initialID uint64, check func(raft.PersistentState) error) (Identity, raft.PersistentState, error) {
	id, state, err := s.loadState(initialID)
	if err == nil && check != nil {
		err = check(state)
	}
	return id, state, err
}

// loadState opens the database and reads the identity and the state. A database without an
// identity gets one.
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
			return Identity{}, fmt.Errorf("storage: draw an identity: %w", err)
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
		meta[name] = append([]byte(nil), value...) // the row's memory is SQLite's
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

// decodeMeta decodes the value with the given name into to, and leaves to as it is if there
// is none.
func decodeMeta(meta map[string][]byte, name string, to any) error {
	raw, ok := meta[name]
	if !ok {
		return nil
	}
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(to); err != nil {
		return fmt.Errorf("storage: decode meta %q: %w", name, err)
	}
	return nil
}

// readLog returns the entries from index first on. Earlier ones are skipped.
func (s *Store) readLog(first uint64) ([]raft.Entry, error) {
	var entries []raft.Entry
	next := first
	err := s.query("SELECT idx, term, type, data, sum FROM log ORDER BY idx", func(row []driver.Value) error {
		entry, err := entryOf(row)
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

// entryOf makes an entry of a row of the log table.
func entryOf(row []driver.Value) (raft.Entry, error) {
	index, term, entryType := row[0].(int64), row[1].(int64), row[2].(int64)
	data, _ := row[3].([]byte)
	if err := verifyChecksum(row[4], rowChecksum(data, index, term, entryType)); err != nil {
		return raft.Entry{}, fmt.Errorf("%w: entry %d", err, index)
	}
	return raft.Entry{
		Index: uint64(index),
		Term:  uint64(term),
		Type:  raft.EntryType(entryType),
		Data:  append([]byte(nil), data...), // the row's memory is SQLite's
	}, nil
}

// query calls each with every row that a statement yields. The row and the memory it refers
// to are valid until each returns. An error of each ends the query and is returned as it is.
func (s *Store) query(statement string, each func(row []driver.Value) error) error {
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
		if err := each(row); err != nil {
			return err
		}
	}
}
