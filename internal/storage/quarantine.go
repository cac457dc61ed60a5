package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

const (
	// quarantineSuffix is appended to the name of a file that was quarantined.
	quarantineSuffix = ".bad"
	// maxQuarantineBytes is how much of a quarantined file is kept for inspection. A full
	// copy beside the new store may be more than the disk can hold.
	maxQuarantineBytes = 4 << 20
)

// quarantine renames the database and its journals, so that an empty database can be created.
// Files that do not exist are skipped.
//
// A loss of power may keep or lose each change of a name that was not synced, whatever
// happened to the others. The database is therefore renamed, and the directory synced, before
// the journals that complete it: otherwise the database could be found again without them,
// under its identity but without its last votes. No new file is made before all are gone.
func (s *Store) quarantine() error {
	for _, name := range []string{databaseName, databaseName + "-wal", databaseName + "-journal"} {
		if err := s.quarantineFile(filepath.Join(s.dir, name)); err != nil {
			return fmt.Errorf("storage: quarantine %s: %w", name, err)
		}
	}
	return nil
}

// quarantineFile renames one file, makes that durable and shortens the file.
func (s *Store) quarantineFile(path string) error {
	target := path + quarantineSuffix
	err := os.Rename(path, target)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := syncDirectory(s.dir); err != nil {
		return err
	}
	if info, err := os.Stat(target); err == nil && info.Size() > maxQuarantineBytes {
		return os.Truncate(target, maxQuarantineBytes)
	}
	return nil
}

// syncDirectory makes the names in a directory durable. Tests replace it to simulate a loss of
// power.
var syncDirectory = func(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("storage: open directory: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("storage: sync directory: %w", err)
	}
	return nil
}
