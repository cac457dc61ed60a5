package controlplane

import (
	"lichentray/raft"
	"lichentray/registry"
)

// restoreSaved takes the state that the disk holds.
func (l *Node) restoreSaved(saved raft.PersistentState) error {
	if saved.Snapshot.Data == nil {
		return nil
	}
	return l.store.Restore(saved.Snapshot.Data)
}

// restoreReceived restores a leader's snapshot beside the state held, which it replaces
// once it is installed.
func (l *Node) restoreReceived(data []byte) error {
	s := registry.NewStore()
	if err := s.Restore(data); err != nil {
		l.logger.Error("snapshot cannot be read, this node goes on lagging", "error", err)
		return err
	}
	l.restoredStore = s
	return nil
}
