package raft

// Linearizable reads without log entries (ReadIndex; thesis, section 6.4).

// ReadState is the result of a call to ReadIndex.
type ReadState struct {
	RequestID uint64 // as given to ReadIndex
	// Index is the read index: a state machine that has applied all entries up to it
	// may serve the read.
	Index uint64
	// Confirmed is false if this node is not the leader, or lost its leadership before a
	// majority confirmed it. Index is then meaningless.
	Confirmed bool
}

// readOnly holds the read requests of a leader.
type readOnly struct {
	round    uint64        // number of the latest heartbeat round
	pending  []pendingRead // in the order of their rounds
	deferred []uint64      // IDs of requests that wait for the first commit in the leader's term
	states   []ReadState   // results for the next Ready
}

// pendingRead waits until a majority has responded to a heartbeat of its round.
type pendingRead struct {
	requestID uint64
	round     uint64
	readIndex uint64
}

// needsHeartbeatRound reports whether a read waits for a heartbeat round that has not
// started.
func (r *readOnly) needsHeartbeatRound() bool {
	return len(r.pending) > 0 && r.pending[len(r.pending)-1].round > r.round
}

func (r *readOnly) reject(requestID uint64) {
	r.states = append(r.states, ReadState{RequestID: requestID})
}

func (r *readOnly) confirm(requestID, index uint64) {
	r.states = append(r.states, ReadState{RequestID: requestID, Index: index, Confirmed: true})
}

// ReadIndex requests a read index, which a later Ready returns in ReadStates with this
// requestID, after a majority has confirmed that this node is still the leader. A leader
// that has not committed an entry of its term yet defers the request until it has, as it
// does not know the commit index before. All reads requested between two calls to Ready
// share a heartbeat round.
func (n *Node) ReadIndex(requestID uint64) {
	switch {
	case n.role != Leader:
		n.reads.reject(requestID)
	case !n.hasCommittedInTerm():
		n.reads.deferred = append(n.reads.deferred, requestID)
	case len(n.Membership().Voters) == 1:
		n.reads.confirm(requestID, n.log.commitIndex)
	default:
		n.reads.pending = append(n.reads.pending, pendingRead{
			requestID: requestID,
			round:     n.reads.round + 1,
			readIndex: n.log.commitIndex,
		})
	}
}

// startDeferredReads starts the deferred reads once the leader has committed an entry of
// its term.
func (n *Node) startDeferredReads() {
	if len(n.reads.deferred) == 0 || !n.hasCommittedInTerm() {
		return
	}
	deferred := n.reads.deferred
	n.reads.deferred = nil
	for _, requestID := range deferred {
		n.ReadIndex(requestID)
	}
}

// confirmReads confirms the reads whose heartbeat round a majority has responded to.
func (n *Node) confirmReads() {
	confirmedRound := majorityValue(n, n.reads.round, func(p *progress) uint64 { return p.ackedReadRound })
	waiting := n.reads.pending[:0]
	for _, r := range n.reads.pending {
		if r.round <= confirmedRound {
			n.reads.confirm(r.requestID, r.readIndex)
		} else {
			waiting = append(waiting, r)
		}
	}
	n.reads.pending = waiting
}

// rejectPendingReads rejects all outstanding reads of a leader that steps down.
func (n *Node) rejectPendingReads() {
	for _, r := range n.reads.pending {
		n.reads.reject(r.requestID)
	}
	for _, requestID := range n.reads.deferred {
		n.reads.reject(requestID)
	}
	n.reads.pending = nil
	n.reads.deferred = nil
}
