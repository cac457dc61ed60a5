package loadbalance_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"lichentray/loadbalance"
)

// TestQuotaBoundsRequestsToWarmingEndpoint checks that an endpoint that warms up never gets
// more requests in one second than its limit, while nodes are partitioned, freeze or restart,
// the allocator is replaced, and grants arrive late. The reference model of
// QuotaAllocator.Allocate and Pool.ApplyGrant is the list of arrivals.
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
			p.SetWarmUpRate(rate)
			p.Upsert(0, loadbalance.EndpointSpec{ID: "e", Zone: "a", Capacity: 100, WarmingUp: true}, 0)
			return &node{name: name, pool: p, reportedAt: map[int]time.Duration{}}
		}
		var nodes []*node
		for i := range 3 + r.Intn(12) {
			nodes = append(nodes, newNode(fmt.Sprint("n", i)))
		}
		allocator := loadbalance.NewQuotaAllocator(0, leaseDuration)
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
					allocator = loadbalance.NewQuotaAllocator(now, leaseDuration) // leader change
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
				for name, grants := range allocator.Allocate(now, []loadbalance.WarmingEndpoint{{ID: "e", Rate: rate, MaxPerSecond: bound, Proxies: proxies}}) {
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
			undelivered := inTransit[:0]
			for _, message := range inTransit {
				if now < message.at || now < message.to.frozenUntil {
					undelivered = append(undelivered, message)
					continue
				}
				if now >= message.to.partitionedUntil {
					for _, grant := range message.grants {
						message.to.pool.ApplyGrant(now, grant, message.to.reportedAt[message.seq]+leaseDuration)
					}
				}
			}
			inTransit = undelivered
			for _, n := range nodes { // every node sends as much as it may
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
				t.Fatalf("seed %d: %d requests in the second ending at %v, want at most %.1f", seed, n, at, 1.5*rate+8)
			}
		}
		if float64(len(arrivals)) < rate*10 {
			t.Errorf("seed %d: only %d requests in a minute to an endpoint that can serve %.1f per second", seed, len(arrivals), rate)
		}
	}
}
