package raft

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
	sure := majority(n, n.seq, func(p *progress) uint64 { return p.context })
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
