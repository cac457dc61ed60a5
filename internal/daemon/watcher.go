package daemon

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"time"

	"lichentray/internal/settings"
)

// minReloadInterval bounds how often the settings file is looked at.
const minReloadInterval = time.Second

// settingsWatcher reads the settings file again when it has changed. Its fields belong to the
// goroutine of run.
type settingsWatcher struct {
	path    string
	log     *slog.Logger
	changed chan *settings.Settings // has room for one
	text    []byte                  // as it was last read, valid or not
	modTime time.Time               // when the file was last modified
}

// newSettingsWatcher returns a watcher of the file at path, whose present content is text. New
// settings go to changed, which must have a buffer of one and no other sender.
func newSettingsWatcher(path string, text []byte, log *slog.Logger, changed chan *settings.Settings) *settingsWatcher {
	return &settingsWatcher{
		path:    path,
		log:     log,
		changed: changed,
		text:    text,
	}
}

// run reads the file on each hangup and, in case it changed without one, at each interval if its
// modification time is another. It returns when ctx ends.
func (w *settingsWatcher) run(ctx context.Context, interval time.Duration, hangup <-chan os.Signal) {
	ticker := time.NewTicker(max(interval, minReloadInterval))
	defer ticker.Stop()
	if info, err := os.Stat(w.path); err == nil {
		w.modTime = info.ModTime()
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

// reload reads the file and publishes its settings if they are new and valid. A file that cannot be
// read is reported only if the reload was requested by SIGHUP, as it may otherwise be in the middle of
// a change.
func (w *settingsWatcher) reload(isRequested bool) {
	info, statErr := os.Stat(w.path)
	if statErr == nil && !isRequested && info.ModTime().Equal(w.modTime) {
		return
	}
	text, err := os.ReadFile(w.path)
	if err != nil {
		if isRequested {
			w.log.Error("settings cannot be read, the old ones stay", "error", err)
		}
		return
	}
	if statErr == nil {
		w.modTime = info.ModTime()
	}
	if bytes.Equal(text, w.text) {
		return
	}
	w.text = text
	s, err := settings.Parse(text)
	if err != nil {
		w.log.Error("settings are invalid, the old ones stay", "error", err)
		return
	}
	w.publish(s)
}

// publish sends new settings, in place of older ones that were not received.
func (w *settingsWatcher) publish(s *settings.Settings) {
	select {
	case <-w.changed:
	default:
	}
	w.changed <- s
}
