package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// lengthRule is a rule of revive that skips a whole file if a function in it has
// an empty body.
const lengthRule = "revive/function-length"

// lintFilledCopies applies lengthRule to the files below root that the rule
// skips. It lints copies with an empty statement in each empty body, which keeps
// all line numbers.
func lintFilledCopies(root string) ([]report, error) {
	scratch, err := os.MkdirTemp("", "lintcheck")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(scratch)
	originals, err := copyFilled(root, scratch)
	if err != nil || len(originals) == 0 {
		return nil, err
	}
	all, err := runRevive(root, root, scratch+"/...")
	if err != nil {
		return nil, err
	}
	var reports []report
	for _, r := range all {
		if r.rule == lengthRule {
			r.path = originals[r.path]
			reports = append(reports, r)
		}
	}
	return reports, nil
}

// copyFilled writes a copy with filled bodies of each file below root that has a
// function with an empty body, each to its own directory in scratch. It returns
// the paths of the originals by those of the copies. Test files are skipped, as
// the rule does not apply to them.
func copyFilled(root, scratch string) (map[string]string, error) {
	originals := make(map[string]string)
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if path != root && isIgnoredDir(entry.Name()) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		filled, err := fillEmptyBodies(text)
		if err != nil || len(filled) == len(text) {
			return err
		}
		dir := filepath.Join(scratch, strconv.Itoa(len(originals)))
		if err := os.Mkdir(dir, 0o700); err != nil {
			return err
		}
		copied := filepath.Join(dir, filepath.Base(path))
		originals[copied] = path
		return os.WriteFile(copied, filled, 0o600)
	})
	return originals, err
}

// isIgnoredDir reports whether the go command ignores directories of this name.
func isIgnoredDir(name string) bool {
	return name == "testdata" || strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_")
}

// fillEmptyBodies returns the source of a Go file with an empty statement added to
// each function body without statements.
func fillEmptyBodies(text []byte) ([]byte, error) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, "", text, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	filled := slices.Clone(text)
	for _, decl := range slices.Backward(file.Decls) {
		d, ok := decl.(*ast.FuncDecl)
		if ok && d.Body != nil && len(d.Body.List) == 0 {
			filled = slices.Insert(filled, fset.Position(d.Body.Lbrace).Offset+1, ';')
		}
	}
	return filled, nil
}
