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

type placedMembership struct {
	index   uint64
	members Membership
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

func (n *Node) noteMembership(e Entry) {
	if e.Type != Change {
		return
	}
	if m, err := DecodeMembership(e.Data); err == nil {
		n.memberships = append(n.memberships, placedMembership{e.Index, m})
	}
}

// Members is the newest membership in the log, committed or not.
func (n *Node) Members() Membership { return n.memberships[len(n.memberships)-1].members }

// MembersIndex is where the newest membership stands in the log.
func (n *Node) MembersIndex() uint64 { return n.memberships[len(n.memberships)-1].index }

// Changing tells whether a change of membership is still on its way, or the
// leader has not yet committed in its own term.
func (n *Node) Changing() bool {
	return n.memberships[len(n.memberships)-1].index > n.commit || n.commit < n.termStart
}

// Stalled tells for how long a member has lacked entries and acknowledged none: it may
// be heard all the same, as one whose disk hangs is.
func (n *Node) Stalled(id uint64) time.Duration {
	p := n.peers[id]
	if p == nil || p.match >= n.last() {
		return 0
	}
	return n.now - p.ackedAt
}

// ProposeMembers appends a membership that differs from the present one by at
// most one voter.
func (n *Node) ProposeMembers(m Membership) error {
	switch {
	case n.role != Leader || n.transferTo != 0:
		return fmt.Errorf("raft: not the leader")
	case n.Changing():
		return fmt.Errorf("raft: another change is on its way")
	case distance(n.Members().Voters, m.Voters) > 1:
		return fmt.Errorf("raft: more than one voter changed")
	case !m.Voter(n.cfg.ID):
		return fmt.Errorf("raft: a leader does not remove itself")
	}
	n.push(Entry{Type: Change, Data: m.Encode()})
	for _, x := range m.All() {
		if x.ID != n.cfg.ID {
			n.peer(x.ID)
		}
	}
	return nil
}

func distance(a, b []Member) int {
	d := 0
	for _, m := range a {
		if find(b, m.ID) < 0 {
			d++
		}
	}
	for _, m := range b {
		if find(a, m.ID) < 0 {
			d++
		}
	}
	return d
}

// majority gives the largest value that more than half of the voters have reached, own
// for this node and of for the others; zero where nothing is known of one, or nobody
// votes.
func majority[T cmp.Ordered](n *Node, own T, of func(*progress) T) (reached T) {
	voters := n.Members().Voters
	if len(voters) == 0 {
		return reached
	}
	all := make([]T, len(voters))
	for i, m := range voters {
		if m.ID == n.cfg.ID {
			all[i] = own
		} else if p := n.peers[m.ID]; p != nil {
			all[i] = of(p)
		}
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}
