package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"time"
)

const (
	lockCount = 6
	// holdersPerLock callers want each lock.
	holdersPerLock = 3
	lockLease      = 4 * time.Second
	lockPollPause  = 80 * time.Millisecond
	// maxReleaseAttempts is after how many calls without a clear answer a holder gives up its
	// release, at the most.
	maxReleaseAttempts = 3
	// maxImpatience is how long a holder that does not wait for the answer to its release stays.
	maxImpatience = 100 * time.Millisecond
)

// lockHolder is a caller that takes one lock again and again, always under the same name, as an
// application does that comes back after an end or a failed call. It stays at one node, on an open
// connection, until a call fails there.
type lockHolder struct {
	workload *workload
	name     string
	lock     string
	client   *http.Client
	node     node
}

// lockHolders returns the steps of the holders.
func (w *workload) lockHolders() (steps []func(context.Context, *rand.Rand)) {
	for lock := range lockCount {
		for i := range holdersPerLock {
			h := &lockHolder{
				workload: w,
				name:     fmt.Sprintf("holder-%d-%d", lock, i),
				lock:     fmt.Sprint("soak-", lock),
				client:   &http.Client{Timeout: callTimeout, Transport: &http.Transport{}},
			}
			steps = append(steps, h.step)
		}
	}
	return steps
}

// lockAnswer is the answer to an acquisition.
type lockAnswer struct {
	FencingToken uint64 `json:"fence"`
}

// step acquires the lock, uses it and mostly gives it back.
func (h *lockHolder) step(ctx context.Context, random *rand.Rand) {
	if h.node.name == "" {
		h.node = pick(random, controlNodes())
	}
	fence, ok := h.acquire(ctx, random)
	if !ok {
		pause(ctx, lockPollPause)
		return
	}
	switch random.Intn(8) {
	case 0, 1, 2: // a moment
		pause(ctx, time.Duration(random.Int63n(int64(lockLease/8))))
	case 3, 4: // some leases
		for range 1 + random.Intn(4) {
			pause(ctx, lockLease/4)
			if !h.renew(ctx, random, fence) {
				return
			}
		}
	case 5: // it dies, and comes back some time later
		pause(ctx, time.Duration(random.Int63n(int64(lockLease))))
		return
	case 6: // it ends while its release is on its way
		ctx, cancel := context.WithTimeout(ctx, time.Duration(random.Int63n(int64(maxImpatience))))
		defer cancel()
		h.release(ctx, random, fence)
		return
	case 7: // it sleeps past its time
		pause(ctx, lockLease+lockLease/8)
		if !h.renew(ctx, random, fence) {
			return
		}
	}
	h.release(ctx, random, fence)
}

// acquire makes one attempt to acquire the lock.
func (h *lockHolder) acquire(ctx context.Context, random *rand.Rand) (fence uint64, ok bool) {
	history := h.workload.checks.locks
	before := history.newestFence(h.lock)
	sentAt := time.Now()
	status, body := h.call(ctx, random, "locks.begin", map[string]any{"holder": h.name, "hold_s": lockLease.Seconds()})
	var answer lockAnswer
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return 0, false
	}
	history.recordAcquired(time.Now(), h.lock, h.name, answer.FencingToken, before, sentAt.Add(lockLease))
	return answer.FencingToken, true
}

// renew prolongs the lease, and reports whether the holder may go on.
func (h *lockHolder) renew(ctx context.Context, random *rand.Rand, fence uint64) bool {
	for ctx.Err() == nil {
		sentAt := time.Now()
		status, _ := h.call(ctx, random, "locks.heartbeat", map[string]any{"holder": h.name, "fence": fence, "hold_s": lockLease.Seconds()})
		switch status {
		case http.StatusOK:
			h.workload.checks.locks.recordRenewed(time.Now(), h.lock, h.name, fence, sentAt.Add(lockLease))
			return true
		case http.StatusConflict:
			return false
		}
		pause(ctx, workerPause)
	}
	return false
}

// release gives the lock back, and gives that up after some attempts.
func (h *lockHolder) release(ctx context.Context, random *rand.Rand, fence uint64) {
	h.workload.checks.locks.recordReleased(h.lock, h.name)
	for range 1 + random.Intn(maxReleaseAttempts) {
		status, _ := h.call(ctx, random, "locks.finish", map[string]any{"holder": h.name, "fence": fence})
		if status == http.StatusOK || ctx.Err() != nil {
			return
		}
		pause(ctx, workerPause)
	}
}

// call makes a call at the holder's node, and turns to another one if it fails.
func (h *lockHolder) call(ctx context.Context, random *rand.Rand, call string, body any) (status int, answer []byte) {
	status, answer = h.workload.callWith(ctx, h.client, h.node, call+"&of="+h.lock, body)
	if status != http.StatusOK && status != http.StatusConflict {
		h.node = pick(random, controlNodes())
	}
	return status, answer
}
