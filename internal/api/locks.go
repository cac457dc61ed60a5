package api

import (
	"time"

	"lichentray/coordination"
	"lichentray/internal/apierror"
	"lichentray/registry"
)

// maxLease is the longest lease that a caller may request.
const maxLease = 7 * 24 * time.Hour

// lockRequest is the body of the calls on locks. Acquiring a lock requires no fencing token, and
// releasing it requires no lease.
type lockRequest struct {
	Holder       string  `json:"holder"`
	FencingToken uint64  `json:"fence"`
	LeaseSeconds float64 `json:"hold_s"`
}

// leaseMS returns the lease in milliseconds. It rounds up, because a lease must not expire before
// its holder expects it to.
func (r *lockRequest) leaseMS() uint64 { return uint64(r.LeaseSeconds*1000 + 0.999) }

// lockResponse is the response to a call that acquires a lock.
type lockResponse struct {
	FencingToken uint64 `json:"fence"`
}

// acquireLock acquires a lock, or renews its lease if the caller already holds it.
func (h *Handler) acquireLock(c call) (any, error) {
	result, err := h.executeLock(coordination.AcquireLock, c)
	if err != nil {
		return nil, err
	}
	return lockResponse{FencingToken: result.Fence}, nil
}

// renewLock extends the lease of a lock.
func (h *Handler) renewLock(c call) (any, error) {
	_, err := h.executeLock(coordination.RenewLock, c)
	return nil, err
}

// releaseLock releases a lock.
func (h *Handler) releaseLock(c call) (any, error) {
	_, err := h.executeLock(coordination.ReleaseLock, c)
	return nil, err
}

// executeLock validates an operation on a lock and proposes it.
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
	// The public protocol uses the same error kind for a lock that another caller holds and for
	// one that the caller has lost.
	if result.Latch.Code != coordination.OK {
		return coordination.Result{}, apierror.New(apierror.LockHeld, "%s", c.name)
	}
	return result.Latch, nil
}
