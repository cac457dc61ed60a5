// Package daemon provides the common parts of the long-running programs: the command line, the
// settings file, signals and exit codes.
//
// Main calls the RunFunc of a program in the goroutine of its caller. While the RunFunc runs, one
// goroutine waits for SIGTERM and SIGINT, and another reloads the settings file when it changes.
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

// Exit codes of the long-running programs.
const (
	ExitOK       = 0 // graceful shutdown, or help or version printed
	ExitFailed   = 1 // the program failed
	ExitUsage    = 2 // invalid command line
	ExitSettings = 3 // the settings file cannot be read or is invalid
)

// Version is the version of all programs of lichentray.
const Version = "0.1.0"

// Signals notifies a running program of operating system signals and of changed settings.
type Signals struct {
	// Stop is closed when the program must shut down gracefully (SIGTERM, SIGINT). A proxy then
	// calls proxy.Frontend.Shutdown; a core node calls controlplane.Node.PrepareShutdown,
	// api.Shutdown and Node.Close; a relay calls api.Shutdown.
	Stop chan struct{}
	// SettingsChanged receives the new settings after a change of the settings file. They are
	// always valid. Settings not yet received are replaced by newer ones.
	SettingsChanged chan *settings.Settings
}

// RunFunc is the body of a program. path is the path of the settings file, and s holds the settings
// in it. RunFunc returns nil after a graceful shutdown, which begins when Signals.Stop is closed,
// and an error if the program has failed.
type RunFunc func(path string, s *settings.Settings, log *slog.Logger, signals *Signals) error

// VersionLine returns the text that a program prints for --version: the name and version of the
// program, and the Go version that it was built with.
func VersionLine(program string) string {
	line := program + " " + Version
	if info, ok := debug.ReadBuildInfo(); ok {
		line += " " + info.GoVersion
	}
	return line
}

// Main parses the command line, loads the settings, calls run and returns the exit code of the
// process. program is the name of the program; description completes the sentence "PROGRAM is ...
// of lichentray" in the usage text. Main must be called only once in a process.
func Main(program, description string, run RunFunc) int {
	channels := catchSignals()
	cmdLine := newCommandLine(program, description)
	err := cmdLine.parse(os.Args[1:])
	switch {
	case errors.Is(err, flag.ErrHelp):
		cmdLine.printUsage(os.Stdout)
		return ExitOK
	case err != nil:
		fmt.Fprintf(os.Stderr, "%s: %v\n\n", program, err)
		cmdLine.printUsage(os.Stderr)
		return ExitUsage
	case cmdLine.showVersion:
		fmt.Println(VersionLine(program))
		return ExitOK
	}
	path := settings.ResolvePath(cmdLine.settingsPath)
	s, text, err := loadSettings(path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return ExitSettings
	}
	log := metrics.NewLogger(s.NodeName, program)
	log.Info("starting", "version", Version)
	if err := runWithSignals(path, text, s, log, channels, run); err != nil {
		log.Error("failed", "error", err)
		return ExitFailed
	}
	log.Info("ended")
	return ExitOK
}

// loadSettings reads and validates the settings file. It also returns the text of the file, which
// the settings watcher compares with later versions.
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

// signalChannels holds the channels on which the Go runtime delivers operating system signals.
type signalChannels struct {
	terminate, hangup chan os.Signal
}

// catchSignals starts to catch signals. It must be the first action of a process: the settings may
// change, and SIGHUP arrive, at any time after the start, and the default action of SIGHUP would
// terminate the process.
func catchSignals() signalChannels {
	channels := signalChannels{
		terminate: make(chan os.Signal, 1),
		hangup:    make(chan os.Signal, 1),
	}
	signal.Notify(channels.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(channels.hangup, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return channels
}

// runWithSignals calls run and passes signals and changed settings to it until it returns.
//
// It cancels its goroutines but does not wait for them, because one may be blocked while it reads
// the settings file from an unresponsive disk, and the process is about to exit. Signals are still
// caught afterwards, because the default action of a second SIGTERM would change the exit code.
func runWithSignals(path string, text []byte, s *settings.Settings, log *slog.Logger, channels signalChannels, run RunFunc) error {
	signals := &Signals{
		Stop:            make(chan struct{}),
		SettingsChanged: make(chan *settings.Settings, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-channels.terminate:
			close(signals.Stop)
		case <-ctx.Done():
		}
	}()
	watcher := newSettingsWatcher(path, text, log, signals.SettingsChanged)
	go watcher.run(ctx, s.Bounds.SeedReloadInterval.Duration(), channels.hangup)
	return run(path, s, log, signals)
}

// commandLine is the command line of a program, with the values of its flags.
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
	c.flags.SetOutput(io.Discard) // Main prints the errors
	c.flags.StringVar(&c.settingsPath, "config", "", "path of the settings file (default $"+settings.EnvPath+" or "+settings.DefaultPath+")")
	c.flags.BoolVar(&c.showVersion, "version", false, "print the version and exit")
	return c
}

// parse parses the arguments. It returns flag.ErrHelp if they request help.
func (c *commandLine) parse(args []string) error {
	if err := c.flags.Parse(args); err != nil {
		return err
	}
	if c.flags.NArg() > 0 {
		return fmt.Errorf("unknown argument %q", c.flags.Arg(0))
	}
	return nil
}

// printUsage prints the usage text.
func (c *commandLine) printUsage(w io.Writer) {
	fmt.Fprintf(w, "%s is %s of lichentray.\n\nUsage: %s [flags]\n\nFlags:\n", c.program, c.description, c.program)
	c.flags.SetOutput(w)
	c.flags.PrintDefaults()
	fmt.Fprintf(w, "\nSignals: SIGTERM shuts the program down gracefully, SIGHUP reloads the settings.\nExit codes: 0 graceful shutdown, 1 failure, 2 invalid command line, 3 invalid settings.\n")
}
