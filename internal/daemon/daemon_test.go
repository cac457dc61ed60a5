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

// TestSettingsReadAgain: a changed file is taken on the signal; an invalid one
// is reported and leaves the old settings.
func TestSettingsReload(t *testing.T) {
	b, err := os.ReadFile("../settings/testdata/node.toml")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "node.toml")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(string(b))

	pr, pw := io.Pipe()
	logged := make(chan string, 10)
	go func() {
		buf := make([]byte, 4096)
		for {
			n, err := pr.Read(buf)
			if err != nil {
				return
			}
			logged <- string(buf[:n])
		}
	}()

	hup := make(chan os.Signal, 1)
	sig := &Signals{Stop: make(chan struct{}), SettingsChanged: make(chan *settings.Settings, 1)}
	go watchSettings(file, b, time.Hour, hup, slog.New(slog.NewTextHandler(pw, nil)), sig)
	write(strings.Replace(string(b), "10.2.0.40:8166", "10.9.0.9:8166", 1))
	hup <- syscall.SIGHUP
	if s := <-sig.SettingsChanged; s.SeedNodes[1] != "10.9.0.9:8166" {
		t.Errorf("read %v", s.SeedNodes)
	}
	write(strings.Replace(string(b), "contact_s = 3", "contact_s = 0", 1))
	hup <- syscall.SIGHUP
	if line := <-logged; !strings.Contains(line, "contact_s") || !strings.Contains(line, "old ones stay") {
		t.Errorf("logged %q", line)
	}
	select {
	case s := <-sig.SettingsChanged:
		t.Errorf("invalid settings were taken: %+v", s)
	default:
	}
}
