package controlplane

import (
	"sync"
	"time"

	"lichentray/internal/apierror"
	"lichentray/registry"
	"lichentray/watchcache"
)

// replicatedState is the replicated state machine and the state that this node derives from it.
// Only the event loop changes it, one entry at a time.
type replicatedState struct {
	env *environment

	store      *registry.Store
	watchCache *watchcache.Cache
	// appliedIndex is the log index of the last entry applied to store.
	appliedIndex uint64
	decodedObjects
	compiled compiledConfig
}

// sharedState guards the replicated state. Other goroutines access it through view and update,
// the event loop also through onLoop. The lock is held briefly, and never while waiting for the
// disk, a peer or the loop.
type sharedState struct {
	mu         sync.RWMutex
	replicated replicatedState
	// applyWaiters holds the log index that each waiting goroutine needs applied.
	applyWaiters map[chan struct{}]uint64

	// changed wakes the streams to proxies. It has its own lock.
	changed wakeups
}

const (
	// watchCacheEvents is the maximum number of events in the watch cache.
	watchCacheEvents = 20000
	// watchCacheMemoryDivisor is the divisor of the node's memory limit that gives the maximum
	// size of the event values in the watch cache.
	watchCacheMemoryDivisor = 12
)

func newSharedState(env *environment) *sharedState {
	cacheBytes := int(env.settings.Limits.MemoryMB*(1<<20)) / watchCacheMemoryDivisor
	return &sharedState{
		replicated: replicatedState{
			env:            env,
			store:          registry.NewStore(),
			watchCache:     watchcache.NewCache(env.timing.WatchWindow, watchCacheEvents, cacheBytes),
			decodedObjects: newDecodedObjects(),
		},
		applyWaiters: map[chan struct{}]uint64{},
	}
}

// view calls f with the state locked for reading. f must not change the state or retain a
// reference to it.
func (s *sharedState) view(f func(*replicatedState)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(&s.replicated)
}

// update calls f with the state locked for writing. f may change only values that are computed
// on demand, see compiledConfig.
func (s *sharedState) update(f func(*replicatedState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.replicated)
}

// onLoop returns the state for reading without the lock. This is safe only on the event loop,
// since no other goroutine changes what it reads.
func (s *sharedState) onLoop(*loopState) *replicatedState { return &s.replicated }

// revision returns the registry's newest revision.
func (s *sharedState) revision() (revision uint64) {
	s.view(func(r *replicatedState) { revision = r.store.Revision() })
	return revision
}

// eventsSince returns at most limit events of the watch cache with a revision above after. The
// error is watchcache.ErrGone if the cache no longer holds all of them.
func (s *sharedState) eventsSince(after uint64, limit int) (events []registry.Event, err error) {
	s.view(func(r *replicatedState) { events, err = r.watchCache.EventsSince(after, limit) })
	return events, err
}

// applyCommand applies a committed command.
func (s *sharedState) applyCommand(now time.Duration, cmd registry.Command) (result registry.Result, events []registry.Event) {
	s.mu.Lock()
	r := &s.replicated
	result, events = r.store.Apply(cmd)
	r.watchCache.Append(now, r.store.Revision(), events)
	for _, e := range events {
		r.applyEvent(e)
	}
	s.mu.Unlock()
	if len(events) > 0 {
		s.changed.wakeAll()
	}
	return result, events
}

// setAppliedIndex records that the log is applied up to an index and wakes the goroutines that
// wait for it.
func (s *sharedState) setAppliedIndex(index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicated.appliedIndex = index
	for waiter, awaited := range s.applyWaiters {
		if index >= awaited {
			delete(s.applyWaiters, waiter)
			wakeUp(waiter)
		}
	}
}

// replaceStore replaces the store with one restored from a snapshot.
func (s *sharedState) replaceStore(store *registry.Store, index uint64) {
	s.mu.Lock()
	r := &s.replicated
	r.store = store
	r.watchCache.Reset(store.Revision())
	r.rebuild()
	r.appliedIndex = index
	s.mu.Unlock()
	s.changed.wakeAll()
}

// waitApplied waits until the log is applied up to an index. After the timeout it returns an
// error of kind Unavailable.
func (s *sharedState) waitApplied(index uint64, timeout time.Duration) error {
	applied := make(chan struct{}, 1)
	s.mu.Lock()
	if s.replicated.appliedIndex >= index {
		s.mu.Unlock()
		return nil
	}
	s.applyWaiters[applied] = index
	s.mu.Unlock()
	defer s.cancelWait(applied)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-applied:
		return nil
	case <-timer.C:
		return apierror.New(apierror.Unavailable, "this node lags behind")
	case <-s.replicated.env.ctx.Done():
		return errStopping
	}
}

func (s *sharedState) cancelWait(waiter chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.applyWaiters, waiter)
}
