package daemon

import (
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"lichentray/internal/settings"
)

// TestSIGHUPBeforeSettingsAreLoaded guards against losing a SIGHUP that arrives right after the
// start, or being terminated by it: the settings must be reloaded once the program runs.
func TestSIGHUPBeforeSettingsAreLoaded(t *testing.T) {
	sample, err := os.ReadFile("../settings/testdata/node.toml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "node.toml")
	changedText := strings.Replace(string(sample), "10.2.0.40:8166", "10.9.0.9:8166", 1)
	if err := os.WriteFile(path, []byte(changedText), 0o600); err != nil {
		t.Fatal(err)
	}
	channels := catchSignals()
	defer signal.Reset()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	initial, err := settings.Parse(sample)
	if err != nil {
		t.Fatal(err)
	}
	run := func(_ string, _ *settings.Settings, _ *slog.Logger, signals *Signals) error {
		if s := <-signals.SettingsChanged; s.SeedNodes[1] != "10.9.0.9:8166" {
			t.Errorf("reloaded seed nodes = %v, want 10.9.0.9:8166 as the second one", s.SeedNodes)
		}
		return nil
	}
	if err := runWithSignals(path, sample, initial, slog.New(slog.NewTextHandler(io.Discard, nil)), channels, run); err != nil {
		t.Error(err)
	}
}
