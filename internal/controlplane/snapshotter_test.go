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
		{"no limit of the disk", 0, 4 << 20},
		{"a small disk", 32, 2 << 20},
		{"a large disk", 1000, 4 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := &environment{settings: &settings.Settings{Limits: settings.Limits{DiskMB: c.diskMB}}}
			if got := (&snapshotter{env: env}).maxBytes(); got != c.want {
				t.Errorf("%d bytes, want %d", got, c.want)
			}
		})
	}
}

// TestUnreadableSnapshotIsRefused: a snapshot that cannot be restored leaves nothing to
// be installed, and one that can is handed out once.
func TestUnreadableSnapshotIsRefused(t *testing.T) {
	s := &snapshotter{env: newTestEnvironment(t)}
	if err := s.restoreReceived([]byte("no state")); err == nil || s.received != nil {
		t.Errorf("restored %v, %v", s.received, err)
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
		t.Errorf("took %v, left %v and %d bytes", store, s.received, s.logBytes)
	}
}
