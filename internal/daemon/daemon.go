// Package daemon has what the long-running programs share: the command line, the settings file,
// signals and exit codes.
//
// Main runs a program's body, a RunFunc, on the goroutine of its caller, and two goroutines beside
// it: one waits for SIGTERM, one reads the settings file again when it has changed.
package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"lichentray/internal/metrics"
	"lichentray/internal/settings"
)

// The exit codes of all programs.
const (
	ExitOK       = 0 // ended in order
	ExitFailed   = 1 // the program failed
	ExitUsage    = 2 // wrong command line
	ExitSettings = 3 // the settings cannot be read or are invalid
)

// Version is the version of all programs.
const Version = "0.1.0"

// Signals carries the signals of the platform to a running program.
type Signals struct {
	// Stop is closed when the program has to shut down gracefully (SIGTERM, SIGINT). A proxy then
	// calls proxy.Frontend.Shutdown; a core node controlplane.Node.PrepareShutdown,
	// api.Shutdown and Node.Close; a relay api.Shutdown.
	Stop chan struct{}
	// SettingsChanged yields new settings, always valid ones. Settings that are not received
	// before newer ones are dropped.
	SettingsChanged chan *settings.Settings
}

// RunFunc is the body of a program. path is that of the settings file and s its content. It returns
// nil when it has ended in order, after Signals.Stop was closed, and an error when it has failed.
type RunFunc func(path string, s *settings.Settings, log *slog.Logger, signals *Signals) error

// VersionLine returns the line that a program prints for its version: its name, its version and the
// version of Go that it was built with.
func VersionLine(program string) string {
	line := program + " " + Version
	if info, ok := debug.ReadBuildInfo(); ok {
		line += " " + info.GoVersion
	}
	return line
}

// Main reads the command line and the settings, calls run, and returns the exit code for the
// process. program is the name of the program; description completes the sentence "PROGRAM is ...
// of lichentray". Main is called once in a process.
func Main(program, description string, run RunFunc) int {
	caught := catchSignals()
	line := newCommandLine(program, description)
	err := line.parse(os.Args[1:])
	switch {
	case errors.Is(err, flag.ErrHelp):
		line.printUsage(os.Stdout)
		return ExitOK
	case err != nil:
		fmt.Fprintf(os.Stderr, "%s: %v\n\n", program, err)
		line.printUsage(os.Stderr)
		return ExitUsage
	case line.showVersion:
		fmt.Println(VersionLine(program))
		return ExitOK
	}
	path := settings.ResolvePath(line.settingsPath)
	s, text, err := loadSettings(path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return ExitSettings
	}
	log := metrics.NewLogger(s.NodeName, program)
	log.Info("starting", "version", Version)
	if err := runWithSignals(path, text, s, log, caught, run); err != nil {
		log.Error("failed", "error", err)
		return ExitFailed
	}
	log.Info("ended")
	return ExitOK
}

// loadSettings reads and validates the settings file and returns its text as well, with which later
// versions of it are compared.
func loadSettings(path string) (*settings.Settings, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("settings: %w", err)
	}
	s, err := settings.Parse(text)
	if err != nil {
		return nil, nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, text, nil
}

// caughtSignals are the signals of the platform as the runtime delivers them.
type caughtSignals struct {
	terminate, hangup chan os.Signal
}

// catchSignals catches the signals. It comes first in a process: the default action of SIGHUP would
// end it, and the settings may change at any moment after the start.
func catchSignals() caughtSignals {
	c := caughtSignals{
		terminate: make(chan os.Signal, 1),
		hangup:    make(chan os.Signal, 1),
	}
	signal.Notify(c.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(c.hangup, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return c
}

// runWithSignals calls run and serves its Signals until it returns.
//
// The goroutines that serve them are ended but not waited for, as one may be reading the settings
// file from a disk that does not answer, and the process ends next. Signals stay caught for the
// same reason: the default action of a second SIGTERM would change the exit code.
func runWithSignals(path string, text []byte, s *settings.Settings, log *slog.Logger, caught caughtSignals, run RunFunc) error {
	signals := &Signals{
		Stop:            make(chan struct{}),
		SettingsChanged: make(chan *settings.Settings, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-caught.terminate:
			close(signals.Stop)
		case <-ctx.Done():
		}
	}()
	watcher := newSettingsWatcher(path, text, log, signals.SettingsChanged)
	go watcher.run(ctx, s.Bounds.SeedReloadInterval.Duration(), caught.hangup)
	return run(path, s, log, signals)
}

// commandLine is the command line of a program.
type commandLine struct {
	program     string
	description string
	flags       *flag.FlagSet

	settingsPath string
	showVersion  bool
}

func newCommandLine(program, description string) *commandLine {
	c := &commandLine{
		program:     program,
		description: description,
		flags:       flag.NewFlagSet(program, flag.ContinueOnError),
	}
	c.flags.SetOutput(io.Discard) // Main prints errors itself
	c.flags.StringVar(&c.settingsPath, "config", "", "path of the settings file (default $"+settings.EnvPath+" or "+settings.DefaultPath+")")
	c.flags.BoolVar(&c.showVersion, "version", false, "print the version and end")
	return c
}

// parse reads the arguments. It returns flag.ErrHelp if the usage is asked for.
func (c *commandLine) parse(args []string) error {
	if err := c.flags.Parse(args); err != nil {
		return err
	}
	if c.flags.NArg() > 0 {
		return fmt.Errorf("unknown argument %q", c.flags.Arg(0))
	}
	return nil
}

// printUsage prints how the program is used.
func (c *commandLine) printUsage(w io.Writer) {
	fmt.Fprintf(w, "%s is %s of lichentray.\n\nUsage: %s [flags]\n\nFlags:\n", c.program, c.description, c.program)
	c.flags.SetOutput(w)
	c.flags.PrintDefaults()
	fmt.Fprintf(w, "\nSignals: SIGTERM ends it in order, SIGHUP reads the settings again.\nExit codes: 0 ended in order, 1 failed, 2 wrong usage, 3 bad settings.\n")
}
