package loadbalance_test

import (
	"math/rand"
	"testing"
	"time"

	"lichentray/loadbalance"
)

// TestRetryBudgetHoldsInEveryWindowOverAllNodes checks that the extra attempts of all nodes
// within any window never exceed ratio times the requests plus the slack, whatever the nodes
// do. The reference model of RetryBudget.TryWithdraw is the list of arrivals.
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
		var arrivals []arrival
		rate := 1 + r.Intn(30)
		for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
			if r.Intn(400) == 0 {
				rate = 1 + r.Intn(30)
			}
			for range r.Intn(rate) {
				b := nodes[r.Intn(len(nodes))]
				b.Deposit()
				arrivals = append(arrivals, arrival{now, false})
				for r.Intn(2) == 0 && b.TryWithdraw() {
					arrivals = append(arrivals, arrival{now, true})
				}
			}
		}
		from, requests, extra := 0, 0.0, 0.0
		hasRetried := false
		for _, a := range arrivals {
			if a.extra {
				extra++
				hasRetried = true
			} else {
				requests++
			}
			for arrivals[from].at <= a.at-window {
				if arrivals[from].extra {
					extra--
				} else {
					requests--
				}
				from++
			}
			if a.extra && extra > ratio*requests+slack {
				t.Fatalf("seed %d: %v extra attempts for %v requests in the window ending at %v", seed, extra, requests, a.at)
			}
		}
		if !hasRetried {
			t.Errorf("seed %d: no extra attempts were made", seed)
		}
	}
}
