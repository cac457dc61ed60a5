package coordination

import (
	"testing"
	"time"
)

func TestLeaseTimers(t *testing.T) {
	const lease = 200 * time.Millisecond
	lock := Lock{Holder: "a", Fence: 7, Grant: 9, HoldMS: 200}
	acquire := &Command{Operation: AcquireLock, Name: "l", Holder: "b"}
	held := map[string]Lock{"l": lock}
	for _, c := range []struct {
		name    string
		prepare func(timers *LeaseTimers)
		locks   map[string]Lock
		at      time.Duration
		expired bool
	}{
		{"within the lease", nil, held, lease - 1, false},
		{"after the lease", nil, held, lease, true},
		{"a lock that is free", nil, nil, lease, false},
		{"a grant renewed since", func(timers *LeaseTimers) {
			renew := &Command{Operation: RenewLock, Name: "l"}
			timers.Update(lease/2, 1, renew, Result{Code: OK}, held)
		}, held, lease, false},
		{"a renewal that failed", func(timers *LeaseTimers) {
			renew := &Command{Operation: RenewLock, Name: "l"}
			timers.Update(lease/2, 1, renew, Result{Code: LockLost}, held)
		}, held, lease, true},
		{"a release that failed", func(timers *LeaseTimers) {
			release := &Command{Operation: ReleaseLock, Name: "l"}
			timers.Update(lease/2, 1, release, Result{Code: LockLost}, held)
		}, held, lease, true},
		{"a release", func(timers *LeaseTimers) {
			release := &Command{Operation: ReleaseLock, Name: "l"}
			timers.Update(lease/2, 1, release, Result{Code: OK}, nil)
		}, held, lease, false},
		{"a grant that the timer is not for", nil, map[string]Lock{"l": {Fence: 8, Grant: 10, HoldMS: 200}}, lease, false},
		{"all leases restarted", func(timers *LeaseTimers) { timers.Restart(lease, held) }, held, 2*lease - 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var timers LeaseTimers
			timers.Restart(0, held)
			if c.prepare != nil {
				c.prepare(&timers)
			}
			got, _ := timers.Prepare(c.at, acquire, c.locks)
			want := *acquire
			if c.expired {
				want.ExpiredToken = lock.Fence
				want.ExpiredGrant = lock.Grant
			}
			if *got != want {
				t.Errorf("proposed %+v, want %+v", *got, want)
			}
			if acquire.ExpiredGrant != 0 {
				t.Errorf("the caller's command was changed: %+v", *acquire)
			}
		})
	}
}

// TestReleaseAfterReacquisition has a holder acquire its lock once more, and asks what a
// release becomes that may have been sent before that.
func TestReleaseAfterReacquisition(t *testing.T) {
	const first, second = 7, 9 // revisions of the first and the second acquisition
	release := &Command{Operation: ReleaseLock, Name: "l", Holder: "a", FencingToken: first}
	acquire := &Command{Operation: AcquireLock, Name: "l", Holder: "a"}
	again := Lock{Holder: "a", Fence: first, Grant: second, HoldMS: 4000}
	held := map[string]Lock{"l": again}
	reacquire := func(timers *LeaseTimers, now time.Duration) {
		timers.Update(now, 2, acquire, Result{Fence: first, Grant: second}, held)
	}
	for _, c := range []struct {
		name    string
		prepare func(timers *LeaseTimers)
		release *Command
		at      time.Duration
		want    Decision
	}{
		{"acquired once", nil, release, time.Second, Propose},
		{"acquired again", func(timers *LeaseTimers) { reacquire(timers, 0) }, release, time.Second, AnswerOK},
		{"acquired again, renewed since", func(timers *LeaseTimers) {
			reacquire(timers, 0)
			renew := &Command{Operation: RenewLock, Name: "l", Holder: "a", FencingToken: first}
			timers.Update(time.Second, 3, renew, Result{Fence: first, Grant: 10}, held)
		}, release, time.Second, AnswerOK},
		{"acquired again long ago", func(timers *LeaseTimers) { reacquire(timers, 0) }, release, MaxCallDelay + 1, Propose},
		{"acquired again, under another token", func(timers *LeaseTimers) { reacquire(timers, 0) },
			&Command{Operation: ReleaseLock, Name: "l", Holder: "a", FencingToken: 3}, time.Second, Propose},
		{"acquired again, by another caller", func(timers *LeaseTimers) { reacquire(timers, 0) },
			&Command{Operation: ReleaseLock, Name: "l", Holder: "b", FencingToken: first}, time.Second, Propose},
		{"taken over by another caller", func(timers *LeaseTimers) {
			reacquire(timers, 0)
			timers.Update(0, 3, acquire, Result{Fence: 10, Grant: 10}, held)
		}, release, time.Second, Propose},
		{"history unknown after a restart", func(timers *LeaseTimers) { timers.Restart(0, held) }, release, time.Second, AnswerOK},
		{"an acquisition is in the log", func(timers *LeaseTimers) { timers.Proposed(5, acquire) }, release, time.Second, Defer},
		{"an acquisition was in the log of an earlier term", func(timers *LeaseTimers) {
			timers.Proposed(5, acquire)
			timers.StartTerm(2)
		}, release, time.Second, Propose},
		{"an acquisition was in the log", func(timers *LeaseTimers) {
			timers.Proposed(5, acquire)
			timers.Update(0, 5, acquire, Result{Code: LockHeld}, held)
		}, release, time.Second, Propose},
		{"an older acquisition was in the log", func(timers *LeaseTimers) {
			timers.Proposed(5, acquire)
			timers.Update(0, 4, acquire, Result{Code: LockHeld}, held)
		}, release, time.Second, Defer},
	} {
		t.Run(c.name, func(t *testing.T) {
			var timers LeaseTimers
			timers.Restart(0, nil)
			timers.Update(0, 1, acquire, Result{Fence: first, Grant: first}, map[string]Lock{"l": {Holder: "a", Fence: first, Grant: first, HoldMS: 4000}})
			if c.prepare != nil {
				c.prepare(&timers)
			}
			if prepared, got := timers.Prepare(c.at, c.release, held); got != c.want || *prepared != *c.release {
				t.Errorf("decided %d for %+v, want %d", got, *prepared, c.want)
			}
		})
	}
}

// TestAcquisitionAfterWithheldRelease checks that a holder whose release was withheld gets the
// lock under a new fencing token, and nobody else gets it.
func TestAcquisitionAfterWithheldRelease(t *testing.T) {
	table := NewTable()
	var timers LeaseTimers
	timers.Restart(0, nil)
	index := uint64(0)
	do := func(c Command) (Result, Decision) {
		c.Name, c.LeaseMS = "l", 4000
		prepared, decision := timers.Prepare(time.Second, &c, table.Locks)
		if decision != Propose {
			return Result{}, decision
		}
		index++
		result := table.Apply(index, *prepared)
		if !timers.Update(time.Second, index, prepared, result, table.Locks) {
			t.Errorf("%+v is unsound", *prepared)
		}
		return result, decision
	}
	acquire := func(holder string) Result {
		r, _ := do(Command{Operation: AcquireLock, Holder: holder})
		return r
	}
	first := acquire("a")
	if r := acquire("a"); r.Fence != first.Fence {
		t.Errorf("the holder got %d and %d", first.Fence, r.Fence)
	}
	if _, decision := do(Command{Operation: ReleaseLock, Holder: "a", FencingToken: first.Fence}); decision != AnswerOK {
		t.Errorf("the release was decided %d", decision)
	}
	if r := acquire("b"); r.Code != LockHeld {
		t.Errorf("another caller got %+v", r)
	}
	fresh := acquire("a")
	if fresh.Fence <= first.Fence {
		t.Errorf("the holder got %d after %d", fresh.Fence, first.Fence)
	}
	do(Command{Operation: ReleaseLock, Holder: "a", FencingToken: first.Fence}) // the delayed one
	if r := acquire("b"); r.Code != LockHeld {
		t.Errorf("another caller got %+v after a delayed release", r)
	}
	do(Command{Operation: ReleaseLock, Holder: "a", FencingToken: fresh.Fence})
	if r := acquire("b"); r.Code != OK {
		t.Errorf("another caller got %+v after a release", r)
	}
}

// TestUnsoundReleaseIsReported applies a release that a leader should have withheld.
func TestUnsoundReleaseIsReported(t *testing.T) {
	acquire := &Command{Operation: AcquireLock, Name: "l", Holder: "a"}
	release := &Command{Operation: ReleaseLock, Name: "l", Holder: "a", FencingToken: 7}
	for _, c := range []struct {
		name    string
		result  Result // of the last acquisition
		at      time.Duration
		isSound bool
	}{
		{"acquired once", Result{Fence: 7, Grant: 7}, time.Second, true},
		{"acquired again", Result{Fence: 7, Grant: 9}, time.Second, false},
		{"acquired again long ago", Result{Fence: 7, Grant: 9}, MaxCallDelay, true},
	} {
		var timers LeaseTimers
		timers.Restart(0, nil)
		timers.Update(0, 1, acquire, c.result, map[string]Lock{"l": {Holder: "a", Fence: 7, Grant: c.result.Grant}})
		if got := timers.Update(c.at, 2, release, Result{}, nil); got != c.isSound {
			t.Errorf("%s: sound %v", c.name, got)
		}
	}
}
