package coordination

import "time"

// MaxCallDelay is the longest time for which a call is expected to be on its way after its
// caller has given it up: the maximum lifetime of a TCP segment (RFC 9293, section 3.4.1).
const MaxCallDelay = 2 * time.Minute

// LeaseTimers is what one replica knows of the locks of a Table beside its state: which
// have outlived their lease by the replica's monotonic clock, and which were acquired once
// more by their holder. A leader asks it in which form a command is proposed, see Prepare.
//
// A Table holds no time: each replica starts a lock's timer when it applies the grant, which
// is after the holder has sent the call, and the leader names an expired grant in the
// command that takes the lock over, which every replica then checks alike.
//
// All instants are readings of the replica's clock, and indices those of the replicated
// log. LeaseTimers are not safe for concurrent use. The zero value has no timers; Restart
// makes them.
type LeaseTimers struct {
	byLock map[string]leaseTimer
	// pending are the acquisitions that this replica has proposed as the leader and may not
	// have applied yet: the log index of the newest by lock and holder.
	pending map[acquirer]uint64
	term    uint64 // in which they were proposed
}

// leaseTimer is what is known of one grant of a lock.
type leaseTimer struct {
	grant     uint64
	expiresAt time.Duration
	reacquisition
	// isReleaseWithheld says that the holder's release was answered without effect.
	isReleaseWithheld bool
}

// reacquisition is the newest acquisition of a lock by the caller that held it already. The
// zero value stands for none.
type reacquisition struct {
	isPossible bool
	// isKnown is false if the replica has not seen it, but cannot rule it out.
	isKnown bool
	at      time.Duration
}

// acquirer is a lock and who wants to acquire it.
type acquirer struct{ lock, holder string }

// Decision is what a leader does with a command.
type Decision uint8

// The decisions.
const (
	// Propose puts the command into the log in the form that Prepare returned.
	Propose Decision = iota
	// Defer asks again later: entries that the leader has not applied matter.
	Defer
	// AnswerOK answers the command as successful without a log entry.
	AnswerOK
)

func leaseOf(lock Lock) time.Duration { return time.Duration(lock.HoldMS) * time.Millisecond }

func newLeaseTimer(now time.Duration, lock Lock, reacquired reacquisition) leaseTimer {
	return leaseTimer{grant: lock.Grant, expiresAt: now + leaseOf(lock), reacquisition: reacquired}
}

// Restart gives every lock of a table its full lease from now on, as after a start or
// a snapshot: when the grants were made is not known then, nor which were repeated.
func (t *LeaseTimers) Restart(now time.Duration, locks map[string]Lock) {
	t.byLock = make(map[string]leaseTimer, len(locks))
	t.pending = map[acquirer]uint64{}
	for name, lock := range locks {
		t.byLock[name] = newLeaseTimer(now, lock, reacquisition{isPossible: true, at: now})
	}
}

// StartTerm is called by a leader with its term before Prepare. What it proposed in an earlier
// term is applied before it decides on a release, or was never committed.
func (t *LeaseTimers) StartTerm(term uint64) {
	if t.term != term {
		t.term = term
		clear(t.pending)
	}
}

// Update follows a command that was applied from the log entry at index. locks is the
// state after it. It reports whether the command was sound: a release that frees a lock
// for which Prepare would have withheld it is not.
func (t *LeaseTimers) Update(now time.Duration, index uint64, cmd *Command, result Result, locks map[string]Lock) (isSound bool) {
	timer, wasHeld := t.byLock[cmd.Name]
	lock, isHeld := locks[cmd.Name]
	switch cmd.Operation {
	case AcquireLock:
		t.forgetPending(acquirer{cmd.Name, cmd.Holder}, index)
		if result.Code == OK {
			t.byLock[cmd.Name] = newLeaseTimer(now, lock, reacquisitionOf(now, result))
		}
	case RenewLock:
		// The lease is that of the state, not of the command: a renewal that comes
		// late may ask for less than one that overtook it.
		if result.Code == OK {
			timer.grant = lock.Grant
			timer.expiresAt = now + leaseOf(lock)
			t.byLock[cmd.Name] = timer
		}
	case ReleaseLock:
		if !isHeld {
			delete(t.byLock, cmd.Name)
			// The leader that proposed it has a clock of its own, hence the margin.
			return !wasHeld || !timer.isKnown || now-timer.at > MaxCallDelay/2
		}
	}
	return true
}

// reacquisitionOf tells from the result of a successful acquisition whether the caller
// held the lock already: its fencing token is then older than the grant.
func reacquisitionOf(now time.Duration, result Result) reacquisition {
	if result.Fence == result.Grant {
		return reacquisition{}
	}
	return reacquisition{isPossible: true, isKnown: true, at: now}
}

func (t *LeaseTimers) forgetPending(a acquirer, appliedIndex uint64) {
	if t.pending[a] <= appliedIndex {
		delete(t.pending, a)
	}
}

// Proposed records that the leader has put a command into the log at index.
func (t *LeaseTimers) Proposed(index uint64, cmd *Command) {
	if cmd.Operation == AcquireLock {
		t.pending[acquirer{cmd.Name, cmd.Holder}] = index
	}
}

// Prepare decides what the leader does with a command, and returns the form in which it is
// proposed; cmd itself is not changed. locks is the state that the leader has applied, which
// has to include all entries of earlier terms.
//
// An acquisition names the lock's present grant if its lease has run out, or if the acquirer
// is the holder and a release of its was withheld, and no grant otherwise.
//
// A release is not proposed for a lock that its holder has acquired once more within
// MaxCallDelay: the holder was given its fencing token again, so this release may be one that it
// sent before, gave up, and that was delayed; it would free the lock under its holder. As
// nothing tells the two apart, the lock stays until its lease runs out, or until its holder
// acquires it under a new fencing token, which no release of before has.
func (t *LeaseTimers) Prepare(now time.Duration, cmd *Command, locks map[string]Lock) (*Command, Decision) {
	switch cmd.Operation {
	case AcquireLock:
		return t.nameExpiredGrant(now, cmd, locks), Propose
	case ReleaseLock:
		return cmd, t.decideRelease(now, cmd, locks)
	}
	return cmd, Propose
}

// nameExpiredGrant returns an acquisition that names the grant that has expired, if any.
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
	if _, isPending := t.pending[acquirer{cmd.Name, cmd.Holder}]; isPending {
		return Defer
	}
	lock, isHeld := locks[cmd.Name]
	if !isHeld || lock.Holder != cmd.Holder || lock.Fence != cmd.FencingToken {
		return Propose // it changes nothing
	}
	timer := t.byLock[cmd.Name]
	if !timer.isPossible || now-timer.at > MaxCallDelay {
		return Propose
	}
	timer.isReleaseWithheld = true
	t.byLock[cmd.Name] = timer
	return AnswerOK
}
