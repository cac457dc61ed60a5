package loadbalance_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"lichentray/loadbalance"
)

// Nodes are partitioned, freeze or restart, the allocator is replaced, and grants arrive
// late: in no second does an endpoint that warms up get more than its bound. The plain
// model mirrors QuotaAllocator.Allocate and Pool.ApplyGrant: it is the list of arrivals.
func TestQuotaBoundsRequestsToWarmingEndpoint(t *testing.T) {
	const leaseDuration = 4 * time.Second
	for seed := int64(0); seed < 12; seed++ {
		r := rand.New(rand.NewSource(seed))
		rate := 3 + 8*r.Float64()
		bound := 0.9 * (1.5*rate + 8)
		type node struct {
			name             string
			pool             *loadbalance.Pool
			reportedAt       map[int]time.Duration // by sequence
			seq              int
			frozenUntil      time.Duration
			partitionedUntil time.Duration
		}
		newNode := func(name string) *node {
			p := loadbalance.NewPool(loadbalance.PoolConfig{Zone: "a", BaseEjectionTime: time.Second, MaxEjectionTime: time.Second})
			p.SetWarmupRate(rate)
			p.Upsert(0, loadbalance.EndpointSpec{ID: "e", Zone: "a", Capacity: 100, WarmingUp: true}, 0)
			return &node{name: name, pool: p, reportedAt: map[int]time.Duration{}}
		}
		var nodes []*node
		for i := range 3 + r.Intn(12) {
			nodes = append(nodes, newNode(fmt.Sprint("n", i)))
		}
		g := loadbalance.NewQuotaAllocator(0, leaseDuration)
		type delayedGrants struct {
			at     time.Duration
			to     *node
			seq    int
			grants []loadbalance.Grant
		}
		var inTransit []delayedGrants
		var arrivals []time.Duration
		for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
			if now%(500*time.Millisecond) == 0 {
				if r.Intn(40) == 0 {
					g = loadbalance.NewQuotaAllocator(now, leaseDuration) // another leads now
				}
				reporting := map[string]*node{}
				var proxies []string
				for _, n := range nodes {
					if now < n.frozenUntil || now < n.partitionedUntil {
						continue
					}
					n.seq++
					n.reportedAt[n.seq] = now
					reporting[n.name] = n
					proxies = append(proxies, n.name)
				}
				for name, grants := range g.Allocate(now, []loadbalance.WarmingEndpoint{{ID: "e", Rate: rate, MaxPerSecond: bound, Proxies: proxies}}) {
					n := reporting[name]
					inTransit = append(inTransit, delayedGrants{now + time.Duration(r.Intn(2500))*time.Millisecond, n, n.seq, grants})
				}
			}
			for i, n := range nodes {
				switch r.Intn(3000) {
				case 0:
					n.frozenUntil = now + time.Duration(r.Intn(8000))*time.Millisecond
				case 1:
					n.partitionedUntil = now + time.Duration(r.Intn(8000))*time.Millisecond
				case 2:
					nodes[i] = newNode(n.name)
				}
			}
			keep := inTransit[:0]
			for _, l := range inTransit {
				if now < l.at || now < l.to.frozenUntil {
					keep = append(keep, l)
					continue
				}
				if now >= l.to.partitionedUntil {
					for _, x := range l.grants {
						l.to.pool.ApplyGrant(now, x, l.to.reportedAt[l.seq]+leaseDuration)
					}
				}
			}
			inTransit = keep
			for _, n := range nodes { // every node sends all it may
				for now >= n.frozenUntil && n.pool.Pick(now, r.Float64, nil) != nil {
					arrivals = append(arrivals, now)
				}
			}
		}
		from := 0
		for i, at := range arrivals {
			for arrivals[from] <= at-time.Second {
				from++
			}
			if n := i - from + 1; float64(n) > 1.5*rate+8 {
				t.Fatalf("seed %d: %d requests in the second up to %v, %.1f allowed", seed, n, at, 1.5*rate+8)
			}
		}
		if float64(len(arrivals)) < rate*10 {
			t.Errorf("seed %d: only %d requests in a minute, it bears %.1f a second", seed, len(arrivals), rate)
		}
	}
}
