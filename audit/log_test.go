package audit_test

import (
	"fmt"
	"testing"

	"lichentray/audit"
)

func newBatch(incarnation, node string, unixMS int64, records ...audit.Record) audit.Batch {
	return audit.Batch{
		Life:    incarnation,
		Node:    node,
		AtMS:    unixMS,
		Records: records,
		PerS:    10,
		Out:     2,
		Most:    32,
	}
}

// closingBatch returns the last batch of an incarnation that shuts down gracefully.
func closingBatch(incarnation, node string, unixMS int64) audit.Batch {
	return audit.Batch{Life: incarnation, Node: node, AtMS: unixMS, Closed: true}
}

// TestIncarnationGaps checks that an incarnation that ends without a closing batch is
// reported as a gap, with the estimated number of missing requests, and that no other is.
func TestIncarnationGaps(t *testing.T) {
	for _, test := range []struct {
		name        string
		batches     []audit.Batch // after the first of incarnation a1, at 1000 ms
		wantGap     bool
		wantMayMiss int64
	}{
		{
			name:    "running",
			batches: []audit.Batch{newBatch("a1", "a", 2000)},
		},
		{
			name:    "silent for less than the timeout",
			batches: []audit.Batch{newBatch("b1", "b", 15000)},
		},
		{
			name:        "silent for longer than the timeout",
			batches:     []audit.Batch{newBatch("b1", "b", 21000)},
			wantGap:     true,
			wantMayMiss: 2 + 200,
		},
		{
			name:        "followed by a new incarnation",
			batches:     []audit.Batch{newBatch("a2", "a", 4000)},
			wantGap:     true,
			wantMayMiss: 2 + 30,
		},
		{
			name:    "closed before a new incarnation",
			batches: []audit.Batch{closingBatch("a1", "a", 2000), newBatch("a2", "a", 4000)},
		},
		{
			name:    "closing batch delayed until after a new incarnation",
			batches: []audit.Batch{newBatch("a2", "a", 4000), closingBatch("a1", "a", 2000)},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := audit.NewLog()
			log.Ingest(1, newBatch("a1", "a", 1000))
			for i, batch := range test.batches {
				log.Ingest(uint64(2+i), batch)
			}
			gap, listed := log.Query(audit.Filter{}).Gaps["a1"]
			if listed != test.wantGap || gap.MayMiss != test.wantMayMiss {
				t.Errorf("Gaps[a1] found = %v, value = %+v, want the gap of the test case", listed, gap)
			}
		})
	}
}

// TestLogBound fills a log beyond its limit. Requests that did not fail must be evicted first,
// and evictions must be counted. It then queries the remaining entries with a filter.
func TestLogBound(t *testing.T) {
	log := audit.NewLog()
	for i := range 40 {
		kind := audit.Executed
		if i >= 8 {
			kind = audit.MissedLatencyTarget
		}
		log.Ingest(uint64(i+1), newBatch("a1", "a", int64(i), audit.Record{
			Seq:     uint64(i + 1),
			AtMS:    int64(i),
			Tenant:  "tenant-1",
			Request: fmt.Sprint("q", i),
			Attempt: fmt.Sprint(i),
			Kind:    kind,
		}))
	}
	all := log.Query(audit.Filter{})
	if len(log.Entries) > 32 || all.Dropped["tenant-1"] != uint64(40-len(log.Entries)) || len(all.Failures) != 32 {
		t.Errorf("%d entries, %d failures, dropped = %v, want at most 32 entries, 32 failures and all evictions counted", len(log.Entries), len(all.Failures), all.Dropped)
	}
	some := log.Query(audit.Filter{Limit: 2, SinceMS: 10, UntilMS: 39})
	if len(some.Failures) != 2 || some.Failures[1].AtMS != 38 || some.Counts["tenant-1"][audit.MissedLatencyTarget] != 29 {
		t.Errorf("Query with a filter = %+v, want 2 failures up to 38 ms and a count of 29", some)
	}
}

// TestCompactRemovesSuccessfulRequests checks that compaction removes a non-idempotent request
// that was executed and keeps one that only may have been.
func TestCompactRemovesSuccessfulRequests(t *testing.T) {
	log := audit.NewLog()
	log.Ingest(1, newBatch("a1", "a", 1,
		audit.Record{Seq: 1, Request: "q", Kind: audit.Executed},
		audit.Record{Seq: 2, Request: "r", Kind: audit.MaybeExecuted},
	))
	log.Compact(1)
	if len(log.Entries) != 1 || len(log.Query(audit.Filter{Kind: audit.Indeterminate}).Failures) != 1 {
		t.Errorf("entries after Compact = %v, want the indeterminate request only", log.Entries)
	}
}

func Example() {
	log := audit.NewLog()
	// Two proxies each executed an attempt of one request; the second batch is delivered twice.
	record := audit.Record{Seq: 1, Tenant: "tenant-1", Request: "request-12", Kind: audit.Executed}
	log.Ingest(1, audit.Batch{Life: "p1-x", Node: "p1", Records: []audit.Record{record}})
	for revision := uint64(2); revision < 4; revision++ {
		log.Ingest(revision, audit.Batch{Life: "p2-y", Node: "p2", Records: []audit.Record{record}})
	}
	for _, f := range log.Query(audit.Filter{}).Failures {
		fmt.Println(f.Tenant, f.Request, f.Kind, len(f.Attempts))
	}
	// Output: tenant-1 request-12 doubled 2
}
