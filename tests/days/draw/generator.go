package main

import (
	"fmt"
	"math"
	"math/rand"
	"regexp"
	"strings"
)

// Groups of kinds that share fields.
var (
	plannedKind = regexp.MustCompile(`^(release|scale_|config_|bad_config|big_config|roll|add_nodes|hup|evacuate)`)
	serverKind  = regexp.MustCompile(`^(srv_|answer_lost|garble|idle_race)`)
	nodeKind    = regexp.MustCompile(`^(node_|core_|disk_|replace_core|clock_step|roll_term)`)
)

// generator draws the entries of a day. The order of its draws is part of what a seed
// means.
type generator struct {
	*rand.Rand
	commonText string // what the text says of all entries
}

func (g *generator) oneOf(values ...string) string { return values[g.Intn(len(values))] }

func (g *generator) uniform(low, high float64) float64 { return low + g.Float64()*(high-low) }

// chance reports true with a probability.
func (g *generator) chance(probability float64) bool { return g.Float64() < probability }

// modifiers returns those of the words that the text has, each with a probability.
func (g *generator) modifiers(probability float64, words ...string) []string {
	var drawn []string
	for _, w := range words {
		if strings.Contains(g.commonText, w) && g.chance(probability) {
			drawn = append(drawn, w)
		}
	}
	return drawn
}

// entry draws one entry of a kind and returns it as an inline table of TOML.
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

// variant draws a variant of a kind, with the one that it goes with, or none.
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

// nodeModifiers draws which node a fault of a node strikes, and when.
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

// strength draws the strength of a fault around the usual one.
func (g *generator) strength(k faultKind) float64 {
	usual := k.strength
	if usual == 0 {
		usual = 2
	}
	x := max(usual*g.uniform(0.5, 2), 0.01)
	if strings.Contains(k.text, "at a time") {
		x = math.Ceil(x)
	}
	return x
}

// duration draws how many seconds a fault lasts. Faults of nodes may outlast a time-out.
func (g *generator) duration(k faultKind) float64 {
	longest := 7.0
	if nodeKind.MatchString(k.name) && g.chance(0.3) {
		longest = 22
	}
	return g.uniform(1, longest)
}

// maxCount returns the highest count of a kind.
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

// minGapSeconds returns the least gap between the parts of a fault.
func minGapSeconds(k faultKind) float64 {
	if strings.HasPrefix(k.name, "config_") {
		return 0.05
	}
	return 0.3
}
