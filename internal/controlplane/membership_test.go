package controlplane

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"lichentray/internal/settings"
	"lichentray/raft"
)

// TestNextMembershipAgainstModel applies changes to random groups until there is nothing left
// to change, and compares the result with a slow, simple model that tries every set of voters.
// In the second half of the seeds some members keep their logs in memory, and none of them
// except the leader may vote in a group that has disks.
func TestNextMembershipAgainstModel(t *testing.T) {
	const seeds = 40000
	for seed := range int64(seeds) {
		r := rand.New(rand.NewSource(seed))
		tolerance := faultTolerance{machines: 1 + r.Intn(2), failureDomains: r.Intn(2)}
		healthByID := map[uint64]memberHealth{}
		var membership raft.Membership
		for id := uint64(1); id <= uint64(1+r.Intn(9)); id++ {
			health := memberHealth{isAlive: true, isCaughtUp: true, matchIndex: uint64(r.Intn(9)), failureDomain: fmt.Sprint(r.Intn(3))}
			switch r.Intn(6) {
			case 0:
				health.isAlive, health.isExpired = false, r.Intn(2) == 0
			case 1:
				health.isLeaving = true
			case 2:
				health.isCaughtUp = false
			case 3:
				health.isReplaced = r.Intn(3) == 0
			}
			m := raft.Member{ID: id, Uncounted: r.Intn(6) == 0}
			if seed >= seeds/2 {
				m.Storage = []raft.Storage{raft.StorageDisk, raft.StorageMemory}[r.Intn(2)]
			}
			if id == 1 {
				health = memberHealth{isAlive: true, isCaughtUp: true, failureDomain: "0"}
			}
			if id == 1 || r.Intn(2) == 0 {
				membership.Voters = append(membership.Voters, m)
			} else {
				membership.Learners = append(membership.Learners, m)
			}
			healthByID[id] = health
		}
		healthOf := func(m raft.Member) memberHealth { return healthByID[m.ID] }
		countVoters := func(ms raft.Membership) (serving, alive int) {
			for _, m := range ms.Voters {
				if s := healthByID[m.ID]; s.isServing() {
					serving++
					alive++
				} else if s.isAlive && !s.isReplaced {
					alive++
				}
			}
			return serving, alive
		}
		if _, alive := countVoters(membership); alive <= len(membership.Voters)/2 {
			continue // such a group has no leader
		}
		start := membership
		hasDisk, knowsDisk := false, false
		for _, m := range membership.AllMembers() {
			s := healthByID[m.ID]
			knowsDisk = knowsDisk || m.Storage == raft.StorageDisk
			hasDisk = hasDisk || (m.Storage == raft.StorageDisk && s.isServing() && (membership.IsVoter(m.ID) || s.isCaughtUp))
		}
		mayVote := func(m raft.Member) bool { return m.ID == 1 || !hasDisk || m.Storage != raft.StorageMemory }
		for step := 0; ; step++ {
			next, reason := nextMembership(membership, 1, tolerance, healthOf)
			if reason == "" {
				break
			}
			moved := 0
			for _, m := range append(membership.AllMembers(), next.AllMembers()...) {
				if membership.IsVoter(m.ID) != next.IsVoter(m.ID) {
					moved++
					if next.IsVoter(m.ID) && m.Storage == raft.StorageMemory && countByStorage(membership.AllMembers(), raft.StorageDisk) > 0 {
						t.Fatalf("seed %d: a member without a disk gains a vote: from %+v to %+v", seed, membership, next)
					}
					if m.Uncounted && next.IsVoter(m.ID) && len(membership.Voters) >= tolerance.minVoters() {
						t.Fatalf("seed %d: an uncounted member gains a vote although there are enough voters", seed)
					}
				}
			}
			if _, alive := countVoters(next); alive <= len(next.Voters)/2 || !next.IsVoter(1) || moved > 2 || step > 30 {
				t.Fatalf("seed %d: invalid change %q: from %+v to %+v", seed, reason, membership, next)
			}
			membership = next
		}
		for _, m := range membership.Voters {
			rest := membership.Without(m.ID)
			if _, alive := countVoters(rest); !mayVote(m) && alive > len(rest.Voters)/2 {
				t.Fatalf("seed %d: a member without a disk keeps its vote: from %+v to %+v", seed, start, membership)
			}
		}
		// The model: every set of odd size that a leader could choose from the serving members.
		best := -1
		var ids []uint64
		for _, m := range start.AllMembers() {
			if s := healthByID[m.ID]; s.isServing() && mayVote(m) && (start.IsVoter(m.ID) || (s.isCaughtUp && !m.Uncounted && !(knowsDisk && m.Storage == raft.StorageMemory))) {
				ids = append(ids, m.ID)
			}
		}
		for set := 1; set < 1<<len(ids); set++ {
			votesByDomain, n := map[string]int{}, 0
			for i, id := range ids {
				if set>>i&1 == 1 {
					votesByDomain[healthByID[id].failureDomain]++
					n++
				}
			}
			ok := n%2 == 1 && n >= tolerance.minVoters()
			for _, k := range votesByDomain {
				ok = ok && k <= tolerance.maxVotersPerDomain(n)
			}
			if ok {
				best = max(best, n/2)
			}
		}
		serving, _ := countVoters(membership)
		if margin := serving - (len(membership.Voters)/2 + 1); best >= 0 && margin < min(best, tolerance.machines) {
			t.Fatalf("seed %d: the voters tolerate %d further losses, %d are possible\nfrom %+v\nto %+v\n%+v", seed, margin, best, start, membership, healthByID)
		}
	}
}

// TestCanLeave guards against a member that stops before every serving voter holds what was
// committed, or while a learner that could take over its vote has not become a voter yet.
func TestCanLeave(t *testing.T) {
	m := func(id uint64) raft.Member { return raft.Member{ID: id} }
	three := raft.Membership{Voters: []raft.Member{m(1), m(2), m(3)}}
	five := raft.Membership{Voters: append([]raft.Member{m(4), m(5)}, three.Voters...)}
	for _, c := range []struct {
		name string
		ms   raft.Membership
		edit func(healthByID map[uint64]memberHealth)
		want bool
	}{
		{"three voters, no learner", three, nil, true},
		{"a voter lacks the last entry", three, func(healthByID map[uint64]memberHealth) {
			healthByID[2] = memberHealth{isAlive: true, isCaughtUp: true, matchIndex: 9}
		}, false},
		{"a voter is dead", three, func(healthByID map[uint64]memberHealth) { healthByID[2] = memberHealth{} }, false},
		{"two voters leave at once", three, func(healthByID map[uint64]memberHealth) {
			healthByID[2] = memberHealth{isAlive: true, isLeaving: true, matchIndex: 10}
		}, false},
		{"a learner that has caught up", three.WithLearner(m(4)), nil, false},
		{"a learner that is catching up", three.WithLearner(m(4)), func(healthByID map[uint64]memberHealth) { healthByID[4] = memberHealth{isAlive: true} }, false},
		{"a dead learner", three.WithLearner(m(4)), func(healthByID map[uint64]memberHealth) { healthByID[4] = memberHealth{} }, true},
		{"five voters", five, nil, true},
		{"five voters, one dead", five, func(healthByID map[uint64]memberHealth) { healthByID[2] = memberHealth{} }, false},
		{"the leaving member is a learner", five.WithLearner(m(3)), nil, true},
	} {
		healthByID := map[uint64]memberHealth{}
		for id := uint64(1); id <= 5; id++ {
			healthByID[id] = memberHealth{isAlive: true, isCaughtUp: true, matchIndex: 10, isLeaving: id == 3}
		}
		if c.edit != nil {
			c.edit(healthByID)
		}
		if got := canLeave(c.ms, 1, 3, faultTolerance{machines: 1}, 10, func(m raft.Member) memberHealth { return healthByID[m.ID] }); got != c.want {
			t.Errorf("%s: canLeave = %v", c.name, got)
		}
	}
}

// TestSecondLossAfterRepair guards against a group that does not survive the next loss after it
// was repaired. Over many seeds a machine is lost and returns as it was, with an empty disk or
// as another machine, and the next one is lost as soon as the fault tolerance allows. After
// each loss commands must soon be acknowledged again, and no acknowledged command may be lost.
func TestSecondLossAfterRepair(t *testing.T) {
	for seed := range int64(16) {
		c := newSimulatedCore(t, seed, 3+int(seed%4))
		for range 5 {
			id := c.anyRunning(0)
			kind := c.Rand.Intn(6)
			what := fmt.Sprintf("loss of kind %d of member %d", kind, id)
			down := time.Duration(c.Rand.Int63n(int64(3 * simDeadMemberTimeout)))
			hanging := false
			switch kind {
			case 0, 1, 2: // crash; the disk is kept or lost, or another machine replaces it
				c.Crash(id)
			case 3:
				c.SetFrozen(id, true)
			case 4:
				c.HangDisk(id, down)
				hanging = true
			case 5:
				c.shutDown(id)
			}
			if !hanging { // a leader with a hanging disk has to detect that first
				c.requireProgress(10*simElectionTimeout, what)
			}
			c.runFor(down)
			switch kind {
			case 0, 5:
				c.Restart(id)
			case 1, 2:
				addr := c.addrs[id]
				c.Remove(id)
				if kind == 2 {
					addr = fmt.Sprint("node-", c.lastID+1)
				}
				c.startWithEmptyDisk(addr)
			case 3:
				c.SetFrozen(id, false)
			}
			c.runFor(simCatchUpTime)
		}
		c.requireProgress(simElectionTimeout, "the last repair")
		c.runFor(simDeadMemberTimeout)
		c.requireNothingLost()
	}
}

// TestLossRightAfterLeave guards against a member that leaves before the group can tolerate the
// loss of another one. One member of a group shuts down and, if there is a spare machine,
// another one is lost as soon as the process has stopped. Once all return with their disks the
// group must be complete. Without a spare machine the member may leave all the same.
func TestLossRightAfterLeave(t *testing.T) {
	for seed := range int64(24) {
		n := 3 + int(seed%4)
		c := newSimulatedCore(t, seed, n)
		id := c.anyRunning(0)
		commit, changed := c.Leader().Raft.CommitIndex(), c.Leader().Raft.MembershipIndex()
		if !c.shutDown(id) {
			t.Fatalf("seed %d: leave of one of %d members is not approved", seed, n)
		}
		for _, m := range c.Leader().Raft.Membership().Voters {
			if m.ID != id && c.Nodes[m.ID].Raft.StableIndex() < commit {
				t.Fatalf("seed %d: member %d has left, but member %d lacks committed entries", seed, id, m.ID)
			}
		}
		if now := c.Leader().Raft.MembershipIndex(); n%2 == 1 && now != changed {
			t.Fatalf("seed %d: the leave of one of %d members changes the membership", seed, n)
		}
		if n > 3 {
			c.Crash(c.anyRunning(id))
			c.requireProgress(10*simElectionTimeout, "a leave and a loss")
		}
		for _, id := range c.IDs() {
			c.Restart(id)
		}
		c.runFor(2 * simCatchUpTime)
		if ms := c.Leader().Raft.Membership(); len(ms.Voters) != n-1+n%2 || len(ms.Learners) != 1-n%2 {
			t.Fatalf("seed %d: %d voters and %d learners of %d members", seed, len(ms.Voters), len(ms.Learners), n)
		}
	}
}

// TestVoterWithHangingDiskIsReplaced guards against counting on a member whose disk hangs while
// it still answers heartbeats. A learner must replace such a voter before another voter is
// lost, and a learner with a hanging disk, a few entries behind, must not become a voter.
func TestVoterWithHangingDiskIsReplaced(t *testing.T) {
	for seed := range int64(16) {
		c := newSimulatedCore(t, seed, 4)
		ms := c.Leader().Raft.Membership()
		spare, hangs := ms.Learners[0].ID, ms.Voters[0].ID
		if seed%2 == 1 {
			hangs = spare
		}
		c.HangDisk(hangs, time.Hour)
		c.runFor(2 * simDeadMemberTimeout)
		for _, m := range ms.Voters {
			if m.ID != hangs {
				c.Crash(m.ID)
				break
			}
		}
		c.requireProgress(10*simElectionTimeout, "a hanging disk and a loss")
		c.runFor(2 * simDeadMemberTimeout)
		c.requireProgress(simElectionTimeout, "the repair")
	}
}

// TestReplacementIsKeptAfterElection guards against a new leader that removes the new
// incarnation at an address instead of the old one, since its last contact with both is the
// same just after the election.
func TestReplacementIsKeptAfterElection(t *testing.T) {
	c := newSimulatedCore(t, 1, 3)
	c.Crash(1)
	c.requireProgress(10*simElectionTimeout, "the loss")
	replacement := c.startWithEmptyDisk("node-1")
	for end := c.Now + simElectionTimeout; c.Now < end && !c.Leader().Raft.Membership().IsMember(replacement); {
		c.runFor(c.StepInterval)
	}
	old := c.Leader()
	for _, id := range c.IDs() {
		c.SetLinkCut(replacement, id, true)
	}
	old.Raft.TransferLeadership()
	c.Run(simElectionTimeout)
	if c.Leader() == nil || c.Leader() == old {
		t.Fatal("leadership was not transferred")
	}
	c.runFor(3 * simElectionTimeout)
	if !c.Leader().Raft.Membership().IsMember(replacement) {
		t.Error("the new incarnation was removed instead of the old one")
	}
	c.Heal()
	c.runFor(simDeadMemberTimeout)
	if ms := c.Leader().Raft.Membership(); ms.IsMember(1) || !ms.IsVoter(replacement) {
		t.Errorf("the new incarnation has not replaced the old one: %+v", ms)
	}
}

// TestPeriodicTasksOfNewLeader guards against periodic tasks that use leader state before it is
// set up. The only voter of a group wins its election within a tick, and after a slow start its
// periodic tasks may be due in the same tick.
func TestPeriodicTasksOfNewLeader(t *testing.T) {
	node := newTestCluster(t, 1, nil).nodes[0]
	eventually(t, "the node leads", func() bool { return node.Status().Role == raft.Leader.String() })
	done := make(chan bool)
	node.loop.post(func(state *loopState) {
		state.role, state.periodicTasksAt = raft.Follower, -time.Hour
		state.liveness.outliers, state.quotas = nil, nil
		node.runPeriodicTasks(state)
		close(done)
	})
	<-done
}

// TestLeaveAndRejoin runs four complete nodes. One shuts down, a second one is lost
// immediately, and the first returns and becomes a voter. The lost node returns only after it
// has been removed from the group, and must rejoin although its disk says that it is a voter.
func TestLeaveAndRejoin(t *testing.T) {
	cluster := newTestCluster(t, 4, func(s *settings.Settings) {
		s.Bounds.RecoveryTime, s.Bounds.CatchUpTime = 1, 1
	})
	voters := func(without string) (n, members int) {
		leader := cluster.leader()
		if leader == nil {
			return 0, 0
		}
		for _, m := range leader.Status().Members {
			if m.IsVoter && m.ID != without {
				n++
			}
			if m.ID != without {
				members++
			}
		}
		return n, members
	}
	eventually(t, "three members are voters and one is a learner", func() bool { n, all := voters(""); return n == 3 && all == 4 })
	first := 0
	for i, node := range cluster.nodes {
		if s := node.Status(); s.Role != raft.Leader.String() && node.loop != nil && i < 3 {
			first = i
		}
	}
	id := formatMemberID(cluster.nodes[first].self.ID)
	cluster.nodes[first].PrepareShutdown(30 * time.Second)
	if n, _ := voters(id); n != 3 {
		t.Errorf("%d voters besides the leaving member, want 3", n)
	}
	cluster.nodes[first].Close()
	lost := (first + 1) % 3
	cluster.nodes[lost].Close()
	eventually(t, "a change is accepted", func() bool {
		return cluster.nodes[3].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 5)), nil) == nil
	})
	cluster.start(first, false)
	lostID := formatMemberID(cluster.nodes[lost].self.ID)
	eventually(t, "the restarted node is a voter and the lost one is removed", func() bool {
		n, all := voters("")
		others, _ := voters(lostID)
		return n == 3 && all == 3 && others == 3
	})
	cluster.start(lost, false)
	eventually(t, "the lost node is a member again", func() bool { _, all := voters(""); return all == 4 })
	eventually(t, "the lost node follows the leader", func() bool { return cluster.nodes[lost].ReadIndex() == nil })
}
