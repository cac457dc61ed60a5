package coordination

import "time"

// LeaseTimers measure, by one replica's monotonic clock, which locks have outlived their
// lease. A Table holds no time: each replica starts a lock's timer when it applies the
// grant, which is after the holder has sent the call, and the leader names an expired
// grant in the command that takes the lock over, which every replica then checks alike.
//
// All instants are readings of the replica's clock. LeaseTimers are not safe for
// concurrent use. The zero value has no timers; Restart makes them.
type LeaseTimers struct {
	byLock map[string]leaseTimer
}

// leaseTimer is the expiry of one grant of a lock.
type leaseTimer struct {
	grant     uint64
	expiresAt time.Duration
}

func newLeaseTimer(now time.Duration, lock Lock) leaseTimer {
	lease := time.Duration(lock.HoldMS) * time.Millisecond
	return leaseTimer{grant: lock.Grant, expiresAt: now + lease}
}

// Restart gives every lock of a table its full lease from now on, as after a start or
// a snapshot: when the grants were made is not known then.
func (t *LeaseTimers) Restart(now time.Duration, locks map[string]Lock) {
	t.byLock = make(map[string]leaseTimer, len(locks))
	for name, lock := range locks {
		t.byLock[name] = newLeaseTimer(now, lock)
	}
}

// Update follows a command that was applied. locks is the state after it.
func (t *LeaseTimers) Update(now time.Duration, cmd *Command, result Result, locks map[string]Lock) {
	lock, isHeld := locks[cmd.Name]
	switch cmd.Operation {
	case AcquireLock, RenewLock:
		// The lease is that of the state, not of the command: a renewal that comes
		// late may ask for less than one that overtook it.
		if result.Code == OK {
			t.byLock[cmd.Name] = newLeaseTimer(now, lock)
		}
	case ReleaseLock:
		if !isHeld {
			delete(t.byLock, cmd.Name)
		}
	}
}

// Prepare returns the form in which a leader proposes a command. An acquisition names
// the lock's present grant if its lease has run out, and no grant otherwise. cmd itself
// is not changed. locks is the state that the leader has applied.
func (t *LeaseTimers) Prepare(now time.Duration, cmd *Command, locks map[string]Lock) *Command {
	if cmd.Operation != AcquireLock {
		return cmd
	}
	prepared := *cmd
	prepared.ExpiredToken = 0
	prepared.ExpiredGrant = 0
	lock, isHeld := locks[cmd.Name]
	timer := t.byLock[cmd.Name]
	if isHeld && timer.grant == lock.Grant && now >= timer.expiresAt {
		prepared.ExpiredToken = lock.Fence
		prepared.ExpiredGrant = lock.Grant
	}
	return &prepared
}
