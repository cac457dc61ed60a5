package modelcheck

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lichentray/raft"
)

// clusterState is one state of the search: the nodes, the messages in the network, and the
// history needed to check the invariants after the next event. A visited state is not
// modified.
type clusterState struct {
	*transitionCache
	nodes        []*nodeState
	network      []*packet
	committed    []committedEntry  // by index, from 1 on
	leaderByTerm map[uint64]uint64 // shared between states; replaced, never modified
	votes        []grantedVote
	pendingReads []pendingRead
	lostDisks    []uint64 // IDs of the nodes that lost their disk
	nextID       uint64   // next free node ID
	lastSerial   uint64   // of proposals and reads
	budgetLeft   Budget
	violation    string // the first violation, or empty
}

// committedEntry is an entry that a leader has committed.
type committedEntry struct {
	entry           raft.Entry
	digest          uint64 // of all entries up to this one
	committedInTerm uint64 // term of the leader that committed it first
	membership      string // latest membership committed at or before this entry
}

// grantedVote is a vote that was sent, including a candidate's vote for itself.
type grantedVote struct{ term, voter, candidate uint64 }

// pendingRead is an outstanding read. minIndex is the number of entries that were committed
// on any node when the read was requested.
type pendingRead struct{ requestID, node, minIndex uint64 }

// initialState returns the state right after all nodes have started.
func (x Exploration) initialState() *clusterState {
	cache := newTransitionCache()
	s := &clusterState{transitionCache: cache, budgetLeft: x.Budget}
	for range x.Voters {
		s.nextID++
		cache.initialMembership.Voters = append(cache.initialMembership.Voters, raft.Member{ID: s.nextID})
	}
	for range x.Learners {
		s.nextID++
		cache.initialMembership.Learners = append(cache.initialMembership.Learners, raft.Member{ID: s.nextID})
	}
	disk := raft.PersistentState{Snapshot: raft.Snapshot{Members: cache.initialMembership}}
	for _, m := range cache.initialMembership.AllMembers() {
		s.nodes = append(s.nodes, cache.internNode(startNode(m.ID, fingerprintHorizon, disk)))
	}
	s.nextID++
	return s
}

// fork returns a modifiable copy of s.
func (s *clusterState) fork() *clusterState {
	c := *s
	c.nodes = slices.Clone(s.nodes)
	c.network = slices.Clone(s.network)
	c.pendingReads = slices.Clone(s.pendingReads)
	// These slices only grow: a clipped slice is copied when an element is appended.
	c.committed = slices.Clip(s.committed)
	c.votes = slices.Clip(s.votes)
	c.lostDisks = slices.Clip(s.lostDisks)
	return &c
}

func (s *clusterState) nodeByID(id uint64) *nodeState {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// hash returns the same value for states with the same future behavior. It ignores the
// order of the messages in the network, of the leaders and of the votes.
func (s *clusterState) hash() uint64 {
	b := make([]byte, 0, 512)
	put := func(values ...uint64) {
		for _, v := range values {
			b = binary.BigEndian.AppendUint64(b, v)
		}
	}
	for _, n := range s.nodes {
		put(n.id, n.fingerprint)
	}
	var network uint64
	for _, p := range s.network {
		network += p.fingerprint
	}
	put(network, uint64(len(s.network)), s.nextID, s.lastSerial)
	for _, e := range s.committed {
		put(e.entry.Term, e.digest, e.committedInTerm)
	}
	var leaders uint64
	for term, id := range s.leaderByTerm {
		leaders += hashOf(term, id)
	}
	put(leaders, uint64(len(s.votes)))
	var votes uint64
	for _, v := range s.votes {
		votes += hashOf(v.term, v.voter, v.candidate)
	}
	put(votes)
	for _, r := range s.pendingReads {
		put(r.requestID, r.minIndex)
	}
	for _, left := range s.budgetLeft {
		put(uint64(left))
	}
	return xxhash.Sum64(b)
}

func hashOf(values ...uint64) uint64 {
	b := make([]byte, 0, 3*8)
	for _, v := range values {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	return xxhash.Sum64(b)
}

// recordViolation records the violation of an invariant, unless there was one before.
func (s *clusterState) recordViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// successor returns the state after e, or nil if e cannot occur or has no effect.
func (s *clusterState) successor(e event) *clusterState {
	if e.packet != nil {
		e.node = e.packet.message.To
	}
	position := slices.IndexFunc(s.nodes, func(n *nodeState) bool { return n.id == e.node })
	if position < 0 {
		return nil
	}
	before := s.nodes[position]
	t := s.transition(s.transitionKey(before, e))
	if t.next == nil || s.isNoOp(before, e, t) {
		return nil
	}
	after := s.fork()
	after.nodes[position] = t.next
	after.violation = t.violation
	after.recordClusterEffects(e)
	for _, p := range t.sent {
		after.addToNetwork(p)
	}
	after.checkObservations(t)
	after.checkInvariants(t.next)
	return after
}

// transitionKey returns the key of the effect of e on n. It omits the details of e that do
// not affect that node.
func (s *clusterState) transitionKey(n *nodeState, e event) transitionKey {
	key := transitionKey{node: n, event: e}
	key.event.node = 0
	switch e.kind {
	case Duplicate:
		key.event.kind = Deliver
	case Propose, ReadIndex:
		key.serial = s.lastSerial + 1
	case LoseDisk:
		key.serial = s.nextID
	}
	return key
}

// isNoOp reports whether a transition has no effect on the cluster. It is true also for a
// delivery that only removes the message from the network: the search skips it, as it is
// covered by the message staying in the network.
func (s *clusterState) isNoOp(before *nodeState, e event, t *transition) bool {
	return t.next == before && len(t.observations) == 0 && e.kind != ReadIndex &&
		!slices.ContainsFunc(t.sent, s.isNewPacket)
}

// recordClusterEffects records the effects of an event outside its node.
func (s *clusterState) recordClusterEffects(e event) {
	switch e.kind {
	case Deliver:
		s.network = slices.DeleteFunc(s.network, func(p *packet) bool { return p == e.packet })
	case Propose:
		s.lastSerial++
	case ReadIndex:
		s.lastSerial++
		s.pendingReads = append(s.pendingReads, pendingRead{
			requestID: s.lastSerial,
			node:      e.node,
			minIndex:  uint64(len(s.committed)),
		})
	case Crash, ReuseDisk, LoseDisk:
		s.pendingReads = slices.DeleteFunc(s.pendingReads, func(r pendingRead) bool { return r.node == e.node })
	}
	if e.kind == LoseDisk {
		s.lostDisks = append(s.lostDisks, e.node)
		s.network = slices.DeleteFunc(s.network, func(p *packet) bool { return p.message.To == e.node })
		s.nextID++
	}
}

// isNewPacket reports whether p is to be added to the network: its receiver exists, and no
// equal message is in the network.
func (s *clusterState) isNewPacket(p *packet) bool {
	return s.nodeByID(p.message.To) != nil && !slices.Contains(s.network, p)
}

func (s *clusterState) addToNetwork(p *packet) {
	switch m := p.message; {
	case m.Type == raft.MsgVote:
		s.recordVote(grantedVote{term: m.Term, voter: m.From, candidate: m.From})
	case m.Type == raft.MsgVoteResp && !m.Reject:
		s.recordVote(grantedVote{term: m.Term, voter: m.From, candidate: m.To})
	}
	if s.isNewPacket(p) {
		s.network = append(s.network, p)
	}
}
