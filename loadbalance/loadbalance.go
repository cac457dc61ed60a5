// Package loadbalance chooses endpoints and bounds what is tried (load balancing,
// outlier detection, retry budget, admission). It is pure: the present moment
// and every random number come in as arguments.
package loadbalance

import (
	"sort"
	"time"
)

// Spec is what the registry says of one endpoint.
type Spec struct {
	ID       string
	Address  string
	Zone     string
	Version  string // of its software
	Capacity int
	Draining bool
	Cold     bool
	Region   int // a dense index; what is unknown is -1
}

// Endpoint is one endpoint's state as this node sees it.
type Endpoint struct {
	Spec
	// Idle is how many idle connections this node has to the endpoint.
	Idle int
	// Arm is where its version stands; Front tells that it takes part of a trial.
	Arm      Arm
	Front    bool
	hash     uint64
	tier     int     // 0 in this zone, 1 in this region, 2 elsewhere
	far      float64 // what its distance adds to its cost
	crowd    float64 // what the load of its zone adds
	off      bool    // its zone is evacuated
	back     bool    // its zone has just been taken back
	meter    meter
	inflight int
	// slow is the learned time of an answer over what its route usually takes.
	slow    float64
	seen    Seen // since the last report
	sick    bool // all nodes together say so
	samples int
	fails   int
	until   time.Duration // ejected until
	trial   bool          // one request is out to see whether it is back
	cold    time.Duration // slow from its start until
	busy    time.Duration // turned requests away until
	gone    bool
}

// Inflight is how many requests of this node are at the endpoint.
func (e *Endpoint) Inflight() int { return e.inflight }

// Gone tells whether the registry has dropped the endpoint.
func (e *Endpoint) Gone() bool { return e.gone || e.Draining }

// shut tells whether nothing may be sent to the endpoint.
func (e *Endpoint) shut() bool { return e.Draining || e.off || e.Arm == Barred }

// Fresh tells whether the endpoint is slow from its start.
func (e *Endpoint) Fresh(now time.Duration) bool { return now < e.cold || e.Cold || e.back }

// Ejected tells whether the endpoint is kept from ordinary choice.
func (e *Endpoint) Ejected(now time.Duration) bool { return e.fails > 0 && now < e.until }

// Config are a pool's figures.
type Config struct {
	Zone      string
	EjectBase time.Duration // after a first failure
	EjectMost time.Duration
	// Bias is how many requests more a near endpoint may have in hand before a
	// far one is as good.
	Bias float64
	// Region is where this node is, and RegionBias the same for another region.
	Region     int
	RegionBias float64
}

// Pool is the endpoints of one service.
type Pool struct {
	cfg         Config
	all         []*Endpoint
	byID        map[string]*Endpoint
	peers       int // nodes that share the endpoints
	connections int
	coldRate    float64         // what a cold endpoint bears a second; 0: any load
	zones       map[string]Zone // those that are not in ordinary use
	tiers       [3]tier         // of the pick under way
	judged      time.Duration   // until then the verdicts of all nodes hold
	lean        float64         // towards the faster endpoints, 0 to 1
	versions    Versions
	unfronted   bool // which endpoints are Front is to be found anew
}

// Zone is how a zone is used. The zero value is ordinary use.
type Zone uint8

// The uses of a zone.
const (
	Used    Zone = iota
	Emptied      // evacuated: nothing is sent there
	Back         // taken back: its endpoints count as cold
)

// NewPool makes a pool without endpoints.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, byID: map[string]*Endpoint{}, peers: 1, zones: map[string]Zone{}}
}

// SetColdRate tells how many requests a second a cold endpoint bears; it then
// gets only what is granted. 0 is no bound.
func (p *Pool) SetColdRate(rate float64) { p.coldRate = rate }

// SetZone tells how a zone is used.
func (p *Pool) SetZone(zone string, z Zone) {
	p.zones[zone] = z
	for _, e := range p.all {
		if e.Zone == zone {
			e.off, e.back = z == Emptied, z == Back
		}
	}
}

// Grant takes a share of a cold endpoint that holds until a moment.
func (p *Pool) Grant(now time.Duration, g Grant, until time.Duration) {
	if e := p.byID[g.Endpoint]; e != nil {
		e.meter.grant(now, g.Rate, until)
	}
}

// SetLoads takes how many requests all nodes have at the endpoints of each
// zone. A zone that comes near to being full costs more, so that the next one
// takes what is too much for it before its queues stand.
func (p *Pool) SetLoads(inflight map[string]float64) {
	slots := map[string]float64{}
	for _, e := range p.all {
		if !e.shut() {
			slots[e.Zone] += float64(e.Capacity)
		}
	}
	for _, e := range p.all {
		e.crowd = max(0, inflight[e.Zone]/max(1, slots[e.Zone])-crowded) * crowdCost
	}
}

// Above crowded of a zone's slots in use, each further tenth costs a tenth of
// crowdCost.
const (
	crowded   = 0.7
	crowdCost = 8
)

// SetPeers tells how many nodes share the endpoints.
func (p *Pool) SetPeers(n int) { p.peers = max(1, n) }

// SetConnections tells how many connections an endpoint takes from all nodes
// together; 0 is no bound.
func (p *Pool) SetConnections(n int) { p.connections = n }

// Busy notes that an endpoint turned a request away because it is full.
func (p *Pool) Busy(now time.Duration, e *Endpoint) {
	e.busy = now + p.cfg.EjectBase/8
	e.seen = e.seen.Add(Seen{Answers: 1, Times: fullPace})
}

// fullPace is what a request that was turned away counts as.
const fullPace = 3

// Endpoints gives the present endpoints.
func (p *Pool) Endpoints() []*Endpoint { return p.all }

// Slots is how many requests the endpoints that may be chosen work on at once,
// and how many this node has there. Requests stuck at an endpoint that was
// ejected say nothing about how full the others are. While two versions are sent
// to, the slots are those of the one that carries most.
func (p *Pool) Slots(now time.Duration) (slots, inflight int) {
	main := Base
	if p.versions.Share > 0.5 {
		main = Target
	}
	for _, e := range p.all {
		if !e.shut() && !e.Ejected(now) {
			if e.Arm == main {
				slots += e.Capacity
			}
			inflight += e.inflight
		}
	}
	return slots, inflight
}

// Set adds or changes an endpoint; cold is how much longer it is slow.
func (p *Pool) Set(now time.Duration, s Spec, cold time.Duration) *Endpoint {
	if s.Capacity < 1 {
		s.Capacity = 1
	}
	e := p.byID[s.ID]
	if e == nil {
		e = &Endpoint{slow: 1, hash: hash64(s.ID, "")}
		p.byID[s.ID] = e
		p.all = append(p.all, e)
	}
	if e.Spec != s {
		e.Spec, e.Arm, p.unfronted = s, p.versions.arm(s.Version), true
	}
	e.far, e.tier = 0, 0
	if s.Zone != p.cfg.Zone {
		e.far, e.tier = p.cfg.Bias, 1
		if s.Region != p.cfg.Region {
			e.far, e.tier = p.cfg.RegionBias, 2
		}
	}
	e.off, e.back = p.zones[s.Zone] == Emptied, p.zones[s.Zone] == Back
	if cold > 0 {
		e.cold = now + cold
	}
	return e
}

// Remove drops an endpoint. Requests that are out keep their pointer.
func (p *Pool) Remove(id string) *Endpoint {
	e := p.byID[id]
	if e == nil {
		return nil
	}
	e.gone, p.unfronted = true, true
	delete(p.byID, id)
	for i, x := range p.all {
		if x == e {
			p.all = append(p.all[:i], p.all[i+1:]...)
			break
		}
	}
	return e
}

// cost is the expected wait and work at an endpoint, in units of an ordinary
// answer's time.
func (p *Pool) cost(now time.Duration, e *Endpoint) float64 {
	in := float64(e.inflight)
	return p.pace(now, e)*(1+in*in/float64(e.Capacity)) + e.far + e.crowd
}

// pace is how long an endpoint takes over what is usual.
func (p *Pool) pace(now time.Duration, e *Endpoint) float64 {
	if e.Fresh(now) {
		return 2 * e.slow
	}
	return e.slow
}

// metered tells whether the endpoint gets only what is granted.
func (p *Pool) metered(e *Endpoint) bool { return p.coldRate > 0 && (e.Cold || e.back) }

// draws is how many endpoints of a distance are compared. Of equally full ones
// that with an idle connection is taken: so each node keeps to a part of the
// endpoints, another one at every node, without a connection to each of them.
const draws = 3

// tier is the endpoints at one distance that can take a request. weight sums
// up to and with each of them.
type tier struct {
	of     []*Endpoint
	weight []float64
}

func (t *tier) add(e *Endpoint, w float64) {
	if n := len(t.weight); n > 0 {
		w += t.weight[n-1]
	}
	t.of, t.weight = append(t.of, e), append(t.weight, w)
}

// draw gives one endpoint by weight.
func (t *tier) draw(rnd func() float64) *Endpoint {
	x := rnd() * t.weight[len(t.weight)-1]
	return t.of[min(sort.SearchFloat64s(t.weight, x), len(t.of)-1)]
}

// Pick chooses an endpoint and counts the request as out to it. skip keeps out
// those already tried. Nil means that none can take a request.
//
// With many nodes, what one of them has at an endpoint says little of how full
// it is, and all would crowd the endpoints that are fastest. So each distance
// (this zone, this region, elsewhere) offers the emptiest of a few endpoints
// drawn by their pace and capacity, and the cheapest of these is taken.
func (p *Pool) Pick(now time.Duration, rnd func() float64, skip func(*Endpoint) bool) *Endpoint {
	var best, back *Endpoint
	p.front()
	for i := range p.tiers {
		p.tiers[i].of, p.tiers[i].weight = p.tiers[i].of[:0], p.tiers[i].weight[:0]
	}
	for _, e := range p.all {
		if e.shut() || (skip != nil && skip(e)) || (p.metered(e) && !e.meter.ready(now)) {
			continue
		}
		if e.fails > 0 {
			if now >= e.until && !e.trial && back == nil {
				back = e
			}
			continue
		}
		if now < e.busy || e.inflight >= p.cap(e) {
			continue
		}
		pace := p.pace(now, e)
		w := float64(e.Capacity) / pace * (1 + p.lean*(1/(pace*pace)-1))
		if e.sick {
			w *= sickWeight
		}
		p.tiers[e.tier].add(e, w)
	}
	bestCost := 0.0
	for i := range p.tiers {
		t := &p.tiers[i]
		if len(t.of) == 0 {
			continue
		}
		e := t.draw(rnd)
		for range draws - 1 {
			other := t.draw(rnd)
			a, b := e.inflight*other.Capacity, other.inflight*e.Capacity
			if b < a || (a == b && other.Idle > 0 && e.Idle == 0) {
				e = other
			}
		}
		if c := p.cost(now, e); best == nil || c < bestCost {
			best, bestCost = e, c
		}
	}
	if back != nil && (best == nil || rnd() < 0.2) {
		back.trial = true
		best = back
	}
	if best == nil {
		best = p.last(now, skip)
	}
	if best != nil {
		best.inflight++
		if p.metered(best) {
			best.meter.held--
		}
	}
	return best
}

// sickWeight leaves an ill endpoint the few requests by which all nodes together
// notice that it is well again.
const sickWeight = 0.03

// last is the choice when every endpoint is ejected: the one whose time is up
// first, so that a service whose endpoints all failed once is tried again.
func (p *Pool) last(now time.Duration, skip func(*Endpoint) bool) *Endpoint {
	var best *Endpoint
	for _, e := range p.all {
		if e.shut() || e.fails == 0 || e.trial || (skip != nil && skip(e)) || (p.metered(e) && !e.meter.ready(now)) {
			continue
		}
		if best == nil || e.until < best.until {
			best = e
		}
	}
	if best != nil {
		best.trial = true
	}
	return best
}

// cap is how many requests this node may have out to one endpoint.
func (p *Pool) cap(e *Endpoint) int {
	n := e.Capacity + 2
	if p.connections > 0 {
		n = max(1, min(n, p.connections/p.peers))
	}
	return n
}

// Broke notes that an answer that was counted as well broke off later.
func (p *Pool) Broke(now time.Duration, e *Endpoint) {
	e.seen.Bad++
	e.fails++
	e.until = now + min(p.cfg.EjectBase<<min(e.fails-1, 6), p.cfg.EjectMost)
}

// Done takes a request's outcome: took is its time over what its route
// usually takes, or 0 if that says nothing.
func (p *Pool) Done(now time.Duration, e *Endpoint, ok bool, took float64) {
	e.inflight--
	e.trial = false
	if !ok {
		p.Broke(now, e)
		return
	}
	e.fails = 0
	if took > 0 {
		e.seen = e.seen.Add(Seen{Answers: 1, Times: min(took, 8)})
	}
	if took > 0 && now >= e.cold && now >= p.judged {
		e.samples++
		a := max(0.06, 1/float64(e.samples+4))
		e.slow += a * (min(took, 4) - e.slow)
	}
}
