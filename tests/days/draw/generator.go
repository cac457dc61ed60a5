package main

import (
	"fmt"
	"math"
	"math/rand"
	"regexp"
	"strings"
)

// Groups of fault kinds that share fields.
var (
	plannedKind = regexp.MustCompile(`^(release|scale_|config_|bad_config|big_config|roll|add_nodes|hup|evacuate)`)
	serverKind  = regexp.MustCompile(`^(srv_|answer_lost|garble|idle_race)`)
	nodeKind    = regexp.MustCompile(`^(node_|core_|disk_|replace_core|clock_step|roll_term)`)
)

// generator generates the entries of a day. The order of its random draws must stay the same, as it
// determines the day that a seed gives.
type generator struct {
	*rand.Rand
	commonText string // the part of the input that applies to all kinds
}

func (g *generator) oneOf(values ...string) string { return values[g.Intn(len(values))] }

func (g *generator) uniform(low, high float64) float64 { return low + g.Float64()*(high-low) }

// chance returns true with the given probability.
func (g *generator) chance(probability float64) bool { return g.Float64() < probability }

// modifiers returns those of the words that the common text contains, each with the given probability.
func (g *generator) modifiers(probability float64, words ...string) []string {
	var drawn []string
	for _, w := range words {
		if strings.Contains(g.commonText, w) && g.chance(probability) {
			drawn = append(drawn, w)
		}
	}
	return drawn
}

// entry generates an entry of a kind and returns it as a TOML inline table.
func (g *generator) entry(k faultKind, at float64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "{ at = %.2f, kind = %q", at, k.name)
	put := func(field string, value float64) { fmt.Fprintf(&b, ", %s = %.3g", field, value) }

	how := g.variant(k)
	isCore := false
	if nodeKind.MatchString(k.name) {
		how = append(how, g.nodeModifiers(k)...)
		isCore = strings.HasPrefix(k.name, "node_") && g.chance(0.5)
	}
	if k.name == "roll_term" {
		how = append(how, g.modifiers(0.3, "busy")...)
	}
	if isCore || (strings.Contains(k.text, "on core") && g.chance(0.6)) {
		b.WriteString(`, on = "core"`)
	}
	if serverKind.MatchString(k.name) {
		how = append(how, g.modifiers(0.2, "across")...)
	}
	switch {
	case isCore:
		put("count", float64(1+g.Intn(2)))
	case k.share > 0:
		put("share", min(1, k.share*g.uniform(0.5, 2)))
	case strings.Contains(k.text, "count"):
		put("count", float64(1+g.Intn(maxCount(k))))
	}
	if k.strength > 0 || strings.Contains(k.text, "x times") || strings.Contains(k.text, "x s (") {
		put("x", g.strength(k))
	}
	if strings.Contains(k.text, "gap_s") {
		put("gap_s", g.uniform(minGapSeconds(k), 1.5))
	}
	if k.name != "config_storm" {
		put("for_s", g.duration(k))
	}
	if len(how) > 0 {
		fmt.Fprintf(&b, ", how = %q", strings.Join(how, " "))
	}
	return b.String() + " }"
}

// variant selects a random variant of a kind, together with the first variant if the description
// combines the two, or none.
func (g *generator) variant(k faultKind) []string {
	if len(k.variants) == 0 || !g.chance(0.75) {
		return nil
	}
	drawn := g.oneOf(k.variants...)
	if strings.Contains(k.text, "+ "+drawn) {
		return []string{k.variants[0], drawn}
	}
	return []string{drawn}
}

// nodeModifiers selects which node a node fault affects, and when.
func (g *generator) nodeModifiers(k faultKind) []string {
	var drawn []string
	if g.chance(0.7) {
		drawn = append(drawn, g.oneOf("leader", "leader", "reader", "seed"))
	}
	drawn = append(drawn, g.modifiers(0.3, "meet", "race", "drain", "hard")...)
	if strings.HasSuffix(k.name, "_cut") {
		drawn = append(drawn, g.modifiers(0.2, "reset", "refuse")...)
	}
	return drawn
}

// strength returns a random strength between half and twice the typical one.
func (g *generator) strength(k faultKind) float64 {
	typical := k.strength
	if typical == 0 {
		typical = 2
	}
	x := max(typical*g.uniform(0.5, 2), 0.01)
	if strings.Contains(k.text, "at a time") {
		x = math.Ceil(x)
	}
	return x
}

// duration returns a random fault duration in seconds. Node faults may outlast a timeout.
func (g *generator) duration(k faultKind) float64 {
	longest := 7.0
	if nodeKind.MatchString(k.name) && g.chance(0.3) {
		longest = 22
	}
	return g.uniform(1, longest)
}

// maxCount returns the largest count for a kind.
func maxCount(k faultKind) int {
	switch {
	case k.name == "config_storm":
		return 250
	case k.name == "config_race":
		return 12
	case strings.Contains(k.text, "routes"):
		return 300
	}
	return 3
}

// minGapSeconds returns the smallest gap between the parts of a fault.
func minGapSeconds(k faultKind) float64 {
	if strings.HasPrefix(k.name, "config_") {
		return 0.05
	}
	return 0.3
}
