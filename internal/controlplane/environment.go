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

// environment is what every part of a node needs. After Start only isStopping changes.
// It also owns the node's goroutines.
type environment struct {
	settings *settings.Settings
	timing   Timing
	logger   *slog.Logger
	metrics  *nodeMetrics
	// startedAt is the origin of the node's clock.
	startedAt time.Time
	// incarnation is drawn at each start. It distinguishes the reports of a node before
	// and after a restart.
	incarnation uint64
	// self is this node as a member of the group.
	self raft.Member
	// ctx ends when the node is closed.
	ctx    context.Context
	cancel context.CancelFunc
	// isStopping is set once the process has been asked to end: streams are closed
	// then, so that proxies and relays go on to another node.
	isStopping atomic.Bool

	startMu    sync.Mutex // held to start a goroutine and to end the context
	goroutines sync.WaitGroup
}

// now is the time since the node's start by the monotonic clock.
func (e *environment) now() time.Duration { return time.Since(e.startedAt) }

// sleep waits for a while, or until the node closes.
func (e *environment) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.ctx.Done():
	}
}

// start runs f in a goroutine that close waits for; f must return soon after ctx
// ends. Once the node is closing it starts nothing and returns false.
func (e *environment) start(f func()) bool {
	e.startMu.Lock()
	defer e.startMu.Unlock()
	if e.ctx.Err() != nil {
		return false
	}
	e.goroutines.Go(f)
	return true
}

// close ends the context and waits for every goroutine that start began.
func (e *environment) close() {
	e.startMu.Lock()
	e.cancel()
	e.startMu.Unlock()
	e.goroutines.Wait()
}
