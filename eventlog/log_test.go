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

// referenceLog holds every entry ever appended and the highest offset discarded in each
// topic.
type referenceLog struct {
	entries []eventlog.Entry[int]
	floor   map[string]uint64
}

// TestLogMatchesReferenceLog guards against wrong replays after compaction or decoding. It
// appends to a log at random, compacts it and replaces it by its decoded copy. Replay from
// every offset must match a list of all entries and must fail exactly for offsets below the
// floor.
func TestLogMatchesReferenceLog(t *testing.T) {
	for seed := range int64(30) {
		random := rand.New(rand.NewSource(seed))
		log, reference := &eventlog.Log[int]{}, referenceLog{floor: map[string]uint64{}}
		lastOffset := map[string]uint64{}
		for revision := uint64(1); revision < 300; revision++ {
			topic := fmt.Sprint("t", random.Intn(4))
			switch random.Intn(8) {
			case 0:
				upTo := uint64(random.Intn(int(revision)))
				log.Compact(upTo)
				for _, e := range reference.entries {
					if e.At <= upTo {
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
				if n := log.Append(revision, topic, int(revision)); n != lastOffset[topic] {
					t.Fatalf("seed %d: Append returned offset %d for topic %s, want %d", seed, n, topic, lastOffset[topic])
				}
				reference.entries = append(reference.entries, eventlog.Entry[int]{At: revision, Topic: topic, Number: lastOffset[topic], Value: int(revision)})
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
					t.Fatalf("seed %d, revision %d: Replay(%q, %d) visited %v and returned %v, want entries %v with floor %d", seed, revision, topic, after, got, ok, want, reference.floor[topic])
				}
			}
		}
	}
}

func Example() {
	log := &eventlog.Log[string]{}
	log.Append(7, "orders.", "order 12 created")
	log.Append(9, "orders.", "order 12 shipped")
	log.Replay("orders.", 1, func(e eventlog.Entry[string]) bool {
		fmt.Println(e.Number, e.Value)
		return true
	})
	log.Compact(7)
	fmt.Println(log.Replay("orders.", 0, nil))
	// Output:
	// 2 order 12 shipped
	// false
}
