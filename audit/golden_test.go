package audit_test

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"lichentray/audit"
	"lichentray/internal/goldentest"
)

// TestGoldenJSON guards against changes of the stored format and the API. It compares the
// JSON of batches, which are stored in log commands, and of the API's filters and query
// results with a golden file, byte by byte and field by field.
func TestGoldenJSON(t *testing.T) {
	first := audit.Record{Seq: 4, AtMS: 1700000000001, Tenant: "tenant-1", Route: "pay", Request: "request-1", Attempt: "attempt-1", Kind: audit.Executed, Status: 201, TookMS: 35}
	second := audit.Record{Seq: 5, AtMS: 1700000000002, Tenant: "tenant-1", Route: "pay", Request: "request-1", Attempt: "attempt-2", Kind: audit.MaybeExecuted, Status: 502, TookMS: 36}
	want := []any{
		audit.Batch{Life: "life-1", Node: "proxy-1", AtMS: 1700000000003, Records: []audit.Record{first, second}, Dropped: 6, PerS: 7.5, Out: 8, Closed: true, Most: 9},
		audit.Filter{Tenant: "tenant-1", Kind: audit.MaybeDuplicated, Request: "request-1", SinceMS: 10, UntilMS: 11, Limit: 12},
		audit.QueryResult{
			Failures: []audit.Failure{{Tenant: "tenant-1", Request: "request-1", Kind: audit.MaybeDuplicated, AtMS: 1700000000001, Attempts: []audit.Attempt{{Node: "proxy-1", Record: first}, {Node: "proxy-2", Record: second}}}},
			Counts:   map[string]map[audit.Kind]int{"tenant-1": {audit.MaybeDuplicated: 13, audit.Lost: 14}},
			Gaps:     map[string]audit.Incarnation{"life-1": {Node: "proxy-1", Last: 15, LastMS: 16, Dropped: 17, PerS: 18.5, Out: 19, Closed: true, Gap: true, MayMiss: 20}},
			Dropped:  map[string]uint64{"tenant-2": 21},
		},
		[]audit.Kind{audit.MissedLatencyTarget, audit.Failed, audit.Truncated, audit.Executed, audit.MaybeExecuted, audit.NotExecuted, audit.Duplicated, audit.MaybeDuplicated, audit.Indeterminate, audit.Lost},
	}
	encode := func(v any) []byte {
		b, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	golden := goldentest.File(t, "testdata/golden/account.jsonl", func() []byte {
		var b bytes.Buffer
		for _, v := range want {
			b.Write(append(encode(v), '\n'))
		}
		return b.Bytes()
	})
	lines := strings.Split(strings.TrimSuffix(string(golden), "\n"), "\n")
	if len(lines) != len(want) {
		t.Fatalf("golden file has %d lines, want %d", len(lines), len(want))
	}
	for i, line := range lines {
		if got := string(encode(want[i])); got != line {
			t.Errorf("encoded %s, want %s", got, line)
		}
		got := reflect.New(reflect.TypeOf(want[i]))
		if err := json.Unmarshal([]byte(line), got.Interface()); err != nil {
			t.Error(err)
		}
		goldentest.CheckEqual(t, line, got.Elem().Interface(), want[i])
	}
	// Incarnation.At is not part of the JSON; the registry stores it in its snapshots.
	complete := append([]any{audit.Incarnation{At: 22}}, want...)
	goldentest.CheckComplete(t, complete...)
}
