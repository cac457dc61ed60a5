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

// TestSettingsReload checks that a SIGHUP reloads a changed settings file, and that an invalid file
// is logged and its settings are not applied.
func TestSettingsReload(t *testing.T) {
	sample, err := os.ReadFile("../settings/testdata/node.toml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "node.toml")
	writeFile := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeFile(string(sample))

	pipeReader, pipeWriter := io.Pipe()
	t.Cleanup(func() { pipeWriter.Close() })
	logLines := make(chan string, 10)
	go func() {
		buf := make([]byte, 4096)
		for {
			n, err := pipeReader.Read(buf)
			if err != nil {
				return
			}
			logLines <- string(buf[:n])
		}
	}()

	hangup := make(chan os.Signal, 1)
	changed := make(chan *settings.Settings, 1)
	watcher := newSettingsWatcher(path, sample, slog.New(slog.NewTextHandler(pipeWriter, nil)), changed)
	go watcher.run(t.Context(), time.Hour, hangup)
	writeFile(strings.Replace(string(sample), "10.2.0.40:8166", "10.9.0.9:8166", 1))
	hangup <- syscall.SIGHUP
	if s := <-changed; s.SeedNodes[1] != "10.9.0.9:8166" {
		t.Errorf("reloaded seed nodes = %v, want 10.9.0.9:8166 as the second one", s.SeedNodes)
	}
	writeFile(strings.Replace(string(sample), "contact_s = 3", "contact_s = 0", 1))
	hangup <- syscall.SIGHUP
	if line := <-logLines; !strings.Contains(line, "contact_s") || !strings.Contains(line, "keeping the current ones") {
		t.Errorf("log line = %q, want the invalid setting contact_s and that the current settings are kept", line)
	}
	select {
	case s := <-changed:
		t.Errorf("published invalid settings %+v", s)
	default:
	}
}
