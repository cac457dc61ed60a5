package audit

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Filter selects failures. A zero field does not restrict the selection. The JSON keys are
// part of the API.
type Filter struct {
	Tenant  string `json:"tenant,omitempty"`
	Kind    Kind   `json:"kind,omitempty"`
	Request string `json:"request,omitempty"`
	SinceMS int64  `json:"since_ms,omitempty"` // Unix time in ms, inclusive
	UntilMS int64  `json:"until_ms,omitempty"` // Unix time in ms, exclusive
	// Limit is the maximum number of failures to return. If more are selected, the newest
	// are returned.
	Limit int `json:"most,omitempty"`
}

// matches reports whether the filter selects a failure of this kind, without regard to its
// time.
func (f Filter) matches(e *Entry, kind Kind) bool {
	return (f.Tenant == "" || f.Tenant == e.Tenant) &&
		(f.Kind == "" || f.Kind == kind) &&
		(f.Request == "" || f.Request == e.Request)
}

// matchesTime reports whether the filter selects failures of this Unix time in ms.
func (f Filter) matchesTime(unixMS int64) bool {
	return f.SinceMS <= unixMS && (f.UntilMS <= 0 || unixMS < f.UntilMS)
}

// Failure is a failed request in the result of a query. The JSON keys are part of the API.
type Failure struct {
	Tenant   string    `json:"tenant"`
	Request  string    `json:"request"`
	Kind     Kind      `json:"kind"`
	AtMS     int64     `json:"at_ms"` // Unix time in ms of the first attempt
	Attempts []Attempt `json:"tries"`
}

// compareFailures orders failures by time. The other fields break ties, so that the order is
// total.
func compareFailures(a, b Failure) int {
	switch {
	case a.AtMS != b.AtMS:
		return cmp.Compare(a.AtMS, b.AtMS)
	case a.Tenant != b.Tenant:
		return strings.Compare(a.Tenant, b.Tenant)
	case a.Request != b.Request:
		return strings.Compare(a.Request, b.Request)
	case a.Kind != b.Kind:
		return strings.Compare(string(a.Kind), string(b.Kind))
	}
	return strings.Compare(a.Attempts[0].Attempt, b.Attempts[0].Attempt)
}

// QueryResult is the result of a query. The JSON keys are part of the API.
type QueryResult struct {
	Failures []Failure `json:"failures"` // oldest first
	// Counts is the number of selected failures by tenant and kind. It includes failures
	// that are not in Failures because of Filter.Limit.
	Counts map[string]map[Kind]int `json:"sums"`
	// Gaps holds, by ID, the incarnations of which records may be missing.
	Gaps map[string]Incarnation `json:"gaps"`
	// Dropped counts, by tenant, the entries that were evicted because the log was full.
	Dropped map[string]uint64 `json:"dropped"`
}

// Query returns the failures that a filter selects, and information about entries that may
// be missing.
func (l *Log) Query(f Filter) QueryResult {
	result := QueryResult{
		Failures: []Failure{},
		Counts:   map[string]map[Kind]int{},
		Gaps:     l.gaps(),
		Dropped:  map[string]uint64{},
	}
	for _, e := range l.Entries {
		kind := e.Kind()
		if kind == "" || !f.matches(e, kind) {
			continue
		}
		firstMS := e.firstAttemptMS()
		if !f.matchesTime(firstMS) {
			continue
		}
		if result.Counts[e.Tenant] == nil {
			result.Counts[e.Tenant] = map[Kind]int{}
		}
		result.Counts[e.Tenant][kind]++
		result.Failures = append(result.Failures, Failure{
			Tenant:   e.Tenant,
			Request:  e.Request,
			Kind:     kind,
			AtMS:     firstMS,
			Attempts: slices.Clone(e.Tries),
		})
	}
	slices.SortFunc(result.Failures, compareFailures)
	if f.Limit > 0 && len(result.Failures) > f.Limit {
		result.Failures = result.Failures[len(result.Failures)-f.Limit:]
	}
	if f.Tenant == "" {
		maps.Copy(result.Dropped, l.Dropped)
	} else if dropped, ok := l.Dropped[f.Tenant]; ok {
		result.Dropped[f.Tenant] = dropped
	}
	return result
}

// firstAttemptMS returns the Unix time in ms of the earliest attempt.
func (e *Entry) firstAttemptMS() int64 {
	first := e.Tries[0].AtMS
	for _, attempt := range e.Tries {
		first = min(first, attempt.AtMS)
	}
	return first
}

// gaps returns the incarnations of which records may be missing. An incarnation whose newest
// batch is more than silenceTimeoutMS older than the newest batch of all is marked only in
// the result and not in the Log: whether it has ended is not certain until its node has a
// new incarnation.
func (l *Log) gaps() map[string]Incarnation {
	newestMS := int64(0)
	for _, incarnation := range l.Lives {
		newestMS = max(newestMS, incarnation.LastMS)
	}
	gaps := map[string]Incarnation{}
	for id, stored := range l.Lives {
		incarnation := *stored
		isSilent := newestMS-incarnation.LastMS > silenceTimeoutMS
		if isSilent && !incarnation.Closed && !incarnation.Gap {
			incarnation.markGap(newestMS)
		}
		if incarnation.Gap || incarnation.Dropped > 0 {
			gaps[id] = incarnation
		}
	}
	return gaps
}
