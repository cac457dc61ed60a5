// Command lichentrayctl is the command-line tool for operators. It validates settings and
// configurations, reads and replaces the configuration, controls evacuations and rollouts, and
// prints the audit log and the state of the control plane.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"lichentray/internal/daemon"
)

// program is the name of the program in its messages.
const program = "lichentrayctl"

// Exit codes. The usage text documents them.
const (
	exitOK             = 0
	exitFailed         = 1
	exitUsage          = 2
	exitInvalid        = 3
	exitOutcomeUnknown = 4
)

const usageText = `lichentrayctl is the operator's command line of lichentray.

Usage:
  lichentrayctl settings check [FILE]     check a settings file
  lichentrayctl config check FILE         check a configuration ("-" is standard input)
  lichentrayctl config read               print the newest configuration
  lichentrayctl config replace FILE       put a configuration in force
  lichentrayctl evac list                 show the zones that are not in ordinary use
  lichentrayctl evac begin ZONE           let nothing more go to a zone's endpoints
  lichentrayctl evac finish ZONE          take a zone back
  lichentrayctl rollout begin SERVICE VERSION TERM
                                          move a service to a version within a time (12s)
  lichentrayctl rollout read SERVICE      show how the newest roll-out stands
  lichentrayctl account                   list what went wrong for the tenants, and the sums
  lichentrayctl status                    show members, leader, revisions, proxies and zones
  lichentrayctl version

Flags, after the command:
  --nodes A,B      control_plane addresses to ask (default: seed_nodes of the settings)
  --config FILE    settings file ($LICHENTRAY_CONFIG or /etc/lichentray/node.toml)
  --timeout D      longest time for the whole command (default 10s)
  --output FORM    text or json (default text)

Flags of "account":
  --tenant T, --request R         only this tenant's, only this request
  --kind K                        late, failed, broken_off, doubled, maybe_doubled, unclear, lost
  --since T, --until T            from and before a time (2026-12-02T09:00:00Z) or so long ago (90m)
  --most N                        the newest N; sums are of all (default 100)

Exit codes:
  0  done
  1  failed: no node could be reached or none could do it; nothing was changed
  2  wrong usage
  3  the settings or the configuration are invalid; nothing was changed
  4  the outcome is not known: the order may or may not be in force
`

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// run executes a command line and returns the exit code.
func run(args []string, in io.Reader, out, errOut io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(errOut, usageText)
		return exitUsage
	}
	switch args[0] {
	case "--help", "-h", "help":
		fmt.Fprint(out, usageText)
		return exitOK
	case "version", "--version":
		fmt.Fprintln(out, daemon.VersionLine(program))
		return exitOK
	}
	c := &cli{in: in, out: out}
	err := c.execute(args)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(out, usageText)
		return exitOK
	}
	code := exitCodeOf(err)
	if c.jsonOutput {
		// If standard output cannot be written, there is no other place to report the error.
		_ = json.NewEncoder(out).Encode(map[string]any{"error": err.Error(), "exit_code": code})
		return code
	}
	fmt.Fprintf(errOut, "%s: %v\n", program, err)
	if code == exitUsage {
		fmt.Fprintf(errOut, "%s: see \"%s --help\"\n", program, program)
	}
	return code
}

// exitError is an error that determines the exit code of the program.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the underlying error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *exitError) Unwrap() error { return e.err }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

// exitCodeOf returns the exit code of an error, or exitFailed if the error has none.
func exitCodeOf(err error) int {
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitFailed
}
