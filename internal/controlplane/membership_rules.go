package controlplane

import (
	"lichentray/internal/settings"
	"lichentray/raft"
)

// faultTolerance is what the group must be able to lose at once.
type faultTolerance struct {
	machines int
	// failureDomains is how many zones or regions may be lost; 0 if none.
	failureDomains int
}

func newFaultTolerance(set *settings.Settings) faultTolerance {
	return faultTolerance{
		machines:       set.FaultTolerance.Machines,
		failureDomains: max(set.FaultTolerance.Zones, set.FaultTolerance.Regions),
	}
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

	// departing is the voter that loses its vote first, as it is replaced, dead, leaving or
	// retiring; nil if all voters but the leader serve. notServing is how many do not.
	departing  *raft.Member
	notServing int

	// votesByDomain counts the serving voters of each failure domain.
	votesByDomain map[string]int
	// targetVoters is what those who could vote now allow, eventualTarget what they
	// allow once the learners have caught up. Voters are added for the former and
	// given up for the latter, so that a learner that lags for a moment moves nothing.
	targetVoters   int
	eventualTarget int
	// hasDiskMember reports whether some member keeps its log on a disk: then none that keeps
	// it in memory gains a vote. retiresMemory reports whether one of those serves and holds
	// the log: then those that keep it in memory lose their votes.
	hasDiskMember bool
	retiresMemory bool
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
	a.assessStorage()
	a.assessVoters()
	a.assessTargets()
	a.domainLimit = tolerance.maxVotersPerDomain(max(a.targetVoters, a.voters-1+a.voters%2))
	a.chooseCandidate()
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
			a.retiresMemory = true
		}
	}
}

// mustRetire reports whether a member leaves the group because it keeps its log in memory
// beside others that have disks: a restart of its process would take back what it has
// acknowledged. A leader hands its leadership on first, see membershipPlanner.mustHandOver.
func (a *membershipAssessment) mustRetire(m raft.Member) bool {
	return a.retiresMemory && m.Storage == raft.StorageMemory
}

// isServing reports whether the group may count on a voter from now on.
func (a *membershipAssessment) isServing(m raft.Member) bool {
	return a.healthOf(m).isServing() && !a.mustRetire(m)
}

// mayEverVote reports whether a learner could be given a vote once it has caught up. One that
// does not count for the tolerance votes only while voters are lacking.
func (a *membershipAssessment) mayEverVote(m raft.Member) bool {
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
		if m.Uncounted || !a.mayEverVote(m) || !health.isServing() {
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

// canVote reports whether a learner may be given a vote now.
func (a *membershipAssessment) canVote(m raft.Member) bool {
	return a.isReadyToVote(m) && a.votesByDomain[a.healthOf(m).failureDomain] < a.domainLimit
}

// isReadyToVote is canVote but for the limit of the learner's failure domain.
func (a *membershipAssessment) isReadyToVote(m raft.Member) bool {
	health := a.healthOf(m)
	return a.mayEverVote(m) && health.isServing() && health.isCaughtUp
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

// isBetterCandidate prefers members whose copy of the log outlasts more, then those of the
// failure domain with fewer votes, then those that hold more of the log.
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
// asks for, unless the majority serves anyway or the departing one keeps its log in memory.
func (a *membershipAssessment) canRemoveDeparting() bool {
	if a.departing == nil || !a.hasMajorityWithout(*a.departing) {
		return false
	}
	return a.voters > a.tolerance.minVoters() || a.serving > a.voters/2 || a.mustRetire(*a.departing)
}

// hasMajorityWithout reports whether a majority acknowledges once a voter has lost its vote.
func (a *membershipAssessment) hasMajorityWithout(voter raft.Member) bool {
	remaining := a.acknowledging
	if a.healthOf(voter).isAcknowledging() {
		remaining--
	}
	return remaining > (a.voters-1)/2
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
	retireMemoryVoter,
	shrinkByTwoDeparting,
	demoteSpareVoter,
	replaceWeakVoter,
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
	return a.remove(*a.departing), true
}

// promoteLearner: a learner that has caught up votes if a voter does not serve, if
// voters are lacking, or if a failure domain holds too many votes. In the first and
// last case the voter that it replaces loses its vote with the next step.
func promoteLearner(a *membershipAssessment) (membershipChange, bool) {
	if a.candidate == nil {
		return membershipChange{}, false
	}
	isNeeded := a.notServing > 0 ||
		a.voters < a.targetVoters ||
		(a.exceedsDomainLimit() && !a.isVoterCountEven())
	if !isNeeded {
		return membershipChange{}, false
	}
	return membershipChange{a.current.WithVoter(*a.candidate), "learner promoted to voter"}, true
}

// retireMemoryVoter: a voter that keeps its log in memory leaves the group beside members with a
// disk, also where nobody takes its place.
func retireMemoryVoter(a *membershipAssessment) (membershipChange, bool) {
	for _, m := range a.current.Voters {
		if m.ID != a.self && a.mustRetire(m) && a.hasMajorityWithout(m) {
			return a.remove(m), true
		}
	}
	return membershipChange{}, false
}

// shrinkByTwoDeparting: when two voters do not serve and nobody takes their place,
// both go, one after the other: three voters of which all serve bear a loss, five of
// which three serve bear none.
func shrinkByTwoDeparting(a *membershipAssessment) (membershipChange, bool) {
	if a.notServing < 2 || a.voters < a.tolerance.minVoters()+2 || !a.canRemoveDeparting() {
		return membershipChange{}, false
	}
	return a.remove(*a.departing), true
}

// demoteSpareVoter: of an even number of voters that all serve one becomes a
// learner, unless a learner is about to make the number odd.
func demoteSpareVoter(a *membershipAssessment) (membershipChange, bool) {
	if a.notServing > 0 || !a.isVoterCountEven() || a.voters <= a.eventualTarget {
		return membershipChange{}, false
	}
	return membershipChange{a.current.WithLearner(a.chooseSpare()), "spare voter demoted to learner"}, true
}

// replaceWeakVoter: a learner that outlasts more than a voter does votes in its place. The voter
// becomes a learner with the next step, by demoteSpareVoter. Such a voter is one that does not count
// for the tolerance, or a seed without a disk whose program is too old to say so.
func replaceWeakVoter(a *membershipAssessment) (membershipChange, bool) {
	if a.notServing > 0 || a.isVoterCountEven() || a.voters == 1 {
		return membershipChange{}, false
	}
	weakest := a.chooseSpare()
	for _, m := range a.current.Learners {
		if durabilityOf(m) > durabilityOf(weakest) && a.canReplace(weakest, m) {
			return membershipChange{a.current.WithVoter(m), "learner promoted in place of a weaker voter"}, true
		}
	}
	return membershipChange{}, false
}

// durabilityOf orders members by what their copy of the log outlasts. To count for the tolerance
// weighs more than a disk.
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

// removeLostLearner: a learner leaves the group when a newer incarnation of it is
// heard, when it has not been heard for long, or when it keeps its log in memory and is
// not needed.
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

// remove takes the vote of a voter that does not serve. A replaced one leaves the
// group, and so does one that keeps its log in memory beside members with a disk. Any other
// stays as a learner, as it may come back.
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

// chooseSpare returns the voter that the group misses least: one whose copy of the log outlasts
// least, of those of the failure domain with the most votes, of those the one that holds the
// least of the log, and never the leader. There must be another voter than the leader.
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

// canLeave reports whether the process of member id may end. What was committed when
// it first asked, up to commitIndex, must be held by every other voter that serves,
// these must be a majority, and without the member the group must bear what it is to
// bear, unless nobody is there to take over its vote.
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
	spareLosses := serving - (voters/2 + 1)
	if !current.IsVoter(id) || spareLosses >= tolerance.machines {
		return true
	}
	if _, reason := nextMembership(current, self, tolerance, healthOf); reason != "" {
		return false
	}
	for _, m := range current.Learners {
		if healthOf(m).isServing() && assessment.mayEverVote(m) {
			return false // it will vote instead
		}
	}
	return true
}
