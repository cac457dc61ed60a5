package controlplane

import (
	"net"

	"lichentray/coordination"
	"lichentray/internal/discovery"
	"lichentray/raft"
	"lichentray/registry"
)

// Node is a running control-plane node. It joins its parts, see the package comment,
// and drives them from the event loop.
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

// run begins the node's goroutines.
func (n *Node) run(listener net.Listener, state *loopState) {
	n.start(func() { n.server.acceptConnections(listener) })
	n.start(n.writer.run)
	n.start(func() { n.announcer.Run(n.ctx) })
	n.start(func() { n.loop.run(state, n.tick, n.processReady) })
}

// Close stops the node at once and gives its disk and port back. It waits for all of
// the node's goroutines. Calls in flight end with an error.
func (n *Node) Close() { n.close() }

// NotNeeded is closed when the group has rejected this node, as the node keeps its log in memory
// and the group keeps its log on disks. The node should be closed then.
func (n *Node) NotNeeded() <-chan struct{} { return n.membership.notNeeded }

// tick lets time pass for consensus and carries out what is due by the clock.
func (n *Node) tick(state *loopState) {
	state.raft.Tick(n.now())
	n.runPeriodicTasks(state)
}

// periodicTaskHeartbeats is how many heartbeat intervals pass between two rounds of
// periodic tasks.
const periodicTaskHeartbeats = 4

// runPeriodicTasks carries out the tasks that are due by the clock. Some are of the
// leader alone.
func (n *Node) runPeriodicTasks(state *loopState) {
	now := n.now()
	n.membership.adjust(state, now)
	if now-state.periodicTasksAt < periodicTaskHeartbeats*n.timing.HeartbeatInterval {
		return
	}
	state.periodicTasksAt = now
	n.publishConsensus(state) // this very tick may have made the node the leader
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

// processReady carries out what consensus wants done, until nothing is left.
func (n *Node) processReady(state *loopState) {
	for {
		ready := state.raft.Ready()
		n.publishConsensus(state)
		if isEmpty(&ready) {
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

// isEmpty reports whether there is nothing to do. A SnapshotToInstall comes with a
// Write.
func isEmpty(ready *raft.Ready) bool {
	return len(ready.Messages) == 0 && ready.Write == nil &&
		len(ready.CommittedEntries) == 0 && len(ready.ReadStates) == 0
}

// publishConsensus follows a change of role, leader or membership and lets the other
// goroutines see the consensus state.
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

// changeLeader follows a change of role or leader, and notifies the callers that wait
// for a response of the old leader.
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

// becomeLeader resets what every part knows of an earlier leadership of this node.
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

// applyEntry carries out a committed entry and notifies its proposer, if it is here.
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
	n.state.advance(entry.Index)
	// A member with a disk may have joined since the entry was proposed.
	isKept := state.membership.planner.takesChanges(state.raft, n.now())
	state.requests.resolveEntry(entry, result, isKept)
}

func (n *Node) applyCommand(state *loopState, entry raft.Entry) registry.Result {
	cmd, err := registry.DecodeCommand(entry.Data)
	if err != nil {
		// Every replica skips the entry, so their states stay equal.
		n.logger.Error("log entry cannot be decoded", "index", entry.Index, "error", err)
		return registry.Result{}
	}
	now := n.now()
	result, events := n.state.applyCommand(now, cmd)
	n.rollouts.forgetEnded(state, events)
	if c := cmd.Coordination; c != nil {
		locks := n.state.onLoop(state).store.Coordination().Locks
		if !state.leases.Update(now, entry.Index, c, result.Latch, locks) {
			n.metrics.reacquiredLocksReleased.Inc()
			n.logger.Error("a lock that its holder had acquired again was released", "lock", c.Name, "holder", c.Holder, "fence", c.FencingToken)
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

// installSnapshot replaces the replicated state by the one that the leader sent.
func (n *Node) installSnapshot(state *loopState, snapshot *raft.Snapshot) {
	n.state.replace(state.snapshots.takeReceived(), snapshot.Index)
	state.leases.Restart(n.now(), n.state.onLoop(state).store.Coordination().Locks)
	n.rollouts.forgetAllEnded(state)
	n.groups.wakeAll()
	state.requests.abandonThrough(snapshot.Index)
	n.logger.Info("snapshot installed", "index", snapshot.Index)
}
