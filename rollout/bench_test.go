package rollout_test

import (
	"fmt"
	"testing"

	"lichentray/rollout"
)

// BenchmarkSee is one judgement of a roll-out by its routes, as the leader makes it
// four times a second, with the sum over the core's nodes.
func BenchmarkSee(b *testing.B) {
	for _, routes := range []int{3, 100} {
		one := rollout.Evidence{}
		for r := range routes {
			for e := range 20 {
				one.Add(rollout.Evidence{fmt.Sprint("r", r): rollout.OfTarget(fmt.Sprint("i-", e), rollout.Count{Answers: 10, Timed: 10, Slow: e % 3})})
			}
			one.Add(rollout.Evidence{fmt.Sprint("r", r): rollout.OfBase(rollout.Count{Answers: 900, Timed: 900, Slow: 9})})
		}
		b.Run(fmt.Sprint(routes, " routes, 24 nodes"), func(b *testing.B) {
			j := rollout.NewJudge()
			for b.Loop() {
				sum := rollout.Evidence{}
				for range 24 {
					sum.Add(one)
				}
				j.See(sum, 20)
			}
		})
	}
}
