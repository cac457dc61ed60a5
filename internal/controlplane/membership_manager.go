package controlplane

import (
	"sync"
	"time"

	"lichentray/internal/apierror"
	"lichentray/internal/transport"
	"lichentray/raft"
)

// membershipCheckHeartbeats is the number of heartbeat intervals between two checks of the
// membership.
const membershipCheckHeartbeats = 4

// transferRetryElectionTimeouts is the number of election timeouts between two attempts to
// transfer leadership.
const transferRetryElectionTimeouts = 2

// membershipManager maintains the group's membership while this node leads, handles requests of
// nodes to join and to leave, and makes this node join and leave the group.
type membershipManager struct {
	*environment
	loop      *eventLoop
	peers     *peerPool
	consensus *consensusView
	formation formation

	mu sync.Mutex
	// seeds are the API addresses of the seeds in the settings that were last loaded.
	seeds []string
	// announcedNodes are the group members most recently reported by a relay or an announcer.
	announcedNodes []transport.ControlNode

	// joinRejected is closed once the group has permanently rejected this node, see
	// Node.JoinRejected.
	joinRejected     chan struct{}
	joinRejectedOnce sync.Once
}

// membershipSchedule holds the planner and the times of its last checks, see loopState.
type membershipSchedule struct {
	planner   *membershipPlanner
	checkedAt time.Duration
	// isCheckDue makes the next tick check the membership, for instance after a membership
	// change, since a replacement takes two changes.
	isCheckDue bool
	// lastTransferAt is when this node last tried to transfer its leadership to a voter with a
	// disk.
	lastTransferAt time.Duration
}

// failureDomainOf returns the failure domain of a member: its region if the fault tolerance
// includes the loss of regions, otherwise its zone if it includes the loss of zones, otherwise
// none.
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

// adjust makes one change, if this node leads, towards a complete set of serving voters.
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
	if m.transferLeadership(state, now) {
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

// transferLeadership transfers the leadership to a voter with a disk if this node has none.
// Between attempts this node continues to lead for a while.
func (m *membershipManager) transferLeadership(state *loopState, now time.Duration) bool {
	schedule := &state.membership
	isWaiting := schedule.lastTransferAt != 0 && now-schedule.lastTransferAt < transferRetryElectionTimeouts*m.timing.ElectionTimeout
	if isWaiting || !schedule.planner.mustTransferLeadership(state.raft, now) {
		return false
	}
	schedule.lastTransferAt = now
	return state.raft.TransferLeadership()
}

// recordChange handles an applied membership change.
func (m *membershipManager) recordChange(state *loopState, index uint64) {
	state.membership.isCheckDue = true
	membership := state.raft.Membership()
	m.logger.Info("membership changed", "index", index, "voters", len(membership.Voters), "learners", len(membership.Learners))
}

// joinIfNeeded asks to be admitted if this node is not a member or may no longer be one. A
// voter that has been without a leader for long may have been replaced, and a member without a
// disk that knows no leader may have been retired.
//
// A member whose description is missing from the membership, because it is a seed or started
// with an older version, sends its description to the leader in the same request.
func (m *membershipManager) joinIfNeeded(state *loopState, now time.Duration) {
	membership := state.raft.Membership()
	if !membership.IsMember(m.self.ID) {
		m.requestJoin(m.knownAddrs(membership))
		return
	}
	if leaderID := state.raft.LeaderID(); leaderID != 0 {
		if !isDescriptionCurrent(membership, m.self) {
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
			// Without a response the next round of periodic tasks asks again.
			response, _, err := m.peers.call(callTarget{addr: addr}, &transport.Request{Join: &self}, m.timing.ElectionTimeout)
			if err == nil && response.Failed && response.Kind == errCoreHasDisks.Kind {
				m.joinRejectedOnce.Do(func() { close(m.joinRejected) })
			}
		})
	}
}

// knownAddrs returns the internal addresses of members, of seeds, of the nodes reported by a
// relay or an announcer, and of the peers that have connected to this node. The other members
// still connect to a member that lost its disk, so it can find the group whichever seeds it
// has.
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

// seedAddrs returns the internal addresses of the seeds.
func (m *membershipManager) seedAddrs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addrs []string
	for _, seed := range m.seeds {
		addrs = append(addrs, m.settings.InternalAddr(seed))
	}
	return addrs
}

// announcedCore returns the group members most recently reported by a relay or an announcer.
func (m *membershipManager) announcedCore() []transport.ControlNode {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.announcedNodes
}

// setAnnouncedNodes stores the group members reported by a relay or an announcer. The caller
// must not modify the slice afterwards.
func (m *membershipManager) setAnnouncedNodes(nodes []transport.ControlNode) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.announcedNodes = nodes
}

// isCoreDiskless reports whether nodes without a disk must be members of the group.
func (m *membershipManager) isCoreDiskless() bool {
	return m.formation.isDiskless(m.consensus.get().membership, m.now())
}

func (m *membershipManager) setSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
	m.logger.Info("settings reloaded", "seeds", seeds)
}

// admitLearner adds a node as a learner, or updates the description of a member. It succeeds
// only on the leader, and returns once the change is proposed.
func (m *membershipManager) admitLearner(member raft.Member) error {
	return m.callLeaderLoop(func(state *loopState) error {
		membership := state.raft.Membership()
		if isDescriptionCurrent(membership, member) {
			return nil
		}
		next, err := admit(membership, member, state.raft.HasPendingConfChange())
		if err != nil {
			return err
		}
		if err := state.raft.ProposeConfChange(next); err != nil {
			return apierror.New(apierror.Unavailable, "%v", err)
		}
		m.logger.Info("proposed to add or update a member", "member", formatMemberID(member.ID),
			"address", member.Addr, "storage", member.Storage.String(), "joins", !membership.IsMember(member.ID))
		return nil
	})
}

// approveLeave returns nil once the process of a member may stop. It succeeds only on the
// leader; the member repeats its request until it is approved.
func (m *membershipManager) approveLeave(id uint64) error {
	return m.callLeaderLoop(func(state *loopState) error {
		state.membership.isCheckDue = true // another member may have to replace this voter
		if state.membership.planner.requestLeave(state.raft, m.now(), id) {
			return nil
		}
		return apierror.New(apierror.Unavailable, "the group still counts on this member")
	})
}

// callLeaderLoop runs f on the event loop if this node leads, and returns ErrNotLeader
// otherwise.
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

// prepareShutdown transfers leadership and waits until the leader approves the departure of
// this node, see Node.PrepareShutdown.
func (m *membershipManager) prepareShutdown(timeout time.Duration) {
	var transferredAt time.Time
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(m.timing.HeartbeatInterval) {
		status := m.consensus.get()
		switch {
		case status.role == raft.Leader && len(status.membership.Voters) == 1:
			return // no other voter could lead
		case status.role == raft.Leader:
			if time.Since(transferredAt) > transferRetryElectionTimeouts*m.timing.ElectionTimeout {
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

// mayLeave asks the leader whether this node's process may stop.
func (m *membershipManager) mayLeave(leaderAddr string) bool {
	request := &transport.Request{Leave: m.self.ID}
	response, _, err := m.peers.call(callTarget{addr: leaderAddr}, request, m.timing.ElectionTimeout)
	return err == nil && !response.Failed
}
