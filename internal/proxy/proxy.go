// Package proxy is the proxy node: it keeps an exact copy of the registry,
// takes requests from clients and forwards them to endpoints.
package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"net"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lichentray/config"
	"lichentray/internal/discovery"
	"lichentray/internal/metrics"
	"lichentray/internal/settings"
	"lichentray/internal/transport"
	"lichentray/loadbalance"
	"lichentray/registry"
	"lichentray/rollout"
	"lichentray/routing"
	"lichentray/watchcache"
)

// timeouts are the node's own figures, all derived from the bounds.
type timeouts struct {
	dial             time.Duration // a new connection to an endpoint
	unacknowledged   time.Duration // unacknowledged bytes at an endpoint
	streamSilence    time.Duration // of the stream from the control plane
	openHedgeDelay   time.Duration // a list or watch to be answered, before another is asked
	openStream       time.Duration // it is waited for no longer than this
	ejectionBase     time.Duration
	ejectionMax      time.Duration
	defaultKeepAlive time.Duration // an idle connection whose endpoint names no time
	rolloutLease     time.Duration // of a roll-out's share, without news
	slowStartGrant   time.Duration // a share of a cold endpoint, from the report on
}

// deriveTimeouts derives the figures.
func deriveTimeouts(s *settings.Settings) timeouts {
	contact := s.Bounds.ContactWindow.Duration()
	fast := s.PropagationBound()
	return timeouts{
		dial:             contact / 20,
		unacknowledged:   contact / 6,
		streamSilence:    fast * 3 / 10,
		openHedgeDelay:   fast / 4,
		openStream:       contact / 2,
		ejectionBase:     contact / 6,
		ejectionMax:      contact,
		defaultKeepAlive: contact,
		rolloutLease:     s.RolloutLease(),
		slowStartGrant:   s.QuotaGrantLifetime(),
	}
}

// Proxy is a running proxy node.
type Proxy struct {
	settings     *settings.Settings
	timeouts     timeouts
	log          *slog.Logger
	metrics      *metrics.Registry
	startedAt    time.Time
	controlNodes *discovery.Locator

	snapshot            atomic.Pointer[routingSnapshot]
	firstConfig         chan struct{} // closed once there is a first view
	isDraining          atomic.Bool
	proxyCount          atomic.Int64
	lastBookmarkAt      atomic.Int64 // when a control-plane node in touch was last heard
	sharesLinkWithRelay atomic.Bool  // this machine's link, with a relay

	// Owned by the follower goroutine.
	store        *watchcache.Mirror
	services     map[string]*service
	zoneStates   map[string]loadbalance.ZoneState // those that are not in ordinary use
	reportSentAt map[uint64]time.Duration         // of the latest reports
	reportSeq    uint64
	// hasMovedNearer tells that a nearer control-plane node has been sought.
	hasMovedNearer bool

	// regionIndex gives each region a dense index; this node's is here.
	regionIndex map[string]int
	ownRegion   int
	controlConn atomic.Pointer[transport.Conn]
	pacer       *pacer
	audit       *auditRecorder

	counters counters
}

type counters struct {
	requests, retries, retryBudgetExhausted, ejections, rejections, streamsLost, lists, watches, invalidResponses, dialFailures, staleConnections *metrics.Counter
	registryRevision, configVersion                                                                                                               *metrics.Counter
}

// routingSnapshot is what one request is handled by, swapped whole.
type routingSnapshot struct {
	table       *routing.Table
	services    []*service
	routeStats  []*routeStats
	regionMasks []uint64 // by route: a bit for each region that may serve it; 0 for all
}

type routeStats struct {
	name           string
	mu             sync.Mutex
	typicalSeconds float64 // seconds of an ordinary answer
	responses      [6]*metrics.Counter
}

// ensureService is the pool of one service and what this node keeps beside it.
type service struct {
	name        string
	mu          sync.Mutex
	pool        *loadbalance.Pool
	retryBudget *loadbalance.RetryBudget
	connPools   map[*loadbalance.Endpoint]*connPool
	waiters     []*waiter
	arrivals    int // requests since the last report
	// arrivalsByClient counts them by client, so that in a queue those who ask often
	// stand behind those who do not.
	arrivalsByClient map[string]int
	admission        *loadbalance.AdmissionLimiter
	rollout          rolloutState
	// Connections that have rested for longer than restMost are not used until
	// restUntil: endpoints have been seen to forget such.
	maxIdle      time.Duration
	maxIdleUntil time.Duration
}

// idleLimit is how long a connection may have rested to be used again.
func (s *service) idleLimit(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.maxIdleUntil {
		return s.maxIdle
	}
	return time.Hour
}

// noteStaleConnection notes that an endpoint had forgotten a connection that had rested.
func (s *service) noteStaleConnection(now, rested, lasts time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now >= s.maxIdleUntil {
		s.maxIdle = time.Hour
	}
	s.maxIdle = min(s.maxIdle, rested/2)
	s.maxIdleUntil = now + lasts
}

type waiter struct {
	rank queueRank
	wake chan struct{}
}

// queueRank orders a queue: by the route's priority, then by how often the client
// has asked lately (fair queuing by flow).
type queueRank struct{ priority, recentRequests int }

func (r queueRank) before(o queueRank) bool {
	if r.priority != o.priority {
		return r.priority < o.priority
	}
	return r.recentRequests < o.recentRequests
}

// New makes a proxy node that knows nothing yet.
func New(set *settings.Settings, log *slog.Logger, board *metrics.Registry) *Proxy {
	p := &Proxy{
		settings: set, timeouts: deriveTimeouts(set), log: log, metrics: board, startedAt: time.Now(), store: watchcache.NewMirror(),
		firstConfig: make(chan struct{}), services: map[string]*service{}, zoneStates: map[string]loadbalance.ZoneState{},
		controlNodes: discovery.NewLocator(set), reportSentAt: map[uint64]time.Duration{}, regionIndex: map[string]int{},
		// A later life of this node begins above the sequences of an earlier one.
		reportSeq: uint64(time.Now().UnixMilli()), pacer: newPacer(set.Limits.BandwidthMbps),
	}
	for _, r := range set.RegionByZone {
		if _, there := p.regionIndex[r]; !there {
			p.regionIndex[r] = len(p.regionIndex)
		}
	}
	p.ownRegion = p.regionIndexOf(set.Zone)
	p.audit = newAuditRecorder(set, board)
	c := board.Counter
	p.counters = counters{
		requests: c("requests_total"), retries: c("retries_total"), retryBudgetExhausted: c("retry_budget_refused_total"),
		ejections: c("ejections_total"), rejections: c("refused_total"), streamsLost: c("stream_lost_total"),
		lists: c("stream_lists_total"), watches: c("stream_watches_total"),
		invalidResponses: c("endpoint_bad_answers_total"), dialFailures: c("endpoint_dial_failures_total"), staleConnections: c("endpoint_connections_forgotten_total"),
		registryRevision: c("registry_revision"), configVersion: c("config_version"),
	}
	return p
}

// SetSeeds takes the seed addresses of a settings file that has changed.
func (p *Proxy) SetSeeds(seeds []string) {
	p.controlNodes.SetSeeds(seeds)
	p.log.Info("settings read again", "seeds", fmt.Sprint(seeds))
}

func (p *Proxy) now() time.Duration { return time.Since(p.startedAt) }

// Ready tells whether this node wants new connections.
func (p *Proxy) Ready() bool {
	return !p.isDraining.Load() && p.snapshot.Load() != nil && !p.yieldsToPeers() && (p.audit == nil || p.audit.isRegistered.Load())
}

// yieldsToPeers tells whether this node leaves the clients to others: it shares its
// machine's link with a relay of the control plane, whose calls are small and
// urgent, and the zones have so many proxies that one is not missed.
func (p *Proxy) yieldsToPeers() bool {
	return p.sharesLinkWithRelay.Load() && int(p.proxyCount.Load()) >= proxiesPerZoneToYield*max(1, len(p.settings.RegionByZone))
}

const proxiesPerZoneToYield = 10

// DetectRelay notices whether a relay runs on this machine, until the context
// ends. Relays run on machines that hold no disk of the core; they take
// connections at the internal port as a core node would.
func (p *Proxy) DetectRelay(ctx context.Context) {
	if p.settings.QuorumMember || p.settings.EntryType == settings.EntryTypeDirectory {
		return
	}
	for {
		c, err := net.DialTimeout("tcp4", p.settings.InternalAddr(p.settings.IPAddress), p.timeouts.dial)
		if err == nil {
			c.Close()
		}
		p.sharesLinkWithRelay.Store(err == nil)
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.settings.Bounds.ContactWindow.Duration()):
		}
	}
}

// regionIndexOf gives the dense index of a zone's region; -1 is unknown.
func (p *Proxy) regionIndexOf(zone string) int {
	if r, ok := p.regionIndex[p.settings.RegionByZone[zone]]; ok {
		return r
	}
	return -1
}

func (p *Proxy) ensureService(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{
			name: name, connPools: map[*loadbalance.Endpoint]*connPool{}, arrivalsByClient: map[string]int{},
			pool:        loadbalance.NewPool(loadbalance.PoolConfig{Zone: p.settings.Zone, BaseEjectionTime: p.timeouts.ejectionBase, MaxEjectionTime: p.timeouts.ejectionMax, ZoneBias: 0.6, RegionIndex: p.ownRegion, RegionBias: 1.5}),
			admission:   loadbalance.NewAdmissionLimiter(8 * p.timeouts.streamSilence / 3),
			retryBudget: loadbalance.NewRetryBudget(p.settings.Bounds.RetryBudgetRatio*0.95, 1),
		}
		for zone, z := range p.zoneStates {
			s.pool.SetZoneState(zone, z)
		}
		p.services[name] = s
	}
	return s
}

// setProxyCount takes how many proxy nodes there are: slack and connections are
// shared among them.
func (p *Proxy) setProxyCount(n int) {
	if n < 1 || p.proxyCount.Swap(int64(n)) == int64(n) {
		return
	}
	for _, s := range p.services {
		p.applyProxyCount(s)
	}
}

func (p *Proxy) applyProxyCount(s *service) {
	n := int(p.proxyCount.Load())
	if n < 1 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A quarter of the slack is kept back for nodes that are not counted yet.
	s.retryBudget.SetMaxTokens(max(1, p.settings.Bounds.RetryBudgetSlack*0.75/float64(n)))
	s.pool.SetPeerCount(n)
}

// resync takes the whole copy, as after a list.
func (p *Proxy) resync() {
	have := map[string]bool{}
	for _, o := range p.store.Objects() {
		have[o.Key] = true
		if o.Key != registry.ConfigKey {
			p.applyObject(o, false)
		}
	}
	for zone := range p.zoneStates {
		if !have[registry.EvacuationPrefix+zone] {
			p.setZoneState(zone, loadbalance.ZoneActive)
		}
	}
	for name, s := range p.services {
		if s.rollout.Base != "" && !have[registry.RolloutPrefix+name] {
			p.setRollout(s, rollout.Rollout{})
		}
	}
	// Last, so that no request meets routes without endpoints.
	if o, ok := p.store.Objects()[registry.ConfigKey]; ok {
		p.applyConfig(o)
	}
	for _, s := range p.services {
		s.mu.Lock()
		var gone []string
		for _, e := range s.pool.Endpoints() {
			if !have[registry.EndpointPrefix+e.ID] {
				gone = append(gone, e.ID)
			}
		}
		s.mu.Unlock()
		for _, id := range gone {
			s.removeEndpoint(id)
		}
	}
}

func (s *service) removeEndpoint(id string) {
	s.mu.Lock()
	e := s.pool.Remove(id)
	sh := s.connPools[e]
	delete(s.connPools, e)
	s.mu.Unlock()
	if sh != nil {
		sh.close()
	}
}

// applyObject takes one object's new state. live tells that it has just
// happened.
func (p *Proxy) applyObject(o registry.Object, live bool) {
	if o.Key == registry.ConfigKey {
		p.applyConfig(o)
		return
	}
	if zone, ok := strings.CutPrefix(o.Key, registry.EvacuationPrefix); ok {
		z := loadbalance.ZoneEvacuated
		if registry.DecodeEvacuation(o).State() == registry.Returning {
			z = loadbalance.ZoneReturning
		}
		p.setZoneState(zone, z)
		return
	}
	if name, ok := strings.CutPrefix(o.Key, registry.RolloutPrefix); ok {
		p.applyRollout(name, o)
		return
	}
	e, err := registry.DecodeEndpoint(o)
	if err != nil {
		p.log.Error("endpoint cannot be read", "key", o.Key, "error", err)
		return
	}
	cold := time.Duration(0)
	if live {
		cold = time.Duration(e.WarmUpSeconds * float64(time.Second))
	}
	s := p.ensureService(e.Service)
	s.mu.Lock()
	ep := s.pool.Upsert(p.now(), loadbalance.EndpointSpec{ID: e.ID, Address: e.Address, Zone: e.Zone, Version: e.Version, Capacity: e.Capacity, Draining: e.Draining, WarmingUp: e.WarmingUp, RegionIndex: p.regionIndexOf(e.Zone)}, cold)
	sh := s.connPools[ep]
	if sh == nil {
		sh = new(connPool)
		s.connPools[ep] = sh
	}
	s.mu.Unlock()
	if e.Draining {
		sh.close()
	}
}

// setZoneState takes how a zone is used.
func (p *Proxy) setZoneState(zone string, z loadbalance.ZoneState) {
	if p.zoneStates[zone] == z {
		return
	}
	if z == loadbalance.ZoneActive {
		delete(p.zoneStates, zone)
	} else {
		p.zoneStates[zone] = z
	}
	for _, s := range p.services {
		s.mu.Lock()
		s.pool.SetZoneState(zone, z)
		s.mu.Unlock()
	}
	p.log.Info("zone changes its use", "zone", zone, "use", z)
}

func (p *Proxy) applyEvent(e registry.Event) error {
	changed, err := p.store.ApplyEvent(e)
	if err != nil || !changed {
		return err
	}
	if e.Type != registry.Deleted {
		p.applyObject(p.store.Objects()[e.Object.Key], true)
		return nil
	}
	if zone, ok := strings.CutPrefix(e.Object.Key, registry.EvacuationPrefix); ok {
		p.setZoneState(zone, loadbalance.ZoneActive)
	}
	if id, ok := strings.CutPrefix(e.Object.Key, registry.EndpointPrefix); ok {
		for _, s := range p.services {
			s.removeEndpoint(id)
		}
	}
	return nil
}

// applyConfig compiles a configuration and puts it in force, whole.
func (p *Proxy) applyConfig(o registry.Object) {
	_, text, ok := registry.DecodeConfig(o)
	if !ok {
		return
	}
	c, err := config.DecodeValidated(text)
	if err != nil {
		p.log.Error("configuration cannot be read, the old one stays", "error", err)
		return
	}
	old := p.snapshot.Load()
	if old != nil && old.table.Version >= c.Version {
		return // never back
	}
	r := &routingSnapshot{table: routing.Compile(c)}
	stats := map[string]*routeStats{}
	if old != nil {
		for _, s := range old.routeStats {
			stats[s.name] = s
		}
	}
	for _, cl := range r.table.Services {
		s := p.ensureService(cl.Name)
		p.applyProxyCount(s)
		s.mu.Lock()
		s.pool.SetMaxConnections(int(cl.MaxConnections))
		s.pool.SetWarmupRate(cl.WarmupRatePerSecond)
		s.mu.Unlock()
		r.services = append(r.services, s)
	}
	for _, rt := range r.table.Routes {
		st := stats[rt.Name]
		if st == nil {
			st = &routeStats{name: rt.Name}
			for i, what := range responseClasses {
				st.responses[i] = p.metrics.Counter("answers_total", "route", rt.Name, "answer", what)
			}
		}
		r.routeStats = append(r.routeStats, st)
		r.regionMasks = append(r.regionMasks, p.regionMask(rt.Regions))
	}
	p.snapshot.Store(r)
	if old == nil {
		close(p.firstConfig)
	}
	p.counters.configVersion.Set(int64(c.Version))
	p.log.Info("configuration in force", "version", c.Version)
}

// regionMask gives the regions that may serve a route as bits. Regions that no zone
// belongs to have none, so that a route at home nowhere else is served nowhere.
func (p *Proxy) regionMask(regions []string) uint64 {
	if len(regions) == 0 {
		return 0
	}
	mask := uint64(1) << 63
	for _, r := range regions {
		if i, known := p.regionIndex[r]; known {
			mask |= 1 << min(i, 62)
		}
	}
	return mask
}

// closeExpiredConnections closes idle connections whose time is up.
func (p *Proxy) closeExpiredConnections(services []*service) {
	now := time.Now()
	for _, s := range services {
		s.mu.Lock()
		for e, sh := range s.connPools {
			sh.closeExpired(now)
			e.IdleConnections = sh.idleCount()
		}
		s.mu.Unlock()
	}
}

// pickEndpoint chooses an endpoint within this node's share.
func (s *service) pickEndpoint(p *Proxy, skip func(*loadbalance.Endpoint) bool) (*loadbalance.Endpoint, int) {
	now := p.now()
	slots, inflight := s.pool.SlotsAndInflight(now)
	limit, limited := s.admission.Limit(now, slots)
	if limited && inflight >= limit {
		return nil, limit
	}
	return s.pool.Pick(now, rand.Float64, skip), limit
}

// recordArrival counts a request of a client and gives its rank in a queue.
func (s *service) recordArrival(client string, priority int) queueRank {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.Deposit()
	s.arrivals++
	n := s.arrivalsByClient[client]
	if n > 0 || len(s.arrivalsByClient) < maxTrackedClients {
		s.arrivalsByClient[client] = n + 1
	}
	// Few and a few more are alike: only those who press stand back.
	return queueRank{priority, n / 4}
}

// maxTrackedClients bounds how many clients are told apart between two reports.
const maxTrackedClients = 4096

// acquireEndpoint picks an endpoint, waiting for a free place up to wait, in the order
// of ranks; a wait that cannot end in time is not begun.
func (s *service) acquireEndpoint(p *Proxy, r queueRank, wait time.Duration, skip func(*loadbalance.Endpoint) bool) (*loadbalance.Endpoint, *connPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ahead := 0
	for _, x := range s.waiters {
		if !r.before(x.rank) {
			ahead++
		}
	}
	limit := 0
	if ahead == 0 {
		var e *loadbalance.Endpoint
		if e, limit = s.pickEndpoint(p, skip); e != nil {
			return e, s.connPools[e]
		}
	}
	if wait <= 0 || ahead > max(limit, 8)/2 {
		return nil, nil
	}
	q := &waiter{rank: r, wake: make(chan struct{}, 1)}
	at := sort.Search(len(s.waiters), func(i int) bool { return r.before(s.waiters[i].rank) })
	s.waiters = append(s.waiters, nil)
	copy(s.waiters[at+1:], s.waiters[at:])
	s.waiters[at] = q
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		s.mu.Unlock()
		over := false
		select {
		case <-q.wake:
		case <-t.C:
			over = true
		}
		s.mu.Lock()
		e, _ := s.pickEndpoint(p, skip)
		if e == nil && !over {
			continue
		}
		for i, x := range s.waiters {
			if x == q {
				s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
				break
			}
		}
		s.wakeNext()
		return e, s.connPools[e]
	}
}

func (s *service) wakeNext() {
	if len(s.waiters) > 0 {
		select {
		case s.waiters[0].wake <- struct{}{}:
		default:
		}
	}
}

// releaseEndpoint gives an endpoint's place back and wakes the first in the queue.
func (s *service) releaseEndpoint(p *Proxy, e *loadbalance.Endpoint, ok bool, took float64) {
	s.mu.Lock()
	if sh := s.connPools[e]; sh != nil {
		e.IdleConnections = sh.idleCount()
	}
	s.pool.Finish(p.now(), e, ok, took)
	s.wakeNext()
	s.mu.Unlock()
	if !ok {
		p.counters.ejections.Inc()
	}
}

// zoneLoadKey names the load of a service in one zone.
func zoneLoadKey(service, zone string) string { return service + "\x00" + zone }

// buildReport gives what this node asks of each service, for the sum over all; with
// more than one region, for each zone as well.
func (p *Proxy) buildReport(span time.Duration) *transport.ProxyReport {
	out := map[string]loadbalance.Load{}
	seen := map[string]loadbalance.Observation{}
	for name, s := range p.services {
		s.mu.Lock()
		s.pool.CollectObservations(seen)
		_, inflight := s.pool.SlotsAndInflight(p.now())
		if span > p.timeouts.streamSilence/3 { // else too short to tell a rate
			s.admission.Observe(loadbalance.Load{Rate: float64(s.arrivals) / span.Seconds(), Inflight: float64(inflight)})
			s.arrivals = 0
			clear(s.arrivalsByClient)
		}
		out[name] = s.admission.OwnLoad()
		if len(p.regionIndex) > 1 {
			for _, e := range s.pool.Endpoints() {
				if n := e.Inflight(); n > 0 {
					key := zoneLoadKey(name, e.Zone)
					out[key] = out[key].Add(loadbalance.Load{Inflight: float64(n)})
				}
			}
		}
		s.mu.Unlock()
	}
	p.reportSeq++
	now := p.now()
	p.reportSentAt[p.reportSeq] = now
	for seq, at := range p.reportSentAt {
		if now-at > p.timeouts.slowStartGrant {
			delete(p.reportSentAt, seq)
		}
	}
	return &transport.ProxyReport{Seq: p.reportSeq, Loads: out, Seen: seen, Self: p.registration(), Trials: p.rolloutReports(), Account: p.audit.reportBatch()}
}

// registration is this node's entry in the registry, where clients find proxies there.
func (p *Proxy) registration() *registry.Proxy {
	if p.settings.EntryType != settings.EntryTypeDirectory || (!p.Ready() && !p.isDraining.Load()) {
		return nil
	}
	return &registry.Proxy{Name: p.settings.NodeName, Address: p.settings.Listen.Frontend, Zone: p.settings.Zone, Leaving: p.isDraining.Load(), Weight: p.settings.Limits.BandwidthMbps}
}

// announceShutdown tells the control plane at once that this node ends.
func (p *Proxy) announceShutdown() {
	p.isDraining.Store(true)
	if c, self := p.controlConn.Load(), p.registration(); c != nil && self != nil {
		_ = c.Send(&transport.Frame{Report: &transport.ProxyReport{Self: self}}) // the next report tells it again
	}
}

// applyGrants takes this node's shares of cold endpoints. They hold from when the
// buildReport went out that they answer.
func (p *Proxy) applyGrants(r *transport.QuotaGrants) {
	sent, ok := p.reportSentAt[r.Seq]
	if !ok {
		return
	}
	now := p.now()
	for _, g := range r.Grants {
		for _, s := range p.services {
			s.mu.Lock()
			s.pool.ApplyGrant(now, g, sent+p.timeouts.slowStartGrant)
			s.mu.Unlock()
		}
	}
}

// applyVerdicts takes what all proxy nodes together make of the endpoints.
func (p *Proxy) applyVerdicts(verdicts []loadbalance.Verdict) {
	of := make(map[string]loadbalance.Verdict, len(verdicts))
	for _, v := range verdicts {
		of[v.Endpoint] = v
	}
	until := p.now() + 8*p.timeouts.streamSilence/3
	for _, s := range p.services {
		s.mu.Lock()
		s.pool.SetVerdicts(until, of)
		s.mu.Unlock()
	}
}

// applyLoads takes the sums over all proxy nodes.
func (p *Proxy) applyLoads(loads map[string]loadbalance.Load) {
	now := p.now()
	for name, sum := range loads {
		if s := p.services[name]; s != nil {
			s.mu.Lock()
			s.admission.SetTotalLoad(now, sum)
			slots, _ := s.pool.SlotsAndInflight(now)
			s.pool.SetUtilization(sum.Inflight / float64(max(1, slots)))
			s.mu.Unlock()
		}
	}
	if len(p.regionIndex) < 2 {
		return
	}
	for name, s := range p.services {
		inflight := map[string]float64{}
		for zone := range p.settings.RegionByZone {
			inflight[zone] = loads[zoneLoadKey(name, zone)].Inflight
		}
		s.mu.Lock()
		s.pool.SetZoneLoads(inflight)
		s.mu.Unlock()
	}
}
