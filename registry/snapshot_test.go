package registry_test

import (
	"reflect"
	"testing"

	"lichentray/coordination"
	"lichentray/registry"
)

// FuzzRestore: whatever is given as a snapshot, it is either refused and changes
// nothing, or is a state that can be written and read again.
func FuzzRestore(f *testing.F) {
	full := registry.New()
	for _, c := range []registry.Command{
		{Txn: &registry.Txn{Then: []registry.Write{{Key: "endpoints/a", Value: []byte("x")}}}},
		{Latch: &coordination.Command{Op: coordination.Put, Name: "g.a", Value: "v"}},
		{Latch: &coordination.Command{Op: coordination.Next, Name: "n"}},
	} {
		full.Apply(c)
	}
	image, err := full.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(image)
	f.Add(image[:len(image)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		s := registry.New()
		if err := s.Restore(image); err != nil {
			t.Fatal(err)
		}
		latches := s.Latches()
		refused := s.Restore(b) != nil
		out, err := s.Snapshot()
		if err != nil {
			t.Fatalf("%q was taken, and cannot be written: %v", b, err)
		}
		if refused && (s.Revision() != full.Revision() || !reflect.DeepEqual(s.List(""), full.List("")) || s.Latches() != latches) {
			t.Fatalf("%q was refused, and changed the state", b)
		}
		if err := registry.New().Restore(out); err != nil {
			t.Fatalf("%q was taken, and cannot be read again: %v", b, err)
		}
	})
}
