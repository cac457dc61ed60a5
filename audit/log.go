package audit

import (
	"cmp"
	"slices"
)

// silenceTimeoutMS is the time without a batch after which an incarnation that has not
// closed is presumed to have ended, measured by the batches of other incarnations. Even an
// idle proxy sends at least three batches in this time.
const silenceTimeoutMS = 15000

// Incarnation is the state of one proxy process in the Log. Snapshots store it with gob, and
// the API returns it as JSON, so the names of the fields and JSON keys are part of these
// formats.
type Incarnation struct {
	Node    string  `json:"node"`
	Last    uint64  `json:"last"`    // highest sequence number ingested
	LastMS  int64   `json:"last_ms"` // Unix time in ms of the newest batch
	Dropped uint64  `json:"dropped"` // records dropped by its recorder
	PerS    float64 `json:"per_s"`   // requests per second at LastMS
	Out     int     `json:"out"`     // requests in flight at LastMS
	Closed  bool    `json:"closed"`  // it has sent its last batch
	// Gap is set if the incarnation ended without a closing batch. MayMiss is the estimated
	// number of requests that it may have handled without sending a record.
	Gap     bool  `json:"gap"`
	MayMiss int64 `json:"may_miss"`
	// At is the global revision of the newest batch.
	At uint64 `json:"-"`
}

// markGap records that the incarnation ended without a closing batch, at unixMS at the
// latest. Records may be missing for the requests in flight at the last batch and for those
// that arrived afterwards, estimated from the request rate at the last batch and rounded up.
func (i *Incarnation) markGap(unixMS int64) {
	elapsedMS := float64(max(0, unixMS-i.LastMS))
	i.Gap = true
	// All replicas must get the same result, so the order of these floating-point operations
	// must not change. Adding 0.999 rounds up to a whole request.
	i.MayMiss = int64(i.Out) + int64(i.PerS*elapsedMS/1000+0.999)
}

// Attempt is a record in an entry, with the node that sent it. Snapshots store it with gob,
// so the field names Node and Record are part of the snapshot format. The latter is the name
// of the embedded type.
type Attempt struct {
	Node string `json:"node"`
	Record
}

// Entry is an entry of the Log: one failed attempt of a request, or all attempts of a
// non-idempotent request that say whether it was executed. Snapshots store it with gob, so
// the field names are part of the snapshot format.
type Entry struct {
	Tenant   string    `json:"tenant"`
	Request  string    `json:"request"`
	Tries    []Attempt `json:"tries"`
	revision uint64    // global revision of the newest attempt, stored in Log.Ats
}

// Kind returns the kind of failure that follows from the attempts, or the empty string if
// the request did not fail.
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

// Log is the audit log. It is part of the replicated state: replicas that ingest the same
// batches in the same order hold the same log. Snapshots store its exported fields with gob,
// so their names are part of the snapshot format. Callers must not modify the fields. Log is
// not safe for concurrent use.
type Log struct {
	Lives   map[string]*Incarnation // by ID
	Entries map[string]*Entry       // by entryKey
	// Dropped counts, by tenant, the entries that were evicted because the log was full.
	Dropped map[string]uint64
	// Ats holds the revisions of the entries by entryKey. It is set only in the encoded form.
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

// PrepareEncode sets Ats. It must be called before the log is encoded.
func (l *Log) PrepareEncode() {
	l.Ats = make(map[string]uint64, len(l.Entries))
	for key, e := range l.Entries {
		l.Ats[key] = e.revision
	}
}

// FinishDecode restores the revisions of the entries from Ats. It must be called after the
// log has been decoded.
func (l *Log) FinishDecode() {
	for key, revision := range l.Ats {
		if e := l.Entries[key]; e != nil {
			e.revision = revision
		}
	}
	l.Ats = nil
}

// Ingest adds the records of a batch at a global revision. It returns the sequence number up
// to which all records of the incarnation that its recorder did not drop have been ingested.
// Ingest is idempotent: it skips records that it has already ingested.
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
	if batch.AtMS >= incarnation.LastMS { // otherwise the batch is a delayed older one
		incarnation.LastMS = batch.AtMS
		incarnation.PerS = batch.PerS
		incarnation.Out = batch.Out
	}
	incarnation.Dropped = max(incarnation.Dropped, batch.Dropped)
	incarnation.At = revision
	if batch.Closed {
		incarnation.Closed = true
	}
	if incarnation.Closed { // clears a gap that was presumed before the closing batch arrived
		incarnation.Gap = false
		incarnation.MayMiss = 0
	}
	return incarnation.Last
}

// markPredecessors marks a gap for each earlier incarnation of the batch's node that has not
// closed. The first batch of a new incarnation proves that the earlier ones have ended.
func (l *Log) markPredecessors(batch Batch) {
	for _, earlier := range l.Lives {
		if earlier.Node == batch.Node && !earlier.Closed && !earlier.Gap {
			earlier.markGap(batch.AtMS)
		}
	}
}

// entryKey returns the key of the entry to which a record belongs. All records that say
// whether a non-idempotent request was executed share one entry; any other record has an
// entry of its own.
func entryKey(incarnation string, r Record) string {
	key := r.Tenant + "\x00" + r.Request
	if r.isExecutionEvidence() {
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

// evictionDivisor is the divisor of the number of entries that gives the number removed by
// one eviction. Several are removed at once because each eviction sorts all entries.
const evictionDivisor = 16

// evictEntries removes 1/evictionDivisor of the entries: those that are not failures first,
// then the oldest.
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

// Compact removes data up to and including a global revision that queries do not return:
// non-idempotent requests that were executed exactly once, and incarnations that closed
// without dropping records.
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
