package daemon

import (
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"lichentray/internal/settings"
)

// TestSettingsReload checks that a changed file is read on the signal, and that an invalid one is
// reported and changes nothing.
func TestSettingsReload(t *testing.T) {
	sample, err := os.ReadFile("../settings/testdata/node.toml")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "node.toml")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(string(sample))

	pipeReader, pipeWriter := io.Pipe()
	t.Cleanup(func() { pipeWriter.Close() })
	logged := make(chan string, 10)
	go func() {
		buf := make([]byte, 4096)
		for {
			n, err := pipeReader.Read(buf)
			if err != nil {
				return
			}
			logged <- string(buf[:n])
		}
	}()

	hangup := make(chan os.Signal, 1)
	changed := make(chan *settings.Settings, 1)
	watcher := newSettingsWatcher(file, sample, slog.New(slog.NewTextHandler(pipeWriter, nil)), changed)
	go watcher.run(t.Context(), time.Hour, hangup)
	write(strings.Replace(string(sample), "10.2.0.40:8166", "10.9.0.9:8166", 1))
	hangup <- syscall.SIGHUP
	if s := <-changed; s.SeedNodes[1] != "10.9.0.9:8166" {
		t.Errorf("read %v", s.SeedNodes)
	}
	write(strings.Replace(string(sample), "contact_s = 3", "contact_s = 0", 1))
	hangup <- syscall.SIGHUP
	if line := <-logged; !strings.Contains(line, "contact_s") || !strings.Contains(line, "old ones stay") {
		t.Errorf("logged %q", line)
	}
	select {
	case s := <-changed:
		t.Errorf("invalid settings were taken: %+v", s)
	default:
	}
}
