package loadbalance_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"lichentray/loadbalance"
)

// TestBudgetOverNodes: whatever the nodes do, in every window the extra
// arrivals of all of them stay within ratio x requests + slack.
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
				t.Fatalf("seed %d: %v extra arrivals for %v requests in the window that ends at %v", seed, extra, requests, a.at)
			}
		}
		if !spent {
			t.Errorf("seed %d: nothing was ever tried again", seed)
		}
	}
}

func newTestPool(n int) *loadbalance.Pool {
	p := loadbalance.NewPool(loadbalance.PoolConfig{Zone: "a", BaseEjectionTime: time.Second, MaxEjectionTime: 8 * time.Second, ZoneBias: 0.25})
	for i := range n {
		p.Upsert(0, loadbalance.EndpointSpec{ID: fmt.Sprint(i), Zone: "a", Capacity: 2}, 0)
	}
	return p
}

// TestPickAgainstPlainModel: the endpoint picked never drains, is never ejected
// while another can serve, and is never one that was tried.
func TestPickMatchesPlainModel(t *testing.T) {
	r := rand.New(rand.NewSource(3))
	p := newTestPool(8)
	draining, until := map[string]bool{}, map[string]time.Duration{}
	var out []*loadbalance.Endpoint
	for step := range 20000 {
		now := time.Duration(step) * 5 * time.Millisecond
		if r.Intn(200) == 0 {
			id := fmt.Sprint(r.Intn(8))
			draining[id] = !draining[id] && len(draining) < 3
			p.Upsert(now, loadbalance.EndpointSpec{ID: id, Zone: "a", Capacity: 2, Draining: draining[id]}, 0)
		}
		tried := map[*loadbalance.Endpoint]bool{}
		if r.Intn(3) == 0 && len(out) > 0 {
			tried[out[r.Intn(len(out))]] = true
		}
		e := p.Pick(now, r.Float64, func(e *loadbalance.Endpoint) bool { return tried[e] })
		if e != nil {
			if draining[e.ID] || tried[e] {
				t.Fatalf("picked %s: draining %v, tried %v", e.ID, draining[e.ID], tried[e])
			}
			if now < until[e.ID] {
				for _, x := range p.Endpoints() {
					if !draining[x.ID] && !tried[x] && now >= until[x.ID] && x.Inflight() == 0 && !x.IsEjected(now) {
						if _, failed := until[x.ID]; !failed {
							t.Fatalf("picked %s, ejected until %v at %v, though %s was free", e.ID, until[e.ID], now, x.ID)
						}
					}
				}
			}
			out = append(out, e)
		}
		for len(out) > r.Intn(20) {
			e := out[0]
			out = out[1:]
			ok := r.Intn(30) > 0
			p.Finish(now, e, ok, 1)
			if ok {
				delete(until, e.ID)
			} else {
				until[e.ID] = now + time.Second
			}
		}
	}
}

// TestBackByOneTrial: after its time an ejected endpoint gets one request, not
// a flood, until that has succeeded.
func TestEjectedEndpointReturnsByOneProbe(t *testing.T) {
	p := newTestPool(2)
	rnd := func() float64 { return 0.1 }
	bad := p.Endpoints()[0]
	for {
		e := p.Pick(0, rnd, nil)
		if e == bad {
			p.Finish(0, e, false, 0)
			break
		}
		p.Finish(0, e, true, 1)
	}
	n := 0
	for range 10 {
		if p.Pick(2*time.Second, rnd, nil) == bad {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d requests went to an endpoint on trial", n)
	}
}

// TestConnectionsShared: nodes together keep inside an endpoint's connections.
func TestPeersStayWithinMaxConnections(t *testing.T) {
	p := newTestPool(1)
	p.SetMaxConnections(12)
	p.SetPeerCount(6)
	n := 0
	for p.Pick(0, rand.Float64, nil) != nil {
		n++
	}
	if n*6 > 12 {
		t.Errorf("%d requests a node at once, 6 nodes, 12 connections", n)
	}
}

// TestSharesAddUp: under saturation the nodes' limits together are the slots,
// whatever their loads; below it, or with an old sum, nobody is limited.
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
				t.Fatalf("seed %d: no limit under saturation", seed)
			}
			total += limit
		}
		if total < slots || total > slots*5/4+n {
			t.Errorf("seed %d: %d nodes share %d slots as %d", seed, n, slots, total)
		}
		for _, a := range nodes {
			if _, on := a.Limit(4*time.Second, slots); on {
				t.Fatal("an old sum still limits")
			}
			a.SetTotalLoad(5*time.Second, loadbalance.Load{Rate: sum.Rate, Inflight: 0.5 * float64(slots)})
			if _, on := a.Limit(5*time.Second, slots); on {
				t.Fatal("limited although half of the slots are free")
			}
		}
	}
}
