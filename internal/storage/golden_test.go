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

// The golden types are the serialized types of the store as they were when the golden file was
// created. Their field names are part of the format, as gob writes them.
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

// goldenIdentity is the identity in the golden store.
const goldenIdentity = 0x0102030405060708

func goldenHardStateValue() raft.HardState { return raft.HardState{Term: 5, Vote: 12} }

func goldenMembers() raft.Membership {
	return raft.Membership{
		Voters: []raft.Member{
			{ID: 11, Addr: "127.0.0.1:7001", API: "127.0.0.1:8001"},
			{ID: 12, Addr: "127.0.0.1:7002", API: "127.0.0.1:8002", Uncounted: true},
		},
		Learners: []raft.Member{{ID: 13, Addr: "127.0.0.1:7003", API: "127.0.0.1:8003"}},
	}
}

// goldenLogMembers is the membership in the log entry that follows the snapshot.
func goldenLogMembers() raft.Membership {
	return raft.Membership{
		Voters: []raft.Member{
			{ID: 11, Addr: "127.0.0.1:7001", API: "127.0.0.1:8001"},
			{ID: 12, Addr: "127.0.0.1:7002", API: "127.0.0.1:8002", Uncounted: true},
			{ID: 13, Addr: "127.0.0.1:7003", API: "127.0.0.1:8003"},
		},
		Learners: []raft.Member{{ID: 14, Addr: "127.0.0.1:7004", API: "127.0.0.1:8004"}},
	}
}

// goldenTypedMembers is goldenMembers in the golden types, and goldenTypedLogMembers is
// goldenLogMembers.
func goldenTypedMembers() goldenMembership {
	return goldenMembership{
		Voters: []goldenMember{
			{ID: 11, Addr: "127.0.0.1:7001", API: "127.0.0.1:8001"},
			{ID: 12, Addr: "127.0.0.1:7002", API: "127.0.0.1:8002", Uncounted: true},
		},
		Learners: []goldenMember{{ID: 13, Addr: "127.0.0.1:7003", API: "127.0.0.1:8003"}},
	}
}

func goldenTypedLogMembers() goldenMembership {
	return goldenMembership{
		Voters: []goldenMember{
			{ID: 11, Addr: "127.0.0.1:7001", API: "127.0.0.1:8001"},
			{ID: 12, Addr: "127.0.0.1:7002", API: "127.0.0.1:8002", Uncounted: true},
			{ID: 13, Addr: "127.0.0.1:7003", API: "127.0.0.1:8003"},
		},
		Learners: []goldenMember{{ID: 14, Addr: "127.0.0.1:7004", API: "127.0.0.1:8004"}},
	}
}

// goldenStateObjects holds the objects in the snapshot's state by key. The values of accepted/,
// which are digests, are empty here.
var goldenStateObjects = map[string]string{
	"accepted/00000000000000000011": "",
	"accepted/00000000000000000012": "",
	"configuration/current":         "\x00\x00\x00\x00\x00\x00\x00\x0c" + `{"config_version":"12","clusters":["payments","invoices"]}`,
	"departed/e0":                   "",
	"endpoints/e1":                  `{"id":"e1","service":"payments","version":"v1","address":"127.0.0.1:9001","zone":"zone-a","capacity":8,"draining":true,"sequence":21,"cold_s":2.5,"cold":true}`,
	"evacuations/zone-b":            `{"begins":3,"finishes":1,"begin_told":true,"finish_told":true}`,
	"proxies/p1":                    `{"name":"p1","address":"127.0.0.1:9101","zone":"zone-a","leaving":true,"weight":1.5}`,
	"rollouts/payments":             `{"base":"v1","order":1,"target":"v2","state":"in_progress","stage":1,"deadline_s":600,"spent_s":330}`,
}

// goldenLogData is the data of the log entries after the snapshot. That of the membership, whose
// bytes differ between processes, is empty here.
var goldenLogData = []string{
	"", // the empty entry at the start of a leader's term
	"\x01\x01\x0cendpoints/e1\x03\x01\x0cendpoints/e1\x00\x05value",
	"\x02\x04\x06orders\x00\x00\x00\x00\x00\x00\x00\x00\x00",
	"",
}

func goldenEntries() []raft.Entry {
	return []raft.Entry{
		{Index: 41, Term: 5},
		{Index: 42, Term: 5, Data: registry.EncodeCommand(registry.Command{Txn: &registry.Txn{If: []registry.Compare{{Key: "endpoints/e1", ModRevision: 3}}, Then: []registry.Write{{Key: "endpoints/e1", Value: []byte("value")}}}})},
		{Index: 43, Term: 5, Data: registry.EncodeCommand(registry.Command{Coordination: &coordination.Command{Operation: coordination.NextNumber, Name: "orders"}})},
		{Index: 44, Term: 5, Type: raft.EntryConfChange, Data: goldenLogMembers().Encode()},
	}
}

// writeGoldenStore writes a store with the current code, closes it and returns its path.
func writeGoldenStore(t *testing.T, state []byte) string {
	t.Helper()
	dir := t.TempDir()
	store, id, _, err := Open(dir, goldenIdentity, nil)
	if err != nil || !id.IsNew || id.ID != goldenIdentity {
		t.Fatal(id, err)
	}
	hardState := goldenHardStateValue()
	before := []raft.Entry{{Index: 39, Term: 3, Data: []byte("dropped by the snapshot")}, {Index: 40, Term: 4, Data: []byte("this too")}}
	if err := store.Save(nil, nil, false, before); err != nil {
		t.Fatal(err)
	}
	snapshot := raft.Snapshot{Index: 40, Term: 4, Members: goldenMembers(), Data: state}
	if err := store.Save(&hardState, &snapshot, false, goldenEntries()); err != nil {
		t.Fatal(err)
	}
	store.Close()
	files, err := os.ReadDir(dir)
	if err != nil || len(files) != 1 || files[0].Name() != "chest.db" {
		t.Fatalf("files after Close = %v, %v; want only chest.db", files, err)
	}
	return filepath.Join(dir, "chest.db")
}

// goldenState returns the snapshot data of the golden store: the registry image that the golden
// test of package registry compares field by field.
func goldenState(t *testing.T) []byte {
	t.Helper()
	state, err := os.ReadFile("../../registry/testdata/golden/image.gob")
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// TestGoldenStore guards against a change of the storage format: the current code reads a store
// written by an earlier version, and leaves it readable with the golden types.
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
	t.Run("read with the golden types", func(t *testing.T) { readStoreWithGoldenTypes(t, path) })
	t.Run("read with the current code", func(t *testing.T) { readStoreWithCurrentCode(t, dir) })
	t.Run("read with the golden types after the current code opened it", func(t *testing.T) { readStoreWithGoldenTypes(t, path) })
}

// TestGoldenStoreWrittenAnew guards against a store that earlier versions cannot read: a store
// written by the current code is read with the golden types.
func TestGoldenStoreWrittenAnew(t *testing.T) {
	path := writeGoldenStore(t, goldenState(t))
	readStoreWithGoldenTypes(t, path)
	readStoreWithCurrentCode(t, filepath.Dir(path))
}

func readStoreWithCurrentCode(t *testing.T, dir string) {
	t.Helper()
	store, id, saved, err := Open(dir, 99, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if id != (Identity{ID: goldenIdentity}) {
		t.Errorf("Open() identity = %+v, want the golden identity", id)
	}
	goldentest.CheckEqual(t, "hard state", saved.HardState, goldenHardStateValue())
	goldentest.CheckEqual(t, "snapshot", saved.Snapshot, raft.Snapshot{Index: 40, Term: 4, Members: goldenMembers(), Data: goldenState(t)})
	goldentest.CheckComplete(t, saved, membersWithStorage())
	if len(saved.Entries) != 4 {
		t.Fatalf("Open() returned %d log entries, want 4", len(saved.Entries))
	}
	members, err := raft.DecodeMembership(saved.Entries[3].Data)
	if err != nil {
		t.Error(err)
	}
	goldentest.CheckEqual(t, "membership in the log", members, goldenLogMembers())
	saved.Entries[3].Data = nil
	goldentest.CheckEqual(t, "entries", saved.Entries, []raft.Entry{
		{Index: 41, Term: 5, Data: []byte(goldenLogData[0])},
		{Index: 42, Term: 5, Data: []byte(goldenLogData[1])},
		{Index: 43, Term: 5, Data: []byte(goldenLogData[2])},
		{Index: 44, Term: 5, Type: raft.EntryConfChange},
	})
	command, err := registry.DecodeCommand(saved.Entries[1].Data)
	if err != nil {
		t.Error(err)
	}
	goldentest.CheckEqual(t, "entry 42", command, registry.Command{Txn: &registry.Txn{
		If:   []registry.Compare{{Key: "endpoints/e1", ModRevision: 3}},
		Then: []registry.Write{{Key: "endpoints/e1", Value: []byte("value")}},
	}})
	checkGoldenState(t, saved.Snapshot.Data)
}

// checkGoldenState restores a registry from the snapshot data and compares its content.
func checkGoldenState(t *testing.T, state []byte) {
	t.Helper()
	restored := registry.NewStore()
	if err := restored.Restore(state); err != nil {
		t.Fatal(err)
	}
	objects := map[string]string{}
	for _, o := range restored.List("") {
		objects[o.Key] = string(o.Value)
		if isDigest := strings.HasPrefix(o.Key, "accepted/"); isDigest && len(o.Value) != 16 {
			t.Errorf("value of %s = %x, want a digest of 16 bytes", o.Key, o.Value)
		} else if isDigest {
			objects[o.Key] = ""
		}
	}
	goldentest.CheckEqual(t, "objects", objects, goldenStateObjects)
	if restored.Revision() != 21 {
		t.Errorf("Revision() = %d, want 21", restored.Revision())
	}
	goldentest.CheckEqual(t, "locks", restored.Coordination().Locks, map[string]coordination.Lock{"press": {Holder: "holder-1", Fence: 9, Grant: 10, HoldMS: 4000}})
	goldentest.CheckEqual(t, "cells", restored.Coordination().Cells, map[string]coordination.Cell{"g.a": {Value: "3", Revision: 3}, "g.b": {Value: "2", Revision: 2}, "single": {Value: "4", Revision: 1}})
	events, revision, ok := restored.Coordination().EventsSince("g.", 1)
	goldentest.CheckEqual(t, "events", events, []coordination.Event{{Name: "g.b", Value: "2", Revision: 2, At: 15}, {Name: "g.a", Value: "3", Revision: 3, At: 16}})
	if revision != 3 || !ok {
		t.Errorf(`EventsSince("g.", 1) = revision %d, %t; want 3, true`, revision, ok)
	}
	if _, _, ok := restored.Coordination().EventsSince("g.", 0); ok {
		t.Error(`EventsSince("g.", 0) succeeded although earlier events were trimmed`)
	}
	auditResult := restored.AuditLog().Query(audit.Filter{})
	goldentest.CheckEqual(t, "audit log", auditResult, audit.QueryResult{
		Failures: []audit.Failure{
			{Tenant: "tenant-2", Request: "request-2", Kind: audit.Indeterminate, AtMS: 1700000000002, Attempts: []audit.Attempt{{Node: "p1", Record: audit.Record{Seq: 2, AtMS: 1700000000002, Tenant: "tenant-2", Route: "pay", Request: "request-2", Attempt: "attempt-2", Kind: audit.MaybeExecuted, Status: 502, TookMS: 32}}}},
			{Tenant: "tenant-3", Request: "request-3", Kind: audit.Failed, AtMS: 1700000000003, Attempts: []audit.Attempt{{Node: "p1", Record: audit.Record{Seq: 3, AtMS: 1700000000003, Tenant: "tenant-3", Route: "pay", Request: "request-3", Attempt: "attempt-3", Kind: audit.Failed, Status: 503, TookMS: 33}}}},
		},
		Counts:  map[string]map[audit.Kind]int{"tenant-2": {audit.Indeterminate: 1}, "tenant-3": {audit.Failed: 1}},
		Gaps:    map[string]audit.Incarnation{"life-1": {Node: "p1", Last: 3, LastMS: 1700000001000, Dropped: 6, PerS: 2, Out: 7, Gap: true, MayMiss: 11, At: 19}},
		Dropped: map[string]uint64{"tenant-1": 1},
	})
}

// readStoreWithGoldenTypes reads a store with SQL, column names and types that do not depend on
// the code under test.
func readStoreWithGoldenTypes(t *testing.T, path string) {
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
		if want := goldenChecksum(name, value); sum != want {
			t.Errorf("checksum of meta row %s = %d, want %d", name, sum, want)
		}
		meta[name] = value
	}
	if err := rows.Err(); err != nil {
		t.Fatal(err)
	}
	if len(meta) != 4 {
		t.Errorf("meta has %d rows, want id, hard, snapshot and state", len(meta))
	}
	if want := []byte{1, 2, 3, 4, 5, 6, 7, 8}; !bytes.Equal(meta["id"], want) {
		t.Errorf("identity = %x, want %x", meta["id"], want)
	}
	var hardState goldenHardState
	if err := gob.NewDecoder(bytes.NewReader(meta["hard"])).Decode(&hardState); err != nil {
		t.Error(err)
	}
	goldentest.CheckEqual(t, "hard", hardState, goldenHardState{Term: 5, Vote: 12})
	var snapshot goldenSnapshot
	if err := gob.NewDecoder(bytes.NewReader(meta["snapshot"])).Decode(&snapshot); err != nil {
		t.Error(err)
	}
	goldentest.CheckEqual(t, "snapshot", snapshot, goldenSnapshot{Index: 40, Term: 4, Members: goldenTypedMembers()})
	if !bytes.Equal(meta["state"], goldenState(t)) {
		t.Error("snapshot data differs from the golden state")
	}

	type row struct {
		index, term, entryType int64
		data                   string
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
		if err := logRows.Scan(&r.index, &r.term, &r.entryType, &data, &sum); err != nil {
			t.Fatal(err)
		}
		if want := goldenChecksum(fmt.Sprint(r.index, " ", r.term, " ", r.entryType), data); sum != want {
			t.Errorf("checksum of log entry %d = %d, want %d", r.index, sum, want)
		}
		if r.entryType == 1 {
			var members goldenMembership
			if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&members); err != nil {
				t.Error(err)
			}
			goldentest.CheckEqual(t, "membership in the log", members, goldenTypedLogMembers())
			data = nil
		}
		r.data = string(data)
		got = append(got, r)
	}
	if err := logRows.Err(); err != nil {
		t.Fatal(err)
	}
	want := []row{{41, 5, 0, goldenLogData[0]}, {42, 5, 0, goldenLogData[1]}, {43, 5, 0, goldenLogData[2]}, {44, 5, 1, goldenLogData[3]}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("log = %+v, want %+v", got, want)
	}
}

// goldenChecksum returns the checksum of a row, independently of the code under test: of its
// other columns, followed by its data.
func goldenChecksum(columns string, data []byte) int64 {
	return int64(crc32.Checksum(append([]byte(columns), data...), crc32.MakeTable(crc32.Castagnoli)))
}

// membersWithStorage is goldenMembers with the field Storage, which was added after the golden
// store was written.
func membersWithStorage() raft.Membership {
	members := goldenMembers()
	members.Voters[0].Storage = raft.StorageDisk
	members.Learners[0].Storage = raft.StorageMemory
	return members
}

// TestStoreKeepsMemberStorage checks that the field Storage of members, which the golden store
// lacks, is stored with a snapshot.
func TestStoreKeepsMemberStorage(t *testing.T) {
	dir := t.TempDir()
	store, _, _, err := Open(dir, goldenIdentity, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Save(nil, &raft.Snapshot{Index: 1, Term: 1, Members: membersWithStorage()}, false, nil); err != nil {
		t.Fatal(err)
	}
	store.Close()
	store, _, saved, err := Open(dir, 99, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	goldentest.CheckEqual(t, "members", saved.Snapshot.Members, membersWithStorage())
}
