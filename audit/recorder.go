package audit

import "slices"

// Recorder buffers the records of one incarnation of a proxy node until the audit log has
// acknowledged them. It is not safe for concurrent use.
type Recorder struct {
	incarnation string
	node        string
	maxPending  int
	lastSeq     uint64
	pending     []Record // by ascending sequence number
	dropped     uint64
}

// NewRecorder returns the recorder of one incarnation of a node. It buffers at most
// maxPending unacknowledged records.
func NewRecorder(incarnation, node string, maxPending int) *Recorder {
	return &Recorder{incarnation: incarnation, node: node, maxPending: maxPending}
}

// Append assigns the next sequence number to a record and buffers the record. If the
// recorder is full, it drops the record and counts it.
func (r *Recorder) Append(record Record) {
	r.lastSeq++
	if len(r.pending) >= r.maxPending {
		r.dropped++
		return
	}
	record.Seq = r.lastSeq
	r.pending = append(r.pending, record)
}

// NextBatch returns a batch with at most limit records, the oldest unacknowledged ones. The
// records stay pending, so they are sent again until they are acknowledged. The caller sets
// PerS, Out and Closed.
func (r *Recorder) NextBatch(unixMS int64, limit int) Batch {
	return Batch{
		Life:    r.incarnation,
		Node:    r.node,
		AtMS:    unixMS,
		Dropped: r.dropped,
		Records: slices.Clone(r.pending[:min(limit, len(r.pending))]),
	}
}

// Acknowledge removes the records up to and including seq, which the audit log has
// ingested. It ignores an acknowledgement for another incarnation.
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

// Pending returns the number of unacknowledged records in the buffer.
func (r *Recorder) Pending() int { return len(r.pending) }

// Dropped returns the number of records dropped because the recorder was full.
func (r *Recorder) Dropped() uint64 { return r.dropped }
