package storage

import (
	"math/rand"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"lichentray/raft"
)

// TestStoreMatchesReferenceLog writes batches, cuts and snapshots, opens the store anew
// now and then, and compares with a plain slice.
func TestStoreMatchesReferenceLog(t *testing.T) {
	dir := t.TempDir()
	r := rand.New(rand.NewSource(5))
	c, id, _, err := Open(dir, 0, nil)
	if err != nil || !id.IsNew || id.ID>>63 != 1 {
		t.Fatalf("fresh store: %+v, %v", id, err)
	}
	var want raft.PersistentState
	for step := range 120 {
		last := want.Snapshot.Index + uint64(len(want.Entries))
		switch {
		case step%31 == 30: // compact
			k := uint64(len(want.Entries)) / 2
			want.Snapshot = raft.Snapshot{Index: want.Snapshot.Index + k, Term: 3, Data: []byte{1, 2}, Members: raft.Membership{Voters: []raft.Member{{ID: 7}}}}
			want.Entries = want.Entries[k:]
			err = c.Save(nil, &want.Snapshot, false, nil)
		case step%53 == 52: // a leader's snapshot
			want.Snapshot = raft.Snapshot{Index: last + 100, Term: 4, Data: []byte{9}}
			want.Entries = nil
			err = c.Save(nil, &want.Snapshot, true, nil)
		default:
			at := last + 1
			if len(want.Entries) > 3 && r.Intn(4) == 0 {
				at -= uint64(1 + r.Intn(3))
			}
			want.Entries = want.Entries[:at-want.Snapshot.Index-1]
			var batch []raft.Entry
			for range 1 + r.Intn(5) {
				batch = append(batch, raft.Entry{Index: at, Term: uint64(step), Data: []byte{byte(step)}})
				at++
			}
			want.Entries = append(want.Entries, batch...)
			want.HardState = raft.HardState{Term: uint64(step), Vote: 5}
			err = c.Save(&want.HardState, nil, false, batch)
		}
		if err != nil {
			t.Fatal(err)
		}
		if step%10 == 9 {
			c.Close()
			var got raft.PersistentState
			var again Identity
			c, again, got, err = Open(dir, 0, nil)
			if err != nil || again.IsNew || again.ID != id.ID {
				t.Fatalf("opened again as %+v, %v", again, err)
			}
			if !reflect.DeepEqual(got.HardState, want.HardState) || !reflect.DeepEqual(got.Snapshot, want.Snapshot) || len(got.Entries) != len(want.Entries) {
				t.Fatalf("step %d: found %+v, wrote %+v", step, got, want)
			}
			for i := range got.Entries {
				if !reflect.DeepEqual(got.Entries[i], want.Entries[i]) {
					t.Fatalf("step %d: entry %+v, wrote %+v", step, got.Entries[i], want.Entries[i])
				}
			}
		}
	}
	c.Close()
}

// TestDamagedStoreIsSetAside: a torn file costs the node its identity, never
// its honesty.
func TestDamagedStoreIsQuarantined(t *testing.T) {
	for name, damage := range map[string]func([]byte) []byte{
		"torn":    func(b []byte) []byte { return b[:len(b)/3] },
		"garbage": func(b []byte) []byte { return []byte("this is no database, it is a note on a bench") },
		"zeroed": func(b []byte) []byte {
			for i := range b[:len(b)/2] {
				b[i] = 0
			}
			return b
		},
	} {
		dir := t.TempDir()
		c, first, _, err := Open(dir, 42, nil)
		if err != nil || first.ID != 42 {
			t.Fatalf("%+v, %v", first, err)
		}
		for i := uint64(1); i < 400; i++ {
			if err := c.Save(&raft.HardState{Term: i}, nil, false, []raft.Entry{{Index: i, Term: i, Data: make([]byte, 200)}}); err != nil {
				t.Fatal(err)
			}
		}
		c.Close()
		path := filepath.Join(dir, databaseName)
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, damage(b), 0o600); err != nil {
			t.Fatal(err)
		}
		c, second, saved, err := Open(dir, 42, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if second.DiscardReason == nil || second.ID == 42 || saved.HardState.Term != 0 {
			t.Errorf("%s: opened as %+v with %+v", name, second, saved.HardState)
		}
		if err := c.Save(&raft.HardState{Term: 1}, nil, false, nil); err != nil {
			t.Errorf("%s: the new store takes nothing: %v", name, err)
		}
		c.Close()
	}
}

// TestRefusedWrite: a batch that the disk refuses leaves nothing behind, and
// the next one goes through.
func TestFailedWriteLeavesNothing(t *testing.T) {
	dir := t.TempDir()
	c, _, _, err := Open(dir, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	e := func(i uint64) []raft.Entry { return []raft.Entry{{Index: i, Term: 1, Data: []byte("x")}} }
	if err := c.Save(nil, nil, false, e(1)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.conn.Exec("CREATE TRIGGER full BEFORE INSERT ON log BEGIN SELECT RAISE(ABORT, 'disk is full'); END", nil); err != nil {
		t.Fatal(err)
	}
	if err := c.Save(&raft.HardState{Term: 9}, nil, false, e(2)); err == nil {
		t.Fatal("a refused write was called saved")
	}
	if err := c.Save(nil, nil, false, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := c.conn.Exec("DROP TRIGGER full", nil); err != nil {
		t.Fatal(err)
	}
	if err := c.Save(nil, nil, false, e(2)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	c, _, saved, err := Open(dir, 0, nil)
	if err != nil || len(saved.Entries) != 2 || saved.HardState.Term != 0 {
		t.Errorf("found %+v, %v", saved, err)
	}
	c.Close()
}
