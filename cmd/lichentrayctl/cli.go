package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"lichentray/audit"
	"lichentray/internal/settings"
)

const defaultTimeout = 10 * time.Second

// cli is the state of one invocation of the program.
type cli struct {
	in  io.Reader
	out io.Writer

	commandName string   // for example "config read"
	args        []string // arguments without the command and the flags

	nodes        []string  // control-plane addresses; if empty, the seed nodes of the settings
	settingsPath string    // if empty, the default path
	deadline     time.Time // of the whole command
	jsonOutput   bool
	account      accountFlags
}

// accountFlags are the flags of the command "account".
type accountFlags struct {
	filter audit.Filter
	since  string
	until  string
}

// commands returns the functions of the commands by command name.
func (c *cli) commands() map[string]func() error {
	return map[string]func() error{
		"settings check": c.checkSettings,
		"config check":   c.checkConfiguration,
		"config read":    c.printConfiguration,
		"config replace": c.replaceConfiguration,
		"evac list":      c.listEvacuations,
		"evac begin":     c.changeEvacuation,
		"evac finish":    c.changeEvacuation,
		"rollout begin":  c.beginRollout,
		"rollout read":   c.printRollout,
		"account":        c.printAccount,
		"status":         c.printStatus,
	}
}

// execute runs the command at the beginning of args, which must not be empty.
func (c *cli) execute(args []string) error {
	commands := c.commands()
	c.commandName = args[0]
	rest := args[1:]
	command := commands[c.commandName]
	if command == nil && len(args) > 1 {
		c.commandName = args[0] + " " + args[1]
		rest = args[2:]
		command = commands[c.commandName]
	}
	if command == nil {
		return exitErrorf(exitUsage, "unknown command %q", strings.Join(args, " "))
	}
	if err := c.parseFlags(rest); err != nil {
		return err
	}
	return command()
}

// parseFlags parses the flags and collects the other arguments.
func (c *cli) parseFlags(args []string) error {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	nodes := fs.String("nodes", "", "")
	fs.StringVar(&c.settingsPath, "config", "", "")
	timeout := fs.Duration("timeout", defaultTimeout, "")
	output := fs.String("output", "text", "")
	if c.commandName == "account" {
		c.account.register(fs)
	}
	for { // flags are accepted before and after other arguments
		if err := fs.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return err
			}
			return exitErrorf(exitUsage, "%v", err)
		}
		if fs.NArg() == 0 {
			break
		}
		c.args = append(c.args, fs.Arg(0))
		args = fs.Args()[1:]
	}
	switch *output {
	case "text":
	case "json":
		c.jsonOutput = true
	default:
		return exitErrorf(exitUsage, "--output must be text or json, not %q", *output)
	}
	if *timeout <= 0 {
		return exitErrorf(exitUsage, "--timeout must be above 0")
	}
	c.deadline = time.Now().Add(*timeout)
	if *nodes != "" {
		c.nodes = strings.Split(*nodes, ",")
	}
	return nil
}

// printResult prints the value as JSON if JSON output is selected, and the text otherwise.
func (c *cli) printResult(text string, value any) error {
	if c.jsonOutput {
		enc := json.NewEncoder(c.out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	_, err := fmt.Fprintln(c.out, text)
	return err
}

// readInput reads the file that is the only argument of the command; "-" is standard input.
func (c *cli) readInput() ([]byte, error) {
	if len(c.args) != 1 {
		return nil, exitErrorf(exitUsage, "%s takes one file", c.commandName)
	}
	if c.args[0] == "-" {
		return io.ReadAll(c.in)
	}
	return os.ReadFile(c.args[0])
}

// client returns a client of the nodes given by the flags or, without the flag, by the settings.
func (c *cli) client() (*client, error) {
	if len(c.nodes) > 0 {
		return &client{nodes: c.nodes, deadline: c.deadline}, nil
	}
	set, err := settings.Load(settings.ResolvePath(c.settingsPath))
	if err != nil {
		return nil, exitErrorf(exitUsage, "--nodes is missing, and the settings cannot be loaded: %v", err)
	}
	return &client{nodes: set.SeedNodes, deadline: c.deadline}, nil
}

// query sends a call that changes nothing to the nodes and returns the body of the response.
func (c *cli) query(call string, body []byte) ([]byte, error) {
	cl, err := c.client()
	if err != nil {
		return nil, err
	}
	return cl.query(call, body)
}

// queryJSON is like query, but decodes the JSON response into the value that response points to.
func (c *cli) queryJSON(call string, body []byte, response any) error {
	text, err := c.query(call, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, response); err != nil {
		return exitErrorf(exitFailed, "the response cannot be decoded: %v", err)
	}
	return nil
}

// submit sends a call that changes something to the nodes and returns the node that acknowledged
// it.
func (c *cli) submit(call string, body []byte) (node string, err error) {
	cl, err := c.client()
	if err != nil {
		return "", err
	}
	return cl.submit(call, body)
}
