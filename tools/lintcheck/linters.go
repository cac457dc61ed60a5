package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
)

// modules are the directories of the repository's Go modules.
var modules = []string{".", "tools"}

// A report is a linter's message about one line of a file.
type report struct {
	rule    string // linter and rule
	path    string // absolute, or relative to the linter's working directory
	line    int
	message string
}

// collectFindings runs all checks on each module of the repository at root. It
// returns the reports of the linters. Output of gofmt or go vet and a linter that
// fails are errors, for which no exception can be listed.
func collectFindings(root string) ([]finding, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	if err := checkFormat(root); err != nil {
		return nil, err
	}
	var reports []report
	for _, module := range modules {
		more, err := lintModule(root, filepath.Join(root, module))
		if err != nil {
			return nil, err
		}
		reports = append(reports, more...)
	}
	more, err := lintFilledCopies(root)
	if err != nil {
		return nil, err
	}
	return locateReports(root, append(reports, more...))
}

// locateReports returns the reports with the keys of the declarations they are in.
func locateReports(root string, reports []report) ([]finding, error) {
	l := newLocator(root)
	var findings []finding
	for _, r := range reports {
		f, err := l.finding(r)
		if err != nil {
			return nil, err
		}
		findings = append(findings, f)
	}
	return findings, nil
}

// checkFormat returns an error if gofmt -s would change a file.
func checkFormat(root string) error {
	output, err := runCommand(root, "gofmt", "-s", "-l", ".")
	if err != nil {
		return err
	}
	if len(output) > 0 {
		return fmt.Errorf("files not formatted with gofmt -s:\n%s", output)
	}
	return nil
}

// lintModule runs go vet and both linters on all packages of the module in dir.
func lintModule(root, dir string) ([]report, error) {
	if _, err := runCommand(dir, "go", "vet", "./..."); err != nil {
		return nil, err
	}
	output, err := runCommand(dir, "go", "tool", modfileFlag(root), "staticcheck", "-f", "json", "./...")
	if err != nil {
		return nil, err
	}
	reports, err := parseStaticcheck(output)
	if err != nil {
		return nil, err
	}
	more, err := runRevive(root, dir, "./...")
	if err != nil {
		return nil, err
	}
	return append(reports, more...), nil
}

// runRevive runs revive in dir, a directory of a module, on the packages that
// match a pattern.
func runRevive(root, dir, pattern string) ([]report, error) {
	output, err := runCommand(dir, "go", "tool", modfileFlag(root), "revive",
		"-config", filepath.Join(root, "revive.toml"), "-formatter", "json", pattern)
	if err != nil {
		return nil, err
	}
	reports, err := parseRevive(output)
	if err != nil {
		return nil, err
	}
	return withAbsolutePaths(dir, reports), nil
}

// modfileFlag returns the flag that makes the go command use the module file of
// the tools.
func modfileFlag(root string) string {
	return "-modfile=" + filepath.Join(root, "tools", "go.mod")
}

// runCommand runs a program in dir and returns its standard output. The linters exit
// with 1 if they have findings, so that is an error only if the program printed
// nothing or wrote to standard error.
func runCommand(dir, name string, args ...string) ([]byte, error) {
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	var stdout, stderr bytes.Buffer
	cmd.Stdout = &stdout
	cmd.Stderr = &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == 1 && stdout.Len() > 0 {
		err = nil
	}
	if err == nil && stderr.Len() > 0 {
		err = errors.New("unexpected output on standard error")
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w\n%s%s", cmd, err, stdout.Bytes(), stderr.Bytes())
	}
	return stdout.Bytes(), nil
}

// parseStaticcheck parses the output of staticcheck -f json: one object per line.
func parseStaticcheck(output []byte) ([]report, error) {
	var reports []report
	decoder := json.NewDecoder(bytes.NewReader(output))
	for {
		var item struct {
			Code     string
			Location struct {
				File string
				Line int
			}
			Message string
		}
		err := decoder.Decode(&item)
		if errors.Is(err, io.EOF) {
			return reports, nil
		}
		if err != nil {
			return nil, fmt.Errorf("decoding the output of staticcheck: %w", err)
		}
		if item.Code == "compile" || item.Code == "config" {
			return nil, fmt.Errorf("staticcheck: %s: %s", item.Location.File, item.Message)
		}
		reports = append(reports, report{
			rule:    "staticcheck/" + item.Code,
			path:    item.Location.File,
			line:    item.Location.Line,
			message: item.Message,
		})
	}
}

// parseRevive parses the output of revive -formatter json: one array, or null.
func parseRevive(output []byte) ([]report, error) {
	var items []struct {
		RuleName string
		Failure  string
		Position struct {
			Start struct {
				Filename string
				Line     int
			}
		}
	}
	if err := json.Unmarshal(output, &items); err != nil {
		return nil, fmt.Errorf("decoding the output of revive: %w", err)
	}
	var reports []report
	for _, item := range items {
		reports = append(reports, report{
			rule:    "revive/" + item.RuleName,
			path:    item.Position.Start.Filename,
			line:    item.Position.Start.Line,
			message: item.Failure,
		})
	}
	return reports, nil
}

// withAbsolutePaths returns the reports with relative paths joined to dir.
func withAbsolutePaths(dir string, reports []report) []report {
	for i := range reports {
		if !filepath.IsAbs(reports[i].path) {
			reports[i].path = filepath.Join(dir, reports[i].path)
		}
	}
	return reports
}
