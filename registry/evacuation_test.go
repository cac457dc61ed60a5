package registry

import (
	"fmt"
	"sort"
	"testing"
	"time"
)

// TestEvacuationOrderInterleavings lets two operators evacuate the same zone, in every
// short interleaving of their orders, of lost answers and of repeated orders. The model
// is what each operator knows: the zone must be evacuated from the first answer to an
// operator's order until that operator finishes, and must return in the end.
func TestEvacuationOrderInterleavings(t *testing.T) {
	r := RepeatWindow{Acknowledged: 2 * time.Second, Unacknowledged: 10 * time.Second}
	type order struct {
		at           int
		who          int
		begin, first bool
		lost         bool // the node that carried it out crashes before its answer
	}
	played := 0
	// An order whose answer is lost is repeated one or three seconds later.
	for begin2 := 3; begin2 <= 7; begin2++ {
		for finish1 := 4; finish1 <= 12; finish1++ {
			for finish2 := begin2 + 4; finish2 <= 16; finish2++ {
				if d := finish1 - finish2; d > -6 && d < 6 {
					continue // orders to finish this near to each other may count as repeats
				}
				for lost := range 16 {
					for _, again := range []int{1, 3} {
						var orders []order
						for i, o := range []order{{at: 0, who: 0, begin: true}, {at: begin2, who: 1, begin: true}, {at: finish1, who: 0}, {at: finish2, who: 1}} {
							o.first, o.lost = true, lost>>i&1 == 1
							orders = append(orders, o)
							if o.lost {
								orders = append(orders, order{at: o.at + again, who: o.who, begin: o.begin})
							}
						}
						sort.SliceStable(orders, func(i, k int) bool { return orders[i].at < orders[k].at })
						var e Evacuation
						newest := map[bool]int{}
						evacuated := [2]bool{}
						name := fmt.Sprint(begin2, finish1, finish2, lost, again)
						for _, o := range orders {
							next := e.ApplyOrder(o.begin, time.Duration(o.at-newest[o.begin])*time.Second, r)
							if next != e {
								e, newest[o.begin] = next, o.at
							}
							if !o.lost {
								e = e.Acknowledge(o.begin)
							}
							if o.begin && !o.lost {
								evacuated[o.who] = true
							}
							if !o.begin && o.first {
								evacuated[o.who] = false
							}
							if (evacuated[0] || evacuated[1]) && e.State() != Evacuated {
								t.Fatalf("%s: at %d the zone is %q while an operator has it evacuated", name, o.at, e.State())
							}
						}
						if e.State() != Returning {
							t.Fatalf("%s: all orders are finished, the zone is %+v", name, e)
						}
						played++
					}
				}
			}
		}
	}
	if played < 1000 {
		t.Fatalf("only %d interleavings were run", played)
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
			t.Errorf("%q: %+v, want %+v", value, got, want)
		}
	}
	e := Evacuation{BeginCount: 3, FinishCount: 1, FinishAcknowledged: true}
	if got := DecodeEvacuation(Object{Value: e.Encode()}); got != e {
		t.Errorf("%+v comes back as %+v", e, got)
	}
}
