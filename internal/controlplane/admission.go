package controlplane

import (
	"lichentray/internal/apierror"
	"lichentray/raft"
)

// errCoreHasDisks rejects a node without a disk that asks to join a group that keeps its log on
// disks. Its kind tells the node that the rejection is permanent, see Node.JoinRejected.
var errCoreHasDisks = apierror.New(apierror.Conflict, "the group keeps its log on disks")

// isDescriptionCurrent reports whether a membership lists a member with the description (Storage
// and Uncounted) that the member gives of itself.
func isDescriptionCurrent(membership raft.Membership, member raft.Member) bool {
	recorded, isMember := membership.Find(member.ID)
	return isMember && recorded.Storage == member.Storage && recorded.Uncounted == member.Uncounted
}

// admit returns the membership with a node added as a learner or, if the node is already a
// member, with its description updated. If the membership has members with disks, a node without
// a disk is permanently rejected with errCoreHasDisks, but only once no membership change is
// pending; until then the error is of kind Unavailable.
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
