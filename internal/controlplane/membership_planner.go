package controlplane

import (
	"time"

	"lichentray/internal/settings"
	"lichentray/raft"
)

// membershipPlanner tracks what a leader observes of the group's members over time, and plans
// membership changes from it. It does no input or output, so that it also runs in the
// simulator. It is part of loopState.
type membershipPlanner struct {
	// self is the member that this planner belongs to.
	self      raft.Member
	tolerance faultTolerance
	// formation determines when the group has formed.
	formation formation
	// deadMemberTimeout is how long no message may arrive from a voter before it is replaced.
	deadMemberTimeout time.Duration
	// catchUpWindow is how far a member may lag behind: it has caught up if it holds all
	// entries that are older than this.
	catchUpWindow time.Duration
	// leaveRequestTTL is how long a request to leave remains valid without being repeated.
	leaveRequestTTL time.Duration
	// learnerExpiry is how long no message may arrive from a learner before it is removed.
	learnerExpiry   time.Duration
	failureDomainOf func(raft.Member) string

	// The following fields belong to one term.
	term          uint64
	logLengths    []logLength
	leaveRequests map[uint64]leaveRequest
}

// logLength is the last index of the leader's log at some time.
type logLength struct {
	at        time.Duration
	lastIndex uint64
}

// leaveRequest is a member's request that its process may stop.
type leaveRequest struct {
	lastRequestedAt time.Duration
	commitIndex     uint64 // at the first request
}

func newMembershipPlanner(self raft.Member, set *settings.Settings, timing Timing, failureDomainOf func(raft.Member) string) *membershipPlanner {
	return &membershipPlanner{
		self:              self,
		tolerance:         newFaultTolerance(set),
		formation:         newFormation(set),
		deadMemberTimeout: timing.DeadMemberTimeout,
		catchUpWindow:     timing.ElectionTimeout,
		leaveRequestTTL:   timing.ConnectionTimeout,
		learnerExpiry:     max(set.Bounds.RecoveryTime.Duration(), 2*set.Bounds.CatchUpTime.Duration()),
		failureDomainOf:   failureDomainOf,
	}
}

// observe records the last index of the log of node, the leader, and discards old observations.
func (p *membershipPlanner) observe(node *raft.Node, now time.Duration) {
	if p.term != node.Term() {
		p.term = node.Term()
		p.logLengths = nil
		p.leaveRequests = map[uint64]leaveRequest{}
	}
	p.logLengths = append(p.logLengths, logLength{at: now, lastIndex: node.LastIndex()})
	for len(p.logLengths) > 1 && now-p.logLengths[1].at >= p.catchUpWindow {
		p.logLengths = p.logLengths[1:]
	}
	for id, request := range p.leaveRequests {
		if now-request.lastRequestedAt > p.leaveRequestTTL {
			delete(p.leaveRequests, id)
		}
	}
}

// assessMembers returns a function that reports what node, the leader, knows of each member.
func (p *membershipPlanner) assessMembers(node *raft.Node, now time.Duration) func(raft.Member) memberHealth {
	membership := node.Membership()
	newest := newestContactByAddr(node, now)
	return func(m raft.Member) memberHealth {
		health := memberHealth{matchIndex: node.MatchIndex(m.ID), failureDomain: p.failureDomainOf(m)}
		if m.ID == node.ID() {
			health.isAlive = true
			health.isCaughtUp = true
			return health
		}
		lastContact := node.LastContact(m.ID)
		_, health.isLeaving = p.leaveRequests[m.ID]
		health.isAlive = now-lastContact < p.deadMemberTimeout
		if membership.IsVoter(m.ID) && node.StalledFor(m.ID) >= p.deadMemberTimeout {
			health.isAlive = false
		}
		health.isReplaced = lastContact < newest[m.Addr]
		health.isCaughtUp = len(p.logLengths) > 0 && health.matchIndex >= p.logLengths[0].lastIndex
		health.isExpired = now-lastContact > p.learnerExpiry
		return health
	}
}

// newestContactByAddr returns, for each address, when the most recent contact with any of the
// members at that address was. Just after an election several incarnations at an address may
// have the same time of last contact; none of them then counts as replaced.
func newestContactByAddr(node *raft.Node, now time.Duration) map[string]time.Duration {
	newest := map[string]time.Duration{}
	for _, m := range node.Membership().AllMembers() {
		newest[m.Addr] = max(newest[m.Addr], node.LastContact(m.ID))
		if m.ID == node.ID() {
			newest[m.Addr] = now + 1
		}
	}
	return newest
}

// nextChange returns the membership that node, the leader, should propose now. The reason is
// empty if there is nothing to change or a change is in progress.
func (p *membershipPlanner) nextChange(node *raft.Node, now time.Duration) (next raft.Membership, reason string) {
	p.observe(node, now)
	if node.HasPendingConfChange() {
		return raft.Membership{}, ""
	}
	if membership := node.Membership(); !isDescriptionCurrent(membership, p.self) {
		return membership.WithDescription(p.self), "the leader describes itself"
	}
	return nextMembership(node.Membership(), node.ID(), p.tolerance, p.assessMembers(node, now))
}

// requestLeave records that member id wants to leave and reports whether its process may stop.
// Members repeat the request until it is approved.
func (p *membershipPlanner) requestLeave(node *raft.Node, now time.Duration, id uint64) bool {
	p.observe(node, now)
	request, isKnown := p.leaveRequests[id]
	if !isKnown {
		request.commitIndex = node.CommitIndex()
	}
	request.lastRequestedAt = now
	p.leaveRequests[id] = request
	if node.HasPendingConfChange() {
		return false
	}
	return canLeave(node.Membership(), node.ID(), id, p.tolerance, request.commitIndex, p.assessMembers(node, now))
}

// acceptsProposals reports whether node, the leader, may write changes to the log now: an
// acknowledged change must survive the losses that the fault tolerance names.
func (p *membershipPlanner) acceptsProposals(node *raft.Node, now time.Duration) bool {
	return p.formation.isComplete(node.Membership(), now, func() func(raft.Member) memberHealth {
		return p.assessMembers(node, now)
	})
}

// mustTransferLeadership reports whether node, the leader, keeps its log in memory and must
// transfer its leadership to a voter with a disk.
func (p *membershipPlanner) mustTransferLeadership(node *raft.Node, now time.Duration) bool {
	membership := node.Membership()
	self, _ := membership.Find(node.ID())
	if self.Storage != raft.StorageMemory {
		return false
	}
	health := p.assessMembers(node, now)
	for _, m := range membership.Voters {
		if m.Storage == raft.StorageDisk && health(m).isServing() && health(m).isCaughtUp {
			return true
		}
	}
	return false
}
