package loadbalance_test

import (
	"math/rand"
	"testing"
	"time"

	"lichentray/loadbalance"
)

// Whatever the nodes do, the extra attempts of all of them within any window stay
// within ratio times the requests plus the slack. The plain model mirrors
// RetryBudget.TryWithdraw: it is the list of arrivals.
func TestRetryBudgetHoldsInEveryWindowOverAllNodes(t *testing.T) {
	const window, ratio, slack = 10 * time.Second, 0.2, 64.0
	for seed := int64(0); seed < 12; seed++ {
		r := rand.New(rand.NewSource(seed))
		nodes := make([]*loadbalance.RetryBudget, 1+r.Intn(16))
		for i := range nodes {
			nodes[i] = loadbalance.NewRetryBudget(ratio, slack/float64(len(nodes)))
		}
		type arrival struct {
			at    time.Duration
			extra bool
		}
		var all []arrival
		rate := 1 + r.Intn(30)
		for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
			if r.Intn(400) == 0 {
				rate = 1 + r.Intn(30)
			}
			for range r.Intn(rate) {
				b := nodes[r.Intn(len(nodes))]
				b.Deposit()
				all = append(all, arrival{now, false})
				for r.Intn(2) == 0 && b.TryWithdraw() {
					all = append(all, arrival{now, true})
				}
			}
		}
		from, requests, extra := 0, 0.0, 0.0
		spent := false
		for _, a := range all {
			if a.extra {
				extra++
				spent = true
			} else {
				requests++
			}
			for all[from].at <= a.at-window {
				if all[from].extra {
					extra--
				} else {
					requests--
				}
				from++
			}
			if a.extra && extra > ratio*requests+slack {
				t.Fatalf("seed %d: %v extra attempts for %v requests in the window that ends at %v", seed, extra, requests, a.at)
			}
		}
		if !spent {
			t.Errorf("seed %d: no extra attempt was ever made", seed)
		}
	}
}
