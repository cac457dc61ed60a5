package controlplane

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"lichentray/internal/settings"
	"lichentray/raft"
)

// TestNextMembershipAgainstModel compares the changes, made until there is nothing left to
// change, with a slow plain model that tries every set of voters. In the later half of the seeds some
// members keep their logs in memory, and none of them but the leader may vote beside a disk.
func TestNextMembershipAgainstModel(t *testing.T) {
	const seeds = 40000
	for seed := range int64(seeds) {
		r := rand.New(rand.NewSource(seed))
		tol := faultTolerance{machines: 1 + r.Intn(2), failureDomains: r.Intn(2)}
		of := map[uint64]memberHealth{}
		var ms raft.Membership
		for id := uint64(1); id <= uint64(1+r.Intn(9)); id++ {
			s := memberHealth{isAlive: true, isCaughtUp: true, matchIndex: uint64(r.Intn(9)), failureDomain: fmt.Sprint(r.Intn(3))}
			switch r.Intn(6) {
			case 0:
				s.isAlive, s.isExpired = false, r.Intn(2) == 0
			case 1:
				s.isLeaving = true
			case 2:
				s.isCaughtUp = false
			case 3:
				s.isReplaced = r.Intn(3) == 0
			}
			m := raft.Member{ID: id, Uncounted: r.Intn(6) == 0}
			if seed >= seeds/2 {
				m.Storage = []raft.Storage{raft.StorageDisk, raft.StorageMemory}[r.Intn(2)]
			}
			if id == 1 {
				s = memberHealth{isAlive: true, isCaughtUp: true, failureDomain: "0"}
			}
			if id == 1 || r.Intn(2) == 0 {
				ms.Voters = append(ms.Voters, m)
			} else {
				ms.Learners = append(ms.Learners, m)
			}
			of[id] = s
		}
		get := func(m raft.Member) memberHealth { return of[m.ID] }
		acks := func(ms raft.Membership) (serving, alive int) {
			for _, m := range ms.Voters {
				if s := of[m.ID]; s.isServing() {
					serving++
					alive++
				} else if s.isAlive && !s.isReplaced {
					alive++
				}
			}
			return serving, alive
		}
		if _, alive := acks(ms); alive <= len(ms.Voters)/2 {
			continue // nobody leads such a group
		}
		start := ms
		hasDisk, knowsDisk := false, false
		for _, m := range ms.AllMembers() {
			s := of[m.ID]
			knowsDisk = knowsDisk || m.Storage == raft.StorageDisk
			hasDisk = hasDisk || (m.Storage == raft.StorageDisk && s.isServing() && (ms.IsVoter(m.ID) || s.isCaughtUp))
		}
		mayVote := func(m raft.Member) bool { return m.ID == 1 || !hasDisk || m.Storage != raft.StorageMemory }
		for step := 0; ; step++ {
			next, why := nextMembership(ms, 1, tol, get)
			if why == "" {
				break
			}
			moved := 0
			for _, m := range append(ms.AllMembers(), next.AllMembers()...) {
				if ms.IsVoter(m.ID) != next.IsVoter(m.ID) {
					moved++
					if next.IsVoter(m.ID) && m.Storage == raft.StorageMemory && countStorage(ms.AllMembers(), raft.StorageDisk) > 0 {
						t.Fatalf("seed %d: a node without a disk gains a vote: from %+v to %+v", seed, ms, next)
					}
					if m.Uncounted && next.IsVoter(m.ID) && len(ms.Voters) >= tol.minVoters() {
						t.Fatalf("seed %d: an uncounted node votes without need", seed)
					}
				}
			}
			if _, alive := acks(next); alive <= len(next.Voters)/2 || !next.IsVoter(1) || moved > 2 || step > 30 {
				t.Fatalf("seed %d: %s: from %+v to %+v", seed, why, ms, next)
			}
			ms = next
		}
		for _, m := range ms.Voters {
			rest := ms.Without(m.ID)
			if _, alive := acks(rest); !mayVote(m) && alive > len(rest.Voters)/2 {
				t.Fatalf("seed %d: a node without a disk keeps its vote: from %+v to %+v", seed, start, ms)
			}
		}
		// The model: any odd set that a leader could choose from those that serve.
		best := -1
		var ids []uint64
		for _, m := range start.AllMembers() {
			if s := of[m.ID]; s.isServing() && mayVote(m) && (start.IsVoter(m.ID) || (s.isCaughtUp && !m.Uncounted && !(knowsDisk && m.Storage == raft.StorageMemory))) {
				ids = append(ids, m.ID)
			}
		}
		for set := 1; set < 1<<len(ids); set++ {
			in, n := map[string]int{}, 0
			for i, id := range ids {
				if set>>i&1 == 1 {
					in[of[id].failureDomain]++
					n++
				}
			}
			ok := n%2 == 1 && n >= tol.minVoters()
			for _, k := range in {
				ok = ok && k <= tol.maxVotersPerDomain(n)
			}
			if ok {
				best = max(best, n/2)
			}
		}
		serving, _ := acks(ms)
		if margin := serving - (len(ms.Voters)/2 + 1); best >= 0 && margin < min(best, tol.machines) {
			t.Fatalf("seed %d: the voters bear %d further losses, %d could be borne\nfrom %+v\nto %+v\n%+v", seed, margin, best, start, ms, of)
		}
	}
}

// TestCanLeave: a member may leave once every voter that serves holds what was committed,
// and a spare member that can still catch up has its vote.
func TestCanLeave(t *testing.T) {
	m := func(id uint64) raft.Member { return raft.Member{ID: id} }
	three := raft.Membership{Voters: []raft.Member{m(1), m(2), m(3)}}
	five := raft.Membership{Voters: append([]raft.Member{m(4), m(5)}, three.Voters...)}
	for _, c := range []struct {
		name string
		ms   raft.Membership
		edit func(of map[uint64]memberHealth)
		want bool
	}{
		{"three, nobody to spare", three, nil, true},
		{"a voter lacks the last entry", three, func(of map[uint64]memberHealth) { of[2] = memberHealth{isAlive: true, isCaughtUp: true, matchIndex: 9} }, false},
		{"a voter is dead", three, func(of map[uint64]memberHealth) { of[2] = memberHealth{} }, false},
		{"two leave at once", three, func(of map[uint64]memberHealth) { of[2] = memberHealth{isAlive: true, isLeaving: true, matchIndex: 10} }, false},
		{"a spare that will vote", three.WithLearner(m(4)), nil, false},
		{"a spare that still catches up", three.WithLearner(m(4)), func(of map[uint64]memberHealth) { of[4] = memberHealth{isAlive: true} }, false},
		{"a spare that is dead", three.WithLearner(m(4)), func(of map[uint64]memberHealth) { of[4] = memberHealth{} }, true},
		{"five", five, nil, true},
		{"five, one dead", five, func(of map[uint64]memberHealth) { of[2] = memberHealth{} }, false},
		{"it follows only", five.WithLearner(m(3)), nil, true},
	} {
		of := map[uint64]memberHealth{}
		for id := uint64(1); id <= 5; id++ {
			of[id] = memberHealth{isAlive: true, isCaughtUp: true, matchIndex: 10, isLeaving: id == 3}
		}
		if c.edit != nil {
			c.edit(of)
		}
		if got := canLeave(c.ms, 1, 3, faultTolerance{machines: 1}, 10, func(m raft.Member) memberHealth { return of[m.ID] }); got != c.want {
			t.Errorf("%s: may leave %v", c.name, got)
		}
	}
}

// TestSecondLossAfterRepair: over many seeds a machine of a group is lost, comes back as
// it was, with an empty disk or as another machine, and the next one is lost as soon as
// the tolerance allows; each time commands are soon acknowledged again, and none that was
// acknowledged is lost.
func TestSecondLossAfterRepair(t *testing.T) {
	for seed := range int64(16) {
		c := newSimulatedCore(t, seed, 3+int(seed%4))
		for range 5 {
			id := c.anyRunning(0)
			kind := c.Rand.Intn(6)
			what := fmt.Sprintf("loss of kind %d of %d", kind, id)
			down := time.Duration(c.Rand.Int63n(int64(3 * simDeadMemberTimeout)))
			hanging := false
			switch kind {
			case 0, 1, 2: // crash; the disk stays, or is lost, or another machine comes
				c.Crash(id)
			case 3:
				c.SetFrozen(id, true)
			case 4:
				c.HangDisk(id, down)
				hanging = true
			case 5:
				c.shutDown(id)
			}
			if !hanging { // a leader whose disk hangs has to find that out
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

// TestLossRightAfterLeave: of a group with a machine to spare one shuts down and, as soon
// as its process has ended, another one is lost. Once they return with their disks the
// group is complete; without a spare machine the one may leave all the same.
func TestLossRightAfterLeave(t *testing.T) {
	for seed := range int64(24) {
		n := 3 + int(seed%4)
		c := newSimulatedCore(t, seed, n)
		id := c.anyRunning(0)
		commit, changed := c.Leader().Raft.CommitIndex(), c.Leader().Raft.MembershipIndex()
		if !c.shutDown(id) {
			t.Fatalf("seed %d: one of %d may not leave", seed, n)
		}
		for _, m := range c.Leader().Raft.Membership().Voters {
			if m.ID != id && c.Nodes[m.ID].Raft.StableIndex() < commit {
				t.Fatalf("seed %d: %d has left, and %d lacks what was committed", seed, id, m.ID)
			}
		}
		if now := c.Leader().Raft.MembershipIndex(); n%2 == 1 && now != changed {
			t.Fatalf("seed %d: a leave of one of %d changes the membership", seed, n)
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
			t.Fatalf("seed %d: %d voters and %d learners of %d", seed, len(ms.Voters), len(ms.Learners), n)
		}
	}
}

// TestVoterWithHangingDiskIsReplaced: a voter whose disk hangs is heard but of no use, so
// the learner votes in its place before a further voter is lost; and a learner with
// a hanging disk, a few entries behind, gets no vote.
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

// TestReplacementIsKeptAfterElection: a leader that has just been elected has heard of
// both incarnations at an address alike, and does not take the new one for the old.
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
		t.Error("the new incarnation was removed in place of the old one")
	}
	c.Heal()
	c.runFor(simDeadMemberTimeout)
	if ms := c.Leader().Raft.Membership(); ms.IsMember(1) || !ms.IsVoter(replacement) {
		t.Errorf("the new incarnation does not replace the old one: %+v", ms)
	}
}

// TestPeriodicTasksOfNewLeader: the only voter of a group wins its election within a tick,
// and its periodic tasks may be due in the same one, as after a slow start.
func TestPeriodicTasksOfNewLeader(t *testing.T) {
	node := newTestCluster(t, 1, nil).nodes[0]
	eventually(t, "it leads", func() bool { return node.Status().Role == raft.Leader.String() })
	done := make(chan bool)
	node.loop.post(func(state *loopState) {
		state.role, state.periodicTasksAt = raft.Follower, -time.Hour
		state.liveness.outliers, state.quotas = nil, nil
		node.runPeriodicTasks(state)
		close(done)
	})
	<-done
}

// TestLeaveAndRejoin drives real nodes: one of four shuts down, a second one is lost at
// once, the first returns and votes; the lost one stays away until it is no member any
// more, and rejoins with its disk, on which it is a voter.
func TestLeaveAndRejoin(t *testing.T) {
	cluster := newTestCluster(t, 4, func(s *settings.Settings) {
		s.Bounds.RecoveryTime, s.Bounds.CatchUpTime = 1, 1
	})
	voters := func(without string) (n, members int) {
		x := cluster.leader()
		if x == nil {
			return 0, 0
		}
		for _, m := range x.Status().Members {
			if m.IsVoter && m.ID != without {
				n++
			}
			if m.ID != without {
				members++
			}
		}
		return n, members
	}
	eventually(t, "three vote and one is a learner", func() bool { n, all := voters(""); return n == 3 && all == 4 })
	first := 0
	for i, l := range cluster.nodes {
		if s := l.Status(); s.Role != raft.Leader.String() && l.loop != nil && i < 3 {
			first = i
		}
	}
	id := formatMemberID(cluster.nodes[first].self.ID)
	cluster.nodes[first].PrepareShutdown(30 * time.Second)
	if n, _ := voters(id); n != 3 {
		t.Errorf("%d voters beside the one that leaves", n)
	}
	cluster.nodes[first].Close()
	lost := (first + 1) % 3
	cluster.nodes[lost].Close()
	eventually(t, "a change is taken", func() bool {
		return cluster.nodes[3].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 5))) == nil
	})
	cluster.start(first, false)
	away := formatMemberID(cluster.nodes[lost].self.ID)
	eventually(t, "it votes in place of the lost one, which is no member any more", func() bool {
		n, all := voters("")
		others, _ := voters(away)
		return n == 3 && all == 3 && others == 3
	})
	cluster.start(lost, false)
	eventually(t, "the lost one is a member again", func() bool { _, all := voters(""); return all == 4 })
	eventually(t, "and follows", func() bool { return cluster.nodes[lost].ReadIndex() == nil })
}
