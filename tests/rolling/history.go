package main

import (
	"fmt"
	"maps"
	"slices"
	"sync"
)

// put is one acknowledged put of a cell.
type put struct{ name, value string }

// event is a put as a watch reports it.
type event struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// read is the result of reading a cell.
type read struct {
	put
	revision uint64
}

// history records what the control plane has acknowledged, and reports each response
// that contradicts it as a finding. It is safe for concurrent use.
type history struct {
	mu       sync.Mutex
	findings *findings

	numbers       issuedValues
	fences        issuedValues
	puts          map[uint64]put    // by revision; all puts of one group
	cellRevisions map[string]uint64 // the highest acknowledged revision, by cell
	maxRevision   uint64            // the highest acknowledged revision in the group
	rejected      map[string]bool   // values of rejected puts, which no cell may have
	reads         map[read]bool
}

// newHistory returns an empty history.
func newHistory(f *findings) *history {
	return &history{
		findings:      f,
		numbers:       issuedValues{name: "number", verb: "allocated", seen: map[uint64]bool{}},
		fences:        issuedValues{name: "fencing token", verb: "granted", seen: map[uint64]bool{}},
		puts:          map[uint64]put{},
		cellRevisions: map[string]uint64{},
		rejected:      map[string]bool{},
		reads:         map[read]bool{},
	}
}

// issuedValues holds the values of one kind that the control plane has issued.
type issuedValues struct {
	name, verb string // for findings
	seen       map[uint64]bool
	max        uint64
}

// add records an issued value; before was the highest when the call was sent.
func (v *issuedValues) add(f *findings, before, value uint64) {
	if value <= before {
		f.addf("%s %d is not above %d, which was %s before the call", v.name, value, before, v.verb)
	}
	if v.seen[value] {
		f.addf("%s %d was %s twice", v.name, value, v.verb)
	}
	v.seen[value] = true
	v.max = max(v.max, value)
}

// highestNumber returns the highest number allocated so far.
func (h *history) highestNumber() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.numbers.max
}

// addNumber records an allocated number; before was the highest when the call was sent.
func (h *history) addNumber(before, value uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.numbers.add(h.findings, before, value)
}

// highestFence returns the highest fencing token granted so far.
func (h *history) highestFence() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fences.max
}

// addFence records the fencing token of a new lock holder; before was the highest when
// the call was sent.
func (h *history) addFence(before, fence uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fences.add(h.findings, before, fence)
}

// highestRevision returns the highest revision of the group so far.
func (h *history) highestRevision() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.maxRevision
}

// addPut records an acknowledged put; before was the group's highest revision when the
// call was sent.
func (h *history) addPut(before, revision uint64, p put) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision <= before {
		h.findings.addf("put of %v: revision %d is not above %d, which was assigned before the call", p, revision, before)
	}
	if other, taken := h.puts[revision]; taken {
		h.findings.addf("revision %d was assigned to %v and to %v", revision, other, p)
	}
	h.puts[revision] = p
	h.cellRevisions[p.name] = max(h.cellRevisions[p.name], revision)
	h.maxRevision = max(h.maxRevision, revision)
}

// addRejected records the value of a put that is expected to be rejected.
func (h *history) addRejected(value string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejected[value] = true
}

// latestRevision returns the highest acknowledged revision of a cell.
func (h *history) latestRevision(name string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cellRevisions[name]
}

// addRead records the result of a read; before was the cell's highest revision when the
// call was sent. checkAll compares the value, once all puts are known.
func (h *history) addRead(before uint64, r read) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.revision < before {
		h.findings.addf("read of cell %s returned revision %d, below the acknowledged %d", r.name, r.revision, before)
	}
	h.reads[r] = true
}

// checkEvents checks the events of a watch that started after a revision: their
// revisions are consecutive and they are the acknowledged puts. While isFinal is false,
// the check of a put that is not acknowledged yet is left to checkAll.
func (h *history) checkEvents(who string, after uint64, events []event, isFinal bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, e := range events {
		want := after + uint64(i) + 1
		if e.Revision != want {
			h.findings.addf("%s: got event %v, want revision %d", who, e, want)
			return
		}
		if err := h.checkPut(put{e.Name, e.Value}, e.Revision, isFinal); err != nil {
			h.findings.addf("%s: %w", who, err)
		}
		if _, acknowledged := h.puts[e.Revision]; !acknowledged {
			h.reads[read{put{e.Name, e.Value}, e.Revision}] = true
		}
	}
	if last := after + uint64(len(events)); isFinal && last != h.maxRevision {
		h.findings.addf("%s: last event has revision %d, last acknowledged put %d", who, last, h.maxRevision)
	}
}

// checkPut returns an error if a value at a revision contradicts the acknowledged puts.
// The caller holds mu.
func (h *history) checkPut(p put, revision uint64, isFinal bool) error {
	known, acknowledged := h.puts[revision]
	switch {
	case h.rejected[p.value]:
		return fmt.Errorf("%v at revision %d is of a rejected put", p, revision)
	case !acknowledged && isFinal:
		return fmt.Errorf("%v at revision %d was never put", p, revision)
	case acknowledged && known != p:
		return fmt.Errorf("%v at revision %d, but %v was put", p, revision, known)
	}
	return nil
}

// checkAll checks that the revisions of the group have no gap and that every read
// returned an acknowledged put. It is called after the last call has returned.
func (h *history) checkAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	revisions := slices.Sorted(maps.Keys(h.puts))
	for i, revision := range revisions {
		if revision != uint64(i)+1 {
			h.findings.addf("put %d of the group has revision %d", i+1, revision)
			break
		}
	}
	for r := range h.reads {
		if err := h.checkPut(r.put, r.revision, true); err != nil {
			h.findings.addf("read: %w", err)
		}
	}
}
