// Draw writes a day of troubles of all kinds that a deployment has, several at
// once, at any moment, the same one twice:
//
//	fleetbench kinds SITE > kinds.txt
//	go run ./tests/days/draw --kinds kinds.txt --seed 7 > day.toml
//
// The same text and seed give the same day. Kinds, their variants and the usual
// strengths are read from the text; nothing here knows a deployment.
package main

import (
	"flag"
	"fmt"
	"math"
	"math/rand"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// faultKind is one trouble as the text tells of it.
type faultKind struct {
	name, text      string
	variants        []string
	share, strength float64 // the usual ones, 0 where the text gives none
}

var (
	kindLine    = regexp.MustCompile(`(?m)^([a-z_]+): (.*)$`)
	variantList = regexp.MustCompile(`how:? ([^;.]*)`)
	parenthesis = regexp.MustCompile(`\([^()]*\)`)
	variantWord = regexp.MustCompile(`^[a-z_]+$`)
	plannedKind = regexp.MustCompile(`^(release|scale_|config_|bad_config|big_config|roll|add_nodes|hup|evacuate)`)
	serverKind  = regexp.MustCompile(`^(srv_|answer_lost|garble|idle_race)`)
	nodeKind    = regexp.MustCompile(`^(node_|core_|disk_|replace_core|clock_step|roll_term)`)
)

// parseKinds reads what the bench prints.
func parseKinds(text string) (out []faultKind) {
	for _, m := range kindLine.FindAllStringSubmatch(text, -1) {
		k := faultKind{name: m[1], text: m[2], share: usualValue(m[2], "share"), strength: usualValue(m[2], " x")}
		flat := m[2]
		for parenthesis.MatchString(flat) { // a variant that stands in brackets is kept
			flat = parenthesis.ReplaceAllStringFunc(flat, func(s string) string {
				if i := strings.Index(s, "how:"); i >= 0 {
					return "; " + strings.TrimSuffix(s[i:], ")") + ";"
				}
				return ""
			})
		}
		for _, v := range variantList.FindAllStringSubmatch(flat, -1) {
			for _, part := range strings.Split(v[1], ",") {
				for _, w := range strings.Fields(strings.TrimLeft(part, " +")) {
					if w = strings.TrimSuffix(w, ":"); !variantWord.MatchString(w) || w == "or" || w == "they" {
						break // prose from here on
					}
					k.variants = append(k.variants, w)
					if strings.HasSuffix(v[1], ":") || strings.Contains(v[1], w+": ") {
						break
					}
				}
			}
		}
		out = append(out, k)
	}
	return out
}

func usualValue(text, field string) float64 {
	m := regexp.MustCompile(field + ` \((\d*\.?\d+)\)`).FindStringSubmatch(text)
	if m == nil {
		return 0
	}
	v, _ := strconv.ParseFloat(m[1], 64)
	return v
}

type generator struct {
	*rand.Rand
	commonText    string // what the text says of all entries
	lengthSeconds float64
}

func (d *generator) oneOf(of ...string) string { return of[d.Intn(len(of))] }

func (d *generator) uniform(least, most float64) float64 { return least + d.Float64()*(most-least) }

// modifiers are those of the words that the text knows, each at the odds.
func (d *generator) modifiers(odds float64, words ...string) (out []string) {
	for _, w := range words {
		if strings.Contains(d.commonText, w) && d.Float64() < odds {
			out = append(out, w)
		}
	}
	return out
}

// kindLine writes one entry.
func (d *generator) entry(k faultKind, at float64) string {
	var hows []string
	if len(k.variants) > 0 && d.Float64() < 0.75 {
		how := d.oneOf(k.variants...)
		if strings.Contains(k.text, "+ "+how) { // goes with another one
			hows = append(hows, k.variants[0])
		}
		hows = append(hows, how)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "{ at = %.2f, kind = %q", at, k.name)
	put := func(field string, v float64) { fmt.Fprintf(&b, ", %s = %.3g", field, v) }
	core := false
	if nodeKind.MatchString(k.name) {
		if d.Float64() < 0.7 {
			hows = append(hows, d.oneOf("leader", "leader", "reader", "seed"))
		}
		hows = append(hows, d.modifiers(0.3, "meet", "race", "drain", "hard")...)
		if strings.HasSuffix(k.name, "_cut") {
			hows = append(hows, d.modifiers(0.2, "reset", "refuse")...)
		}
		core = strings.HasPrefix(k.name, "node_") && d.Float64() < 0.5
	}
	if k.name == "roll_term" {
		hows = append(hows, d.modifiers(0.3, "busy")...)
	}
	if core || (strings.Contains(k.text, "on core") && d.Float64() < 0.6) {
		b.WriteString(`, on = "core"`)
	}
	if serverKind.MatchString(k.name) {
		hows = append(hows, d.modifiers(0.2, "across")...)
	}
	if core {
		put("count", float64(1+d.Intn(2)))
	} else if k.share > 0 {
		put("share", min(1, k.share*d.uniform(0.5, 2)))
	} else if strings.Contains(k.text, "count") {
		most := 3
		switch {
		case k.name == "config_storm":
			most = 250
		case k.name == "config_race":
			most = 12
		case strings.Contains(k.text, "routes"):
			most = 300
		}
		put("count", float64(1+d.Intn(most)))
	}
	if k.strength > 0 || strings.Contains(k.text, "x times") || strings.Contains(k.text, "x s (") {
		x := k.strength
		if x == 0 {
			x = 2
		}
		x = max(x*d.uniform(0.5, 2), 0.01)
		if strings.Contains(k.text, "at a time") {
			x = math.Ceil(x)
		}
		put("x", x)
	}
	if strings.Contains(k.text, "gap_s") {
		least := 0.3
		if strings.HasPrefix(k.name, "config_") {
			least = 0.05
		}
		put("gap_s", d.uniform(least, 1.5))
	}
	if k.name != "config_storm" {
		long := 7.0
		if nodeKind.MatchString(k.name) && d.Float64() < 0.3 {
			long = 22
		}
		put("for_s", d.uniform(1, long))
	}
	if len(hows) > 0 {
		fmt.Fprintf(&b, ", how = %q", strings.Join(hows, " "))
	}
	return b.String() + " }"
}

func main() {
	file := flag.String("kinds", "", "what fleetbench kinds printed")
	seed := flag.Int64("seed", 1, "of the day")
	length := flag.Float64("length", 30, "seconds of traffic before the closing fault")
	most := flag.Int("most", 14, "troubles in a day")
	not := flag.String("not", "", "kinds to leave out, with commas")
	flag.Parse()
	text, err := os.ReadFile(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	general, _, _ := strings.Cut(string(text), "\n\n")
	d := &generator{Rand: rand.New(rand.NewSource(*seed)), commonText: general, lengthSeconds: *length}
	var all []faultKind
	for _, k := range parseKinds(string(text)) {
		if !strings.Contains(","+*not+",", ","+k.name+",") {
			all = append(all, k)
		}
	}
	if len(all) == 0 {
		fmt.Fprintln(os.Stderr, "draw: no kinds")
		os.Exit(1)
	}
	var plan, faults []string
	add := func(k faultKind, at float64) {
		if e := d.entry(k, at); plannedKind.MatchString(k.name) {
			plan = append(plan, e)
		} else {
			faults = append(faults, e)
		}
	}
	at := d.uniform(1, 4)
	for n := 5 + d.Intn(max(1, *most-5)); n > 0 && at < *length-1; n-- {
		k := all[d.Intn(len(all))]
		add(k, at)
		if d.Float64() < 0.25 { // the same once more, soon after or inside
			add(k, min(at+d.uniform(0.05, 3), *length-0.5))
		}
		if d.Float64() < 0.6 { // else at the same time as the next
			at += d.uniform(0.2, 2**length/float64(*most))
		}
	}
	how := d.oneOf("", "", "timed", "taken")
	fmt.Printf("[[day]]\nname = \"drawn-%d\"\nslot = \"trouble\"\nseed = %d\none = 0.95\nzero = 0.4\ngoal = { floor = 0.2 }\n",
		*seed, 1+d.Int63n(1<<31))
	fmt.Printf("closing = { kind = %q, down_s = %.2f", d.oneOf("power_off_all", "wipe_after_ack", "kill_all"), d.uniform(0.3, 2))
	if how != "" {
		fmt.Printf(", how = %q", how)
	}
	fmt.Printf(" }\nlength_s = %.1f\n", *length)
	fmt.Printf("plan = [\n%s]\nfaults = [\n%s]\n", joinEntries(plan), joinEntries(faults))
}

func joinEntries(of []string) string {
	if len(of) == 0 {
		return ""
	}
	return "  " + strings.Join(of, ",\n  ") + ",\n"
}
