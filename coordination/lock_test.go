package coordination_test

import (
	"testing"

	"lichentray/coordination"
)

// TestDelayedRenewalKeepsLongerLease applies a renewal after a longer one that overtook
// it. Neither it nor a repeated acquisition may shorten the lease; the next holding starts
// with its own.
func TestDelayedRenewalKeepsLongerLease(t *testing.T) {
	table := coordination.NewTable()
	at := uint64(0)
	apply := func(op coordination.Operation, token, leaseMS, want uint64) uint64 {
		t.Helper()
		at++
		r := table.Apply(at, coordination.Command{Operation: op, Name: "l", Holder: "h", FencingToken: token, LeaseMS: leaseMS})
		if l := table.Locks["l"]; r.Code != coordination.OK || l.HoldMS != want {
			t.Errorf("%+v has a lease of %d ms, want %d", r, l.HoldMS, want)
		}
		return r.Fence
	}
	token := apply(coordination.AcquireLock, 0, 1000, 1000)
	apply(coordination.RenewLock, token, 5000, 5000)
	apply(coordination.RenewLock, token, 200, 5000) // sent before the one of 5 s
	apply(coordination.AcquireLock, 0, 200, 5000)
	apply(coordination.ReleaseLock, token, 0, 0)
	apply(coordination.AcquireLock, 0, 200, 200)
}
