package registry

import (
	"bytes"
	"encoding/gob"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"lichentray/audit"
	"lichentray/coordination"
	"lichentray/eventlog"
	"lichentray/internal/goldentest"
)

// The golden types are the serialized types of a snapshot image at the time when the golden
// files were written. Gob writes their field names, so the names must not change.
type (
	goldenImage struct {
		Revision uint64
		Objects  []goldenObject
		Latches  *goldenTable
		Account  *goldenAuditLog
	}
	goldenObject struct {
		Key            string
		Value          []byte
		CreateRevision uint64
		ModRevision    uint64
	}
	goldenTable struct {
		Locks  map[string]goldenLock
		Cells  map[string]goldenCell
		Feed   *goldenEventLog
		Groups map[string]*goldenLegacyGroup
	}
	goldenLock struct {
		Holder string
		Fence  uint64
		Grant  uint64
		HoldMS uint64
	}
	goldenCell struct {
		Value    string
		Revision uint64
	}
	goldenEventLog struct {
		Entries     []goldenEventLogEntry
		Last, Floor map[string]uint64
	}
	goldenEventLogEntry struct {
		At     uint64
		Topic  string
		Number uint64
		Value  goldenCellChange
	}
	goldenCellChange  struct{ Name, Value string }
	goldenLegacyGroup struct {
		Revision uint64
		Floor    uint64
		Events   []goldenCellEvent
	}
	goldenCellEvent struct {
		Name     string
		Value    string
		Revision uint64
		At       uint64
	}
	goldenAuditLog struct {
		Lives   map[string]*goldenIncarnation
		Entries map[string]*goldenEntry
		Dropped map[string]uint64
		Ats     map[string]uint64
	}
	goldenIncarnation struct {
		Node    string
		Last    uint64
		LastMS  int64
		Dropped uint64
		PerS    float64
		Out     int
		Closed  bool
		Gap     bool
		MayMiss int64
		At      uint64
	}
	goldenEntry struct {
		Tenant  string
		Request string
		Tries   []goldenAttempt
	}
	goldenAttempt struct {
		Node   string
		Record goldenRecord
	}
	goldenRecord struct {
		Seq     uint64
		AtMS    int64
		Tenant  string
		Route   string
		Request string
		Attempt string
		Kind    string
		Status  int
		TookMS  int64
	}
)

// Values of objects in the golden image.
const (
	goldenConfigText     = `{"config_version":"12","clusters":["payments","invoices"]}`
	goldenEndpointText   = `{"id":"e1","service":"payments","version":"v1","address":"127.0.0.1:9001","zone":"zone-a","capacity":8,"draining":true,"sequence":21,"cold_s":2.5,"cold":true}`
	goldenProxyText      = `{"name":"p1","address":"127.0.0.1:9101","zone":"zone-a","leaving":true,"weight":1.5}`
	goldenEvacuationText = `{"begins":3,"finishes":1,"begin_told":true,"finish_told":true}`
	goldenRolloutText    = `{"base":"v1","order":1,"target":"v2","state":"in_progress","stage":1,"deadline_s":600,"spent_s":330}`
)

// goldenStore applies the commands that produce the state of the golden image.
func goldenStore(t *testing.T) *Store {
	t.Helper()
	s := NewStore()
	put := func(key, value string) {
		s.Apply(Command{Txn: &Txn{Then: []Write{{Key: key, Value: []byte(value)}}}})
	}
	applyAuditBatch := func(b audit.Batch) { s.Apply(Command{Audit: &b}) }
	acceptConfig := func(version uint64, text string) {
		txn, err := s.BuildConfigTxn(version, []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		s.Apply(Command{Txn: txn})
	}
	acceptConfig(11, `{"config_version":"11"}`) // 1
	acceptConfig(12, goldenConfigText)          // 2
	put("endpoints/e1", goldenEndpointText)
	put("departed/e0", "")
	put("proxies/p1", goldenProxyText)
	put("evacuations/zone-b", goldenEvacuationText)
	put("rollouts/payments", `{"base":"v1"}`)
	put("rollouts/payments", goldenRolloutText) // 8
	for _, c := range []coordination.Command{
		{Operation: coordination.AcquireLock, Name: "press", Holder: "holder-1", LeaseMS: 3000},                    // 9
		{Operation: coordination.RenewLock, Name: "press", Holder: "holder-1", FencingToken: 9, LeaseMS: 4000},     // 10
		{Operation: coordination.AcquireLock, Name: "given-back", Holder: "holder-2", LeaseMS: 1000},               // 11
		{Operation: coordination.ReleaseLock, Name: "given-back", Holder: "holder-2", FencingToken: 11},            // 12
		{Operation: coordination.NextNumber, Name: "orders"},                                                       // 13
		{Operation: coordination.PutCell, Name: "g.a", Value: "1"},                                                 // 14
		{Operation: coordination.PutCell, Name: "g.b", Value: "2"},                                                 // 15
		{Operation: coordination.PutCell, Name: "g.a", Value: "3", HasExpectedRevision: true, ExpectedRevision: 1}, // 16
		{Operation: coordination.PutCell, Name: "single", Value: "4"},                                              // 17
		{Operation: coordination.CompactHistory, CompactBefore: 14},                                                // 18
	} {
		if r, _ := s.Apply(Command{Coordination: &c}); r.Latch.Code != coordination.OK {
			t.Fatalf("Apply(%+v) = %+v, want the code OK", c, r)
		}
	}
	record := func(seq uint64, kind audit.Kind) audit.Record {
		return audit.Record{Seq: seq, AtMS: 1700000000000 + int64(seq), Tenant: fmt.Sprint("tenant-", seq), Route: "pay", Request: fmt.Sprint("request-", seq), Attempt: fmt.Sprint("attempt-", seq), Kind: kind, Status: 500 + int(seq), TookMS: 30 + int64(seq)}
	}
	applyAuditBatch(audit.Batch{Life: "life-1", Node: "p1", AtMS: 1700000001000, Records: []audit.Record{record(1, audit.MissedLatencyTarget), record(2, audit.MaybeExecuted), record(3, audit.Failed)}, Dropped: 6, PerS: 2, Out: 7, Most: 2}) // 19
	applyAuditBatch(audit.Batch{Life: "life-2", Node: "p1", AtMS: 1700000003000, Most: 2})                                                                                                                                                      // 20; ends life-1
	applyAuditBatch(audit.Batch{Life: "life-3", Node: "p2", AtMS: 1700000004000, Closed: true, Most: 2})                                                                                                                                        // 21
	return s
}

func goldenObjects() []Object {
	return []Object{
		{Key: "accepted/00000000000000000011", Value: []byte("\x37\x8f\xbe\xaf\x51\x57\xeb\x8a\x12\x78\xdc\xc2\xdb\xc9\x73\xa6"), CreateRevision: 1, ModRevision: 1},
		{Key: "accepted/00000000000000000012", Value: []byte("\xf3\x33\x10\xf4\x5f\x10\x4c\xee\x92\x98\xdc\x05\xb2\x16\xd8\x66"), CreateRevision: 2, ModRevision: 2},
		{Key: "configuration/current", Value: []byte("\x00\x00\x00\x00\x00\x00\x00\x0c" + goldenConfigText), CreateRevision: 1, ModRevision: 2},
		{Key: "departed/e0", CreateRevision: 4, ModRevision: 4},
		{Key: "endpoints/e1", Value: []byte(goldenEndpointText), CreateRevision: 3, ModRevision: 3},
		{Key: "evacuations/zone-b", Value: []byte(goldenEvacuationText), CreateRevision: 6, ModRevision: 6},
		{Key: "proxies/p1", Value: []byte(goldenProxyText), CreateRevision: 5, ModRevision: 5},
		{Key: "rollouts/payments", Value: []byte(goldenRolloutText), CreateRevision: 7, ModRevision: 8},
	}
}

func goldenStoreImage() snapshotImage {
	return snapshotImage{
		Revision: 21,
		Objects:  goldenObjects(),
		Latches: &coordination.Table{
			Locks: map[string]coordination.Lock{"press": {Holder: "holder-1", Fence: 9, Grant: 10, HoldMS: 4000}},
			Cells: map[string]coordination.Cell{"g.a": {Value: "3", Revision: 3}, "g.b": {Value: "2", Revision: 2}, "single": {Value: "4", Revision: 1}},
			Feed: &eventlog.Log[coordination.CellChange]{
				Entries: []eventlog.Entry[coordination.CellChange]{
					{At: 15, Topic: "g.", Number: 2, Value: coordination.CellChange{Name: "g.b", Value: "2"}},
					{At: 16, Topic: "g.", Number: 3, Value: coordination.CellChange{Name: "g.a", Value: "3"}},
					{At: 17, Topic: "single", Number: 1, Value: coordination.CellChange{Name: "single", Value: "4"}},
				},
				Last:  map[string]uint64{"g.": 3, "single": 1},
				Floor: map[string]uint64{"g.": 1},
			},
		},
		Account: &audit.Log{
			Lives: map[string]*audit.Incarnation{
				"life-1": {Node: "p1", Last: 3, LastMS: 1700000001000, Dropped: 6, PerS: 2, Out: 7, Gap: true, MayMiss: 11, At: 19},
				"life-2": {Node: "p1", LastMS: 1700000003000, At: 20},
				"life-3": {Node: "p2", LastMS: 1700000004000, Closed: true, At: 21},
			},
			Entries: map[string]*audit.Entry{
				"tenant-2\x00request-2": {Tenant: "tenant-2", Request: "request-2", Tries: []audit.Attempt{
					{Node: "p1", Record: audit.Record{Seq: 2, AtMS: 1700000000002, Tenant: "tenant-2", Route: "pay", Request: "request-2", Attempt: "attempt-2", Kind: audit.MaybeExecuted, Status: 502, TookMS: 32}}}},
				"tenant-3\x00request-3\x00life-1\x00attempt-3\x00failed": {Tenant: "tenant-3", Request: "request-3", Tries: []audit.Attempt{
					{Node: "p1", Record: audit.Record{Seq: 3, AtMS: 1700000000003, Tenant: "tenant-3", Route: "pay", Request: "request-3", Attempt: "attempt-3", Kind: audit.Failed, Status: 503, TookMS: 33}}}},
			},
			Dropped: map[string]uint64{"tenant-1": 1},
			Ats:     map[string]uint64{"tenant-2\x00request-2": 19, "tenant-3\x00request-3\x00life-1\x00attempt-3\x00failed": 19},
		},
	}
}

func goldenStoreImageForm() goldenImage {
	return goldenImage{
		Revision: 21,
		Objects: []goldenObject{
			{Key: "accepted/00000000000000000011", Value: []byte("\x37\x8f\xbe\xaf\x51\x57\xeb\x8a\x12\x78\xdc\xc2\xdb\xc9\x73\xa6"), CreateRevision: 1, ModRevision: 1},
			{Key: "accepted/00000000000000000012", Value: []byte("\xf3\x33\x10\xf4\x5f\x10\x4c\xee\x92\x98\xdc\x05\xb2\x16\xd8\x66"), CreateRevision: 2, ModRevision: 2},
			{Key: "configuration/current", Value: []byte("\x00\x00\x00\x00\x00\x00\x00\x0c" + goldenConfigText), CreateRevision: 1, ModRevision: 2},
			{Key: "departed/e0", CreateRevision: 4, ModRevision: 4},
			{Key: "endpoints/e1", Value: []byte(goldenEndpointText), CreateRevision: 3, ModRevision: 3},
			{Key: "evacuations/zone-b", Value: []byte(goldenEvacuationText), CreateRevision: 6, ModRevision: 6},
			{Key: "proxies/p1", Value: []byte(goldenProxyText), CreateRevision: 5, ModRevision: 5},
			{Key: "rollouts/payments", Value: []byte(goldenRolloutText), CreateRevision: 7, ModRevision: 8},
		},
		Latches: &goldenTable{
			Locks: map[string]goldenLock{"press": {Holder: "holder-1", Fence: 9, Grant: 10, HoldMS: 4000}},
			Cells: map[string]goldenCell{"g.a": {Value: "3", Revision: 3}, "g.b": {Value: "2", Revision: 2}, "single": {Value: "4", Revision: 1}},
			Feed: &goldenEventLog{
				Entries: []goldenEventLogEntry{
					{At: 15, Topic: "g.", Number: 2, Value: goldenCellChange{Name: "g.b", Value: "2"}},
					{At: 16, Topic: "g.", Number: 3, Value: goldenCellChange{Name: "g.a", Value: "3"}},
					{At: 17, Topic: "single", Number: 1, Value: goldenCellChange{Name: "single", Value: "4"}},
				},
				Last:  map[string]uint64{"g.": 3, "single": 1},
				Floor: map[string]uint64{"g.": 1},
			},
		},
		Account: &goldenAuditLog{
			Lives: map[string]*goldenIncarnation{
				"life-1": {Node: "p1", Last: 3, LastMS: 1700000001000, Dropped: 6, PerS: 2, Out: 7, Gap: true, MayMiss: 11, At: 19},
				"life-2": {Node: "p1", LastMS: 1700000003000, At: 20},
				"life-3": {Node: "p2", LastMS: 1700000004000, Closed: true, At: 21},
			},
			Entries: map[string]*goldenEntry{
				"tenant-2\x00request-2": {Tenant: "tenant-2", Request: "request-2", Tries: []goldenAttempt{
					{Node: "p1", Record: goldenRecord{Seq: 2, AtMS: 1700000000002, Tenant: "tenant-2", Route: "pay", Request: "request-2", Attempt: "attempt-2", Kind: "unsure", Status: 502, TookMS: 32}}}},
				"tenant-3\x00request-3\x00life-1\x00attempt-3\x00failed": {Tenant: "tenant-3", Request: "request-3", Tries: []goldenAttempt{
					{Node: "p1", Record: goldenRecord{Seq: 3, AtMS: 1700000000003, Tenant: "tenant-3", Route: "pay", Request: "request-3", Attempt: "attempt-3", Kind: "failed", Status: 503, TookMS: 33}}}},
			},
			Dropped: map[string]uint64{"tenant-1": 1},
			Ats:     map[string]uint64{"tenant-2\x00request-2": 19, "tenant-3\x00request-3\x00life-1\x00attempt-3\x00failed": 19},
		},
	}
}

// goldenLegacyGroupsImage returns an image with one history per group, as versions without
// the event log wrote it.
func goldenLegacyGroupsImage() snapshotImage {
	return snapshotImage{
		Revision: 31,
		Objects:  []Object{{Key: "proxies/p2", Value: []byte(goldenProxyText), CreateRevision: 30, ModRevision: 31}},
		Latches: &coordination.Table{
			Locks: map[string]coordination.Lock{"press": {Holder: "holder-3", Fence: 24, Grant: 25, HoldMS: 5000}},
			Cells: map[string]coordination.Cell{"h.a": {Value: "6", Revision: 7}},
			Groups: map[string]*coordination.LegacyGroup{"h.": {Revision: 7, Floor: 5, Events: []coordination.Event{
				{Name: "h.b", Value: "5", Revision: 6, At: 26},
				{Name: "h.a", Value: "6", Revision: 7, At: 27},
			}}},
		},
	}
}

func goldenLegacyGroupsImageForm() goldenImage {
	return goldenImage{
		Revision: 31,
		Objects:  []goldenObject{{Key: "proxies/p2", Value: []byte(goldenProxyText), CreateRevision: 30, ModRevision: 31}},
		Latches: &goldenTable{
			Locks: map[string]goldenLock{"press": {Holder: "holder-3", Fence: 24, Grant: 25, HoldMS: 5000}},
			Cells: map[string]goldenCell{"h.a": {Value: "6", Revision: 7}},
			Groups: map[string]*goldenLegacyGroup{"h.": {Revision: 7, Floor: 5, Events: []goldenCellEvent{
				{Name: "h.b", Value: "5", Revision: 6, At: 26},
				{Name: "h.a", Value: "6", Revision: 7, At: 27},
			}}},
		},
	}
}

func goldenDecode[T any](t *testing.T, data []byte) (v T) {
	t.Helper()
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&v); err != nil {
		t.Fatal(err)
	}
	return v
}

func goldenEncode(t *testing.T, v any) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func goldenSnapshot(t *testing.T, s *Store) []byte {
	t.Helper()
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestGoldenImage guards against changes of the snapshot format. The current code must
// decode the golden file, and the golden types must decode what the current code writes.
func TestGoldenImage(t *testing.T) {
	golden := goldentest.File(t, "testdata/golden/image.gob", func() []byte { return goldenSnapshot(t, goldenStore(t)) })
	goldentest.CheckEqual(t, "golden file, read by this code", goldenDecode[snapshotImage](t, golden), goldenStoreImage())

	restored := NewStore()
	if err := restored.Restore(golden); err != nil {
		t.Fatal(err)
	}
	for what, data := range map[string][]byte{
		"golden file":                          golden,
		"written by this code":                 goldenSnapshot(t, goldenStore(t)),
		"restored and written by this code":    goldenSnapshot(t, restored),
		"encoded from the values of this code": goldenEncode(t, goldenStoreImage()),
	} {
		goldentest.CheckEqual(t, what+", read as before", goldenDecode[goldenImage](t, data), goldenStoreImageForm())
	}
	goldentest.CheckComplete(t, goldenStoreImage(), goldenLegacyGroupsImage())
	goldentest.CheckComplete(t, goldenStoreImageForm(), goldenLegacyGroupsImageForm())
}

// TestGoldenLegacyGroupsImage guards against snapshots of versions without the event log
// that can no longer be restored. The current code only reads that format.
func TestGoldenLegacyGroupsImage(t *testing.T) {
	golden := goldentest.File(t, "testdata/golden/image-groups.gob", func() []byte { return goldenEncode(t, goldenLegacyGroupsImage()) })
	goldentest.CheckEqual(t, "golden file, read by this code", goldenDecode[snapshotImage](t, golden), goldenLegacyGroupsImage())
	goldentest.CheckEqual(t, "golden file, read as before", goldenDecode[goldenImage](t, golden), goldenLegacyGroupsImageForm())
	s := NewStore()
	if err := s.Restore(golden); err != nil {
		t.Fatal(err)
	}
	events, revision, ok := s.Coordination().EventsSince("h.", 5)
	want := []coordination.Event{{Name: "h.b", Value: "5", Revision: 6, At: 26}, {Name: "h.a", Value: "6", Revision: 7, At: 27}}
	if goldentest.CheckEqual(t, "events", events, want); revision != 7 || !ok {
		t.Errorf("EventsSince returned revision %d and ok %t, want 7 and true", revision, ok)
	}
}

func goldenCommands() []Command {
	coordinationCommand := func(c coordination.Command) Command { return Command{Coordination: &c} }
	return []Command{
		{Txn: &Txn{}},
		{Txn: &Txn{
			If: []Compare{{Key: "endpoints/e1", ModRevision: 300}, {Key: "departed/e1"}},
			Then: []Write{
				{Key: "endpoints/e1", Value: []byte("written")},
				{Key: "endpoints/e2", IsDelete: true},
				{Key: "configuration/current", Value: []byte("\x00\x03\x01x"), IsDelta: true},
			},
		}},
		coordinationCommand(coordination.Command{Operation: coordination.AcquireLock, Name: "press", Holder: "holder-1", LeaseMS: 3000, ExpiredToken: 41, ExpiredGrant: 42}),
		coordinationCommand(coordination.Command{Operation: coordination.RenewLock, Name: "press", Holder: "holder-1", FencingToken: 43, LeaseMS: 3001}),
		coordinationCommand(coordination.Command{Operation: coordination.ReleaseLock, Name: "press", Holder: "holder-1", FencingToken: 44}),
		coordinationCommand(coordination.Command{Operation: coordination.NextNumber, Name: "orders"}),
		coordinationCommand(coordination.Command{Operation: coordination.PutCell, Name: "g.a", Value: "value-1", ExpectedRevision: 45, HasExpectedRevision: true}),
		coordinationCommand(coordination.Command{Operation: coordination.CompactHistory, CompactBefore: 460000}),
		coordinationCommand(coordination.Command{Operation: coordination.PutCell, Name: "name", Holder: "holder", Value: "value", FencingToken: 1, LeaseMS: 2, ExpiredToken: 3, ExpiredGrant: 4, ExpectedRevision: 5, HasExpectedRevision: true, CompactBefore: 6}),
		{Audit: &audit.Batch{
			Life: "life-1", Node: "p1", AtMS: 1700000000001, Dropped: 51, PerS: 52.5, Out: 53, Closed: true, Most: 54,
			Records: []audit.Record{{Seq: 55, AtMS: 1700000000002, Tenant: "tenant-1", Route: "pay", Request: "request-1", Attempt: "attempt-1", Kind: audit.Truncated, Status: 200, TookMS: 56}},
		}},
	}
}

// TestGoldenCommands guards against changes of the log encoding: the commands of the golden
// file must be encoded to the same bytes and decoded to the same fields.
func TestGoldenCommands(t *testing.T) {
	want := goldenCommands()
	golden := goldentest.File(t, "testdata/golden/commands.hex", func() []byte {
		var b bytes.Buffer
		for _, c := range want {
			fmt.Fprintf(&b, "%x\n", EncodeCommand(c))
		}
		return b.Bytes()
	})
	lines := strings.Fields(string(golden))
	if len(lines) != len(want) {
		t.Fatalf("%d commands, want %d", len(lines), len(want))
	}
	for i, line := range lines {
		if got := fmt.Sprintf("%x", EncodeCommand(want[i])); got != line {
			t.Errorf("command %d is encoded as %s, want %s", i, got, line)
		}
		data, err := hex.DecodeString(line)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeCommand(data)
		if err != nil {
			t.Error(err)
		}
		goldentest.CheckEqual(t, fmt.Sprint("command ", i), got, want[i])
	}
	goldentest.CheckComplete(t, want)
}

// TestGoldenDelta guards against changes of the delta encoding, which the log stores: a
// delta must equal the golden file byte by byte.
func TestGoldenDelta(t *testing.T) {
	item := func(name string) string { return `{"name":"` + name + `","address":"127.0.0.1:9001"}` }
	before := "[" + item("first") + "," + item("second") + "," + item("third") + "]"
	after := "[" + item("first") + "," + item("new") + "," + item("second") + "," + item("third") + "]"
	golden := goldentest.File(t, "testdata/golden/delta.hex", func() []byte {
		return fmt.Appendf(nil, "%x\n", ComputeDelta([]byte(before), []byte(after)))
	})
	if got := fmt.Sprintf("%x\n", ComputeDelta([]byte(before), []byte(after))); got != string(golden) {
		t.Errorf("delta is encoded as %s, want %s", got, golden)
	}
	data, err := hex.DecodeString(strings.TrimSpace(string(golden)))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := ApplyDelta([]byte(before), data); err != nil || string(got) != after {
		t.Errorf("ApplyDelta(golden) = %s, %v; want the new value", got, err)
	}
}

// TestGoldenValues guards against changes of the stored object values: the values of the
// golden file must be encoded to the same bytes and decoded to the same fields.
func TestGoldenValues(t *testing.T) {
	endpoints := []Endpoint{
		{ID: "e1", Service: "payments", Address: "127.0.0.1:9001", Zone: "zone-a", Capacity: 8, Sequence: 21},
		{ID: "e2", Service: "invoices", Version: "v2", Address: "127.0.0.1:9002", Zone: "zone-b", Capacity: 9, Draining: true, Sequence: 22, WarmUpSeconds: 2.5, WarmingUp: true},
	}
	proxies := []Proxy{
		{Name: "p1", Address: "127.0.0.1:9101", Zone: "zone-a", Weight: 1},
		{Name: "p2", Address: "127.0.0.1:9102", Zone: "zone-b", Leaving: true, Weight: 1.5},
	}
	evacuations := []Evacuation{
		{BeginCount: 1},
		{BeginCount: 4, FinishCount: 2, BeginAcknowledged: true, FinishAcknowledged: true},
		{BeginCount: 3, FinishCount: 3, BeginAcknowledged: true},
	}
	values := [][]byte{}
	for _, e := range endpoints {
		values = append(values, e.Encode())
	}
	for _, p := range proxies {
		values = append(values, p.Encode())
	}
	for _, e := range evacuations {
		values = append(values, e.Encode())
	}
	values = append(values, EncodeConfig(0x0102030405060708, []byte(goldenConfigText)), ConfigDigest([]byte(goldenConfigText)), []byte(AcceptedConfigKey(12)))
	golden := goldentest.File(t, "testdata/golden/values.txt", func() []byte {
		var b bytes.Buffer
		for _, v := range values {
			fmt.Fprintf(&b, "%q\n", v)
		}
		return b.Bytes()
	})
	lines := strings.Split(strings.TrimSuffix(string(golden), "\n"), "\n")
	if len(lines) != len(values) {
		t.Fatalf("%d values, want %d", len(lines), len(values))
	}
	for i, line := range lines {
		if got := fmt.Sprintf("%q", values[i]); got != line {
			t.Errorf("value %d is encoded as %s, want %s", i, got, line)
		}
		var raw string
		if _, err := fmt.Sscanf(line, "%q", &raw); err != nil {
			t.Fatal(err)
		}
		o := Object{Key: fmt.Sprint("value ", i), Value: []byte(raw)}
		switch {
		case i < 2:
			got, err := DecodeEndpoint(o)
			if err != nil {
				t.Error(err)
			}
			goldentest.CheckEqual(t, o.Key, got, endpoints[i])
		case i < 4:
			got, err := DecodeProxy(o)
			if err != nil {
				t.Error(err)
			}
			goldentest.CheckEqual(t, o.Key, got, proxies[i-2])
		case i < 7:
			goldentest.CheckEqual(t, o.Key, DecodeEvacuation(o), evacuations[i-4])
		case i == 7:
			if version, text, ok := DecodeConfig(o); version != 0x0102030405060708 || string(text) != goldenConfigText || !ok {
				t.Errorf("DecodeConfig = %x, %s, %t; want the golden configuration", version, text, ok)
			}
		}
	}
	goldentest.CheckComplete(t, endpoints, proxies, evacuations, goldenDrainingEndpoint, goldenDeparture)

	// Earlier versions wrote only the state of a zone.
	for value, want := range map[string]Evacuation{
		"":             {},
		"evacuated":    {BeginCount: 1, BeginAcknowledged: true},
		"returning":    {BeginCount: 1, FinishCount: 1, BeginAcknowledged: true, FinishAcknowledged: true},
		"unreadable {": {BeginCount: 1, BeginAcknowledged: true},
	} {
		goldentest.CheckEqual(t, value, DecodeEvacuation(Object{Value: []byte(value)}), want)
	}
	// The values in the golden image must equal what the current code writes.
	for text, got := range map[string][]byte{
		goldenEndpointText:   Endpoint{ID: "e1", Service: "payments", Version: "v1", Address: "127.0.0.1:9001", Zone: "zone-a", Capacity: 8, Draining: true, Sequence: 21, WarmUpSeconds: 2.5, WarmingUp: true}.Encode(),
		goldenProxyText:      Proxy{Name: "p1", Address: "127.0.0.1:9101", Zone: "zone-a", Leaving: true, Weight: 1.5}.Encode(),
		goldenEvacuationText: Evacuation{BeginCount: 3, FinishCount: 1, BeginAcknowledged: true, FinishAcknowledged: true}.Encode(),
	} {
		if string(got) != text {
			t.Errorf("value is encoded as %s, want %s", got, text)
		}
	}
	for name, got := range map[string]string{
		"endpoints/": EndpointPrefix, "departed/": DepartedPrefix, "proxies/": ProxyPrefix, "evacuations/": EvacuationPrefix,
		"rollouts/": RolloutPrefix, "accepted/": AcceptedConfigPrefix, "configuration/current": ConfigKey,
	} {
		if got != name {
			t.Errorf("key or prefix is %q, want %q", got, name)
		}
	}
}

// Values whose fields are newer than the golden file.
var (
	goldenDrainingEndpoint = Endpoint{ID: "e3", Service: "payments", Address: "127.0.0.1:9003", Zone: "zone-a", Capacity: 7, Draining: true, Sequence: 32, RegisteredSequence: 31}
	goldenDeparture        = Departure{RegisteredSequence: 31}
)

// TestGoldenDeparture guards against changes of the values that are newer than the golden
// file. Endpoints and departures written by earlier versions have no RegisteredSequence.
func TestGoldenDeparture(t *testing.T) {
	const endpointText = `{"id":"e3","service":"payments","address":"127.0.0.1:9003","zone":"zone-a","capacity":7,"draining":true,"sequence":32,"registered":31}`
	if got := string(goldenDrainingEndpoint.Encode()); got != endpointText {
		t.Errorf("endpoint is encoded as %s, want endpointText", got)
	}
	got, err := DecodeEndpoint(Object{Value: []byte(endpointText)})
	if err != nil {
		t.Fatal(err)
	}
	goldentest.CheckEqual(t, "endpoint", got, goldenDrainingEndpoint)
	const departureText = `{"registered":31}`
	if got := string(goldenDeparture.Encode()); got != departureText {
		t.Errorf("departure is encoded as %s, want departureText", got)
	}
	for text, want := range map[string]Departure{departureText: goldenDeparture, "{}": {}, "": {}} {
		goldentest.CheckEqual(t, "departure "+text, DecodeDeparture(Object{Value: []byte(text)}), want)
	}
}
