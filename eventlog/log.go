// Package eventlog is an append-only log of numbered events by topic, replayed from
// offsets.
//
// Each entry carries the global revision of its change, which the caller gives and
// which never decreases, and its offset within its topic, which rises by one from 1.
// Both follow from the changes alone, so all replicas that appended the same changes
// hold the same log. A reader is only an offset: it can go on at any replica and costs
// nothing while it is slow. Entries may be forgotten from the oldest on; the log keeps
// how far it did so, so that a reader that comes too late is not mistaken for one that
// has read everything.
//
// The package does no input or output, reads no clock and starts no goroutine. It is
// used by packages watchcache and coordination.
package eventlog

import "sort"

// Entry is one event. Entries are stored in snapshots by gob, so the field names are
// part of that format.
type Entry[T any] struct {
	At     uint64 // global revision of the change
	Topic  string
	Number uint64 // offset within the topic
	Value  T
}

// Log is an event log. The zero value is empty. It is not safe for concurrent use,
// see BuildIndex for reading. The exported fields are stored in snapshots by gob, so
// their names are part of that format.
type Log[T any] struct {
	// Entries are in the order of their revisions.
	Entries []Entry[T]
	// Last is the newest offset of each topic, Floor the highest that has been
	// forgotten.
	Last, Floor map[string]uint64

	// firstPosition is how many entries have been forgotten since the log was made or
	// decoded. An entry's position is its index in Entries plus firstPosition, and does
	// not change when older ones are forgotten.
	firstPosition uint64
	// positions holds the positions of each topic's entries in order; nil until
	// BuildIndex.
	positions map[string][]uint64
}

// Append adds an event to a topic and returns its offset there. revision must not be
// below that of the entry before; several events may share one.
func (l *Log[T]) Append(revision uint64, topic string, value T) (offset uint64) {
	if l.Last == nil {
		l.Last = map[string]uint64{}
		l.Floor = map[string]uint64{}
	}
	l.BuildIndex()
	l.Last[topic]++
	offset = l.Last[topic]
	l.positions[topic] = append(l.positions[topic], l.firstPosition+uint64(len(l.Entries)))
	l.Entries = append(l.Entries, Entry[T]{At: revision, Topic: topic, Number: offset, Value: value})
	return offset
}

// BuildIndex builds the index of a log that was decoded. The other methods call it
// where it is needed; if several goroutines are to read the log at the same time, it
// must be called before they start.
func (l *Log[T]) BuildIndex() {
	if l.positions != nil {
		return
	}
	l.positions = map[string][]uint64{}
	for i, e := range l.Entries {
		l.positions[e.Topic] = append(l.positions[e.Topic], l.firstPosition+uint64(i))
	}
}

// Compact forgets the entries up to and including a global revision.
func (l *Log[T]) Compact(revision uint64) { l.DropOldest(l.FirstAfter(revision)) }

// DropOldest forgets the oldest n entries. n must not exceed len(l.Entries).
func (l *Log[T]) DropOldest(n int) {
	if n == 0 {
		return
	}
	l.BuildIndex()
	dropped := map[string]int{}
	for _, e := range l.Entries[:n] {
		l.Floor[e.Topic] = e.Number
		dropped[e.Topic]++
	}
	// The rest is copied into new memory, so that what was forgotten is released also
	// if nothing remains, for which slices.Clone would keep the old array.
	for topic, count := range dropped {
		if rest := l.positions[topic][count:]; len(rest) > 0 {
			l.positions[topic] = append([]uint64(nil), rest...)
		} else {
			delete(l.positions, topic)
		}
	}
	l.Entries = append([]Entry[T](nil), l.Entries[n:]...)
	l.firstPosition += uint64(n)
}

// Replay calls visit for the entries of a topic above an offset, in order, until it
// returns false. It reports false, and visits nothing, if entries above the offset
// have been forgotten.
func (l *Log[T]) Replay(topic string, after uint64, visit func(Entry[T]) bool) (ok bool) {
	floor := l.Floor[topic]
	if after < floor {
		return false
	}
	if len(l.Entries) > 0 {
		l.BuildIndex()
	}
	// Offsets rise by one, so the entries to skip can be counted.
	positions := l.positions[topic]
	skip := min(after-floor, uint64(len(positions)))
	for _, position := range positions[skip:] {
		if !visit(l.Entries[position-l.firstPosition]) {
			break
		}
	}
	return true
}

// FirstAfter returns the index in Entries of the first entry above a global revision,
// or len(l.Entries) if there is none.
func (l *Log[T]) FirstAfter(revision uint64) int {
	return sort.Search(len(l.Entries), func(i int) bool { return l.Entries[i].At > revision })
}
