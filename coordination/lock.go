package coordination

// Lock is the state of a held lock. Snapshots store it with gob, so the field names are
// part of the snapshot format.
type Lock struct {
	Holder string
	// Fence is the fencing token: the global revision at which the holder acquired the
	// lock. It is greater than the token of every earlier acquisition of any lock, so a
	// resource can reject a holder that has not noticed the end of its lease (Kleppmann,
	// "How to do distributed locking", 2016; Chubby's sequencers, Burrows 2006, §2.4).
	Fence uint64
	// Grant is the global revision of the newest acquisition or renewal. Lease timers of
	// older grants are invalid.
	Grant uint64
	// HoldMS is the lease duration in ms, counted from the newest grant. It is the
	// longest duration that the holder has requested since it acquired the lock: calls
	// may be reordered, and a delayed call with a shorter duration must not shorten a
	// lease that a newer call has extended.
	HoldMS uint64
}

// acquireLock grants a free lock to the caller. If the caller already holds the lock, it
// renews the lease, which makes repeated calls idempotent. It transfers a held lock if
// the command names the lock's newest grant as expired.
func (t *Table) acquireLock(revision uint64, c Command) Result {
	lock, isHeld := t.Locks[c.Name]
	hasExpired := isHeld && c.ExpiredToken == lock.Fence && c.ExpiredGrant == lock.Grant
	if isHeld && !hasExpired {
		if lock.Holder != c.Holder {
			return Result{Code: LockHeld}
		}
		return t.extendLease(revision, lock, c)
	}
	t.Locks[c.Name] = Lock{Holder: c.Holder, Fence: revision, Grant: revision, HoldMS: c.LeaseMS}
	return Result{Fence: revision, Grant: revision}
}

// renewLock extends the lease if the caller holds the lock under the given fencing token.
func (t *Table) renewLock(revision uint64, c Command) Result {
	lock, ok := t.ownedLock(c)
	if !ok {
		return Result{Code: LockLost}
	}
	return t.extendLease(revision, lock, c)
}

// releaseLock frees the lock if the caller holds it under the given fencing token.
// Otherwise it changes nothing and still succeeds, so that it is idempotent.
func (t *Table) releaseLock(c Command) Result {
	if _, ok := t.ownedLock(c); ok {
		delete(t.Locks, c.Name)
	}
	return Result{}
}

// ownedLock returns the named lock, and whether the command's holder has it under the
// command's fencing token.
func (t *Table) ownedLock(c Command) (Lock, bool) {
	lock, isHeld := t.Locks[c.Name]
	return lock, isHeld && lock.Fence == c.FencingToken && lock.Holder == c.Holder
}

// extendLease restarts the lease with the longer of the present and the requested
// duration.
func (t *Table) extendLease(revision uint64, lock Lock, c Command) Result {
	lock.Grant = revision
	lock.HoldMS = max(lock.HoldMS, c.LeaseMS)
	t.Locks[c.Name] = lock
	return Result{Fence: lock.Fence, Grant: lock.Grant}
}
