package soak

import (
	"sync"
	"time"
)

// lockHistory records which clients believe they hold which lock. A client holds a lock from a
// successful response until the lease expires, counted from when the call was sent, or until it
// sends the release. Safe for concurrent use.
type lockHistory struct {
	fail func(format string, args ...any)

	mu    sync.Mutex
	locks map[string]*lockRecord

	acquired, reacquired, released int
}

// lockRecord is the history of one lock.
type lockRecord struct {
	heldUntil   map[string]time.Time // when each client stops believing that it holds the lock
	tokenHolder map[uint64]string
	newest      uint64 // highest fencing token issued
}

func newLockHistory(fail func(format string, args ...any)) *lockHistory {
	return &lockHistory{fail: fail, locks: map[string]*lockRecord{}}
}

// record returns the history of a lock. The caller holds h.mu.
func (h *lockHistory) record(lock string) *lockRecord {
	r := h.locks[lock]
	if r == nil {
		r = &lockRecord{heldUntil: map[string]time.Time{}, tokenHolder: map[uint64]string{}}
		h.locks[lock] = r
	}
	return r
}

// newestToken returns the highest fencing token issued to any client.
func (h *lockHistory) newestToken(lock string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record(lock).newest
}

// recordAcquired records that a client acquired a lock at now. newestBefore is the result of
// newestToken when the call was sent.
func (h *lockHistory) recordAcquired(now time.Time, lock, holder string, fence, newestBefore uint64, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(lock)
	owner, isKnown := r.tokenHolder[fence]
	switch {
	case isKnown && owner != holder:
		h.fail("lock %s: %s and %s both received fencing token %d", lock, owner, holder, fence)
	case !isKnown && fence <= newestBefore:
		h.fail("lock %s: %s received fencing token %d after %d had been issued", lock, holder, fence, newestBefore)
	case isKnown:
		h.reacquired++
	}
	r.tokenHolder[fence] = holder
	r.newest = max(r.newest, fence)
	h.acquired++
	h.extend(now, lock, holder, fence, until)
}

// recordRenewed records that a holder's lease was renewed at now.
func (h *lockHistory) recordRenewed(now time.Time, lock, holder string, fence uint64, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.extend(now, lock, holder, fence, until)
}

// extend records that a holder has the lock until the given time, unless that has passed, and checks
// that no other client believes it holds the lock. The caller holds h.mu.
func (h *lockHistory) extend(now time.Time, lock, holder string, fence uint64, until time.Time) {
	r := h.record(lock)
	if !until.After(now) {
		return
	}
	for other, end := range r.heldUntil {
		if other != holder && end.After(now) {
			h.fail("lock %s: %s holds it with fencing token %d, while the lease of %s lasts another %v", lock, holder, fence, other, end.Sub(now))
		}
	}
	if until.After(r.heldUntil[holder]) {
		r.heldUntil[holder] = until
	}
}

// recordReleased records that a holder is about to send its release.
func (h *lockHistory) recordReleased(lock, holder string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released++
	delete(h.record(lock).heldUntil, holder)
}

// counts returns the number of successful acquisitions, how many of these returned a fencing token that
// had been issued to the holder before, and the number of releases sent.
func (h *lockHistory) counts() (acquired, reacquired, released int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acquired, h.reacquired, h.released
}
