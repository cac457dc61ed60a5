package audit

import "slices"

// Recorder keeps the records of one incarnation of a proxy node until the audit log
// has acknowledged them. It is not safe for concurrent use.
type Recorder struct {
	incarnation string
	node        string
	maxPending  int
	lastSeq     uint64
	pending     []Record // in the order of their numbers
	dropped     uint64
}

// NewRecorder returns the recorder of one incarnation of a node. It keeps at most
// maxPending records that are not acknowledged.
func NewRecorder(incarnation, node string, maxPending int) *Recorder {
	return &Recorder{incarnation: incarnation, node: node, maxPending: maxPending}
}

// Append numbers a record and keeps it. If the recorder is full, the record is dropped
// and counted.
func (r *Recorder) Append(record Record) {
	r.lastSeq++
	if len(r.pending) >= r.maxPending {
		r.dropped++
		return
	}
	record.Seq = r.lastSeq
	r.pending = append(r.pending, record)
}

// NextBatch returns a batch with the oldest records that are not acknowledged, at most
// limit of them. They stay pending, so a batch that is not acknowledged is followed by
// one with the same records. The caller sets PerS, Out and Closed.
func (r *Recorder) NextBatch(unixMS int64, limit int) Batch {
	return Batch{
		Life:    r.incarnation,
		Node:    r.node,
		AtMS:    unixMS,
		Dropped: r.dropped,
		Records: slices.Clone(r.pending[:min(limit, len(r.pending))]),
	}
}

// Acknowledge forgets the records up to and including seq, which the audit log holds.
// An acknowledgement for another incarnation is ignored.
func (r *Recorder) Acknowledge(incarnation string, seq uint64) {
	if incarnation != r.incarnation {
		return
	}
	n := 0
	for n < len(r.pending) && r.pending[n].Seq <= seq {
		n++
	}
	r.pending = append([]Record(nil), r.pending[n:]...)
}

// Pending returns how many records are not acknowledged.
func (r *Recorder) Pending() int { return len(r.pending) }

// Dropped returns how many records were dropped.
func (r *Recorder) Dropped() uint64 { return r.dropped }
