package storage

import (
	"bytes"
	"context"
	"database/sql/driver"
	"encoding/gob"
	"fmt"

	"lichentray/raft"
)

// Save makes one batch durable, all of it or nothing, and returns after the sync. hardState
// and snapshot may be nil, which leaves the stored ones as they are.
//
// Entries replace all entries of the log from the index of the first one on. A snapshot removes
// the entries up to its index. If replaceLog is set, as it is for a snapshot that the leader
// sent, the snapshot replaces the complete log and entries follow it.
//
// After an error nothing of the batch is in the store, and Save may be called again. It cannot
// be cancelled: an outcome that is not known would be of no use to Raft.
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

// saveSnapshot writes a snapshot and removes the entries that it stands for. A snapshot
// without data leaves the data of the one before.
func (s *Store) saveSnapshot(snapshot *raft.Snapshot) error {
	// The data is written as it is: an encoded copy may be much of the memory.
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

// saveEntries removes the entries that conflict with the new ones, or all of them if
// replaceLog is set, and writes the new ones.
func (s *Store) saveEntries(replaceLog bool, entries []raft.Entry) error {
	if !replaceLog && len(entries) == 0 {
		return nil
	}
	from := int64(0)
	if !replaceLog {
		from = int64(entries[0].Index)
	}
	if err := execStatement(s.deleteFrom, from); err != nil {
		return err
	}
	for _, e := range entries {
		index, term, entryType := int64(e.Index), int64(e.Term), int64(e.Type)
		data := append([]byte{}, e.Data...) // never nil, the column is NOT NULL
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

// inTransaction calls body within a transaction and commits it. It opens the database first if
// an earlier transaction failed.
//
// After a failed write or sync nothing is trusted that the connection holds in memory, as the
// disk may have another state. The connection is closed, and the next transaction reads the file
// anew.
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

// execStatement executes a prepared statement with its arguments in order. It takes no context,
// as a statement is not cancelled apart from its transaction.
func execStatement(statement driver.Stmt, args ...driver.Value) error {
	named := make([]driver.NamedValue, len(args))
	for i, arg := range args {
		named[i] = driver.NamedValue{Ordinal: i + 1, Value: arg}
	}
	_, err := statement.(driver.StmtExecContext).ExecContext(context.Background(), named)
	return err
}

// encodeGob encodes a plain struct, which cannot fail.
func encodeGob(v any) []byte {
	var buffer bytes.Buffer
	_ = gob.NewEncoder(&buffer).Encode(v)
	return buffer.Bytes()
}
