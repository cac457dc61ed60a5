package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// listHeader is the comment at the top of a list written by formatExceptions.
const listHeader = `# Linter findings that are accepted until the code is revised. One line per
# finding: linter and rule, directory of the package, declaration. tools/lint
# fails on a finding that is not listed here and on an entry without a
# finding. Entries are removed from this file and never added.
`

// A findingKey identifies a finding by its declaration instead of its line, so
// that it stays the same when lines move.
type findingKey struct {
	rule        string // linter and rule, such as "staticcheck/ST1003"
	packageDir  string // relative to the repository root, "." for the root
	declaration string // "Func", "Type.Method", a type, constant or variable, or "package"
}

// String returns the key as a line of the list of exceptions.
func (k findingKey) String() string {
	return k.rule + " " + k.packageDir + " " + k.declaration
}

// A finding is one report of a linter with its key.
type finding struct {
	key     findingKey
	path    string // relative to the repository root
	line    int
	message string
}

// parseExceptions parses a list of exceptions. A key may be listed several times:
// each entry allows one finding.
func parseExceptions(text string) ([]findingKey, error) {
	var keys []findingKey
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Fields(line)
		if len(fields) != 3 {
			return nil, fmt.Errorf("line %d: want rule, package and declaration, got %q", i+1, line)
		}
		keys = append(keys, findingKey{rule: fields[0], packageDir: fields[1], declaration: fields[2]})
	}
	return keys, nil
}

// formatExceptions returns the list that allows exactly the given findings,
// grouped by package.
func formatExceptions(findings []finding) string {
	keys := make([]findingKey, 0, len(findings))
	for _, f := range findings {
		keys = append(keys, f.key)
	}
	slices.SortFunc(keys, func(a, b findingKey) int {
		return cmp.Or(
			strings.Compare(a.packageDir, b.packageDir),
			strings.Compare(a.declaration, b.declaration),
			strings.Compare(a.rule, b.rule))
	})
	var text strings.Builder
	text.WriteString(listHeader)
	group := ""
	for _, key := range keys {
		if key.packageDir != group {
			group = key.packageDir
			fmt.Fprintf(&text, "\n# %s\n", group)
		}
		fmt.Fprintln(&text, key)
	}
	return text.String()
}

// compareWithExceptions returns the findings that no entry allows and the entries without a
// finding. An entry allows one finding with its key.
func compareWithExceptions(findings []finding, exceptions []findingKey) (unlisted []finding, unused []findingKey) {
	allowed := make(map[findingKey]int)
	for _, key := range exceptions {
		allowed[key]++
	}
	for _, f := range findings {
		if allowed[f.key] == 0 {
			unlisted = append(unlisted, f)
			continue
		}
		allowed[f.key]--
	}
	for _, key := range exceptions {
		if allowed[key] > 0 {
			allowed[key]--
			unused = append(unused, key)
		}
	}
	return unlisted, unused
}
