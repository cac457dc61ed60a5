package controlplane

import (
	"sync"
	"time"

	"lichentray/coordination"
	"lichentray/internal/apierror"
)

// watchDescriptorDivisor is the divisor of the file descriptor limit that gives the maximum
// number of waiting watches.
const watchDescriptorDivisor = 4

// groupWatchers serves reads of cells and the callers that wait for puts in a group of cells. The
// number of waiting callers is limited because each holds the file descriptor of its connection.
type groupWatchers struct {
	*environment
	state     *sharedState
	consensus *consensusView
	proposer  *proposer

	mu      sync.Mutex
	waiting int // over all groups
	byGroup map[string]*groupWaiters
}

// groupWaiters holds the callers that wait for puts in one group.
type groupWaiters struct {
	wakeups
	count int
}

// cell returns a cell, see Node.Cell.
func (g *groupWatchers) cell(name string) (cell coordination.Cell, err error) {
	if err := g.proposer.readIndex(g.timing.RequestTimeout); err != nil {
		return coordination.Cell{}, err
	}
	var isKnown bool
	g.state.view(func(r *replicatedState) { cell, isKnown = r.store.Coordination().Cells[name] })
	if !isKnown {
		return coordination.Cell{}, apierror.New(apierror.NotFound, "no cell %q", name)
	}
	return cell, nil
}

// wake wakes the callers that wait for a group.
func (g *groupWatchers) wake(group string) {
	g.mu.Lock()
	waiters := g.byGroup[group]
	g.mu.Unlock()
	if waiters != nil {
		waiters.wakeAll()
	}
}

// wakeAll wakes all callers. It is called after a snapshot was installed.
func (g *groupWatchers) wakeAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, waiters := range g.byGroup {
		waiters.wakeAll()
	}
}

// subscribe registers a waiter for a group. The error is of kind Overloaded if too many callers
// are already waiting on this node.
func (g *groupWatchers) subscribe(group string) (woken <-chan struct{}, unsubscribe func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting >= g.settings.Limits.MaxOpenFiles/watchDescriptorDivisor {
		return nil, nil, apierror.New(apierror.Overloaded, "too many watches wait here")
	}
	g.waiting++
	waiters := g.byGroup[group]
	if waiters == nil {
		waiters = &groupWaiters{}
		g.byGroup[group] = waiters
	}
	waiters.count++
	woken, unsubscribeWaiter := waiters.subscribe()
	return woken, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		unsubscribeWaiter()
		g.waiting--
		waiters.count--
		if waiters.count == 0 {
			delete(g.byGroup, group)
		}
	}, nil
}

// watch waits for puts in a group, see Node.Watch.
func (g *groupWatchers) watch(group string, after uint64, timeout time.Duration, callerIsWaiting func() bool) ([]coordination.Event, uint64, error) {
	if err := g.proposer.readIndex(g.timing.RequestTimeout); err != nil {
		return nil, 0, err
	}
	newest := g.revision(group)
	switch {
	case after == 0:
		return nil, newest, nil
	case after > newest:
		return nil, 0, apierror.New(apierror.BadRequest, "after: %d is above %d, the newest revision of %q", after, newest, group)
	}
	woken, unsubscribe, err := g.subscribe(group)
	if err != nil {
		return nil, 0, err
	}
	defer unsubscribe()
	return g.awaitEvents(group, after, timeout, woken, callerIsWaiting)
}

// awaitEvents returns the events of a group above a revision as soon as there are any, or none
// after the timeout. The wait ends early if the node loses contact, because it may not receive
// further puts, and if the caller has disconnected, because its watch would still count towards
// the limit.
func (g *groupWatchers) awaitEvents(group string, after uint64, timeout time.Duration, woken <-chan struct{}, callerIsWaiting func() bool) ([]coordination.Event, uint64, error) {
	end := time.NewTimer(timeout)
	defer end.Stop()
	check := time.NewTicker(g.timing.ElectionTimeout / 2)
	defer check.Stop()
	for {
		events, revision, isComplete := g.eventsSince(group, after)
		if !isComplete {
			return nil, revision, apierror.New(apierror.RevisionExpired, "after %d", after)
		}
		if len(events) > 0 {
			return events, revision, nil
		}
		select {
		case <-woken:
		case <-end.C:
			return nil, max(revision, after), nil
		case <-check.C:
			if !g.consensus.isUpToDate() || g.isStopping.Load() {
				return nil, 0, apierror.New(apierror.Unavailable, "this node has lost contact with the group")
			}
			if !callerIsWaiting() {
				g.metrics.watchesAbandoned.Inc()
				return nil, 0, apierror.New(apierror.Unavailable, "the caller has left")
			}
		case <-g.ctx.Done():
			return nil, 0, errStopping
		}
	}
}

func (g *groupWatchers) revision(group string) (revision uint64) {
	g.state.view(func(r *replicatedState) { revision = r.store.Coordination().GroupRevision(group) })
	return revision
}

// eventsSince returns the events of a group above a revision, and the group's newest revision.
// isComplete is false if the history no longer reaches back to after.
func (g *groupWatchers) eventsSince(group string, after uint64) (events []coordination.Event, revision uint64, isComplete bool) {
	g.state.view(func(r *replicatedState) {
		events, revision, isComplete = r.store.Coordination().EventsSince(group, after)
	})
	return events, revision, isComplete
}
