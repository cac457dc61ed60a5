package audit_test

import (
	"fmt"
	"testing"

	"lichentray/audit"
)

func newBatch(life, node string, ms int64, rs ...audit.Record) audit.Batch {
	return audit.Batch{Life: life, Node: node, AtMS: ms, Records: rs, PerS: 10, Out: 2, Most: 32}
}

// TestGaps: what of a life may be missing, in each way that it can end.
func TestIncarnationGaps(t *testing.T) {
	for _, c := range []struct {
		what string
		then []audit.Batch
		gap  bool
		miss int64
	}{
		{"still there", []audit.Batch{newBatch("a1", "a", 2000)}, false, 0},
		{"quiet for less than idle lives are", []audit.Batch{newBatch("b1", "b", 15000)}, false, 0},
		{"never heard of again", []audit.Batch{newBatch("b1", "b", 21000)}, true, 2 + 200},
		{"a new life on its node", []audit.Batch{newBatch("a2", "a", 4000)}, true, 2 + 30},
		{"ended in order", []audit.Batch{{Life: "a1", Node: "a", AtMS: 2000, Closed: true}, newBatch("a2", "a", 4000)}, false, 0},
		{"the word of its end comes late", []audit.Batch{newBatch("a2", "a", 4000), {Life: "a1", Node: "a", AtMS: 2000, Closed: true}}, false, 0},
	} {
		b := audit.NewLog()
		b.Ingest(1, newBatch("a1", "a", 1000))
		for i, x := range c.then {
			b.Ingest(uint64(2+i), x)
		}
		if g, told := b.Query(audit.Filter{}).Gaps["a1"]; told != c.gap || g.MayMiss != c.miss {
			t.Errorf("%s: gap %v, %+v", c.what, told, g)
		}
	}
}

// TestBounds: what passes the bounds of stub and book is counted, commitments that
// ran go first, and what is settled is forgotten.
func TestBoundsAndCompaction(t *testing.T) {
	s := audit.NewRecorder("a1", "a", 3)
	for i := range 5 {
		s.Append(audit.Record{Attempt: fmt.Sprint(i), Kind: audit.MissedLatencyTarget})
	}
	if x := s.NextBatch(1, 10); len(x.Records) != 3 || x.Dropped != 2 {
		t.Errorf("stub of three after five: %+v", x)
	}
	s.Acknowledge("other", 2)
	s.Acknowledge("a1", 2)
	s.Append(audit.Record{Attempt: "5", Kind: audit.MissedLatencyTarget})
	if x := s.NextBatch(1, 1); s.Pending() != 2 || x.Records[0].Seq != 3 {
		t.Errorf("after an acknowledgement: %d held, %+v", s.Pending(), x.Records)
	}
	b := audit.NewLog()
	for i := range 40 {
		kind := audit.Executed
		if i >= 8 {
			kind = audit.MissedLatencyTarget
		}
		b.Ingest(uint64(i+1), newBatch("a1", "a", int64(i), audit.Record{Seq: uint64(i + 1), AtMS: int64(i), Tenant: "museum", Request: fmt.Sprint("q", i), Attempt: fmt.Sprint(i), Kind: kind}))
	}
	a := b.Query(audit.Filter{})
	if len(b.Entries) > 32 || a.Dropped["museum"] != uint64(40-len(b.Entries)) || len(a.Failures) != 32 {
		t.Errorf("%d entries, %d failures, dropped %v", len(b.Entries), len(a.Failures), a.Dropped)
	}
	if f := b.Query(audit.Filter{Limit: 2, SinceMS: 10, UntilMS: 39}); len(f.Failures) != 2 || f.Failures[1].AtMS != 38 || f.Counts["museum"][audit.MissedLatencyTarget] != 29 {
		t.Errorf("filtered: %+v", f)
	}
	b = audit.NewLog()
	b.Ingest(1, newBatch("a1", "a", 1, audit.Record{Seq: 1, Request: "q", Kind: audit.Executed}, audit.Record{Seq: 2, Request: "r", Kind: audit.MaybeExecuted}))
	b.Compact(1)
	if len(b.Entries) != 1 || len(b.Query(audit.Filter{Kind: audit.Indeterminate}).Failures) != 1 {
		t.Errorf("after trimming: %v", b.Entries)
	}
}

func Example() {
	b := audit.NewLog()
	// Two tries of one loan ran, through two proxies; the second batch comes twice.
	try := audit.Record{Seq: 1, Tenant: "museum", Request: "loan 12", Kind: audit.Executed}
	b.Ingest(1, audit.Batch{Life: "p1-x", Node: "p1", Records: []audit.Record{try}})
	for at := uint64(2); at < 4; at++ {
		b.Ingest(at, audit.Batch{Life: "p2-y", Node: "p2", Records: []audit.Record{try}})
	}
	for _, f := range b.Query(audit.Filter{}).Failures {
		fmt.Println(f.Tenant, f.Request, f.Kind, len(f.Attempts))
	}
	// Output: museum loan 12 doubled 2
}
