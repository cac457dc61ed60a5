// Package eventlog implements an append-only event log that is partitioned by topic
// and can be replayed from an offset.
//
// Each entry has the global revision of its change, which the caller supplies and
// which never decreases, and its offset within the topic, which starts at 1 and
// increases by one. Both depend only on the changes, so replicas that append the same
// changes hold the same log. The only state of a reader is an offset: it can resume at
// any replica, and a slow reader uses no resources. Compaction discards the oldest
// entries. The log records the highest offset discarded in each topic, which
// distinguishes a reader that missed entries from one that has read all of them.
//
// The package performs no I/O, reads no clock and starts no goroutines. Packages
// watchcache and coordination use it.
package eventlog

import "sort"

// Entry is one event. Snapshots store entries in gob encoding, so the field names are
// part of the snapshot format.
type Entry[T any] struct {
	At     uint64 // global revision of the change
	Topic  string
	Number uint64 // offset within the topic
	Value  T
}

// Log is an event log. The zero value is an empty log. A Log is not safe for
// concurrent use; for concurrent readers see BuildIndex. Snapshots store the exported
// fields in gob encoding, so their names are part of the snapshot format.
type Log[T any] struct {
	// Entries is sorted by revision.
	Entries []Entry[T]
	// Last holds the newest offset of each topic, and Floor the highest discarded one.
	Last, Floor map[string]uint64

	// firstPosition is the number of entries discarded since the log was created or
	// decoded. The position of an entry is its index in Entries plus firstPosition; it
	// does not change when older entries are discarded.
	firstPosition uint64
	// positions holds the positions of the entries of each topic in ascending order.
	// It is nil until BuildIndex is called.
	positions map[string][]uint64
}

// Append adds an event to a topic and returns its offset. revision must not be lower
// than that of the previous entry; several events may share a revision.
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

// BuildIndex builds the index of a decoded log. The other methods call it on demand;
// it must be called explicitly before several goroutines read the log concurrently.
func (l *Log[T]) BuildIndex() {
	if l.positions != nil {
		return
	}
	l.positions = map[string][]uint64{}
	for i, e := range l.Entries {
		l.positions[e.Topic] = append(l.positions[e.Topic], l.firstPosition+uint64(i))
	}
}

// Compact discards the entries up to and including a global revision.
func (l *Log[T]) Compact(revision uint64) { l.DropOldest(l.FirstAfter(revision)) }

// DropOldest discards the oldest n entries. n must not exceed len(l.Entries).
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
	// Copying the remaining entries releases the memory of the discarded ones.
	// slices.Clone would keep the old array if no entries remain.
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

// Replay calls visit in order for the entries of a topic above an offset, until visit
// returns false. It visits nothing and returns false if entries above the offset have
// been discarded.
func (l *Log[T]) Replay(topic string, after uint64, visit func(Entry[T]) bool) (ok bool) {
	floor := l.Floor[topic]
	if after < floor {
		return false
	}
	if len(l.Entries) > 0 {
		l.BuildIndex()
	}
	// Offsets are consecutive, so their difference is the number of entries to skip.
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
