package controlplane

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"lichentray/internal/settings"
	"lichentray/raft"
)

// environment is what all components of a node share. After Start only isStopping changes. It
// also manages the node's goroutines.
type environment struct {
	settings *settings.Settings
	timing   Timing
	logger   *slog.Logger
	metrics  *nodeMetrics
	// startedAt is the origin of the node's clock.
	startedAt time.Time
	// incarnation is a random number generated at each start. It distinguishes the reports of a
	// node before and after a restart.
	incarnation uint64
	// self is this node as a member of the group.
	self raft.Member
	// ctx is canceled when the node is closed.
	ctx    context.Context
	cancel context.CancelFunc
	// isStopping is set once the process has been asked to stop. Streams are then closed, so
	// that proxies and relays connect to another node.
	isStopping atomic.Bool

	startMu    sync.Mutex // held to start a goroutine and to cancel the context
	goroutines sync.WaitGroup
}

// now returns the time since the node's start on the monotonic clock.
func (e *environment) now() time.Duration { return time.Since(e.startedAt) }

// sleep waits for d or until the node closes.
func (e *environment) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.ctx.Done():
	}
}

// start runs f in a goroutine that close waits for; f must return soon after ctx is canceled.
// Once the node is closing, start does nothing and returns false.
func (e *environment) start(f func()) bool {
	e.startMu.Lock()
	defer e.startMu.Unlock()
	if e.ctx.Err() != nil {
		return false
	}
	e.goroutines.Go(f)
	return true
}

// close cancels the context and waits for every goroutine that start has started.
func (e *environment) close() {
	e.startMu.Lock()
	e.cancel()
	e.startMu.Unlock()
	e.goroutines.Wait()
}
