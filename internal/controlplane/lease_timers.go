package controlplane

import (
	"time"

	"lichentray/coordination"
)

// leaseTimers measure, by this node's monotonic clock, which coordination locks have
// outlived their lease. The replicated state holds no time: each node starts a
// lock's timer when it applies the grant, and a leader names an expired grant in
// the command that takes the lock over, which every replica then checks alike.
//
// They are part of loopState.
type leaseTimers struct {
	byLock map[string]leaseTimer
}

// leaseTimer is the expiry of one grant of a lock.
type leaseTimer struct {
	grant     uint64
	expiresAt time.Duration
}

func newLeaseTimer(now time.Duration, lock coordination.Lock) leaseTimer {
	lease := time.Duration(lock.HoldMS) * time.Millisecond
	return leaseTimer{grant: lock.Grant, expiresAt: now + lease}
}

// restart gives every lock its full lease from now on, as after a start or
// a snapshot: when the grants were made is not known then.
func (t *leaseTimers) restart(now time.Duration, locks map[string]coordination.Lock) {
	t.byLock = make(map[string]leaseTimer, len(locks))
	for name, lock := range locks {
		t.byLock[name] = newLeaseTimer(now, lock)
	}
}

// update follows an applied command. locks is the state after it.
func (t *leaseTimers) update(now time.Duration, cmd *coordination.Command, result coordination.Result, locks map[string]coordination.Lock) {
	lock, isHeld := locks[cmd.Name]
	switch cmd.Operation {
	case coordination.AcquireLock, coordination.RenewLock:
		// The lease is that of the state, not of the command: a renewal that comes
		// late may ask for less than one that overtook it.
		if result.Code == coordination.OK {
			t.byLock[cmd.Name] = newLeaseTimer(now, lock)
		}
	case coordination.ReleaseLock:
		if !isHeld {
			delete(t.byLock, cmd.Name)
		}
	}
}

// withExpiredGrant returns an AcquireLock command that names the lock's present
// grant if its lease has run out, and no grant otherwise. cmd itself is not changed.
func (t *leaseTimers) withExpiredGrant(now time.Duration, cmd *coordination.Command, locks map[string]coordination.Lock) *coordination.Command {
	out := *cmd
	out.ExpiredToken = 0
	out.ExpiredGrant = 0
	lock, isHeld := locks[cmd.Name]
	if !isHeld {
		return &out
	}
	timer := t.byLock[cmd.Name]
	if timer.grant == lock.Grant && now >= timer.expiresAt {
		out.ExpiredToken = lock.Fence
		out.ExpiredGrant = lock.Grant
	}
	return &out
}
