package proxy

import (
	"math/rand"
	"sync"
	"time"

	"lichentray/loadbalance"
)

const (
	// zoneBias and regionBias are by how much endpoints of the node's own zone and region
	// are preferred; see loadbalance.PoolConfig.
	zoneBias   = 0.6
	regionBias = 1.5
	// retryBudgetShare is the part of the ratio of retries to requests in the bounds that
	// this node spends. The rest covers what is in flight.
	retryBudgetShare = 0.95
	// retrySlackShare is the part of the slack in the bounds that the proxies share. The
	// rest is kept for nodes that are not counted yet.
	retrySlackShare = 0.75
	// statusMisdirected is the status with which an endpoint states that it does not serve
	// the service (421 Misdirected Request, RFC 9110, section 15.5.20).
	statusMisdirected = 421
	// unlimitedIdle is how long a connection may be idle unless the endpoint has closed
	// one that was idle for less.
	unlimitedIdle = time.Hour
)

// service has the endpoints of one service and this node's limits, queue and statistics.
// Its lock is held for short computations only.
type service struct {
	name string

	mu          sync.Mutex
	pool        *loadbalance.Pool
	retryBudget *loadbalance.RetryBudget
	connPools   map[*loadbalance.Endpoint]*connPool
	admission   *loadbalance.AdmissionLimiter
	rollout     rolloutState
	queue       endpointQueue
	// arrivals counts the requests since the last report, arrivalsByClient those of each
	// client: in the queue, clients that ask often stand behind those that do not.
	arrivals         int
	arrivalsByClient map[string]int
	// maxIdle is how long a connection may have been idle to be used again, until
	// maxIdleUntil (time since the start of the node): endpoints had closed older ones.
	maxIdle      time.Duration
	maxIdleUntil time.Duration
}

// ensureService returns the service of a name, and makes it if there is none. Only the
// goroutine of the reflector calls it.
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

// configure sets the limits of the service from the configuration.
func (s *service) configure(maxConnections int, warmupRatePerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetMaxConnections(maxConnections)
	s.pool.SetWarmupRate(warmupRatePerSecond)
}

// setTotalLoad sets the load of the service over all proxies.
func (s *service) setTotalLoad(now time.Duration, total loadbalance.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.SetTotalLoad(now, total)
	slots, _ := s.pool.SlotsAndInflight(now)
	s.pool.SetUtilization(total.Inflight / float64(max(1, slots)))
}

// setProxyCount sets how many proxy nodes share each endpoint, and with it this node's
// part of the slack of the retry budget.
func (s *service) setProxyCount(n int, slack float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.SetMaxTokens(max(1, slack*retrySlackShare/float64(n)))
	s.pool.SetPeerCount(n)
}

// upsertEndpoint takes an endpoint's present state. warmUp is how long a new one needs.
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

// removeEndpoint removes an endpoint and closes its idle connections. It does nothing if
// the service has no such endpoint.
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

// setZoneState sets how a zone is used.
func (s *service) setZoneState(zone string, state loadbalance.ZoneState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetZoneState(zone, state)
}

// closeExpiredConnections closes the idle connections that have expired.
func (s *service) closeExpiredConnections(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e, conns := range s.connPools {
		conns.closeExpired(now)
		e.IdleConnections = conns.countIdle()
	}
}

// idleLimit is how long a connection may have been idle to be used again.
func (s *service) idleLimit(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.maxIdleUntil {
		return s.maxIdle
	}
	return unlimitedIdle
}

// noteStaleConnection notes that an endpoint had closed a connection that had been idle
// for idleFor. For the time validity, only connections idle for at most half of that are
// used again.
func (s *service) noteStaleConnection(now, idleFor, validity time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now >= s.maxIdleUntil {
		s.maxIdle = unlimitedIdle
	}
	s.maxIdle = min(s.maxIdle, idleFor/2)
	s.maxIdleUntil = now + validity
}

// pickEndpoint chooses an endpoint within this node's part of the load, and returns the
// limit of the requests in flight. It returns nil if there is none. The caller has the
// lock.
func (s *service) pickEndpoint(now time.Duration, skip func(*loadbalance.Endpoint) bool) (*loadbalance.Endpoint, int) {
	slots, inflight := s.pool.SlotsAndInflight(now)
	limit, isLimited := s.admission.Limit(now, slots)
	if isLimited && inflight >= limit {
		return nil, limit
	}
	return s.pool.Pick(now, rand.Float64, skip), limit
}

// releaseEndpoint ends a request at an endpoint and wakes the first in the queue.
// latencyRatio is the request's latency over what is typical; 0 if it is not known.
func (s *service) releaseEndpoint(p *Proxy, e *loadbalance.Endpoint, isSuccess bool, latencyRatio float64) {
	s.mu.Lock()
	if conns := s.connPools[e]; conns != nil {
		e.IdleConnections = conns.countIdle()
	}
	s.pool.Finish(p.now(), e, isSuccess, latencyRatio)
	s.queue.wakeFirst()
	s.mu.Unlock()
	if !isSuccess {
		p.counters.ejections.Inc()
	}
}

// recordRejection releases an endpoint that stated with a status that it did not process
// a request. An endpoint that serves another service is ejected.
func (s *service) recordRejection(p *Proxy, e *loadbalance.Endpoint, status int) {
	if status == statusMisdirected {
		s.releaseEndpoint(p, e, false, 0)
		return
	}
	s.mu.Lock()
	s.pool.RecordRejection(p.now(), e)
	s.mu.Unlock()
	s.releaseEndpoint(p, e, true, 0)
}

// recordServerError notes a 5xx response of an endpoint.
func (s *service) recordServerError(e *loadbalance.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RecordServerError(e)
}

// recordBrokenStream notes that an endpoint ended a response early after it was released.
func (s *service) recordBrokenStream(p *Proxy, e *loadbalance.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RecordFailure(p.now(), e)
}

// withdrawRetry takes a retry from the retry budget; false if that is exhausted.
func (s *service) withdrawRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget.TryWithdraw()
}

// hasRetryBudget reports whether the retry budget has a token for a retry now.
func (s *service) hasRetryBudget() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget.Balance() >= 1
}
