package raft_test

import (
	"bytes"
	"encoding/gob"
	"testing"

	"lichentray/internal/goldentest"
	"lichentray/raft"
)

// The golden forms are the serialised types as they were when the golden files were
// made. Their field names are data: gob writes them.
type (
	goldenMember struct {
		ID        uint64
		Addr      string
		API       string
		Uncounted bool
	}
	goldenMembership struct {
		Voters   []goldenMember
		Learners []goldenMember
	}
)

// TestGoldenMembership compares the membership that stands in a log entry with a
// golden file in both directions: the present code reads what was written before, and
// a reader of before reads what the present code writes.
func TestGoldenMembership(t *testing.T) {
	want := raft.Membership{
		Voters: []raft.Member{
			{ID: 11, Addr: "127.0.0.1:7001", API: "127.0.0.1:8001"},
			{ID: 12, Addr: "127.0.0.1:7002", API: "127.0.0.1:8002", Uncounted: true},
		},
		Learners: []raft.Member{{ID: 13, Addr: "127.0.0.1:7003", API: "127.0.0.1:8003"}},
	}
	wantOld := goldenMembership{
		Voters: []goldenMember{
			{ID: 11, Addr: "127.0.0.1:7001", API: "127.0.0.1:8001"},
			{ID: 12, Addr: "127.0.0.1:7002", API: "127.0.0.1:8002", Uncounted: true},
		},
		Learners: []goldenMember{{ID: 13, Addr: "127.0.0.1:7003", API: "127.0.0.1:8003"}},
	}
	golden := goldentest.File(t, "testdata/golden/membership.gob", want.Encode)
	compareGoldenMembership(t, golden, want, wantOld)

	// What members say of their storage came later. A reader of before does not see it.
	want.Voters[0].Storage = raft.StorageDisk
	want.Learners[0].Storage = raft.StorageMemory
	golden = goldentest.File(t, "testdata/golden/membership-storage.gob", want.Encode)
	compareGoldenMembership(t, golden, want, wantOld)
	goldentest.Complete(t, want, wantOld)
}

// compareGoldenMembership reads a golden file, and what the present code writes, with the present code
// and as before.
func compareGoldenMembership(t *testing.T, golden []byte, want raft.Membership, wantOld goldenMembership) {
	t.Helper()
	got, err := raft.DecodeMembership(golden)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Same(t, "golden file, read by this code", got, want)
	for what, data := range map[string][]byte{"golden file": golden, "written by this code": want.Encode()} {
		var old goldenMembership
		if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&old); err != nil {
			t.Errorf("%s: %v", what, err)
		}
		goldentest.Same(t, what+", read as before", old, wantOld)
	}
}
