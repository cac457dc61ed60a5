package rollout_test

import (
	"fmt"
	"testing"

	"lichentray/rollout"
)

// BenchmarkAnalyze measures one analysis of a rollout: adding up the evidence of all
// control-plane nodes, and the test. The leader does this four times per second.
func BenchmarkAnalyze(b *testing.B) {
	for _, routes := range []int{3, 100} {
		one := rollout.Evidence{}
		for r := range routes {
			for e := range 20 {
				one.Add(rollout.Evidence{fmt.Sprint("r", r): rollout.NewTargetCounts(fmt.Sprint("i-", e), rollout.Counts{Answers: 10, Timed: 10, Slow: e % 3})})
			}
			one.Add(rollout.Evidence{fmt.Sprint("r", r): rollout.NewBaseCounts(rollout.Counts{Answers: 900, Timed: 900, Slow: 9})})
		}
		b.Run(fmt.Sprint(routes, " routes, 24 nodes"), func(b *testing.B) {
			analyzer := rollout.NewAnalyzer()
			for b.Loop() {
				sum := rollout.Evidence{}
				for range 24 {
					sum.Add(one)
				}
				analyzer.Analyze(sum, 20)
			}
		})
	}
}
