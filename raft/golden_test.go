package raft_test

import (
	"bytes"
	"encoding/gob"
	"testing"

	"lichentray/internal/goldentest"
	"lichentray/raft"
)

// The golden types are the encoded types as they were when the golden files were written.
// Their field names are part of the format, since gob encodes them.
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

// TestGoldenMembership checks the compatibility of memberships in log entries in both
// directions: the current code decodes the golden file, and the golden types decode what
// the current code encodes.
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

	// Member.Storage was added later. The golden types ignore it.
	want.Voters[0].Storage = raft.StorageDisk
	want.Learners[0].Storage = raft.StorageMemory
	golden = goldentest.File(t, "testdata/golden/membership-storage.gob", want.Encode)
	compareGoldenMembership(t, golden, want, wantOld)
	goldentest.CheckComplete(t, want, wantOld)
}

// compareGoldenMembership decodes a golden file with the current code, and the golden file
// and the current encoding with the golden types.
func compareGoldenMembership(t *testing.T, golden []byte, want raft.Membership, wantOld goldenMembership) {
	t.Helper()
	got, err := raft.DecodeMembership(golden)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.CheckEqual(t, "golden file, decoded by the current code", got, want)
	for what, data := range map[string][]byte{"golden file": golden, "current encoding": want.Encode()} {
		var old goldenMembership
		if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&old); err != nil {
			t.Errorf("%s: %v", what, err)
		}
		goldentest.CheckEqual(t, what+", decoded by the golden types", old, wantOld)
	}
}
