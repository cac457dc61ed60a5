package raft

import (
	"bytes"
	"encoding/gob"
	"fmt"
)

// Member is one node of the cluster. The field names are part of the wire format.
type Member struct {
	// ID identifies the node as long as it keeps its storage; see Config.ID.
	ID   uint64
	Addr string // address for the other members
	API  string // address for clients
	// Uncounted marks a node that may disappear at any time and is not counted for the
	// cluster's fault tolerance.
	Uncounted bool
	// Storage is where the node keeps its log, its vote and its snapshot.
	Storage Storage
}

// Storage is where a member keeps its persistent state. The numeric values are part of the
// wire format.
type Storage uint8

const (
	// StorageUnknown is the storage of a member that has not reported it yet.
	StorageUnknown Storage = iota
	// StorageDisk survives a restart of the member's process.
	StorageDisk
	// StorageMemory is lost when the member's process ends; the node cannot return as the
	// same member.
	StorageMemory
)

// Membership is the configuration of the cluster (the paper, section 6): the voters, and
// the learners (thesis, section 4.2.1), which receive the log but do not vote. Its methods
// do not modify it. The field names are part of the wire format.
type Membership struct {
	Voters   []Member
	Learners []Member
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id uint64) bool { return indexOfMember(m.Voters, id) >= 0 }

// IsMember reports whether id is a voter or a learner.
func (m Membership) IsMember(id uint64) bool {
	return m.IsVoter(id) || indexOfMember(m.Learners, id) >= 0
}

// AllMembers returns the voters, followed by the learners, in a new slice.
func (m Membership) AllMembers() []Member {
	return append(append([]Member(nil), m.Voters...), m.Learners...)
}

// String returns the name of the storage, as used in log messages.
func (s Storage) String() string {
	switch s {
	case StorageDisk:
		return "disk"
	case StorageMemory:
		return "memory"
	}
	return "unknown"
}

// Find returns the voter or learner with the given ID.
func (m Membership) Find(id uint64) (member Member, isMember bool) {
	for _, members := range [...][]Member{m.Voters, m.Learners} {
		if i := indexOfMember(members, id); i >= 0 {
			return members[i], true
		}
	}
	return Member{}, false
}

// WithDescription returns the membership in which the member with the ID of x has the
// Uncounted and Storage values of x. Voters and learners remain the same.
func (m Membership) WithDescription(x Member) Membership {
	return Membership{
		Voters:   withDescription(m.Voters, x),
		Learners: withDescription(m.Learners, x),
	}
}

// WithLearner returns the membership with x as a learner, whatever its previous role.
func (m Membership) WithLearner(x Member) Membership {
	return Membership{
		Voters:   withoutMember(m.Voters, x.ID),
		Learners: append(withoutMember(m.Learners, x.ID), x),
	}
}

// WithVoter returns the membership with x as a voter, whatever its previous role.
func (m Membership) WithVoter(x Member) Membership {
	return Membership{
		Voters:   append(withoutMember(m.Voters, x.ID), x),
		Learners: withoutMember(m.Learners, x.ID),
	}
}

// Without returns the membership without the member with the given ID.
func (m Membership) Without(id uint64) Membership {
	return Membership{
		Voters:   withoutMember(m.Voters, id),
		Learners: withoutMember(m.Learners, id),
	}
}

// Encode returns the membership as the data of an EntryConfChange.
func (m Membership) Encode() []byte {
	var b bytes.Buffer
	_ = gob.NewEncoder(&b).Encode(m) // cannot fail: all field types are encodable
	return b.Bytes()
}

// DecodeMembership decodes the data of an EntryConfChange.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&m); err != nil {
		return m, fmt.Errorf("raft: decode membership: %w", err)
	}
	return m, nil
}

// indexOfMember returns the position of id in members, or -1.
func indexOfMember(members []Member, id uint64) int {
	for i := range members {
		if members[i].ID == id {
			return i
		}
	}
	return -1
}

// withoutMember returns a copy of members without the one with the given ID.
func withoutMember(members []Member, id uint64) []Member {
	rest := make([]Member, 0, len(members))
	for _, m := range members {
		if m.ID != id {
			rest = append(rest, m)
		}
	}
	return rest
}

// withDescription returns a copy of members in which the one with the ID of x has the
// Uncounted and Storage values of x.
func withDescription(members []Member, x Member) []Member {
	described := append([]Member(nil), members...)
	if i := indexOfMember(described, x.ID); i >= 0 {
		described[i].Uncounted = x.Uncounted
		described[i].Storage = x.Storage
	}
	return described
}

// voterDifference returns the number of members that are in only one of a and b.
func voterDifference(a, b []Member) int {
	return countMissing(a, b) + countMissing(b, a)
}

// countMissing returns the number of members that are not in others.
func countMissing(members, others []Member) int {
	missing := 0
	for _, m := range members {
		if indexOfMember(others, m.ID) < 0 {
			missing++
		}
	}
	return missing
}
