package controlplane

import (
	"lichentray/internal/settings"
	"lichentray/raft"
)

// faultTolerance is the number of simultaneous losses that the group must survive.
type faultTolerance struct {
	machines int
	// failureDomains is how many zones or regions may be lost, 0 if none.
	failureDomains int
}

func newFaultTolerance(set *settings.Settings) faultTolerance {
	return faultTolerance{
		machines:       set.FaultTolerance.Machines,
		failureDomains: max(set.FaultTolerance.Zones, set.FaultTolerance.Regions),
	}
}

// preferredVoters is the maximum number of voters if the fault tolerance requires fewer. Each
// further voter would add latency to every commit, to tolerate losses that the deployment does
// not ask for.
const preferredVoters = 5

// minVoters returns the number of voters that the fault tolerance requires: 2f+1 voters survive
// f losses.
func (t faultTolerance) minVoters() int { return 2*t.machines + 1 }

// maxVotersPerDomain returns how many of the given number of votes one failure domain may hold:
// the domains that may be lost together must not hold a majority.
func (t faultTolerance) maxVotersPerDomain(votes int) int {
	if t.failureDomains == 0 {
		return votes
	}
	return max(1, (votes-1)/2/t.failureDomains)
}

// targetVoters returns how many members should vote, given the number of eligible members in
// each failure domain: an odd number, as large as they and the limit for each domain allow.
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
	isAlive    bool // in contact recently and, if it votes, acknowledging entries
	isLeaving  bool // its process is about to stop
	isReplaced bool // there has been later contact with another incarnation at its address
	isCaughtUp bool // holds all but the most recent entries
	isExpired  bool // out of contact for so long that it is removed if it is a learner

	matchIndex    uint64
	failureDomain string
}

// isServing reports whether the group can rely on the member.
func (h memberHealth) isServing() bool { return h.isAlive && !h.isLeaving && !h.isReplaced }

// isAcknowledging reports whether the member counts towards a majority now. A member that is
// leaving still does.
func (h memberHealth) isAcknowledging() bool { return h.isAlive && !h.isReplaced }

// removalUrgency orders the voters that are not serving: the one with the highest value loses
// its vote first.
func (h memberHealth) removalUrgency() int {
	switch {
	case h.isReplaced:
		return 2
	case !h.isAlive:
		return 1
	}
	return 0 // leaving: it still acknowledges
}

// membershipAssessment is the input of the membership rules.
type membershipAssessment struct {
	current   raft.Membership
	self      uint64 // the leader
	tolerance faultTolerance
	healthOf  func(raft.Member) memberHealth

	voters        int
	serving       int // voters that are serving
	acknowledging int // voters that count towards a majority now

	// removalCandidate is the next voter to lose its vote because it is replaced, dead, leaving
	// or must retire; nil if all voters but the leader are serving. notServing is the number of
	// voters that are not serving.
	removalCandidate *raft.Member
	notServing       int

	// votesByDomain is the number of serving voters in each failure domain.
	votesByDomain map[string]int
	// targetVoters is the number of voters that the members eligible now allow, eventualTarget
	// the number allowed once the learners have caught up. Voters are added up to the former
	// and removed down to the latter, so that a learner that lags for a moment causes no
	// change.
	targetVoters   int
	eventualTarget int
	// hasDiskMember is set if some member keeps its log on disk: members that keep theirs in
	// memory then gain no vote. retiresMemoryMembers is set if such a member is serving and is
	// a voter or has caught up: members that keep their log in memory then lose their votes.
	hasDiskMember        bool
	retiresMemoryMembers bool
	// domainLimit is the maximum number of votes in one failure domain.
	domainLimit int
	// promotionCandidate is the next learner to become a voter, nil if none can.
	promotionCandidate *raft.Member
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
	a.assessStorage()
	a.assessVoters()
	a.assessTargets()
	a.domainLimit = tolerance.maxVotersPerDomain(max(a.targetVoters, a.voters-1+a.voters%2))
	a.choosePromotionCandidate()
	return a
}

func (a *membershipAssessment) assessStorage() {
	for _, m := range a.current.AllMembers() {
		if m.Storage != raft.StorageDisk {
			continue
		}
		a.hasDiskMember = true
		health := a.healthOf(m)
		if health.isServing() && (a.current.IsVoter(m.ID) || health.isCaughtUp) {
			a.retiresMemoryMembers = true
		}
	}
}

// mustRetire reports whether a member must leave the group because it keeps its log in memory
// while others have disks: a restart of its process would lose what it has acknowledged. A
// leader first transfers its leadership, see membershipPlanner.mustTransferLeadership.
func (a *membershipAssessment) mustRetire(m raft.Member) bool {
	return a.retiresMemoryMembers && m.Storage == raft.StorageMemory
}

// isServing reports whether the group can rely on a voter from now on.
func (a *membershipAssessment) isServing(m raft.Member) bool {
	return a.healthOf(m).isServing() && !a.mustRetire(m)
}

// isEligibleVoter reports whether a learner could become a voter once it has caught up. A
// member that does not count for the fault tolerance becomes one only while there are too few
// voters.
func (a *membershipAssessment) isEligibleVoter(m raft.Member) bool {
	if m.Storage == raft.StorageMemory && a.hasDiskMember {
		return false
	}
	return !m.Uncounted || a.voters < a.tolerance.minVoters()
}

func (a *membershipAssessment) assessVoters() {
	for i, m := range a.current.Voters {
		health := a.healthOf(m)
		if health.isAcknowledging() {
			a.acknowledging++
		}
		if a.isServing(m) {
			a.serving++
			a.votesByDomain[health.failureDomain]++
			continue
		}
		a.notServing++
		if m.ID == a.self {
			continue
		}
		if a.removalCandidate == nil || health.removalUrgency() > a.healthOf(*a.removalCandidate).removalUrgency() {
			a.removalCandidate = &a.current.Voters[i]
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
		if m.Uncounted || !a.isEligibleVoter(m) || !health.isServing() {
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

func (a *membershipAssessment) choosePromotionCandidate() {
	for i, m := range a.current.Learners {
		if !a.canPromote(m) {
			continue
		}
		if a.promotionCandidate == nil || a.isBetterCandidate(m, *a.promotionCandidate) {
			a.promotionCandidate = &a.current.Learners[i]
		}
	}
}

// canPromote reports whether a learner may become a voter now.
func (a *membershipAssessment) canPromote(m raft.Member) bool {
	return a.isReadyToVote(m) && a.votesByDomain[a.healthOf(m).failureDomain] < a.domainLimit
}

// isReadyToVote is canPromote without the limit on the votes of a failure domain.
func (a *membershipAssessment) isReadyToVote(m raft.Member) bool {
	health := a.healthOf(m)
	return a.isEligibleVoter(m) && health.isServing() && health.isCaughtUp
}

// canReplace reports whether a learner may vote in place of a voter.
func (a *membershipAssessment) canReplace(voter, learner raft.Member) bool {
	domain := a.healthOf(learner).failureDomain
	votes := a.votesByDomain[domain]
	if a.healthOf(voter).failureDomain == domain {
		votes--
	}
	return a.isReadyToVote(learner) && votes < a.domainLimit
}

// isBetterCandidate prefers members with higher durability, then those in the failure domain
// with fewer votes, then those that hold more of the log.
func (a *membershipAssessment) isBetterCandidate(m, than raft.Member) bool {
	if durability, other := durabilityOf(m), durabilityOf(than); durability != other {
		return durability > other
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

// isVoterCountEven reports whether the number of voters is even. One of them could then be
// removed without loss of fault tolerance.
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

// canRemoveCandidate reports whether removalCandidate may lose its vote. The others must
// contain a majority that acknowledges. In addition, there must be more voters than the fault
// tolerance requires, or a majority of the voters must be serving, or the candidate must be due
// to retire.
func (a *membershipAssessment) canRemoveCandidate() bool {
	if a.removalCandidate == nil || !a.hasMajorityWithout(*a.removalCandidate) {
		return false
	}
	return a.voters > a.tolerance.minVoters() || a.serving > a.voters/2 || a.mustRetire(*a.removalCandidate)
}

// hasMajorityWithout reports whether a majority still acknowledges once a voter has lost its
// vote.
func (a *membershipAssessment) hasMajorityWithout(voter raft.Member) bool {
	remaining := a.acknowledging
	if a.healthOf(voter).isAcknowledging() {
		remaining--
	}
	return remaining > (a.voters-1)/2
}

// membershipChange is a change of at most one voter, as required for single-server changes
// (Ongaro, Consensus: Bridging Theory and Practice, section 4.1).
type membershipChange struct {
	next   raft.Membership
	reason string
}

// membershipRule is one reason to change the membership. It returns false if it does not apply.
type membershipRule func(*membershipAssessment) (membershipChange, bool)

// membershipRules are tried in this order; the first one that applies determines the change.
var membershipRules = []membershipRule{
	removeFromEvenVoters,
	promoteLearner,
	retireMemoryVoter,
	shrinkByTwoVoters,
	demoteExcessVoter,
	replaceLessDurableVoter,
	removeLostLearner,
}

// nextMembership returns the next change towards a complete set of serving voters. self is the
// leader. The reason is empty if there is nothing to change.
func nextMembership(current raft.Membership, self uint64, tolerance faultTolerance, healthOf func(raft.Member) memberHealth) (next raft.Membership, reason string) {
	assessment := assessMembership(current, self, tolerance, healthOf)
	for _, rule := range membershipRules {
		if change, applies := rule(assessment); applies {
			return change.next, change.reason
		}
	}
	return current, ""
}

// removeFromEvenVoters removes the vote of a voter that is not serving if the number of voters
// is even. The majority then needs one vote fewer.
func removeFromEvenVoters(a *membershipAssessment) (membershipChange, bool) {
	if !a.isVoterCountEven() || !a.canRemoveCandidate() {
		return membershipChange{}, false
	}
	return a.remove(*a.removalCandidate), true
}

// promoteLearner makes a learner that has caught up a voter if a voter is not serving, if there
// are too few voters, or if a failure domain holds too many votes. In the first and last case
// the voter that it replaces loses its vote in the next change.
func promoteLearner(a *membershipAssessment) (membershipChange, bool) {
	if a.promotionCandidate == nil {
		return membershipChange{}, false
	}
	isNeeded := a.notServing > 0 ||
		a.voters < a.targetVoters ||
		(a.exceedsDomainLimit() && !a.isVoterCountEven())
	if !isNeeded {
		return membershipChange{}, false
	}
	return membershipChange{a.current.WithVoter(*a.promotionCandidate), "learner promoted to voter"}, true
}

// retireMemoryVoter removes a voter that keeps its log in memory from a group that has members
// with disks, even if no learner takes its place.
func retireMemoryVoter(a *membershipAssessment) (membershipChange, bool) {
	for _, m := range a.current.Voters {
		if m.ID != a.self && a.mustRetire(m) && a.hasMajorityWithout(m) {
			return a.remove(m), true
		}
	}
	return membershipChange{}, false
}

// shrinkByTwoVoters removes two voters, one after the other, if both are not serving and no
// learner replaces them: three voters that all serve tolerate one loss, five of which three
// serve tolerate none.
func shrinkByTwoVoters(a *membershipAssessment) (membershipChange, bool) {
	if a.notServing < 2 || a.voters < a.tolerance.minVoters()+2 || !a.canRemoveCandidate() {
		return membershipChange{}, false
	}
	return a.remove(*a.removalCandidate), true
}

// demoteExcessVoter makes one of an even number of serving voters a learner, unless a learner
// is about to make the number odd.
func demoteExcessVoter(a *membershipAssessment) (membershipChange, bool) {
	if a.notServing > 0 || !a.isVoterCountEven() || a.voters <= a.eventualTarget {
		return membershipChange{}, false
	}
	return membershipChange{a.current.WithLearner(a.chooseExcessVoter()), "spare voter demoted to learner"}, true
}

// replaceLessDurableVoter promotes a learner with higher durability than some voter.
// demoteExcessVoter makes that voter a learner in the next change. Such a voter does not count
// for the fault tolerance, or is a seed without a disk whose version is too old to report its
// storage.
func replaceLessDurableVoter(a *membershipAssessment) (membershipChange, bool) {
	if a.notServing > 0 || a.isVoterCountEven() || a.voters == 1 {
		return membershipChange{}, false
	}
	leastDurable := a.chooseExcessVoter()
	for _, m := range a.current.Learners {
		if durabilityOf(m) > durabilityOf(leastDurable) && a.canReplace(leastDurable, m) {
			return membershipChange{a.current.WithVoter(m), "learner promoted in place of a weaker voter"}, true
		}
	}
	return membershipChange{}, false
}

// durabilityOf ranks members by which losses their copy of the log survives. Counting for the
// fault tolerance weighs more than having a disk.
func durabilityOf(m raft.Member) int {
	durability := 0
	if !m.Uncounted {
		durability += 2
	}
	if m.Storage == raft.StorageDisk {
		durability++
	}
	return durability
}

// removeLostLearner removes a learner if there has been later contact with another incarnation
// of it, if it has been out of contact for long, or if it keeps its log in memory and the group
// has members with disks.
func removeLostLearner(a *membershipAssessment) (membershipChange, bool) {
	for _, m := range a.current.Learners {
		health := a.healthOf(m)
		if health.isReplaced || health.isExpired {
			return membershipChange{a.current.Without(m.ID), "lost learner removed"}, true
		}
		if a.mustRetire(m) {
			return membershipChange{a.current.Without(m.ID), "learner without a disk removed"}, true
		}
	}
	return membershipChange{}, false
}

// remove removes the vote of a voter that is not serving. A replaced voter leaves the group,
// and so does one that must retire. Any other stays as a learner because it may return.
func (a *membershipAssessment) remove(m raft.Member) membershipChange {
	health := a.healthOf(m)
	switch {
	case health.isReplaced:
		return membershipChange{a.current.Without(m.ID), "replaced voter removed"}
	case a.mustRetire(m):
		return membershipChange{a.current.Without(m.ID), "voter without a disk removed"}
	case !health.isAlive:
		return membershipChange{a.current.WithLearner(m), "dead voter demoted to learner"}
	}
	return membershipChange{a.current.WithLearner(m), "leaving voter demoted to learner"}
}

// chooseExcessVoter returns the most expendable voter: one with the lowest durability, among
// those one in the failure domain with the most votes, among those the one that holds the least
// of the log. It is never the leader. There must be a voter besides the leader.
func (a *membershipAssessment) chooseExcessVoter() raft.Member {
	var excess *raft.Member
	for i, m := range a.current.Voters {
		if m.ID == a.self {
			continue
		}
		if excess == nil || a.isMoreExpendable(m, *excess) {
			excess = &a.current.Voters[i]
		}
	}
	return *excess
}

func (a *membershipAssessment) isMoreExpendable(m, than raft.Member) bool {
	if durability, other := durabilityOf(m), durabilityOf(than); durability != other {
		return durability < other
	}
	health := a.healthOf(m)
	other := a.healthOf(than)
	votes := a.votesByDomain[health.failureDomain]
	otherVotes := a.votesByDomain[other.failureDomain]
	if votes != otherVotes {
		return votes > otherVotes
	}
	return health.matchIndex < other.matchIndex
}

// canLeave reports whether the process of member id may stop. Every other serving voter must
// hold what was committed when the member first asked, up to commitIndex, and these voters must
// be a majority. Without the member the group must still tolerate the required losses, unless
// no member can take its place as a voter.
func canLeave(current raft.Membership, self, id uint64, tolerance faultTolerance, commitIndex uint64, healthOf func(raft.Member) memberHealth) bool {
	assessment := assessMembership(current, self, tolerance, healthOf)
	serving := 0
	for _, m := range current.Voters {
		if m.ID == id || !assessment.isServing(m) {
			continue
		}
		serving++
		if healthOf(m).matchIndex < commitIndex {
			return false
		}
	}
	voters := len(current.Voters)
	if serving <= voters/2 {
		return false
	}
	toleratedLosses := serving - (voters/2 + 1)
	if !current.IsVoter(id) || toleratedLosses >= tolerance.machines {
		return true
	}
	if _, reason := nextMembership(current, self, tolerance, healthOf); reason != "" {
		return false
	}
	for _, m := range current.Learners {
		if healthOf(m).isServing() && assessment.isEligibleVoter(m) {
			return false // it will become a voter
		}
	}
	return true
}
