package storage

import (
	"bytes"
	"context"
	"database/sql/driver"
	"encoding/gob"
	"fmt"

	"lichentray/raft"
)

// Save writes one batch atomically and returns after the sync. If hardState or snapshot is nil,
// the stored one is kept.
//
// The entries replace all log entries from the index of the first one on. A snapshot removes the
// entries up to its index. If replaceLog is set, as it is for a snapshot that the leader sent, the
// snapshot replaces the complete log, and entries follow it.
//
// After an error nothing of the batch is in the store, and Save may be called again. Save cannot
// be canceled: Raft cannot proceed from an unknown outcome.
func (s *Store) Save(hardState *raft.HardState, snapshot *raft.Snapshot, replaceLog bool, entries []raft.Entry) error {
	return s.inTransaction(func() error {
		if hardState != nil {
			if err := s.putMeta(metaHardState, encodeGob(*hardState)); err != nil {
				return err
			}
		}
		if snapshot != nil {
			if err := s.saveSnapshot(snapshot); err != nil {
				return err
			}
		}
		return s.saveEntries(replaceLog, entries)
	})
}

// saveSnapshot writes a snapshot and removes the log entries that it covers. If the snapshot has
// no data, the stored data is kept.
func (s *Store) saveSnapshot(snapshot *raft.Snapshot) error {
	// The data is written unencoded: an encoded copy could use much of the node's memory.
	header := *snapshot
	header.Data = nil
	if err := s.putMeta(metaSnapshot, encodeGob(header)); err != nil {
		return err
	}
	if snapshot.Data != nil {
		if err := s.putMeta(metaSnapshotData, snapshot.Data); err != nil {
			return err
		}
	}
	return execStatement(s.deleteThrough, int64(snapshot.Index))
}

// saveEntries removes the stored entries from the first new index on, or all of them if
// replaceLog is set, and writes the new ones.
func (s *Store) saveEntries(replaceLog bool, entries []raft.Entry) error {
	if !replaceLog && len(entries) == 0 {
		return nil
	}
	firstReplaced := int64(0)
	if !replaceLog {
		firstReplaced = int64(entries[0].Index)
	}
	if err := execStatement(s.deleteFrom, firstReplaced); err != nil {
		return err
	}
	for _, e := range entries {
		index, term, entryType := int64(e.Index), int64(e.Term), int64(e.Type)
		data := append([]byte{}, e.Data...) // not nil, as the column is NOT NULL
		checksum := rowChecksum(data, index, term, entryType)
		if err := execStatement(s.insertEntry, index, term, entryType, data, checksum); err != nil {
			return err
		}
	}
	return nil
}

// putMeta writes one value of the meta table.
func (s *Store) putMeta(name string, value []byte) error {
	return execStatement(s.replaceMeta, name, value, rowChecksum(value, name))
}

// inTransaction runs body in a transaction and commits it. It opens the database first if an
// earlier transaction failed.
//
// After a failed write or sync, the connection's cached pages may differ from the disk. The
// connection is closed, so that the next transaction reads the file again.
func (s *Store) inTransaction(body func() error) error {
	if s.conn == nil {
		if err := s.openDatabase(); err != nil {
			s.Close()
			return err
		}
	}
	_, err := s.conn.Exec("BEGIN IMMEDIATE", nil)
	if err == nil {
		err = body()
	}
	if err == nil {
		_, err = s.conn.Exec("COMMIT", nil)
	}
	if err != nil {
		s.Close()
		return fmt.Errorf("storage: save: %w", err)
	}
	return nil
}

// execStatement executes a prepared statement with positional arguments. It takes no context, as
// transactions are not canceled.
func execStatement(statement driver.Stmt, args ...driver.Value) error {
	named := make([]driver.NamedValue, len(args))
	for i, arg := range args {
		named[i] = driver.NamedValue{Ordinal: i + 1, Value: arg}
	}
	_, err := statement.(driver.StmtExecContext).ExecContext(context.Background(), named)
	return err
}

// encodeGob encodes a struct of plain data; such an encoding cannot fail.
func encodeGob(v any) []byte {
	var buffer bytes.Buffer
	_ = gob.NewEncoder(&buffer).Encode(v)
	return buffer.Bytes()
}
