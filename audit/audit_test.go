package audit_test

import (
	"fmt"
	"testing"

	"lichentray/audit"
)

func batch(life, node string, ms int64, rs ...audit.Record) audit.Batch {
	return audit.Batch{Life: life, Node: node, AtMS: ms, Records: rs, PerS: 10, Out: 2, Most: 32}
}

// TestGaps: what of a life may be missing, in each way that it can end.
func TestGaps(t *testing.T) {
	for _, c := range []struct {
		what string
		then []audit.Batch
		gap  bool
		miss int64
	}{
		{"still there", []audit.Batch{batch("a1", "a", 2000)}, false, 0},
		{"quiet for less than idle lives are", []audit.Batch{batch("b1", "b", 15000)}, false, 0},
		{"never heard of again", []audit.Batch{batch("b1", "b", 21000)}, true, 2 + 200},
		{"a new life on its node", []audit.Batch{batch("a2", "a", 4000)}, true, 2 + 30},
		{"ended in order", []audit.Batch{{Life: "a1", Node: "a", AtMS: 2000, Closed: true}, batch("a2", "a", 4000)}, false, 0},
		{"the word of its end comes late", []audit.Batch{batch("a2", "a", 4000), {Life: "a1", Node: "a", AtMS: 2000, Closed: true}}, false, 0},
	} {
		b := audit.NewBook()
		b.Take(1, batch("a1", "a", 1000))
		for i, x := range c.then {
			b.Take(uint64(2+i), x)
		}
		if g, told := b.Read(audit.Filter{}).Gaps["a1"]; told != c.gap || g.MayMiss != c.miss {
			t.Errorf("%s: gap %v, %+v", c.what, told, g)
		}
	}
}

// TestBounds: what passes the bounds of stub and book is counted, commitments that
// ran go first, and what is settled is forgotten.
func TestBounds(t *testing.T) {
	s := audit.NewStub("a1", "a", 3)
	for i := range 5 {
		s.Note(audit.Record{Attempt: fmt.Sprint(i), Kind: audit.Late})
	}
	if x := s.Batch(1, 10); len(x.Records) != 3 || x.Dropped != 2 {
		t.Errorf("stub of three after five: %+v", x)
	}
	s.Acked("other", 2)
	s.Acked("a1", 2)
	s.Note(audit.Record{Attempt: "5", Kind: audit.Late})
	if x := s.Batch(1, 1); s.Held() != 2 || x.Records[0].Seq != 3 {
		t.Errorf("after an acknowledgement: %d held, %+v", s.Held(), x.Records)
	}
	b := audit.NewBook()
	for i := range 40 {
		kind := audit.Ran
		if i >= 8 {
			kind = audit.Late
		}
		b.Take(uint64(i+1), batch("a1", "a", int64(i), audit.Record{Seq: uint64(i + 1), AtMS: int64(i), Tenant: "museum", Request: fmt.Sprint("q", i), Attempt: fmt.Sprint(i), Kind: kind}))
	}
	a := b.Read(audit.Filter{})
	if len(b.Entries) > 32 || a.Dropped["museum"] != uint64(40-len(b.Entries)) || len(a.Failures) != 32 {
		t.Errorf("%d entries, %d failures, dropped %v", len(b.Entries), len(a.Failures), a.Dropped)
	}
	if f := b.Read(audit.Filter{Most: 2, SinceMS: 10, UntilMS: 39}); len(f.Failures) != 2 || f.Failures[1].AtMS != 38 || f.Sums["museum"][audit.Late] != 29 {
		t.Errorf("filtered: %+v", f)
	}
	b = audit.NewBook()
	b.Take(1, batch("a1", "a", 1, audit.Record{Seq: 1, Request: "q", Kind: audit.Ran}, audit.Record{Seq: 2, Request: "r", Kind: audit.Unsure}))
	b.Trim(1)
	if len(b.Entries) != 1 || len(b.Read(audit.Filter{Kind: audit.Unclear}).Failures) != 1 {
		t.Errorf("after trimming: %v", b.Entries)
	}
}

func Example() {
	b := audit.NewBook()
	// Two tries of one loan ran, through two proxies; the second batch comes twice.
	try := audit.Record{Seq: 1, Tenant: "museum", Request: "loan 12", Kind: audit.Ran}
	b.Take(1, audit.Batch{Life: "p1-x", Node: "p1", Records: []audit.Record{try}})
	for at := uint64(2); at < 4; at++ {
		b.Take(at, audit.Batch{Life: "p2-y", Node: "p2", Records: []audit.Record{try}})
	}
	for _, f := range b.Read(audit.Filter{}).Failures {
		fmt.Println(f.Tenant, f.Request, f.Kind, len(f.Tries))
	}
	// Output: museum loan 12 doubled 2
}
