// Package daemon is what the long-running programs share: flags, settings,
// signals and exit codes (process supervision contract).
package daemon

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"lichentray/internal/metrics"
	"lichentray/internal/settings"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitSettings = 3
)

// Version is the programs' version.
const Version = "0.1.0"

// Signals are what the platform tells a running process.
type Signals struct {
	Stop            chan struct{}
	SettingsChanged chan *settings.Settings
}

// RunFunc is a program's body.
type RunFunc func(path string, set *settings.Settings, log *slog.Logger, sig *Signals) error

// VersionLine tells program, version and the source it was built from.
func VersionLine(program string) string {
	line := program + " " + Version
	if info, ok := debug.ReadBuildInfo(); ok {
		line += " " + info.GoVersion
	}
	return line
}

// Main reads flags and settings, and runs the program until it ends.
func Main(program, what string, run RunFunc) int {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	path := fs.String("config", "", "path of the settings file (default $"+settings.EnvPath+" or "+settings.DefaultPath+")")
	version := fs.Bool("version", false, "print the version and end")
	usage := func(w io.Writer) {
		fmt.Fprintf(w, "%s is %s of lichentray.\n\nUsage: %s [flags]\n\nFlags:\n", program, what, program)
		fs.SetOutput(w)
		fs.PrintDefaults()
		fmt.Fprintf(w, "\nSignals: SIGTERM ends it in order, SIGHUP reads the settings again.\nExit codes: 0 ended in order, 1 failed, 2 wrong usage, 3 bad settings.\n")
	}
	switch err := fs.Parse(os.Args[1:]); {
	case errors.Is(err, flag.ErrHelp):
		usage(os.Stdout)
		return ExitOK
	case err != nil || fs.NArg() > 0:
		if err == nil {
			err = fmt.Errorf("unknown argument %q", fs.Arg(0))
		}
		fmt.Fprintf(os.Stderr, "%s: %v\n\n", program, err)
		usage(os.Stderr)
		return ExitUsage
	}
	if *version {
		fmt.Println(VersionLine(program))
		return ExitOK
	}
	file := settings.ResolvePath(*path)
	text, err := os.ReadFile(file)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: settings: %v\n", program, err)
		return ExitSettings
	}
	set, err := settings.Parse(text)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: settings %s: %v\n", program, file, err)
		return ExitSettings
	}
	log := metrics.NewLogger(set.NodeName, program)
	log.Info("starting", "version", Version)
	sig := &Signals{Stop: make(chan struct{}), SettingsChanged: make(chan *settings.Settings, 1)}
	term, hup := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	go func() {
		<-term
		close(sig.Stop)
	}()
	go watchSettings(file, text, set.Bounds.SeedReload.Duration(), hup, log, sig)
	if err := run(file, set, log, sig); err != nil {
		log.Error("failed", "error", err)
		return ExitFailed
	}
	log.Info("ended")
	return ExitOK
}

// watchSettings reads the settings again on SIGHUP, and now and then in case
// the file changed without one. A bad file is reported and changes nothing.
func watchSettings(file string, last []byte, every time.Duration, hup chan os.Signal, log *slog.Logger, sig *Signals) {
	tick := time.NewTicker(max(every, time.Second))
	defer tick.Stop()
	var stamp time.Time
	if st, err := os.Stat(file); err == nil {
		stamp = st.ModTime()
	}
	for {
		forced := false
		select {
		case <-hup:
			forced = true
		case <-tick.C:
		}
		st, err := os.Stat(file)
		if err == nil && !forced && st.ModTime().Equal(stamp) {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			if forced {
				log.Error("settings cannot be read, the old ones stay", "error", err)
			}
			continue
		}
		if st != nil {
			stamp = st.ModTime()
		}
		if bytes.Equal(text, last) {
			continue
		}
		last = text
		set, err := settings.Parse(text)
		if err != nil {
			log.Error("settings are invalid, the old ones stay", "error", err)
			continue
		}
		select {
		case sig.SettingsChanged <- set:
		default:
			select {
			case <-sig.SettingsChanged:
			default:
			}
			sig.SettingsChanged <- set
		}
	}
}
