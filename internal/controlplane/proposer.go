package controlplane

import (
	"time"

	"lichentray/coordination"
	"lichentray/internal/apierror"
	"lichentray/internal/transport"
	"lichentray/raft"
	"lichentray/registry"
)

// ErrNotLeader is returned by a call that only the leader executes if this node is not the
// leader. It is of kind Unavailable: nothing was executed.
var ErrNotLeader = apierror.New(apierror.Unavailable, "this node does not lead")

// proposer executes commands and linearizable reads through the leader, whichever node that is,
// and returns the outcome to callers. Operations that wait may be called from any goroutine
// except the event loop.
type proposer struct {
	*environment
	loop      *eventLoop
	peers     *peerPool
	state     *sharedState
	consensus *consensusView
}

// outcome is the outcome of a proposal or a read that the event loop started.
type outcome struct {
	result registry.Result
	// readIndex is the log index that must be applied before a read.
	readIndex uint64
	err       error
}

// startFunc starts a request on the event loop. It returns the address of the leader: this
// node's own address if the request was started and its outcome will be sent to done, or an
// empty string if no leader accepts it now.
type startFunc func(state *loopState, done chan<- outcome) (leaderAddr string)

// callTarget is the leader to which a request is sent.
type callTarget struct {
	addr string
	// leaderChanged is closed when another node becomes leader, or none.
	leaderChanged <-chan struct{}
}

// leaderCall is a request that only the leader executes, either this node or the node to which
// the request is forwarded. All methods except start run in the goroutine of the caller.
type leaderCall interface {
	start(state *loopState, done chan<- outcome) (leaderAddr string)
	// request returns the request to forward to a leader on another node, and the
	// maximum time to wait for its response.
	request(remaining time.Duration) (*transport.Request, time.Duration)
	// finishLocal records the outcome on this node and reports whether it is final.
	finishLocal(o outcome) (isFinal bool)
	// finishForwarded records the response of a leader on another node and reports whether it
	// is final. If err is not nil there is no response, and mayHaveArrived reports whether the
	// leader may have received the request.
	finishForwarded(response *transport.Response, mayHaveArrived bool, err error) (isFinal bool)
}

// callLeader executes a call at the leader, or at the next leader if the first one does not
// answer, until its outcome is final. It returns false if there is no time for another attempt.
// It returns errStopping, without having started the last attempt, if the node closes.
func (p *proposer) callLeader(call leaderCall, deadline time.Time) (isFinal bool, err error) {
	for {
		target, local, err := p.attemptLocal(call.start, deadline)
		switch {
		case err != nil:
			return false, err
		case target.addr == p.self.Addr:
			isFinal = call.finishLocal(local)
		case target.addr != "":
			request, timeout := call.request(time.Until(deadline))
			isFinal = call.finishForwarded(p.peers.call(target, request, timeout))
		}
		if isFinal {
			return true, nil
		}
		if !p.waitToRetry(deadline) {
			return false, nil
		}
	}
}

// attemptLocal starts a request on the event loop and, if this node leads, waits for its
// outcome. The outcome is valid only if the target is this node.
func (p *proposer) attemptLocal(start startFunc, deadline time.Time) (callTarget, outcome, error) {
	done := make(chan outcome, 1)
	target, err := callLoop(p.loop, func(state *loopState) callTarget {
		addr := start(state, done)
		return callTarget{addr: addr, leaderChanged: state.leaderChanged}
	})
	if err != nil || target.addr != p.self.Addr {
		return target, outcome{}, err
	}
	return target, p.awaitOutcome(done, target.leaderChanged, deadline), nil
}

// awaitOutcome waits for the outcome of a request that this node started as the leader. If it
// loses the leadership, the log of the next leader usually determines the outcome within an
// election timeout.
func (p *proposer) awaitOutcome(done <-chan outcome, leaderChanged <-chan struct{}, deadline time.Time) outcome {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		select {
		case o := <-done:
			return o
		case <-leaderChanged:
			leaderChanged = nil
			timer.Reset(min(time.Until(deadline), p.timing.ElectionTimeout))
		case <-timer.C:
			return outcome{err: apierror.New(apierror.UnknownOutcome, "no majority in time")}
		case <-p.ctx.Done():
			return outcome{err: apierror.New(apierror.UnknownOutcome, "node is stopping")}
		}
	}
}

// waitToRetry waits for a tick before the next attempt of a call. It returns false immediately
// if too little time is left, or if this node has been without quorum contact for so long that
// the caller should ask another node.
func (p *proposer) waitToRetry(deadline time.Time) bool {
	if time.Until(deadline) < p.timing.RequestTimeout/2 {
		return false
	}
	if p.consensus.sinceLastContact() > p.timing.callRejectionDelay() {
		return false
	}
	p.sleep(p.timing.TickInterval)
	return true
}

// handleAsLeader executes a request of a peer or of this node itself without forwarding it.
func (p *proposer) handleAsLeader(id uint64, start startFunc) *transport.Response {
	target, o, err := p.attemptLocal(start, time.Now().Add(p.timing.RequestTimeout))
	if err != nil || target.addr != p.self.Addr {
		return errorResponse(id, ErrNotLeader)
	}
	if apierror.KindOf(o.err) == apierror.UnknownOutcome {
		p.metrics.proposalsUnknown.Inc()
	}
	if o.err != nil {
		return errorResponse(id, o.err)
	}
	return &transport.Response{ID: id, Result: o.result, Index: o.readIndex}
}

// propose executes a command through the log within RequestTimeout, see Node.Propose.
func (p *proposer) propose(cmd registry.Command) (registry.Result, error) {
	call := &proposalCall{proposer: p, cmd: cmd}
	return call.finalResult(p.callLeader(call, time.Now().Add(p.timing.RequestTimeout)))
}

// proposalCall is a leaderCall that executes a command through the log.
type proposalCall struct {
	proposer *proposer
	cmd      registry.Command
	encoded  []byte // nil until the command is first forwarded

	result registry.Result
	err    error
	// mayBeApplied is set once an attempt has ended with an unknown outcome.
	mayBeApplied bool
}

// finalResult returns the result to the caller after callLeader has ended. Unavailable
// guarantees that the command is not applied and never will be, so it is returned only if no
// attempt can have applied the command. This also holds if the node closes before another
// attempt.
func (c *proposalCall) finalResult(isFinal bool, err error) (registry.Result, error) {
	switch {
	case isFinal:
		return c.result, c.err
	case c.mayBeApplied:
		c.proposer.metrics.proposalsUnknown.Inc()
		return registry.Result{}, apierror.New(apierror.UnknownOutcome, "the leader did not answer")
	case err != nil:
		return registry.Result{}, err
	}
	return registry.Result{}, apierror.New(apierror.Unavailable, "no leader")
}

func (c *proposalCall) start(state *loopState, done chan<- outcome) string {
	return c.proposer.startProposal(state, c.cmd, done)
}

func (c *proposalCall) request(remaining time.Duration) (*transport.Request, time.Duration) {
	if c.encoded == nil {
		c.encoded = registry.EncodeCommand(c.cmd)
	}
	return &transport.Request{Command: c.encoded}, remaining
}

func (c *proposalCall) finishLocal(o outcome) bool {
	c.result = o.result
	c.err = o.err
	if apierror.KindOf(o.err) == apierror.UnknownOutcome {
		c.proposer.metrics.proposalsUnknown.Inc()
	}
	return o.err == nil || apierror.KindOf(o.err) != apierror.Unavailable
}

func (c *proposalCall) finishForwarded(response *transport.Response, mayHaveArrived bool, err error) bool {
	if err != nil {
		c.mayBeApplied = c.mayBeApplied || mayHaveArrived
		return false
	}
	if !response.Failed {
		c.result = response.Result
		c.err = nil
		return true
	}
	switch response.Kind {
	case apierror.Unavailable:
		return false
	case apierror.UnknownOutcome:
		c.mayBeApplied = true
		return false
	}
	c.result = registry.Result{}
	c.err = &apierror.Error{Kind: response.Kind, Detail: response.Detail}
	return true
}

// readIndex waits until this node's state holds everything that was acknowledged before the
// call, see Node.ReadIndex.
func (p *proposer) readIndex(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	call := &readIndexCall{proposer: p}
	isFinal, err := p.callLeader(call, deadline)
	if err != nil {
		return err
	}
	if !isFinal {
		return apierror.New(apierror.Unavailable, "no confirmed read point")
	}
	return p.state.waitApplied(call.index, time.Until(deadline))
}

// readIndexCall is a leaderCall that requests a confirmed read index (Ongaro, section 6.4).
type readIndexCall struct {
	proposer *proposer
	index    uint64
}

func (c *readIndexCall) start(state *loopState, done chan<- outcome) string {
	return c.proposer.startReadIndex(state, done)
}

func (c *readIndexCall) request(remaining time.Duration) (*transport.Request, time.Duration) {
	return &transport.Request{Read: true}, min(remaining, c.proposer.timing.RequestTimeout)
}

func (c *readIndexCall) finishLocal(o outcome) bool {
	if o.err != nil {
		c.proposer.metrics.readsUnconfirmed.Inc()
		return false
	}
	c.index = o.readIndex
	return true
}

func (c *readIndexCall) finishForwarded(response *transport.Response, _ bool, err error) bool {
	if err != nil || response.Failed {
		return false
	}
	c.index = response.Index
	return true
}

// maxTransactionAttempts is the maximum number of times that transact builds a transaction,
// which it does again if an object that the transaction depends on has changed.
const maxTransactionAttempts = 6

// transact builds a conditional transaction from this node's state and executes it; after a
// conflict it reads the state again and builds a new one. buildTxn runs with the state locked
// for writing, as it may compile the configuration, and returns nil if there is nothing to
// write.
func (p *proposer) transact(buildTxn func(*replicatedState) (*registry.Txn, error)) (wrote bool, err error) {
	for range maxTransactionAttempts {
		var txn *registry.Txn
		p.state.update(func(r *replicatedState) { txn, err = buildTxn(r) })
		if txn == nil || err != nil {
			return false, err
		}
		result, err := p.propose(registry.Command{Txn: txn})
		if err != nil {
			return false, err
		}
		if !result.Conflict {
			return true, nil
		}
		if err := p.readIndex(p.timing.RequestTimeout); err != nil {
			return false, err
		}
	}
	return false, apierror.New(apierror.Unavailable, "the object changes too often")
}

// startProposal appends a command to the log if this node leads.
func (p *proposer) startProposal(state *loopState, cmd registry.Command, done chan<- outcome) string {
	if !state.isLeader() {
		return p.peers.addrOf(state.raft.LeaderID())
	}
	if !state.membership.planner.acceptsProposals(state.raft, p.now()) {
		p.metrics.proposalsDeferred.Inc()
		return ""
	}
	if cmd.Coordination != nil {
		prepared, decision := p.prepareCoordination(state, cmd.Coordination)
		switch decision {
		case coordination.Defer:
			return ""
		case coordination.AnswerOK:
			p.metrics.releasesWithheld.Inc()
			done <- outcome{}
			return p.self.Addr
		}
		cmd.Coordination = prepared
	}
	index, term, ok := state.raft.Propose(registry.EncodeCommand(cmd))
	if !ok {
		return ""
	}
	if cmd.Coordination != nil {
		state.leases.Proposed(index, cmd.Coordination)
	}
	p.metrics.proposals.Inc()
	state.requests.addProposal(index, term, done)
	return p.self.Addr
}

// prepareCoordination decides how the leader handles a coordination command.
func (p *proposer) prepareCoordination(state *loopState, cmd *coordination.Command) (*coordination.Command, coordination.Decision) {
	if cmd.Operation == coordination.ReleaseLock && !state.raft.HasAppliedInTerm() {
		return cmd, coordination.Defer
	}
	state.leases.StartTerm(state.raft.Term())
	locks := p.state.onLoop(state).store.Coordination().Locks
	return state.leases.Prepare(p.now(), cmd, locks)
}

// startReadIndex requests a confirmed read index from consensus if this node leads.
func (p *proposer) startReadIndex(state *loopState, done chan<- outcome) string {
	if !state.isLeader() {
		return p.peers.addrOf(state.raft.LeaderID())
	}
	state.raft.ReadIndex(state.requests.addRead(done))
	return p.self.Addr
}

// pendingRequests are the proposals and reads that this node started as the leader and whose
// outcome is not known yet, see loopState. The caller may have stopped waiting, so each done
// channel must accept one outcome without blocking.
type pendingRequests struct {
	proposals  map[uint64]pendingProposal // by log index
	reads      map[uint64]chan<- outcome  // by request ID
	lastReadID uint64
}

type pendingProposal struct {
	term uint64
	done chan<- outcome
}

func newPendingRequests() pendingRequests {
	return pendingRequests{
		proposals: map[uint64]pendingProposal{},
		reads:     map[uint64]chan<- outcome{},
	}
}

func (p *pendingRequests) addProposal(index, term uint64, done chan<- outcome) {
	p.proposals[index] = pendingProposal{term: term, done: done}
}

func (p *pendingRequests) addRead(done chan<- outcome) (id uint64) {
	p.lastReadID++
	p.reads[p.lastReadID] = done
	return p.lastReadID
}

// resolveEntry returns the result of an entry to its proposer if that is on this node.
// isDurable reports whether the entry survives the losses that the fault tolerance names.
func (p *pendingRequests) resolveEntry(entry raft.Entry, result registry.Result, isDurable bool) {
	proposal, isPending := p.proposals[entry.Index]
	if !isPending {
		return
	}
	delete(p.proposals, entry.Index)
	if proposal.term != entry.Term {
		// Another entry was committed at this index, so the command is never applied.
		proposal.done <- outcome{err: apierror.New(apierror.Unavailable, "leadership changed")}
		return
	}
	if !isDurable {
		proposal.done <- outcome{err: apierror.New(apierror.UnknownOutcome, "votes are moving to members with a disk")}
		return
	}
	proposal.done <- outcome{result: result}
}

// resolveRead returns the read index to a reader, or ErrNotLeader if this node lost the
// leadership.
func (p *pendingRequests) resolveRead(read raft.ReadState) {
	done, isPending := p.reads[read.RequestID]
	if !isPending {
		return
	}
	delete(p.reads, read.RequestID)
	o := outcome{readIndex: read.Index, result: registry.Result{Revision: read.Index}}
	if !read.Confirmed {
		o.err = ErrNotLeader
	}
	done <- o
}

// failThrough fails the proposals up to the index of an installed snapshot with an unknown
// outcome: the snapshot may or may not include them.
func (p *pendingRequests) failThrough(index uint64) {
	for i, proposal := range p.proposals {
		if i <= index {
			delete(p.proposals, i)
			proposal.done <- outcome{err: apierror.New(apierror.UnknownOutcome, "replaced by a snapshot")}
		}
	}
}
