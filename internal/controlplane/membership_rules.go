package controlplane

import (
	"lichentray/raft"
)

// faultTolerance is what the group must be able to lose at once.
type faultTolerance struct {
	machines int
	// failureDomains is how many zones or regions may be lost; 0 if none.
	failureDomains int
}

// preferredVoters bounds the voters where the tolerance asks for fewer: each
// further voter costs latency at every commit and bears no loss that the
// deployment asks for.
const preferredVoters = 5

// minVoters is how many voters the tolerance asks for: 2f+1 bear f losses.
func (t faultTolerance) minVoters() int { return 2*t.machines + 1 }

// maxVotersPerDomain is how many of so many votes one failure domain may hold: as
// many domains as may be lost must not hold a majority together.
func (t faultTolerance) maxVotersPerDomain(votes int) int {
	if t.failureDomains == 0 {
		return votes
	}
	return max(1, (votes-1)/2/t.failureDomains)
}

// targetVoters is how many members should vote, given how many could in each
// failure domain: an odd number, as large as they and the domain limits allow.
func (t faultTolerance) targetVoters(eligible map[string]int) int {
	target := max(t.minVoters(), preferredVoters)
	for ; target > t.minVoters(); target -= 2 {
		usable := 0
		for _, n := range eligible {
			usable += min(n, t.maxVotersPerDomain(target))
		}
		if usable >= target {
			break
		}
	}
	return target
}

// memberHealth is what the leader knows of a member.
type memberHealth struct {
	isAlive    bool // heard recently and, if it votes, acknowledging what it is sent
	isLeaving  bool // its process is about to end
	isReplaced bool // a newer incarnation is heard at its address
	isCaughtUp bool // holds all but the newest entries
	isExpired  bool // unheard for so long that it need not stay a member

	matchIndex    uint64
	failureDomain string
}

// isServing reports whether the group may count on the member.
func (h memberHealth) isServing() bool { return h.isAlive && !h.isLeaving && !h.isReplaced }

// isAcknowledging reports whether the member counts towards a majority now. One
// that is leaving still does.
func (h memberHealth) isAcknowledging() bool { return h.isAlive && !h.isReplaced }

// removalUrgency orders voters that do not serve by which loses its vote first.
func (h memberHealth) removalUrgency() int {
	switch {
	case h.isReplaced:
		return 2
	case !h.isAlive:
		return 1
	}
	return 0 // leaving: it still acknowledges
}

// membershipAssessment is what the rules of a membership change decide by.
type membershipAssessment struct {
	current   raft.Membership
	self      uint64 // leads
	tolerance faultTolerance
	healthOf  func(raft.Member) memberHealth

	voters        int
	serving       int // voters that serve
	acknowledging int // voters that count towards a majority now

	// departing is the voter that loses its vote first, as it is replaced, dead or
	// leaving; nil if all voters serve. notServing is how many do not.
	departing  *raft.Member
	notServing int

	// votesByDomain counts the serving voters of each failure domain.
	votesByDomain map[string]int
	// targetVoters is what those who could vote now allow, eventualTarget what they
	// allow once the learners have caught up. Voters are added for the former and
	// given up for the latter, so that a learner that lags for a moment moves nothing.
	targetVoters   int
	eventualTarget int
	// domainLimit is how many votes one failure domain may hold.
	domainLimit int
	// candidate is the learner that votes next, nil if none can.
	candidate *raft.Member
}

func assessMembership(current raft.Membership, self uint64, tolerance faultTolerance, healthOf func(raft.Member) memberHealth) *membershipAssessment {
	a := &membershipAssessment{
		current:       current,
		self:          self,
		tolerance:     tolerance,
		healthOf:      healthOf,
		voters:        len(current.Voters),
		votesByDomain: map[string]int{},
	}
	a.assessVoters()
	a.assessTargets()
	a.domainLimit = tolerance.maxVotersPerDomain(max(a.targetVoters, a.voters-1+a.voters%2))
	a.chooseCandidate()
	return a
}

func (a *membershipAssessment) assessVoters() {
	for i, m := range a.current.Voters {
		health := a.healthOf(m)
		if health.isAcknowledging() {
			a.acknowledging++
		}
		if health.isServing() {
			a.serving++
			a.votesByDomain[health.failureDomain]++
			continue
		}
		a.notServing++
		if a.departing == nil || health.removalUrgency() > a.healthOf(*a.departing).removalUrgency() {
			a.departing = &a.current.Voters[i]
		}
	}
}

func (a *membershipAssessment) assessTargets() {
	eligibleNow := map[string]int{}
	eligibleSoon := map[string]int{}
	for domain, n := range a.votesByDomain {
		eligibleNow[domain] = n
		eligibleSoon[domain] = n
	}
	for _, m := range a.current.Learners {
		health := a.healthOf(m)
		if m.Uncounted || !health.isServing() {
			continue
		}
		eligibleSoon[health.failureDomain]++
		if health.isCaughtUp {
			eligibleNow[health.failureDomain]++
		}
	}
	a.targetVoters = a.tolerance.targetVoters(eligibleNow)
	a.eventualTarget = a.tolerance.targetVoters(eligibleSoon)
}

func (a *membershipAssessment) chooseCandidate() {
	for i, m := range a.current.Learners {
		if !a.canVote(m) {
			continue
		}
		if a.candidate == nil || a.isBetterCandidate(m, *a.candidate) {
			a.candidate = &a.current.Learners[i]
		}
	}
}

// canVote reports whether a learner may be given a vote. One that does not count
// for the tolerance votes only while voters are lacking.
func (a *membershipAssessment) canVote(m raft.Member) bool {
	health := a.healthOf(m)
	if m.Uncounted && a.voters >= a.tolerance.minVoters() {
		return false
	}
	return health.isServing() && health.isCaughtUp && a.votesByDomain[health.failureDomain] < a.domainLimit
}

// isBetterCandidate prefers members that count for the tolerance, then those of the
// failure domain with fewer votes, then those that hold more of the log.
func (a *membershipAssessment) isBetterCandidate(m, than raft.Member) bool {
	if m.Uncounted != than.Uncounted {
		return !m.Uncounted
	}
	health := a.healthOf(m)
	other := a.healthOf(than)
	votes := a.votesByDomain[health.failureDomain]
	otherVotes := a.votesByDomain[other.failureDomain]
	if votes != otherVotes {
		return votes < otherVotes
	}
	return health.matchIndex > other.matchIndex
}

// isVoterCountEven reports whether the voters are even in number: one of them could
// then go without loss of tolerance.
func (a *membershipAssessment) isVoterCountEven() bool { return a.voters%2 == 0 }

// exceedsDomainLimit reports whether some failure domain holds too many votes.
func (a *membershipAssessment) exceedsDomainLimit() bool {
	for _, votes := range a.votesByDomain {
		if votes > a.domainLimit {
			return true
		}
	}
	return false
}

// canRemoveDeparting reports whether the departing voter may lose its vote: the
// others must be a majority that acknowledges, of as many voters as the tolerance
// asks for, unless the majority serves anyway.
func (a *membershipAssessment) canRemoveDeparting() bool {
	if a.departing == nil {
		return false
	}
	remaining := a.acknowledging
	if a.healthOf(*a.departing).isAcknowledging() {
		remaining--
	}
	if remaining <= (a.voters-1)/2 {
		return false
	}
	return a.voters > a.tolerance.minVoters() || a.serving > a.voters/2
}

// membershipChange is one step of one voter at most, as single-server changes are
// (Ongaro, Consensus: Bridging Theory and Practice, section 4.1).
type membershipChange struct {
	next   raft.Membership
	reason string
}

// membershipRule is one reason to change the membership. It returns false when it
// does not apply.
type membershipRule func(*membershipAssessment) (membershipChange, bool)

// membershipRules are tried in this order; the first that applies decides.
var membershipRules = []membershipRule{
	removeDepartingOfEvenVoters,
	promoteLearner,
	shrinkByTwoDeparting,
	demoteSpareVoter,
	removeLostLearner,
}

// nextMembership takes one step towards a full set of voters that can be counted
// on. self is the leader. The reason is empty when there is nothing to do.
func nextMembership(current raft.Membership, self uint64, tolerance faultTolerance, healthOf func(raft.Member) memberHealth) (next raft.Membership, reason string) {
	assessment := assessMembership(current, self, tolerance, healthOf)
	for _, rule := range membershipRules {
		if change, applies := rule(assessment); applies {
			return change.next, change.reason
		}
	}
	return current, ""
}

// removeDepartingOfEvenVoters: of an even number of voters one that does not serve
// loses its vote, which makes the majority smaller by one.
func removeDepartingOfEvenVoters(a *membershipAssessment) (membershipChange, bool) {
	if !a.isVoterCountEven() || !a.canRemoveDeparting() {
		return membershipChange{}, false
	}
	return a.removeDeparting(), true
}

// promoteLearner: a learner that has caught up votes if a voter does not serve, if
// voters are lacking, or if a failure domain holds too many votes. In the first and
// last case the voter that it stands in for goes with the next step.
func promoteLearner(a *membershipAssessment) (membershipChange, bool) {
	if a.candidate == nil {
		return membershipChange{}, false
	}
	isNeeded := a.departing != nil ||
		a.voters < a.targetVoters ||
		(a.exceedsDomainLimit() && !a.isVoterCountEven())
	if !isNeeded {
		return membershipChange{}, false
	}
	return membershipChange{a.current.WithVoter(*a.candidate), "learner promoted to voter"}, true
}

// shrinkByTwoDeparting: when two voters do not serve and nobody takes their place,
// both go, one after the other: three voters of which all serve bear a loss, five of
// which three serve bear none.
func shrinkByTwoDeparting(a *membershipAssessment) (membershipChange, bool) {
	if a.notServing < 2 || a.voters < a.tolerance.minVoters()+2 || !a.canRemoveDeparting() {
		return membershipChange{}, false
	}
	return a.removeDeparting(), true
}

// demoteSpareVoter: of an even number of voters that all serve one becomes a
// learner, unless a learner is about to make the number odd.
func demoteSpareVoter(a *membershipAssessment) (membershipChange, bool) {
	if a.departing != nil || !a.isVoterCountEven() || a.voters <= a.eventualTarget {
		return membershipChange{}, false
	}
	return membershipChange{a.current.WithLearner(a.chooseSpare()), "spare voter demoted to learner"}, true
}

// removeLostLearner: a learner leaves the group when a newer incarnation of it is
// heard, or when it has not been heard for long.
func removeLostLearner(a *membershipAssessment) (membershipChange, bool) {
	for _, m := range a.current.Learners {
		health := a.healthOf(m)
		if health.isReplaced || health.isExpired {
			return membershipChange{a.current.Without(m.ID), "lost learner removed"}, true
		}
	}
	return membershipChange{}, false
}

// removeDeparting takes the vote of the departing voter. A replaced one leaves the
// group, any other stays as a learner, as it may come back.
func (a *membershipAssessment) removeDeparting() membershipChange {
	m := *a.departing
	health := a.healthOf(m)
	switch {
	case health.isReplaced:
		return membershipChange{a.current.Without(m.ID), "replaced voter removed"}
	case !health.isAlive:
		return membershipChange{a.current.WithLearner(m), "dead voter demoted to learner"}
	}
	return membershipChange{a.current.WithLearner(m), "leaving voter demoted to learner"}
}

// chooseSpare returns the voter that the group misses least: of the failure domain with
// the most votes the one that holds the least of the log, and never the leader. There
// must be another voter than the leader.
func (a *membershipAssessment) chooseSpare() raft.Member {
	var spare *raft.Member
	for i, m := range a.current.Voters {
		if m.ID == a.self {
			continue
		}
		if spare == nil || a.isMoreSpare(m, *spare) {
			spare = &a.current.Voters[i]
		}
	}
	return *spare
}

func (a *membershipAssessment) isMoreSpare(m, than raft.Member) bool {
	health := a.healthOf(m)
	other := a.healthOf(than)
	votes := a.votesByDomain[health.failureDomain]
	otherVotes := a.votesByDomain[other.failureDomain]
	if votes != otherVotes {
		return votes > otherVotes
	}
	return health.matchIndex < other.matchIndex
}

// canLeave reports whether the process of member id may end. What was committed when
// it first asked, up to commitIndex, must be held by every other voter that serves,
// these must be a majority, and without the member the group must bear what it is to
// bear, unless nobody is there to take over its vote.
func canLeave(current raft.Membership, self, id uint64, tolerance faultTolerance, commitIndex uint64, healthOf func(raft.Member) memberHealth) bool {
	serving := 0
	for _, m := range current.Voters {
		health := healthOf(m)
		if m.ID == id || !health.isServing() {
			continue
		}
		serving++
		if health.matchIndex < commitIndex {
			return false
		}
	}
	voters := len(current.Voters)
	if serving <= voters/2 {
		return false
	}
	spareLosses := serving - (voters/2 + 1)
	if !current.IsVoter(id) || spareLosses >= tolerance.machines {
		return true
	}
	if _, reason := nextMembership(current, self, tolerance, healthOf); reason != "" {
		return false
	}
	for _, m := range current.Learners {
		if healthOf(m).isServing() && (!m.Uncounted || voters < tolerance.minVoters()) {
			return false // it will vote instead
		}
	}
	return true
}
