package controlplane

import (
	"fmt"
	"testing"
	"time"

	"lichentray/internal/settings"
	"lichentray/raft"
)

const (
	unknown = raft.StorageUnknown
	onDisk  = raft.StorageDisk
	inRAM   = raft.StorageMemory
)

// membersIn returns members with consecutive IDs, which keep their logs in the given storages.
func membersIn(firstID uint64, storages ...raft.Storage) (members []raft.Member) {
	for i, storage := range storages {
		members = append(members, raft.Member{ID: firstID + uint64(i), Storage: storage})
	}
	return members
}

// TestFormationIsComplete guards against changes that are acknowledged by seeds without a disk, or by
// fewer voters than the tolerance asks for, while others are about to join.
func TestFormationIsComplete(t *testing.T) {
	const early, late = time.Second, 3 * time.Second
	first := formation{isFirstStart: true, window: late, minVoters: 3}
	later := formation{window: late, minVoters: 3}
	for _, c := range []struct {
		name             string
		formation        formation
		voters, learners []raft.Storage
		isDiskDead       bool
		now              time.Duration
		want             bool
	}{
		{"seeds that have not described themselves", first, []raft.Storage{unknown, onDisk, onDisk}, nil, false, early, false},
		{"three with disks", first, []raft.Storage{onDisk, onDisk, onDisk}, nil, false, early, true},
		{"two with disks, a third may come", first, []raft.Storage{onDisk, onDisk}, nil, false, early, false},
		{"two with disks, no third has come", first, []raft.Storage{onDisk, onDisk}, nil, false, late, true},
		{"one of three without a disk", first, []raft.Storage{inRAM, onDisk, onDisk}, nil, false, early, false},
		{"one of three without a disk, later", first, []raft.Storage{inRAM, onDisk, onDisk}, nil, false, late, false},
		{"none with a disk, one may come", first, []raft.Storage{inRAM, inRAM, inRAM}, nil, false, early, false},
		{"none with a disk, none has come", first, []raft.Storage{inRAM, inRAM, inRAM}, nil, false, late, true},
		{"a learner with a disk", later, []raft.Storage{inRAM, inRAM, inRAM}, []raft.Storage{onDisk}, false, early, false},
		{"a dead learner with a disk", later, []raft.Storage{inRAM, inRAM, inRAM}, []raft.Storage{onDisk}, true, early, true},
		{"a group of an older version", later, []raft.Storage{unknown, unknown, unknown}, nil, false, early, true},
		{"not the first start, two with disks", later, []raft.Storage{onDisk, onDisk}, nil, false, early, true},
	} {
		membership := raft.Membership{
			Voters:   membersIn(1, c.voters...),
			Learners: membersIn(uint64(1+len(c.voters)), c.learners...),
		}
		health := func(raft.Member) memberHealth { return memberHealth{isAlive: !c.isDiskDead} }
		got := c.formation.isComplete(membership, c.now, func() func(raft.Member) memberHealth { return health })
		if got != c.want {
			t.Errorf("%s: complete %v", c.name, got)
		}
	}
}

// TestFormationWithFewerSeeds checks that a deployment whose settings name fewer than three seeds, and
// which therefore has no other control-plane nodes, does not wait for any.
func TestFormationWithFewerSeeds(t *testing.T) {
	set := &settings.Settings{
		SeedNodes:      []string{"127.0.0.1:80", "127.0.0.2:80"},
		PortRange:      []int{70, 79},
		FaultTolerance: settings.FaultTolerance{Machines: 1},
	}
	if got := newFormation(set).minVoters; got != 2 {
		t.Errorf("with two seeds %d voters are awaited", got)
	}
	set.SeedNodes = append(set.SeedNodes, "127.0.0.3:80")
	set.FaultTolerance.Machines = 2
	if got := newFormation(set).minVoters; got != 5 {
		t.Errorf("with three seeds %d voters are awaited", got)
	}
}

// newFormingCore starts a group for the first time, some of whose seeds have no disk.
func newFormingCore(t *testing.T, seed int64, disks, disklessSeeds int) *simulatedCore {
	c := startSimulatedCore(t, seed, disks+disklessSeeds)
	c.formation = formation{isFirstStart: true, window: 10 * simElectionTimeout, minVoters: 3}
	for id := uint64(1); id <= c.lastID; id++ {
		c.storages[id] = onDisk
		if id <= uint64(disklessSeeds) {
			c.storages[id] = inRAM
		}
	}
	return c
}

// killAll ends all processes. Those without a disk do not come back as members; the others do, but for
// the one whose disk is lost, 0 for none.
func (c *simulatedCore) killAll(lostDisk uint64) {
	for _, id := range c.IDs() {
		c.Crash(id)
		delete(c.planners, id)
	}
	c.formation.isFirstStart = false
	for _, id := range c.IDs() {
		switch {
		case c.storages[id] == inRAM:
			c.Remove(id)
		case id == lostDisk:
			addr := c.addrs[id]
			c.Remove(id)
			c.storages[c.startWithEmptyDisk(addr)] = onDisk
		default:
			c.Restart(id)
		}
	}
}

// TestAcknowledgedChangeOutlastsSeedsWithoutDisk guards against the loss of acknowledged changes, and of
// the group itself, when all processes of a deployment whose first seeds have no disk are killed,
// at any moment from the first acknowledgement on, and a disk is lost as well.
func TestAcknowledgedChangeOutlastsSeedsWithoutDisk(t *testing.T) {
	for seed := range int64(60) {
		disks := 3 + int(seed%3)
		c := newFormingCore(t, seed, disks, 1+int(seed/3%3))
		for len(c.acknowledged) == 0 {
			c.runFor(c.StepInterval)
			if c.Now > 3*simCatchUpTime {
				t.Fatalf("seed %d: nothing is acknowledged: %+v", seed, c.Leader().Raft.Membership())
			}
		}
		if seed%2 == 1 { // while votes still move
			c.runFor(time.Duration(c.Rand.Int63n(int64(simCatchUpTime))))
		}
		var lostDisk uint64
		if seed%4 < 2 {
			lostDisk = c.IDs()[len(c.IDs())-1-c.Rand.Intn(3)]
		}
		c.killAll(lostDisk)
		c.requireProgress(20*simElectionTimeout, fmt.Sprint("a kill of all, lost disk ", lostDisk))
		c.runFor(simDeadMemberTimeout)
		c.requireNothingLost()
	}
}

// TestGroupWithoutDisksGivesWay guards against a group that began without any disk and keeps its votes
// in memory, or stops, when a machine with a disk joins long after its start.
func TestGroupWithoutDisksGivesWay(t *testing.T) {
	for seed := range int64(20) {
		c := newFormingCore(t, seed, 0, 3)
		c.runFor(2 * simCatchUpTime)
		if len(c.acknowledged) == 0 {
			t.Fatalf("seed %d: a group without disks acknowledges nothing", seed)
		}
		c.storages[c.startWithEmptyDisk("node-4")] = onDisk
		c.runFor(2 * simCatchUpTime)
		if voters := c.Leader().Raft.Membership().Voters; len(voters) != 1 || voters[0].Storage != onDisk {
			t.Fatalf("seed %d: %+v vote", seed, voters)
		}
		c.killAll(0)
		c.requireProgress(20*simElectionTimeout, "a kill of all")
		c.runFor(simDeadMemberTimeout)
		c.requireNothingLost()
	}
}

// TestMemoryLeaderPromotesDisk guards against a leader without a disk that keeps the only vote, as no
// other voter could be replaced.
func TestMemoryLeaderPromotesDisk(t *testing.T) {
	alive := func(raft.Member) memberHealth { return memberHealth{isAlive: true, isCaughtUp: true} }
	for _, domains := range []int{0, 1} {
		membership := raft.Membership{Voters: membersIn(1, inRAM), Learners: membersIn(2, onDisk)}
		tolerance := faultTolerance{failureDomains: domains}
		next, reason := nextMembership(membership, 1, tolerance, alive)
		if !next.IsVoter(2) || !next.IsVoter(1) {
			t.Fatalf("the leader alone: %q, %+v", reason, next)
		}
		if _, reason := nextMembership(next, 1, tolerance, alive); reason != "" {
			t.Errorf("while the leader hands over: %q", reason)
		}
		if next, reason := nextMembership(next, 2, tolerance, alive); len(next.AllMembers()) != 1 {
			t.Errorf("under the new leader: %q, %+v", reason, next)
		}
	}
}

// TestGroupOfOlderVersionGivesWay guards against a group that was begun by older programs with seeds
// without a disk, and that keeps its votes there once its programs are changed: those of the nodes
// with disks first, while the seeds still run, and then one seed after the other, which becomes a
// relay.
func TestGroupOfOlderVersionGivesWay(t *testing.T) {
	for seed := range int64(20) {
		c := newSimulatedCore(t, seed, 6)
		for id := uint64(4); id <= c.lastID; id++ {
			c.storages[id] = onDisk
			delete(c.planners, id)
		}
		c.Leader().Raft.TransferLeadership() // until a changed program leads
		for c.Leader() == nil || c.Leader().ID < 4 {
			if lead := c.Leader(); lead != nil {
				lead.Raft.TransferLeadership()
			}
			c.runFor(2 * simElectionTimeout)
		}
		c.runFor(2 * simCatchUpTime)
		onDisks := countStorage(c.Leader().Raft.Membership().Voters, onDisk)
		if voters := len(c.Leader().Raft.Membership().Voters); onDisks <= voters/2 {
			t.Fatalf("seed %d: %d of %d votes are on disks: %+v", seed, onDisks, voters, c.Leader().Raft.Membership())
		}
		for id := uint64(1); id <= 3; id++ {
			c.Remove(id)
			c.runFor(2 * simCatchUpTime)
		}
		c.killAll(4)
		c.requireProgress(20*simElectionTimeout, "a kill of all and a lost disk")
		c.runFor(simDeadMemberTimeout)
		c.requireNothingLost()
	}
}
