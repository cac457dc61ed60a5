package proxy

import (
	"slices"
	"sort"
	"time"

	"lichentray/loadbalance"
)

const (
	// maxTrackedClients bounds for how many clients requests are counted between two
	// reports; all others rank as if they had sent none.
	maxTrackedClients = 4096
	// requestsPerRank is how many requests between two reports are one step in rank, so
	// that clients that ask about as often rank alike.
	requestsPerRank = 4
	// minQueueLimit is the least limit of requests in flight that the queue is bounded by: a
	// request waits only if no more than half of the limit would be ahead of it.
	minQueueLimit = 8
)

// queueRank orders a queue: by the route's priority, then by how often the client has
// asked lately (fair queuing by flow). Smaller is first.
type queueRank struct {
	priority       int
	recentRequests int
}

// before reports whether a request of rank r goes first.
func (r queueRank) before(o queueRank) bool {
	if r.priority != o.priority {
		return r.priority < o.priority
	}
	return r.recentRequests < o.recentRequests
}

// waiter is a request that waits in a queue for an endpoint.
type waiter struct {
	rank queueRank
	// wake receives when an endpoint may have become free.
	wake chan struct{}
}

// endpointQueue has the requests of a service that wait for an endpoint, in the order of
// their ranks and, within one rank, of their arrival. The service's lock protects it.
type endpointQueue struct {
	waiters []*waiter
}

// ahead is how many waiting requests a request of a rank would stand behind.
func (q *endpointQueue) ahead(rank queueRank) int {
	ahead := 0
	for _, w := range q.waiters {
		if !rank.before(w.rank) {
			ahead++
		}
	}
	return ahead
}

// push adds a request.
func (q *endpointQueue) push(rank queueRank) *waiter {
	w := &waiter{rank: rank, wake: make(chan struct{}, 1)}
	at := sort.Search(len(q.waiters), func(i int) bool { return rank.before(q.waiters[i].rank) })
	q.waiters = slices.Insert(q.waiters, at, w)
	return w
}

// remove removes a request, wherever in the queue it is.
func (q *endpointQueue) remove(w *waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}

// wakeFirst wakes the first request, which then looks for an endpoint.
func (q *endpointQueue) wakeFirst() {
	if len(q.waiters) == 0 {
		return
	}
	select {
	case q.waiters[0].wake <- struct{}{}:
	default: // it was woken already
	}
}

// recordArrival counts a request of a client, deposits its tokens in the retry budget, and
// returns its rank in the queue.
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

// queueWait is how long a request waits for an endpoint.
type queueWait struct {
	// limit is the longest wait; 0 for none.
	limit time.Duration
	// client ends the wait when it leaves.
	client *clientWatch
}

// acquireEndpoint reserves an endpoint, for which it waits in the order of ranks. A wait that
// cannot end in time is not begun. It returns nil if there is none.
func (s *service) acquireEndpoint(p *Proxy, rank queueRank, wait queueWait, skip func(*loadbalance.Endpoint) bool) (*loadbalance.Endpoint, *connPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ahead := s.queue.ahead(rank)
	limit := 0
	if ahead == 0 {
		var e *loadbalance.Endpoint
		if e, limit = s.pickEndpoint(p.now(), skip); e != nil {
			return e, s.connPools[e]
		}
	}
	if wait.limit <= 0 || ahead > max(limit, minQueueLimit)/2 {
		return nil, nil
	}
	w := s.queue.push(rank)
	e := s.awaitEndpoint(p, w, wait, skip)
	s.queue.remove(w)
	s.queue.wakeFirst()
	return e, s.connPools[e]
}

// awaitEndpoint picks an endpoint whenever the waiter is woken, and for the last time
// when the wait is over. It returns nil if the client leaves. The caller has the lock, which is
// released in between.
func (s *service) awaitEndpoint(p *Proxy, w *waiter, wait queueWait, skip func(*loadbalance.Endpoint) bool) *loadbalance.Endpoint {
	timer := time.NewTimer(wait.limit)
	defer timer.Stop()
	left := wait.client.disconnected()
	for {
		s.mu.Unlock()
		isOver, hasLeft := false, false
		select {
		case <-left:
			hasLeft = true
		case <-w.wake:
		case <-timer.C:
			isOver = true
		}
		s.mu.Lock()
		if hasLeft {
			return nil
		}
		if e, _ := s.pickEndpoint(p.now(), skip); e != nil || isOver {
			return e
		}
	}
}
