package controlplane

import (
	"time"

	"lichentray/internal/settings"
	"lichentray/raft"
)

// membershipPlanner is a leader's view of the group's members over time, from which
// it plans changes of membership. It does no input or output, so that it runs
// under the simulator as well. It is part of loopState.
type membershipPlanner struct {
	// self is the member whose planner this is.
	self      raft.Member
	tolerance faultTolerance
	// formation tells when the group has formed.
	formation formation
	// deadMemberTimeout is how long a voter may go unheard before it is replaced.
	deadMemberTimeout time.Duration
	// catchUpWindow is the age from which on entries must be held to be caught up.
	catchUpWindow time.Duration
	// leaveRequestTTL is how long a request to leave is valid without being repeated.
	leaveRequestTTL time.Duration
	// learnerExpiry is how long a learner may go unheard before it is removed.
	learnerExpiry   time.Duration
	failureDomainOf func(raft.Member) string

	// What follows is of one term.
	term          uint64
	logLengths    []logLength
	leaveRequests map[uint64]leaveRequest
}

// logLength is how far the leader's log reached at some time.
type logLength struct {
	at        time.Duration
	lastIndex uint64
}

// leaveRequest is a member's request that its process may end.
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

// observe records how far the log of node, which leads, reaches now, and forgets
// what is too old to matter.
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

// assessMembers returns what node, which leads, knows of each member.
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

// newestContactByAddr returns when the most recent of several incarnations at each
// address was heard. Just after an election all of them may have been heard at the same moment;
// then none counts as replaced.
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

// nextChange returns the membership that node, which leads, should propose now. The
// reason is empty when there is nothing to change or a change is under way.
func (p *membershipPlanner) nextChange(node *raft.Node, now time.Duration) (next raft.Membership, reason string) {
	p.observe(node, now)
	if node.HasPendingConfChange() {
		return raft.Membership{}, ""
	}
	if membership := node.Membership(); !isDescribed(membership, p.self) {
		return membership.WithDescription(p.self), "the leader describes itself"
	}
	return nextMembership(node.Membership(), node.ID(), p.tolerance, p.assessMembers(node, now))
}

// requestLeave records that member id wants to leave and reports whether its
// process may end. Requests are repeated until it may.
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

// takesChanges reports whether node, which leads, may write changes to the log now: those that it
// acknowledges have to outlast what the group must be able to lose.
func (p *membershipPlanner) takesChanges(node *raft.Node, now time.Duration) bool {
	return p.formation.isComplete(node.Membership(), now, func() func(raft.Member) memberHealth {
		return p.assessMembers(node, now)
	})
}

// mustHandOver reports whether node, which leads and keeps its log in memory, has to transfer its
// leadership to a voter with a disk.
func (p *membershipPlanner) mustHandOver(node *raft.Node, now time.Duration) bool {
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
