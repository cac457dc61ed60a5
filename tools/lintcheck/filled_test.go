package main

import (
	"os"
	"path/filepath"
	"testing"
)

func TestFillEmptyBodies(t *testing.T) {
	tests := []struct {
		name   string
		source string
		want   string
	}{
		{
			name:   "no empty body",
			source: "package p\n\nfunc f() { g() }\n",
			want:   "package p\n\nfunc f() { g() }\n",
		},
		{
			name:   "empty function and empty method",
			source: "package p\n\nfunc f() {}\n\nfunc (t) g() {\n\t// Nothing to do.\n}\n",
			want:   "package p\n\nfunc f() {;}\n\nfunc (t) g() {;\n\t// Nothing to do.\n}\n",
		},
		{
			name:   "declaration without a body",
			source: "package p\n\nfunc f()\n",
			want:   "package p\n\nfunc f()\n",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			filled, err := fillEmptyBodies([]byte(test.source))
			if err != nil {
				t.Fatal(err)
			}
			if string(filled) != test.want {
				t.Errorf("fillEmptyBodies = %q, want %q", filled, test.want)
			}
		})
	}
	if filled, err := fillEmptyBodies([]byte("func")); err == nil {
		t.Errorf("fillEmptyBodies of invalid source = %q, want an error", filled)
	}
}

func TestCopyFilledTakesFilesWithEmptyFunctions(t *testing.T) {
	root, scratch := t.TempDir(), t.TempDir()
	const empty = "package p\n\nfunc f() {}\n"
	for name, source := range map[string]string{
		"a/empty.go":          empty,
		"b/empty.go":          empty,
		"a/empty_test.go":     empty,
		"a/full.go":           "package p\n\nfunc g() { f() }\n",
		"a/testdata/empty.go": empty,
		".git/empty.go":       empty,
	} {
		path := filepath.Join(root, filepath.FromSlash(name))
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(source), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	originals, err := copyFilled(root, scratch)
	if err != nil {
		t.Fatal(err)
	}
	copies := make(map[string]int)
	for copied, original := range originals {
		copies[original]++
		text, err := os.ReadFile(copied)
		if err != nil {
			t.Fatal(err)
		}
		if want := "package p\n\nfunc f() {;}\n"; string(text) != want {
			t.Errorf("copy of %s = %q, want %q", original, text, want)
		}
	}
	for _, name := range []string{"a/empty.go", "b/empty.go"} {
		if path := filepath.Join(root, filepath.FromSlash(name)); copies[path] != 1 {
			t.Errorf("%d copies of %s, want 1", copies[path], name)
		}
	}
	if len(originals) != 2 {
		t.Errorf("copies of %v, want two files", originals)
	}
}
