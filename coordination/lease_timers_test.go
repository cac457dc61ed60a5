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
			timers.Update(lease/2, renew, Result{Code: OK}, held)
		}, held, lease, false},
		{"a renewal that failed", func(timers *LeaseTimers) {
			renew := &Command{Operation: RenewLock, Name: "l"}
			timers.Update(lease/2, renew, Result{Code: LockLost}, held)
		}, held, lease, true},
		{"a release that failed", func(timers *LeaseTimers) {
			release := &Command{Operation: ReleaseLock, Name: "l"}
			timers.Update(lease/2, release, Result{Code: LockLost}, held)
		}, held, lease, true},
		{"a release", func(timers *LeaseTimers) {
			release := &Command{Operation: ReleaseLock, Name: "l"}
			timers.Update(lease/2, release, Result{Code: OK}, nil)
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
			got := timers.Prepare(c.at, acquire, c.locks)
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
