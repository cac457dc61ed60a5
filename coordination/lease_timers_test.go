package coordination

import (
	"testing"
	"time"
)

// TestLeaseTimers checks that an acquisition by another client names a grant as expired only
// if it is the lock's newest grant and its lease has expired. Otherwise the acquisition would
// take a lock away from a holder with a valid lease.
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
		{"lock is free", nil, nil, lease, false},
		{"renewed within the lease", func(timers *LeaseTimers) {
			renew := &Command{Operation: RenewLock, Name: "l"}
			timers.Update(lease/2, 1, renew, Result{Code: OK}, held)
		}, held, lease, false},
		{"failed renewal", func(timers *LeaseTimers) {
			renew := &Command{Operation: RenewLock, Name: "l"}
			timers.Update(lease/2, 1, renew, Result{Code: LockLost}, held)
		}, held, lease, true},
		{"failed release", func(timers *LeaseTimers) {
			release := &Command{Operation: ReleaseLock, Name: "l"}
			timers.Update(lease/2, 1, release, Result{Code: LockLost}, held)
		}, held, lease, true},
		{"released", func(timers *LeaseTimers) {
			release := &Command{Operation: ReleaseLock, Name: "l"}
			timers.Update(lease/2, 1, release, Result{Code: OK}, nil)
		}, held, lease, false},
		{"timer of another grant", nil, map[string]Lock{"l": {Fence: 8, Grant: 10, HoldMS: 200}}, lease, false},
		{"timers restarted", func(timers *LeaseTimers) { timers.Restart(lease, held) }, held, 2*lease - 1, false},
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
				t.Errorf("Prepare() = %+v, want %+v", *got, want)
			}
			if acquire.ExpiredGrant != 0 {
				t.Errorf("Prepare modified its argument: %+v", *acquire)
			}
		})
	}
}

// TestReleaseAfterReacquisition guards against a delayed release that frees a lock after its
// holder has acquired it again under the same fencing token: the release may have been sent
// before the second acquisition.
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
		{"acquired again, then renewed", func(timers *LeaseTimers) {
			reacquire(timers, 0)
			renew := &Command{Operation: RenewLock, Name: "l", Holder: "a", FencingToken: first}
			timers.Update(time.Second, 3, renew, Result{Fence: first, Grant: 10}, held)
		}, release, time.Second, AnswerOK},
		{"acquired again long ago", func(timers *LeaseTimers) { reacquire(timers, 0) }, release, MaxCallDelay + 1, Propose},
		{"acquired again, release with another token", func(timers *LeaseTimers) { reacquire(timers, 0) },
			&Command{Operation: ReleaseLock, Name: "l", Holder: "a", FencingToken: 3}, time.Second, Propose},
		{"acquired again, release by another client", func(timers *LeaseTimers) { reacquire(timers, 0) },
			&Command{Operation: ReleaseLock, Name: "l", Holder: "b", FencingToken: first}, time.Second, Propose},
		{"acquired under a new token", func(timers *LeaseTimers) {
			reacquire(timers, 0)
			timers.Update(0, 3, acquire, Result{Fence: 10, Grant: 10}, held)
		}, release, time.Second, Propose},
		{"history unknown after a restart", func(timers *LeaseTimers) { timers.Restart(0, held) }, release, time.Second, AnswerOK},
		{"acquisition pending", func(timers *LeaseTimers) { timers.Proposed(5, acquire) }, release, time.Second, Defer},
		{"acquisition pending from an earlier term", func(timers *LeaseTimers) {
			timers.Proposed(5, acquire)
			timers.StartTerm(2)
		}, release, time.Second, Propose},
		{"pending acquisition applied", func(timers *LeaseTimers) {
			timers.Proposed(5, acquire)
			timers.Update(0, 5, acquire, Result{Code: LockHeld}, held)
		}, release, time.Second, Propose},
		{"acquisition older than the pending one applied", func(timers *LeaseTimers) {
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
				t.Errorf("Prepare() = decision %d for %+v, want %d", got, *prepared, c.want)
			}
		})
	}
}

// TestAcquisitionAfterWithheldRelease checks that a holder whose release was withheld can
// acquire the lock again, under a new fencing token, while other clients cannot acquire it.
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
			t.Errorf("Update reported %+v as unsafe", *prepared)
		}
		return result, decision
	}
	acquire := func(holder string) Result {
		r, _ := do(Command{Operation: AcquireLock, Holder: holder})
		return r
	}
	first := acquire("a")
	if r := acquire("a"); r.Fence != first.Fence {
		t.Errorf("fencing tokens of the first and the second acquisition = %d, %d, want them equal", first.Fence, r.Fence)
	}
	if _, decision := do(Command{Operation: ReleaseLock, Holder: "a", FencingToken: first.Fence}); decision != AnswerOK {
		t.Errorf("decision on the release = %d, want AnswerOK", decision)
	}
	if r := acquire("b"); r.Code != LockHeld {
		t.Errorf("acquisition by another client = %+v, want LockHeld", r)
	}
	fresh := acquire("a")
	if fresh.Fence <= first.Fence {
		t.Errorf("fencing token after a withheld release = %d, want more than %d", fresh.Fence, first.Fence)
	}
	do(Command{Operation: ReleaseLock, Holder: "a", FencingToken: first.Fence}) // delayed release with the old token
	if r := acquire("b"); r.Code != LockHeld {
		t.Errorf("acquisition by another client after a delayed release = %+v, want LockHeld", r)
	}
	do(Command{Operation: ReleaseLock, Holder: "a", FencingToken: fresh.Fence})
	if r := acquire("b"); r.Code != OK {
		t.Errorf("acquisition by another client after a release = %+v, want OK", r)
	}
}

// TestUnsafeReleaseIsReported checks that a replica that applies a release detects that the
// leader should have withheld it. The replica allows for a difference between the clocks: it
// does not report a release that comes MaxCallDelay after the reacquisition.
func TestUnsafeReleaseIsReported(t *testing.T) {
	acquire := &Command{Operation: AcquireLock, Name: "l", Holder: "a"}
	release := &Command{Operation: ReleaseLock, Name: "l", Holder: "a", FencingToken: 7}
	for _, c := range []struct {
		name   string
		result Result // of the last acquisition
		at     time.Duration
		isSafe bool
	}{
		{"acquired once", Result{Fence: 7, Grant: 7}, time.Second, true},
		{"acquired again", Result{Fence: 7, Grant: 9}, time.Second, false},
		{"acquired again long ago", Result{Fence: 7, Grant: 9}, MaxCallDelay, true},
	} {
		var timers LeaseTimers
		timers.Restart(0, nil)
		timers.Update(0, 1, acquire, c.result, map[string]Lock{"l": {Holder: "a", Fence: 7, Grant: c.result.Grant}})
		if got := timers.Update(c.at, 2, release, Result{}, nil); got != c.isSafe {
			t.Errorf("%s: Update() = %v, want the opposite", c.name, got)
		}
	}
}
