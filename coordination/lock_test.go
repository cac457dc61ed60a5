package coordination_test

import (
	"testing"

	"lichentray/coordination"
)

// TestDelayedRenewalKeepsLongerLease guards against a lease that is shortened by a delayed
// renewal, applied after a later and longer one, or by a retried acquisition. After a release,
// the next acquisition starts with its own lease duration.
func TestDelayedRenewalKeepsLongerLease(t *testing.T) {
	table := coordination.NewTable()
	at := uint64(0)
	apply := func(op coordination.Operation, token, leaseMS, want uint64) uint64 {
		t.Helper()
		at++
		r := table.Apply(at, coordination.Command{Operation: op, Name: "l", Holder: "h", FencingToken: token, LeaseMS: leaseMS})
		if l := table.Locks["l"]; r.Code != coordination.OK || l.HoldMS != want {
			t.Errorf("after result %+v: lease = %d ms, want %d", r, l.HoldMS, want)
		}
		return r.Fence
	}
	token := apply(coordination.AcquireLock, 0, 1000, 1000)
	apply(coordination.RenewLock, token, 5000, 5000)
	apply(coordination.RenewLock, token, 200, 5000) // delayed: sent before the renewal with 5 s
	apply(coordination.AcquireLock, 0, 200, 5000)
	apply(coordination.ReleaseLock, token, 0, 0)
	apply(coordination.AcquireLock, 0, 200, 200)
}
