package layering

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// checkedPages are the pages that describe the current code. Records of earlier states
// (rounds, incidents, former names) are excluded.
var checkedPages = []string{"docs/architecture.md", "docs/design.md", "docs/operations.md", "docs/notes/*.md"}

// glossaryTerms is the heading of the table in glossaryPage that is checked as well,
// without its first column, which contains the users' words.
const (
	glossaryPage  = "docs/glossary.md"
	glossaryTerms = "## Terms"
)

// fileExtensions are the extensions by which a file name is recognized.
var fileExtensions = []string{"db", "go", "json", "md", "toml", "txt"}

// notGoNames are texts in code spans that look like Go names and have another meaning.
var notGoNames = map[string]string{
	"chest.db.bad":       "the file that a corrupt store is renamed to",
	"configuration.read": "a call of the HTTP API",
}

var (
	codeBlock  = regexp.MustCompile("(?s)```.*?```")
	codeSpan   = regexp.MustCompile("`([^`]+)`")
	dottedName = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9]*(\.[A-Za-z][A-Za-z0-9]*){1,2}$`)
	camelCase  = regexp.MustCompile(`^[a-z][a-z0-9]*[A-Z][A-Za-z0-9]*$`)
	testName   = regexp.MustCompile(`^(Test|Benchmark|Fuzz)[A-Z][A-Za-z0-9]*$`)
)

// declarations holds the names that the code declares.
type declarations struct {
	// names has all declared names: of package members, methods and fields.
	names map[string]bool
	// members has the names that a package ("raft") or a type contains. A type is listed
	// with its package ("raft.Node") and without ("Node", for all packages together).
	members map[string]map[string]bool
	// embedded has the types that each type embeds, without their packages.
	embedded map[string][]string
	// packages has the names of the project's packages, imports those of other modules
	// and of the standard library.
	packages, imports map[string]bool
}

func newDeclarations() *declarations {
	return &declarations{
		names:    map[string]bool{},
		members:  map[string]map[string]bool{},
		embedded: map[string][]string{},
		packages: map[string]bool{},
		imports:  map[string]bool{},
	}
}

func (d *declarations) add(owner, name string) {
	if d.members[owner] == nil {
		d.members[owner] = map[string]bool{}
	}
	d.members[owner][name] = true
	d.names[name] = true
}

// addMember adds a method or a field.
func (d *declarations) addMember(pkg, owner, name string) {
	d.add(owner, name)
	d.add(pkg+"."+owner, name)
}

// addFile adds the package-level declarations of a file, and its imports.
func (d *declarations) addFile(file *ast.File) {
	pkg := strings.TrimSuffix(file.Name.Name, "_test")
	d.packages[pkg] = true
	for _, spec := range file.Imports {
		path := strings.Trim(spec.Path.Value, `"`)
		if !strings.HasPrefix(path, module) {
			d.imports[path[strings.LastIndex(path, "/")+1:]] = true
		}
	}
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			if decl.Recv == nil {
				d.add(pkg, decl.Name.Name)
			} else {
				d.addMember(pkg, typeName(decl.Recv.List[0].Type), decl.Name.Name)
			}
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				d.addSpec(pkg, spec)
			}
		}
	}
}

func (d *declarations) addSpec(pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			d.add(pkg, name.Name)
		}
	case *ast.TypeSpec:
		d.add(pkg, spec.Name.Name)
		switch t := spec.Type.(type) {
		case *ast.StructType:
			d.addFields(pkg, spec.Name.Name, t.Fields)
		case *ast.InterfaceType:
			d.addFields(pkg, spec.Name.Name, t.Methods)
		}
	}
}

func (d *declarations) addFields(pkg, owner string, fields *ast.FieldList) {
	for _, field := range fields.List {
		if len(field.Names) == 0 {
			for _, key := range []string{owner, pkg + "." + owner} {
				d.embedded[key] = append(d.embedded[key], typeName(field.Type))
			}
		}
		for _, name := range field.Names {
			d.addMember(pkg, owner, name.Name)
		}
	}
}

// typeName returns the name of a type without package, pointer and type arguments.
func typeName(expr ast.Expr) string {
	switch t := expr.(type) {
	case *ast.Ident:
		return t.Name
	case *ast.StarExpr:
		return typeName(t.X)
	case *ast.SelectorExpr:
		return t.Sel.Name
	case *ast.IndexExpr:
		return typeName(t.X)
	case *ast.IndexListExpr:
		return typeName(t.X)
	default:
		return ""
	}
}

// has reports whether a package or a type has a member. Members of embedded types count.
func (d *declarations) has(owner, name string) bool {
	if d.members[owner][name] {
		return true
	}
	return slices.ContainsFunc(d.embedded[owner], func(e string) bool { return d.has(e, name) })
}

// declares reports whether the text of a code span is declared. A text that does not look
// like a Go name counts as declared.
func (d *declarations) declares(span string) bool {
	name := strings.TrimSuffix(span, "()")
	if _, isListed := notGoNames[name]; isListed {
		return true
	}
	parts := strings.Split(name, ".")
	switch {
	case camelCase.MatchString(name), testName.MatchString(name):
		return d.names[name]
	case !dottedName.MatchString(name), slices.Contains(fileExtensions, parts[len(parts)-1]):
		return true
	case d.imports[parts[0]] && !d.packages[parts[0]]:
		return true
	}
	owner := strings.Join(parts[:len(parts)-1], ".")
	return d.has(owner, parts[len(parts)-1])
}

// undeclared returns a message with the line for each code span of a page that looks like
// a Go name and is not declared.
func (d *declarations) undeclared(page, text string) []string {
	text = codeBlock.ReplaceAllStringFunc(text, func(block string) string {
		return strings.Repeat("\n", strings.Count(block, "\n"))
	})
	var found []string
	for _, at := range codeSpan.FindAllStringSubmatchIndex(text, -1) {
		span := text[at[2]:at[3]]
		if !d.declares(span) {
			line := 1 + strings.Count(text[:at[0]], "\n")
			found = append(found, fmt.Sprintf("%s:%d: `%s` is not declared", page, line, span))
		}
	}
	return found
}

// termsOf returns the Terms table of the glossary without its first column. All other
// lines are empty, so that line numbers stay the same.
func termsOf(glossary string) string {
	isTerms := false
	lines := strings.Split(glossary, "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "## ") {
			isTerms = line == glossaryTerms
		}
		lines[i] = ""
		if cells := strings.SplitN(line, "|", 3); isTerms && len(cells) == 3 {
			lines[i] = cells[2]
		}
	}
	return strings.Join(lines, "\n")
}

// parseDeclarations parses all Go files below a directory.
func parseDeclarations(t *testing.T, root string) *declarations {
	t.Helper()
	d := newDeclarations()
	files := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != root && (strings.HasPrefix(entry.Name(), ".") || entry.Name() == "testdata"):
			return filepath.SkipDir
		case entry.IsDir() || filepath.Ext(path) != ".go":
			return nil
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err == nil {
			d.addFile(file)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestDocumentsNameWhatIsDeclared guards against pages that name a declaration after it was
// renamed or removed.
func TestDocumentsNameWhatIsDeclared(t *testing.T) {
	const root = "../.."
	d := parseDeclarations(t, root)
	read := func(path string) string {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	var found []string
	for _, pattern := range checkedPages {
		paths, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil || len(paths) == 0 {
			t.Fatalf("Glob(%s): no pages, error %v", pattern, err)
		}
		for _, path := range paths {
			found = append(found, d.undeclared(strings.TrimPrefix(path, root+"/"), read(path))...)
		}
	}
	terms := termsOf(read(filepath.Join(root, glossaryPage)))
	if !codeSpan.MatchString(terms) {
		t.Errorf("%s: no code spans under %q", glossaryPage, glossaryTerms)
	}
	found = append(found, d.undeclared(glossaryPage, terms)...)
	for _, problem := range found {
		t.Error(problem)
	}
}

// TestUndeclaredNamesAreFound checks which texts are reported as undeclared.
func TestUndeclaredNamesAreFound(t *testing.T) {
	const source = `package raft
import "time"
type base struct{ Index uint64 }
type Node struct { base; term time.Duration }
func (n *Node) Tick() {}
func newNode() *Node { return nil }`
	const other = `package registry
type Node struct{}
func (n Node) Apply() {}`
	d := newDeclarations()
	for _, text := range []string{source, other} {
		file, err := parser.ParseFile(token.NewFileSet(), "", text, 0)
		if err != nil {
			t.Fatal(err)
		}
		d.addFile(file)
	}
	for _, test := range []struct {
		span       string
		isDeclared bool
	}{
		{"raft.Node", true},
		{"raft.Node.Tick", true},
		{"raft.Node.Index", true},
		{"Node.Apply", true},
		{"Node.term", true},
		{"newNode()", true},
		{"time.Duration", true},
		{"node.go", true},
		{"lichentrayctl status", true},
		{"contact_s", true},
		{"raft.Leader", false},
		{"raft.Node.Apply", false},
		{"registry.Node.Tick", false},
		{"Node.Step", false},
		{"clamp.Node", false},
		{"oldNode", false},
		{"TestGone", false},
	} {
		found := d.undeclared("page", "\n\nThe `"+test.span+"` is named.")
		if len(found) == 0 != test.isDeclared {
			t.Errorf("undeclared with span %s = %v", test.span, found)
		}
		if len(found) > 0 && !strings.HasPrefix(found[0], "page:3: ") {
			t.Errorf("undeclared with span %s: message %q, want line 3", test.span, found[0])
		}
	}
	glossary := "# G\n`oldA`\n## Terms\n| `oldB` | `newC` |\n## Types\n| `oldD` | `newE` |\n"
	if got := d.undeclared("g", termsOf(glossary)); len(got) != 1 || got[0] != "g:4: `newC` is not declared" {
		t.Errorf("undeclared of the glossary = %v, want newC only", got)
	}
}
