// Command lichentrayctl is the operator's command line: it checks settings and
// configurations, reads and replaces the configuration, and shows the state of
// the control plane.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/url"
	"os"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/audit"
	"lichentray/config"
	"lichentray/internal/controlplane"
	"lichentray/internal/daemon"
	"lichentray/internal/settings"
)

// Exit codes.
const (
	exitOK             = 0
	exitFailed         = 1
	exitUsage          = 2
	exitInvalid        = 3
	exitOutcomeUnknown = 4
)

const usageText = `gauge is the operator's command line of lichentray.

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

// exitError is an error with its exit code.
type exitError struct {
	code int
	err  error
}

func (f *exitError) Error() string { return f.err.Error() }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

type cli struct {
	out          io.Writer
	nodes        []string
	settingsPath string
	deadline     time.Time
	jsonOutput   bool
	args         []string
	commandName  string
	filter       audit.Filter
	sinceFlag    string
	untilFlag    string
}

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

func run(args []string, in io.Reader, out, errs io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(errs, usageText)
		return exitUsage
	}
	if args[0] == "--help" || args[0] == "-h" || args[0] == "help" {
		fmt.Fprint(out, usageText)
		return exitOK
	}
	if args[0] == "version" || args[0] == "--version" {
		fmt.Fprintln(out, daemon.VersionLine("lichentrayctl"))
		return exitOK
	}
	t := &cli{out: out}
	err := t.execute(args, in)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(out, usageText)
		return exitOK
	}
	if err == nil {
		return exitOK
	}
	code := exitFailed
	var f *exitError
	if errors.As(err, &f) {
		code = f.code
	}
	if t.jsonOutput {
		_ = json.NewEncoder(out).Encode(map[string]any{"error": err.Error(), "exit_code": code}) // standard output gone is told by nobody
	} else {
		fmt.Fprintf(errs, "gauge: %v\n", err)
		if code == exitUsage {
			fmt.Fprintln(errs, `gauge: see "gauge --help"`)
		}
	}
	return code
}

func (t *cli) execute(args []string, in io.Reader) error {
	commands := map[string]func(io.Reader) error{
		"settings check": t.checkSettings, "config check": t.checkConfiguration, "config read": t.printConfiguration,
		"config replace": t.replaceConfiguration, "status": t.printStatus,
		"evac list": t.listEvacuations, "evac begin": t.changeEvacuation, "evac finish": t.changeEvacuation,
		"rollout begin": t.beginRollout, "rollout read": t.printRollout, "account": t.printAccount,
	}
	do := commands[args[0]]
	t.commandName = args[0]
	rest := args[1:]
	if do == nil && len(args) > 1 {
		t.commandName = args[0] + " " + args[1]
		do, rest = commands[t.commandName], args[2:]
	}
	if do == nil {
		return exitErrorf(exitUsage, "no command %q", strings.Join(args, " "))
	}
	fs := flag.NewFlagSet("lichentrayctl", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	nodes := fs.String("nodes", "", "")
	fs.StringVar(&t.settingsPath, "config", "", "")
	timeout := fs.Duration("timeout", 10*time.Second, "")
	form := fs.String("output", "text", "")
	if t.commandName == "account" {
		fs.StringVar(&t.filter.Tenant, "tenant", "", "")
		fs.StringVar(&t.filter.Request, "request", "", "")
		fs.StringVar((*string)(&t.filter.Kind), "kind", "", "")
		fs.StringVar(&t.sinceFlag, "since", "", "")
		fs.StringVar(&t.untilFlag, "until", "", "")
		fs.IntVar(&t.filter.Limit, "most", 100, "")
	}
	for { // flags may stand before and after the file
		if err := fs.Parse(rest); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return err
			}
			return exitErrorf(exitUsage, "%v", err)
		}
		if fs.NArg() == 0 {
			break
		}
		t.args = append(t.args, fs.Arg(0))
		rest = fs.Args()[1:]
	}
	switch *form {
	case "text":
	case "json":
		t.jsonOutput = true
	default:
		return exitErrorf(exitUsage, "--output is text or json, not %q", *form)
	}
	if *timeout <= 0 {
		return exitErrorf(exitUsage, "--timeout must be above 0")
	}
	t.deadline = time.Now().Add(*timeout)
	if *nodes != "" {
		t.nodes = strings.Split(*nodes, ",")
	}
	return do(in)
}

func (t *cli) printResult(text string, value any) error {
	if t.jsonOutput {
		enc := json.NewEncoder(t.out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	_, err := fmt.Fprintln(t.out, text)
	return err
}

func (t *cli) checkSettings(io.Reader) error {
	path := settings.ResolvePath(t.settingsPath)
	if len(t.args) > 1 {
		return exitErrorf(exitUsage, "settings check takes one file")
	}
	if len(t.args) == 1 {
		path = t.args[0]
	}
	s, err := settings.Load(path)
	if err != nil {
		return exitErrorf(exitInvalid, "%v", err)
	}
	return t.printResult(fmt.Sprintf("%s: valid, node %s in zone %s", path, s.NodeName, s.Zone),
		map[string]any{"valid": true, "file": path, "node_name": s.NodeName, "zone": s.Zone, "serves": s.Serves})
}

func (t *cli) readInput(in io.Reader) ([]byte, error) {
	if len(t.args) != 1 {
		return nil, exitErrorf(exitUsage, "%s takes one file", t.commandName)
	}
	if t.args[0] == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(t.args[0])
}

func (t *cli) loadConfiguration(in io.Reader) ([]byte, *config.Configuration, error) {
	text, err := t.readInput(in)
	if err != nil {
		return nil, nil, err
	}
	c, err := config.Parse(text)
	if err != nil {
		return nil, nil, exitErrorf(exitInvalid, "configuration: %v", err)
	}
	return text, c, nil
}

func describeConfiguration(c *config.Configuration) (string, map[string]any) {
	n := 0
	for _, l := range c.Listeners {
		n += len(l.Rules)
	}
	return fmt.Sprintf("version %d, %d routes on %d hosts, %d services", c.Version, n, len(c.Listeners), len(c.Clusters)),
		map[string]any{"config_version": c.Version, "routes": n, "hosts": len(c.Listeners), "services": len(c.Clusters)}
}

func (t *cli) checkConfiguration(in io.Reader) error {
	_, c, err := t.loadConfiguration(in)
	if err != nil {
		return err
	}
	text, m := describeConfiguration(c)
	m["valid"] = true
	return t.printResult("valid: "+text, m)
}

// nodeAddresses lists the nodes to ask.
func (t *cli) nodeAddresses() ([]string, error) {
	if len(t.nodes) > 0 {
		return t.nodes, nil
	}
	s, err := settings.Load(settings.ResolvePath(t.settingsPath))
	if err != nil {
		return nil, exitErrorf(exitUsage, "no --nodes given, and the settings do not help: %v", err)
	}
	return s.SeedNodes, nil
}

// call asks one node, and where that sends a large call on, the node it names. sent
// tells whether a node may have got the call.
func (t *cli) call(node, method, path string, body []byte) (status int, answer []byte, sent bool, err error) {
	for range 3 {
		var to string
		if status, answer, to, sent, err = t.callNode("http://"+node+path, node, method, body); status != fasthttp.StatusTemporaryRedirect {
			break
		}
		at, err := url.Parse(to)
		if err != nil || at.Host == "" {
			return status, answer, sent, fmt.Errorf("%s sends on to %q, which is no address", node, to)
		}
		node, path = at.Host, at.RequestURI()
	}
	return status, answer, sent, err
}

func (t *cli) callNode(uri, node, method string, body []byte) (status int, answer []byte, to string, sent bool, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(uri)
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	req.SetConnectionClose()
	dialled := false
	c := fasthttp.HostClient{Addr: node, MaxIdemponentCallAttempts: 1, Dial: func(addr string) (conn net.Conn, err error) {
		conn, err = fasthttp.DialTimeout(addr, max(time.Millisecond, min(2*time.Second, time.Until(t.deadline))))
		dialled = err == nil
		return conn, err
	}}
	// One node gets a part of the time, so that another can be asked.
	if err := c.DoTimeout(req, resp, max(time.Millisecond, min(3*time.Second, time.Until(t.deadline)))); err != nil {
		return 0, nil, "", dialled, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), string(resp.Header.Peek("Location")), true, nil
}

// query asks one node after the other until one answers.
func (t *cli) query(call string, body []byte) ([]byte, error) {
	nodes, err := t.nodeAddresses()
	if err != nil {
		return nil, err
	}
	var last error
	for time.Now().Before(t.deadline) {
		for _, n := range nodes {
			status, answer, _, err := t.call(n, "POST", "/api/rpc?call="+call, body)
			switch {
			case err != nil:
				last = fmt.Errorf("%s: %w", n, err)
			case status == 200:
				return answer, nil
			case status == 404:
				return nil, exitErrorf(exitFailed, "%s has none: %s", n, answer)
			case status == 400:
				return nil, exitErrorf(exitUsage, "%s refused it: %s", n, answer)
			default:
				last = fmt.Errorf("%s answered %d: %s", n, status, answer)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, exitErrorf(exitFailed, "no node answered %s: %v", call, last)
}

// submit sends an order to one node after the other until one acknowledges it.
func (t *cli) submit(call string, body []byte) (node string, err error) {
	nodes, err := t.nodeAddresses()
	if err != nil {
		return "", err
	}
	var last error
	unclear := false
	for time.Now().Before(t.deadline) {
		for _, n := range nodes {
			status, answer, sent, err := t.call(n, "POST", "/api/rpc?call="+call, body)
			switch {
			case err != nil:
				unclear = unclear || sent
				last = fmt.Errorf("%s: %w", n, err)
			case status == 200:
				return n, nil
			case status >= 400 && status < 500 && status != 408 && status != 429:
				return "", exitErrorf(exitInvalid, "%s refused it with %d: %s", n, status, answer)
			default:
				unclear = unclear || status != 503 && status != 429
				last = fmt.Errorf("%s answered %d: %s", n, status, answer)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	if unclear {
		return "", exitErrorf(exitOutcomeUnknown, "no clear answer, the order may or may not be in force: %v", last)
	}
	return "", exitErrorf(exitFailed, "no node took the order: %v", last)
}

func (t *cli) printConfiguration(io.Reader) error {
	body, err := t.query("configuration.read", []byte{})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(t.out, string(body))
	return err
}

func (t *cli) listEvacuations(io.Reader) error {
	body, err := t.query("evacuations.read", []byte{})
	if err != nil {
		return err
	}
	var a struct {
		Zones map[string]string `json:"zones"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return exitErrorf(exitFailed, "the answer cannot be read: %v", err)
	}
	lines := []string{}
	for zone, state := range a.Zones {
		lines = append(lines, zone+"  "+state)
	}
	sort.Strings(lines)
	if len(lines) == 0 {
		lines = append(lines, "all zones are in ordinary use")
	}
	return t.printResult(strings.Join(lines, "\n"), a)
}

func (t *cli) changeEvacuation(io.Reader) error {
	if len(t.args) != 1 {
		return exitErrorf(exitUsage, "%s takes one zone", t.commandName)
	}
	call := "evacuations." + strings.TrimPrefix(t.commandName, "evac ") + "&of=" + url.QueryEscape(t.args[0])
	n, err := t.submit(call, []byte{})
	if err != nil {
		return err
	}
	return t.printResult("acknowledged by "+n+": "+t.commandName+" "+t.args[0], map[string]any{"acknowledged": true, "node": n, "zone": t.args[0]})
}

// parseTimeOrAge reads a time, or how long ago it was.
func parseTimeOrAge(flag, s string) (int64, error) {
	if s == "" {
		return 0, nil
	}
	if ago, err := time.ParseDuration(s); err == nil && ago >= 0 {
		return time.Now().Add(-ago).UnixMilli(), nil
	}
	at, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return 0, exitErrorf(exitUsage, "--%s: %q is neither a time such as 2026-12-02T09:00:00Z nor a span such as 90m", flag, s)
	}
	return at.UnixMilli(), nil
}

func (t *cli) printAccount(io.Reader) error {
	if len(t.args) > 0 {
		return exitErrorf(exitUsage, "account takes flags only, not %q", t.args[0])
	}
	f := &t.filter
	var err error
	if f.SinceMS, err = parseTimeOrAge("since", t.sinceFlag); err != nil {
		return err
	}
	if f.UntilMS, err = parseTimeOrAge("until", t.untilFlag); err != nil {
		return err
	}
	switch {
	case f.Kind != "" && !slices.Contains(audit.FailureKinds(), f.Kind):
		return exitErrorf(exitUsage, "--kind: %q is none of %v", f.Kind, audit.FailureKinds())
	case f.UntilMS > 0 && f.UntilMS <= f.SinceMS:
		return exitErrorf(exitUsage, "--until: not after --since")
	case f.Limit < 0:
		return exitErrorf(exitUsage, "--most: below 0")
	}
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	if body, err = t.query("accounts.read", body); err != nil {
		return err
	}
	var a audit.QueryResult
	if err := json.Unmarshal(body, &a); err != nil {
		return exitErrorf(exitFailed, "the answer cannot be read: %v", err)
	}
	if t.jsonOutput {
		return t.printResult("", a)
	}
	w := tabwriter.NewWriter(t.out, 2, 4, 2, ' ', 0)
	fmt.Fprintln(w, "WHEN\tTENANT\tKIND\tREQUEST\tROUTE\tTRIES")
	for _, x := range a.Failures {
		var tries []string
		for _, y := range x.Attempts {
			tries = append(tries, fmt.Sprintf("%s at %s (%d, %d ms)", y.Kind, y.Node, y.Status, y.TookMS))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", time.UnixMilli(x.AtMS).UTC().Format(time.RFC3339Nano), x.Tenant, x.Kind, x.Request, x.Attempts[0].Route, strings.Join(tries, ", "))
	}
	fmt.Fprintln(w, "\nTENANT\tKIND\tNUMBER")
	for _, tenant := range slices.Sorted(maps.Keys(a.Counts)) {
		for _, kind := range slices.Sorted(maps.Keys(a.Counts[tenant])) {
			fmt.Fprintf(w, "%s\t%s\t%d\n", tenant, kind, a.Counts[tenant][kind])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(a.Gaps)) {
		g := a.Gaps[id]
		if g.Gap {
			fmt.Fprintf(w, "\nGAP: %s (%s) ended unseen, up to %d requests are missing", id, g.Node, g.MayMiss)
		}
		if g.Dropped > 0 {
			fmt.Fprintf(w, "\nGAP: %s (%s) dropped %d records for its bound", id, g.Node, g.Dropped)
		}
	}
	for _, tenant := range slices.Sorted(maps.Keys(a.Dropped)) {
		fmt.Fprintf(w, "\nDROPPED: %d entries of %s for the account's bound", a.Dropped[tenant], tenant)
	}
	if len(a.Gaps)+len(a.Dropped) == 0 {
		fmt.Fprint(w, "\nnothing is missing")
	}
	fmt.Fprintln(w)
	return w.Flush()
}

func (t *cli) beginRollout(io.Reader) error {
	if len(t.args) != 3 {
		return exitErrorf(exitUsage, "rollout begin takes a service, a version and a time")
	}
	term, err := time.ParseDuration(t.args[2])
	if err != nil || term <= 0 {
		return exitErrorf(exitUsage, "%q is no time above 0, such as 12s", t.args[2])
	}
	body, err := json.Marshal(map[string]any{"backend_service": t.args[0], "target_version": t.args[1], "deadline_s": term.Seconds()})
	if err != nil {
		return err
	}
	n, err := t.submit("rollouts.begin", body)
	if err != nil {
		return err
	}
	return t.printResult(fmt.Sprintf("acknowledged by %s: %s moves to %s", n, t.args[0], t.args[1]),
		map[string]any{"acknowledged": true, "node": n, "backend_service": t.args[0], "target_version": t.args[1]})
}

func (t *cli) printRollout(io.Reader) error {
	if len(t.args) != 1 {
		return exitErrorf(exitUsage, "rollout read takes one service")
	}
	body, err := t.query("rollouts.read&of="+url.QueryEscape(t.args[0]), []byte{})
	if err != nil {
		return err
	}
	var a struct {
		State  string  `json:"state"`
		Target string  `json:"target_version"`
		Base   string  `json:"base_version"`
		Share  float64 `json:"share"`
		Why    string  `json:"why,omitempty"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return exitErrorf(exitFailed, "the answer cannot be read: %v", err)
	}
	text := fmt.Sprintf("%s: %s to %s, in use %s, share of the new one %g", t.args[0], a.State, a.Target, a.Base, a.Share)
	if a.Why != "" {
		text += "\n" + a.Why
	}
	return t.printResult(text, a)
}

func (t *cli) replaceConfiguration(in io.Reader) error {
	text, c, err := t.loadConfiguration(in)
	if err != nil {
		return err
	}
	n, err := t.submit("configuration.replace", text)
	if err != nil {
		return err
	}
	what, m := describeConfiguration(c)
	m["acknowledged"], m["node"] = true, n
	return t.printResult("acknowledged by "+n+": "+what+"\n(a version that is not above the one held changes nothing)", m)
}

func (t *cli) printStatus(io.Reader) error {
	nodes, err := t.nodeAddresses()
	if err != nil {
		return err
	}
	asked := map[string]bool{}
	var all []controlplane.Status
	type unheard struct {
		Node  string `json:"control_plane"`
		Error string `json:"error"`
	}
	var missing []unheard
	for len(nodes) > 0 {
		n := nodes[0]
		nodes = nodes[1:]
		if asked[n] {
			continue
		}
		asked[n] = true
		code, body, _, err := t.call(n, "GET", "/api/status", nil)
		var s controlplane.Status
		if err == nil && code == 200 {
			err = json.Unmarshal(body, &s)
		} else if err == nil {
			err = fmt.Errorf("answered %d", code)
		}
		if err != nil {
			missing = append(missing, unheard{n, err.Error()})
			continue
		}
		all = append(all, s)
		for _, m := range s.Members {
			nodes = append(nodes, m.API)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Node < all[j].Node })
	if len(all) == 0 {
		return exitErrorf(exitFailed, "no node answered: %v", missing)
	}
	if t.jsonOutput {
		return t.printResult("", map[string]any{"nodes": all, "unheard": missing})
	}
	w := tabwriter.NewWriter(t.out, 2, 4, 2, ' ', 0)
	var lead *controlplane.Status
	newest := uint64(0)
	for i := range all {
		newest = max(newest, all[i].Revision)
		if all[i].Role == "leader" && (lead == nil || all[i].Term > lead.Term) {
			lead = &all[i]
		}
	}
	fmt.Fprintln(w, "NODE\tMEMBER\tROLE\tTERM\tIN TOUCH\tCOMMIT\tDURABLE\tREVISION\tLAG\tCONFIG\tENDPOINTS\tDRAINING\tPROXIES")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Node, s.ID, s.Role, s.Term, s.IsUpToDate, s.CommitIndex, s.DurableIndex, s.Revision, newest-s.Revision, s.ConfigVersion, s.Endpoints, s.Draining, len(s.Proxies))
	}
	if lead == nil {
		fmt.Fprintln(w, "\nno leader was found")
	} else {
		fmt.Fprintln(w, "\nMEMBER\tINTERNAL ADDRESS\tZONE\tVOTES\tMATCH\tHEARD")
		for _, m := range lead.Members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d ms ago\n", m.ID, m.Addr, m.Zone, m.IsVoter, m.MatchIndex, m.LastContactMS)
		}
		fmt.Fprintf(w, "\nendpoints: %d cold, %d that all proxies together find ill\n", lead.WarmingUp, lead.Unhealthy)
		for zone, state := range lead.Zones {
			fmt.Fprintf(w, "zone %s: %s\n", zone, state)
		}
		for _, name := range slices.Sorted(maps.Keys(lead.Services)) {
			x := lead.Services[name]
			fmt.Fprintf(w, "service %s: in use %s, endpoints by version %v", name, x.Rollout.Base, x.Endpoints)
			if x.Rollout.State != "" {
				fmt.Fprintf(w, "; to %s: %s", x.Rollout.Target, x.Rollout.State)
			}
			fmt.Fprintln(w)
		}
		if len(lead.Registered) > 0 {
			fmt.Fprintln(w, "\nIN THE DIRECTORY\tADDRESS\tZONE\tWEIGHT\tLEAVING")
			for _, p := range lead.Registered {
				fmt.Fprintf(w, "%s\t%s\t%s\t%g\t%v\n", p.Name, p.Address, p.Zone, p.Weight, p.Leaving)
			}
		}
	}
	fmt.Fprintln(w, "\nPROXY\tWATCHES AT\tREVISION")
	for _, s := range all {
		for _, p := range s.Proxies {
			fmt.Fprintf(w, "%s\t%s\t%d\n", p.Node, s.Node, p.Revision)
		}
	}
	for _, m := range missing {
		fmt.Fprintf(w, "\n%s does not answer: %s\n", m.Node, m.Error)
	}
	return w.Flush()
}
