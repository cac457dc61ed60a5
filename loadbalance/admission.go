package loadbalance

import "time"

// Load is the load that one node, or all nodes together, put on a service. The field names
// are part of the wire format.
type Load struct {
	Rate     float64 // arriving requests per second, including rejected ones
	Inflight float64 // mean number of requests in flight at endpoints
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{Rate: l.Rate + other.Rate, Inflight: l.Inflight + other.Inflight}
}

// AdmissionLimiter limits one node to its share of a service's slots while the nodes
// together demand more slots than exist (coordinated concurrency limit).
//
// A node sees only its own requests. Nodes that each use every slot that looks free to them
// would together fill the queues of the endpoints and delay every request. Knowing the total
// load, each node limits itself to the slots times its fraction of the arrivals. Below
// saturation, or when the total is out of date, there is no limit. An AdmissionLimiter is
// not safe for concurrent use.
type AdmissionLimiter struct {
	totalTTL        time.Duration
	totalReceivedAt time.Duration
	total           Load
	own             Load // exponentially smoothed
	limiting        bool
}

const (
	// The limit takes effect when the requests in flight exceed enterUtilization times the
	// slots, and is lifted at leaveUtilization (hysteresis).
	enterUtilization = 1.3
	leaveUtilization = 0.9
	// oversubscription scales the slots that are divided among the nodes. The excess waits
	// in the short queues of the endpoints, which keeps the endpoints busy while the
	// reported loads lag behind.
	oversubscription = 1.15
	// loadSmoothingFactor is the weight of a new sample in the smoothed load.
	loadSmoothingFactor = 0.4
)

// NewAdmissionLimiter returns a limiter without a total load, which imposes no limit. A
// total load expires totalTTL after it was set.
func NewAdmissionLimiter(totalTTL time.Duration) *AdmissionLimiter {
	return &AdmissionLimiter{totalTTL: totalTTL}
}

// Observe adds a sample, this node's load since the last call, to the smoothed load.
func (a *AdmissionLimiter) Observe(l Load) {
	a.own.Rate += loadSmoothingFactor * (l.Rate - a.own.Rate)
	a.own.Inflight += loadSmoothingFactor * (l.Inflight - a.own.Inflight)
}

// OwnLoad returns this node's smoothed load.
func (a *AdmissionLimiter) OwnLoad() Load { return a.own }

// SetTotalLoad sets the load of all nodes together.
func (a *AdmissionLimiter) SetTotalLoad(now time.Duration, total Load) {
	a.totalReceivedAt = now
	a.total = total
}

// Limit returns how many requests this node may have in flight at endpoints that have the
// given number of slots together, and whether there is a limit.
func (a *AdmissionLimiter) Limit(now time.Duration, slots int) (limit int, isLimited bool) {
	a.limiting = a.isSaturated(now, slots)
	if !a.limiting {
		return 0, false
	}
	share := a.own.Rate / max(a.total.Rate, a.own.Rate)
	return max(1, int(oversubscription*float64(slots)*share+0.5)), true
}

// isSaturated reports, with hysteresis, whether the nodes together demand more slots than
// exist. Without a current total it returns false.
func (a *AdmissionLimiter) isSaturated(now time.Duration, slots int) bool {
	if a.total.Rate <= 0 || now-a.totalReceivedAt > a.totalTTL || slots == 0 {
		return false
	}
	threshold := enterUtilization
	if a.limiting {
		threshold = leaveUtilization
	}
	return a.total.Inflight/float64(slots) > threshold
}
