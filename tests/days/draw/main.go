// Command draw generates a random sequence of overlapping faults, called a day, of all kinds that a
// deployment supports. A fault may be repeated soon after it began:
//
//	fleetbench kinds SITE > kinds.txt
//	go run ./tests/days/draw --kinds kinds.txt --seed 7 > day.toml
//
// The same kinds and seed give the same day. The fault kinds, their variants and typical strengths are
// parsed from the text that fleetbench prints; the program has no knowledge of a deployment.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"os"
	"strings"
)

// options holds the command-line flags.
type options struct {
	kindsPath     string
	seed          int64
	lengthSeconds float64
	maxFaults     int
	excluded      string // fault kinds, separated by commas
}

func main() {
	var o options
	flag.StringVar(&o.kindsPath, "kinds", "", "file with the output of fleetbench kinds")
	flag.Int64Var(&o.seed, "seed", 1, "seed of the random generator")
	flag.Float64Var(&o.lengthSeconds, "length", 30, "seconds of traffic before the closing fault")
	flag.IntVar(&o.maxFaults, "most", 14, "limit on the number of faults, not counting repetitions")
	flag.StringVar(&o.excluded, "not", "", "fault kinds to exclude, separated by commas")
	flag.Parse()
	if err := run(o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run generates a day and writes it as TOML.
func run(o options, out io.Writer) error {
	text, err := os.ReadFile(o.kindsPath)
	if err != nil {
		return err
	}
	var kinds []faultKind
	for _, k := range parseKinds(string(text)) {
		if !strings.Contains(","+o.excluded+",", ","+k.name+",") {
			kinds = append(kinds, k)
		}
	}
	if len(kinds) == 0 {
		return errors.New("draw: no fault kinds to choose from")
	}
	commonText, _, _ := strings.Cut(string(text), "\n\n")
	g := &generator{Rand: rand.New(rand.NewSource(o.seed)), commonText: commonText}
	plan, faults := g.entries(kinds, o)
	g.writeDay(out, o, plan, faults)
	return nil
}

// entries generates the planned changes and the faults of a day.
func (g *generator) entries(kinds []faultKind, o options) (plan, faults []string) {
	add := func(k faultKind, at float64) {
		if e := g.entry(k, at); plannedKind.MatchString(k.name) {
			plan = append(plan, e)
		} else {
			faults = append(faults, e)
		}
	}
	at := g.uniform(1, 4)
	for n := 5 + g.Intn(max(1, o.maxFaults-5)); n > 0 && at < o.lengthSeconds-1; n-- {
		k := kinds[g.Intn(len(kinds))]
		add(k, at)
		if g.chance(0.25) { // repeats it, soon after or during the first one
			add(k, min(at+g.uniform(0.05, 3), o.lengthSeconds-0.5))
		}
		if g.chance(0.6) { // otherwise the next one starts at the same time
			at += g.uniform(0.2, 2*o.lengthSeconds/float64(o.maxFaults))
		}
	}
	return plan, faults
}

// writeDay writes a day with its entries and a closing fault.
func (g *generator) writeDay(out io.Writer, o options, plan, faults []string) {
	how := g.oneOf("", "", "timed", "taken")
	daySeed := 1 + g.Int63n(1<<31)
	closing := g.oneOf("power_off_all", "wipe_after_ack", "kill_all")
	downSeconds := g.uniform(0.3, 2)
	fmt.Fprintf(out, "[[day]]\nname = \"drawn-%d\"\nslot = \"trouble\"\nseed = %d\n", o.seed, daySeed)
	fmt.Fprint(out, "one = 0.95\nzero = 0.4\ngoal = { floor = 0.2 }\n")
	fmt.Fprintf(out, "closing = { kind = %q, down_s = %.2f", closing, downSeconds)
	if how != "" {
		fmt.Fprintf(out, ", how = %q", how)
	}
	fmt.Fprintf(out, " }\nlength_s = %.1f\n", o.lengthSeconds)
	fmt.Fprintf(out, "plan = [\n%s]\nfaults = [\n%s]\n", joinEntries(plan), joinEntries(faults))
}

// joinEntries formats entries as the lines of a TOML array.
func joinEntries(entries []string) string {
	if len(entries) == 0 {
		return ""
	}
	return "  " + strings.Join(entries, ",\n  ") + ",\n"
}
