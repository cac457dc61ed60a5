package loadbalance

import "time"

// Load is the load that one node, or all nodes together, put on a service. The names
// of its fields are those of the wire format.
type Load struct {
	Rate     float64 // requests per second that arrive, with the rejected ones
	Inflight float64 // mean number of requests in flight at endpoints
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{Rate: l.Rate + other.Rate, Inflight: l.Inflight + other.Inflight}
}

// AdmissionLimiter is one node's share of a service's slots while all nodes together
// ask for more than there are (coordinated concurrency limit).
//
// A node sees only its own requests. So nodes that each fill what looks free to them
// fill the queues of the endpoints together, and every request is late. With the total
// of all loads, each node keeps to its share: the slots times its part of the arrivals.
// Below saturation, or when the total is too old, nothing is limited. It is not safe
// for concurrent use.
type AdmissionLimiter struct {
	totalValidity time.Duration // how long a total may be used
	totalReceived time.Duration // when total was set
	total         Load
	own           Load // smoothed
	limiting      bool
}

const (
	// The limit begins when the endpoints hold enterUtilization times what they work
	// on at once, and ends at leaveUtilization.
	enterUtilization = 1.3
	leaveUtilization = 0.9
	// oversubscription scales the slots that are divided among the nodes. The short queue
	// at the endpoints absorbs the excess, and keeps them busy while the loads that the
	// nodes have reported are out of date.
	oversubscription = 1.15
	// loadGain is the weight of a new observation in the smoothed load.
	loadGain = 0.4
)

// NewAdmissionLimiter returns a limiter that limits nothing yet. totalValidity is how
// long a total load may be used.
func NewAdmissionLimiter(totalValidity time.Duration) *AdmissionLimiter {
	return &AdmissionLimiter{totalValidity: totalValidity}
}

// Observe takes this node's load since the last call into its smoothed load.
func (a *AdmissionLimiter) Observe(l Load) {
	a.own.Rate += loadGain * (l.Rate - a.own.Rate)
	a.own.Inflight += loadGain * (l.Inflight - a.own.Inflight)
}

// OwnLoad returns this node's smoothed load.
func (a *AdmissionLimiter) OwnLoad() Load { return a.own }

// SetTotalLoad sets the total load of all nodes.
func (a *AdmissionLimiter) SetTotalLoad(now time.Duration, total Load) {
	a.totalReceived = now
	a.total = total
}

// Limit returns how many requests this node may have in flight at endpoints with the
// given number of slots in all, and whether there is a limit.
func (a *AdmissionLimiter) Limit(now time.Duration, slots int) (limit int, isLimited bool) {
	a.limiting = a.isSaturated(now, slots)
	if !a.limiting {
		return 0, false
	}
	share := a.own.Rate / max(a.total.Rate, a.own.Rate)
	return max(1, int(oversubscription*float64(slots)*share+0.5)), true
}

// isSaturated reports whether the nodes ask for more than there is, with hysteresis.
func (a *AdmissionLimiter) isSaturated(now time.Duration, slots int) bool {
	if a.total.Rate <= 0 || now-a.totalReceived > a.totalValidity || slots == 0 {
		return false
	}
	threshold := enterUtilization
	if a.limiting {
		threshold = leaveUtilization
	}
	return a.total.Inflight/float64(slots) > threshold
}
