package controlplane

import (
	"testing"

	"lichentray/internal/settings"
	"lichentray/registry"
)

func TestMaxLogBytes(t *testing.T) {
	for _, c := range []struct {
		name   string
		diskMB float64
		want   int
	}{
		{"no disk limit", 0, 4 << 20},
		{"small disk", 32, 2 << 20},
		{"large disk", 1000, 4 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := &environment{settings: &settings.Settings{Limits: settings.Limits{DiskMB: c.diskMB}}}
			if got := (&snapshotter{env: env}).maxBytes(); got != c.want {
				t.Errorf("maxBytes() = %d, want %d", got, c.want)
			}
		})
	}
}

// TestUnreadableSnapshotIsRejected guards against the installation of a snapshot that cannot be
// restored. One that can be restored is returned once.
func TestUnreadableSnapshotIsRejected(t *testing.T) {
	s := &snapshotter{env: newTestEnvironment(t)}
	if err := s.restoreReceived([]byte("no state")); err == nil || s.received != nil {
		t.Errorf("after an unreadable snapshot: received = %v, error %v", s.received, err)
	}
	data, err := registry.NewStore().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.restoreReceived(data); err != nil {
		t.Fatal(err)
	}
	s.logBytes = 9
	if store := s.takeReceived(); store == nil || s.received != nil || s.logBytes != 0 {
		t.Errorf("takeReceived() = %v; received = %v and logBytes = %d afterwards", store, s.received, s.logBytes)
	}
}
