package main

import (
	"regexp"
	"strconv"
	"strings"
)

// faultKind is a kind of fault, parsed from its description.
type faultKind struct {
	name     string
	text     string
	variants []string
	share    float64 // typical value; 0 if the text gives none
	strength float64 // typical value; 0 if the text gives none
}

var (
	kindLine    = regexp.MustCompile(`(?m)^([a-z_]+): (.*)$`)
	variantList = regexp.MustCompile(`how:? ([^;.]*)`)
	parenthesis = regexp.MustCompile(`\([^()]*\)`)
	variantWord = regexp.MustCompile(`^[a-z_]+$`)
)

// parseKinds parses the fault kinds from the output of fleetbench kinds, one per line.
func parseKinds(text string) []faultKind {
	var kinds []faultKind
	for _, m := range kindLine.FindAllStringSubmatch(text, -1) {
		kinds = append(kinds, faultKind{
			name:     m[1],
			text:     m[2],
			variants: parseVariants(m[2]),
			share:    typicalValue(m[2], "share"),
			strength: typicalValue(m[2], " x"),
		})
	}
	return kinds
}

// parseVariants returns the variants named in the description of a kind.
func parseVariants(description string) []string {
	var variants []string
	for _, list := range variantList.FindAllStringSubmatch(removeParentheses(description), -1) {
		for _, part := range strings.Split(list[1], ",") {
			variants = append(variants, parseVariantPart(part, list[1])...)
		}
	}
	return variants
}

// parseVariantPart returns the variants at the start of a list item. The words that follow them are
// prose.
func parseVariantPart(part, list string) []string {
	var variants []string
	for _, word := range strings.Fields(strings.TrimLeft(part, " +")) {
		word = strings.TrimSuffix(word, ":")
		if !variantWord.MatchString(word) || word == "or" || word == "they" {
			break
		}
		variants = append(variants, word)
		if strings.HasSuffix(list, ":") || strings.Contains(list, word+": ") {
			break
		}
	}
	return variants
}

// removeParentheses removes parenthesized text, except for variant lists.
func removeParentheses(description string) string {
	for parenthesis.MatchString(description) {
		description = parenthesis.ReplaceAllStringFunc(description, func(s string) string {
			if i := strings.Index(s, "how:"); i >= 0 {
				return "; " + strings.TrimSuffix(s[i:], ")") + ";"
			}
			return ""
		})
	}
	return description
}

// typicalValue returns the number in parentheses after a field in the description, or 0.
func typicalValue(description, field string) float64 {
	m := regexp.MustCompile(field + ` \((\d*\.?\d+)\)`).FindStringSubmatch(description)
	if m == nil {
		return 0
	}
	v, _ := strconv.ParseFloat(m[1], 64) // the expression matches only numbers
	return v
}
