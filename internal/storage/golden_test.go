package storage

import (
	"bytes"
	"context"
	"database/sql"
	"encoding/gob"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"lichentray/audit"
	"lichentray/coordination"
	"lichentray/internal/goldentest"
	"lichentray/raft"
	"lichentray/registry"
)

// The golden forms are the serialised types of the store as they were when the golden
// file was made. Their field names are data: gob writes them.
type (
	goldenHardState struct {
		Term uint64
		Vote uint64
	}
	goldenSnapshot struct {
		Index   uint64
		Term    uint64
		Members goldenMembership
		Data    []byte
	}
	goldenMembership struct {
		Voters   []goldenMember
		Learners []goldenMember
	}
	goldenMember struct {
		ID        uint64
		Addr      string
		API       string
		Uncounted bool
	}
)

// goldenIdentity is the identity that the golden store was made under.
const goldenIdentity = 0x0102030405060708

func goldenHard() raft.HardState { return raft.HardState{Term: 5, Vote: 12} }

func goldenMembers() raft.Membership {
	return raft.Membership{
		Voters: []raft.Member{
			{ID: 11, Addr: "127.0.0.1:7001", API: "127.0.0.1:8001"},
			{ID: 12, Addr: "127.0.0.1:7002", API: "127.0.0.1:8002", Uncounted: true},
		},
		Learners: []raft.Member{{ID: 13, Addr: "127.0.0.1:7003", API: "127.0.0.1:8003"}},
	}
}

// goldenMembersLater is the membership in the log after the snapshot.
func goldenMembersLater() raft.Membership {
	return raft.Membership{
		Voters: []raft.Member{
			{ID: 11, Addr: "127.0.0.1:7001", API: "127.0.0.1:8001"},
			{ID: 12, Addr: "127.0.0.1:7002", API: "127.0.0.1:8002", Uncounted: true},
			{ID: 13, Addr: "127.0.0.1:7003", API: "127.0.0.1:8003"},
		},
		Learners: []raft.Member{{ID: 14, Addr: "127.0.0.1:7004", API: "127.0.0.1:8004"}},
	}
}

// goldenMembersForm is goldenMembers, and goldenMembersLaterForm goldenMembersLater, as
// a reader of before has them.
func goldenMembersForm() goldenMembership {
	return goldenMembership{
		Voters: []goldenMember{
			{ID: 11, Addr: "127.0.0.1:7001", API: "127.0.0.1:8001"},
			{ID: 12, Addr: "127.0.0.1:7002", API: "127.0.0.1:8002", Uncounted: true},
		},
		Learners: []goldenMember{{ID: 13, Addr: "127.0.0.1:7003", API: "127.0.0.1:8003"}},
	}
}

func goldenMembersLaterForm() goldenMembership {
	return goldenMembership{
		Voters: []goldenMember{
			{ID: 11, Addr: "127.0.0.1:7001", API: "127.0.0.1:8001"},
			{ID: 12, Addr: "127.0.0.1:7002", API: "127.0.0.1:8002", Uncounted: true},
			{ID: 13, Addr: "127.0.0.1:7003", API: "127.0.0.1:8003"},
		},
		Learners: []goldenMember{{ID: 14, Addr: "127.0.0.1:7004", API: "127.0.0.1:8004"}},
	}
}

// goldenStateText holds the objects of the snapshot's state, key by key.
var goldenStateText = map[string]string{
	"accepted/00000000000000000011": "",
	"accepted/00000000000000000012": "",
	"configuration/current":         "\x00\x00\x00\x00\x00\x00\x00\x0c" + `{"config_version":"12","clusters":["payments","invoices"]}`,
	"departed/e0":                   "",
	"endpoints/e1":                  `{"id":"e1","service":"payments","version":"v1","address":"127.0.0.1:9001","zone":"zone-a","capacity":8,"draining":true,"sequence":21,"cold_s":2.5,"cold":true}`,
	"evacuations/zone-b":            `{"begins":3,"finishes":1,"begin_told":true,"finish_told":true}`,
	"proxies/p1":                    `{"name":"p1","address":"127.0.0.1:9101","zone":"zone-a","leaving":true,"weight":1.5}`,
	"rollouts/payments":             `{"base":"v1","order":1,"target":"v2","state":"in_progress","stage":1,"deadline_s":600,"spent_s":330}`,
}

// goldenLogTexts are the entries of the log after the snapshot; the membership's, whose
// bytes are not the same in every process, is empty here.
var goldenLogTexts = []string{
	"", // the entry that opens a leader's term
	"\x01\x01\x0cendpoints/e1\x03\x01\x0cendpoints/e1\x00\x05value",
	"\x02\x04\x06orders\x00\x00\x00\x00\x00\x00\x00\x00\x00",
	"",
}

func goldenEntries() []raft.Entry {
	return []raft.Entry{
		{Index: 41, Term: 5},
		{Index: 42, Term: 5, Data: registry.EncodeCommand(registry.Command{Txn: &registry.Txn{If: []registry.Compare{{Key: "endpoints/e1", ModRevision: 3}}, Then: []registry.Write{{Key: "endpoints/e1", Value: []byte("value")}}}})},
		{Index: 43, Term: 5, Data: registry.EncodeCommand(registry.Command{Coordination: &coordination.Command{Operation: coordination.NextNumber, Name: "orders"}})},
		{Index: 44, Term: 5, Type: raft.EntryConfChange, Data: goldenMembersLater().Encode()},
	}
}

// writeGoldenStore makes a store with this code, closes it and returns its path.
func writeGoldenStore(t *testing.T, state []byte) string {
	t.Helper()
	dir := t.TempDir()
	c, id, _, err := Open(dir, goldenIdentity, nil)
	if err != nil || !id.IsNew || id.ID != goldenIdentity {
		t.Fatal(id, err)
	}
	hard := goldenHard()
	before := []raft.Entry{{Index: 39, Term: 3, Data: []byte("dropped by the snapshot")}, {Index: 40, Term: 4, Data: []byte("this too")}}
	if err := c.Save(nil, nil, false, before); err != nil {
		t.Fatal(err)
	}
	snapshot := raft.Snapshot{Index: 40, Term: 4, Members: goldenMembers(), Data: state}
	if err := c.Save(&hard, &snapshot, false, goldenEntries()); err != nil {
		t.Fatal(err)
	}
	c.Close()
	left, err := os.ReadDir(dir)
	if err != nil || len(left) != 1 || left[0].Name() != "chest.db" {
		t.Fatalf("the closed store is %v, %v; want chest.db alone", left, err)
	}
	return filepath.Join(dir, "chest.db")
}

// goldenState returns the state that the golden store's snapshot holds: the image that
// the registry's own golden test compares field by field.
func goldenState(t *testing.T) []byte {
	t.Helper()
	state, err := os.ReadFile("../../registry/testdata/golden/image.gob")
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// TestGoldenStore reads a store that was written before.
func TestGoldenStore(t *testing.T) {
	golden := goldentest.File(t, "testdata/golden/chest.db", func() []byte {
		b, err := os.ReadFile(writeGoldenStore(t, goldenState(t)))
		if err != nil {
			t.Fatal(err)
		}
		return b
	})
	dir := t.TempDir()
	path := filepath.Join(dir, "chest.db")
	if err := os.WriteFile(path, golden, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Run("read as before", func(t *testing.T) { readStoreAsBefore(t, path) })
	t.Run("read by this code", func(t *testing.T) { readStoreByThisCode(t, dir) })
	t.Run("read as before after this code has opened it", func(t *testing.T) { readStoreAsBefore(t, path) })
}

// TestGoldenStoreWrittenAnew reads, as before, a store that this code writes.
func TestGoldenStoreWrittenAnew(t *testing.T) {
	path := writeGoldenStore(t, goldenState(t))
	readStoreAsBefore(t, path)
	readStoreByThisCode(t, filepath.Dir(path))
}

func readStoreByThisCode(t *testing.T, dir string) {
	t.Helper()
	c, id, saved, err := Open(dir, 99, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if id != (Identity{ID: goldenIdentity}) {
		t.Errorf("identity %+v", id)
	}
	goldentest.Same(t, "hard state", saved.HardState, goldenHard())
	goldentest.Same(t, "snapshot", saved.Snapshot, raft.Snapshot{Index: 40, Term: 4, Members: goldenMembers(), Data: goldenState(t)})
	goldentest.Complete(t, saved, describedMembers())
	if len(saved.Entries) != 4 {
		t.Fatalf("%d entries, want 4", len(saved.Entries))
	}
	members, err := raft.DecodeMembership(saved.Entries[3].Data)
	if err != nil {
		t.Error(err)
	}
	goldentest.Same(t, "membership in the log", members, goldenMembersLater())
	saved.Entries[3].Data = nil
	goldentest.Same(t, "entries", saved.Entries, []raft.Entry{
		{Index: 41, Term: 5, Data: []byte(goldenLogTexts[0])},
		{Index: 42, Term: 5, Data: []byte(goldenLogTexts[1])},
		{Index: 43, Term: 5, Data: []byte(goldenLogTexts[2])},
		{Index: 44, Term: 5, Type: raft.EntryConfChange},
	})
	command, err := registry.DecodeCommand(saved.Entries[1].Data)
	if err != nil {
		t.Error(err)
	}
	goldentest.Same(t, "entry 42", command, registry.Command{Txn: &registry.Txn{
		If:   []registry.Compare{{Key: "endpoints/e1", ModRevision: 3}},
		Then: []registry.Write{{Key: "endpoints/e1", Value: []byte("value")}},
	}})
	checkGoldenState(t, saved.Snapshot.Data)
}

// checkGoldenState restores the snapshot's state and compares what it holds.
func checkGoldenState(t *testing.T, state []byte) {
	t.Helper()
	s := registry.NewStore()
	if err := s.Restore(state); err != nil {
		t.Fatal(err)
	}
	objects := map[string]string{}
	for _, o := range s.List("") {
		objects[o.Key] = string(o.Value)
		if digest := strings.HasPrefix(o.Key, "accepted/"); digest && len(o.Value) != 16 {
			t.Errorf("%s holds %x, want a digest of 16 bytes", o.Key, o.Value)
		} else if digest {
			objects[o.Key] = ""
		}
	}
	goldentest.Same(t, "objects", objects, goldenStateText)
	if s.Revision() != 21 {
		t.Errorf("revision %d, want 21", s.Revision())
	}
	goldentest.Same(t, "locks", s.Coordination().Locks, map[string]coordination.Lock{"press": {Holder: "holder-1", Fence: 9, Grant: 10, HoldMS: 4000}})
	goldentest.Same(t, "cells", s.Coordination().Cells, map[string]coordination.Cell{"g.a": {Value: "3", Revision: 3}, "g.b": {Value: "2", Revision: 2}, "single": {Value: "4", Revision: 1}})
	events, revision, ok := s.Coordination().EventsSince("g.", 1)
	goldentest.Same(t, "events", events, []coordination.Event{{Name: "g.b", Value: "2", Revision: 2, At: 15}, {Name: "g.a", Value: "3", Revision: 3, At: 16}})
	if revision != 3 || !ok {
		t.Errorf("group at revision %d, reaches back: %t", revision, ok)
	}
	if _, _, ok := s.Coordination().EventsSince("g.", 0); ok {
		t.Error("events that were trimmed are there")
	}
	account := s.AuditLog().Query(audit.Filter{})
	goldentest.Same(t, "account", account, audit.QueryResult{
		Failures: []audit.Failure{
			{Tenant: "tenant-2", Request: "request-2", Kind: audit.Indeterminate, AtMS: 1700000000002, Attempts: []audit.Attempt{{Node: "p1", Record: audit.Record{Seq: 2, AtMS: 1700000000002, Tenant: "tenant-2", Route: "pay", Request: "request-2", Attempt: "attempt-2", Kind: audit.MaybeExecuted, Status: 502, TookMS: 32}}}},
			{Tenant: "tenant-3", Request: "request-3", Kind: audit.Failed, AtMS: 1700000000003, Attempts: []audit.Attempt{{Node: "p1", Record: audit.Record{Seq: 3, AtMS: 1700000000003, Tenant: "tenant-3", Route: "pay", Request: "request-3", Attempt: "attempt-3", Kind: audit.Failed, Status: 503, TookMS: 33}}}},
		},
		Counts:  map[string]map[audit.Kind]int{"tenant-2": {audit.Indeterminate: 1}, "tenant-3": {audit.Failed: 1}},
		Gaps:    map[string]audit.Incarnation{"life-1": {Node: "p1", Last: 3, LastMS: 1700000001000, Dropped: 6, PerS: 2, Out: 7, Gap: true, MayMiss: 11, At: 19}},
		Dropped: map[string]uint64{"tenant-1": 1},
	})
}

// readStoreAsBefore reads a store by SQL, column names and golden forms of its own.
func readStoreAsBefore(t *testing.T, path string) {
	t.Helper()
	db, err := sql.Open("sqlite3", "file:"+path+"?mode=ro&immutable=1")
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	ctx := context.Background()

	meta := map[string][]byte{}
	rows, err := db.QueryContext(ctx, "SELECT name, value, sum FROM meta")
	if err != nil {
		t.Fatal(err)
	}
	defer rows.Close()
	for rows.Next() {
		var name string
		var value []byte
		var sum int64
		if err := rows.Scan(&name, &value, &sum); err != nil {
			t.Fatal(err)
		}
		if want := goldenSum(name, value); sum != want {
			t.Errorf("meta %s has the checksum %d, want %d", name, sum, want)
		}
		meta[name] = value
	}
	if err := rows.Err(); err != nil {
		t.Fatal(err)
	}
	if len(meta) != 4 {
		t.Errorf("%d rows in meta, want id, hard, snapshot and state", len(meta))
	}
	if want := []byte{1, 2, 3, 4, 5, 6, 7, 8}; !bytes.Equal(meta["id"], want) {
		t.Errorf("id %x, want %x", meta["id"], want)
	}
	var hard goldenHardState
	if err := gob.NewDecoder(bytes.NewReader(meta["hard"])).Decode(&hard); err != nil {
		t.Error(err)
	}
	goldentest.Same(t, "hard", hard, goldenHardState{Term: 5, Vote: 12})
	var snapshot goldenSnapshot
	if err := gob.NewDecoder(bytes.NewReader(meta["snapshot"])).Decode(&snapshot); err != nil {
		t.Error(err)
	}
	goldentest.Same(t, "snapshot", snapshot, goldenSnapshot{Index: 40, Term: 4, Members: goldenMembersForm()})
	if !bytes.Equal(meta["state"], goldenState(t)) {
		t.Error("the state is not the one that was stored")
	}

	type row struct {
		index, term, kind int64
		data              string
	}
	var got []row
	logRows, err := db.QueryContext(ctx, "SELECT idx, term, type, data, sum FROM log ORDER BY idx")
	if err != nil {
		t.Fatal(err)
	}
	defer logRows.Close()
	for logRows.Next() {
		var r row
		var data []byte
		var sum int64
		if err := logRows.Scan(&r.index, &r.term, &r.kind, &data, &sum); err != nil {
			t.Fatal(err)
		}
		if want := goldenSum(fmt.Sprint(r.index, " ", r.term, " ", r.kind), data); sum != want {
			t.Errorf("entry %d has the checksum %d, want %d", r.index, sum, want)
		}
		if r.kind == 1 {
			var members goldenMembership
			if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&members); err != nil {
				t.Error(err)
			}
			goldentest.Same(t, "membership in the log", members, goldenMembersLaterForm())
			data = nil
		}
		r.data = string(data)
		got = append(got, r)
	}
	if err := logRows.Err(); err != nil {
		t.Fatal(err)
	}
	want := []row{{41, 5, 0, goldenLogTexts[0]}, {42, 5, 0, goldenLogTexts[1]}, {43, 5, 0, goldenLogTexts[2]}, {44, 5, 1, goldenLogTexts[3]}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("log %+v, want %+v", got, want)
	}
}

// goldenSum is the checksum of a row: of what names it, and of its data.
func goldenSum(names string, data []byte) int64 {
	return int64(crc32.Checksum(append([]byte(names), data...), crc32.MakeTable(crc32.Castagnoli)))
}

// describedMembers is goldenMembers with what the members say of their storage, which came later.
func describedMembers() raft.Membership {
	members := goldenMembers()
	members.Voters[0].Storage = raft.StorageDisk
	members.Learners[0].Storage = raft.StorageMemory
	return members
}

// TestStoreKeepsMemberStorage reads what members say of their storage from a snapshot of this code.
func TestStoreKeepsMemberStorage(t *testing.T) {
	dir := t.TempDir()
	c, _, _, err := Open(dir, goldenIdentity, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Save(nil, &raft.Snapshot{Index: 1, Term: 1, Members: describedMembers()}, false, nil); err != nil {
		t.Fatal(err)
	}
	c.Close()
	c, _, saved, err := Open(dir, 99, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	goldentest.Same(t, "members", saved.Snapshot.Members, describedMembers())
}
