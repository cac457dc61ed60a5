package main

import (
	"slices"
	"strings"
	"testing"
)

func keyOf(declaration string) findingKey {
	return findingKey{rule: "revive/function-length", packageDir: "raft", declaration: declaration}
}

func TestCompareWithExceptions(t *testing.T) {
	one := finding{key: keyOf("Node.Step"), path: "raft/node.go", line: 3}
	two := finding{key: keyOf("Node.Step"), path: "raft/node.go", line: 9}
	other := finding{key: keyOf("Node.Tick"), path: "raft/node.go", line: 20}
	tests := []struct {
		name       string
		findings   []finding
		exceptions []findingKey
		unlisted   []finding
		unused     []findingKey
	}{
		{name: "no findings and no entries"},
		{
			name:       "every finding is listed",
			findings:   []finding{one, other},
			exceptions: []findingKey{keyOf("Node.Tick"), keyOf("Node.Step")},
		},
		{
			name:       "unlisted finding",
			findings:   []finding{one, other},
			exceptions: []findingKey{keyOf("Node.Step")},
			unlisted:   []finding{other},
		},
		{
			name:       "one entry allows one finding",
			findings:   []finding{one, two},
			exceptions: []findingKey{keyOf("Node.Step")},
			unlisted:   []finding{two},
		},
		{
			name:       "entry without a finding",
			findings:   []finding{one},
			exceptions: []findingKey{keyOf("Node.Step"), keyOf("Node.Step"), keyOf("Node.Tick")},
			unused:     []findingKey{keyOf("Node.Step"), keyOf("Node.Tick")},
		},
		{
			name:       "same declaration with another rule or in another package",
			findings:   []finding{one},
			exceptions: []findingKey{{"revive/exported", "raft", "Node.Step"}, {"revive/function-length", "audit", "Node.Step"}},
			unlisted:   []finding{one},
			unused:     []findingKey{{"revive/exported", "raft", "Node.Step"}, {"revive/function-length", "audit", "Node.Step"}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			unlisted, unused := compareWithExceptions(test.findings, test.exceptions)
			if !slices.Equal(unlisted, test.unlisted) {
				t.Errorf("compareWithExceptions: unlisted findings = %v, want %v", unlisted, test.unlisted)
			}
			if !slices.Equal(unused, test.unused) {
				t.Errorf("compareWithExceptions: unused entries = %v, want %v", unused, test.unused)
			}
		})
	}
}

func TestFormattedListAllowsItsFindings(t *testing.T) {
	findings := []finding{
		{key: findingKey{"staticcheck/ST1000", "registry", "package"}},
		{key: keyOf("Node.Step")},
		{key: keyOf("Node.Step")},
		{key: findingKey{"revive/exported", ".", "Version"}},
	}
	text := formatExceptions(findings)
	exceptions, err := parseExceptions(text)
	if err != nil {
		t.Fatal(err)
	}
	if len(exceptions) != len(findings) {
		t.Errorf("parseExceptions returned %d entries, want %d", len(exceptions), len(findings))
	}
	unlisted, unused := compareWithExceptions(findings, exceptions)
	if len(unlisted) != 0 || len(unused) != 0 {
		t.Errorf("compareWithExceptions: unlisted = %v, unused = %v, want none", unlisted, unused)
	}
	if again := formatExceptions(slices.Concat(findings[2:], findings[:2])); again != text {
		t.Errorf("formatExceptions depends on the order of the findings:\n%s\n%s", text, again)
	}
}

func TestParseExceptionsRejectsOtherLines(t *testing.T) {
	for _, text := range []string{"revive/exported raft\n", "# comment\nrevive/exported raft Node 3\n"} {
		if keys, err := parseExceptions(text); err == nil {
			t.Errorf("parseExceptions(%q) = %v, want an error", strings.TrimSpace(text), keys)
		}
	}
}
