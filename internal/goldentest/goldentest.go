// Package goldentest provides helpers for tests that compare stored and transmitted
// data with files written by an earlier version (golden files). Only tests import it.
package goldentest

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"testing"
)

// WriteVariable is the environment variable that makes File create a missing file.
// An existing file is never overwritten.
const WriteVariable = "LICHENTRAY_WRITE_GOLDEN"

// File returns the content of a golden file. If the file does not exist and
// WriteVariable is set, File first creates it with the result of write. Without
// WriteVariable, a missing file fails the test.
func File(t testing.TB, path string, write func() []byte) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && os.Getenv(WriteVariable) != "" {
		content = write()
		if err = os.MkdirAll(filepath.Dir(path), 0o755); err == nil {
			err = os.WriteFile(path, content, 0o644)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// CheckEqual reports every exported field in which got differs from want. Unexported
// fields are not compared, as they are not encoded.
func CheckEqual(t testing.TB, what string, got, want any) {
	t.Helper()
	for _, d := range differences(what, reflect.ValueOf(got), reflect.ValueOf(want)) {
		t.Error(d)
	}
}

// differences describes the differences between two values. Each starts with the path
// of the field or element, which begins with the argument path.
func differences(path string, got, want reflect.Value) []string {
	if !got.IsValid() || !want.IsValid() || got.Type() != want.Type() {
		return []string{fmt.Sprintf("%s: got %v, want %v", path, got, want)}
	}
	switch got.Kind() {
	case reflect.Struct:
		return fieldDifferences(path, got, want)
	case reflect.Pointer, reflect.Interface:
		return pointeeDifferences(path, got, want)
	case reflect.Slice, reflect.Array:
		return itemDifferences(path, got, want)
	case reflect.Map:
		return keyDifferences(path, got, want)
	}
	if got.Interface() != want.Interface() {
		return []string{fmt.Sprintf("%s: got %v, want %v", path, got, want)}
	}
	return nil
}

func fieldDifferences(path string, got, want reflect.Value) (found []string) {
	for i := range got.NumField() {
		if f := got.Type().Field(i); f.IsExported() {
			found = append(found, differences(path+"."+f.Name, got.Field(i), want.Field(i))...)
		}
	}
	return found
}

func pointeeDifferences(path string, got, want reflect.Value) []string {
	if !got.IsNil() && !want.IsNil() {
		return differences(path, got.Elem(), want.Elem())
	}
	if got.IsNil() != want.IsNil() {
		return []string{fmt.Sprintf("%s: got nil: %t, want nil: %t", path, got.IsNil(), want.IsNil())}
	}
	return nil
}

func itemDifferences(path string, got, want reflect.Value) (found []string) {
	if got.Len() != want.Len() {
		return []string{fmt.Sprintf("%s: got %d items, want %d: got %v, want %v", path, got.Len(), want.Len(), got, want)}
	}
	if got.Type().Elem().Kind() == reflect.Uint8 {
		if got.Len() > 0 && !reflect.DeepEqual(got.Interface(), want.Interface()) {
			return []string{fmt.Sprintf("%s: got %q, want %q", path, got, want)}
		}
		return nil
	}
	for i := range got.Len() {
		found = append(found, differences(fmt.Sprintf("%s[%d]", path, i), got.Index(i), want.Index(i))...)
	}
	return found
}

func keyDifferences(path string, got, want reflect.Value) (found []string) {
	if got.Len() != want.Len() {
		return []string{fmt.Sprintf("%s: got %d keys, want %d", path, got.Len(), want.Len())}
	}
	for _, k := range want.MapKeys() {
		found = append(found, differences(fmt.Sprintf("%s[%v]", path, k), got.MapIndex(k), want.MapIndex(k))...)
	}
	return found
}

// CheckComplete reports every exported field, of all struct types reachable from the
// types of values, that is zero in all values. It finds fields that were added to a
// type and not to its golden values.
func CheckComplete(t testing.TB, values ...any) {
	t.Helper()
	for _, name := range unsetFields(values) {
		t.Errorf("%s is zero in every golden value", name)
	}
}

// unsetFields returns the exported fields that are zero in all values.
func unsetFields(values []any) []string {
	fields := map[string]bool{} // by type and name; true if any value sets it
	for _, v := range values {
		collectFields(reflect.TypeOf(v), fields, map[reflect.Type]bool{})
	}
	for _, v := range values {
		markSetFields(reflect.ValueOf(v), fields)
	}
	var out []string
	for name, set := range fields {
		if !set {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// collectFields adds the exported fields of all struct types reachable from typ.
func collectFields(typ reflect.Type, fields map[string]bool, seen map[reflect.Type]bool) {
	if seen[typ] {
		return
	}
	seen[typ] = true
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		collectFields(typ.Elem(), fields, seen)
	case reflect.Map:
		collectFields(typ.Key(), fields, seen)
		collectFields(typ.Elem(), fields, seen)
	case reflect.Struct:
		for i := range typ.NumField() {
			if f := typ.Field(i); f.IsExported() {
				fields[typ.String()+"."+f.Name] = false
				collectFields(f.Type, fields, seen)
			}
		}
	}
}

// markSetFields marks the non-zero exported fields of v and of all values reachable from v.
func markSetFields(v reflect.Value, fields map[string]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			markSetFields(v.Elem(), fields)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			markSetFields(v.Index(i), fields)
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			markSetFields(k, fields)
			markSetFields(v.MapIndex(k), fields)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if !f.IsExported() {
				continue
			}
			if !v.Field(i).IsZero() {
				fields[v.Type().String()+"."+f.Name] = true
			}
			markSetFields(v.Field(i), fields)
		}
	}
}
