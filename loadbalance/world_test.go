package loadbalance_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"lichentray/loadbalance"
)

// TestColdEndpointOverNodes: nodes that are cut off, frozen or started anew, a
// granter that changes, and answers that come late: in no second does a cold
// endpoint get more than its bound. The model is the plain list of arrivals.
func TestQuotaBoundsRequestsToWarmingEndpoint(t *testing.T) {
	const lasts = 4 * time.Second
	for seed := int64(0); seed < 12; seed++ {
		r := rand.New(rand.NewSource(seed))
		rate := 3 + 8*r.Float64()
		bound := 0.9 * (1.5*rate + 8)
		type node struct {
			name   string
			pool   *loadbalance.Pool
			sent   map[int]time.Duration // reports by sequence
			seq    int
			frozen time.Duration
			cut    time.Duration
		}
		fresh := func(name string) *node {
			p := loadbalance.NewPool(loadbalance.PoolConfig{Zone: "a", BaseEjectionTime: time.Second, MaxEjectionTime: time.Second})
			p.SetWarmupRate(rate)
			p.Upsert(0, loadbalance.EndpointSpec{ID: "e", Zone: "a", Capacity: 100, WarmingUp: true}, 0)
			return &node{name: name, pool: p, sent: map[int]time.Duration{}}
		}
		var nodes []*node
		for i := range 3 + r.Intn(12) {
			nodes = append(nodes, fresh(fmt.Sprint("n", i)))
		}
		g := loadbalance.NewQuotaAllocator(0, lasts)
		type late struct {
			at     time.Duration
			to     *node
			seq    int
			grants []loadbalance.Grant
		}
		var post []late
		var arrivals []time.Duration
		for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
			if now%(500*time.Millisecond) == 0 {
				if r.Intn(40) == 0 {
					g = loadbalance.NewQuotaAllocator(now, lasts) // another leads now
				}
				told := map[string]*node{}
				var near []string
				for _, n := range nodes {
					if now < n.frozen || now < n.cut {
						continue
					}
					n.seq++
					n.sent[n.seq] = now
					told[n.name] = n
					near = append(near, n.name)
				}
				for name, grants := range g.Allocate(now, []loadbalance.WarmingEndpoint{{ID: "e", Rate: rate, MaxPerSecond: bound, Proxies: near}}) {
					n := told[name]
					post = append(post, late{now + time.Duration(r.Intn(2500))*time.Millisecond, n, n.seq, grants})
				}
			}
			for i, n := range nodes {
				switch r.Intn(3000) {
				case 0:
					n.frozen = now + time.Duration(r.Intn(8000))*time.Millisecond
				case 1:
					n.cut = now + time.Duration(r.Intn(8000))*time.Millisecond
				case 2:
					nodes[i] = fresh(n.name)
				}
			}
			keep := post[:0]
			for _, l := range post {
				if now < l.at || now < l.to.frozen {
					keep = append(keep, l)
					continue
				}
				if now >= l.to.cut {
					for _, x := range l.grants {
						l.to.pool.ApplyGrant(now, x, l.to.sent[l.seq]+lasts)
					}
				}
			}
			post = keep
			for _, n := range nodes { // all of them press
				for now >= n.frozen && n.pool.Pick(now, r.Float64, nil) != nil {
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

// TestEmptiedZone: nothing goes to an evacuated zone, not even when all else is
// ejected, and to one taken back only what is granted.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	p := loadbalance.NewPool(loadbalance.PoolConfig{Zone: "a", BaseEjectionTime: time.Second, MaxEjectionTime: time.Second})
	p.SetWarmupRate(5)
	p.SetZoneState("a", loadbalance.ZoneEvacuated)
	for i, zone := range []string{"a", "a", "b"} {
		p.Upsert(0, loadbalance.EndpointSpec{ID: fmt.Sprint(i), Zone: zone, Capacity: 4, RegionIndex: 0}, 0)
	}
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		if e := p.Pick(now, rand.Float64, nil); e != nil {
			if e.Zone == "a" {
				t.Fatal("a request went to an evacuated zone")
			}
			p.Finish(now, e, false, 0)
		}
	}
	p.SetZoneState("a", loadbalance.ZoneReturning)
	for range 50 {
		if e := p.Pick(30*time.Second, rand.Float64, nil); e != nil && e.Zone == "a" {
			t.Fatal("a request went to an endpoint that may be cold, without a grant")
		}
	}
	p.ApplyGrant(30*time.Second, loadbalance.Grant{Endpoint: "0", Rate: 5}, 40*time.Second)
	n := 0
	for now := 30 * time.Second; now < 42*time.Second; now += 10 * time.Millisecond {
		if e := p.Pick(now, rand.Float64, func(e *loadbalance.Endpoint) bool { return e.ID == "2" }); e != nil {
			n++
			p.Finish(now, e, true, 1)
		}
	}
	if n < 40 || n > 52 {
		t.Errorf("%d requests under a grant of 5 a second for 10 s", n)
	}
}

// TestDirect: clients are sent to their zone by what its nodes can carry, are
// told the same again, and are told of others when the zone is short.
func TestSelectProxiesByZoneAndWeight(t *testing.T) {
	region := func(zone string) string { return zone[:1] }
	var all []loadbalance.ProxyNode
	for _, zone := range []string{"a1", "a2", "b1"} {
		for i := range 9 {
			w := 4.0
			if i == 0 {
				w = 100
			}
			all = append(all, loadbalance.ProxyNode{Address: fmt.Sprint(zone, "-", i), Zone: zone, Weight: w})
		}
	}
	load := map[string]float64{}
	for c := range 4000 {
		out := loadbalance.SelectProxies(all, fmt.Sprint("client", c), "a1", "a", region, 64)
		if again := loadbalance.SelectProxies(all, fmt.Sprint("client", c), "a1", "a", region, 64); fmt.Sprint(again) != fmt.Sprint(out) || len(out) < 2 {
			t.Fatalf("told %v, then %v", out, again)
		}
		for _, a := range out {
			load[a] += 1 / float64(len(out))
		}
	}
	if strong, weak := load["a1-0"]/4000, load["a1-5"]/4000; strong < 0.35 || strong > 0.6 || weak < 0.04 || weak > 0.1 || len(load) != 9 {
		t.Errorf("the strong node gets %.2f, a weak one %.2f, of %d nodes", strong, weak, len(load))
	}
	for i := range 9 {
		all[i].Draining = i != 3
	}
	for _, c := range []struct{ zone, region, in string }{{"a1", "a", "a"}, {"zz", "b", "b"}, {"zz", "z", "ab"}} {
		for _, a := range loadbalance.SelectProxies(all, "k", c.zone, c.region, region, 64) {
			if a[0] != c.in[0] && a[0] != c.in[len(c.in)-1] {
				t.Errorf("a client of %v was sent to %s", c, a)
			}
		}
	}
	if out := loadbalance.SelectProxies(all[:2], "k", "a1", "a", region, 64); len(out) != 2 {
		t.Errorf("where all leave, %v are named", out)
	}
}

// TestJudge: a slow endpoint and one that fails at several nodes are told of; one
// node's own trouble condemns nobody, and never is more than a part condemned.
func TestOutlierDetectorVerdicts(t *testing.T) {
	j := loadbalance.NewOutlierDetector(time.Second)
	ids := make([]string, 20)
	for i := range ids {
		ids[i] = fmt.Sprint("e", i)
	}
	for step := range 20 {
		seen := map[string]loadbalance.Observation{}
		for _, id := range ids {
			seen[id] = loadbalance.Observation{Answers: 4, Times: 4}
		}
		seen["e1"] = loadbalance.Observation{Answers: 4, Times: 12}
		seen["e2"] = loadbalance.Observation{Answers: 4, Times: 4, Bad: 4, Nodes: 3}
		if step == 19 {
			seen["e3"] = loadbalance.Observation{Answers: 1, Times: 1, Bad: 6, Nodes: 1}
		}
		j.Observe(seen)
		j.Verdicts(time.Duration(step)*400*time.Millisecond, nil)
	}
	got := map[string]loadbalance.Verdict{}
	for _, v := range j.Verdicts(20*400*time.Millisecond, map[string][]string{"s": ids}) {
		got[v.Endpoint] = v
	}
	if !got["e2"].Sick || got["e1"].Sick || got["e3"].Sick || got["e1"].Pace < 70 || got["e1"].Pace > 100 || len(got) != 2 {
		t.Errorf("verdicts %v", got)
	}
	seen := map[string]loadbalance.Observation{}
	for _, id := range ids {
		seen[id] = loadbalance.Observation{Bad: 20, Nodes: 5}
	}
	j.Observe(seen)
	n := 0
	for _, v := range j.Verdicts(9*time.Second, map[string][]string{"s": ids}) {
		if v.Sick {
			n++
		}
	}
	if n == 0 || n > len(ids)/5 {
		t.Errorf("%d of %d endpoints condemned", n, len(ids))
	}
}

// TestManyNodesDoNotCrowd: with many nodes of which each has little in hand, no
// endpoint gets far more than the others, though some are faster.
func TestManyNodesDoNotOverloadFastEndpoints(t *testing.T) {
	r := rand.New(rand.NewSource(5))
	pools := make([]*loadbalance.Pool, 60)
	for i := range pools {
		pools[i] = loadbalance.NewPool(loadbalance.PoolConfig{Zone: "a", BaseEjectionTime: time.Second, MaxEjectionTime: time.Second})
		for k := range 40 {
			pools[i].Upsert(0, loadbalance.EndpointSpec{ID: fmt.Sprint(k), Zone: "a", Capacity: 4}, 0)
		}
		verdicts := map[string]loadbalance.Verdict{}
		for k := range 10 {
			verdicts[fmt.Sprint(k)] = loadbalance.Verdict{Endpoint: fmt.Sprint(k), Pace: 24}
		}
		pools[i].SetVerdicts(time.Hour, verdicts)
	}
	got := map[string]int{}
	const n = 24000
	for i := range n {
		p := pools[r.Intn(len(pools))]
		now := time.Duration(i) * time.Millisecond
		e := p.Pick(now, r.Float64, nil)
		got[e.ID]++
		p.Finish(now, e, true, 1)
	}
	for id, k := range got {
		if mean := n / 40; k > 2*mean || k < mean/3 {
			t.Errorf("endpoint %s got %d requests, the mean is %d", id, k, mean)
		}
	}
}
