package controlplane

import (
	"time"

	"lichentray/internal/settings"
	"lichentray/raft"
)

// formation determines when a group has formed, which is the condition for its leader to accept
// proposals. At the first start of a deployment the seed nodes are the group, whether or not
// they have disks and however many voters the fault tolerance requires. A change acknowledged
// by the seeds alone would be lost with their processes if they have no disks, or with the
// number of disks that the deployment must be able to lose.
//
// Until the group has formed, proposals are neither written to the log nor rejected
// permanently: callers retry them.
type formation struct {
	// isFirstStart is set if the deployment starts for the first time.
	isFirstStart bool
	// window is how long after the start of this process further members are expected.
	window time.Duration
	// minVoters is the number of voters with disks at which the wait for further members ends.
	minVoters int
}

// maxSeeds is the maximum number of control-plane nodes that the settings name as seeds. If
// they name fewer, there are no other control-plane nodes.
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

// isComplete reports whether the leader may accept proposals. healthOf is called only if some
// voter keeps its log in memory and some member has a disk.
func (f formation) isComplete(membership raft.Membership, now time.Duration, healthOf func() func(raft.Member) memberHealth) bool {
	if f.expectsMembers(membership, now) {
		return false
	}
	if countByStorage(membership.Voters, raft.StorageMemory) == 0 {
		return true
	}
	return !hasServingDiskMember(membership, healthOf)
}

// expectsMembers reports whether further members may still join and vote in place of, or in
// addition to, the present voters.
func (f formation) expectsMembers(membership raft.Membership, now time.Duration) bool {
	if !f.isFirstStart || now >= f.window {
		return false
	}
	onDisk := countByStorage(membership.Voters, raft.StorageDisk)
	return onDisk < len(membership.Voters) || onDisk < f.minVoters
}

// hasServingDiskMember reports whether a member that keeps its log on disk is serving: the
// votes are about to move to it.
func hasServingDiskMember(membership raft.Membership, healthOf func() func(raft.Member) memberHealth) bool {
	members := membership.AllMembers()
	if countByStorage(members, raft.StorageDisk) == 0 {
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

// countByStorage returns the number of members that keep their log in the given storage.
func countByStorage(members []raft.Member, storage raft.Storage) int {
	count := 0
	for _, m := range members {
		if m.Storage == storage {
			count++
		}
	}
	return count
}

// isDiskless reports whether all members keep their log in memory, so that nodes without a disk
// must be members of the group.
func (f formation) isDiskless(membership raft.Membership, now time.Duration) bool {
	members := membership.AllMembers()
	return countByStorage(members, raft.StorageMemory) == len(members) && !f.expectsMembers(membership, now)
}
