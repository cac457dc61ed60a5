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
	Late      Kind = "late"       // answered well, after its aim
	Failed    Kind = "failed"     // not answered well
	BrokenOff Kind = "broken_off" // an answer ended early

	Ran    Kind = "ran"     // a commitment that an endpoint answered well
	Unsure Kind = "unsure"  // a commitment that an endpoint may have got, and no clear answer
	NotRun Kind = "not_run" // a commitment that certainly has not run
)

// What a commitment's tries amount to.
const (
	Doubled      Kind = "doubled"       // recorded twice: two tries ran
	MaybeDoubled Kind = "maybe_doubled" // one ran, and another may have
	Unclear      Kind = "unclear"       // none is known to have run, one may have: recorded or lost
	Lost         Kind = "lost"          // no try has run
)

// Kinds lists what an entry of the account may be.
func Kinds() []Kind {
	return []Kind{Late, Failed, BrokenOff, Doubled, MaybeDoubled, Unclear, Lost}
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

// commitment tells whether the record is a commitment's evidence.
func (r Record) commitment() bool { return r.Kind == Ran || r.Kind == Unsure || r.Kind == NotRun }

// Batch is what a proxy hands over at a time.
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
	// Most is the bound of the book, set by the control-plane node that takes the
	// batch, so that all replicas keep to the same.
	Most int `json:"most"`
}

// Stub is a proxy's side. It is not safe for use from several goroutines.
type Stub struct {
	life, node string
	most       int
	next       uint64
	held       []Record
	dropped    uint64
}

// NewStub makes the stub of one life of a node's process, which holds so many
// records at the most.
func NewStub(life, node string, most int) *Stub { return &Stub{life: life, node: node, most: most} }

// Note numbers a record and keeps it. What passes the bound is dropped and counted.
func (s *Stub) Note(r Record) {
	s.next++
	if len(s.held) >= s.most {
		s.dropped++
		return
	}
	r.Seq = s.next
	s.held = append(s.held, r)
}

// Batch gives the oldest records not acknowledged yet, so many at the most.
func (s *Stub) Batch(atMS int64, most int) Batch {
	return Batch{Life: s.life, Node: s.node, AtMS: atMS, Dropped: s.dropped, Records: slices.Clone(s.held[:min(most, len(s.held))])}
}

// Acked takes that all records of a life up to a number have been taken in.
func (s *Stub) Acked(life string, seq uint64) {
	if life != s.life {
		return
	}
	n := 0
	for n < len(s.held) && s.held[n].Seq <= seq {
		n++
	}
	s.held = append(s.held[:0:0], s.held[n:]...)
}

// Held is how many records wait.
func (s *Stub) Held() int { return len(s.held) }

// Dropped is how many were dropped.
func (s *Stub) Dropped() uint64 { return s.dropped }

// Life is one life of a proxy's process as the book knows it.
type Life struct {
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

// unheardMS is after how long a life that has not closed, and that others have been
// heard of since, counts as ended unseen. Idle lives are heard three times in it.
const unheardMS = 15000

// end marks a life that ended unseen, at the latest when told.
func (l *Life) end(ms int64) {
	l.Gap = true
	l.MayMiss = int64(l.Out) + int64(l.PerS*float64(max(0, ms-l.LastMS))/1000+0.999)
}

// Try is a record within its entry.
type Try struct {
	Node string `json:"node"`
	Record
}

// Entry is one failure: a try that went wrong, or a commitment with all its tries.
type Entry struct {
	Tenant  string `json:"tenant"`
	Request string `json:"request"`
	Tries   []Try  `json:"tries"`
	at      uint64 // the log's number of its newest try
}

// Kind is what the tries amount to; empty is no failure.
func (e Entry) Kind() Kind {
	ran, unsure := 0, 0
	for _, t := range e.Tries {
		switch t.Kind {
		case Ran:
			ran++
		case Unsure:
			unsure++
		case NotRun:
		default:
			return t.Kind
		}
	}
	switch {
	case ran > 1:
		return Doubled
	case ran == 1 && unsure > 0:
		return MaybeDoubled
	case ran == 1:
		return ""
	case unsure > 0:
		return Unclear
	}
	return Lost
}

// Book is the account. It is part of a replicated state: every replica that takes
// the same batches in the same order holds the same.
type Book struct {
	Lives   map[string]*Life
	Entries map[string]*Entry
	// Dropped counts entries that were given up for the bound, by tenant.
	Dropped map[string]uint64
	// Ats keeps the entries' numbers, for encoding.
	Ats map[string]uint64
}

// NewBook makes an empty account.
func NewBook() *Book {
	return &Book{Lives: map[string]*Life{}, Entries: map[string]*Entry{}, Dropped: map[string]uint64{}}
}

// Seal and Settle go round encoding.
func (b *Book) Seal() {
	b.Ats = make(map[string]uint64, len(b.Entries))
	for k, e := range b.Entries {
		b.Ats[k] = e.at
	}
}

// Settle makes a decoded book ready for use.
func (b *Book) Settle() {
	for k, at := range b.Ats {
		if e := b.Entries[k]; e != nil {
			e.at = at
		}
	}
	b.Ats = nil
}

// Take takes a batch in under the log's number and gives the number up to which
// the life's records are in.
func (b *Book) Take(at uint64, batch Batch) uint64 {
	l := b.Lives[batch.Life]
	if l == nil {
		// A new life of the node: one that has not closed has ended unseen.
		for _, old := range b.Lives {
			if old.Node == batch.Node && !old.Closed && !old.Gap {
				old.end(batch.AtMS)
			}
		}
		l = &Life{Node: batch.Node}
		b.Lives[batch.Life] = l
	}
	for _, r := range batch.Records {
		if r.Seq <= l.Last {
			continue // taken in before
		}
		l.Last = r.Seq
		b.note(at, l.Node, batch.Life, r, batch.Most)
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

func (b *Book) note(at uint64, node, life string, r Record, most int) {
	key := r.Tenant + "\x00" + r.Request
	if !r.commitment() {
		key += "\x00" + life + "\x00" + r.Attempt + "\x00" + string(r.Kind)
	}
	e := b.Entries[key]
	if e == nil {
		if most > 0 && len(b.Entries) >= most {
			b.makeRoom()
		}
		e = &Entry{Tenant: r.Tenant, Request: r.Request}
		b.Entries[key] = e
	}
	e.Tries = append(e.Tries, Try{node, r})
	e.at = at
}

// makeRoom gives up a sixteenth of the entries: commitments without a failure
// first, then the oldest.
func (b *Book) makeRoom() {
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
		return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(b.Entries[x].at, b.Entries[y].at), cmp.Compare(x, y))
	})
	for _, k := range keys[:max(1, len(keys)/16)] {
		b.Dropped[b.Entries[k].Tenant]++
		delete(b.Entries, k)
	}
}

// Trim forgets what is settled and older than a number of the log: commitments that
// ran once, and lives that closed.
func (b *Book) Trim(before uint64) {
	for k, e := range b.Entries {
		if e.at <= before && e.Kind() == "" {
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
	Most    int    `json:"most,omitempty"`
}

// Failure is an entry as it is told.
type Failure struct {
	Tenant  string `json:"tenant"`
	Request string `json:"request"`
	Kind    Kind   `json:"kind"`
	AtMS    int64  `json:"at_ms"` // of the first try
	Tries   []Try  `json:"tries"`
}

// Answer is what the account says.
type Answer struct {
	Failures []Failure `json:"failures"`
	// Sums count all that the filter picks, by tenant and kind, also what Most left
	// out of Failures.
	Sums map[string]map[Kind]int `json:"sums"`
	// Gaps are the lives of which something may be missing.
	Gaps map[string]Life `json:"gaps"`
	// Dropped counts entries given up for the book's bound, by tenant.
	Dropped map[string]uint64 `json:"dropped"`
}

// Read answers a filter.
func (b *Book) Read(f Filter) Answer {
	a := Answer{Failures: []Failure{}, Sums: map[string]map[Kind]int{}, Gaps: map[string]Life{}, Dropped: map[string]uint64{}}
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
		if a.Sums[e.Tenant] == nil {
			a.Sums[e.Tenant] = map[Kind]int{}
		}
		a.Sums[e.Tenant][kind]++
		a.Failures = append(a.Failures, Failure{e.Tenant, e.Request, kind, first, slices.Clone(e.Tries)})
	}
	slices.SortFunc(a.Failures, func(x, y Failure) int {
		return cmp.Or(cmp.Compare(x.AtMS, y.AtMS), strings.Compare(x.Tenant, y.Tenant), strings.Compare(x.Request, y.Request), strings.Compare(string(x.Kind), string(y.Kind)), strings.Compare(x.Tries[0].Attempt, y.Tries[0].Attempt))
	})
	if f.Most > 0 && len(a.Failures) > f.Most {
		a.Failures = a.Failures[len(a.Failures)-f.Most:]
	}
	newest := int64(0)
	for _, l := range b.Lives {
		newest = max(newest, l.LastMS)
	}
	for id, l := range b.Lives {
		x := *l
		if !x.Closed && !x.Gap && newest-x.LastMS > unheardMS {
			x.end(newest)
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
