// Package eventlog is a numbered feed (an append-only change log with topics, replayed
// from cursors).
//
// Replay entry stands under the number that the replicated log gave its change, and,
// where the feed has topics, under the topic's own number, which rises by one from
// 1. Both follow from the entries before it alone, so every replica that appended
// the same changes holds the same feed and can replay it: a reader is a cursor, may
// go on at any replica, and costs nothing while it is slow. What was forgotten, and
// how far, is told by numbers too.
package eventlog

import "sort"

// Entry is one change.
type Entry[T any] struct {
	At     uint64 // the log's number
	Topic  string
	Number uint64 // the topic's own
	Value  T
}

// Log is a feed. The zero value is empty. Fields are exported for encoding.
type Log[T any] struct {
	Entries []Entry[T]
	// Last is the newest number of each topic, Floor the highest that the feed no
	// longer holds.
	Last, Floor map[string]uint64

	firstPosition uint64 // entries forgotten so far
	// positions holds, for each topic, where its entries stand, counted from the first
	// entry ever.
	positions map[string][]uint64
}

// Append adds a change under the log's number and gives it its topic's next one.
func (r *Log[T]) Append(at uint64, topic string, v T) uint64 {
	if r.Last == nil {
		r.Last, r.Floor = map[string]uint64{}, map[string]uint64{}
	}
	r.BuildIndex()
	r.Last[topic]++
	n := r.Last[topic]
	r.positions[topic] = append(r.positions[topic], r.firstPosition+uint64(len(r.Entries)))
	r.Entries = append(r.Entries, Entry[T]{at, topic, n, v})
	return n
}

// BuildIndex finds the places of each topic's entries. Who decodes a feed that several
// readers share calls it first.
func (r *Log[T]) BuildIndex() {
	if r.positions != nil {
		return
	}
	r.positions = map[string][]uint64{}
	for i, e := range r.Entries {
		r.positions[e.Topic] = append(r.positions[e.Topic], r.firstPosition+uint64(i))
	}
}

// Compact forgets the entries up to a number of the log.
func (r *Log[T]) Compact(before uint64) {
	n := sort.Search(len(r.Entries), func(i int) bool { return r.Entries[i].At > before })
	r.DropOldest(n)
}

// DropOldest forgets the oldest n entries.
func (r *Log[T]) DropOldest(n int) {
	if n == 0 {
		return
	}
	r.BuildIndex()
	gone := map[string]int{}
	for _, e := range r.Entries[:n] {
		r.Floor[e.Topic] = e.Number
		gone[e.Topic]++
	}
	for topic, k := range gone {
		if rest := r.positions[topic][k:]; len(rest) > 0 {
			r.positions[topic] = append([]uint64(nil), rest...)
		} else {
			delete(r.positions, topic)
		}
	}
	r.Entries = append([]Entry[T](nil), r.Entries[n:]...)
	r.firstPosition += uint64(n)
}

// Replay replays a topic above one of its numbers, in order, until visit says no. ok
// is false, and nothing is visited, where the feed no longer reaches back so far.
func (r *Log[T]) Replay(topic string, after uint64, visit func(Entry[T]) bool) (ok bool) {
	if after < r.Floor[topic] {
		return false
	}
	if len(r.Entries) > 0 {
		r.BuildIndex()
	}
	at := r.positions[topic]
	for k := min(after-r.Floor[topic], uint64(len(at))); k < uint64(len(at)); k++ {
		if !visit(r.Entries[at[k]-r.firstPosition]) {
			break
		}
	}
	return true
}

// FirstAfter gives the place of the first entry above a number of the log.
func (r *Log[T]) FirstAfter(after uint64) int {
	return sort.Search(len(r.Entries), func(i int) bool { return r.Entries[i].At > after })
}
