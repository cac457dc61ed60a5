package raft

import (
	"cmp"
	"slices"
)

// isMajority reports whether count is more than half of the number of voters.
func isMajority(count, voters int) bool { return count > voters/2 }

// majorityValue returns the largest value that a majority of the voters has reached. The
// value of this node is own, that of another voter valueOf its progress, or zero if it has
// no progress. Without voters the result is zero.
func majorityValue[T cmp.Ordered](n *Node, own T, valueOf func(*progress) T) T {
	voters := n.Membership().Voters
	if len(voters) == 0 {
		var zero T
		return zero
	}
	values := make([]T, len(voters))
	for i, m := range voters {
		if m.ID == n.config.ID {
			values[i] = own
		} else if p := n.progress[m.ID]; p != nil {
			values[i] = valueOf(p)
		}
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
