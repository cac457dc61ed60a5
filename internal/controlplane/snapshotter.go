package controlplane

import (
	"lichentray/raft"
	"lichentray/registry"
)

// The log is compacted once it holds this many applied entries or bytes.
const (
	maxLogEntries = 6000
	maxLogBytes   = 4 << 20
	// logDiskDivisor is the divisor of the disk limit that gives the maximum size of the log.
	// SQLite's write-ahead log takes the same amount again.
	logDiskDivisor = 16
)

// snapshotter limits the size of the log in memory and on disk, and restores snapshots received
// from the leader. It is part of loopState.
type snapshotter struct {
	env *environment
	// logBytes is the size of the data of the entries since the last snapshot.
	logBytes int
	// received is a store restored from the leader's snapshot, until the snapshot is installed.
	received *registry.Store
}

// countEntry adds the size of an entry to the size of the log.
func (s *snapshotter) countEntry(entry raft.Entry) { s.logBytes += len(entry.Data) }

// restoreReceived restores a snapshot received from the leader into a separate store. Consensus
// calls it before it accepts the snapshot, and rejects one that cannot be restored.
func (s *snapshotter) restoreReceived(data []byte) error {
	store := registry.NewStore()
	if err := store.Restore(data); err != nil {
		s.env.logger.Error("received snapshot cannot be restored; this node stays behind the leader", "error", err)
		return err
	}
	s.received = store
	return nil
}

// takeReceived returns the store restored from the snapshot that consensus has accepted.
func (s *snapshotter) takeReceived() *registry.Store {
	store := s.received
	s.received = nil
	s.logBytes = 0
	return store
}

// compactIfNeeded creates a snapshot of the applied state once the log is too long, and returns
// it to be written. Otherwise it returns nil.
func (s *snapshotter) compactIfNeeded(node *raft.Node, store *registry.Store) *raft.Snapshot {
	if node.CompactableEntries() < maxLogEntries && s.logBytes < s.maxBytes() {
		return nil
	}
	// Reset even if the snapshot fails: the next attempt is due once the log has grown by the
	// same amount.
	s.logBytes = 0
	data, err := store.Snapshot()
	if err != nil {
		s.env.logger.Error("snapshot failed", "error", err)
		return nil
	}
	snapshot, ok := node.Compact(node.AppliedIndex(), data)
	if !ok {
		return nil
	}
	return &snapshot
}

func (s *snapshotter) maxBytes() int {
	diskMB := s.env.settings.Limits.DiskMB
	if diskMB <= 0 {
		return maxLogBytes
	}
	return min(maxLogBytes, int(diskMB*(1<<20))/logDiskDivisor)
}
