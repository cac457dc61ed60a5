package controlplane

import (
	"testing"
	"time"

	"lichentray/coordination"
)

func TestLeaseTimers(t *testing.T) {
	const lease = 200 * time.Millisecond
	lock := coordination.Lock{Holder: "a", Fence: 7, Grant: 9, HoldMS: 200}
	acquire := &coordination.Command{Operation: coordination.AcquireLock, Name: "l", Holder: "b"}
	held := map[string]coordination.Lock{"l": lock}
	for _, c := range []struct {
		name    string
		prepare func(timers *leaseTimers)
		locks   map[string]coordination.Lock
		at      time.Duration
		expired bool
	}{
		{"within the lease", nil, held, lease - 1, false},
		{"after the lease", nil, held, lease, true},
		{"a lock that is free", nil, nil, lease, false},
		{"a grant renewed since", func(timers *leaseTimers) {
			renew := &coordination.Command{Operation: coordination.RenewLock, Name: "l"}
			timers.update(lease/2, renew, coordination.Result{Code: coordination.OK}, held)
		}, held, lease, false},
		{"a renewal that failed", func(timers *leaseTimers) {
			renew := &coordination.Command{Operation: coordination.RenewLock, Name: "l"}
			timers.update(lease/2, renew, coordination.Result{Code: coordination.LockLost}, held)
		}, held, lease, true},
		{"a release that failed", func(timers *leaseTimers) {
			release := &coordination.Command{Operation: coordination.ReleaseLock, Name: "l"}
			timers.update(lease/2, release, coordination.Result{Code: coordination.LockLost}, held)
		}, held, lease, true},
		{"a release", func(timers *leaseTimers) {
			release := &coordination.Command{Operation: coordination.ReleaseLock, Name: "l"}
			timers.update(lease/2, release, coordination.Result{Code: coordination.OK}, nil)
		}, held, lease, false},
		{"a grant that the timer is not for", nil, map[string]coordination.Lock{"l": {Fence: 8, Grant: 10, HoldMS: 200}}, lease, false},
		{"all leases restarted", func(timers *leaseTimers) { timers.restart(lease, held) }, held, 2*lease - 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var timers leaseTimers
			timers.restart(0, held)
			if c.prepare != nil {
				c.prepare(&timers)
			}
			got := timers.withExpiredGrant(c.at, acquire, c.locks)
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
