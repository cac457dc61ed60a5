package loadbalance

import "time"

// Load is what one node, or all nodes together, ask of a service.
type Load struct {
	Rate     float64 // requests that arrive a second, refused ones too
	Inflight float64 // requests at endpoints, on the mean
}

// Add sums loads.
func (l Load) Add(o Load) Load { return Load{l.Rate + o.Rate, l.Inflight + o.Inflight} }

// Admission is one node's share of a service's slots while all nodes together
// ask for more than there are (coordinated concurrency limit).
//
// A node sees only its own requests, so nodes that each fill what looks free to
// them fill the endpoints' queues together, and everybody is late. Told the sum
// of all loads, each keeps to its share: the slots x its part of the arrivals.
// Below saturation, or when the sum is old, nothing is limited.
type Admission struct {
	fresh time.Duration // how long a sum holds
	at    time.Duration
	sum   Load
	own   Load
	on    bool
}

// The limit sets in when the endpoints hold enter times what they work on at
// once, ends at leave, and shares out spread times the slots: a short queue at
// the endpoints evens out what the nodes do not know of one another.
const (
	enter  = 1.3
	leave  = 0.9
	spread = 1.15
)

// NewAdmission makes a share that limits nothing yet; a sum holds for fresh.
func NewAdmission(fresh time.Duration) *Admission { return &Admission{fresh: fresh} }

// Observe takes this node's load over the last span. It is smoothed.
func (a *Admission) Observe(l Load) {
	a.own.Rate += 0.4 * (l.Rate - a.own.Rate)
	a.own.Inflight += 0.4 * (l.Inflight - a.own.Inflight)
}

// Own is this node's smoothed load.
func (a *Admission) Own() Load { return a.own }

// Told takes the sum over all nodes.
func (a *Admission) Told(now time.Duration, sum Load) { a.at, a.sum = now, sum }

// Limit is how many requests this node may have at endpoints that have slots
// in all, and whether there is a limit at all.
func (a *Admission) Limit(now time.Duration, slots int) (int, bool) {
	if a.sum.Rate <= 0 || now-a.at > a.fresh || slots == 0 {
		a.on = false
		return 0, false
	}
	used := a.sum.Inflight / float64(slots)
	if a.on {
		a.on = used > leave
	} else {
		a.on = used > enter
	}
	if !a.on {
		return 0, false
	}
	share := a.own.Rate / max(a.sum.Rate, a.own.Rate)
	return max(1, int(spread*float64(slots)*share+0.5)), true
}
