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
	"lichentray/watchcache"
)

// Timing are the node's own figures, all derived from the bounds.
type Timing struct {
	Dial       time.Duration // a new connection to an endpoint
	Dark       time.Duration // unacknowledged bytes at an endpoint
	Silence    time.Duration // of the stream from the control plane
	Call       time.Duration // a list or watch to be answered, before another is asked
	Open       time.Duration // it is waited for no longer than this
	EjectBase  time.Duration
	EjectMost  time.Duration
	IdleUnsaid time.Duration // an idle connection whose endpoint names no time
	Lease      time.Duration // of a roll-out's share, without news
	Grant      time.Duration // a share of a cold endpoint, from the report on
}

// TimingOf derives the figures.
func TimingOf(s *settings.Settings) Timing {
	contact := s.Bounds.ContactWindow.Duration()
	fast := s.PropagationBound()
	return Timing{
		Dial:       contact / 20,
		Dark:       contact / 6,
		Silence:    fast * 3 / 10,
		Call:       fast / 4,
		Open:       contact / 2,
		EjectBase:  contact / 6,
		EjectMost:  contact,
		IdleUnsaid: contact,
		Lease:      s.RolloutLease(),
		Grant:      s.QuotaGrantLifetime(),
	}
}

// Plane is a running proxy node.
type Plane struct {
	set    *settings.Settings
	timing Timing
	log    *slog.Logger
	board  *metrics.Registry
	start  time.Time
	line   *discovery.Locator

	routing  atomic.Pointer[routing]
	viewed   chan struct{} // closed once there is a first view
	stopping atomic.Bool
	proxies  atomic.Int64
	heard    atomic.Int64 // when a control-plane node in touch was last heard
	sharing  atomic.Bool  // this machine's link, with a relay

	// Owned by the follower goroutine.
	mirror   *watchcache.Mirror
	services map[string]*service
	zones    map[string]loadbalance.ZoneState // those that are not in ordinary use
	sentAt   map[uint64]time.Duration         // of the latest reports
	seq      uint64
	// movedOnce tells that a nearer control-plane node has been sought.
	movedOnce bool

	// region gives each region a dense index; this node's is here.
	region  map[string]int
	here    int
	stream  atomic.Pointer[transport.Conn]
	pacer   *pacer
	account *account

	n counters
}

type counters struct {
	requests, retries, budgetOut, ejected, refused, streamLost, lists, watches, badAnswers, dialFailed, stale *metrics.Counter
	revision, config                                                                                          *metrics.Counter
}

// routing is what one request is handled by, swapped whole.
type routing struct {
	table    *config.Table
	services []*service
	routes   []*routeStats
	homes    []uint64 // by route: a bit for each region that may serve it; 0 for all
}

type routeStats struct {
	name   string
	mu     sync.Mutex
	usual  float64 // seconds of an ordinary answer
	answer [6]*metrics.Counter
}

// service is the pool of one service and what this node keeps beside it.
type service struct {
	name    string
	mu      sync.Mutex
	pool    *loadbalance.Pool
	budget  *loadbalance.RetryBudget
	shelves map[*loadbalance.Endpoint]*shelf
	queue   []*queued
	arrived int // requests since the last report
	// recent counts them by client, so that in a queue those who ask often
	// stand behind those who do not.
	recent map[string]int
	share  *loadbalance.AdmissionLimiter
	trial  trial
	// Connections that have rested for longer than restMost are not used until
	// restUntil: endpoints have been seen to forget such.
	restMost  time.Duration
	restUntil time.Duration
}

// rest is how long a connection may have rested to be used again.
func (s *service) rest(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.restUntil {
		return s.restMost
	}
	return time.Hour
}

// forgot notes that an endpoint had forgotten a connection that had rested.
func (s *service) forgot(now, rested, lasts time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now >= s.restUntil {
		s.restMost = time.Hour
	}
	s.restMost = min(s.restMost, rested/2)
	s.restUntil = now + lasts
}

type queued struct {
	rank rank
	wake chan struct{}
}

// rank orders a queue: by the route's priority, then by how often the client
// has asked lately (fair queuing by flow).
type rank struct{ priority, asked int }

func (r rank) before(o rank) bool {
	if r.priority != o.priority {
		return r.priority < o.priority
	}
	return r.asked < o.asked
}

// New makes a proxy node that knows nothing yet.
func New(set *settings.Settings, log *slog.Logger, board *metrics.Registry) *Plane {
	p := &Plane{
		set: set, timing: TimingOf(set), log: log, board: board, start: time.Now(), mirror: watchcache.NewMirror(),
		viewed: make(chan struct{}), services: map[string]*service{}, zones: map[string]loadbalance.ZoneState{},
		line: discovery.NewLocator(set), sentAt: map[uint64]time.Duration{}, region: map[string]int{},
		// A later life of this node begins above the sequences of an earlier one.
		seq: uint64(time.Now().UnixMilli()), pacer: newPacer(set.Limits.BandwidthMbps),
	}
	for _, r := range set.RegionByZone {
		if _, there := p.region[r]; !there {
			p.region[r] = len(p.region)
		}
	}
	p.here = p.regionOf(set.Zone)
	p.account = newAccount(set, board)
	c := board.Counter
	p.n = counters{
		requests: c("requests_total"), retries: c("retries_total"), budgetOut: c("retry_budget_refused_total"),
		ejected: c("ejections_total"), refused: c("refused_total"), streamLost: c("stream_lost_total"),
		lists: c("stream_lists_total"), watches: c("stream_watches_total"),
		badAnswers: c("endpoint_bad_answers_total"), dialFailed: c("endpoint_dial_failures_total"), stale: c("endpoint_connections_forgotten_total"),
		revision: c("registry_revision"), config: c("config_version"),
	}
	return p
}

// SetSeeds takes the seed addresses of a settings file that has changed.
func (p *Plane) SetSeeds(seeds []string) {
	p.line.SetSeeds(seeds)
	p.log.Info("settings read again", "seeds", fmt.Sprint(seeds))
}

func (p *Plane) now() time.Duration { return time.Since(p.start) }

// Ready tells whether this node wants new connections.
func (p *Plane) Ready() bool {
	return !p.stopping.Load() && p.routing.Load() != nil && !p.standsBack() && (p.account == nil || p.account.known.Load())
}

// standsBack tells whether this node leaves the clients to others: it shares its
// machine's link with a relay of the control plane, whose calls are small and
// urgent, and the zones have so many proxies that one is not missed.
func (p *Plane) standsBack() bool {
	return p.sharing.Load() && int(p.proxies.Load()) >= plenty*max(1, len(p.set.RegionByZone))
}

const plenty = 10

// LookForRelay notices whether a relay runs on this machine, until the context
// ends. Relays run on machines that hold no disk of the core; they take
// connections at the internal port as a core node would.
func (p *Plane) LookForRelay(ctx context.Context) {
	if p.set.QuorumMember || p.set.EntryType == settings.EntryTypeDirectory {
		return
	}
	for {
		c, err := net.DialTimeout("tcp4", p.set.InternalAddr(p.set.IPAddress), p.timing.Dial)
		if err == nil {
			c.Close()
		}
		p.sharing.Store(err == nil)
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.set.Bounds.ContactWindow.Duration()):
		}
	}
}

// regionOf gives the dense index of a zone's region; -1 is unknown.
func (p *Plane) regionOf(zone string) int {
	if r, ok := p.region[p.set.RegionByZone[zone]]; ok {
		return r
	}
	return -1
}

func (p *Plane) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{
			name: name, shelves: map[*loadbalance.Endpoint]*shelf{}, recent: map[string]int{},
			pool:   loadbalance.NewPool(loadbalance.PoolConfig{Zone: p.set.Zone, BaseEjectionTime: p.timing.EjectBase, MaxEjectionTime: p.timing.EjectMost, ZoneBias: 0.6, RegionIndex: p.here, RegionBias: 1.5}),
			share:  loadbalance.NewAdmissionLimiter(8 * p.timing.Silence / 3),
			budget: loadbalance.NewRetryBudget(p.set.Bounds.RetryBudgetRatio*0.95, 1),
		}
		for zone, z := range p.zones {
			s.pool.SetZoneState(zone, z)
		}
		p.services[name] = s
	}
	return s
}

// setProxies takes how many proxy nodes there are: slack and connections are
// shared among them.
func (p *Plane) setProxies(n int) {
	if n < 1 || p.proxies.Swap(int64(n)) == int64(n) {
		return
	}
	for _, s := range p.services {
		p.share(s)
	}
}

func (p *Plane) share(s *service) {
	n := int(p.proxies.Load())
	if n < 1 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A quarter of the slack is kept back for nodes that are not counted yet.
	s.budget.SetMaxTokens(max(1, p.set.Bounds.RetryBudgetSlack*0.75/float64(n)))
	s.pool.SetPeerCount(n)
}

// rebuild takes the whole copy, as after a list.
func (p *Plane) rebuild() {
	have := map[string]bool{}
	for _, o := range p.mirror.Objects() {
		have[o.Key] = true
		if o.Key != registry.ConfigKey {
			p.takeObject(o, false)
		}
	}
	for zone := range p.zones {
		if !have[registry.EvacuationPrefix+zone] {
			p.setZone(zone, loadbalance.ZoneActive)
		}
	}
	for name, s := range p.services {
		if s.trial.Base != "" && !have[registry.RolloutPrefix+name] {
			p.setRollout(s, rollout.Rollout{})
		}
	}
	// Last, so that no request meets routes without endpoints.
	if o, ok := p.mirror.Objects()[registry.ConfigKey]; ok {
		p.takeConfig(o)
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
			s.remove(id)
		}
	}
}

func (s *service) remove(id string) {
	s.mu.Lock()
	e := s.pool.Remove(id)
	sh := s.shelves[e]
	delete(s.shelves, e)
	s.mu.Unlock()
	if sh != nil {
		sh.close()
	}
}

// takeObject takes one object's new state. live tells that it has just
// happened.
func (p *Plane) takeObject(o registry.Object, live bool) {
	if o.Key == registry.ConfigKey {
		p.takeConfig(o)
		return
	}
	if zone, ok := strings.CutPrefix(o.Key, registry.EvacuationPrefix); ok {
		z := loadbalance.ZoneEvacuated
		if registry.DecodeEvacuation(o).State() == registry.Returning {
			z = loadbalance.ZoneReturning
		}
		p.setZone(zone, z)
		return
	}
	if name, ok := strings.CutPrefix(o.Key, registry.RolloutPrefix); ok {
		p.takeRollout(name, o)
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
	s := p.service(e.Service)
	s.mu.Lock()
	ep := s.pool.Upsert(p.now(), loadbalance.EndpointSpec{ID: e.ID, Address: e.Address, Zone: e.Zone, Version: e.Version, Capacity: e.Capacity, Draining: e.Draining, WarmingUp: e.WarmingUp, RegionIndex: p.regionOf(e.Zone)}, cold)
	sh := s.shelves[ep]
	if sh == nil {
		sh = new(shelf)
		s.shelves[ep] = sh
	}
	s.mu.Unlock()
	if e.Draining {
		sh.close()
	}
}

// setZone takes how a zone is used.
func (p *Plane) setZone(zone string, z loadbalance.ZoneState) {
	if p.zones[zone] == z {
		return
	}
	if z == loadbalance.ZoneActive {
		delete(p.zones, zone)
	} else {
		p.zones[zone] = z
	}
	for _, s := range p.services {
		s.mu.Lock()
		s.pool.SetZoneState(zone, z)
		s.mu.Unlock()
	}
	p.log.Info("zone changes its use", "zone", zone, "use", z)
}

func (p *Plane) takeEvent(e registry.Event) error {
	changed, err := p.mirror.ApplyEvent(e)
	if err != nil || !changed {
		return err
	}
	if e.Type != registry.Deleted {
		p.takeObject(p.mirror.Objects()[e.Object.Key], true)
		return nil
	}
	if zone, ok := strings.CutPrefix(e.Object.Key, registry.EvacuationPrefix); ok {
		p.setZone(zone, loadbalance.ZoneActive)
	}
	if id, ok := strings.CutPrefix(e.Object.Key, registry.EndpointPrefix); ok {
		for _, s := range p.services {
			s.remove(id)
		}
	}
	return nil
}

// takeConfig compiles a configuration and puts it in force, whole.
func (p *Plane) takeConfig(o registry.Object) {
	_, text, ok := registry.DecodeConfig(o)
	if !ok {
		return
	}
	c, err := config.DecodeValidated(text)
	if err != nil {
		p.log.Error("configuration cannot be read, the old one stays", "error", err)
		return
	}
	old := p.routing.Load()
	if old != nil && old.table.Version >= c.Version {
		return // never back
	}
	r := &routing{table: config.Compile(c)}
	stats := map[string]*routeStats{}
	if old != nil {
		for _, s := range old.routes {
			stats[s.name] = s
		}
	}
	for _, cl := range r.table.Services {
		s := p.service(cl.Name)
		p.share(s)
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
			for i, what := range answers {
				st.answer[i] = p.board.Counter("answers_total", "route", rt.Name, "answer", what)
			}
		}
		r.routes = append(r.routes, st)
		r.homes = append(r.homes, p.homes(rt.Regions))
	}
	p.routing.Store(r)
	if old == nil {
		close(p.viewed)
	}
	p.n.config.Set(int64(c.Version))
	p.log.Info("configuration in force", "version", c.Version)
}

// homes gives the regions that may serve a route as bits. Regions that no zone
// belongs to have none, so that a route at home nowhere else is served nowhere.
func (p *Plane) homes(regions []string) uint64 {
	if len(regions) == 0 {
		return 0
	}
	mask := uint64(1) << 63
	for _, r := range regions {
		if i, known := p.region[r]; known {
			mask |= 1 << min(i, 62)
		}
	}
	return mask
}

// sweep closes idle connections whose time is up.
func (p *Plane) sweep(services []*service) {
	now := time.Now()
	for _, s := range services {
		s.mu.Lock()
		for e, sh := range s.shelves {
			sh.sweep(now)
			e.IdleConnections = sh.count()
		}
		s.mu.Unlock()
	}
}

// pick chooses an endpoint within this node's share.
func (s *service) pick(p *Plane, skip func(*loadbalance.Endpoint) bool) (*loadbalance.Endpoint, int) {
	now := p.now()
	slots, inflight := s.pool.SlotsAndInflight(now)
	limit, limited := s.share.Limit(now, slots)
	if limited && inflight >= limit {
		return nil, limit
	}
	return s.pool.Pick(now, rand.Float64, skip), limit
}

// arrive counts a request of a client and gives its rank in a queue.
func (s *service) arrive(client string, priority int) rank {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Deposit()
	s.arrived++
	n := s.recent[client]
	if n > 0 || len(s.recent) < clientsCounted {
		s.recent[client] = n + 1
	}
	// Few and a few more are alike: only those who press stand back.
	return rank{priority, n / 4}
}

// clientsCounted bounds how many clients are told apart between two reports.
const clientsCounted = 4096

// acquire picks an endpoint, waiting for a free place up to wait, in the order
// of ranks; a wait that cannot end in time is not begun.
func (s *service) acquire(p *Plane, r rank, wait time.Duration, skip func(*loadbalance.Endpoint) bool) (*loadbalance.Endpoint, *shelf) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ahead := 0
	for _, x := range s.queue {
		if !r.before(x.rank) {
			ahead++
		}
	}
	limit := 0
	if ahead == 0 {
		var e *loadbalance.Endpoint
		if e, limit = s.pick(p, skip); e != nil {
			return e, s.shelves[e]
		}
	}
	if wait <= 0 || ahead > max(limit, 8)/2 {
		return nil, nil
	}
	q := &queued{rank: r, wake: make(chan struct{}, 1)}
	at := sort.Search(len(s.queue), func(i int) bool { return r.before(s.queue[i].rank) })
	s.queue = append(s.queue, nil)
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = q
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
		e, _ := s.pick(p, skip)
		if e == nil && !over {
			continue
		}
		for i, x := range s.queue {
			if x == q {
				s.queue = append(s.queue[:i], s.queue[i+1:]...)
				break
			}
		}
		s.wakeFirst()
		return e, s.shelves[e]
	}
}

func (s *service) wakeFirst() {
	if len(s.queue) > 0 {
		select {
		case s.queue[0].wake <- struct{}{}:
		default:
		}
	}
}

// release gives an endpoint's place back and wakes the first in the queue.
func (s *service) release(p *Plane, e *loadbalance.Endpoint, ok bool, took float64) {
	s.mu.Lock()
	if sh := s.shelves[e]; sh != nil {
		e.IdleConnections = sh.count()
	}
	s.pool.Finish(p.now(), e, ok, took)
	s.wakeFirst()
	s.mu.Unlock()
	if !ok {
		p.n.ejected.Inc()
	}
}

// inZone names the load of a service in one zone.
func inZone(service, zone string) string { return service + "\x00" + zone }

// report gives what this node asks of each service, for the sum over all; with
// more than one region, for each zone as well.
func (p *Plane) report(span time.Duration) *transport.ProxyReport {
	out := map[string]loadbalance.Load{}
	seen := map[string]loadbalance.Observation{}
	for name, s := range p.services {
		s.mu.Lock()
		s.pool.CollectObservations(seen)
		_, inflight := s.pool.SlotsAndInflight(p.now())
		if span > p.timing.Silence/3 { // else too short to tell a rate
			s.share.Observe(loadbalance.Load{Rate: float64(s.arrived) / span.Seconds(), Inflight: float64(inflight)})
			s.arrived = 0
			clear(s.recent)
		}
		out[name] = s.share.OwnLoad()
		if len(p.region) > 1 {
			for _, e := range s.pool.Endpoints() {
				if n := e.Inflight(); n > 0 {
					key := inZone(name, e.Zone)
					out[key] = out[key].Add(loadbalance.Load{Inflight: float64(n)})
				}
			}
		}
		s.mu.Unlock()
	}
	p.seq++
	now := p.now()
	p.sentAt[p.seq] = now
	for seq, at := range p.sentAt {
		if now-at > p.timing.Grant {
			delete(p.sentAt, seq)
		}
	}
	return &transport.ProxyReport{Seq: p.seq, Loads: out, Seen: seen, Self: p.self(), Trials: p.trials(), Account: p.account.report()}
}

// self is this node's entry in the registry, where clients find proxies there.
func (p *Plane) self() *registry.Proxy {
	if p.set.EntryType != settings.EntryTypeDirectory || (!p.Ready() && !p.stopping.Load()) {
		return nil
	}
	return &registry.Proxy{Name: p.set.NodeName, Address: p.set.Listen.Frontend, Zone: p.set.Zone, Leaving: p.stopping.Load(), Weight: p.set.Limits.BandwidthMbps}
}

// leave tells the control plane at once that this node ends.
func (p *Plane) leave() {
	p.stopping.Store(true)
	if c, self := p.stream.Load(), p.self(); c != nil && self != nil {
		_ = c.Send(&transport.Frame{Report: &transport.ProxyReport{Self: self}}) // the next report tells it again
	}
}

// granted takes this node's shares of cold endpoints. They hold from when the
// report went out that they answer.
func (p *Plane) granted(r *transport.QuotaGrants) {
	sent, ok := p.sentAt[r.Seq]
	if !ok {
		return
	}
	now := p.now()
	for _, g := range r.Grants {
		for _, s := range p.services {
			s.mu.Lock()
			s.pool.ApplyGrant(now, g, sent+p.timing.Grant)
			s.mu.Unlock()
		}
	}
}

// judged takes what all proxy nodes together make of the endpoints.
func (p *Plane) judged(verdicts []loadbalance.Verdict) {
	of := make(map[string]loadbalance.Verdict, len(verdicts))
	for _, v := range verdicts {
		of[v.Endpoint] = v
	}
	until := p.now() + 8*p.timing.Silence/3
	for _, s := range p.services {
		s.mu.Lock()
		s.pool.SetVerdicts(until, of)
		s.mu.Unlock()
	}
}

// told takes the sums over all proxy nodes.
func (p *Plane) told(loads map[string]loadbalance.Load) {
	now := p.now()
	for name, sum := range loads {
		if s := p.services[name]; s != nil {
			s.mu.Lock()
			s.share.SetTotalLoad(now, sum)
			slots, _ := s.pool.SlotsAndInflight(now)
			s.pool.SetUtilization(sum.Inflight / float64(max(1, slots)))
			s.mu.Unlock()
		}
	}
	if len(p.region) < 2 {
		return
	}
	for name, s := range p.services {
		inflight := map[string]float64{}
		for zone := range p.set.RegionByZone {
			inflight[zone] = loads[inZone(name, zone)].Inflight
		}
		s.mu.Lock()
		s.pool.SetZoneLoads(inflight)
		s.mu.Unlock()
	}
}
