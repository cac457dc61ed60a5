package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

const (
	// quarantineSuffix is appended to the name of a quarantined file.
	quarantineSuffix = ".bad"
	// maxQuarantinedFileBytes bounds what is kept of a quarantined file for inspection. A
	// complete copy beside the new store may exceed the capacity of the disk.
	maxQuarantinedFileBytes = 4 << 20
)

// quarantine renames the database and its journals, so that an empty database can be created.
// Files that do not exist are skipped.
//
// After a power loss, each rename that was not synced may or may not have taken effect,
// independently of the others. Therefore the database is renamed and the directory is synced
// before its journals are renamed: otherwise the database could reappear without them, with its
// identity but without its latest votes. No new file is created before all are renamed.
func (s *Store) quarantine() error {
	for _, name := range []string{databaseName, databaseName + "-wal", databaseName + "-journal"} {
		if err := s.quarantineFile(filepath.Join(s.dir, name)); err != nil {
			return fmt.Errorf("storage: quarantine %s: %w", name, err)
		}
	}
	return nil
}

// quarantineFile renames one file, syncs the directory and truncates the file if it is too large.
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
	if info, err := os.Stat(target); err == nil && info.Size() > maxQuarantinedFileBytes {
		return os.Truncate(target, maxQuarantinedFileBytes)
	}
	return nil
}

// syncDirectory makes the file names in a directory durable. Tests replace it to simulate power
// losses.
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
