package tally_test

import (
	"fmt"
	"testing"

	"lichentray/tally"
)

func batch(life, node string, ms int64, rs ...tally.Record) tally.Batch {
	return tally.Batch{Life: life, Node: node, AtMS: ms, Records: rs, PerS: 10, Out: 2, Most: 32}
}

// TestGaps: what of a life may be missing, in each way that it can end.
func TestGaps(t *testing.T) {
	for _, c := range []struct {
		what string
		then []tally.Batch
		gap  bool
		miss int64
	}{
		{"still there", []tally.Batch{batch("a1", "a", 2000)}, false, 0},
		{"quiet for less than idle lives are", []tally.Batch{batch("b1", "b", 15000)}, false, 0},
		{"never heard of again", []tally.Batch{batch("b1", "b", 21000)}, true, 2 + 200},
		{"a new life on its node", []tally.Batch{batch("a2", "a", 4000)}, true, 2 + 30},
		{"ended in order", []tally.Batch{{Life: "a1", Node: "a", AtMS: 2000, Closed: true}, batch("a2", "a", 4000)}, false, 0},
		{"the word of its end comes late", []tally.Batch{batch("a2", "a", 4000), {Life: "a1", Node: "a", AtMS: 2000, Closed: true}}, false, 0},
	} {
		b := tally.NewBook()
		b.Take(1, batch("a1", "a", 1000))
		for i, x := range c.then {
			b.Take(uint64(2+i), x)
		}
		if g, told := b.Read(tally.Filter{}).Gaps["a1"]; told != c.gap || g.MayMiss != c.miss {
			t.Errorf("%s: gap %v, %+v", c.what, told, g)
		}
	}
}

// TestBounds: what passes the bounds of stub and book is counted, commitments that
// ran go first, and what is settled is forgotten.
func TestBounds(t *testing.T) {
	s := tally.NewStub("a1", "a", 3)
	for i := range 5 {
		s.Note(tally.Record{Attempt: fmt.Sprint(i), Kind: tally.Late})
	}
	if x := s.Batch(1, 10); len(x.Records) != 3 || x.Dropped != 2 {
		t.Errorf("stub of three after five: %+v", x)
	}
	s.Acked("other", 2)
	s.Acked("a1", 2)
	s.Note(tally.Record{Attempt: "5", Kind: tally.Late})
	if x := s.Batch(1, 1); s.Held() != 2 || x.Records[0].Seq != 3 {
		t.Errorf("after an acknowledgement: %d held, %+v", s.Held(), x.Records)
	}
	b := tally.NewBook()
	for i := range 40 {
		kind := tally.Ran
		if i >= 8 {
			kind = tally.Late
		}
		b.Take(uint64(i+1), batch("a1", "a", int64(i), tally.Record{Seq: uint64(i + 1), AtMS: int64(i), Tenant: "museum", Request: fmt.Sprint("q", i), Attempt: fmt.Sprint(i), Kind: kind}))
	}
	a := b.Read(tally.Filter{})
	if len(b.Entries) > 32 || a.Dropped["museum"] != uint64(40-len(b.Entries)) || len(a.Failures) != 32 {
		t.Errorf("%d entries, %d failures, dropped %v", len(b.Entries), len(a.Failures), a.Dropped)
	}
	if f := b.Read(tally.Filter{Most: 2, SinceMS: 10, UntilMS: 39}); len(f.Failures) != 2 || f.Failures[1].AtMS != 38 || f.Sums["museum"][tally.Late] != 29 {
		t.Errorf("filtered: %+v", f)
	}
	b = tally.NewBook()
	b.Take(1, batch("a1", "a", 1, tally.Record{Seq: 1, Request: "q", Kind: tally.Ran}, tally.Record{Seq: 2, Request: "r", Kind: tally.Unsure}))
	b.Trim(1)
	if len(b.Entries) != 1 || len(b.Read(tally.Filter{Kind: tally.Unclear}).Failures) != 1 {
		t.Errorf("after trimming: %v", b.Entries)
	}
}

func Example() {
	b := tally.NewBook()
	// Two tries of one loan ran, through two proxies; the second batch comes twice.
	try := tally.Record{Seq: 1, Tenant: "museum", Request: "loan 12", Kind: tally.Ran}
	b.Take(1, tally.Batch{Life: "p1-x", Node: "p1", Records: []tally.Record{try}})
	for at := uint64(2); at < 4; at++ {
		b.Take(at, tally.Batch{Life: "p2-y", Node: "p2", Records: []tally.Record{try}})
	}
	for _, f := range b.Read(tally.Filter{}).Failures {
		fmt.Println(f.Tenant, f.Request, f.Kind, len(f.Tries))
	}
	// Output: museum loan 12 doubled 2
}
