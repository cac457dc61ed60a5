package loadbalance

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// BenchmarkPick measures the cost of selecting one of 1000 endpoints for a request.
func BenchmarkPick(b *testing.B) {
	p := NewPool(PoolConfig{Zone: "zone-0", BaseEjectionTime: time.Second, MaxEjectionTime: 6 * time.Second, ZoneBias: 0.6, RegionBias: 1.5})
	for i := range 1000 {
		p.Upsert(0, EndpointSpec{ID: fmt.Sprint("i-", i), Zone: fmt.Sprint("zone-", i%7), Capacity: 3}, 0)
	}
	rnd := rand.New(rand.NewSource(1))
	for b.Loop() {
		p.SlotsAndInflight(time.Second)
		p.Finish(time.Second, p.Pick(time.Second, rnd.Float64, nil), true, 1)
	}
}
