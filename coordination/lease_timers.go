package coordination

import "time"

// MaxCallDelay is the longest time for which a call is expected to stay in flight after its
// caller has abandoned it: the maximum segment lifetime of TCP (RFC 9293, section 3.4.1).
const MaxCallDelay = 2 * time.Minute

// LeaseTimers is one replica's local, unreplicated information about the locks of a Table:
// which leases have expired by the replica's monotonic clock, and which locks their holders
// have acquired again. A leader calls Prepare to get the form in which to propose a command.
//
// A Table contains no times. Each replica starts a lock's timer when it applies the grant,
// which is after the holder sent the call, so a timer never expires before the holder's own
// view of the lease. The leader names the expired grant in the command that takes over the
// lock, and every replica checks it in the same way.
//
// All times are readings of the replica's clock, and all indices are those of the replicated
// log. LeaseTimers is not safe for concurrent use. The zero value has no timers and must be
// initialized with Restart.
type LeaseTimers struct {
	byLock map[string]leaseTimer
	// pendingAcquisitions holds, by lock and holder, the log index of the newest acquisition
	// that this replica has proposed as the leader and may not have applied yet.
	pendingAcquisitions map[acquirer]uint64
	term                uint64 // in which pendingAcquisitions were proposed
}

// leaseTimer is the timer of the newest applied grant of a lock.
type leaseTimer struct {
	grant     uint64
	expiresAt time.Duration
	reacquisition
	// isReleaseWithheld is set once a release by the holder was answered without being
	// proposed.
	isReleaseWithheld bool
}

// reacquisition is the newest acquisition of a lock by a client that already held it. The
// zero value means that there was none.
type reacquisition struct {
	isPossible bool
	// isObserved is false if the replica has not applied a reacquisition but cannot rule
	// one out, as after a restart.
	isObserved bool
	latestAt   time.Duration // the reacquisition was applied at this time or earlier
}

// acquirer identifies a lock and the client that acquires it.
type acquirer struct{ lock, holder string }

// Decision tells a leader how to handle a command.
type Decision uint8

// The decisions.
const (
	// Propose appends the command to the log in the form that Prepare returned.
	Propose Decision = iota
	// Defer calls Prepare again later, because the decision depends on log entries that the
	// leader has not applied yet.
	Defer
	// AnswerOK reports success to the caller without a log entry.
	AnswerOK
)

func leaseOf(lock Lock) time.Duration { return time.Duration(lock.HoldMS) * time.Millisecond }

func newLeaseTimer(now time.Duration, lock Lock, reacquired reacquisition) leaseTimer {
	return leaseTimer{grant: lock.Grant, expiresAt: now + leaseOf(lock), reacquisition: reacquired}
}

// Restart resets the timers, as after a start or the installation of a snapshot. Every held
// lock gets its full lease from now on, and a possible reacquisition, because the replica
// knows neither the times of the grants nor which of them were reacquisitions.
func (t *LeaseTimers) Restart(now time.Duration, locks map[string]Lock) {
	t.byLock = make(map[string]leaseTimer, len(locks))
	t.pendingAcquisitions = map[acquirer]uint64{}
	for name, lock := range locks {
		t.byLock[name] = newLeaseTimer(now, lock, reacquisition{isPossible: true, latestAt: now})
	}
}

// StartTerm must be called by a leader with its term before Prepare. In a new term it clears
// the pending acquisitions: those proposed in earlier terms are either applied before the
// leader decides on a release, or never committed.
func (t *LeaseTimers) StartTerm(term uint64) {
	if t.term != term {
		t.term = term
		clear(t.pendingAcquisitions)
	}
}

// Update updates the timers after the command in the log entry at index has been applied.
// locks is the state after the command. isSafe is false if the command is a release that
// freed a lock although Prepare should have withheld it.
func (t *LeaseTimers) Update(now time.Duration, index uint64, cmd *Command, result Result, locks map[string]Lock) (isSafe bool) {
	timer, wasHeld := t.byLock[cmd.Name]
	lock, isHeld := locks[cmd.Name]
	switch cmd.Operation {
	case AcquireLock:
		t.clearPending(acquirer{cmd.Name, cmd.Holder}, index)
		if result.Code == OK {
			t.byLock[cmd.Name] = newLeaseTimer(now, lock, reacquisitionOf(now, result))
		}
	case RenewLock:
		// The lease duration is taken from the state, not from the command: a delayed
		// renewal may request less than a later one that was applied before it.
		if result.Code == OK {
			timer.grant = lock.Grant
			timer.expiresAt = now + leaseOf(lock)
			t.byLock[cmd.Name] = timer
		}
	case ReleaseLock:
		if !isHeld {
			delete(t.byLock, cmd.Name)
			// Half of MaxCallDelay leaves a margin for the difference between this clock
			// and that of the proposing leader.
			return !wasHeld || !timer.isObserved || now-timer.latestAt > MaxCallDelay/2
		}
	}
	return true
}

// reacquisitionOf derives from the result of a successful acquisition whether the caller
// already held the lock: in that case the fencing token is older than the grant.
func reacquisitionOf(now time.Duration, result Result) reacquisition {
	if result.Fence == result.Grant {
		return reacquisition{}
	}
	return reacquisition{isPossible: true, isObserved: true, latestAt: now}
}

func (t *LeaseTimers) clearPending(a acquirer, appliedIndex uint64) {
	if t.pendingAcquisitions[a] <= appliedIndex {
		delete(t.pendingAcquisitions, a)
	}
}

// Proposed records that the leader has appended a command to the log at index.
func (t *LeaseTimers) Proposed(index uint64, cmd *Command) {
	if cmd.Operation == AcquireLock {
		t.pendingAcquisitions[acquirer{cmd.Name, cmd.Holder}] = index
	}
}

// Prepare decides how the leader handles a command, and returns the form in which to propose
// it; cmd itself is not modified. locks is the state that the leader has applied, which must
// include all entries of earlier terms.
//
// An acquisition names the lock's current grant as expired if the lease has expired, or if
// the acquirer is the holder and its release was withheld. Otherwise it names no grant.
//
// A release is withheld if the holder has acquired the lock again within MaxCallDelay. The
// reacquisition returned the same fencing token, so the release may be a delayed call that
// the holder sent and abandoned before it, and applying it would free a lock that is in use.
// The two cases cannot be distinguished. The lock therefore stays held until its lease
// expires, or until the holder acquires it under a new fencing token, which no earlier
// release carries.
func (t *LeaseTimers) Prepare(now time.Duration, cmd *Command, locks map[string]Lock) (*Command, Decision) {
	switch cmd.Operation {
	case AcquireLock:
		return t.nameExpiredGrant(now, cmd, locks), Propose
	case ReleaseLock:
		return cmd, t.decideRelease(now, cmd, locks)
	}
	return cmd, Propose
}

// nameExpiredGrant returns a copy of an acquisition that names the grant that it may replace,
// if any.
func (t *LeaseTimers) nameExpiredGrant(now time.Duration, cmd *Command, locks map[string]Lock) *Command {
	prepared := *cmd
	prepared.ExpiredToken = 0
	prepared.ExpiredGrant = 0
	lock, isHeld := locks[cmd.Name]
	timer := t.byLock[cmd.Name]
	if !isHeld || timer.grant != lock.Grant {
		return &prepared
	}
	if now >= timer.expiresAt || timer.isReleaseWithheld && lock.Holder == cmd.Holder {
		prepared.ExpiredToken = lock.Fence
		prepared.ExpiredGrant = lock.Grant
	}
	return &prepared
}

func (t *LeaseTimers) decideRelease(now time.Duration, cmd *Command, locks map[string]Lock) Decision {
	if _, isPending := t.pendingAcquisitions[acquirer{cmd.Name, cmd.Holder}]; isPending {
		return Defer
	}
	lock, isHeld := locks[cmd.Name]
	if !isHeld || lock.Holder != cmd.Holder || lock.Fence != cmd.FencingToken {
		return Propose // the release has no effect
	}
	timer := t.byLock[cmd.Name]
	if !timer.isPossible || now-timer.latestAt > MaxCallDelay {
		return Propose
	}
	timer.isReleaseWithheld = true
	t.byLock[cmd.Name] = timer
	return AnswerOK
}
