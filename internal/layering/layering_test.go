// Package layering tests the rules in docs/architecture.md: which packages may import
// which others, and what the core packages may not use. It also tests that the names
// of declarations in the documents exist.
package layering

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const module = "lichentray/"

// layers lists the packages from the lowest layer to the highest. A package may import
// only packages of lower layers. A new package has to be added to a layer.
var layers = [][]string{
	{"audit", "config", "eventlog", "loadbalance", "overload", "raft", "rollout"},
	{"coordination", "raft/modelcheck", "raft/rafttest", "routing"},
	{"registry"},
	{"watchcache"},
	{"internal/apierror", "internal/metrics", "internal/settings", "internal/storage"},
	{"internal/daemon", "internal/transport"},
	{"internal/api", "internal/discovery"},
	{"internal/controlplane", "internal/proxy", "internal/relay"},
	{"cmd/lichentray-controlplane", "cmd/lichentray-proxy", "cmd/lichentrayctl"},
}

// corePackages do no input or output, read no clock and start no goroutines: time,
// messages and random numbers are passed in as arguments, effects are returned.
var corePackages = []string{
	"audit", "coordination", "eventlog", "loadbalance", "overload", "raft", "raft/modelcheck",
	"raft/rafttest", "registry", "rollout", "watchcache",
}

// testPackages contain test fixtures. Only test files may import them.
var testPackages = []string{"internal/controlplanetest", "internal/goldentest"}

// unlayered are the directories whose packages no other package may import: programs
// that use the project as its users do, and tests.
var unlayered = []string{"examples/", "tests/", "internal/layering"}

// forbiddenImports are the standard packages, including their subpackages, that access
// the environment of the process or read the clock for their caller.
var forbiddenImports = []string{
	"context", "database/sql", "io/ioutil", "log", "net", "os", "plugin", "runtime/debug", "syscall",
}

// forbiddenTimeNames are the functions and types of package time that read the
// clock, wait, or start a timer.
var forbiddenTimeNames = []string{
	"After", "AfterFunc", "NewTicker", "NewTimer", "Now", "Since", "Sleep", "Tick", "Ticker", "Timer", "Until",
}

// layerOf returns the index of a package's layer, 0 for the lowest, or -1 if the package
// is in no layer.
func layerOf(pkg string) int {
	return slices.IndexFunc(layers, func(layer []string) bool { return slices.Contains(layer, pkg) })
}

// checkImport returns the rule violation of an import in a non-test file of package pkg,
// or an empty string.
func checkImport(pkg, path string) string {
	if slices.Contains(corePackages, pkg) {
		for _, forbidden := range forbiddenImports {
			if path == forbidden || strings.HasPrefix(path, forbidden+"/") {
				return fmt.Sprintf("core package %s imports %s", pkg, path)
			}
		}
	}
	imported, ours := strings.CutPrefix(path, module)
	if !ours {
		return ""
	}
	if slices.Contains(corePackages, pkg) && strings.HasPrefix(imported, "internal/") {
		return fmt.Sprintf("core package %s imports %s", pkg, imported)
	}
	if slices.Contains(testPackages, pkg) {
		return ""
	}
	if layerOf(imported) < 0 {
		return fmt.Sprintf("%s imports %s, which only tests may import or which is in no layer", pkg, imported)
	}
	if layerOf(imported) >= layerOf(pkg) {
		return fmt.Sprintf("%s (layer %d) imports %s (layer %d)", pkg, layerOf(pkg), imported, layerOf(imported))
	}
	return ""
}

// checkFile returns the rule violations in one non-test file.
func checkFile(pkg, name string, source any) ([]string, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, name, source, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var found []string
	report := func(pos token.Pos, problem string) {
		found = append(found, fmt.Sprintf("%s: %s", files.Position(pos), problem))
	}
	timeName := ""
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return nil, err
		}
		if problem := checkImport(pkg, path); problem != "" {
			report(spec.Pos(), problem)
		}
		if path == "time" {
			timeName = "time"
			if spec.Name != nil {
				timeName = spec.Name.Name
			}
		}
	}
	if !slices.Contains(corePackages, pkg) {
		return found, nil
	}
	if timeName == "." {
		report(file.Pos(), "core package "+pkg+" imports time with a dot import")
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			report(n.Pos(), "core package "+pkg+" starts a goroutine")
		case *ast.SelectorExpr:
			from, isName := n.X.(*ast.Ident)
			if isName && timeName != "" && from.Name == timeName && slices.Contains(forbiddenTimeNames, n.Sel.Name) {
				report(n.Pos(), "core package "+pkg+" uses time."+n.Sel.Name)
			}
		}
		return true
	})
	return found, nil
}

// isUnlayered reports whether no other package may import the package.
func isUnlayered(pkg string) bool {
	return slices.ContainsFunc(unlayered, func(prefix string) bool { return strings.HasPrefix(pkg, prefix) })
}

// TestPackagesKeepTheirLayers guards against imports of higher layers, and against input,
// output, clocks and goroutines in the core packages, in all non-test files of the module.
func TestPackagesKeepTheirLayers(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	err = filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			name := entry.Name()
			_, moduleErr := os.Stat(filepath.Join(path, "go.mod"))
			if path != root && (moduleErr == nil || name == "testdata" || strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_")) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		directory, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		pkg := filepath.ToSlash(directory)
		if isUnlayered(pkg) {
			return nil
		}
		if !seen[pkg] && layerOf(pkg) < 0 && !slices.Contains(testPackages, pkg) {
			t.Errorf("%s: package is in no layer", pkg)
		}
		seen[pkg] = true
		found, err := checkFile(pkg, path, nil)
		for _, problem := range found {
			t.Error(problem)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, pkg := range slices.Concat(slices.Concat(layers...), corePackages, testPackages) {
		if !seen[pkg] {
			t.Errorf("%s: listed package does not exist", pkg)
		}
	}
}

// TestViolationsAreFound checks that checkFile reports a violation of each rule.
func TestViolationsAreFound(t *testing.T) {
	tests := []struct {
		name, pkg, source string
		want              int
	}{
		{"no violation", "registry", `import ("time"; "lichentray/audit"); var d = time.Second; var _ = audit.New`, 0},
		{"core imports internal", "raft", `import _ "lichentray/internal/metrics"`, 1},
		{"core imports os", "audit", `import _ "os"`, 1},
		{"core imports a package below net", "rollout", `import _ "net/http"`, 1},
		{"core reads the clock", "raft", `import "time"; var t = time.Now()`, 1},
		{"core reads the clock with a renamed import", "raft", `import clock "time"; var t = clock.Now()`, 1},
		{"core imports time with a dot import", "raft", `import . "time"; var t = Second`, 1},
		{"core sleeps", "eventlog", `import "time"; func f() { time.Sleep(1) }`, 1},
		{"core has a timer", "loadbalance", `import "time"; var t *time.Timer`, 1},
		{"core starts a goroutine", "watchcache", `func f() { go f() }`, 1},
		{"goroutine outside the core", "internal/proxy", `import "time"; func f() { go f(); time.Sleep(1) }`, 0},
		{"import of a higher layer", "internal/transport", `import _ "lichentray/internal/proxy"`, 1},
		{"import of the same layer", "internal/proxy", `import _ "lichentray/internal/controlplane"`, 1},
		{"import of fixtures in a non-test file", "internal/proxy", `import _ "lichentray/internal/controlplanetest"`, 1},
		{"import of an example", "cmd/lichentrayctl", `import _ "lichentray/examples/scale"`, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			found, err := checkFile(test.pkg, "source.go", "package p\n"+test.source)
			if err != nil {
				t.Fatal(err)
			}
			if len(found) != test.want {
				t.Errorf("checkFile returned %d violations, want %d: %v", len(found), test.want, found)
			}
		})
	}
}
