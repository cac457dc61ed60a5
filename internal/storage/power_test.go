package storage

import (
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"syscall"
	"testing"

	"lichentray/raft"
)

// inode is a file with the name that it has in a directory.
type inode struct {
	name string
	data []byte
}

func readInodes(t *testing.T, dir string) map[uint64]inode {
	t.Helper()
	out := map[uint64]inode{}
	all, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range all {
		data, err := os.ReadFile(filepath.Join(dir, e.Name()))
		info, err2 := e.Info()
		if err != nil || err2 != nil {
			t.Fatal(err, err2)
		}
		out[info.Sys().(*syscall.Stat_t).Ino] = inode{e.Name(), data}
	}
	return out
}

// directoryAfterPowerLoss makes a directory in which each file that was created, renamed or
// removed since the last sync has, at random, its old name or its new one, or is absent if that
// name is none.
func directoryAfterPowerLoss(t *testing.T, random *rand.Rand, synced, now map[uint64]inode) string {
	t.Helper()
	dir := t.TempDir()
	var all []uint64
	for i := range synced {
		all = append(all, i)
	}
	for i := range now {
		if _, ok := synced[i]; !ok {
			all = append(all, i)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, i := range all {
		file := now[i]
		if random.Intn(2) == 0 {
			file.name = synced[i].name
		}
		if file.data == nil {
			file.data = synced[i].data
		}
		if file.name != "" {
			if err := os.WriteFile(filepath.Join(dir, file.name), file.data, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	return dir
}

// simulatePowerLosses simulates, at each sync of the directory within run and at its end, several
// losses of power, and calls check with the directory that each leaves behind. hasEnded is set
// once run has returned.
func simulatePowerLosses(t *testing.T, dir string, run func(), check func(dir string, hasEnded bool)) {
	t.Helper()
	random := rand.New(rand.NewSource(3))
	realSync, synced := syncDirectory, readInodes(t, dir)
	defer func() { syncDirectory = realSync }()
	losePower := func(hasEnded bool) {
		now := readInodes(t, dir)
		for range 24 {
			left := directoryAfterPowerLoss(t, random, synced, now)
			hook := syncDirectory
			syncDirectory = realSync
			check(left, hasEnded)
			syncDirectory = hook
		}
		synced = now
	}
	syncDirectory = func(d string) error {
		losePower(false)
		return realSync(d)
	}
	run()
	syncDirectory = realSync
	losePower(true)
}

var errUnreadable = errors.New("this state cannot be read")

// TestPowerLossDuringQuarantine checks that, whatever names a loss of power keeps while a store
// is quarantined, its identity never comes back without all of its hard state, and that the new
// identity is found again once Open has returned it.
func TestPowerLossDuringQuarantine(t *testing.T) {
	dir := t.TempDir()
	store, _, _, err := Open(dir, 42, nil)
	if err != nil {
		t.Fatal(err)
	}
	hard := raft.HardState{}
	for i := uint64(1); i <= 300; i++ {
		hard = raft.HardState{Term: i, Vote: i}
		if err := store.Save(&hard, nil, false, []raft.Entry{{Index: i, Term: i, Data: make([]byte, 8000)}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Save(nil, &raft.Snapshot{Index: 300, Term: 300, Data: []byte("unreadable")}, false, nil); err != nil {
		t.Fatal(err)
	}
	// As after a kill, the write-ahead log stays: once with the database that it completes,
	// once alone, as when the database was just renamed.
	killed := readInodes(t, dir)
	store.Close()
	refuse := func(s raft.PersistentState) error {
		if string(s.Snapshot.Data) == "unreadable" {
			return errUnreadable
		}
		return nil
	}
	for _, hasDatabase := range []bool{true, false} {
		dir := t.TempDir()
		for _, file := range killed {
			if hasDatabase || file.name != databaseName {
				if err := os.WriteFile(filepath.Join(dir, file.name), file.data, 0o600); err != nil {
					t.Fatal(err)
				}
			}
		}
		var fresh Identity
		simulatePowerLosses(t, dir, func() {
			var saved raft.PersistentState
			if store, fresh, saved, err = Open(dir, 42, refuse); err != nil {
				t.Fatal(err)
			}
			if hasDatabase != errors.Is(fresh.DiscardReason, errUnreadable) || fresh.ID == 42 || len(saved.Entries) != 0 {
				t.Errorf("with database %v: opened as %+v with %+v", hasDatabase, fresh, saved.HardState)
			}
		}, func(left string, hasEnded bool) {
			reopened, id, saved, err := Open(left, 42, nil)
			if err != nil {
				t.Fatal(err)
			}
			reopened.Close()
			if id.ID == 42 && saved.HardState != hard {
				t.Errorf("with database %v: the old identity came back with %+v of %+v", hasDatabase, saved.HardState, hard)
			}
			if hasEnded && id.ID != fresh.ID {
				t.Errorf("with database %v: the new identity %x was lost: %+v", hasDatabase, fresh.ID, id)
			}
		})
		store.Close()
	}
}

// TestPowerLossDuringRestart checks that the database holds everything although the write-ahead
// log that was removed when it was closed may be back, and the one created since may be gone.
func TestPowerLossDuringRestart(t *testing.T) {
	dir := t.TempDir()
	store, _, _, err := Open(dir, 42, nil)
	if err != nil {
		t.Fatal(err)
	}
	var want raft.PersistentState
	save := func(n uint64) {
		t.Helper()
		for range n {
			i := uint64(len(want.Entries)) + 1
			e := raft.Entry{Index: i, Term: i, Data: fmt.Appendf(make([]byte, 0, 5000), "entry %d", i)}
			want.HardState, want.Entries = raft.HardState{Term: i, Vote: 7}, append(want.Entries, e)
			if err := store.Save(&want.HardState, nil, false, []raft.Entry{e}); err != nil {
				t.Fatal(err)
			}
		}
	}
	save(40)
	simulatePowerLosses(t, dir, func() {
		store.Close()
		if store, _, _, err = Open(dir, 42, nil); err != nil {
			t.Fatal(err)
		}
	}, func(left string, _ bool) {
		reopened, id, saved, err := Open(left, 42, nil)
		if err != nil {
			t.Fatal(err)
		}
		reopened.Close()
		if id.ID != 42 || !reflect.DeepEqual(saved, want) {
			t.Errorf("found %+v with %d entries of %d", id, len(saved.Entries), len(want.Entries))
		}
	})
	store.Close()
}

// TestBitRotIsDetected checks that a flipped bit, which SQLite does not notice, costs the
// identity as any damage does.
func TestBitRotIsDetected(t *testing.T) {
	for _, what := range []string{"the vote of a member", "an entry of the log", "a state of the machine"} {
		dir := t.TempDir()
		store, _, _, err := Open(dir, 42, nil)
		if err != nil {
			t.Fatal(err)
		}
		snap := raft.Snapshot{Index: 1, Term: 1, Data: []byte("a state of the machine"), Members: raft.Membership{Voters: []raft.Member{{ID: 42, Addr: "the vote of a member"}}}}
		if err := store.Save(&raft.HardState{Term: 2}, &snap, false, []raft.Entry{{Index: 2, Term: 2, Data: []byte("an entry of the log")}}); err != nil {
			t.Fatal(err)
		}
		store.Close()
		path := filepath.Join(dir, databaseName)
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		at := -1
		for i := range b {
			if i+len(what) <= len(b) && string(b[i:i+len(what)]) == what {
				at = i
			}
		}
		if at < 0 {
			t.Fatalf("%q is not in the store", what)
		}
		b[at] ^= 1
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		store, id, _, err := Open(dir, 42, nil)
		if err != nil || id.DiscardReason == nil || id.ID == 42 {
			t.Errorf("%s: opened as %+v, %v", what, id, err)
		}
		store.Close()
	}
}

// TestDiskUsageIsBounded checks that 600 configurations of 400 KB, complete or as changes of some
// kilobytes, with the log compacted as a node does it and a quarantine at the end, need far less
// than 64 MB on the disk, including the write-ahead log.
func TestDiskUsageIsBounded(t *testing.T) {
	for _, size := range []int{400 << 10, 4 << 10} {
		dir := t.TempDir()
		store, _, _, err := Open(dir, 42, nil)
		if err != nil {
			t.Fatal(err)
		}
		var most, logged int64
		measure := func() {
			sum := int64(0)
			for _, file := range readInodes(t, dir) {
				sum += int64(len(file.data))
			}
			most = max(most, sum)
		}
		for i := uint64(1); i <= 600; i++ {
			if err := store.Save(&raft.HardState{Term: 1}, nil, false, []raft.Entry{{Index: i, Term: 1, Data: make([]byte, size)}}); err != nil {
				t.Fatal(err)
			}
			if logged += int64(size); logged > 4<<20 {
				logged = 0
				if err := store.Save(nil, &raft.Snapshot{Index: i, Term: 1, Data: make([]byte, 400<<10)}, false, nil); err != nil {
					t.Fatal(err)
				}
			}
			if i%8 == 0 || logged == 0 {
				measure()
			}
		}
		store.Close()
		store, _, _, err = Open(dir, 42, func(s raft.PersistentState) error {
			if s.Snapshot.Index > 0 {
				return errUnreadable
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		measure()
		store.Close()
		t.Logf("%d changes of %d bytes: at most %.1f MB", 600, size, float64(most)/(1<<20))
		if most > 20<<20 {
			t.Errorf("%d bytes on the disk", most)
		}
	}
}
