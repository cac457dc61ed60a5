package controlplane

import (
	"sync"
	"time"

	"lichentray/internal/apierror"
	"lichentray/internal/transport"
	"lichentray/raft"
)

// membershipCheckHeartbeats is how many heartbeat intervals pass between two checks of
// the membership.
const membershipCheckHeartbeats = 4

// transferRetryTimeouts is how many election time-outs pass between two attempts to transfer
// the leadership.
const transferRetryTimeouts = 2

// membershipManager keeps the group's membership in order while this node leads, admits
// nodes and approves their departure, and makes this node itself join and leave the
// group.
type membershipManager struct {
	*environment
	loop      *eventLoop
	peers     *peerPool
	consensus *consensusView
	formation formation

	mu sync.Mutex
	// seeds are the API addresses of the settings as they were last read.
	seeds []string
	// announcedNodes are the members of the group as a relay or an announcer named them last.
	announcedNodes []transport.ControlNode

	// notNeeded is closed once the group has rejected this node, see Node.NotNeeded.
	notNeeded     chan struct{}
	notNeededOnce sync.Once
}

// membershipSchedule is the planner and when it is next asked, see loopState.
type membershipSchedule struct {
	planner   *membershipPlanner
	checkedAt time.Duration
	// isCheckDue has the membership checked at the next tick, as after a change of
	// it: a replacement takes two.
	isCheckDue bool
	// handedOverAt is when this node last tried to transfer its leadership to a voter with a disk.
	handedOverAt time.Duration
}

// failureDomainOf returns what of a member may be lost at once besides machines: its
// region, else its zone, as the tolerance asks.
func (m *membershipManager) failureDomainOf(member raft.Member) string {
	zone := m.peers.zoneOf(member.Addr)
	switch tolerance := m.settings.FaultTolerance; {
	case tolerance.Regions > 0:
		return m.settings.RegionByZone[zone]
	case tolerance.Zones > 0:
		return zone
	}
	return ""
}

// adjust takes one step, if this node leads, towards a full set of voters that can
// be counted on.
func (m *membershipManager) adjust(state *loopState, now time.Duration) {
	if !state.isLeader() {
		return
	}
	schedule := &state.membership
	if now-schedule.checkedAt < membershipCheckHeartbeats*m.timing.HeartbeatInterval && !schedule.isCheckDue {
		return
	}
	schedule.checkedAt = now
	schedule.isCheckDue = false
	if m.handOver(state, now) {
		return
	}
	next, reason := schedule.planner.nextChange(state.raft, now)
	if reason == "" {
		return
	}
	if err := state.raft.ProposeConfChange(next); err == nil {
		m.logger.Info("changing the membership", "reason", reason, "voters", len(next.Voters), "learners", len(next.Learners))
	}
}

// handOver transfers the leadership to a voter with a disk if this node has none. In between the
// attempts the group goes on under this leader for a while.
func (m *membershipManager) handOver(state *loopState, now time.Duration) bool {
	schedule := &state.membership
	isWaiting := schedule.handedOverAt != 0 && now-schedule.handedOverAt < transferRetryTimeouts*m.timing.ElectionTimeout
	if isWaiting || !schedule.planner.mustHandOver(state.raft, now) {
		return false
	}
	schedule.handedOverAt = now
	return state.raft.TransferLeadership()
}

// recordChange follows an applied change of the membership.
func (m *membershipManager) recordChange(state *loopState, index uint64) {
	state.membership.isCheckDue = true
	membership := state.raft.Membership()
	m.logger.Info("membership changed", "index", index, "voters", len(membership.Voters), "learners", len(membership.Learners))
}

// joinIfNeeded asks to be admitted if this node is no member or may have been
// replaced, as a voter that has been without a leader for long, or retired, as one without
// a leader that has no disk. A member that the membership does not describe, as it is a seed or
// began under an older version, describes itself to the leader by the same request.
func (m *membershipManager) joinIfNeeded(state *loopState, now time.Duration) {
	membership := state.raft.Membership()
	if !membership.IsMember(m.self.ID) {
		m.requestJoin(m.knownAddrs(membership))
		return
	}
	if leaderID := state.raft.LeaderID(); leaderID != 0 {
		if !isDescribed(membership, m.self) {
			m.requestJoin([]string{m.peers.addrOf(leaderID)})
		}
		return
	}
	isIsolated := now-state.raft.LastQuorumContact() > m.timing.DeadMemberTimeout
	mayBeRetired := m.self.Storage == raft.StorageMemory
	if !membership.IsVoter(m.self.ID) || isIsolated || mayBeRetired {
		m.requestJoin(m.knownAddrs(membership))
	}
}

// requestJoin asks control-plane nodes to admit this one.
func (m *membershipManager) requestJoin(addrs []string) {
	self := m.self
	hasAsked := map[string]bool{self.Addr: true, "": true}
	for _, addr := range addrs {
		if hasAsked[addr] {
			continue
		}
		hasAsked[addr] = true
		m.start(func() {
			// Without a response it is asked again with the next periodic tasks.
			response, _, err := m.peers.call(callTarget{addr: addr}, &transport.Request{Join: &self}, m.timing.ElectionTimeout)
			if err == nil && response.Failed && response.Kind == errCoreHasDisks.Kind {
				m.notNeededOnce.Do(func() { close(m.notNeeded) })
			}
		})
	}
}

// knownAddrs lists the internal addresses of members, seeds, the nodes that a relay or an
// announcer named, and the peers that have connected here: those that count on a member whose
// disk was lost know where the group is, whatever its seeds are.
func (m *membershipManager) knownAddrs(membership raft.Membership) []string {
	var addrs []string
	for _, member := range membership.AllMembers() {
		addrs = append(addrs, member.Addr)
	}
	addrs = append(addrs, m.seedAddrs()...)
	for _, node := range m.announcedCore() {
		addrs = append(addrs, node.Addr)
	}
	return append(addrs, m.peers.knownAddrs()...)
}

// seedAddrs lists the internal addresses of the seeds.
func (m *membershipManager) seedAddrs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addrs []string
	for _, seed := range m.seeds {
		addrs = append(addrs, m.settings.InternalAddr(seed))
	}
	return addrs
}

// announcedCore returns the members of the group as a relay or an announcer named them last.
func (m *membershipManager) announcedCore() []transport.ControlNode {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.announcedNodes
}

// setAnnouncedNodes takes the members of the group as a relay or an announcer names them. The
// list must not be modified afterwards.
func (m *membershipManager) setAnnouncedNodes(nodes []transport.ControlNode) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.announcedNodes = nodes
}

// isCoreDiskless reports whether nodes without a disk have to take part in the group.
func (m *membershipManager) isCoreDiskless() bool {
	return m.formation.isDiskless(m.consensus.get().membership, m.now())
}

func (m *membershipManager) setSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
	m.logger.Info("settings reloaded", "seeds", seeds)
}

// admitLearner makes a node a learner, or records what a member says of itself. Only the
// leader can; it returns once the change is proposed.
func (m *membershipManager) admitLearner(member raft.Member) error {
	return m.callLeaderLoop(func(state *loopState) error {
		membership := state.raft.Membership()
		if isDescribed(membership, member) {
			return nil
		}
		next, err := admit(membership, member, state.raft.HasPendingConfChange())
		if err != nil {
			return err
		}
		if err := state.raft.ProposeConfChange(next); err != nil {
			return apierror.New(apierror.Unavailable, "%v", err)
		}
		m.logger.Info("node joins or describes itself", "member", formatMemberID(member.ID),
			"address", member.Addr, "storage", member.Storage.String(), "joins", !membership.IsMember(member.ID))
		return nil
	})
}

// approveLeave returns nil once the process of a member may end. Only the leader
// can; the member asks again until it may.
func (m *membershipManager) approveLeave(id uint64) error {
	return m.callLeaderLoop(func(state *loopState) error {
		state.membership.isCheckDue = true // the member's vote may be taken over
		if state.membership.planner.requestLeave(state.raft, m.now(), id) {
			return nil
		}
		return apierror.New(apierror.Unavailable, "the group still counts on this member")
	})
}

// callLeaderLoop runs f on the event loop if this node leads.
func (m *membershipManager) callLeaderLoop(f func(*loopState) error) error {
	result, err := callLoop(m.loop, func(state *loopState) error {
		if !state.isLeader() {
			return ErrNotLeader
		}
		return f(state)
	})
	if err != nil {
		return ErrNotLeader
	}
	return result
}

// prepareShutdown transfers leadership and asks the leader to approve the departure,
// see Node.PrepareShutdown.
func (m *membershipManager) prepareShutdown(timeout time.Duration) {
	var transferredAt time.Time
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(m.timing.HeartbeatInterval) {
		status := m.consensus.get()
		switch {
		case status.role == raft.Leader && len(status.membership.Voters) == 1:
			return // nobody could take over
		case status.role == raft.Leader:
			if time.Since(transferredAt) > transferRetryTimeouts*m.timing.ElectionTimeout {
				transferredAt = time.Now()
				m.loop.post(func(state *loopState) { state.raft.TransferLeadership() })
			}
		case status.leaderAddr != "":
			if m.mayLeave(status.leaderAddr) {
				return
			}
		}
	}
}

// mayLeave asks the leader whether this node's process may end.
func (m *membershipManager) mayLeave(leaderAddr string) bool {
	request := &transport.Request{Leave: m.self.ID}
	response, _, err := m.peers.call(callTarget{addr: leaderAddr}, request, m.timing.ElectionTimeout)
	return err == nil && !response.Failed
}
