package main

import (
	"regexp"
	"strconv"
	"strings"
)

// faultKind is one kind of fault as the text describes it.
type faultKind struct {
	name     string
	text     string
	variants []string
	share    float64 // the usual one; 0 if the text gives none
	strength float64 // the usual one; 0 if the text gives none
}

var (
	kindLine    = regexp.MustCompile(`(?m)^([a-z_]+): (.*)$`)
	variantList = regexp.MustCompile(`how:? ([^;.]*)`)
	parenthesis = regexp.MustCompile(`\([^()]*\)`)
	variantWord = regexp.MustCompile(`^[a-z_]+$`)
)

// parseKinds reads the kinds from what the bench prints, one in a line.
func parseKinds(text string) []faultKind {
	var kinds []faultKind
	for _, m := range kindLine.FindAllStringSubmatch(text, -1) {
		kinds = append(kinds, faultKind{
			name:     m[1],
			text:     m[2],
			variants: parseVariants(m[2]),
			share:    usualValue(m[2], "share"),
			strength: usualValue(m[2], " x"),
		})
	}
	return kinds
}

// parseVariants returns the variants in the description of a kind.
func parseVariants(description string) []string {
	var variants []string
	for _, list := range variantList.FindAllStringSubmatch(removeParentheses(description), -1) {
		for _, part := range strings.Split(list[1], ",") {
			variants = append(variants, parseVariantPart(part, list[1])...)
		}
	}
	return variants
}

// parseVariantPart returns the variants at the beginning of a part of a list. What
// follows them is prose.
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

// removeParentheses removes what stands in parentheses, but for variants.
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

// usualValue returns the number that the description gives in parentheses after a field,
// or 0.
func usualValue(description, field string) float64 {
	m := regexp.MustCompile(field + ` \((\d*\.?\d+)\)`).FindStringSubmatch(description)
	if m == nil {
		return 0
	}
	v, _ := strconv.ParseFloat(m[1], 64) // the expression matches numbers only
	return v
}
