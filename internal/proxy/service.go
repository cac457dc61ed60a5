package proxy

import (
	"math/rand"
	"sync"
	"time"

	"lichentray/loadbalance"
)

const (
	// zoneBias and regionBias are the biases towards endpoints in the node's own zone and region;
	// see loadbalance.PoolConfig.
	zoneBias   = 0.6
	regionBias = 1.5
	// retryBudgetShare is the fraction of the retry budget ratio in the bounds that this node
	// uses. The rest covers requests in flight.
	retryBudgetShare = 0.95
	// retrySlackShare is the fraction of the retry budget slack in the bounds that is divided among
	// the proxies. The rest is reserved for nodes that are not counted yet.
	retrySlackShare = 0.75
	// statusMisdirected is the status of an endpoint that does not serve the service
	// (421 Misdirected Request, RFC 9110, section 15.5.20).
	statusMisdirected = 421
	// unlimitedIdleTime is the idle time limit of connections, unless endpoints were found to close
	// connections earlier.
	unlimitedIdleTime = time.Hour
)

// service holds the endpoints of one service, with this node's limits, queue and statistics. Its
// mutex is held only for short computations.
type service struct {
	name string

	mu          sync.Mutex
	pool        *loadbalance.Pool
	retryBudget *loadbalance.RetryBudget
	connPools   map[*loadbalance.Endpoint]*connPool
	admission   *loadbalance.AdmissionLimiter
	rollout     rolloutState
	queue       endpointQueue
	// arrivals counts the requests since the last report, and arrivalsByClient those of each
	// client. In the queue, clients with many requests rank behind clients with few.
	arrivals         int
	arrivalsByClient map[string]int
	// maxIdle is the maximum idle time of a connection that is reused, as endpoints have closed
	// connections that were idle for longer. It applies until maxIdleUntil, a time in terms of
	// Proxy.now.
	maxIdle      time.Duration
	maxIdleUntil time.Duration
}

// ensureService returns the service with the given name, and creates it if there is none. Only the
// goroutine of ListAndWatch may call it.
func (p *Proxy) ensureService(name string) *service {
	if s := p.services[name]; s != nil {
		return s
	}
	s := &service{
		name: name,
		pool: loadbalance.NewPool(loadbalance.PoolConfig{
			Zone:             p.settings.Zone,
			BaseEjectionTime: p.timeouts.ejectionBase,
			MaxEjectionTime:  p.timeouts.ejectionMax,
			ZoneBias:         zoneBias,
			RegionIndex:      p.ownRegion,
			RegionBias:       regionBias,
		}),
		retryBudget:      loadbalance.NewRetryBudget(p.settings.Bounds.RetryBudgetRatio*retryBudgetShare, 1),
		connPools:        map[*loadbalance.Endpoint]*connPool{},
		admission:        loadbalance.NewAdmissionLimiter(p.timeouts.feedbackValidity),
		arrivalsByClient: map[string]int{},
	}
	for zone, state := range p.zoneStates {
		s.pool.SetZoneState(zone, state)
	}
	p.services[name] = s
	return s
}

// configure sets the service's limits from the configuration.
func (s *service) configure(maxConnections int, warmUpRatePerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetMaxConnections(maxConnections)
	s.pool.SetWarmUpRate(warmUpRatePerSecond)
}

// setTotalLoad sets the service's total load from all proxies.
func (s *service) setTotalLoad(now time.Duration, total loadbalance.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.SetTotalLoad(now, total)
	slots, _ := s.pool.SlotsAndInflight(now)
	s.pool.SetUtilization(total.Inflight / float64(max(1, slots)))
}

// setProxyCount sets the number of proxy nodes that share each endpoint, and thereby this node's
// part of the slack of the retry budget.
func (s *service) setProxyCount(n int, slack float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.SetMaxTokens(max(1, slack*retrySlackShare/float64(n)))
	s.pool.SetPeerCount(n)
}

// upsertEndpoint adds an endpoint or updates its state. warmUp is the warm-up time of a new
// endpoint.
func (s *service) upsertEndpoint(now time.Duration, spec loadbalance.EndpointSpec, warmUp time.Duration) {
	s.mu.Lock()
	e := s.pool.Upsert(now, spec, warmUp)
	conns := s.connPools[e]
	if conns == nil {
		conns = new(connPool)
		s.connPools[e] = conns
	}
	s.mu.Unlock()
	if spec.Draining {
		conns.close()
	}
}

// removeEndpoint removes an endpoint and closes its idle connections. It does nothing if the
// service has no endpoint with that id.
func (s *service) removeEndpoint(id string) {
	s.mu.Lock()
	e := s.pool.Remove(id)
	conns := s.connPools[e]
	delete(s.connPools, e)
	s.mu.Unlock()
	if conns != nil {
		conns.close()
	}
}

// retainEndpoints removes the endpoints for which keep returns false.
func (s *service) retainEndpoints(keep func(id string) bool) {
	s.mu.Lock()
	var removed []string
	for _, e := range s.pool.Endpoints() {
		if !keep(e.ID) {
			removed = append(removed, e.ID)
		}
	}
	s.mu.Unlock()
	for _, id := range removed {
		s.removeEndpoint(id)
	}
}

// setZoneState sets a zone's state.
func (s *service) setZoneState(zone string, state loadbalance.ZoneState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetZoneState(zone, state)
}

// closeExpiredConnections closes the expired idle connections to all endpoints.
func (s *service) closeExpiredConnections(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e, conns := range s.connPools {
		conns.closeExpired(now)
		e.IdleConnections = conns.countIdle()
	}
}

// idleLimit returns the maximum idle time of a connection that is reused.
func (s *service) idleLimit(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.maxIdleUntil {
		return s.maxIdle
	}
	return unlimitedIdleTime
}

// recordStaleConnection records that an endpoint had closed a connection that was idle for idleFor.
// For the duration validity, connections are reused only if they were idle for at most half as
// long.
func (s *service) recordStaleConnection(now, idleFor, validity time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now >= s.maxIdleUntil {
		s.maxIdle = unlimitedIdleTime
	}
	s.maxIdle = min(s.maxIdle, idleFor/2)
	s.maxIdleUntil = now + validity
}

// pickEndpoint picks an endpoint for which skip returns false, within this node's share of the
// admitted load, and returns the limit on requests in flight. It returns a nil endpoint if none is
// available. The caller must hold s.mu.
func (s *service) pickEndpoint(now time.Duration, skip func(*loadbalance.Endpoint) bool) (*loadbalance.Endpoint, int) {
	slots, inflight := s.pool.SlotsAndInflight(now)
	limit, isLimited := s.admission.Limit(now, slots)
	if isLimited && inflight >= limit {
		return nil, limit
	}
	return s.pool.Pick(now, rand.Float64, skip), limit
}

// releaseEndpoint ends a request on an endpoint and wakes the first waiter in the queue. If ok is
// false, the request failed through a fault of the endpoint, which is ejected. latencyRatio is the
// request's latency divided by the route's typical latency; 0 if unknown.
func (s *service) releaseEndpoint(p *Proxy, e *loadbalance.Endpoint, ok bool, latencyRatio float64) {
	s.mu.Lock()
	if conns := s.connPools[e]; conns != nil {
		e.IdleConnections = conns.countIdle()
	}
	s.pool.Finish(p.now(), e, ok, latencyRatio)
	s.queue.wakeFirst()
	s.mu.Unlock()
	if !ok {
		p.counters.ejections.Inc()
	}
}

// recordUnprocessed releases an endpoint whose response, with the given status, states that the
// request was not processed. The endpoint is ejected if it does not serve the service.
func (s *service) recordUnprocessed(p *Proxy, e *loadbalance.Endpoint, status int) {
	if status == statusMisdirected {
		s.releaseEndpoint(p, e, false, 0)
		return
	}
	s.mu.Lock()
	s.pool.RecordRejection(p.now(), e)
	s.mu.Unlock()
	s.releaseEndpoint(p, e, true, 0)
}

// recordServerError records a 5xx response of an endpoint.
func (s *service) recordServerError(e *loadbalance.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RecordServerError(e)
}

// recordTruncatedStream records that an endpoint, which was already released, truncated a response
// that was being streamed. The endpoint is ejected.
func (s *service) recordTruncatedStream(p *Proxy, e *loadbalance.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RecordFailure(p.now(), e)
}

// withdrawRetry withdraws a token from the retry budget. It returns false if the budget is
// exhausted.
func (s *service) withdrawRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget.TryWithdraw()
}

// hasRetryBudget reports whether the retry budget currently has a token.
func (s *service) hasRetryBudget() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget.Balance() >= 1
}
