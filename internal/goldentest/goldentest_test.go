package goldentest

import (
	"reflect"
	"testing"
)

type inner struct {
	Number int
	Bytes  []byte
	hidden int
}

type outer struct {
	Name    string
	Pointer *inner
	List    []inner
	ByName  map[string]inner
	Flag    bool
}

func full() outer {
	return outer{
		Name: "a", Flag: true,
		Pointer: &inner{Number: 1, Bytes: []byte("b"), hidden: 1},
		List:    []inner{{Number: 2}, {Bytes: []byte("c")}},
		ByName:  map[string]inner{"k": {Number: 3}},
	}
}

func TestDifferences(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(o *outer)
		want   []string
	}{
		{"no change", func(*outer) {}, nil},
		{"unexported field", func(o *outer) { o.Pointer.hidden = 9 }, nil},
		{"string", func(o *outer) { o.Name = "z" }, []string{"x.Name: got z, want a"}},
		{"bool", func(o *outer) { o.Flag = false }, []string{"x.Flag: got false, want true"}},
		{"missing pointer", func(o *outer) { o.Pointer = nil }, []string{"x.Pointer: got nil: true, want nil: false"}},
		{"field behind a pointer", func(o *outer) { o.Pointer.Number = 0 }, []string{"x.Pointer.Number: got 0, want 1"}},
		{"bytes", func(o *outer) { o.Pointer.Bytes = []byte("z") }, []string{`x.Pointer.Bytes: got "z", want "b"`}},
		{"field in a slice", func(o *outer) { o.List[0].Number = 0 }, []string{"x.List[0].Number: got 0, want 2"}},
		{"field in a map", func(o *outer) { o.ByName["k"] = inner{} }, []string{"x.ByName[k].Number: got 0, want 3"}},
		{"different key", func(o *outer) { o.ByName = map[string]inner{"j": {Number: 3}} }, []string{"x.ByName[k]: got <invalid reflect.Value>, want {3 [] 0}"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := full()
			c.change(&got)
			if d := differences("x", reflect.ValueOf(got), reflect.ValueOf(full())); !reflect.DeepEqual(d, c.want) {
				t.Errorf("differences = %q, want %q", d, c.want)
			}
		})
	}
	if d := differences("x", reflect.ValueOf([]inner{{}}), reflect.ValueOf([]inner{})); len(d) != 1 {
		t.Errorf("differences of slices of different lengths = %q, want one", d)
	}
}

func TestUnsetFields(t *testing.T) {
	if got := unsetFields([]any{full()}); got != nil {
		t.Errorf("unsetFields of a complete value = %q, want none", got)
	}
	some := full()
	some.Flag, some.List, some.Pointer = false, nil, nil
	want := []string{"goldentest.inner.Bytes", "goldentest.outer.Flag", "goldentest.outer.List", "goldentest.outer.Pointer"}
	if got := unsetFields([]any{some}); !reflect.DeepEqual(got, want) {
		t.Errorf("unsetFields = %q, want %q", got, want)
	}
	if got := unsetFields([]any{some, full()}); got != nil {
		t.Errorf("unsetFields of two values = %q, want none", got)
	}
}
