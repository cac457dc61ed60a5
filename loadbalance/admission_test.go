package loadbalance_test

import (
	"math/rand"
	"testing"
	"time"

	"lichentray/loadbalance"
)

// TestAdmissionLimitsAddUpToSlots checks that under saturation the limits of all nodes add up
// to about the number of slots, whatever their loads, and that there is no limit below
// saturation or with an expired total load.
func TestAdmissionLimitsAddUpToSlots(t *testing.T) {
	for seed := int64(0); seed < 30; seed++ {
		r := rand.New(rand.NewSource(seed))
		n, slots := 1+r.Intn(20), 20+r.Intn(300)
		nodes := make([]*loadbalance.AdmissionLimiter, n)
		var sum loadbalance.Load
		for i := range nodes {
			nodes[i] = loadbalance.NewAdmissionLimiter(2 * time.Second)
			l := loadbalance.Load{Rate: 1 + 200*r.Float64(), Inflight: 2 * float64(slots) / float64(n) * r.Float64()}
			for range 30 {
				nodes[i].Observe(l)
			}
			sum = sum.Add(nodes[i].OwnLoad())
		}
		sum.Inflight = max(sum.Inflight, 1.4*float64(slots))
		total := 0
		for _, a := range nodes {
			a.SetTotalLoad(time.Second, sum)
			limit, on := a.Limit(2*time.Second, slots)
			if !on || limit < 1 {
				t.Fatalf("seed %d: no limit under saturation, want one", seed)
			}
			total += limit
		}
		if total < slots || total > slots*5/4+n {
			t.Errorf("seed %d: the limits of %d nodes for %d slots add up to %d", seed, n, slots, total)
		}
		for _, a := range nodes {
			if _, on := a.Limit(4*time.Second, slots); on {
				t.Fatal("limited by an expired total load")
			}
			a.SetTotalLoad(5*time.Second, loadbalance.Load{Rate: sum.Rate, Inflight: 0.5 * float64(slots)})
			if _, on := a.Limit(5*time.Second, slots); on {
				t.Fatal("limited while half of the slots are free")
			}
		}
	}
}
