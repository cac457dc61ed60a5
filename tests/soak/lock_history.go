package soak

import (
	"sync"
	"time"
)

// lockHistory holds who counts itself holder of which lock, by the callers' own view: from a
// successful answer until the lease has run out, counted from when the call was sent, or until
// the release is sent. All goroutines may use it.
type lockHistory struct {
	fail func(format string, args ...any)

	mu    sync.Mutex
	locks map[string]*lockRecord

	acquired, reacquired, released int
}

// lockRecord is what is known of one lock.
type lockRecord struct {
	until      map[string]time.Time // when a caller stops to count itself holder
	fenceOwner map[uint64]string
	newest     uint64 // fencing token that was given
}

func newLockHistory(fail func(format string, args ...any)) *lockHistory {
	return &lockHistory{fail: fail, locks: map[string]*lockRecord{}}
}

// record returns what is known of a lock. The caller has the lock of the history.
func (h *lockHistory) record(lock string) *lockRecord {
	r := h.locks[lock]
	if r == nil {
		r = &lockRecord{until: map[string]time.Time{}, fenceOwner: map[uint64]string{}}
		h.locks[lock] = r
	}
	return r
}

// newestFence is the greatest fencing token that anybody was given.
func (h *lockHistory) newestFence(lock string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record(lock).newest
}

// recordAcquired records at now that a holder got a lock. newestBefore is newestFence at the time
// when the call was sent.
func (h *lockHistory) recordAcquired(now time.Time, lock, holder string, fence, newestBefore uint64, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(lock)
	owner, isKnown := r.fenceOwner[fence]
	switch {
	case isKnown && owner != holder:
		h.fail("lock %s: %s and %s got the fencing token %d", lock, owner, holder, fence)
	case !isKnown && fence <= newestBefore:
		h.fail("lock %s: %s got the fencing token %d, though %d had been given before", lock, holder, fence, newestBefore)
	case isKnown:
		h.reacquired++
	}
	r.fenceOwner[fence] = holder
	r.newest = max(r.newest, fence)
	h.acquired++
	h.extend(now, lock, holder, fence, until)
}

// recordRenewed records at now that a holder's lease was renewed.
func (h *lockHistory) recordRenewed(now time.Time, lock, holder string, fence uint64, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.extend(now, lock, holder, fence, until)
}

// extend lets a holder count itself so until a time, if that is to come, and checks that nobody
// else does. The caller has the lock of the history.
func (h *lockHistory) extend(now time.Time, lock, holder string, fence uint64, until time.Time) {
	r := h.record(lock)
	if !until.After(now) {
		return
	}
	for other, end := range r.until {
		if other != holder && end.After(now) {
			h.fail("lock %s: %s has it under %d, while %s counts itself holder for %v more", lock, holder, fence, other, end.Sub(now))
		}
	}
	if until.After(r.until[holder]) {
		r.until[holder] = until
	}
}

// recordReleased records that a holder is about to send its release.
func (h *lockHistory) recordReleased(lock, holder string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released++
	delete(h.record(lock).until, holder)
}

// counts returns how many acquisitions were answered, how many of them with a fencing token that
// the holder had been given before, and how many releases were sent.
func (h *lockHistory) counts() (acquired, reacquired, released int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acquired, h.reacquired, h.released
}
