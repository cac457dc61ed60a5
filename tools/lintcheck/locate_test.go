package main

import (
	"os"
	"path/filepath"
	"testing"
)

const locatedSource = `// Package sample has one declaration of each kind.
package sample

import "errors"

// ErrLost has a comment.
var ErrLost = errors.New("lost")

const (
	// First is documented.
	First = iota
	second, third
)

// A Node has a field.
type Node struct {
	id int
}

// Pair has type parameters.
type Pair[K, V any] struct{}

// Swap is a method on a type with parameters.
func (p *Pair[K, V]) Swap() {
}

// Step is a method.
//
// Its comment has several lines.
func (n Node) Step() int {
	return n.id
}

func plain() {}

// A comment beside no declaration.
`

func TestFindingNamesItsDeclaration(t *testing.T) {
	root := t.TempDir()
	path := filepath.Join(root, "internal", "sample", "sample.go")
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(locatedSource), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		line int
		want string
	}{
		{1, "package"},
		{2, "package"},
		{4, "errors"},
		{6, "ErrLost"},
		{7, "ErrLost"},
		{9, "First"},
		{10, "First"},
		{12, "second"},
		{15, "Node"},
		{17, "Node"},
		{21, "Pair"},
		{23, "Pair.Swap"},
		{24, "Pair.Swap"},
		{28, "Node.Step"},
		{31, "Node.Step"},
		{34, "plain"},
		{36, "package"},
	}
	l := newLocator(root)
	for _, test := range tests {
		f, err := l.finding(report{rule: "revive/exported", path: path, line: test.line})
		if err != nil {
			t.Fatal(err)
		}
		want := findingKey{rule: "revive/exported", packageDir: "internal/sample", declaration: test.want}
		if f.key != want {
			t.Errorf("finding at line %d: key = %s, want %s", test.line, f.key, want)
		}
	}
}

func TestFindingFailsWithoutItsFile(t *testing.T) {
	root := t.TempDir()
	if f, err := newLocator(root).finding(report{path: filepath.Join(root, "gone.go"), line: 1}); err == nil {
		t.Errorf("finding in a missing file = %v, want an error", f)
	}
}
