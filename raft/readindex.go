package raft

// Confirmed read points (ReadIndex).

type pendingRead struct {
	requestID uint64
	round     uint64
	readIndex uint64
}

func (n *Node) rejectPendingReads() {
	for _, r := range n.pendingReads {
		n.readStates = append(n.readStates, ReadState{RequestID: r.requestID})
	}
	for _, context := range n.deferredReads {
		n.readStates = append(n.readStates, ReadState{RequestID: context})
	}
	n.pendingReads, n.deferredReads = nil, nil
}

// ReadIndex asks for a confirmed read point. It comes out of Ready in Reads. At a
// leader that has not committed in its term yet it waits until that is done.
func (n *Node) ReadIndex(context uint64) {
	switch {
	case n.role != Leader:
		n.readStates = append(n.readStates, ReadState{RequestID: context})
	case n.commitIndex < n.termStartIndex:
		n.deferredReads = append(n.deferredReads, context)
	case len(n.Membership().Voters) == 1:
		n.readStates = append(n.readStates, ReadState{RequestID: context, Index: n.commitIndex, Confirmed: true})
	default:
		n.pendingReads = append(n.pendingReads, pendingRead{context, n.readRound + 1, n.commitIndex})
	}
}

// startDeferredReads asks for the read points that came before the leader had committed in its
// term.
func (n *Node) startDeferredReads() {
	if len(n.deferredReads) == 0 || n.commitIndex < n.termStartIndex {
		return
	}
	early := n.deferredReads
	n.deferredReads = nil
	for _, context := range early {
		n.ReadIndex(context)
	}
}

func (n *Node) confirmReads() {
	sure := majorityValue(n, n.readRound, func(p *progress) uint64 { return p.ackedReadRound })
	keep := n.pendingReads[:0]
	for _, r := range n.pendingReads {
		if r.round <= sure {
			n.readStates = append(n.readStates, ReadState{RequestID: r.requestID, Index: r.readIndex, Confirmed: true})
		} else {
			keep = append(keep, r)
		}
	}
	n.pendingReads = keep
}
