package api

import (
	"time"

	"lichentray/coordination"
	"lichentray/internal/apierror"
	"lichentray/registry"
)

// maxLease is the longest lease that a lock may be given.
const maxLease = 7 * 24 * time.Hour

// lockRequest is the body of the calls on locks. A call that acquires a lock needs no fencing
// token, and one that releases it no lease.
type lockRequest struct {
	Holder       string  `json:"holder"`
	FencingToken uint64  `json:"fence"`
	LeaseSeconds float64 `json:"hold_s"`
}

// leaseMS returns the lease in milliseconds, rounded up: a lease must not end before its holder
// expects it to.
func (r *lockRequest) leaseMS() uint64 { return uint64(r.LeaseSeconds*1000 + 0.999) }

// lockAnswer is the answer to a call that acquires a lock.
type lockAnswer struct {
	FencingToken uint64 `json:"fence"`
}

// acquireLock acquires a lock, or renews its lease if the caller is its holder already.
func (h *Handler) acquireLock(c call) (any, error) {
	result, err := h.executeLock(coordination.AcquireLock, c)
	if err != nil {
		return nil, err
	}
	return lockAnswer{FencingToken: result.Fence}, nil
}

// renewLock prolongs the lease of a lock.
func (h *Handler) renewLock(c call) (any, error) {
	_, err := h.executeLock(coordination.RenewLock, c)
	return nil, err
}

// releaseLock ends the lease of a lock.
func (h *Handler) releaseLock(c call) (any, error) {
	_, err := h.executeLock(coordination.ReleaseLock, c)
	return nil, err
}

// executeLock proposes an operation on a lock.
func (h *Handler) executeLock(operation coordination.Operation, c call) (coordination.Result, error) {
	if err := requireName(c.name); err != nil {
		return coordination.Result{}, err
	}
	var r lockRequest
	if err := decodeBody(c.body, &r); err != nil {
		return coordination.Result{}, err
	}
	if r.Holder == "" || len(r.Holder) > maxNameBytes {
		return coordination.Result{}, apierror.New(apierror.BadRequest, "holder: missing or over %d bytes", maxNameBytes)
	}
	needsLease := operation != coordination.ReleaseLock
	if needsLease && (r.LeaseSeconds <= 0 || r.LeaseSeconds > maxLease.Seconds()) {
		return coordination.Result{}, apierror.New(apierror.BadRequest, "hold_s: missing, not above 0 or above %g", maxLease.Seconds())
	}
	result, err := h.node.Propose(registry.Command{Coordination: &coordination.Command{
		Operation:    operation,
		Name:         c.name,
		Holder:       r.Holder,
		FencingToken: r.FencingToken,
		LeaseMS:      r.leaseMS(),
	}})
	if err != nil {
		return coordination.Result{}, err
	}
	// The public protocol has one kind for a lock that another holder has and for one that the
	// caller has lost.
	if result.Latch.Code != coordination.OK {
		return coordination.Result{}, apierror.New(apierror.LockHeld, "%s", c.name)
	}
	return result.Latch, nil
}
