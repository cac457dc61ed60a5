package controlplane

import (
	"fmt"
	"testing"
	"time"

	"lichentray/internal/settings"
	"lichentray/raft"
)

const (
	unknown  = raft.StorageUnknown
	onDisk   = raft.StorageDisk
	inMemory = raft.StorageMemory
)

// membersIn returns members with consecutive IDs that keep their logs in the given storages.
func membersIn(firstID uint64, storages ...raft.Storage) (members []raft.Member) {
	for i, storage := range storages {
		members = append(members, raft.Member{ID: firstID + uint64(i), Storage: storage})
	}
	return members
}

// TestFormationIsComplete guards against changes that are acknowledged by seeds without a disk,
// or by fewer voters than the fault tolerance requires, while other members are about to join.
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
		{"seed without a description", first, []raft.Storage{unknown, onDisk, onDisk}, nil, false, early, false},
		{"three disks", first, []raft.Storage{onDisk, onDisk, onDisk}, nil, false, early, true},
		{"two disks, a third may join", first, []raft.Storage{onDisk, onDisk}, nil, false, early, false},
		{"two disks, no third has joined in time", first, []raft.Storage{onDisk, onDisk}, nil, false, late, true},
		{"one of three without a disk, early", first, []raft.Storage{inMemory, onDisk, onDisk}, nil, false, early, false},
		{"one of three without a disk, late", first, []raft.Storage{inMemory, onDisk, onDisk}, nil, false, late, false},
		{"no disk, one may join", first, []raft.Storage{inMemory, inMemory, inMemory}, nil, false, early, false},
		{"no disk, none has joined in time", first, []raft.Storage{inMemory, inMemory, inMemory}, nil, false, late, true},
		{"learner with a disk", later, []raft.Storage{inMemory, inMemory, inMemory}, []raft.Storage{onDisk}, false, early, false},
		{"dead learner with a disk", later, []raft.Storage{inMemory, inMemory, inMemory}, []raft.Storage{onDisk}, true, early, true},
		{"group of an older version", later, []raft.Storage{unknown, unknown, unknown}, nil, false, early, true},
		{"later start, two disks", later, []raft.Storage{onDisk, onDisk}, nil, false, early, true},
	} {
		membership := raft.Membership{
			Voters:   membersIn(1, c.voters...),
			Learners: membersIn(uint64(1+len(c.voters)), c.learners...),
		}
		health := func(raft.Member) memberHealth { return memberHealth{isAlive: !c.isDiskDead} }
		got := c.formation.isComplete(membership, c.now, func() func(raft.Member) memberHealth { return health })
		if got != c.want {
			t.Errorf("%s: isComplete = %v", c.name, got)
		}
	}
}

// TestFormationWithFewerSeeds guards against a deployment that waits for members that do not
// exist: if the settings name fewer than three seeds, there are no other control-plane nodes.
func TestFormationWithFewerSeeds(t *testing.T) {
	set := &settings.Settings{
		SeedNodes:      []string{"127.0.0.1:80", "127.0.0.2:80"},
		PortRange:      []int{70, 79},
		FaultTolerance: settings.FaultTolerance{Machines: 1},
	}
	if got := newFormation(set).minVoters; got != 2 {
		t.Errorf("two seeds: minVoters = %d, want 2", got)
	}
	set.SeedNodes = append(set.SeedNodes, "127.0.0.3:80")
	set.FaultTolerance.Machines = 2
	if got := newFormation(set).minVoters; got != 5 {
		t.Errorf("three seeds, two tolerated losses: minVoters = %d, want 5", got)
	}
}

// newFormingCore starts a group for the first time, with the given number of disks and of seeds
// without a disk.
func newFormingCore(t *testing.T, seed int64, disks, disklessSeeds int) *simulatedCore {
	c := startSimulatedCore(t, seed, disks+disklessSeeds)
	c.formation = formation{isFirstStart: true, window: 10 * simElectionTimeout, minVoters: 3}
	for id := uint64(1); id <= c.lastID; id++ {
		c.storages[id] = onDisk
		if id <= uint64(disklessSeeds) {
			c.storages[id] = inMemory
		}
	}
	return c
}

// killAll stops all processes and restarts those that have a disk. The member whose disk is
// lost, 0 for none, restarts with an empty one. Members without a disk do not return.
func (c *simulatedCore) killAll(lostDisk uint64) {
	for _, id := range c.IDs() {
		c.Crash(id)
		delete(c.planners, id)
	}
	c.formation.isFirstStart = false
	for _, id := range c.IDs() {
		switch {
		case c.storages[id] == inMemory:
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

// TestAcknowledgedChangeOutlastsSeedsWithoutDisk guards against the loss of acknowledged
// changes, and of the group itself, in a deployment whose first seeds have no disk. All
// processes are killed at any time after the first acknowledgement, and a disk is lost as well.
func TestAcknowledgedChangeOutlastsSeedsWithoutDisk(t *testing.T) {
	for seed := range int64(60) {
		disks := 3 + int(seed%3)
		c := newFormingCore(t, seed, disks, 1+int(seed/3%3))
		for len(c.acknowledged) == 0 {
			c.runFor(c.StepInterval)
			if c.Now > 3*simCatchUpTime {
				t.Fatalf("seed %d: no command was acknowledged: %+v", seed, c.Leader().Raft.Membership())
			}
		}
		if seed%2 == 1 { // while votes are still moving
			c.runFor(time.Duration(c.Rand.Int63n(int64(simCatchUpTime))))
		}
		var lostDisk uint64
		if seed%4 < 2 {
			lostDisk = c.IDs()[len(c.IDs())-1-c.Rand.Intn(3)]
		}
		c.killAll(lostDisk)
		c.requireProgress(20*simElectionTimeout, fmt.Sprint("a restart of all processes, lost disk ", lostDisk))
		c.runFor(simDeadMemberTimeout)
		c.requireNothingLost()
	}
}

// TestGroupWithoutDisksMovesVotesToDisk guards against a group that started without any disk
// and keeps its votes in memory, or stops making progress, when a machine with a disk joins
// long after its start.
func TestGroupWithoutDisksMovesVotesToDisk(t *testing.T) {
	for seed := range int64(20) {
		c := newFormingCore(t, seed, 0, 3)
		c.runFor(2 * simCatchUpTime)
		if len(c.acknowledged) == 0 {
			t.Fatalf("seed %d: no command was acknowledged by a group without disks", seed)
		}
		c.storages[c.startWithEmptyDisk("node-4")] = onDisk
		c.runFor(2 * simCatchUpTime)
		if voters := c.Leader().Raft.Membership().Voters; len(voters) != 1 || voters[0].Storage != onDisk {
			t.Fatalf("seed %d: voters = %+v, want only the member with a disk", seed, voters)
		}
		c.killAll(0)
		c.requireProgress(20*simElectionTimeout, "a restart of all processes")
		c.runFor(simDeadMemberTimeout)
		c.requireNothingLost()
	}
}

// TestMemoryLeaderPromotesDisk guards against a leader without a disk that keeps the only vote
// because no voter besides the leader can be replaced.
func TestMemoryLeaderPromotesDisk(t *testing.T) {
	alive := func(raft.Member) memberHealth { return memberHealth{isAlive: true, isCaughtUp: true} }
	for _, domains := range []int{0, 1} {
		membership := raft.Membership{Voters: membersIn(1, inMemory), Learners: membersIn(2, onDisk)}
		tolerance := faultTolerance{failureDomains: domains}
		next, reason := nextMembership(membership, 1, tolerance, alive)
		if !next.IsVoter(2) || !next.IsVoter(1) {
			t.Fatalf("single voter: nextMembership reason %q, membership %+v; want both as voters", reason, next)
		}
		if _, reason := nextMembership(next, 1, tolerance, alive); reason != "" {
			t.Errorf("before the leadership transfer: reason = %q, want none", reason)
		}
		if next, reason := nextMembership(next, 2, tolerance, alive); len(next.AllMembers()) != 1 {
			t.Errorf("after the leadership transfer: reason %q, membership %+v; want one member", reason, next)
		}
	}
}

// TestGroupOfOlderVersionMovesVotesToDisks guards against a group that was started by an older
// version on seeds without a disk and keeps its votes there after the upgrade. The nodes with
// disks are upgraded first, while the seeds still run; then the seeds become relays, one after
// the other.
func TestGroupOfOlderVersionMovesVotesToDisks(t *testing.T) {
	for seed := range int64(20) {
		c := newSimulatedCore(t, seed, 6)
		for id := uint64(4); id <= c.lastID; id++ {
			c.storages[id] = onDisk
			delete(c.planners, id)
		}
		c.Leader().Raft.TransferLeadership() // until a node of the new version leads
		for c.Leader() == nil || c.Leader().ID < 4 {
			if lead := c.Leader(); lead != nil {
				lead.Raft.TransferLeadership()
			}
			c.runFor(2 * simElectionTimeout)
		}
		c.runFor(2 * simCatchUpTime)
		onDisks := countByStorage(c.Leader().Raft.Membership().Voters, onDisk)
		if voters := len(c.Leader().Raft.Membership().Voters); onDisks <= voters/2 {
			t.Fatalf("seed %d: %d of %d voters have disks, want a majority: %+v", seed, onDisks, voters, c.Leader().Raft.Membership())
		}
		for id := uint64(1); id <= 3; id++ {
			c.Remove(id)
			c.runFor(2 * simCatchUpTime)
		}
		c.killAll(4)
		c.requireProgress(20*simElectionTimeout, "a restart of all processes and a lost disk")
		c.runFor(simDeadMemberTimeout)
		c.requireNothingLost()
	}
}
