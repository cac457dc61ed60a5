package registry

import (
	"fmt"
	"sort"
	"testing"
	"time"
)

// TestEvacuationRequestInterleavings guards against a zone that returns while an operator
// still has it evacuated, and against one that never returns. Two operators evacuate the
// same zone in every short interleaving of their requests, lost responses and retries. The
// zone must stay evacuated from the first response to an operator until that operator
// finishes, and must return in the end.
func TestEvacuationRequestInterleavings(t *testing.T) {
	window := RepeatWindow{Acknowledged: 2 * time.Second, Unacknowledged: 10 * time.Second}
	type request struct {
		at           int
		operator     int
		begin, first bool
		lost         bool // the node that executed it crashes before it responds
	}
	interleavings := 0
	// A request whose response is lost is retried one or three seconds later.
	for begin2 := 3; begin2 <= 7; begin2++ {
		for finish1 := 4; finish1 <= 12; finish1++ {
			for finish2 := begin2 + 4; finish2 <= 16; finish2++ {
				if d := finish1 - finish2; d > -6 && d < 6 {
					continue // finish requests this close together may count as retries
				}
				for lostMask := range 16 {
					for _, repeatDelay := range []int{1, 3} {
						var requests []request
						for i, o := range []request{{at: 0, operator: 0, begin: true}, {at: begin2, operator: 1, begin: true}, {at: finish1, operator: 0}, {at: finish2, operator: 1}} {
							o.first, o.lost = true, lostMask>>i&1 == 1
							requests = append(requests, o)
							if o.lost {
								requests = append(requests, request{at: o.at + repeatDelay, operator: o.operator, begin: o.begin})
							}
						}
						sort.SliceStable(requests, func(i, k int) bool { return requests[i].at < requests[k].at })
						var e Evacuation
						newest := map[bool]int{}
						evacuated := [2]bool{}
						name := fmt.Sprint(begin2, finish1, finish2, lostMask, repeatDelay)
						for _, o := range requests {
							next := e.ApplyRequest(o.begin, time.Duration(o.at-newest[o.begin])*time.Second, window)
							if next != e {
								e, newest[o.begin] = next, o.at
							}
							if !o.lost {
								e = e.Acknowledge(o.begin)
							}
							if o.begin && !o.lost {
								evacuated[o.operator] = true
							}
							if !o.begin && o.first {
								evacuated[o.operator] = false
							}
							if (evacuated[0] || evacuated[1]) && e.State() != Evacuated {
								t.Fatalf("%s: at %d s the state is %q, want it evacuated until every operator has finished", name, o.at, e.State())
							}
						}
						if e.State() != Returning {
							t.Fatalf("%s: after all finish requests the zone is %+v, want it returning", name, e)
						}
						interleavings++
					}
				}
			}
		}
	}
	if interleavings < 1000 {
		t.Fatalf("ran only %d interleavings, want at least 1000", interleavings)
	}
}

func TestDecodeEvacuationOfEarlierVersions(t *testing.T) {
	for value, want := range map[string]Evacuation{
		"":          {},
		"evacuated": {BeginCount: 1, BeginAcknowledged: true},
		"returning": {1, 1, true, true},
		"{}":        {BeginCount: 1, BeginAcknowledged: true},
	} {
		if got := DecodeEvacuation(Object{Value: []byte(value)}); got != want {
			t.Errorf("DecodeEvacuation(%q) = %+v, want %+v", value, got, want)
		}
	}
	e := Evacuation{BeginCount: 3, FinishCount: 1, FinishAcknowledged: true}
	if got := DecodeEvacuation(Object{Value: e.Encode()}); got != e {
		t.Errorf("evacuation %+v decoded as %+v", e, got)
	}
}
