package controlplane

import (
	"time"

	"lichentray/internal/settings"
	"lichentray/raft"
)

// formation tells a leader whether its group has formed, which is the condition for taking
// changes. At the first start of a deployment the seed nodes are the group, whether or not they
// have disks and however many voters the tolerance asks for. A change that they acknowledged among
// themselves would be lost with their processes, or with as many disks as may be lost.
//
// Until the group has formed, changes are neither written to the log nor rejected for good: their
// callers try again.
type formation struct {
	// isFirstStart reports whether the deployment starts for the first time.
	isFirstStart bool
	// window is for how long after the start of this process further members are expected.
	window time.Duration
	// minVoters is how many voters end the wait for further members.
	minVoters int
}

// maxSeeds is how many control-plane nodes the settings name as seeds at the most. With fewer
// names there are no other nodes.
const maxSeeds = 3

func newFormation(set *settings.Settings) formation {
	minVoters := newFaultTolerance(set).minVoters()
	if seeds := len(seedMembership(set).Voters); seeds < maxSeeds {
		minVoters = min(minVoters, seeds)
	}
	return formation{
		isFirstStart: set.Bootstrap,
		window:       set.Bounds.ContactWindow.Duration(),
		minVoters:    minVoters,
	}
}

// isComplete reports whether a leader takes changes. healthOf is asked only about a group that has
// voters without a disk and members with one.
func (f formation) isComplete(membership raft.Membership, now time.Duration, healthOf func() func(raft.Member) memberHealth) bool {
	if f.expectsMembers(membership, now) {
		return false
	}
	if countStorage(membership.Voters, raft.StorageMemory) == 0 {
		return true
	}
	return !hasServingDisk(membership, healthOf)
}

// expectsMembers reports whether members may still appear that vote in place of, or beside, those
// of now.
func (f formation) expectsMembers(membership raft.Membership, now time.Duration) bool {
	if !f.isFirstStart || now >= f.window {
		return false
	}
	onDisk := countStorage(membership.Voters, raft.StorageDisk)
	return onDisk < len(membership.Voters) || onDisk < f.minVoters
}

// hasServingDisk reports whether a member that keeps its log on a disk serves: the votes are on
// their way to it.
func hasServingDisk(membership raft.Membership, healthOf func() func(raft.Member) memberHealth) bool {
	members := membership.AllMembers()
	if countStorage(members, raft.StorageDisk) == 0 {
		return false
	}
	health := healthOf()
	for _, m := range members {
		if m.Storage == raft.StorageDisk && health(m).isServing() {
			return true
		}
	}
	return false
}

// countStorage returns how many of the members keep their log in a storage.
func countStorage(members []raft.Member, storage raft.Storage) int {
	count := 0
	for _, m := range members {
		if m.Storage == storage {
			count++
		}
	}
	return count
}

// isDiskless reports whether all members keep their log in memory, so that nodes without a disk
// have to take part in the group.
func (f formation) isDiskless(membership raft.Membership, now time.Duration) bool {
	members := membership.AllMembers()
	return countStorage(members, raft.StorageMemory) == len(members) && !f.expectsMembers(membership, now)
}
