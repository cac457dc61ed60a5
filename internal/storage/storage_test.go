package storage

import (
	"math/rand"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"lichentray/raft"
)

// TestStoreMatchesReferenceLog saves a random sequence of batches, truncations and snapshots,
// reopens the store every ten steps, and compares the state with a reference log in memory.
func TestStoreMatchesReferenceLog(t *testing.T) {
	dir := t.TempDir()
	random := rand.New(rand.NewSource(5))
	store, id, _, err := Open(dir, 0, nil)
	if err != nil || !id.IsNew || id.ID>>63 != 1 {
		t.Fatalf("Open() of a new store = %+v, %v; want a random identity", id, err)
	}
	var want raft.PersistentState
	for step := range 120 {
		last := want.Snapshot.Index + uint64(len(want.Entries))
		switch {
		case step%31 == 30: // compaction
			compacted := uint64(len(want.Entries)) / 2
			want.Snapshot = raft.Snapshot{Index: want.Snapshot.Index + compacted, Term: 3, Data: []byte{1, 2}, Members: raft.Membership{Voters: []raft.Member{{ID: 7}}}}
			want.Entries = want.Entries[compacted:]
			err = store.Save(nil, &want.Snapshot, false, nil)
		case step%53 == 52: // a leader's snapshot
			want.Snapshot = raft.Snapshot{Index: last + 100, Term: 4, Data: []byte{9}}
			want.Entries = nil
			err = store.Save(nil, &want.Snapshot, true, nil)
		default:
			index := last + 1
			if len(want.Entries) > 3 && random.Intn(4) == 0 {
				index -= uint64(1 + random.Intn(3))
			}
			want.Entries = want.Entries[:index-want.Snapshot.Index-1]
			var batch []raft.Entry
			for range 1 + random.Intn(5) {
				batch = append(batch, raft.Entry{Index: index, Term: uint64(step), Data: []byte{byte(step)}})
				index++
			}
			want.Entries = append(want.Entries, batch...)
			want.HardState = raft.HardState{Term: uint64(step), Vote: 5}
			err = store.Save(&want.HardState, nil, false, batch)
		}
		if err != nil {
			t.Fatal(err)
		}
		if step%10 == 9 {
			store.Close()
			var got raft.PersistentState
			var reopened Identity
			store, reopened, got, err = Open(dir, 0, nil)
			if err != nil || reopened.IsNew || reopened.ID != id.ID {
				t.Fatalf("reopened as %+v, %v; want the same identity", reopened, err)
			}
			if !reflect.DeepEqual(got.HardState, want.HardState) || !reflect.DeepEqual(got.Snapshot, want.Snapshot) || len(got.Entries) != len(want.Entries) {
				t.Fatalf("step %d: state = %+v, want %+v", step, got, want)
			}
			for i := range got.Entries {
				if !reflect.DeepEqual(got.Entries[i], want.Entries[i]) {
					t.Fatalf("step %d: entry = %+v, want %+v", step, got.Entries[i], want.Entries[i])
				}
			}
		}
	}
	store.Close()
}

// TestDamagedStoreIsQuarantined guards against a node that keeps its identity after it has lost
// votes or entries: a damaged database is replaced by an empty one with a new identity.
func TestDamagedStoreIsQuarantined(t *testing.T) {
	for name, damage := range map[string]func([]byte) []byte{
		"torn":    func(b []byte) []byte { return b[:len(b)/3] },
		"garbage": func([]byte) []byte { return []byte("this content is no valid SQLite database") },
		"zeroed": func(b []byte) []byte {
			for i := range b[:len(b)/2] {
				b[i] = 0
			}
			return b
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			store, first, _, err := Open(dir, 42, nil)
			if err != nil || first.ID != 42 {
				t.Fatalf("%+v, %v", first, err)
			}
			for i := uint64(1); i < 400; i++ {
				if err := store.Save(&raft.HardState{Term: i}, nil, false, []raft.Entry{{Index: i, Term: i, Data: make([]byte, 200)}}); err != nil {
					t.Fatal(err)
				}
			}
			store.Close()
			path := filepath.Join(dir, databaseName)
			content, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, damage(content), 0o600); err != nil {
				t.Fatal(err)
			}
			store, second, saved, err := Open(dir, 42, nil)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			defer store.Close()
			if second.DiscardReason == nil || second.ID == 42 || saved.HardState.Term != 0 {
				t.Errorf("%s: Open() = %+v with %+v, want an empty store with a new identity", name, second, saved.HardState)
			}
			if err := store.Save(&raft.HardState{Term: 1}, nil, false, nil); err != nil {
				t.Errorf("%s: Save() on the new store = %v, want nil", name, err)
			}
		})
	}
}

// TestFailedWriteLeavesNothing guards against a partly saved batch after a failed write, and
// against a store that fails the batches after it.
func TestFailedWriteLeavesNothing(t *testing.T) {
	dir := t.TempDir()
	store, _, _, err := Open(dir, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	entryAt := func(index uint64) []raft.Entry {
		return []raft.Entry{{Index: index, Term: 1, Data: []byte("x")}}
	}
	if err := store.Save(nil, nil, false, entryAt(1)); err != nil {
		t.Fatal(err)
	}
	if _, err := store.conn.Exec("CREATE TRIGGER full BEFORE INSERT ON log BEGIN SELECT RAISE(ABORT, 'disk is full'); END", nil); err != nil {
		t.Fatal(err)
	}
	if err := store.Save(&raft.HardState{Term: 9}, nil, false, entryAt(2)); err == nil {
		t.Fatal("Save() = nil for a failed write, want an error")
	}
	if err := store.Save(nil, nil, false, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := store.conn.Exec("DROP TRIGGER full", nil); err != nil {
		t.Fatal(err)
	}
	if err := store.Save(nil, nil, false, entryAt(2)); err != nil {
		t.Fatal(err)
	}
	store.Close()
	store, _, saved, err := Open(dir, 0, nil)
	if err != nil || len(saved.Entries) != 2 || saved.HardState.Term != 0 {
		t.Errorf("reopened state = %+v, %v; want 2 entries and a zero hard state", saved, err)
	}
	store.Close()
}
