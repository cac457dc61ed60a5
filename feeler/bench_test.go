package feeler_test

import (
	"fmt"
	"testing"

	"lichentray/feeler"
)

// BenchmarkSee is one judgement of a roll-out by its routes, as the leader makes it
// four times a second, with the sum over the core's nodes.
func BenchmarkSee(b *testing.B) {
	for _, routes := range []int{3, 100} {
		one := feeler.Evidence{}
		for r := range routes {
			for e := range 20 {
				one.Add(feeler.Evidence{fmt.Sprint("r", r): feeler.OfTarget(fmt.Sprint("i-", e), feeler.Count{Answers: 10, Timed: 10, Slow: e % 3})})
			}
			one.Add(feeler.Evidence{fmt.Sprint("r", r): feeler.OfBase(feeler.Count{Answers: 900, Timed: 900, Slow: 9})})
		}
		b.Run(fmt.Sprint(routes, " routes, 24 nodes"), func(b *testing.B) {
			j := feeler.NewJudge()
			for b.Loop() {
				sum := feeler.Evidence{}
				for range 24 {
					sum.Add(one)
				}
				j.See(sum, 20)
			}
		})
	}
}
