package raft

import (
	"cmp"
	"slices"
)

// isMajority reports whether count is more than half of this many voters.
func isMajority(count, voters int) bool { return count > voters/2 }

// majorityValue returns the largest value that a majority of the voters has reached:
// own at this node, valueOf the progress of the others, zero at a voter of which nothing
// is known. Without voters it returns zero.
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
