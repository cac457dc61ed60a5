package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
)

func TestParseStaticcheck(t *testing.T) {
	output := `{"code":"ST1020","severity":"error","location":{"file":"/r/raft/node.go","line":68,"column":1},"end":{"file":"/r/raft/node.go","line":68,"column":76},"message":"comment on ID"}
{"code":"SA4018","severity":"error","location":{"file":"/r/config/read.go","line":256,"column":3},"end":{"file":"","line":0,"column":0},"message":"self-assignment"}
`
	reports, err := parseStaticcheck([]byte(output))
	if err != nil {
		t.Fatal(err)
	}
	want := []report{
		{"staticcheck/ST1020", "/r/raft/node.go", 68, "comment on ID"},
		{"staticcheck/SA4018", "/r/config/read.go", 256, "self-assignment"},
	}
	if !slices.Equal(reports, want) {
		t.Errorf("reports = %v, want %v", reports, want)
	}
}

func TestParseStaticcheckFailsOnOtherOutput(t *testing.T) {
	for name, output := range map[string]string{
		"package that does not compile": `{"code":"compile","location":{"file":"/r/a.go","line":1},"message":"undefined: x"}`,
		"unreadable configuration":      `{"code":"config","location":{"file":"/r/staticcheck.conf","line":1},"message":"bad"}`,
		"other text":                    `matched no packages`,
	} {
		if reports, err := parseStaticcheck([]byte(output)); err == nil {
			t.Errorf("parseStaticcheck of %s = %v, want an error", name, reports)
		}
	}
}

func TestParseRevive(t *testing.T) {
	output := `[{"Severity":"error","Failure":"too long","RuleName":"function-length","Category":"","Position":{"Start":{"Filename":"raft/node.go","Offset":1,"Line":7,"Column":1},"End":{"Filename":"raft/node.go","Offset":9,"Line":99,"Column":2}},"Confidence":1}]`
	reports, err := parseRevive([]byte(output))
	if err != nil {
		t.Fatal(err)
	}
	want := []report{{"revive/function-length", "raft/node.go", 7, "too long"}}
	if !slices.Equal(reports, want) {
		t.Errorf("reports = %v, want %v", reports, want)
	}
	if reports, err := parseRevive([]byte("null")); err != nil || len(reports) != 0 {
		t.Errorf("parseRevive(null) = %v, %v, want no reports", reports, err)
	}
	if reports, err := parseRevive([]byte("cannot read the config file")); err == nil {
		t.Errorf("parseRevive of other text = %v, want an error", reports)
	}
}

func TestWithAbsolutePaths(t *testing.T) {
	got := withAbsolutePaths("/r/tools", []report{{path: "lintcheck/main.go"}, {path: "/r/raft/node.go"}})
	want := []report{{path: "/r/tools/lintcheck/main.go"}, {path: "/r/raft/node.go"}}
	if !slices.Equal(got, want) {
		t.Errorf("withAbsolutePaths = %v, want %v", got, want)
	}
}

func TestRunCommand(t *testing.T) {
	tests := []struct {
		name   string
		script string
		output string
		fails  bool
	}{
		{name: "success", script: "echo fine", output: "fine\n"},
		{name: "linter with findings", script: "echo '[]'; exit 1", output: "[]\n"},
		{name: "failure without output", script: "exit 1", fails: true},
		{name: "another exit code", script: "echo '[]'; exit 2", fails: true},
		{name: "findings and an error message", script: "echo '[]'; echo broken >&2; exit 1", fails: true},
		{name: "error message only", script: "echo broken >&2", fails: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			output, err := runCommand(t.TempDir(), "bash", "-c", test.script)
			if (err != nil) != test.fails || string(output) != test.output {
				t.Errorf("runCommand = %q, %v, want %q, error: %v", output, err, test.output, test.fails)
			}
		})
	}
}

func TestCheckFormat(t *testing.T) {
	if _, err := exec.LookPath("gofmt"); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		source string
		fails  bool
	}{
		{name: "formatted", source: "package p\n\nvar s = [][]int{{1}}\n"},
		{name: "not formatted", source: "package p\nvar  s = 1\n", fails: true},
		{name: "not simplified", source: "package p\n\nvar s = [][]int{[]int{1}}\n", fails: true},
		{name: "not Go", source: "package\n", fails: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, "p.go"), []byte(test.source), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := checkFormat(dir); (err != nil) != test.fails {
				t.Errorf("checkFormat = %v, want an error: %v", err, test.fails)
			}
		})
	}
}
