package main

import (
	"fmt"
	"maps"
	"slices"
	"sync"
)

// put is one acknowledged put of a cell.
type put struct{ name, value string }

// event is a put as a watch shows it.
type event struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// read is what a read of a cell gave.
type read struct {
	put
	revision uint64
}

// history is what the control plane has acknowledged, and tells from it whether an
// answer is possible. All goroutines may use it.
type history struct {
	mu       sync.Mutex
	findings *findings

	numbers map[uint64]bool
	number  uint64 // the highest drawn
	fences  map[uint64]bool
	fence   uint64            // the highest granted
	puts    map[uint64]put    // by revision; all puts of one group
	newest  map[string]uint64 // the highest revision acknowledged, by cell
	group   uint64            // the highest revision acknowledged in the group
	refused map[string]bool   // values that no put may have left
	reads   map[read]bool
}

// newHistory returns an empty history.
func newHistory(f *findings) *history {
	return &history{
		findings: f,
		numbers:  map[uint64]bool{},
		fences:   map[uint64]bool{},
		puts:     map[uint64]put{},
		newest:   map[string]uint64{},
		refused:  map[string]bool{},
		reads:    map[read]bool{},
	}
}

// highestNumber returns the highest number drawn so far.
func (h *history) highestNumber() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.number
}

// addNumber takes a number whose call was sent when before was the highest.
func (h *history) addNumber(before, value uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if value <= before {
		h.findings.addf("number %d is not above %d, which was given before the call", value, before)
	}
	if h.numbers[value] {
		h.findings.addf("number %d was given twice", value)
	}
	h.numbers[value] = true
	h.number = max(h.number, value)
}

// highestFence returns the highest fence granted so far.
func (h *history) highestFence() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fence
}

// addFence takes the fence of a new holder whose call was sent when before was the
// highest.
func (h *history) addFence(before, fence uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if fence <= before {
		h.findings.addf("fence %d is not above %d, which was granted before the call", fence, before)
	}
	if h.fences[fence] {
		h.findings.addf("fence %d was granted twice", fence)
	}
	h.fences[fence] = true
	h.fence = max(h.fence, fence)
}

// highestRevision returns the highest revision of the group so far.
func (h *history) highestRevision() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.group
}

// addPut takes an acknowledged put whose call was sent when before was the group's
// highest revision.
func (h *history) addPut(before, revision uint64, p put) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision <= before {
		h.findings.addf("put of %v: revision %d is not above %d, which was given before the call", p, revision, before)
	}
	if other, taken := h.puts[revision]; taken {
		h.findings.addf("revision %d was given to %v and to %v", revision, other, p)
	}
	h.puts[revision] = p
	h.newest[p.name] = max(h.newest[p.name], revision)
	h.group = max(h.group, revision)
}

// addRefused takes the value of a put that was turned away.
func (h *history) addRefused(value string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused[value] = true
}

// newestOf returns the highest acknowledged revision of a cell.
func (h *history) newestOf(name string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest[name]
}

// addRead takes what a read gave that was sent when before was the cell's highest
// revision. The value is compared at the end, when all puts are known.
func (h *history) addRead(before uint64, r read) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.revision < before {
		h.findings.addf("cell %s reads at revision %d, below the acknowledged %d", r.name, r.revision, before)
	}
	h.reads[r] = true
}

// checkEvents checks the events of a watch that began after a revision: they follow
// each other without a gap and are the acknowledged puts. While isFinal is false, a
// put that is not acknowledged yet is left to checkAll.
func (h *history) checkEvents(who string, after uint64, events []event, isFinal bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, e := range events {
		want := after + uint64(i) + 1
		if e.Revision != want {
			h.findings.addf("%s: event %v where revision %d was due", who, e, want)
			return
		}
		if err := h.checkPut(put{e.Name, e.Value}, e.Revision, isFinal); err != nil {
			h.findings.addf("%s: %w", who, err)
		}
		if _, acknowledged := h.puts[e.Revision]; !acknowledged {
			h.reads[read{put{e.Name, e.Value}, e.Revision}] = true
		}
	}
	if last := after + uint64(len(events)); isFinal && last != h.group {
		h.findings.addf("%s: the events end at revision %d, the acknowledged puts at %d", who, last, h.group)
	}
}

// checkPut tells whether a value under a revision is as acknowledged. The caller
// holds the lock.
func (h *history) checkPut(p put, revision uint64, isFinal bool) error {
	known, acknowledged := h.puts[revision]
	switch {
	case h.refused[p.value]:
		return fmt.Errorf("%v at revision %d was refused", p, revision)
	case !acknowledged && isFinal:
		return fmt.Errorf("%v at revision %d was never put", p, revision)
	case acknowledged && known != p:
		return fmt.Errorf("%v at revision %d, but %v was put", p, revision, known)
	}
	return nil
}

// checkAll checks, once no call is under way, that the revisions of the group have
// no gap and that every read gave what was put.
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
