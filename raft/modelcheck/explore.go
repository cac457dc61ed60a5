// Package modelcheck explores what a small group of raft nodes can do (bounded
// model checking): every order of messages, writes and faults up to a depth.
package modelcheck

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lichentray/raft"
)

// EventKind is one kind of event that the explorer tries.
type EventKind uint8

// The kinds of event. A message that is not delivered stays on its way for
// ever, which is what a dropped one, a parted network and a machine that stands
// still come to; Sync finishes the oldest write of a node's disk; Crash loses
// what is not synced and starts the node again; LoseDisk ends a node and starts
// one with an empty disk and the next free identity; ReuseDisk does so under
// the old identity, which no host may do and which shows that the explorer sees
// it.
const (
	Deliver EventKind = iota
	Sync
	Duplicate
	Tick
	Propose
	Crash
	LoseDisk
	ReuseDisk
	ConfChange
	Compact
	ReadIndex
	TransferLeadership
	numEventKinds
)

// Budget is how often each kind of event may occur on one path. Deliver and
// Sync have no budget of their own.
type Budget [numEventKinds]int

// Exploration is a bounded search through everything that can happen to a group
// of nodes (bounded model checking), each state visited once.
type Exploration struct {
	Voters, Learners int      // identities 1 to Voters vote, the next ones learn
	Start            []string // events that lead to the first state; see Replay
	Depth            int      // events after the start
	Budget           Budget
	MaxStates        int // the search ends there, unfinished; 0 is no bound
}

// Result is what an exploration found. Trace leads to the Violation and can be
// given to Replay.
type Result struct {
	Depth, States, Transitions int
	IsComplete                 bool // every state within Depth was visited
	Violation                  string
	Trace                      []string
}

// An election time-out is one tick; a leader beats at each and steps down at the
// second without an answer.
const (
	heartbeatInterval  = time.Duration(1)
	electionTimeout    = time.Duration(4)
	fingerprintHorizon = 4 * electionTimeout
)

// nodeState is one node with its disk. It does not change: what happens to it gives
// another cell. Equal cells of one exploration are one.
type nodeState struct {
	id            uint64
	raft          *raft.Node
	now           time.Duration
	disk          raft.PersistentState
	pendingWrites []pendingWrite
	appliedDigest uint64 // of all that was applied
	fingerprint   uint64
}

// pendingWrite is a write on its way to the disk.
type pendingWrite struct {
	write        *raft.StorageWrite
	isCompaction bool
}

// internMessage is a message on its way. Equal ones of one exploration are one.
type packet struct {
	message     raft.Message
	fingerprint uint64
}

// transition is what an event makes of a node, which hangs on that node alone.
type transition struct {
	next         *nodeState // nil if the node refuses
	sent         []*packet
	observations []observation
	violation    string // of the node by itself
}

// observation is something to be judged, in the order in which it came about.
type observation struct {
	committed   *raft.Entry
	snapshot    *raft.Snapshot
	readState   *raft.ReadState
	digestAfter uint64 // after committed
}

type transitionKey struct {
	node            *nodeState
	packet          *packet
	kind            EventKind
	verb            string
	target, removed uint64
}

// transitionCache is what an exploration has seen of single nodes and messages.
type transitionCache struct {
	initialMembership raft.Membership
	nodeStates        map[uint64]*nodeState
	packets           map[uint64]*packet
	transitions       map[transitionKey]*transition
}

// committedEntry is a committed entry.
type committedEntry struct {
	entry           raft.Entry
	digest          uint64 // of the state machine after it
	committedInTerm uint64 // term in which it was first known as committed
	membership      string // of the members from there on
}

type grantedVote struct{ term, voter, candidate uint64 }

type pendingRead struct{ requestID, node, minIndex uint64 }

// clusterState is one state: the nodes, the messages on their way, and what has to be
// remembered to judge the next step.
type clusterState struct {
	*transitionCache
	nodes        []*nodeState
	network      []*packet
	committed    []committedEntry
	leaderByTerm map[uint64]uint64 // by term
	votes        []grantedVote
	pendingReads []pendingRead // of reads not yet answered
	lostDisks    []uint64
	nextID       uint64 // free identity
	lastSerial   uint64 // of proposals and reads
	budgetLeft   Budget
	violation    string
}

// event is a step from one world to the next.
type event struct {
	kind    EventKind
	verb    string
	node    uint64
	target  uint64
	removed uint64
	packet  *packet
}

func (e event) String() string {
	if e.packet != nil {
		return e.verb + " " + describeMessage(e.packet.message)
	}
	s := fmt.Sprint(e.verb, " ", e.node)
	for _, x := range []uint64{e.target, e.removed} {
		if x != 0 {
			s += fmt.Sprint(" ", x)
		}
	}
	return s
}

func describeMessage(m raft.Message) string {
	name := [...]string{"?", "prevote", "prevote-resp", "vote", "vote-resp", "append", "append-resp", "heartbeat", "heartbeat-resp", "snapshot", "timeout-now"}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %d>%d term %d at %d/%d", name[m.Type], m.From, m.To, m.Term, m.Index, m.LogTerm)
	for _, f := range []struct {
		name  string
		value uint64
	}{{"commit", m.Commit}, {"hint", m.Hint}, {"context", m.Context}} {
		if f.value != 0 {
			fmt.Fprintf(&b, " %s %d", f.name, f.value)
		}
	}
	if m.Reject {
		b.WriteString(" reject")
	}
	if m.Force {
		b.WriteString(" force")
	}
	for _, e := range m.Entries {
		if e.Type == raft.EntryConfChange {
			fmt.Fprintf(&b, " [%d/%d %s]", e.Index, e.Term, describeMembershipData(e.Data))
		} else {
			fmt.Fprintf(&b, " [%d/%d %s]", e.Index, e.Term, e.Data)
		}
	}
	if m.Snap != nil {
		fmt.Fprintf(&b, " state %d/%d %s", m.Snap.Index, m.Snap.Term, describeMembership(m.Snap.Members))
	}
	return b.String()
}

func describeMembershipData(data []byte) string {
	m, err := raft.DecodeMembership(data)
	if err != nil {
		return err.Error()
	}
	return describeMembership(m)
}

func describeMembership(m raft.Membership) string {
	var b strings.Builder
	b.WriteString("voters")
	for _, x := range m.Voters {
		fmt.Fprint(&b, " ", x.ID)
	}
	for i, x := range m.Learners {
		if i == 0 {
			b.WriteString(" learners")
		}
		fmt.Fprint(&b, " ", x.ID)
	}
	return b.String()
}

func (x Exploration) initialState() *clusterState {
	m := &transitionCache{nodeStates: map[uint64]*nodeState{}, packets: map[uint64]*packet{}, transitions: map[transitionKey]*transition{}}
	w := &clusterState{transitionCache: m, budgetLeft: x.Budget}
	for range x.Voters {
		w.nextID++
		m.initialMembership.Voters = append(m.initialMembership.Voters, raft.Member{ID: w.nextID})
	}
	for range x.Learners {
		w.nextID++
		m.initialMembership.Learners = append(m.initialMembership.Learners, raft.Member{ID: w.nextID})
	}
	for _, v := range m.initialMembership.AllMembers() {
		w.nodes = append(w.nodes, m.internNode(startNode(v.ID, fingerprintHorizon, raft.PersistentState{Snapshot: raft.Snapshot{Members: m.initialMembership}})))
	}
	w.nextID++
	return w
}

func startNode(id uint64, now time.Duration, disk raft.PersistentState) *nodeState {
	c := &nodeState{id: id, now: now, disk: disk}
	if len(disk.Snapshot.Data) == 8 {
		c.appliedDigest = binary.BigEndian.Uint64(disk.Snapshot.Data)
	}
	saved := disk
	saved.Entries = slices.Clone(disk.Entries)
	c.raft = raft.New(raft.Config{ID: id, HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, MaxBatchBytes: 1, RandInt63n: func(int64) int64 { return 0 }}, now, saved)
	return c
}

// internNode gives the one cell that equals c.
func (m *transitionCache) internNode(c *nodeState) *nodeState {
	b := c.raft.Fingerprint(make([]byte, 0, 1024), fingerprintHorizon)
	b = c.disk.Fingerprint(b)
	for _, q := range c.pendingWrites {
		b = q.write.Fingerprint(append(b, '.'))
	}
	b = binary.BigEndian.AppendUint64(b, c.appliedDigest)
	c.fingerprint = xxhash.Sum64(b)
	if o := m.nodeStates[c.fingerprint]; o != nil {
		return o
	}
	m.nodeStates[c.fingerprint] = c
	return c
}

// internMessage gives the one parcel with this message.
func (m *transitionCache) internMessage(msg raft.Message) *packet {
	sum := xxhash.Sum64(msg.Fingerprint(nil))
	p := m.packets[sum]
	if p == nil {
		p = &packet{msg, sum}
		m.packets[sum] = p
	}
	return p
}

// fork gives a world that shares all with w but can be changed.
func (w *clusterState) fork() *clusterState {
	c := *w
	c.nodes = slices.Clone(w.nodes)
	c.network = slices.Clone(w.network)
	c.committed, c.votes, c.lostDisks = slices.Clip(w.committed), slices.Clip(w.votes), slices.Clip(w.lostDisks)
	c.pendingReads = slices.Clone(w.pendingReads)
	return &c
}

func (w *clusterState) nodeByID(id uint64) *nodeState {
	for _, c := range w.nodes {
		if c.id == id {
			return c
		}
	}
	return nil
}

func (w *clusterState) hash() uint64 {
	b := make([]byte, 0, 512)
	put := func(vs ...uint64) {
		for _, v := range vs {
			b = binary.BigEndian.AppendUint64(b, v)
		}
	}
	for _, c := range w.nodes {
		put(c.id, c.fingerprint)
	}
	var net uint64
	for _, p := range w.network {
		net += p.fingerprint
	}
	put(net, uint64(len(w.network)), w.nextID, w.lastSerial)
	for _, f := range w.committed {
		put(f.entry.Term, f.digest, f.committedInTerm)
	}
	var heads uint64
	for t, id := range w.leaderByTerm {
		heads += xxhash.Sum64(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, t), id))
	}
	put(heads, uint64(len(w.votes)))
	var votes uint64
	for _, v := range w.votes {
		votes += v.hash()
	}
	put(votes)
	for _, f := range w.pendingReads {
		put(f.requestID, f.minIndex)
	}
	for _, n := range w.budgetLeft {
		put(uint64(n))
	}
	return xxhash.Sum64(b)
}

func (v grantedVote) hash() uint64 {
	var b [24]byte
	binary.BigEndian.PutUint64(b[:], v.term)
	binary.BigEndian.PutUint64(b[8:], v.voter)
	binary.BigEndian.PutUint64(b[16:], v.candidate)
	return xxhash.Sum64(b[:])
}

func (w *clusterState) recordViolation(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// enabledEvents gives all that can happen next.
func (w *clusterState) enabledEvents() []event {
	var out []event
	add := func(k EventKind, verb string, node, other, gone uint64) {
		out = append(out, event{kind: k, verb: verb, node: node, target: other, removed: gone})
	}
	for _, c := range w.nodes {
		if len(c.pendingWrites) > 0 {
			add(Sync, "sync", c.id, 0, 0)
		}
	}
	for _, p := range w.network {
		out = append(out, event{kind: Deliver, verb: "deliver", packet: p})
		out = append(out, event{kind: Duplicate, verb: "duplicate", packet: p})
	}
	for _, c := range w.nodes {
		add(Tick, "tick", c.id, 0, 0)
		add(Crash, "crash", c.id, 0, 0)
		add(LoseDisk, "lose", c.id, 0, 0)
		add(ReuseDisk, "reuse", c.id, 0, 0)
		add(Compact, "compact", c.id, 0, 0)
		if c.raft.Role() != raft.Leader {
			continue
		}
		add(Propose, "propose", c.id, 0, 0)
		add(ReadIndex, "read", c.id, 0, 0)
		add(TransferLeadership, "transfer", c.id, 0, 0)
		ms := c.raft.Membership()
		for _, x := range w.nodes {
			if !ms.IsMember(x.id) {
				add(ConfChange, "learner", c.id, x.id, 0)
			}
		}
		for _, x := range ms.Learners {
			add(ConfChange, "voter", c.id, x.ID, 0)
			for _, v := range ms.Voters {
				add(ConfChange, "swap", c.id, x.ID, v.ID)
			}
		}
		for _, v := range ms.Voters {
			add(ConfChange, "out", c.id, v.ID, 0)
		}
	}
	return out
}

// successor gives the world after e, or nil if e does nothing there.
func (w *clusterState) successor(e event) *clusterState {
	if e.packet != nil {
		e.node = e.packet.message.To
	}
	i := slices.IndexFunc(w.nodes, func(c *nodeState) bool { return c.id == e.node })
	if i < 0 {
		return nil
	}
	old := w.nodes[i]
	s := transitionKey{old, e.packet, e.kind, e.verb, e.target, e.removed}
	switch e.kind {
	case Duplicate:
		s.kind, s.verb = Deliver, "deliver"
	case Propose, ReadIndex:
		s.target = w.lastSerial + 1
	case LoseDisk:
		s.target = w.nextID
	}
	r := w.transitions[s]
	if r == nil {
		r = w.computeTransition(s)
		w.transitions[s] = r
	}
	if r.next == nil {
		return nil
	}
	// What changes nothing leads nowhere new: the message may as well be on its way.
	if r.next == old && len(r.observations) == 0 && e.kind != ReadIndex && !slices.ContainsFunc(r.sent, w.isNewPacket) {
		return nil
	}
	n := w.fork()
	n.nodes[i] = r.next
	n.violation = r.violation
	switch e.kind {
	case Deliver:
		n.network = slices.DeleteFunc(n.network, func(p *packet) bool { return p == e.packet })
	case Propose:
		n.lastSerial++
	case ReadIndex:
		n.lastSerial++
		n.pendingReads = append(n.pendingReads, pendingRead{n.lastSerial, e.node, uint64(len(n.committed))})
	case Crash, ReuseDisk, LoseDisk:
		n.pendingReads = slices.DeleteFunc(n.pendingReads, func(f pendingRead) bool { return f.node == e.node })
	}
	if e.kind == LoseDisk {
		n.lostDisks = append(n.lostDisks, e.node)
		n.network = slices.DeleteFunc(n.network, func(p *packet) bool { return p.message.To == e.node })
		n.nextID++
	}
	for _, p := range r.sent {
		n.addToNetwork(p)
	}
	for _, x := range r.observations {
		switch {
		case x.committed != nil:
			n.checkCommitted(r.next, *x.committed, x.digestAfter)
		case x.snapshot != nil:
			n.checkSnapshot(r.next, *x.snapshot)
		default:
			n.checkReadState(r.next, *x.readState)
		}
	}
	n.checkInvariants(r.next)
	return n
}

// computeTransition runs the core.
func (m *transitionCache) computeTransition(s transitionKey) *transition {
	c := *s.node
	c.raft = c.raft.Clone()
	c.pendingWrites = slices.Clone(c.pendingWrites)
	r := &transition{}
	switch s.kind {
	case Deliver:
		c.raft.Step(c.now, s.packet.message)
	case Sync:
		if len(c.pendingWrites) == 0 {
			return r
		}
		q := c.pendingWrites[0]
		c.pendingWrites = c.pendingWrites[1:]
		c.completeWrite(q)
		m.sendMessages(&c, r, q.write.MessagesAfterAppend)
		if k := len(q.write.Entries); k > 0 {
			c.raft.ReportPersisted(q.write.Entries[k-1].Index, q.write.Entries[k-1].Term)
		}
	case Tick:
		c.now += electionTimeout
		c.raft.Tick(c.now)
	case Propose:
		if _, _, ok := c.raft.Propose(fmt.Append(nil, "v", s.target)); !ok {
			return r
		}
	case ReadIndex:
		c.raft.ReadIndex(s.target)
	case TransferLeadership:
		if !c.raft.TransferLeadership() {
			return r
		}
	case Crash:
		c = *startNode(c.id, c.now, c.disk)
	case ReuseDisk:
		c = *startNode(c.id, c.now, raft.PersistentState{Snapshot: raft.Snapshot{Members: m.initialMembership}})
	case LoseDisk:
		c = *startNode(s.target, fingerprintHorizon, raft.PersistentState{})
	case Compact:
		snap, ok := c.raft.Compact(c.raft.AppliedIndex(), binary.BigEndian.AppendUint64(nil, c.appliedDigest))
		if !ok {
			return r
		}
		r.observations = append(r.observations, observation{snapshot: &snap})
		c.pendingWrites = append(c.pendingWrites, pendingWrite{&raft.StorageWrite{Snapshot: &snap}, true})
	case ConfChange:
		ms := c.raft.Membership()
		switch x := (raft.Member{ID: s.target}); s.verb {
		case "learner":
			ms = ms.WithLearner(x)
		case "voter":
			ms = ms.WithVoter(x)
		case "swap":
			ms = ms.WithVoter(x).Without(s.removed)
		case "out":
			ms = ms.Without(s.target)
		}
		if c.raft.ProposeConfChange(ms) != nil {
			return r
		}
	}
	m.processReady(&c, r)
	r.next = m.internNode(&c)
	return r
}

// completeWrite makes a write durable.
func (c *nodeState) completeWrite(q pendingWrite) {
	if q.write.HardState != nil {
		c.disk.HardState = *q.write.HardState
	}
	if s := q.write.Snapshot; s != nil {
		var keep []raft.Entry
		for _, e := range c.disk.Entries {
			if q.isCompaction && e.Index > s.Index {
				keep = append(keep, e)
			}
		}
		c.disk.Snapshot, c.disk.Entries = *s, keep
	}
	for _, e := range q.write.Entries {
		if e.Index > c.disk.Snapshot.Index {
			c.disk.Entries = append(slices.Clip(c.disk.Entries[:e.Index-c.disk.Snapshot.Index-1]), e)
		}
	}
}

// sendMessages takes what a node sends. What its messages promise is on its disk.
func (m *transitionCache) sendMessages(c *nodeState, r *transition, ms []raft.Message) {
	for _, msg := range ms {
		vote, kept := raft.HardState{Term: msg.Term, Vote: msg.To}, true
		switch hard := c.disk.HardState; {
		case msg.Type == raft.MsgVote:
			vote.Vote = msg.From
			kept = hard == vote || hard.Term > msg.Term
		case msg.Type == raft.MsgVoteResp && !msg.Reject:
			kept = hard == vote || hard.Term > msg.Term
		case msg.Type == raft.MsgAppendResp && !msg.Reject:
			kept = msg.Index <= c.disk.Snapshot.Index+uint64(len(c.disk.Entries))
		}
		if !kept {
			r.violation = fmt.Sprintf("%d sends what is not on its disk: %s", c.id, describeMessage(msg))
		}
		r.sent = append(r.sent, m.internMessage(msg))
	}
}

func (w *clusterState) isNewPacket(p *packet) bool {
	return w.nodeByID(p.message.To) != nil && !slices.Contains(w.network, p)
}

func (w *clusterState) addToNetwork(p *packet) {
	switch m := p.message; {
	case m.Type == raft.MsgVote:
		w.vote(grantedVote{m.Term, m.From, m.From})
	case m.Type == raft.MsgVoteResp && !m.Reject:
		w.vote(grantedVote{m.Term, m.From, m.To})
	}
	if w.isNewPacket(p) {
		w.network = append(w.network, p)
	}
}

func (w *clusterState) vote(v grantedVote) {
	for _, o := range w.votes {
		if o.term == v.term && o.voter == v.voter {
			if o.candidate != v.candidate {
				w.recordViolation("%d votes for %d and for %d in term %d", v.voter, o.candidate, v.candidate, v.term)
			}
			return
		}
	}
	w.votes = append(w.votes, v)
}

// processReady carries out what a node wants done.
func (m *transitionCache) processReady(c *nodeState, r *transition) {
	for {
		e := c.raft.Ready()
		if len(e.Messages) == 0 && e.Write == nil && len(e.CommittedEntries) == 0 && len(e.ReadStates) == 0 {
			return
		}
		m.sendMessages(c, r, e.Messages)
		if q := e.Write; q != nil {
			if len(c.pendingWrites) == 0 && q.HardState == nil && q.Snapshot == nil && len(q.Entries) == 0 {
				m.sendMessages(c, r, q.MessagesAfterAppend) // nothing to wait for
			} else {
				c.pendingWrites = append(c.pendingWrites, pendingWrite{q, false})
			}
		}
		if e.SnapshotToInstall != nil {
			r.observations = append(r.observations, observation{snapshot: e.SnapshotToInstall})
			if len(e.SnapshotToInstall.Data) == 8 {
				c.appliedDigest = binary.BigEndian.Uint64(e.SnapshotToInstall.Data)
			}
		}
		for _, en := range e.CommittedEntries {
			c.appliedDigest = xxhash.Sum64(fmt.Appendf(nil, "%d %d %d %d %s", c.appliedDigest, en.Index, en.Term, en.Type, en.Data))
			r.observations = append(r.observations, observation{committed: &en, digestAfter: c.appliedDigest})
		}
		for _, x := range e.ReadStates {
			r.observations = append(r.observations, observation{readState: &x})
		}
	}
}

func (w *clusterState) checkReadState(c *nodeState, r raft.ReadState) {
	for i, f := range w.pendingReads {
		if f.requestID == r.RequestID {
			if r.Confirmed && r.Index < f.minIndex {
				w.recordViolation("%d confirms a read point of %d, %d was committed before it was asked", c.id, r.Index, f.minIndex)
			}
			w.pendingReads = slices.Delete(w.pendingReads, i, i+1)
			return
		}
	}
}

// checkCommitted judges an entry that a node holds as committed.
func (w *clusterState) checkCommitted(c *nodeState, en raft.Entry, digest uint64) {
	k := int(en.Index) - 1
	switch {
	case k < len(w.committed):
		if o := w.committed[k]; o.entry.Term != en.Term || o.digest != digest {
			w.recordViolation("%d holds %d/%d as committed, %d/%d was committed there before, or another state before it", c.id, en.Index, en.Term, o.entry.Index, o.entry.Term)
		}
	case k > len(w.committed):
		w.recordViolation("%d commits %d, only %d are committed anywhere", c.id, en.Index, len(w.committed))
	case c.raft.Role() != raft.Leader:
		w.recordViolation("%d holds %d/%d as committed, no leader has committed it", c.id, en.Index, en.Term)
	default:
		members := w.committedMembership(en.Index)
		if en.Type == raft.EntryConfChange {
			members = describeMembershipData(en.Data)
		}
		w.committed = append(w.committed, committedEntry{en, digest, c.raft.Term(), members})
		w.checkDurable(c, en)
	}
}

// checkDurable: an entry that a leader commits is on the disks of a quorum. A
// disk that was lost since it answered counts as having held it.
func (w *clusterState) checkDurable(c *nodeState, en raft.Entry) {
	voters := c.raft.Membership().Voters
	hold := 0
	for _, m := range voters {
		if x := w.nodeByID(m.ID); (x != nil && logHoldsEntry(x.disk.Snapshot, x.disk.Entries, en)) || slices.Contains(w.lostDisks, m.ID) {
			hold++
		}
	}
	if hold <= len(voters)/2 {
		w.recordViolation("%d commits %d/%d, which is durable at %d of %d voters", c.id, en.Index, en.Term, hold, len(voters))
	}
}

func logHoldsEntry(s raft.Snapshot, es []raft.Entry, en raft.Entry) bool {
	if en.Index <= s.Index {
		return true
	}
	i := en.Index - s.Index - 1
	return i < uint64(len(es)) && es[i].Term == en.Term
}

// checkSnapshot: a snapshot carries the state and the membership of its index.
func (w *clusterState) checkSnapshot(c *nodeState, s raft.Snapshot) {
	if s.Index > uint64(len(w.committed)) {
		w.recordViolation("%d has a snapshot of %d, %d entries are committed", c.id, s.Index, len(w.committed))
		return
	}
	if d := binary.BigEndian.AppendUint64(nil, w.committed[s.Index-1].digest); !bytes.Equal(d, s.Data) {
		w.recordViolation("%d has a snapshot of %d with another state", c.id, s.Index)
	}
	if want := w.committedMembership(s.Index); want != describeMembership(s.Members) {
		w.recordViolation("%d has a snapshot of %d with %s, not %s", c.id, s.Index, describeMembership(s.Members), want)
	}
}

// committedMembership gives the membership that was committed up to index.
func (w *clusterState) committedMembership(index uint64) string {
	if k := min(index, uint64(len(w.committed))); k > 0 {
		return w.committed[k-1].membership
	}
	return describeMembership(w.initialMembership)
}

// checkInvariants judges the world after c has changed.
func (w *clusterState) checkInvariants(c *nodeState) {
	snap, log := c.raft.Log()
	for _, o := range w.nodes {
		if o.id == c.id {
			continue
		}
		os, ol := o.raft.Log()
		w.checkLogMatching(c.id, snap, log, o.id, os, ol)
	}
	// A node that joins knows no membership before the entry that names it.
	if m := c.raft.ActiveMemberships()[0]; len(m.AllMembers()) > 0 {
		if want := w.committedMembership(c.raft.CommitIndex()); describeMembership(m) != want {
			w.recordViolation("%d holds %s as committed up to %d, not %s", c.id, describeMembership(m), c.raft.CommitIndex(), want)
		}
	}
	if c.raft.Role() == raft.Leader {
		term := c.raft.Term()
		if id, ok := w.leaderByTerm[term]; !ok {
			heads := make(map[uint64]uint64, len(w.leaderByTerm)+1)
			for t, l := range w.leaderByTerm {
				heads[t] = l
			}
			heads[term] = c.id
			w.leaderByTerm = heads
		} else if id != c.id {
			w.recordViolation("%d and %d lead in term %d", id, c.id, term)
		}
		for _, f := range w.committed {
			if f.committedInTerm < term && !logHoldsEntry(snap, log, f.entry) {
				w.recordViolation("%d leads in term %d without %d/%d, committed in term %d", c.id, term, f.entry.Index, f.entry.Term, f.committedInTerm)
			}
		}
	}
	w.checkQuorumOverlap()
}

// checkMatching: two logs that agree on the term of an index agree on all up to
// it.
func (w *clusterState) checkLogMatching(a uint64, as raft.Snapshot, ae []raft.Entry, b uint64, bs raft.Snapshot, be []raft.Entry) {
	low := max(as.Index, bs.Index)
	high := min(as.Index+uint64(len(ae)), bs.Index+uint64(len(be)))
	agreed := false
	for i := high; i > low; i-- {
		x, y := ae[i-as.Index-1], be[i-bs.Index-1]
		same := x.Term == y.Term && x.Type == y.Type && bytes.Equal(x.Data, y.Data)
		if agreed = agreed || x.Term == y.Term; agreed && !same {
			w.recordViolation("%d and %d have different entries at %d, %d/%d and %d/%d, and agree on a term there or after it", a, b, i, x.Index, x.Term, y.Index, y.Term)
		}
	}
}

// checkQuorums: memberships that can both decide have no two quorums apart. A
// leader's can decide while a quorum of it has not moved on to a later term.
func (w *clusterState) checkQuorumOverlap() {
	var uses []raft.Membership
	for _, c := range w.nodes {
		if c.raft.Role() != raft.Leader {
			continue
		}
		for _, m := range c.raft.ActiveMemberships() {
			behind := 0
			for _, v := range m.Voters {
				if x := w.nodeByID(v.ID); x != nil && x.raft.Term() <= c.raft.Term() {
					behind++
				}
			}
			if behind > len(m.Voters)/2 {
				uses = append(uses, m)
			}
		}
	}
	for i, a := range uses {
		for _, b := range uses[:i] {
			if !quorumsIntersect(a.Voters, b.Voters) {
				w.recordViolation("%s and %s are both in use and have quorums apart", describeMembership(a), describeMembership(b))
			}
		}
	}
}

func quorumsIntersect(a, b []raft.Member) bool {
	both := 0
	for _, m := range a {
		if slices.ContainsFunc(b, func(x raft.Member) bool { return x.ID == m.ID }) {
			both++
		}
	}
	spare := func(n int) int { return max(0, n/2+1-(n-both)) } // of the shared ones, needed
	return spare(len(a))+spare(len(b)) > both
}

// Replay plays a trace: lines as Explored.Trace has them, and besides
//
//	settle        deliver and sync until nothing is left
//	settle 1 2    the same among these nodes, nothing else moves
//	elect 1 2     the same, until node 1 leads
//	forget        all messages on their way are lost
//
// It gives the first violation, or an error if a line cannot be played.
func (x Exploration) Replay(trace []string) (violation string, err error) {
	w, err := x.playTrace(trace)
	if err != nil {
		return "", err
	}
	return w.violation, nil
}

func (x Exploration) playTrace(trace []string) (*clusterState, error) {
	w := x.initialState()
	for i, line := range trace {
		next, err := w.playLine(line)
		if err != nil {
			return nil, fmt.Errorf("rafttest: line %d: %w", i+1, err)
		}
		if w = next; w.violation != "" {
			break
		}
	}
	return w, nil
}

func (w *clusterState) playLine(line string) (*clusterState, error) {
	verb, rest, _ := strings.Cut(line, " ")
	switch verb {
	case "forget":
		w = w.fork()
		w.network = nil
		return w, nil
	case "settle":
		return w.settle(strings.Fields(rest), "")
	case "elect":
		among := strings.Fields(rest)
		return w.settle(among, among[0])
	}
	for _, e := range w.enabledEvents() {
		if e.String() == line {
			if n := w.successor(e); n != nil {
				return n, nil
			}
			return nil, fmt.Errorf("%q does nothing", line)
		}
	}
	return nil, fmt.Errorf("%q cannot happen", line)
}

func (w *clusterState) settle(among []string, leader string) (*clusterState, error) {
	in := func(id uint64) bool { return len(among) == 0 || slices.Contains(among, fmt.Sprint(id)) }
	idle := map[uint64]bool{} // messages that do nothing
	for range 10_000 {
		var next *clusterState
		for _, c := range w.nodes {
			if c.raft.Role() == raft.Leader && fmt.Sprint(c.id) == leader {
				return w, nil
			}
		}
		for _, e := range w.enabledEvents() {
			switch {
			case e.kind == Sync && in(e.node):
				next = w.successor(e)
			case e.kind == Deliver && in(e.packet.message.From) && in(e.packet.message.To) && !idle[e.packet.fingerprint]:
				if next = w.successor(e); next == nil {
					idle[e.packet.fingerprint] = true
				}
			}
			if next != nil {
				break
			}
		}
		if next == nil && leader != "" {
			return nil, fmt.Errorf("%s does not lead", leader)
		}
		if next == nil {
			return w, nil
		}
		if clear(idle); next.violation != "" {
			return next, nil
		}
		w = next
	}
	return nil, fmt.Errorf("does not settle")
}

// Run searches breadth first, so that a violation comes with a shortest trace.
// The error is for a Start that cannot be played.
func (x Exploration) Run() (Result, error) {
	type visit struct {
		from int32
		by   event
	}
	w, err := x.playTrace(x.Start)
	if err != nil {
		return Result{}, err
	}
	out := Result{States: 1}
	visits := []visit{{from: -1}}
	seen := map[uint64]struct{}{w.hash(): {}}
	type node struct {
		w  *clusterState
		at int32
	}
	fail := func(w *clusterState, from int32, by ...event) (Result, error) {
		var steps []string
		for _, e := range by {
			steps = append(steps, e.String())
		}
		for ; from > 0; from = visits[from].from {
			steps = append(steps, visits[from].by.String())
		}
		slices.Reverse(steps)
		out.Violation, out.Trace = w.violation, append(slices.Clone(x.Start), steps...)
		return out, nil
	}
	if w.violation != "" {
		return fail(w, 0)
	}
	front := []node{{w, 0}}
	for ; out.Depth < x.Depth && len(front) > 0; out.Depth++ {
		var next []node
		for i, at := range front {
			front[i].w = nil
			for _, e := range at.w.enabledEvents() {
				if e.kind != Deliver && e.kind != Sync && at.w.budgetLeft[e.kind] == 0 {
					continue
				}
				n := at.w.successor(e)
				if n == nil {
					continue
				}
				out.Transitions++
				if n.violation != "" {
					return fail(n, at.at, e)
				}
				if e.kind != Deliver && e.kind != Sync {
					n.budgetLeft[e.kind]--
				}
				k := n.hash()
				if _, ok := seen[k]; ok {
					continue
				}
				if x.MaxStates > 0 && out.States >= x.MaxStates {
					return out, nil
				}
				seen[k] = struct{}{}
				visits = append(visits, visit{at.at, e})
				next = append(next, node{n, int32(len(visits) - 1)})
				out.States++
			}
		}
		front = next
	}
	out.IsComplete = true
	return out, nil
}
