package registry_test

import (
	"reflect"
	"testing"

	"lichentray/coordination"
	"lichentray/registry"
)

// FuzzRestore checks that Restore either rejects arbitrary bytes without changing the state,
// or restores a state that can be encoded and restored again.
func FuzzRestore(f *testing.F) {
	full := registry.NewStore()
	for _, c := range []registry.Command{
		{Txn: &registry.Txn{Then: []registry.Write{{Key: "endpoints/a", Value: []byte("x")}}}},
		{Coordination: &coordination.Command{Operation: coordination.PutCell, Name: "g.a", Value: "v"}},
		{Coordination: &coordination.Command{Operation: coordination.NextNumber, Name: "n"}},
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
		s := registry.NewStore()
		if err := s.Restore(image); err != nil {
			t.Fatal(err)
		}
		table := s.Coordination()
		rejected := s.Restore(b) != nil
		out, err := s.Snapshot()
		if err != nil {
			t.Fatalf("Restore accepted %q, but Snapshot failed: %v", b, err)
		}
		if rejected && (s.Revision() != full.Revision() || !reflect.DeepEqual(s.List(""), full.List("")) || s.Coordination() != table) {
			t.Fatalf("Restore rejected %q, but changed the state", b)
		}
		if err := registry.NewStore().Restore(out); err != nil {
			t.Fatalf("Restore accepted %q, but the snapshot of the result cannot be restored: %v", b, err)
		}
	})
}
