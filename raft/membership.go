package raft

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"fmt"
	"slices"
	"time"
)

// Changes of membership, one voter at a time.

type loggedMembership struct {
	index      uint64
	membership Membership
}

// Encode writes a membership as an entry's data.
func (m Membership) Encode() []byte {
	var b bytes.Buffer
	_ = gob.NewEncoder(&b).Encode(m) // a struct of plain fields always encodes
	return b.Bytes()
}

// DecodeMembership reads an entry's data.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&m); err != nil {
		return m, fmt.Errorf("raft: membership: %w", err)
	}
	return m, nil
}

func (n *Node) trackMembership(e Entry) {
	if e.Type != EntryConfChange {
		return
	}
	if m, err := DecodeMembership(e.Data); err == nil {
		n.memberships = append(n.memberships, loggedMembership{e.Index, m})
	}
}

// Membership is the newest membership in the log, committed or not.
func (n *Node) Membership() Membership { return n.memberships[len(n.memberships)-1].membership }

// MembershipIndex is where the newest membership stands in the log.
func (n *Node) MembershipIndex() uint64 { return n.memberships[len(n.memberships)-1].index }

// HasPendingConfChange tells whether a change of membership is still on its way, or the
// leader has not yet committed in its own term.
func (n *Node) HasPendingConfChange() bool {
	return n.memberships[len(n.memberships)-1].index > n.commitIndex || n.commitIndex < n.termStartIndex
}

// StalledFor tells for how long a member has lacked entries and acknowledged none: it may
// be heard all the same, as one whose disk hangs is.
func (n *Node) StalledFor(id uint64) time.Duration {
	p := n.progress[id]
	if p == nil || p.matchIndex >= n.lastIndex() {
		return 0
	}
	return n.now - p.lastProgressAt
}

// ProposeConfChange appends a membership that differs from the present one by at
// most one voter.
func (n *Node) ProposeConfChange(m Membership) error {
	switch {
	case n.role != Leader || n.transferTarget != 0:
		return fmt.Errorf("raft: not the leader")
	case n.HasPendingConfChange():
		return fmt.Errorf("raft: another change is on its way")
	case voterDifference(n.Membership().Voters, m.Voters) > 1:
		return fmt.Errorf("raft: more than one voter changed")
	case !m.IsVoter(n.config.ID):
		return fmt.Errorf("raft: a leader does not remove itself")
	}
	n.appendEntry(Entry{Type: EntryConfChange, Data: m.Encode()})
	for _, x := range m.AllMembers() {
		if x.ID != n.config.ID {
			n.ensureProgress(x.ID)
		}
	}
	return nil
}

func voterDifference(a, b []Member) int {
	d := 0
	for _, m := range a {
		if indexOfMember(b, m.ID) < 0 {
			d++
		}
	}
	for _, m := range b {
		if indexOfMember(a, m.ID) < 0 {
			d++
		}
	}
	return d
}

// majorityValue gives the largest value that more than half of the voters have reached, own
// for this node and of for the others; zero where nothing is known of one, or nobody
// votes.
func majorityValue[T cmp.Ordered](n *Node, own T, of func(*progress) T) (reached T) {
	voters := n.Membership().Voters
	if len(voters) == 0 {
		return reached
	}
	all := make([]T, len(voters))
	for i, m := range voters {
		if m.ID == n.config.ID {
			all[i] = own
		} else if p := n.progress[m.ID]; p != nil {
			all[i] = of(p)
		}
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}
