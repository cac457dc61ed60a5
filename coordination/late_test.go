package coordination_test

import (
	"testing"

	"lichentray/coordination"
)

// TestLateRenewal: a renewal that was overtaken by a longer one does not shorten the
// holder's time, nor does a begin; the next holding begins with its own.
func TestDelayedRenewalKeepsLongerLease(t *testing.T) {
	tab := coordination.NewTable()
	at := uint64(0)
	do := func(op coordination.Operation, fence, ms, want uint64) uint64 {
		t.Helper()
		at++
		r := tab.Apply(at, coordination.Command{Operation: op, Name: "l", Holder: "h", FencingToken: fence, LeaseMS: ms})
		if l := tab.Locks["l"]; r.Code != coordination.OK || l.HoldMS != want {
			t.Errorf("%+v holds for %d ms, want %d", r, l.HoldMS, want)
		}
		return r.Fence
	}
	f := do(coordination.AcquireLock, 0, 1000, 1000)
	do(coordination.RenewLock, f, 5000, 5000)
	do(coordination.RenewLock, f, 200, 5000) // went out before the one of 5 s
	do(coordination.AcquireLock, 0, 200, 5000)
	do(coordination.ReleaseLock, f, 0, 0)
	do(coordination.AcquireLock, 0, 200, 200)
}
