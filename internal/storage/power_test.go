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

// inode is a file with the name that it has in a folder.
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

// directoryAfterPowerLoss makes a folder in which each file that was made, renamed or removed
// since the last sync has its old name or its new one, or none.
func directoryAfterPowerLoss(t *testing.T, r *rand.Rand, synced, now map[uint64]inode) string {
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
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, i := range all {
		x := now[i]
		if r.Intn(2) == 0 {
			x.name = synced[i].name
		}
		if x.data == nil {
			x.data = synced[i].data
		}
		if x.name != "" {
			if err := os.WriteFile(filepath.Join(dir, x.name), x.data, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	return dir
}

// simulatePowerLosses plays, at each sync of the folder within run and at its end, several
// losses of power, and lets check see what each leaves.
func simulatePowerLosses(t *testing.T, dir string, run func(), check func(dir string, ended bool)) {
	t.Helper()
	r := rand.New(rand.NewSource(3))
	real, synced := syncDirectory, readInodes(t, dir)
	defer func() { syncDirectory = real }()
	cut := func(ended bool) {
		now := readInodes(t, dir)
		for range 24 {
			lost := directoryAfterPowerLoss(t, r, synced, now)
			hook := syncDirectory
			syncDirectory = real
			check(lost, ended)
			syncDirectory = hook
		}
		synced = now
	}
	syncDirectory = func(d string) error { cut(false); return real(d) }
	run()
	syncDirectory = real
	cut(true)
}

var errUnreadable = errors.New("this state cannot be read")

// TestPowerLossWhileSetAside: whatever names a loss of power keeps while a store is
// set aside, its identity never comes back without all that it had promised, and the
// new one is found again once it is used.
func TestPowerLossDuringQuarantine(t *testing.T) {
	dir := t.TempDir()
	c, _, _, err := Open(dir, 42, nil)
	if err != nil {
		t.Fatal(err)
	}
	hard := raft.HardState{}
	for i := uint64(1); i <= 300; i++ {
		hard = raft.HardState{Term: i, Vote: i}
		if err := c.Save(&hard, nil, false, []raft.Entry{{Index: i, Term: i, Data: make([]byte, 8000)}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Save(nil, &raft.Snapshot{Index: 300, Term: 300, Data: []byte("unreadable")}, false, nil); err != nil {
		t.Fatal(err)
	}
	// All processes are killed: the write-ahead log stays, once with the store that it
	// completes, once alone, as when that was just renamed.
	killed := readInodes(t, dir)
	c.Close()
	refuse := func(s raft.PersistentState) error {
		if string(s.Snapshot.Data) == "unreadable" {
			return errUnreadable
		}
		return nil
	}
	for _, whole := range []bool{true, false} {
		dir := t.TempDir()
		for _, x := range killed {
			if whole || x.name != databaseName {
				if err := os.WriteFile(filepath.Join(dir, x.name), x.data, 0o600); err != nil {
					t.Fatal(err)
				}
			}
		}
		var fresh Identity
		simulatePowerLosses(t, dir, func() {
			var saved raft.PersistentState
			if c, fresh, saved, err = Open(dir, 42, refuse); err != nil {
				t.Fatal(err)
			}
			if whole != errors.Is(fresh.DiscardReason, errUnreadable) || fresh.ID == 42 || len(saved.Entries) != 0 {
				t.Errorf("whole %v: opened as %+v with %+v", whole, fresh, saved.HardState)
			}
		}, func(lost string, ended bool) {
			again, id, saved, err := Open(lost, 42, nil)
			if err != nil {
				t.Fatal(err)
			}
			again.Close()
			if id.ID == 42 && saved.HardState != hard {
				t.Errorf("whole %v: the old identity came back with %+v of %+v", whole, saved.HardState, hard)
			}
			if ended && id.ID != fresh.ID {
				t.Errorf("whole %v: the new identity %x was lost: %+v", whole, fresh.ID, id)
			}
		})
		c.Close()
	}
}

// TestPowerLossAroundARestart: a write-ahead log that was removed when the store was
// closed may be back, the one made since gone; the store has all of it.
func TestPowerLossDuringRestart(t *testing.T) {
	dir := t.TempDir()
	c, _, _, err := Open(dir, 42, nil)
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
			if err := c.Save(&want.HardState, nil, false, []raft.Entry{e}); err != nil {
				t.Fatal(err)
			}
		}
	}
	save(40)
	simulatePowerLosses(t, dir, func() {
		c.Close()
		if c, _, _, err = Open(dir, 42, nil); err != nil {
			t.Fatal(err)
		}
	}, func(lost string, _ bool) {
		again, id, saved, err := Open(lost, 42, nil)
		if err != nil {
			t.Fatal(err)
		}
		again.Close()
		if id.ID != 42 || !reflect.DeepEqual(saved, want) {
			t.Errorf("found %+v with %d entries of %d", id, len(saved.Entries), len(want.Entries))
		}
	})
	c.Close()
}

// TestBitRot: damage that SQLite does not see costs the identity, as any does.
func TestBitRotIsDetected(t *testing.T) {
	for _, what := range []string{"the vote of a member", "an entry of the log", "a state of the machine"} {
		dir := t.TempDir()
		c, _, _, err := Open(dir, 42, nil)
		if err != nil {
			t.Fatal(err)
		}
		snap := raft.Snapshot{Index: 1, Term: 1, Data: []byte("a state of the machine"), Members: raft.Membership{Voters: []raft.Member{{ID: 42, Addr: "the vote of a member"}}}}
		if err := c.Save(&raft.HardState{Term: 2}, &snap, false, []raft.Entry{{Index: 2, Term: 2, Data: []byte("an entry of the log")}}); err != nil {
			t.Fatal(err)
		}
		c.Close()
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
		c, id, _, err := Open(dir, 42, nil)
		if err != nil || id.DiscardReason == nil || id.ID == 42 {
			t.Errorf("%s: opened as %+v, %v", what, id, err)
		}
		c.Close()
	}
}

// TestDiskOverALongDay: a day of 600 configurations of 400 KB, whole or as changes of
// some kilobytes, with the log compacted as a node does, and one set aside at its end,
// stays far inside 64 MB, the write-ahead log with it.
func TestDiskUsageIsBounded(t *testing.T) {
	for _, size := range []int{400 << 10, 4 << 10} {
		dir := t.TempDir()
		c, _, _, err := Open(dir, 42, nil)
		if err != nil {
			t.Fatal(err)
		}
		var most, logged int64
		measure := func() {
			sum := int64(0)
			for _, x := range readInodes(t, dir) {
				sum += int64(len(x.data))
			}
			most = max(most, sum)
		}
		for i := uint64(1); i <= 600; i++ {
			if err := c.Save(&raft.HardState{Term: 1}, nil, false, []raft.Entry{{Index: i, Term: 1, Data: make([]byte, size)}}); err != nil {
				t.Fatal(err)
			}
			if logged += int64(size); logged > 4<<20 {
				logged = 0
				if err := c.Save(nil, &raft.Snapshot{Index: i, Term: 1, Data: make([]byte, 400<<10)}, false, nil); err != nil {
					t.Fatal(err)
				}
			}
			if i%8 == 0 || logged == 0 {
				measure()
			}
		}
		c.Close()
		c, _, _, err = Open(dir, 42, func(s raft.PersistentState) error {
			if s.Snapshot.Index > 0 {
				return errUnreadable
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		measure()
		c.Close()
		t.Logf("%d changes of %d bytes: at most %.1f MB", 600, size, float64(most)/(1<<20))
		if most > 20<<20 {
			t.Errorf("%d bytes on the disk", most)
		}
	}
}
