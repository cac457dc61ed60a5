package audit

import (
	"cmp"
	"slices"
)

// silenceTimeoutMS is the time after which an incarnation that has not closed counts
// as ended, if others have been heard of since. An idle proxy sends at least three
// batches in it.
const silenceTimeoutMS = 15000

// Incarnation is one run of a proxy's process as the Log knows it. It is stored in
// snapshots by gob and returned as JSON, so the names of the fields and of their JSON
// keys are part of those formats.
type Incarnation struct {
	Node    string  `json:"node"`
	Last    uint64  `json:"last"`    // highest sequence number ingested
	LastMS  int64   `json:"last_ms"` // Unix time in ms of the newest batch
	Dropped uint64  `json:"dropped"` // records dropped by its recorder
	PerS    float64 `json:"per_s"`   // requests per second at LastMS
	Out     int     `json:"out"`     // requests in flight at LastMS
	Closed  bool    `json:"closed"`  // it has sent everything
	// Gap says that the incarnation ended without having sent everything, and MayMiss
	// how many requests may have gone through it unrecorded.
	Gap     bool  `json:"gap"`
	MayMiss int64 `json:"may_miss"`
	// At is the global revision of its newest batch.
	At uint64 `json:"-"`
}

// markGap records that the incarnation ended without closing, at unixMS at the latest.
// What may be missing are the requests in flight at the last batch and those that
// came after it at the rate of that time, rounded up.
func (i *Incarnation) markGap(unixMS int64) {
	elapsedMS := float64(max(0, unixMS-i.LastMS))
	i.Gap = true
	// Replicas must agree: the order of these operations decides how they round. 0.999
	// rounds up to a whole request.
	i.MayMiss = int64(i.Out) + int64(i.PerS*elapsedMS/1000+0.999)
}

// Attempt is a record within its entry. Snapshots hold it by gob, so the names Node
// and Record are part of that format, the latter being the name of the embedded type.
type Attempt struct {
	Node string `json:"node"`
	Record
}

// Entry is what the Log holds of one request: one failed attempt, or all attempts of
// a commitment. It is stored in snapshots by gob, so the field names are part of that
// format.
type Entry struct {
	Tenant   string    `json:"tenant"`
	Request  string    `json:"request"`
	Tries    []Attempt `json:"tries"`
	revision uint64    // global revision of the newest attempt, see Log.Ats
}

// Kind returns what the attempts amount to, or the empty string if they are no
// failure.
func (e *Entry) Kind() Kind {
	executed, maybeExecuted := 0, 0
	for _, attempt := range e.Tries {
		switch attempt.Kind {
		case Executed:
			executed++
		case MaybeExecuted:
			maybeExecuted++
		case NotExecuted:
		default:
			return attempt.Kind
		}
	}
	switch {
	case executed > 1:
		return Duplicated
	case executed == 1 && maybeExecuted > 0:
		return MaybeDuplicated
	case executed == 1:
		return ""
	case maybeExecuted > 0:
		return Indeterminate
	}
	return Lost
}

// Log is the audit log. It is part of a replicated state: replicas that ingest the
// same batches in the same order hold the same log. Its exported fields are stored in
// snapshots by gob, so their names are part of that format; they are for reading
// only. It is not safe for concurrent use.
type Log struct {
	Lives   map[string]*Incarnation // by id
	Entries map[string]*Entry       // by entryKey
	// Dropped counts the entries that were evicted because the log was full, by tenant.
	Dropped map[string]uint64
	// Ats holds the revisions of the entries, by key, in the stored form only.
	Ats map[string]uint64
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{
		Lives:   map[string]*Incarnation{},
		Entries: map[string]*Entry{},
		Dropped: map[string]uint64{},
	}
}

// PrepareEncode fills in what is stored but not kept in use. It must be called before
// the log is encoded.
func (l *Log) PrepareEncode() {
	l.Ats = make(map[string]uint64, len(l.Entries))
	for key, e := range l.Entries {
		l.Ats[key] = e.revision
	}
}

// FinishDecode makes a log that was decoded ready for use.
func (l *Log) FinishDecode() {
	for key, revision := range l.Ats {
		if e := l.Entries[key]; e != nil {
			e.revision = revision
		}
	}
	l.Ats = nil
}

// Ingest adds a batch at a global revision. It returns the sequence number up to which
// the log holds all records of the incarnation that were not dropped. A record that was
// ingested before is skipped, so a batch may come again.
func (l *Log) Ingest(revision uint64, batch Batch) (acknowledged uint64) {
	incarnation := l.Lives[batch.Life]
	if incarnation == nil {
		l.markPredecessors(batch)
		incarnation = &Incarnation{Node: batch.Node}
		l.Lives[batch.Life] = incarnation
	}
	for _, record := range batch.Records {
		if record.Seq <= incarnation.Last {
			continue
		}
		incarnation.Last = record.Seq
		l.addRecord(revision, Attempt{Node: incarnation.Node, Record: record}, batch)
	}
	if batch.AtMS >= incarnation.LastMS { // else an older batch came late
		incarnation.LastMS = batch.AtMS
		incarnation.PerS = batch.PerS
		incarnation.Out = batch.Out
	}
	incarnation.Dropped = max(incarnation.Dropped, batch.Dropped)
	incarnation.At = revision
	if batch.Closed {
		incarnation.Closed = true
	}
	if incarnation.Closed { // a gap that was assumed meanwhile is none
		incarnation.Gap = false
		incarnation.MayMiss = 0
	}
	return incarnation.Last
}

// markPredecessors marks a gap for the earlier incarnations of a node from which the
// first batch of a new one has come: those that have not closed ended without closing.
func (l *Log) markPredecessors(batch Batch) {
	for _, earlier := range l.Lives {
		if earlier.Node == batch.Node && !earlier.Closed && !earlier.Gap {
			earlier.markGap(batch.AtMS)
		}
	}
}

// entryKey returns the key of the entry to which an attempt belongs: one for all
// attempts of a commitment, and one of its own for any other.
func entryKey(incarnation string, r Record) string {
	key := r.Tenant + "\x00" + r.Request
	if r.isCommitmentEvidence() {
		return key
	}
	return key + "\x00" + incarnation + "\x00" + r.Attempt + "\x00" + string(r.Kind)
}

// addRecord adds an attempt of a batch to its entry.
func (l *Log) addRecord(revision uint64, attempt Attempt, batch Batch) {
	key := entryKey(batch.Life, attempt.Record)
	e := l.Entries[key]
	if e == nil {
		if batch.Most > 0 && len(l.Entries) >= batch.Most {
			l.evictEntries()
		}
		e = &Entry{Tenant: attempt.Tenant, Request: attempt.Request}
		l.Entries[key] = e
	}
	e.Tries = append(e.Tries, attempt)
	e.revision = revision
}

// evictionDivisor is the part of the entries that one eviction drops. Several are
// dropped at once, as each eviction sorts all of them.
const evictionDivisor = 16

// evictEntries drops a part of the entries: first commitments without a failure, then
// the oldest.
func (l *Log) evictEntries() {
	keys := make([]string, 0, len(l.Entries))
	for key := range l.Entries {
		keys = append(keys, key)
	}
	rank := func(key string) int {
		if l.Entries[key].Kind() == "" {
			return 0
		}
		return 1
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(l.Entries[a].revision, l.Entries[b].revision),
			cmp.Compare(a, b),
		)
	})
	for _, key := range keys[:max(1, len(keys)/evictionDivisor)] {
		l.Dropped[l.Entries[key].Tenant]++
		delete(l.Entries, key)
	}
}

// Compact forgets what no query returns, if it is not newer than a global revision:
// commitments that ran exactly once, and incarnations that closed and dropped
// nothing.
func (l *Log) Compact(revision uint64) {
	for key, e := range l.Entries {
		if e.revision <= revision && e.Kind() == "" {
			delete(l.Entries, key)
		}
	}
	for id, incarnation := range l.Lives {
		if incarnation.At <= revision && incarnation.Closed && incarnation.Dropped == 0 {
			delete(l.Lives, id)
		}
	}
}
