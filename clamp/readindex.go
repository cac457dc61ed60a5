package clamp

import (
	"sort"
)

// Confirmed read points (ReadIndex).

type pendingRead struct {
	context uint64
	seq     uint64
	index   uint64
}

func (n *Node) dropReads() {
	for _, r := range n.reads {
		n.done = append(n.done, Read{Context: r.context})
	}
	for _, context := range n.early {
		n.done = append(n.done, Read{Context: context})
	}
	n.reads, n.early = nil, nil
}

// ReadIndex asks for a confirmed read point. It comes out of Ready in Reads. At a
// leader that has not committed in its term yet it waits until that is done.
func (n *Node) ReadIndex(context uint64) {
	switch {
	case n.role != Leader:
		n.done = append(n.done, Read{Context: context})
	case n.commit < n.termStart:
		n.early = append(n.early, context)
	case len(n.Members().Voters) == 1:
		n.done = append(n.done, Read{Context: context, Index: n.commit, OK: true})
	default:
		n.reads = append(n.reads, pendingRead{context, n.seq + 1, n.commit})
	}
}

// askEarly asks for the read points that came before the leader had committed in its
// term.
func (n *Node) askEarly() {
	if len(n.early) == 0 || n.commit < n.termStart {
		return
	}
	early := n.early
	n.early = nil
	for _, context := range early {
		n.ReadIndex(context)
	}
}

func (n *Node) releaseReads() {
	voters := n.Members().Voters
	got := make([]uint64, 0, len(voters))
	for _, m := range voters {
		if m.ID == n.cfg.ID {
			got = append(got, n.seq)
		} else if p := n.peers[m.ID]; p != nil {
			got = append(got, p.context)
		} else {
			got = append(got, 0)
		}
	}
	sort.Slice(got, func(i, j int) bool { return got[i] > got[j] })
	sure := got[len(voters)/2]
	keep := n.reads[:0]
	for _, r := range n.reads {
		if r.seq <= sure {
			n.done = append(n.done, Read{Context: r.context, Index: r.index, OK: true})
		} else {
			keep = append(keep, r)
		}
	}
	n.reads = keep
}
