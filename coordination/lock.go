package coordination

// Lock is a lock that is held. It is stored in snapshots by gob, so the field names
// are part of that format.
type Lock struct {
	Holder string
	// Fence is the fencing token: the global revision at which the holder acquired the
	// lock. It is greater than that of every earlier holding of any lock, so that a
	// resource can reject a holder whose lease ended without its knowing (Kleppmann,
	// "How to do distributed locking", 2016; Chubby's sequencers, Burrows 2006, §2.4).
	Fence uint64
	// Grant is the global revision of the newest acquisition or renewal. A lease timer
	// that was started for an older grant is void.
	Grant uint64
	// HoldMS is the duration of the lease in ms, counted from the newest grant. It is
	// the longest that the holder has asked for since it acquired the lock: calls may
	// overtake each other, and a late one that asks for less must not end the lease
	// that a newer one was given.
	HoldMS uint64
}

// acquireLock gives a free lock to the holder. It renews a lock that the holder has,
// so that a repeated call is idempotent, and takes a lock over if the command names
// its newest grant as expired.
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

// renewLock extends the lease of a lock that the holder has under its fencing token.
func (t *Table) renewLock(revision uint64, c Command) Result {
	lock, ok := t.ownedLock(c)
	if !ok {
		return Result{Code: LockLost}
	}
	return t.extendLease(revision, lock, c)
}

// releaseLock is idempotent: a lock that the holder no longer has is left alone.
func (t *Table) releaseLock(c Command) Result {
	if _, ok := t.ownedLock(c); ok {
		delete(t.Locks, c.Name)
	}
	return Result{}
}

// ownedLock returns the lock that a command names if its holder has it under the
// command's fencing token.
func (t *Table) ownedLock(c Command) (Lock, bool) {
	lock, isHeld := t.Locks[c.Name]
	return lock, isHeld && lock.Fence == c.FencingToken && lock.Holder == c.Holder
}

// extendLease starts the lease of a lock anew, with the longer of both durations.
func (t *Table) extendLease(revision uint64, lock Lock, c Command) Result {
	lock.Grant = revision
	lock.HoldMS = max(lock.HoldMS, c.LeaseMS)
	t.Locks[c.Name] = lock
	return Result{Fence: lock.Fence, Grant: lock.Grant}
}
