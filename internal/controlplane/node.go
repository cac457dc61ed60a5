package controlplane

import (
	"net"

	"lichentray/coordination"
	"lichentray/internal/discovery"
	"lichentray/raft"
	"lichentray/registry"
)

// Node is a running control-plane node. It connects the components listed in the package
// comment and drives them from the event loop.
type Node struct {
	*environment
	loop      *eventLoop
	state     *sharedState
	consensus *consensusView
	peers     *peerPool
	writer    *logWriter
	proposer  *proposer
	server    *connectionServer
	watches   *watchServer
	announcer *discovery.Announcer

	membership  *membershipManager
	health      *healthMonitor
	rollouts    *rolloutController
	directory   *proxyDirectory
	evacuations *zoneEvacuator
	configs     *configurationStore
	groups      *groupWatchers
	audit       *auditSink
	quotas      *quotaAllocator
	reports     *reportAggregator
	history     *historyCompactor
}

// run starts the node's goroutines.
func (n *Node) run(listener net.Listener, state *loopState) {
	n.start(func() { n.server.acceptConnections(listener) })
	n.start(n.writer.run)
	n.start(func() { n.announcer.Run(n.ctx) })
	n.start(func() { n.loop.run(state, n.tick, n.processReady) })
}

// Close stops the node immediately and releases its store and port. It waits for all of the
// node's goroutines to end. Calls in flight return an error.
func (n *Node) Close() { n.close() }

// JoinRejected is closed when the group has permanently rejected this node because the node
// keeps its log in memory while other members have disks. The caller should then close the
// node.
func (n *Node) JoinRejected() <-chan struct{} { return n.membership.joinRejected }

// tick advances the clock of consensus and runs the periodic tasks that are due.
func (n *Node) tick(state *loopState) {
	state.raft.Tick(n.now())
	n.runPeriodicTasks(state)
}

// periodicTaskHeartbeats is the number of heartbeat intervals between two rounds of periodic
// tasks.
const periodicTaskHeartbeats = 4

// runPeriodicTasks runs the periodic tasks that are due. Some run only on the leader.
func (n *Node) runPeriodicTasks(state *loopState) {
	now := n.now()
	n.membership.adjust(state, now)
	if now-state.periodicTasksAt < periodicTaskHeartbeats*n.timing.HeartbeatInterval {
		return
	}
	state.periodicTasksAt = now
	n.publishConsensus(state) // the node may have become leader in this tick
	n.history.record(state, now)
	n.health.reportHeartbeats(state, now)
	n.reports.exchange(state, now)
	if !state.isLeader() {
		n.membership.joinIfNeeded(state, now)
		return
	}
	n.health.checkLiveness(state, now)
	n.directory.expire(state, now)
	n.evacuations.finishReturns(state, now)
	n.rollouts.advance(state, now)
	n.history.compact(state, now)
}

// processReady processes the output of consensus until there is none left.
func (n *Node) processReady(state *loopState) {
	for {
		ready := state.raft.Ready()
		n.publishConsensus(state)
		if isReadyEmpty(&ready) {
			return
		}
		n.peers.sendMessages(ready.Messages)
		if ready.Write != nil {
			n.writer.submit(writeRequest{
				hardState:         ready.Write.HardState,
				installedSnapshot: ready.Write.Snapshot,
				entries:           ready.Write.Entries,
				sendAfterSync:     ready.Write.MessagesAfterAppend,
			})
		}
		if ready.SnapshotToInstall != nil {
			n.installSnapshot(state, ready.SnapshotToInstall)
		}
		for _, entry := range ready.CommittedEntries {
			n.applyEntry(state, entry)
		}
		for _, read := range ready.ReadStates {
			state.requests.resolveRead(read)
		}
		if snapshot := state.snapshots.compactIfNeeded(state.raft, n.state.onLoop(state).store); snapshot != nil {
			n.writer.submit(writeRequest{compactedSnapshot: snapshot})
		}
	}
}

// isReadyEmpty reports whether there is nothing to process. SnapshotToInstall needs no check
// because it always comes with a Write.
func isReadyEmpty(ready *raft.Ready) bool {
	return len(ready.Messages) == 0 && ready.Write == nil &&
		len(ready.CommittedEntries) == 0 && len(ready.ReadStates) == 0
}

// publishConsensus handles a change of role, leader or membership and publishes the consensus
// state to the other goroutines.
func (n *Node) publishConsensus(state *loopState) {
	role := state.raft.Role()
	leaderID := state.raft.LeaderID()
	if role != state.role || leaderID != state.leaderID {
		n.changeLeader(state, role, leaderID)
	}
	if index := state.raft.MembershipIndex(); index != state.membershipIndex {
		state.membershipIndex = index
		n.peers.setMembership(state.raft.Membership())
	}
	n.consensus.publish(consensusStatus{
		role:        role,
		leaderAddr:  n.peers.addrOf(leaderID),
		lastContact: state.raft.LastQuorumContact(),
		membership:  state.raft.Membership(),
	})
}

// changeLeader handles a change of role or leader, and notifies the callers that wait for a
// response from the previous leader.
func (n *Node) changeLeader(state *loopState, role raft.Role, leaderID uint64) {
	close(state.leaderChanged)
	state.leaderChanged = make(chan struct{})
	isElected := role == raft.Leader && state.role != raft.Leader
	isDeposed := role != raft.Leader && state.role == raft.Leader
	followsAnother := role != raft.Leader && leaderID != state.leaderID && leaderID != 0
	switch {
	case isElected:
		n.becomeLeader(state)
	case isDeposed || followsAnother:
		leader := "none"
		if leaderID != 0 {
			leader = formatMemberID(leaderID)
		}
		n.logger.Info("following", "term", state.raft.Term(), "leader", leader)
	}
	state.role = role
	state.leaderID = leaderID
}

// becomeLeader resets the leader state that each component kept from an earlier term of this
// node as leader.
func (n *Node) becomeLeader(state *loopState) {
	now := n.now()
	state.leaderSince = now
	n.health.becomeLeader(state)
	n.reports.becomeLeader(state)
	n.directory.becomeLeader(state)
	n.evacuations.becomeLeader(state)
	n.rollouts.becomeLeader(state)
	n.quotas.becomeLeader(state, now)
	n.metrics.elections.Inc()
	n.logger.Info("leading", "term", state.raft.Term())
}

// applyEntry applies a committed entry and returns its result to the proposer if that is on
// this node.
func (n *Node) applyEntry(state *loopState, entry raft.Entry) {
	var result registry.Result
	switch {
	case entry.Type == raft.EntryNormal && len(entry.Data) > 0:
		result = n.applyCommand(state, entry)
	case entry.Type == raft.EntryConfChange:
		n.membership.recordChange(state, entry.Index)
	}
	state.snapshots.countEntry(entry)
	n.metrics.appliedIndex.Set(int64(entry.Index))
	n.state.setAppliedIndex(entry.Index)
	// A member with a disk may have joined after the entry was proposed.
	isDurable := state.membership.planner.acceptsProposals(state.raft, n.now())
	state.requests.resolveEntry(entry, result, isDurable)
}

func (n *Node) applyCommand(state *loopState, entry raft.Entry) registry.Result {
	cmd, err := registry.DecodeCommand(entry.Data)
	if err != nil {
		// Every replica skips the entry, so the replicas stay identical.
		n.logger.Error("log entry cannot be decoded", "index", entry.Index, "error", err)
		return registry.Result{}
	}
	now := n.now()
	result, events := n.state.applyCommand(now, cmd)
	n.rollouts.discardEnded(state, events)
	if c := cmd.Coordination; c != nil {
		locks := n.state.onLoop(state).store.Coordination().Locks
		if !state.leases.Update(now, entry.Index, c, result.Latch, locks) {
			n.metrics.reacquiredLocksReleased.Inc()
			n.logger.Error("lock released although its holder had reacquired it", "lock", c.Name, "holder", c.Holder, "fence", c.FencingToken)
		}
		if c.Operation == coordination.AcquireLock && result.Latch.Fence != result.Latch.Grant {
			n.metrics.lockReacquisitions.Inc()
		}
		if c.Operation == coordination.PutCell {
			n.groups.wake(coordination.GroupOf(c.Name))
		}
	}
	return result
}

// installSnapshot replaces the replicated state with the one received from the leader.
func (n *Node) installSnapshot(state *loopState, snapshot *raft.Snapshot) {
	n.state.replaceStore(state.snapshots.takeReceived(), snapshot.Index)
	state.leases.Restart(n.now(), n.state.onLoop(state).store.Coordination().Locks)
	n.rollouts.discardAllEnded(state)
	n.groups.wakeAll()
	state.requests.failThrough(snapshot.Index)
	n.logger.Info("snapshot installed", "index", snapshot.Index)
}
