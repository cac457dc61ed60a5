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
	n.reads = nil
}

// ReadIndex asks for a confirmed read point. It comes out of Ready in Reads.
func (n *Node) ReadIndex(context uint64) {
	if n.role != Leader || n.commit < n.termStart {
		n.done = append(n.done, Read{Context: context})
		return
	}
	if len(n.Members().Voters) == 1 {
		n.done = append(n.done, Read{Context: context, Index: n.commit, OK: true})
		return
	}
	n.reads = append(n.reads, pendingRead{context, n.seq + 1, n.commit})
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
