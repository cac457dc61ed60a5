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

// inode is the name and the content of a file.
type inode struct {
	name string
	data []byte
}

func readInodes(t *testing.T, dir string) map[uint64]inode {
	t.Helper()
	inodes := map[uint64]inode{}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		data, err := os.ReadFile(filepath.Join(dir, e.Name()))
		info, err2 := e.Info()
		if err != nil || err2 != nil {
			t.Fatal(err, err2)
		}
		inodes[info.Sys().(*syscall.Stat_t).Ino] = inode{e.Name(), data}
	}
	return inodes
}

// directoryAfterPowerLoss creates a directory in which each file that was created, renamed or
// removed since the last sync randomly has its old or its new name, or is absent if it had no
// name then.
func directoryAfterPowerLoss(t *testing.T, random *rand.Rand, atSync, current map[uint64]inode) string {
	t.Helper()
	dir := t.TempDir()
	var numbers []uint64
	for i := range atSync {
		numbers = append(numbers, i)
	}
	for i := range current {
		if _, ok := atSync[i]; !ok {
			numbers = append(numbers, i)
		}
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	random.Shuffle(len(numbers), func(i, j int) { numbers[i], numbers[j] = numbers[j], numbers[i] })
	for _, i := range numbers {
		file := current[i]
		if random.Intn(2) == 0 {
			file.name = atSync[i].name
		}
		if file.data == nil {
			file.data = atSync[i].data
		}
		if file.name != "" {
			if err := os.WriteFile(filepath.Join(dir, file.name), file.data, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	return dir
}

// simulatePowerLosses simulates several power losses before each directory sync within run and
// after run returns, and calls check with each resulting directory. hasEnded is set once run has
// returned.
func simulatePowerLosses(t *testing.T, dir string, run func(), check func(dir string, hasEnded bool)) {
	t.Helper()
	random := rand.New(rand.NewSource(3))
	realSync, synced := syncDirectory, readInodes(t, dir)
	defer func() { syncDirectory = realSync }()
	losePower := func(hasEnded bool) {
		current := readInodes(t, dir)
		for range 24 {
			remaining := directoryAfterPowerLoss(t, random, synced, current)
			hook := syncDirectory
			syncDirectory = realSync
			check(remaining, hasEnded)
			syncDirectory = hook
		}
		synced = current
	}
	syncDirectory = func(d string) error {
		losePower(false)
		return realSync(d)
	}
	run()
	syncDirectory = realSync
	losePower(true)
}

var errUnreadable = errors.New("unreadable state")

// TestPowerLossDuringQuarantine guards against a power loss between the renames of a quarantine
// after which a store is found under its old identity without its latest hard state, or under
// another identity than the new one that Open has returned.
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
	// The files are read before Close, so that the write-ahead log is present as after a kill:
	// once with its database and once without, as right after the database is renamed.
	killed := readInodes(t, dir)
	store.Close()
	rejectUnreadable := func(s raft.PersistentState) error {
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
		var replacement Identity
		simulatePowerLosses(t, dir, func() {
			var saved raft.PersistentState
			if store, replacement, saved, err = Open(dir, 42, rejectUnreadable); err != nil {
				t.Fatal(err)
			}
			if hasDatabase != errors.Is(replacement.DiscardReason, errUnreadable) || replacement.ID == 42 || len(saved.Entries) != 0 {
				t.Errorf("hasDatabase = %v: Open() = %+v with %+v, want an empty store with a new identity", hasDatabase, replacement, saved.HardState)
			}
		}, func(remaining string, hasEnded bool) {
			reopened, id, saved, err := Open(remaining, 42, nil)
			if err != nil {
				t.Fatal(err)
			}
			reopened.Close()
			if id.ID == 42 && saved.HardState != hard {
				t.Errorf("hasDatabase = %v: old identity reopened with hard state %+v, want %+v", hasDatabase, saved.HardState, hard)
			}
			if hasEnded && id.ID != replacement.ID {
				t.Errorf("hasDatabase = %v: new identity %x was lost, reopened as %+v", hasDatabase, replacement.ID, id)
			}
		})
		store.Close()
	}
}

// TestPowerLossDuringRestart guards against lost entries after a power loss that restores the
// write-ahead log removed by Close, or removes the one created by the next Open.
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
	}, func(remaining string, _ bool) {
		reopened, id, saved, err := Open(remaining, 42, nil)
		if err != nil {
			t.Fatal(err)
		}
		reopened.Close()
		if id.ID != 42 || !reflect.DeepEqual(saved, want) {
			t.Errorf("reopened as %+v with %d entries, want 42 with the saved state of %d entries", id, len(saved.Entries), len(want.Entries))
		}
	})
	store.Close()
}

// TestBitRotIsDetected guards against the use of a store with a flipped bit, which SQLite does
// not detect: the store is quarantined like any other damaged one.
func TestBitRotIsDetected(t *testing.T) {
	for _, damaged := range []string{"the vote of a member", "an entry of the log", "a state of the machine"} {
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
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		offset := -1
		for i := range content {
			if i+len(damaged) <= len(content) && string(content[i:i+len(damaged)]) == damaged {
				offset = i
			}
		}
		if offset < 0 {
			t.Fatalf("%q is not in the store", damaged)
		}
		content[offset] ^= 1
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		store, id, _, err := Open(dir, 42, nil)
		if err != nil || id.DiscardReason == nil || id.ID == 42 {
			t.Errorf("bit flipped in %q: Open() = %+v, %v; want a new identity", damaged, id, err)
		}
		store.Close()
	}
}

// TestDiskUsageIsBounded guards against exceeding a disk of 64 MB. It saves 600 entries of 400 KB
// or 4 KB, compacts the log with a snapshot of 400 KB after each 4 MB as a node does, quarantines
// the store at the end, and requires all files together to stay within 20 MB.
func TestDiskUsageIsBounded(t *testing.T) {
	for _, size := range []int{400 << 10, 4 << 10} {
		dir := t.TempDir()
		store, _, _, err := Open(dir, 42, nil)
		if err != nil {
			t.Fatal(err)
		}
		var maxBytes, bytesSinceSnapshot int64
		measure := func() {
			total := int64(0)
			for _, file := range readInodes(t, dir) {
				total += int64(len(file.data))
			}
			maxBytes = max(maxBytes, total)
		}
		for i := uint64(1); i <= 600; i++ {
			if err := store.Save(&raft.HardState{Term: 1}, nil, false, []raft.Entry{{Index: i, Term: 1, Data: make([]byte, size)}}); err != nil {
				t.Fatal(err)
			}
			if bytesSinceSnapshot += int64(size); bytesSinceSnapshot > 4<<20 {
				bytesSinceSnapshot = 0
				if err := store.Save(nil, &raft.Snapshot{Index: i, Term: 1, Data: make([]byte, 400<<10)}, false, nil); err != nil {
					t.Fatal(err)
				}
			}
			if i%8 == 0 || bytesSinceSnapshot == 0 {
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
		t.Logf("%d entries of %d bytes: peak disk usage %.1f MB", 600, size, float64(maxBytes)/(1<<20))
		if maxBytes > 20<<20 {
			t.Errorf("peak disk usage = %d bytes, want at most 20 MiB", maxBytes)
		}
	}
}
