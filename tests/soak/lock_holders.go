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
	// holdersPerLock is the number of clients that compete for each lock.
	holdersPerLock = 3
	lockLease      = 4 * time.Second
	lockPollPause  = 80 * time.Millisecond
	// maxReleaseAttempts is the maximum number of calls after which a holder abandons its release if none
	// succeeded.
	maxReleaseAttempts = 3
	// maxReleaseWait limits how long a holder that exits during its release waits for the response.
	maxReleaseWait = 100 * time.Millisecond
)

// lockHolder is a client that repeatedly acquires one lock, always under the same holder name, like an
// application that restarts or retries a failed call. It uses one node over a persistent connection
// until a call there fails.
type lockHolder struct {
	workload *workload
	name     string
	lock     string
	client   *http.Client
	node     node
}

// lockHolders returns the step functions of all lock holders.
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

// lockResponse is the response to an acquisition.
type lockResponse struct {
	FencingToken uint64 `json:"fence"`
}

// step acquires the lock, uses it and in most cases releases it.
func (h *lockHolder) step(ctx context.Context, random *rand.Rand) {
	if h.node.name == "" {
		h.node = randomNode(random, controlNodes())
	}
	fence, ok := h.acquire(ctx, random)
	if !ok {
		pause(ctx, lockPollPause)
		return
	}
	switch random.Intn(8) {
	case 0, 1, 2: // holds it for a fraction of the lease
		pause(ctx, time.Duration(random.Int63n(int64(lockLease/8))))
	case 3, 4: // renews it several times
		for range 1 + random.Intn(4) {
			pause(ctx, lockLease/4)
			if !h.renew(ctx, random, fence) {
				return
			}
		}
	case 5: // crashes without a release, and restarts later
		pause(ctx, time.Duration(random.Int63n(int64(lockLease))))
		return
	case 6: // exits while its release is in flight
		ctx, cancel := context.WithTimeout(ctx, time.Duration(random.Int63n(int64(maxReleaseWait))))
		defer cancel()
		h.release(ctx, random, fence)
		return
	case 7: // sleeps past the lease
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
	before := history.newestToken(h.lock)
	sentAt := time.Now()
	status, body := h.call(ctx, random, "locks.begin", map[string]any{"holder": h.name, "hold_s": lockLease.Seconds()})
	var answer lockResponse
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return 0, false
	}
	history.recordAcquired(time.Now(), h.lock, h.name, answer.FencingToken, before, sentAt.Add(lockLease))
	return answer.FencingToken, true
}

// renew extends the lease and reports whether the client still holds the lock.
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

// release releases the lock, and gives up after a random number of attempts.
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

// call sends a call to the holder's current node and switches to a random node if it fails.
func (h *lockHolder) call(ctx context.Context, random *rand.Rand, call string, body any) (status int, answer []byte) {
	status, answer = h.workload.callWith(ctx, h.client, h.node, call+"&of="+h.lock, body)
	if status != http.StatusOK && status != http.StatusConflict {
		h.node = randomNode(random, controlNodes())
	}
	return status, answer
}
