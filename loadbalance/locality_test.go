package loadbalance_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"lichentray/loadbalance"
)

// TestEvacuatedZoneGetsNoRequests checks that an evacuated zone gets no requests, not even
// while all other endpoints are ejected, and that a returning zone gets only as many as are
// granted.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	p := loadbalance.NewPool(loadbalance.PoolConfig{Zone: "a", BaseEjectionTime: time.Second, MaxEjectionTime: time.Second})
	p.SetWarmUpRate(5)
	p.SetZoneState("a", loadbalance.ZoneEvacuated)
	for i, zone := range []string{"a", "a", "b"} {
		p.Upsert(0, loadbalance.EndpointSpec{ID: fmt.Sprint(i), Zone: zone, Capacity: 4, RegionIndex: 0}, 0)
	}
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		if e := p.Pick(now, rand.Float64, nil); e != nil {
			if e.Zone == "a" {
				t.Fatal("Pick returned an endpoint in an evacuated zone")
			}
			p.Finish(now, e, false, 0)
		}
	}
	p.SetZoneState("a", loadbalance.ZoneReturning)
	for range 50 {
		if e := p.Pick(30*time.Second, rand.Float64, nil); e != nil && e.Zone == "a" {
			t.Fatal("Pick returned an endpoint in a returning zone without a grant")
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
		t.Errorf("%d requests under a grant of 5 per second for 10 s, want 40 to 52", n)
	}
}

// TestSelectProxiesByZoneAndWeight checks that clients are distributed over the nodes of their
// zone by weight, get the same nodes on every call, and get nodes of other zones if their zone
// is underprovisioned.
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
			t.Fatalf("SelectProxies = %v, then %v; want the same nodes, at least 2", out, again)
		}
		for _, a := range out {
			load[a] += 1 / float64(len(out))
		}
	}
	if strong, weak := load["a1-0"]/4000, load["a1-5"]/4000; strong < 0.35 || strong > 0.6 || weak < 0.04 || weak > 0.1 || len(load) != 9 {
		t.Errorf("the strong node gets %.2f of the load and a weak one %.2f, over %d nodes", strong, weak, len(load))
	}
	for i := range 9 {
		all[i].Draining = i != 3
	}
	for _, c := range []struct{ zone, region, in string }{{"a1", "a", "a"}, {"zz", "b", "b"}, {"zz", "z", "ab"}} {
		for _, a := range loadbalance.SelectProxies(all, "k", c.zone, c.region, region, 64) {
			if a[0] != c.in[0] && a[0] != c.in[len(c.in)-1] {
				t.Errorf("a client of %v got proxy %s", c, a)
			}
		}
	}
	if out := loadbalance.SelectProxies(all[:2], "k", "a1", "a", region, 64); len(out) != 2 {
		t.Errorf("SelectProxies = %v while all nodes drain, want 2 nodes", out)
	}
}
