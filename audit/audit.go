// Package audit is the account of failures (an audit log gathered from all proxy
// nodes): what went wrong for each tenant, by request, with none missing and none
// doubled, and where something may be missing, how much.
//
// A proxy keeps a Stub: records under the life of its process and a number that
// rises by one, kept until they are acknowledged. The replicated state keeps a Book,
// which takes each record in once, however often it is sent and to whom. Both are
// pure: they do no input or output, read no clock and start no goroutine.
package audit

import (
	"cmp"
	"slices"
	"strings"
)

// Kind is how one try ended, as its proxy saw it.
type Kind string

// The kinds of a try. Those of commitments are evidence: what they amount to shows
// only when all tries of one request are seen together, as they may have gone
// through several proxies.
const (
	MissedLatencyTarget Kind = "late"       // answered well, after its aim
	Failed              Kind = "failed"     // not answered well
	Truncated           Kind = "broken_off" // an answer ended early

	Executed      Kind = "ran"     // a commitment that an endpoint answered well
	MaybeExecuted Kind = "unsure"  // a commitment that an endpoint may have got, and no clear answer
	NotExecuted   Kind = "not_run" // a commitment that certainly has not run
)

// What a commitment's tries amount to.
const (
	Duplicated      Kind = "doubled"       // recorded twice: two tries ran
	MaybeDuplicated Kind = "maybe_doubled" // one ran, and another may have
	Indeterminate   Kind = "unclear"       // none is known to have run, one may have: recorded or lost
	Lost            Kind = "lost"          // no try has run
)

// FailureKinds lists what an entry of the account may be.
func FailureKinds() []Kind {
	return []Kind{MissedLatencyTarget, Failed, Truncated, Duplicated, MaybeDuplicated, Indeterminate, Lost}
}

// Record is one try. Tenant and Request tell whose it is; Attempt is the try's own
// id.
type Record struct {
	Seq     uint64 `json:"seq"`
	AtMS    int64  `json:"at_ms"` // the proxy's time of day
	Tenant  string `json:"tenant"`
	Route   string `json:"route"`
	Request string `json:"request"`
	Attempt string `json:"attempt"`
	Kind    Kind   `json:"kind"`
	Status  int    `json:"status"`
	TookMS  int64  `json:"took_ms"`
}

// isCommitmentEvidence tells whether the record is a commitment's evidence.
func (r Record) isCommitmentEvidence() bool {
	return r.Kind == Executed || r.Kind == MaybeExecuted || r.Kind == NotExecuted
}

// NextBatch is what a proxy hands over at a time.
type Batch struct {
	Life    string   `json:"life"`
	Node    string   `json:"node"`
	AtMS    int64    `json:"at_ms"`
	Records []Record `json:"records"`
	// Dropped is how many records the life has dropped in all, as its bound was
	// reached; their numbers are missing.
	Dropped uint64 `json:"dropped"`
	// PerS and Out are the requests a second and those out now: what is not handed
	// over yet if the process ends here without a word.
	PerS float64 `json:"per_s"`
	Out  int     `json:"out"`
	// Closed tells that the life ends and has handed over everything.
	Closed bool `json:"closed"`
	// Limit is the bound of the book, set by the control-plane node that takes the
	// batch, so that all replicas keep to the same.
	Most int `json:"most"`
}

// Recorder is a proxy's side. It is not safe for use from several goroutines.
type Recorder struct {
	incarnation, node string
	maxPending        int
	lastSeq           uint64
	pending           []Record
	dropped           uint64
}

// NewRecorder makes the stub of one life of a node's process, which holds so many
// records at the most.
func NewRecorder(life, node string, most int) *Recorder {
	return &Recorder{incarnation: life, node: node, maxPending: most}
}

// Append numbers a record and keeps it. What passes the bound is dropped and counted.
func (s *Recorder) Append(r Record) {
	s.lastSeq++
	if len(s.pending) >= s.maxPending {
		s.dropped++
		return
	}
	r.Seq = s.lastSeq
	s.pending = append(s.pending, r)
}

// NextBatch gives the oldest records not acknowledged yet, so many at the most.
func (s *Recorder) NextBatch(atMS int64, most int) Batch {
	return Batch{Life: s.incarnation, Node: s.node, AtMS: atMS, Dropped: s.dropped, Records: slices.Clone(s.pending[:min(most, len(s.pending))])}
}

// Acknowledge takes that all records of a life up to a number have been taken in.
func (s *Recorder) Acknowledge(life string, seq uint64) {
	if life != s.incarnation {
		return
	}
	n := 0
	for n < len(s.pending) && s.pending[n].Seq <= seq {
		n++
	}
	s.pending = append(s.pending[:0:0], s.pending[n:]...)
}

// Pending is how many records wait.
func (s *Recorder) Pending() int { return len(s.pending) }

// Dropped is how many were dropped.
func (s *Recorder) Dropped() uint64 { return s.dropped }

// Incarnation is one life of a proxy's process as the book knows it.
type Incarnation struct {
	Node    string  `json:"node"`
	Last    uint64  `json:"last"`
	LastMS  int64   `json:"last_ms"`
	Dropped uint64  `json:"dropped"`
	PerS    float64 `json:"per_s"`
	Out     int     `json:"out"`
	Closed  bool    `json:"closed"`
	// Gap tells that the life ended without handing everything over, and MayMiss how
	// many requests may have gone through it unseen.
	Gap     bool  `json:"gap"`
	MayMiss int64 `json:"may_miss"`
	// At is the log's number of its newest batch.
	At uint64 `json:"-"`
}

// silenceTimeoutMS is after how long a life that has not closed, and that others have been
// heard of since, counts as ended unseen. Idle lives are heard three times in it.
const silenceTimeoutMS = 15000

// markGap marks a life that ended unseen, at the latest when told.
func (l *Incarnation) markGap(ms int64) {
	l.Gap = true
	l.MayMiss = int64(l.Out) + int64(l.PerS*float64(max(0, ms-l.LastMS))/1000+0.999)
}

// Attempt is a record within its entry.
type Attempt struct {
	Node string `json:"node"`
	Record
}

// Entry is one failure: a try that went wrong, or a commitment with all its tries.
type Entry struct {
	Tenant   string    `json:"tenant"`
	Request  string    `json:"request"`
	Tries    []Attempt `json:"tries"`
	revision uint64    // the log's number of its newest try
}

// Kind is what the tries amount to; empty is no failure.
func (e Entry) Kind() Kind {
	ran, unsure := 0, 0
	for _, t := range e.Tries {
		switch t.Kind {
		case Executed:
			ran++
		case MaybeExecuted:
			unsure++
		case NotExecuted:
		default:
			return t.Kind
		}
	}
	switch {
	case ran > 1:
		return Duplicated
	case ran == 1 && unsure > 0:
		return MaybeDuplicated
	case ran == 1:
		return ""
	case unsure > 0:
		return Indeterminate
	}
	return Lost
}

// Log is the account. It is part of a replicated state: every replica that takes
// the same batches in the same order holds the same.
type Log struct {
	Lives   map[string]*Incarnation
	Entries map[string]*Entry
	// Dropped counts entries that were given up for the bound, by tenant.
	Dropped map[string]uint64
	// Ats keeps the entries' numbers, for encoding.
	Ats map[string]uint64
}

// NewLog makes an empty account.
func NewLog() *Log {
	return &Log{Lives: map[string]*Incarnation{}, Entries: map[string]*Entry{}, Dropped: map[string]uint64{}}
}

// PrepareEncode and Settle go round encoding.
func (b *Log) PrepareEncode() {
	b.Ats = make(map[string]uint64, len(b.Entries))
	for k, e := range b.Entries {
		b.Ats[k] = e.revision
	}
}

// FinishDecode makes a decoded book ready for use.
func (b *Log) FinishDecode() {
	for k, at := range b.Ats {
		if e := b.Entries[k]; e != nil {
			e.revision = at
		}
	}
	b.Ats = nil
}

// Ingest takes a batch in under the log's number and gives the number up to which
// the life's records are in.
func (b *Log) Ingest(at uint64, batch Batch) uint64 {
	l := b.Lives[batch.Life]
	if l == nil {
		// A new life of the node: one that has not closed has ended unseen.
		for _, old := range b.Lives {
			if old.Node == batch.Node && !old.Closed && !old.Gap {
				old.markGap(batch.AtMS)
			}
		}
		l = &Incarnation{Node: batch.Node}
		b.Lives[batch.Life] = l
	}
	for _, r := range batch.Records {
		if r.Seq <= l.Last {
			continue // taken in before
		}
		l.Last = r.Seq
		b.addRecord(at, l.Node, batch.Life, r, batch.Most)
	}
	if batch.AtMS >= l.LastMS {
		l.LastMS, l.PerS, l.Out = batch.AtMS, batch.PerS, batch.Out
	}
	l.Dropped, l.At = max(l.Dropped, batch.Dropped), at
	l.Closed = l.Closed || batch.Closed
	if l.Closed {
		l.Gap, l.MayMiss = false, 0
	}
	return l.Last
}

func (b *Log) addRecord(at uint64, node, life string, r Record, most int) {
	key := r.Tenant + "\x00" + r.Request
	if !r.isCommitmentEvidence() {
		key += "\x00" + life + "\x00" + r.Attempt + "\x00" + string(r.Kind)
	}
	e := b.Entries[key]
	if e == nil {
		if most > 0 && len(b.Entries) >= most {
			b.evictEntries()
		}
		e = &Entry{Tenant: r.Tenant, Request: r.Request}
		b.Entries[key] = e
	}
	e.Tries = append(e.Tries, Attempt{node, r})
	e.revision = at
}

// evictEntries gives up a sixteenth of the entries: commitments without a failure
// first, then the oldest.
func (b *Log) evictEntries() {
	keys := make([]string, 0, len(b.Entries))
	for k := range b.Entries {
		keys = append(keys, k)
	}
	rank := func(k string) int {
		if b.Entries[k].Kind() == "" {
			return 0
		}
		return 1
	}
	slices.SortFunc(keys, func(x, y string) int {
		return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(b.Entries[x].revision, b.Entries[y].revision), cmp.Compare(x, y))
	})
	for _, k := range keys[:max(1, len(keys)/16)] {
		b.Dropped[b.Entries[k].Tenant]++
		delete(b.Entries, k)
	}
}

// Compact forgets what is settled and older than a number of the log: commitments that
// ran once, and lives that closed.
func (b *Log) Compact(before uint64) {
	for k, e := range b.Entries {
		if e.revision <= before && e.Kind() == "" {
			delete(b.Entries, k)
		}
	}
	for id, l := range b.Lives {
		if l.At <= before && l.Closed && l.Dropped == 0 {
			delete(b.Lives, id)
		}
	}
}

// Filter picks entries; what is empty picks all.
type Filter struct {
	Tenant  string `json:"tenant,omitempty"`
	Kind    Kind   `json:"kind,omitempty"`
	Request string `json:"request,omitempty"`
	SinceMS int64  `json:"since_ms,omitempty"`
	UntilMS int64  `json:"until_ms,omitempty"`
	Limit   int    `json:"most,omitempty"`
}

// Failure is an entry as it is told.
type Failure struct {
	Tenant   string    `json:"tenant"`
	Request  string    `json:"request"`
	Kind     Kind      `json:"kind"`
	AtMS     int64     `json:"at_ms"` // of the first try
	Attempts []Attempt `json:"tries"`
}

// QueryResult is what the account says.
type QueryResult struct {
	Failures []Failure `json:"failures"`
	// Counts count all that the filter picks, by tenant and kind, also what Most left
	// out of Failures.
	Counts map[string]map[Kind]int `json:"sums"`
	// Gaps are the lives of which something may be missing.
	Gaps map[string]Incarnation `json:"gaps"`
	// Dropped counts entries given up for the book's bound, by tenant.
	Dropped map[string]uint64 `json:"dropped"`
}

// Query answers a filter.
func (b *Log) Query(f Filter) QueryResult {
	a := QueryResult{Failures: []Failure{}, Counts: map[string]map[Kind]int{}, Gaps: map[string]Incarnation{}, Dropped: map[string]uint64{}}
	for _, e := range b.Entries {
		kind := e.Kind()
		if kind == "" || f.Tenant != "" && e.Tenant != f.Tenant || f.Kind != "" && kind != f.Kind || f.Request != "" && e.Request != f.Request {
			continue
		}
		first := e.Tries[0].AtMS
		for _, t := range e.Tries {
			first = min(first, t.AtMS)
		}
		if first < f.SinceMS || f.UntilMS > 0 && first >= f.UntilMS {
			continue
		}
		if a.Counts[e.Tenant] == nil {
			a.Counts[e.Tenant] = map[Kind]int{}
		}
		a.Counts[e.Tenant][kind]++
		a.Failures = append(a.Failures, Failure{e.Tenant, e.Request, kind, first, slices.Clone(e.Tries)})
	}
	slices.SortFunc(a.Failures, func(x, y Failure) int {
		return cmp.Or(cmp.Compare(x.AtMS, y.AtMS), strings.Compare(x.Tenant, y.Tenant), strings.Compare(x.Request, y.Request), strings.Compare(string(x.Kind), string(y.Kind)), strings.Compare(x.Attempts[0].Attempt, y.Attempts[0].Attempt))
	})
	if f.Limit > 0 && len(a.Failures) > f.Limit {
		a.Failures = a.Failures[len(a.Failures)-f.Limit:]
	}
	newest := int64(0)
	for _, l := range b.Lives {
		newest = max(newest, l.LastMS)
	}
	for id, l := range b.Lives {
		x := *l
		if !x.Closed && !x.Gap && newest-x.LastMS > silenceTimeoutMS {
			x.markGap(newest)
		}
		if x.Gap || x.Dropped > 0 {
			a.Gaps[id] = x
		}
	}
	for tenant, n := range b.Dropped {
		if f.Tenant == "" || f.Tenant == tenant {
			a.Dropped[tenant] = n
		}
	}
	return a
}
