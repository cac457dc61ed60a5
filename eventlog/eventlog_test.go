package eventlog_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand"
	"reflect"
	"testing"

	"lichentray/eventlog"
)

// referenceLog is every entry ever, and how far each topic was forgotten.
type referenceLog struct {
	entries []eventlog.Entry[int]
	floor   map[string]uint64
}

// TestAgainstEverythingEver: a feed that is appended to, trimmed, and taken over by
// another replica through its encoded form replays every topic from every cursor
// as a list of all entries ever does, and refuses just what was forgotten.
func TestLogMatchesReferenceLog(t *testing.T) {
	for seed := range int64(30) {
		rnd := rand.New(rand.NewSource(seed))
		r, p := &eventlog.Log[int]{}, referenceLog{floor: map[string]uint64{}}
		last := map[string]uint64{}
		for at := uint64(1); at < 300; at++ {
			topic := fmt.Sprint("t", rnd.Intn(4))
			switch rnd.Intn(8) {
			case 0:
				before := uint64(rnd.Intn(int(at)))
				r.Compact(before)
				for _, e := range p.entries {
					if e.At <= before {
						p.floor[e.Topic] = max(p.floor[e.Topic], e.Number)
					}
				}
			case 1:
				var b bytes.Buffer
				if err := gob.NewEncoder(&b).Encode(r); err != nil {
					t.Fatal(err)
				}
				r = &eventlog.Log[int]{}
				if err := gob.NewDecoder(&b).Decode(r); err != nil {
					t.Fatal(err)
				}
			default:
				last[topic]++
				if n := r.Append(at, topic, int(at)); n != last[topic] {
					t.Fatalf("seed %d: number %d of %s, want %d", seed, n, topic, last[topic])
				}
				p.entries = append(p.entries, eventlog.Entry[int]{At: at, Topic: topic, Number: last[topic], Value: int(at)})
			}
			for after := range last[topic] + 2 {
				var got, want []eventlog.Entry[int]
				ok := r.Replay(topic, after, func(e eventlog.Entry[int]) bool { got = append(got, e); return true })
				for _, e := range p.entries {
					if e.Topic == topic && e.Number > after && after >= p.floor[topic] {
						want = append(want, e)
					}
				}
				if ok != (after >= p.floor[topic]) || !reflect.DeepEqual(got, want) {
					t.Fatalf("seed %d, at %d: %s after %d gave %v, %v; ever were %v, floor %d", seed, at, topic, after, got, ok, want, p.floor[topic])
				}
			}
		}
	}
}

func Example() {
	r := &eventlog.Log[string]{}
	r.Append(7, "loans.", "sheet 12 to Basel")
	r.Append(9, "loans.", "sheet 12 back")
	r.Replay("loans.", 1, func(e eventlog.Entry[string]) bool {
		fmt.Println(e.Number, e.Value)
		return true
	})
	r.Compact(7)
	fmt.Println(r.Replay("loans.", 0, nil))
	// Output:
	// 2 sheet 12 back
	// false
}
