package daemon

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"time"

	"lichentray/internal/settings"
)

// minReloadInterval is the minimum interval between two checks of the settings file for changes.
const minReloadInterval = time.Second

// settingsWatcher reloads the settings file when it changes. Only the goroutine of run accesses its
// fields.
type settingsWatcher struct {
	path        string
	log         *slog.Logger
	changed     chan *settings.Settings // with a buffer of one
	lastText    []byte                  // content of the file when last read, valid or not
	lastModTime time.Time               // modification time of the file when last read
}

// newSettingsWatcher returns a watcher of the file at path, whose current content is text. The
// watcher sends new settings to changed, which must have a buffer of one and no other sender.
func newSettingsWatcher(path string, text []byte, log *slog.Logger, changed chan *settings.Settings) *settingsWatcher {
	return &settingsWatcher{
		path:     path,
		log:      log,
		changed:  changed,
		lastText: text,
	}
}

// run reloads the file on each SIGHUP. To detect changes without a SIGHUP, it also checks the
// modification time of the file periodically. It returns when ctx is canceled.
func (w *settingsWatcher) run(ctx context.Context, interval time.Duration, hangup <-chan os.Signal) {
	ticker := time.NewTicker(max(interval, minReloadInterval))
	defer ticker.Stop()
	if info, err := os.Stat(w.path); err == nil {
		w.lastModTime = info.ModTime()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			w.reload(true)
		case <-ticker.C:
			w.reload(false)
		}
	}
}

// reload reads the file and publishes its settings if they are new and valid. A failure to read the
// file is logged only if the reload was requested by SIGHUP, because otherwise the file may be in
// the middle of being replaced.
func (w *settingsWatcher) reload(isRequested bool) {
	info, statErr := os.Stat(w.path)
	if statErr == nil && !isRequested && info.ModTime().Equal(w.lastModTime) {
		return
	}
	text, err := os.ReadFile(w.path)
	if err != nil {
		if isRequested {
			w.log.Error("settings cannot be read; keeping the current ones", "error", err)
		}
		return
	}
	if statErr == nil {
		w.lastModTime = info.ModTime()
	}
	if bytes.Equal(text, w.lastText) {
		return
	}
	w.lastText = text
	s, err := settings.Parse(text)
	if err != nil {
		w.log.Error("settings are invalid; keeping the current ones", "error", err)
		return
	}
	w.publish(s)
}

// publish sends new settings and drops older ones that have not been received.
func (w *settingsWatcher) publish(s *settings.Settings) {
	select {
	case <-w.changed:
	default:
	}
	w.changed <- s
}
