// Package balance chooses endpoints and bounds what is tried (load balancing,
// outlier detection, retry budget, admission). It is pure: the present moment
// and every random number come in as arguments.
package balance

import "time"

// Spec is what the registry says of one endpoint.
type Spec struct {
	ID       string
	Address  string
	Zone     string
	Capacity int
	Draining bool
}

// Endpoint is one endpoint's state as this node sees it.
type Endpoint struct {
	Spec
	near     bool
	inflight int
	// slow is the learned time of an answer over what its route usually takes.
	slow    float64
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
}

// Pool is the endpoints of one service.
type Pool struct {
	cfg         Config
	all         []*Endpoint
	byID        map[string]*Endpoint
	peers       int // nodes that share the endpoints
	connections int
}

// NewPool makes a pool without endpoints.
func NewPool(cfg Config) *Pool { return &Pool{cfg: cfg, byID: map[string]*Endpoint{}, peers: 1} }

// SetPeers tells how many nodes share the endpoints.
func (p *Pool) SetPeers(n int) { p.peers = max(1, n) }

// SetConnections tells how many connections an endpoint takes from all nodes
// together; 0 is no bound.
func (p *Pool) SetConnections(n int) { p.connections = n }

// Busy notes that an endpoint turned a request away because it is full.
func (p *Pool) Busy(now time.Duration, e *Endpoint) { e.busy = now + p.cfg.EjectBase/8 }

// Endpoints gives the present endpoints.
func (p *Pool) Endpoints() []*Endpoint { return p.all }

// Slots is how many requests the endpoints that may be chosen work on at once,
// and how many this node has there. Requests stuck at an endpoint that was
// ejected say nothing about how full the others are.
func (p *Pool) Slots(now time.Duration) (slots, inflight int) {
	for _, e := range p.all {
		if !e.Draining && !e.Ejected(now) {
			slots += e.Capacity
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
		e = &Endpoint{slow: 1}
		p.byID[s.ID] = e
		p.all = append(p.all, e)
	}
	e.Spec = s
	e.near = s.Zone == p.cfg.Zone
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
	e.gone = true
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
	c := e.slow * (1 + in*in/float64(e.Capacity))
	if now < e.cold {
		c *= 2
	}
	if !e.near {
		c += p.cfg.Bias
	}
	return c
}

// Pick chooses an endpoint and counts the request as out to it. skip keeps out
// those already tried. Nil means that none can take a request.
func (p *Pool) Pick(now time.Duration, rnd func() float64, skip func(*Endpoint) bool) *Endpoint {
	var best, back *Endpoint
	bestCost := 0.0
	for _, e := range p.all {
		if e.Draining || (skip != nil && skip(e)) {
			continue
		}
		if e.fails > 0 {
			if now < e.until || e.trial {
				continue
			}
			if back == nil {
				back = e
			}
			continue
		}
		if now < e.busy || e.inflight >= p.cap(e) {
			continue
		}
		// Noise keeps nodes that think alike from choosing alike.
		c := p.cost(now, e) * (0.85 + 0.3*rnd())
		if best == nil || c < bestCost {
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
	}
	return best
}

// last is the choice when every endpoint is ejected: the one whose time is up
// first, so that a service whose endpoints all failed once is tried again.
func (p *Pool) last(now time.Duration, skip func(*Endpoint) bool) *Endpoint {
	var best *Endpoint
	for _, e := range p.all {
		if e.Draining || e.fails == 0 || e.trial || (skip != nil && skip(e)) {
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

// Done takes a request's outcome: took is its time over what its route
// usually takes, or 0 if that says nothing.
func (p *Pool) Done(now time.Duration, e *Endpoint, ok bool, took float64) {
	e.inflight--
	e.trial = false
	if !ok {
		e.fails++
		wait := p.cfg.EjectBase << min(e.fails-1, 6)
		e.until = now + min(wait, p.cfg.EjectMost)
		return
	}
	e.fails = 0
	if took > 0 && now >= e.cold {
		e.samples++
		a := max(0.06, 1/float64(e.samples+4))
		e.slow += a * (min(took, 4) - e.slow)
	}
}
