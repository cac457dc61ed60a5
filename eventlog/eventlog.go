// Package eventlog is a numbered feed (an append-only change log with topics, replayed
// from cursors).
//
// Each entry stands under the number that the replicated log gave its change, and,
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

// Reel is a feed. The zero value is empty. Fields are exported for encoding.
type Reel[T any] struct {
	Entries []Entry[T]
	// Last is the newest number of each topic, Floor the highest that the feed no
	// longer holds.
	Last, Floor map[string]uint64

	dropped uint64 // entries forgotten so far
	// at holds, for each topic, where its entries stand, counted from the first
	// entry ever.
	at map[string][]uint64
}

// Append adds a change under the log's number and gives it its topic's next one.
func (r *Reel[T]) Append(at uint64, topic string, v T) uint64 {
	if r.Last == nil {
		r.Last, r.Floor = map[string]uint64{}, map[string]uint64{}
	}
	r.Index()
	r.Last[topic]++
	n := r.Last[topic]
	r.at[topic] = append(r.at[topic], r.dropped+uint64(len(r.Entries)))
	r.Entries = append(r.Entries, Entry[T]{at, topic, n, v})
	return n
}

// Index finds the places of each topic's entries. Who decodes a feed that several
// readers share calls it first.
func (r *Reel[T]) Index() {
	if r.at != nil {
		return
	}
	r.at = map[string][]uint64{}
	for i, e := range r.Entries {
		r.at[e.Topic] = append(r.at[e.Topic], r.dropped+uint64(i))
	}
}

// Trim forgets the entries up to a number of the log.
func (r *Reel[T]) Trim(before uint64) {
	n := sort.Search(len(r.Entries), func(i int) bool { return r.Entries[i].At > before })
	r.Drop(n)
}

// Drop forgets the oldest n entries.
func (r *Reel[T]) Drop(n int) {
	if n == 0 {
		return
	}
	r.Index()
	gone := map[string]int{}
	for _, e := range r.Entries[:n] {
		r.Floor[e.Topic] = e.Number
		gone[e.Topic]++
	}
	for topic, k := range gone {
		if rest := r.at[topic][k:]; len(rest) > 0 {
			r.at[topic] = append([]uint64(nil), rest...)
		} else {
			delete(r.at, topic)
		}
	}
	r.Entries = append([]Entry[T](nil), r.Entries[n:]...)
	r.dropped += uint64(n)
}

// Each replays a topic above one of its numbers, in order, until visit says no. ok
// is false, and nothing is visited, where the feed no longer reaches back so far.
func (r *Reel[T]) Each(topic string, after uint64, visit func(Entry[T]) bool) (ok bool) {
	if after < r.Floor[topic] {
		return false
	}
	if len(r.Entries) > 0 {
		r.Index()
	}
	at := r.at[topic]
	for k := min(after-r.Floor[topic], uint64(len(at))); k < uint64(len(at)); k++ {
		if !visit(r.Entries[at[k]-r.dropped]) {
			break
		}
	}
	return true
}

// From gives the place of the first entry above a number of the log.
func (r *Reel[T]) From(after uint64) int {
	return sort.Search(len(r.Entries), func(i int) bool { return r.Entries[i].At > after })
}
