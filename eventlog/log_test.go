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

// TestLogMatchesReferenceLog appends to a log, compacts it, and passes it on to another
// replica in its encoded form. It must replay every topic from every offset as a list of
// all entries does, and reject exactly the offsets that were forgotten.
func TestLogMatchesReferenceLog(t *testing.T) {
	for seed := range int64(30) {
		random := rand.New(rand.NewSource(seed))
		log, reference := &eventlog.Log[int]{}, referenceLog{floor: map[string]uint64{}}
		lastOffset := map[string]uint64{}
		for index := uint64(1); index < 300; index++ {
			topic := fmt.Sprint("t", random.Intn(4))
			switch random.Intn(8) {
			case 0:
				before := uint64(random.Intn(int(index)))
				log.Compact(before)
				for _, e := range reference.entries {
					if e.At <= before {
						reference.floor[e.Topic] = max(reference.floor[e.Topic], e.Number)
					}
				}
			case 1:
				var b bytes.Buffer
				if err := gob.NewEncoder(&b).Encode(log); err != nil {
					t.Fatal(err)
				}
				log = &eventlog.Log[int]{}
				if err := gob.NewDecoder(&b).Decode(log); err != nil {
					t.Fatal(err)
				}
			default:
				lastOffset[topic]++
				if n := log.Append(index, topic, int(index)); n != lastOffset[topic] {
					t.Fatalf("seed %d: number %d of %s, want %d", seed, n, topic, lastOffset[topic])
				}
				reference.entries = append(reference.entries, eventlog.Entry[int]{At: index, Topic: topic, Number: lastOffset[topic], Value: int(index)})
			}
			for after := range lastOffset[topic] + 2 {
				var got, want []eventlog.Entry[int]
				ok := log.Replay(topic, after, func(e eventlog.Entry[int]) bool { got = append(got, e); return true })
				for _, e := range reference.entries {
					if e.Topic == topic && e.Number > after && after >= reference.floor[topic] {
						want = append(want, e)
					}
				}
				if ok != (after >= reference.floor[topic]) || !reflect.DeepEqual(got, want) {
					t.Fatalf("seed %d, index %d: %s after %d gave %v, %v; ever were %v, floor %d", seed, index, topic, after, got, ok, want, reference.floor[topic])
				}
			}
		}
	}
}

func Example() {
	log := &eventlog.Log[string]{}
	log.Append(7, "loans.", "sheet 12 to Basel")
	log.Append(9, "loans.", "sheet 12 back")
	log.Replay("loans.", 1, func(e eventlog.Entry[string]) bool {
		fmt.Println(e.Number, e.Value)
		return true
	})
	log.Compact(7)
	fmt.Println(log.Replay("loans.", 0, nil))
	// Output:
	// 2 sheet 12 back
	// false
}
