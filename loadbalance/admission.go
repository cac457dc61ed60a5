package loadbalance

import "time"

// Load is what one node, or all nodes together, ask of a service.
type Load struct {
	Rate     float64 // requests that arrive a second, refused ones too
	Inflight float64 // requests at endpoints, on the mean
}

// Add sums loads.
func (l Load) Add(o Load) Load { return Load{l.Rate + o.Rate, l.Inflight + o.Inflight} }

// AdmissionLimiter is one node's share of a service's slots while all nodes together
// ask for more than there are (coordinated concurrency limit).
//
// A node sees only its own requests, so nodes that each fill what looks free to
// them fill the endpoints' queues together, and everybody is late. Told the sum
// of all loads, each keeps to its share: the slots x its part of the arrivals.
// Below saturation, or when the sum is old, nothing is limited.
type AdmissionLimiter struct {
	loadValidity  time.Duration // how long a sum holds
	totalReceived time.Duration
	total         Load
	own           Load
	limiting      bool
}

// The limit sets in when the endpoints hold enter times what they work on at
// once, ends at leave, and shares out spread times the slots: a short queue at
// the endpoints evens out what the nodes do not know of one another.
const (
	enterUtilization = 1.3
	leaveUtilization = 0.9
	oversubscription = 1.15
)

// NewAdmissionLimiter makes a share that limits nothing yet; a sum holds for fresh.
func NewAdmissionLimiter(fresh time.Duration) *AdmissionLimiter {
	return &AdmissionLimiter{loadValidity: fresh}
}

// Observe takes this node's load over the last span. It is smoothed.
func (a *AdmissionLimiter) Observe(l Load) {
	a.own.Rate += 0.4 * (l.Rate - a.own.Rate)
	a.own.Inflight += 0.4 * (l.Inflight - a.own.Inflight)
}

// OwnLoad is this node's smoothed load.
func (a *AdmissionLimiter) OwnLoad() Load { return a.own }

// SetTotalLoad takes the sum over all nodes.
func (a *AdmissionLimiter) SetTotalLoad(now time.Duration, sum Load) {
	a.totalReceived, a.total = now, sum
}

// Limit is how many requests this node may have at endpoints that have slots
// in all, and whether there is a limit at all.
func (a *AdmissionLimiter) Limit(now time.Duration, slots int) (int, bool) {
	if a.total.Rate <= 0 || now-a.totalReceived > a.loadValidity || slots == 0 {
		a.limiting = false
		return 0, false
	}
	used := a.total.Inflight / float64(slots)
	if a.limiting {
		a.limiting = used > leaveUtilization
	} else {
		a.limiting = used > enterUtilization
	}
	if !a.limiting {
		return 0, false
	}
	share := a.own.Rate / max(a.total.Rate, a.own.Rate)
	return max(1, int(oversubscription*float64(slots)*share+0.5)), true
}
