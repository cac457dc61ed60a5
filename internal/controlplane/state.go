package controlplane

import (
	"sync"
	"time"

	"lichentray/internal/apierror"
	"lichentray/registry"
	"lichentray/watchcache"
)

// replicatedState is the state machine of consensus and what this node derives from
// it. It is changed by the event loop alone, entry by entry.
type replicatedState struct {
	env *environment

	store      *registry.Store
	watchCache *watchcache.Cache
	// appliedIndex is the log index of the newest entry in store.
	appliedIndex uint64
	decodedObjects
	compiled compiledConfig
}

// sharedState guards the replicated state. Other goroutines reach it through view and
// update, the event loop also through onLoop. The lock is held briefly, and never while
// waiting for the disk, a peer or the loop.
type sharedState struct {
	mu         sync.RWMutex
	replicated replicatedState
	// applyWaiters are waiting for an index to be applied.
	applyWaiters map[chan struct{}]uint64

	// changed wakes the streams of proxies. It has its own lock.
	changed wakeups
}

const (
	// watchCacheEvents bounds the events in the watch cache.
	watchCacheEvents = 20000
	// watchCacheMemoryDivisor is the part of the node's memory limit that the values of
	// the events may take.
	watchCacheMemoryDivisor = 12
)

// newSharedState returns an empty state.
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

// view calls f with the state, which f must not change or keep.
func (s *sharedState) view(f func(*replicatedState)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(&s.replicated)
}

// update calls f with the state locked for writing. Only what is computed on demand
// may change, see compiledConfig.
func (s *sharedState) update(f func(*replicatedState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.replicated)
}

// onLoop returns the state for reading without the lock, which is safe in the
// event loop only: nobody else changes what it reads.
func (s *sharedState) onLoop(*loopState) *replicatedState { return &s.replicated }

// revision is the registry's newest revision.
func (s *sharedState) revision() (revision uint64) {
	s.view(func(r *replicatedState) { revision = r.store.Revision() })
	return revision
}

// eventsSince returns at most limit events of the watch cache above a revision. The
// error is watchcache.ErrGone if the cache no longer reaches back so far.
func (s *sharedState) eventsSince(after uint64, limit int) (events []registry.Event, err error) {
	s.view(func(r *replicatedState) { events, err = r.watchCache.EventsSince(after, limit) })
	return events, err
}

// applyCommand carries out a committed command.
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

// advance records that the log is applied up to an index and wakes who waits for it.
func (s *sharedState) advance(index uint64) {
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

// replace replaces the store by one that was restored from a snapshot.
func (s *sharedState) replace(store *registry.Store, index uint64) {
	s.mu.Lock()
	r := &s.replicated
	r.store = store
	r.watchCache.Reset(store.Revision())
	r.rebuild()
	r.appliedIndex = index
	s.mu.Unlock()
	s.changed.wakeAll()
}

// waitApplied returns once the log is applied up to an index, or an error of kind
// Unavailable after the time-out.
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
