package loadbalance

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// BenchmarkPick is what one request costs a proxy among a thousand endpoints.
func BenchmarkPick(b *testing.B) {
	p := NewPool(Config{Zone: "zone-0", EjectBase: time.Second, EjectMost: 6 * time.Second, Bias: 0.6, RegionBias: 1.5})
	for i := range 1000 {
		p.Set(0, Spec{ID: fmt.Sprint("i-", i), Zone: fmt.Sprint("zone-", i%7), Capacity: 3}, 0)
	}
	rnd := rand.New(rand.NewSource(1))
	for b.Loop() {
		p.Slots(time.Second)
		p.Done(time.Second, p.Pick(time.Second, rnd.Float64, nil), true, 1)
	}
}
