package controlplane

import (
	"lichentray/internal/apierror"
	"lichentray/raft"
)

// errCoreHasDisks is the answer to a node without a disk that asks to join a group that keeps its
// log on disks. Its kind tells the node that it is not needed.
var errCoreHasDisks = apierror.New(apierror.Conflict, "the group keeps its log on disks")

// isDescribed reports whether a membership says of a member what it says of itself.
func isDescribed(membership raft.Membership, member raft.Member) bool {
	recorded, isMember := membership.Find(member.ID)
	return isMember && recorded.Storage == member.Storage && recorded.Uncounted == member.Uncounted
}

// admit returns the membership in which a node is a learner or, if it is a member already, is what it
// says of itself. A node without a disk is rejected for good beside members with one, once that
// membership is committed; the error is errCoreHasDisks then.
func admit(membership raft.Membership, member raft.Member, isChangePending bool) (raft.Membership, error) {
	if membership.IsMember(member.ID) {
		return membership.WithDescription(member), nil
	}
	onDisk := countByStorage(membership.AllMembers(), raft.StorageDisk)
	if member.Storage != raft.StorageMemory || onDisk == 0 {
		return membership.WithLearner(member), nil
	}
	if isChangePending {
		return raft.Membership{}, apierror.New(apierror.Unavailable, "the membership is changing")
	}
	return raft.Membership{}, errCoreHasDisks
}
