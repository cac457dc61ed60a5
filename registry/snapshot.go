package registry

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"lichentray/audit"
	"lichentray/coordination"
)

// snapshotImage is the stored representation of a Store. Gob matches fields by name, also
// in nested types, so the field names are part of the stored data: a renamed field would be
// decoded as zero. Type names are stored as well but ignored by the decoder.
type snapshotImage struct {
	Revision uint64
	Objects  []Object
	Latches  *coordination.Table // Store.coordination
	Account  *audit.Log          // Store.auditLog
}

// Snapshot returns the complete state, encoded for Restore.
func (s *Store) Snapshot() ([]byte, error) {
	s.auditLog.PrepareEncode()
	image := snapshotImage{
		Revision: s.revision,
		Objects:  s.List(""),
		Latches:  s.coordination,
		Account:  s.auditLog,
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(image); err != nil {
		return nil, fmt.Errorf("registry: encode snapshot: %w", err)
	}
	return b.Bytes(), nil
}

// Restore replaces the state by that of a snapshot. If it returns an error, the state is
// unchanged.
func (s *Store) Restore(snapshot []byte) error {
	image := snapshotImage{Latches: coordination.NewTable(), Account: audit.NewLog()}
	if err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&image); err != nil {
		return fmt.Errorf("registry: decode snapshot: %w", err)
	}
	image.Latches.FinishDecode()
	image.Account.FinishDecode()
	objects := make(map[string]Object, len(image.Objects))
	for _, o := range image.Objects {
		objects[o.Key] = o
	}
	s.revision = image.Revision
	s.objects = objects
	s.coordination = image.Latches
	s.auditLog = image.Account
	return nil
}
