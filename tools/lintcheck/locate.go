package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
)

// packageLevel is the declaration of a finding outside all declarations.
const packageLevel = "package"

// A locator converts reports into findings. It parses each file once.
type locator struct {
	root  string
	fset  *token.FileSet
	files map[string]*ast.File // by absolute path
}

func newLocator(root string) *locator {
	return &locator{root: root, fset: token.NewFileSet(), files: make(map[string]*ast.File)}
}

// finding returns the report as a finding, with the key of its declaration.
func (l *locator) finding(r report) (finding, error) {
	path, err := filepath.Rel(l.root, r.path)
	if err != nil {
		return finding{}, err
	}
	file, ok := l.files[r.path]
	if !ok {
		file, err = parser.ParseFile(l.fset, r.path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return finding{}, err
		}
		l.files[r.path] = file
	}
	key := findingKey{
		rule:        r.rule,
		packageDir:  filepath.ToSlash(filepath.Dir(path)),
		declaration: declarationAt(l.fset, file, r.line),
	}
	return finding{key: key, path: path, line: r.line, message: r.message}, nil
}

// declarationAt returns the name of the declaration that contains a line. Its doc
// comment is a part of it.
func declarationAt(fset *token.FileSet, file *ast.File, line int) string {
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			if covers(fset, d, d.Doc, line) {
				return functionName(d)
			}
		case *ast.GenDecl:
			if covers(fset, d, d.Doc, line) {
				return specNameAt(fset, d, line)
			}
		}
	}
	return packageLevel
}

// covers reports whether a line is in the node or in its doc comment.
func covers(fset *token.FileSet, node ast.Node, doc *ast.CommentGroup, line int) bool {
	start := node.Pos()
	if doc != nil {
		start = doc.Pos()
	}
	return fset.Position(start).Line <= line && line <= fset.Position(node.End()).Line
}

// functionName returns "Func" for a function and "Type.Method" for a method.
func functionName(d *ast.FuncDecl) string {
	if d.Recv == nil || len(d.Recv.List) == 0 {
		return d.Name.Name
	}
	return typeName(d.Recv.List[0].Type) + "." + d.Name.Name
}

// typeName returns the name of a receiver's type without a pointer and without
// type parameters.
func typeName(expr ast.Expr) string {
	switch e := expr.(type) {
	case *ast.StarExpr:
		return typeName(e.X)
	case *ast.IndexExpr:
		return typeName(e.X)
	case *ast.IndexListExpr:
		return typeName(e.X)
	case *ast.Ident:
		return e.Name
	default:
		return "?"
	}
}

// specNameAt returns the first name declared by the specification that contains a
// line. A line outside all of them belongs to the first specification.
func specNameAt(fset *token.FileSet, d *ast.GenDecl, line int) string {
	if len(d.Specs) == 0 {
		return packageLevel
	}
	for _, spec := range d.Specs {
		if covers(fset, spec, specDoc(spec), line) {
			return specName(spec)
		}
	}
	return specName(d.Specs[0])
}

func specDoc(spec ast.Spec) *ast.CommentGroup {
	switch s := spec.(type) {
	case *ast.TypeSpec:
		return s.Doc
	case *ast.ValueSpec:
		return s.Doc
	default:
		return nil
	}
}

func specName(spec ast.Spec) string {
	switch s := spec.(type) {
	case *ast.TypeSpec:
		return s.Name.Name
	case *ast.ValueSpec:
		return s.Names[0].Name
	case *ast.ImportSpec:
		return strings.Trim(s.Path.Value, "`\"")
	default:
		return packageLevel
	}
}
