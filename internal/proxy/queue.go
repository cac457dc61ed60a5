package proxy

import (
	"slices"
	"sort"
	"time"

	"lichentray/loadbalance"
)

const (
	// maxTrackedClients is the maximum number of clients whose requests are counted between two
	// reports. Further clients rank as if they had sent none.
	maxTrackedClients = 4096
	// requestsPerRank is the number of requests between two reports that make one step in rank,
	// so that clients with similar request rates have the same rank.
	requestsPerRank = 4
	// minQueueInflightLimit is the minimum of the limit on requests in flight by which the queue is
	// bounded: a request is queued only if at most half as many requests are ahead of it.
	minQueueInflightLimit = 8
)

// queueRank is the position of a request in a queue: by the route's priority, then by the client's
// recent number of requests (fair queuing by client). Smaller values come first.
type queueRank struct {
	priority       int
	recentRequests int
}

// before reports whether a request of rank r precedes one of rank o.
func (r queueRank) before(o queueRank) bool {
	if r.priority != o.priority {
		return r.priority < o.priority
	}
	return r.recentRequests < o.recentRequests
}

// waiter is a request that waits in a queue for an endpoint.
type waiter struct {
	rank queueRank
	// wake receives a value when an endpoint may have become available.
	wake chan struct{}
}

// endpointQueue holds the requests of a service that wait for an endpoint, ordered by rank and,
// within a rank, by arrival. It is guarded by service.mu.
type endpointQueue struct {
	waiters []*waiter
}

// countAhead returns the number of waiting requests that precede a new request of the given rank.
func (q *endpointQueue) countAhead(rank queueRank) int {
	ahead := 0
	for _, w := range q.waiters {
		if !rank.before(w.rank) {
			ahead++
		}
	}
	return ahead
}

// push inserts a request behind all others of its rank.
func (q *endpointQueue) push(rank queueRank) *waiter {
	w := &waiter{rank: rank, wake: make(chan struct{}, 1)}
	at := sort.Search(len(q.waiters), func(i int) bool { return rank.before(q.waiters[i].rank) })
	q.waiters = slices.Insert(q.waiters, at, w)
	return w
}

// remove removes a request at any position in the queue.
func (q *endpointQueue) remove(w *waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}

// wakeFirst wakes the first request, which then tries to pick an endpoint.
func (q *endpointQueue) wakeFirst() {
	if len(q.waiters) == 0 {
		return
	}
	select {
	case q.waiters[0].wake <- struct{}{}:
	default: // it has been woken already
	}
}

// recordArrival counts a client's request, makes a deposit to the retry budget for it, and returns
// its queue rank.
func (s *service) recordArrival(client string, priority int) queueRank {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.Deposit()
	s.arrivals++
	n := s.arrivalsByClient[client]
	if n > 0 || len(s.arrivalsByClient) < maxTrackedClients {
		s.arrivalsByClient[client] = n + 1
	}
	return queueRank{priority: priority, recentRequests: n / requestsPerRank}
}

// queueWait bounds a request's wait for an endpoint.
type queueWait struct {
	// limit is the maximum wait; 0 to not wait.
	limit time.Duration
	// client is watched for a disconnect, which ends the wait.
	client *clientWatch
}

// acquireEndpoint reserves an endpoint for which skip returns false. If none is available, it waits
// in the queue, unless too many requests are ahead. It returns nil if no endpoint becomes available
// in time.
func (s *service) acquireEndpoint(p *Proxy, rank queueRank, wait queueWait, skip func(*loadbalance.Endpoint) bool) (*loadbalance.Endpoint, *connPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ahead := s.queue.countAhead(rank)
	limit := 0
	if ahead == 0 {
		var e *loadbalance.Endpoint
		if e, limit = s.pickEndpoint(p.now(), skip); e != nil {
			return e, s.connPools[e]
		}
	}
	if wait.limit <= 0 || ahead > max(limit, minQueueInflightLimit)/2 {
		return nil, nil
	}
	w := s.queue.push(rank)
	e := s.awaitEndpoint(p, w, wait, skip)
	s.queue.remove(w)
	s.queue.wakeFirst()
	return e, s.connPools[e]
}

// awaitEndpoint tries to pick an endpoint each time the waiter is woken, and once more when the
// wait times out. It returns nil if the client disconnects. The caller must hold s.mu, which is
// released while waiting.
func (s *service) awaitEndpoint(p *Proxy, w *waiter, wait queueWait, skip func(*loadbalance.Endpoint) bool) *loadbalance.Endpoint {
	timer := time.NewTimer(wait.limit)
	defer timer.Stop()
	disconnected := wait.client.disconnected()
	for {
		s.mu.Unlock()
		isTimedOut, isDisconnected := false, false
		select {
		case <-disconnected:
			isDisconnected = true
		case <-w.wake:
		case <-timer.C:
			isTimedOut = true
		}
		s.mu.Lock()
		if isDisconnected {
			return nil
		}
		if e, _ := s.pickEndpoint(p.now(), skip); e != nil || isTimedOut {
			return e
		}
	}
}
