package controlplane

import (
	"time"

	"lichentray/internal/apierror"
	"lichentray/internal/settings"
	"lichentray/internal/transport"
	"lichentray/raft"
)

// Who votes and who follows only: joining, leaving and replacement.

// faultTolerance is what may be lost at once (fault_tolerance).
type faultTolerance struct {
	machines       int
	failureDomains int // zones or regions
}

// preferredVoters bounds the voters where the tolerance asks for fewer: beyond it each
// further one costs latency and bears nothing that the pages name.
const preferredVoters = 5

// minVoters is how many voters the tolerance asks for.
func (t faultTolerance) minVoters() int { return 2*t.machines + 1 }

// maxVotersPerDomain is how many of so many votes one place may hold: as many places as may be
// lost must not hold a majority together.
func (t faultTolerance) maxVotersPerDomain(votes int) int {
	if t.failureDomains == 0 {
		return votes
	}
	return max(1, (votes-1)/2/t.failureDomains)
}

// targetVoters is how many members should vote where so many could in each place: an odd
// number, as large as they and the shares allow.
func (t faultTolerance) targetVoters(could map[string]int) int {
	w := max(t.minVoters(), preferredVoters)
	for ; w > t.minVoters(); w -= 2 {
		n := 0
		for _, k := range could {
			n += min(k, t.maxVotersPerDomain(w))
		}
		if n >= w {
			break
		}
	}
	return w
}

// memberHealth is what the leader knows of a member.
type memberHealth struct {
	isAlive       bool // heard of late and, if it votes, acknowledging what it is sent
	isLeaving     bool // its process is about to end
	isReplaced    bool // another life is heard at its address
	isCaughtUp    bool // holds all but the newest entries
	isExpired     bool // for so long that it need not be kept
	matchIndex    uint64
	failureDomain string
}

// isServing tells whether the group may count on the member.
func (s memberHealth) isServing() bool { return s.isAlive && !s.isLeaving && !s.isReplaced }

// goesBefore tells which of two voters that the group can't count on goes first.
func (s memberHealth) goesBefore(t memberHealth) bool {
	rank := func(s memberHealth) int {
		switch {
		case s.isReplaced:
			return 2
		case !s.isAlive:
			return 1
		}
		return 0 // leaving: it acknowledges still
	}
	return rank(s) > rank(t)
}

// nextMembership takes one step, of one voter at most, towards a full set of voters
// that can be counted on. self leads. why is empty when there is nothing to do.
func nextMembership(ms raft.Membership, self uint64, tol faultTolerance, of func(raft.Member) memberHealth) (next raft.Membership, why string) {
	var gone, candidate *raft.Member
	goners, serving, alive := 0, 0, 0
	votes := map[string]int{} // by place, of the voters that serve
	for i, m := range ms.Voters {
		s := of(m)
		if s.isAlive && !s.isReplaced {
			alive++
		}
		if s.isServing() {
			serving++
			votes[s.failureDomain]++
			continue
		}
		goners++
		if gone == nil || s.goesBefore(of(*gone)) {
			gone = &ms.Voters[i]
		}
	}
	// Who could vote now, and who could once it has caught up: voters are added for
	// the former and given up for the latter, so that one that lags for a moment
	// moves nothing.
	now, soon := map[string]int{}, map[string]int{}
	for p, n := range votes {
		now[p], soon[p] = n, n
	}
	for _, m := range ms.Learners {
		if s := of(m); s.isServing() && !m.Uncounted {
			soon[s.failureDomain]++
			if s.isCaughtUp {
				now[s.failureDomain]++
			}
		}
	}
	n := len(ms.Voters)
	want := tol.targetVoters(now)
	share := tol.maxVotersPerDomain(max(want, n-1+n%2))
	for i, m := range ms.Learners {
		s := of(m)
		if !s.isServing() || !s.isCaughtUp || votes[s.failureDomain] >= share || (m.Uncounted && n >= tol.minVoters()) {
			continue
		}
		if candidate == nil {
			candidate = &ms.Learners[i]
			continue
		}
		c := of(*candidate)
		switch {
		case m.Uncounted != candidate.Uncounted:
			if m.Uncounted {
				continue
			}
		case votes[s.failureDomain] != votes[c.failureDomain]:
			if votes[s.failureDomain] > votes[c.failureDomain] {
				continue
			}
		case s.matchIndex <= c.matchIndex:
			continue
		}
		candidate = &ms.Learners[i]
	}
	crowded := false
	for _, k := range votes {
		crowded = crowded || k > share
	}
	// Without the one to go, the others must be a majority that acknowledges.
	left := alive
	if gone != nil {
		if s := of(*gone); s.isAlive && !s.isReplaced {
			left--
		}
	}
	canGo := gone != nil && left > (n-1)/2 && (n > tol.minVoters() || serving > n/2)
	switch {
	case canGo && n%2 == 0:
		return removeVote(ms, *gone, of(*gone))
	case candidate != nil && (gone != nil || n < want || (crowded && n%2 == 1)):
		return ms.WithVoter(*candidate), "learner votes"
	case canGo && goners >= 2 && n >= tol.minVoters()+2:
		// Nobody takes their place: three of three bear a loss, three of five none.
		return removeVote(ms, *gone, of(*gone))
	case gone == nil && n%2 == 0 && n > tol.targetVoters(soon):
		var spare *raft.Member
		for i, m := range ms.Voters {
			if m.ID == self {
				continue
			}
			s := of(m)
			if spare == nil {
				spare = &ms.Voters[i]
			} else if t := of(*spare); votes[s.failureDomain] > votes[t.failureDomain] || (votes[s.failureDomain] == votes[t.failureDomain] && s.matchIndex < t.matchIndex) {
				spare = &ms.Voters[i]
			}
		}
		return ms.WithLearner(*spare), "spare voter follows only"
	}
	for _, m := range ms.Learners {
		if s := of(m); s.isReplaced || s.isExpired {
			return ms.Without(m.ID), "learner not heard leaves"
		}
	}
	return ms, ""
}

func removeVote(ms raft.Membership, m raft.Member, s memberHealth) (raft.Membership, string) {
	switch {
	case s.isReplaced:
		return ms.Without(m.ID), "replaced voter leaves"
	case !s.isAlive:
		return ms.WithLearner(m), "dead voter follows only"
	}
	return ms.WithLearner(m), "leaving voter follows only"
}

// canLeave tells whether a member's process may end: what was committed when it asked,
// up to mark, is held by every voter that serves, these are a majority, and without
// the member the group bears what it is to bear, or nobody is there to take its vote.
func canLeave(ms raft.Membership, self, id uint64, tol faultTolerance, mark uint64, of func(raft.Member) memberHealth) bool {
	serving := 0
	for _, m := range ms.Voters {
		if s := of(m); s.isServing() && m.ID != id {
			serving++
			if s.matchIndex < mark {
				return false
			}
		}
	}
	n := len(ms.Voters)
	if serving <= n/2 {
		return false
	}
	if !ms.IsVoter(id) || serving-(n/2+1) >= tol.machines {
		return true
	}
	if _, why := nextMembership(ms, self, tol, of); why != "" {
		return false
	}
	for _, m := range ms.Learners {
		if of(m).isServing() && (!m.Uncounted || n < tol.minVoters()) {
			return false // it will vote instead
		}
	}
	return true
}

// membershipPlanner is a leader's view of its members over time. Its spans are fixed; the rest is
// of one leadership.
type membershipPlanner struct {
	tolerance         faultTolerance
	deadMemberTimeout time.Duration // a voter not heard for so long is replaced
	catchUpWindow     time.Duration // entries younger than this need not be held to be caught up
	leaveRequestTTL   time.Duration // a leaver that has not asked for so long stays
	learnerExpiry     time.Duration // a learner not heard for so long is given up
	failureDomainOf   func(raft.Member) string
	term              uint64
	logLengths        []logLength
	leaveRequests     map[uint64]leaveRequest
}

type logLength struct {
	at        time.Duration
	lastIndex uint64
}

type leaveRequest struct {
	lastRequestedAt time.Duration // last
	commitIndex     uint64        // when it asked first
}

func newMembershipPlanner(set *settings.Settings, t Timing, place func(raft.Member) string) *membershipPlanner {
	f := set.FaultTolerance
	return &membershipPlanner{
		tolerance:         faultTolerance{f.Machines, max(f.Zones, f.Regions)},
		deadMemberTimeout: t.DeadMemberTimeout, catchUpWindow: t.ElectionTimeout, leaveRequestTTL: t.ConnectionTimeout,
		learnerExpiry: max(set.Bounds.Recovery.Duration(), 2*set.Bounds.CatchUp.Duration()), failureDomainOf: place,
	}
}

// observe remembers how long the log of n, which leads, is now, and forgets what has had
// its time.
func (r *membershipPlanner) observe(n *raft.Node, now time.Duration) {
	if r.term != n.Term() {
		r.term, r.logLengths, r.leaveRequests = n.Term(), nil, map[uint64]leaveRequest{}
	}
	r.logLengths = append(r.logLengths, logLength{now, n.LastIndex()})
	for len(r.logLengths) > 1 && now-r.logLengths[1].at >= r.catchUpWindow {
		r.logLengths = r.logLengths[1:]
	}
	for id, x := range r.leaveRequests {
		if now-x.lastRequestedAt > r.leaveRequestTTL {
			delete(r.leaveRequests, id)
		}
	}
}

// assessMembers gives what n, which leads, knows of each member.
func (r *membershipPlanner) assessMembers(n *raft.Node, now time.Duration) func(raft.Member) memberHealth {
	ms := n.Membership()
	// Of two lives at one address the one heard last counts. Just after an election
	// both may have been heard at the same moment; then neither is judged by it.
	newest := map[string]time.Duration{}
	for _, m := range ms.AllMembers() {
		newest[m.Addr] = max(newest[m.Addr], n.LastContact(m.ID))
		if m.ID == n.ID() {
			newest[m.Addr] = now + 1
		}
	}
	return func(m raft.Member) memberHealth {
		if m.ID == n.ID() {
			return memberHealth{isAlive: true, isCaughtUp: true, matchIndex: n.MatchIndex(m.ID), failureDomain: r.failureDomainOf(m)}
		}
		heard := n.LastContact(m.ID)
		_, leaving := r.leaveRequests[m.ID]
		return memberHealth{
			isAlive:       now-heard < r.deadMemberTimeout && (!ms.IsVoter(m.ID) || n.StalledFor(m.ID) < r.deadMemberTimeout),
			isLeaving:     leaving,
			isReplaced:    heard < newest[m.Addr],
			isCaughtUp:    len(r.logLengths) > 0 && n.MatchIndex(m.ID) >= r.logLengths[0].lastIndex,
			isExpired:     now-heard > r.learnerExpiry,
			matchIndex:    n.MatchIndex(m.ID),
			failureDomain: r.failureDomainOf(m),
		}
	}
}

// nextChange gives the membership to be proposed now, and why, or why is empty.
func (r *membershipPlanner) nextChange(n *raft.Node, now time.Duration) (raft.Membership, string) {
	r.observe(n, now)
	if n.HasPendingConfChange() {
		return raft.Membership{}, ""
	}
	return nextMembership(n.Membership(), n.ID(), r.tolerance, r.assessMembers(n, now))
}

// requestLeave takes a member's wish to leave and tells whether its process may end.
func (r *membershipPlanner) requestLeave(n *raft.Node, now time.Duration, id uint64) bool {
	r.observe(n, now)
	x, known := r.leaveRequests[id]
	if !known {
		x.commitIndex = n.CommitIndex()
	}
	x.lastRequestedAt = now
	r.leaveRequests[id] = x
	return !n.HasPendingConfChange() && canLeave(n.Membership(), n.ID(), id, r.tolerance, x.commitIndex, r.assessMembers(n, now))
}

// adjustMembership takes one step towards a full set of voters that can be counted on.
func (l *Node) adjustMembership(now time.Duration) {
	if l.raftNode.Role() != raft.Leader || (now-l.membershipCheckedAt < 4*l.timing.HeartbeatInterval && !l.membershipCheckDue) {
		return
	}
	l.membershipCheckedAt, l.membershipCheckDue = now, false
	next, why := l.membership.nextChange(l.raftNode, now)
	if why == "" {
		return
	}
	if err := l.raftNode.ProposeConfChange(next); err == nil {
		l.logger.Info("changing the membership", "why", why, "voters", len(next.Voters), "learners", len(next.Learners))
	}
}

// failureDomainOf gives what of a member may be lost at once besides machines: its
// region, else its zone.
func (l *Node) failureDomainOf(m raft.Member) string {
	zone := l.peers.zoneOf(m.Addr)
	if l.settings.FaultTolerance.Regions > 0 {
		return l.settings.RegionByZone[zone]
	}
	if l.settings.FaultTolerance.Zones > 0 {
		return zone
	}
	return ""
}

// requestJoin asks every control-plane node known to be taken in.
func (l *Node) requestJoin(ms raft.Membership) {
	asked := map[string]bool{l.self.Addr: true}
	var addrs []string
	for _, m := range ms.AllMembers() {
		addrs = append(addrs, m.Addr)
	}
	for _, s := range l.seedAddresses() {
		addrs = append(addrs, l.settings.InternalAddr(s))
	}
	l.mu.RLock()
	for _, n := range l.relayedNodes {
		addrs = append(addrs, n.Addr)
	}
	l.mu.RUnlock()
	self := l.self
	for _, a := range addrs {
		if asked[a] {
			continue
		}
		asked[a] = true
		go func() {
			// Refused or unheard, it is asked again at the next duty.
			_, _, _ = l.peers.call(callTarget{addr: a}, &transport.Request{Join: &self}, l.timing.ElectionTimeout)
		}()
	}
}

// admitLearner takes a node in as a learner; only the leader can.
func (l *Node) admitLearner(m raft.Member) error {
	got := make(chan error, 1)
	l.post(func() {
		switch {
		case l.raftNode.Role() != raft.Leader:
			got <- ErrNotLeader
		case l.raftNode.Membership().IsMember(m.ID):
			got <- nil
		default:
			if err := l.raftNode.ProposeConfChange(l.raftNode.Membership().WithLearner(m)); err != nil {
				got <- apierror.New(apierror.Unavailable, "%v", err)
				return
			}
			l.logger.Info("node joins as a learner", "member", formatMemberID(m.ID), "address", m.Addr)
			got <- nil
		}
	})
	select {
	case err := <-got:
		return err
	case <-l.ctx.Done():
		return ErrNotLeader
	}
}

// PrepareShutdown hands leadership on, if this node has it, and has its vote taken over where
// another node can; it returns once the group has let this node go, or after wait.
func (l *Node) PrepareShutdown(wait time.Duration) {
	l.isStopping.Store(true)
	var handed time.Time
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(l.timing.HeartbeatInterval) {
		l.mu.RLock()
		v := l.consensus
		l.mu.RUnlock()
		switch {
		case v.role == raft.Leader:
			if len(v.membership.Voters) == 1 {
				return
			}
			if time.Since(handed) > 2*l.timing.ElectionTimeout {
				handed = time.Now()
				l.post(func() { l.raftNode.TransferLeadership() })
			}
		case v.leaderAddr != "":
			if a, _, err := l.peers.call(callTarget{addr: v.leaderAddr}, &transport.Request{Leave: l.self.ID}, l.timing.ElectionTimeout); err == nil && !a.Failed {
				return
			}
		}
	}
}

// approveLeave takes a member's wish to leave; only the leader can. An error tells that it is
// to stay for now.
func (l *Node) approveLeave(id uint64) error {
	got := make(chan error, 1)
	l.post(func() {
		now := l.now()
		switch {
		case l.raftNode.Role() != raft.Leader:
			got <- ErrNotLeader
		case l.membership.requestLeave(l.raftNode, now, id):
			got <- nil
		default:
			got <- apierror.New(apierror.Unavailable, "the group still counts on this member")
		}
		l.membershipCheckDue = true
	})
	select {
	case err := <-got:
		return err
	case <-l.ctx.Done():
		return ErrNotLeader
	}
}
