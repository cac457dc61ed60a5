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

// Kind is one kind of event that the explorer tries.
type Kind uint8

// The kinds of event. A message that is not delivered stays on its way for
// ever, which is what a dropped one, a parted network and a machine that stands
// still come to; Sync finishes the oldest write of a node's disk; Crash loses
// what is not synced and starts the node again; LoseDisk ends a node and starts
// one with an empty disk and the next free identity; ReuseDisk does so under
// the old identity, which no host may do and which shows that the explorer sees
// it.
const (
	Deliver Kind = iota
	Sync
	Duplicate
	Tick
	Propose
	Crash
	LoseDisk
	ReuseDisk
	MemberStep
	Compact
	ReadIndex
	Transfer
	kinds
)

// Budget is how often each kind of event may occur on one path. Deliver and
// Sync have no budget of their own.
type Budget [kinds]int

// Exploration is a bounded search through everything that can happen to a group
// of nodes (bounded model checking), each state visited once.
type Exploration struct {
	Voters, Learners int      // identities 1 to Voters vote, the next ones learn
	Start            []string // events that lead to the first state; see Replay
	Depth            int      // events after the start
	Budget           Budget
	MaxStates        int // the search ends there, unfinished; 0 is no bound
}

// Explored is what an exploration found. Trace leads to the Violation and can be
// given to Replay.
type Explored struct {
	Depth, States, Transitions int
	Finished                   bool // every state within Depth was visited
	Violation                  string
	Trace                      []string
}

// An election time-out is one tick; a leader beats at each and steps down at the
// second without an answer.
const (
	exploreHeartbeat = time.Duration(1)
	exploreElection  = time.Duration(4)
	exploreSpan      = 4 * exploreElection
)

// cell is one node with its disk. It does not change: what happens to it gives
// another cell. Equal cells of one exploration are one.
type cell struct {
	id     uint64
	raft   *raft.Node
	now    time.Duration
	disk   raft.Saved
	queue  []disking
	digest uint64 // of all that was applied
	sum    uint64
}

// disking is a write on its way to the disk.
type disking struct {
	w       *raft.Write
	compact bool
}

// parcel is a message on its way. Equal ones of one exploration are one.
type parcel struct {
	m   raft.Message
	sum uint64
}

// reaction is what an event makes of a node, which hangs on that node alone.
type reaction struct {
	cell  *cell // nil if the node refuses
	sent  []*parcel
	notes []note
	fault string // of the node by itself
}

// note is something to be judged, in the order in which it came about.
type note struct {
	committed *raft.Entry
	snapshot  *raft.Snapshot
	read      *raft.Read
	digest    uint64 // after committed
}

type stimulus struct {
	c           *cell
	p           *parcel
	kind        Kind
	verb        string
	other, gone uint64
}

// memory is what an exploration has seen of single nodes and messages.
type memory struct {
	first     raft.Membership
	cells     map[uint64]*cell
	parcels   map[uint64]*parcel
	reactions map[stimulus]*reaction
}

// fact is a committed entry.
type fact struct {
	entry  raft.Entry
	digest uint64 // of the state machine after it
	at     uint64 // term in which it was first known as committed
	roster string // of the members from there on
}

type ballot struct{ term, voter, candidate uint64 }

type floor struct{ context, node, index uint64 }

// world is one state: the nodes, the messages on their way, and what has to be
// remembered to judge the next step.
type world struct {
	*memory
	nodes   []*cell
	net     []*parcel
	chosen  []fact
	leaders map[uint64]uint64 // by term
	ballots []ballot
	floors  []floor // of reads not yet answered
	lost    []uint64
	next    uint64 // free identity
	serial  uint64 // of proposals and reads
	left    Budget
	broken  string
}

// event is a step from one world to the next.
type event struct {
	kind  Kind
	verb  string
	node  uint64
	other uint64
	gone  uint64
	p     *parcel
}

func (e event) String() string {
	if e.p != nil {
		return e.verb + " " + describe(e.p.m)
	}
	s := fmt.Sprint(e.verb, " ", e.node)
	for _, x := range []uint64{e.other, e.gone} {
		if x != 0 {
			s += fmt.Sprint(" ", x)
		}
	}
	return s
}

func describe(m raft.Message) string {
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
		if e.Type == raft.Change {
			fmt.Fprintf(&b, " [%d/%d %s]", e.Index, e.Term, roster(e.Data))
		} else {
			fmt.Fprintf(&b, " [%d/%d %s]", e.Index, e.Term, e.Data)
		}
	}
	if m.Snap != nil {
		fmt.Fprintf(&b, " state %d/%d %s", m.Snap.Index, m.Snap.Term, ids(m.Snap.Members))
	}
	return b.String()
}

func roster(data []byte) string {
	m, err := raft.DecodeMembership(data)
	if err != nil {
		return err.Error()
	}
	return ids(m)
}

func ids(m raft.Membership) string {
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

func (x Exploration) world() *world {
	m := &memory{cells: map[uint64]*cell{}, parcels: map[uint64]*parcel{}, reactions: map[stimulus]*reaction{}}
	w := &world{memory: m, left: x.Budget}
	for range x.Voters {
		w.next++
		m.first.Voters = append(m.first.Voters, raft.Member{ID: w.next})
	}
	for range x.Learners {
		w.next++
		m.first.Learners = append(m.first.Learners, raft.Member{ID: w.next})
	}
	for _, v := range m.first.All() {
		w.nodes = append(w.nodes, m.seal(begin(v.ID, exploreSpan, raft.Saved{Snapshot: raft.Snapshot{Members: m.first}})))
	}
	w.next++
	return w
}

func begin(id uint64, now time.Duration, disk raft.Saved) *cell {
	c := &cell{id: id, now: now, disk: disk}
	if len(disk.Snapshot.Data) == 8 {
		c.digest = binary.BigEndian.Uint64(disk.Snapshot.Data)
	}
	saved := disk
	saved.Entries = slices.Clone(disk.Entries)
	c.raft = raft.New(raft.Config{ID: id, Heartbeat: exploreHeartbeat, Election: exploreElection, MaxBatch: 1, Rand: func(int64) int64 { return 0 }}, now, saved)
	return c
}

// seal gives the one cell that equals c.
func (m *memory) seal(c *cell) *cell {
	b := c.raft.Fingerprint(make([]byte, 0, 1024), exploreSpan)
	b = c.disk.Fingerprint(b)
	for _, q := range c.queue {
		b = q.w.Fingerprint(append(b, '.'))
	}
	b = binary.BigEndian.AppendUint64(b, c.digest)
	c.sum = xxhash.Sum64(b)
	if o := m.cells[c.sum]; o != nil {
		return o
	}
	m.cells[c.sum] = c
	return c
}

// parcel gives the one parcel with this message.
func (m *memory) parcel(msg raft.Message) *parcel {
	sum := xxhash.Sum64(msg.Fingerprint(nil))
	p := m.parcels[sum]
	if p == nil {
		p = &parcel{msg, sum}
		m.parcels[sum] = p
	}
	return p
}

// fork gives a world that shares all with w but can be changed.
func (w *world) fork() *world {
	c := *w
	c.nodes = slices.Clone(w.nodes)
	c.net = slices.Clone(w.net)
	c.chosen, c.ballots, c.lost = slices.Clip(w.chosen), slices.Clip(w.ballots), slices.Clip(w.lost)
	c.floors = slices.Clone(w.floors)
	return &c
}

func (w *world) cell(id uint64) *cell {
	for _, c := range w.nodes {
		if c.id == id {
			return c
		}
	}
	return nil
}

func (w *world) key() uint64 {
	b := make([]byte, 0, 512)
	put := func(vs ...uint64) {
		for _, v := range vs {
			b = binary.BigEndian.AppendUint64(b, v)
		}
	}
	for _, c := range w.nodes {
		put(c.id, c.sum)
	}
	var net uint64
	for _, p := range w.net {
		net += p.sum
	}
	put(net, uint64(len(w.net)), w.next, w.serial)
	for _, f := range w.chosen {
		put(f.entry.Term, f.digest, f.at)
	}
	var heads uint64
	for t, id := range w.leaders {
		heads += xxhash.Sum64(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, t), id))
	}
	put(heads, uint64(len(w.ballots)))
	var votes uint64
	for _, v := range w.ballots {
		votes += v.sum()
	}
	put(votes)
	for _, f := range w.floors {
		put(f.context, f.index)
	}
	for _, n := range w.left {
		put(uint64(n))
	}
	return xxhash.Sum64(b)
}

func (v ballot) sum() uint64 {
	var b [24]byte
	binary.BigEndian.PutUint64(b[:], v.term)
	binary.BigEndian.PutUint64(b[8:], v.voter)
	binary.BigEndian.PutUint64(b[16:], v.candidate)
	return xxhash.Sum64(b[:])
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

// events gives all that can happen next.
func (w *world) events() []event {
	var out []event
	add := func(k Kind, verb string, node, other, gone uint64) {
		out = append(out, event{kind: k, verb: verb, node: node, other: other, gone: gone})
	}
	for _, c := range w.nodes {
		if len(c.queue) > 0 {
			add(Sync, "sync", c.id, 0, 0)
		}
	}
	for _, p := range w.net {
		out = append(out, event{kind: Deliver, verb: "deliver", p: p})
		out = append(out, event{kind: Duplicate, verb: "duplicate", p: p})
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
		add(Transfer, "transfer", c.id, 0, 0)
		ms := c.raft.Members()
		for _, x := range w.nodes {
			if !ms.Has(x.id) {
				add(MemberStep, "learner", c.id, x.id, 0)
			}
		}
		for _, x := range ms.Learners {
			add(MemberStep, "voter", c.id, x.ID, 0)
			for _, v := range ms.Voters {
				add(MemberStep, "swap", c.id, x.ID, v.ID)
			}
		}
		for _, v := range ms.Voters {
			add(MemberStep, "out", c.id, v.ID, 0)
		}
	}
	return out
}

// after gives the world after e, or nil if e does nothing there.
func (w *world) after(e event) *world {
	if e.p != nil {
		e.node = e.p.m.To
	}
	i := slices.IndexFunc(w.nodes, func(c *cell) bool { return c.id == e.node })
	if i < 0 {
		return nil
	}
	old := w.nodes[i]
	s := stimulus{old, e.p, e.kind, e.verb, e.other, e.gone}
	switch e.kind {
	case Duplicate:
		s.kind, s.verb = Deliver, "deliver"
	case Propose, ReadIndex:
		s.other = w.serial + 1
	case LoseDisk:
		s.other = w.next
	}
	r := w.reactions[s]
	if r == nil {
		r = w.react(s)
		w.reactions[s] = r
	}
	if r.cell == nil {
		return nil
	}
	// What changes nothing leads nowhere new: the message may as well be on its way.
	if r.cell == old && len(r.notes) == 0 && e.kind != ReadIndex && !slices.ContainsFunc(r.sent, w.isNew) {
		return nil
	}
	n := w.fork()
	n.nodes[i] = r.cell
	n.broken = r.fault
	switch e.kind {
	case Deliver:
		n.net = slices.DeleteFunc(n.net, func(p *parcel) bool { return p == e.p })
	case Propose:
		n.serial++
	case ReadIndex:
		n.serial++
		n.floors = append(n.floors, floor{n.serial, e.node, uint64(len(n.chosen))})
	case Crash, ReuseDisk, LoseDisk:
		n.floors = slices.DeleteFunc(n.floors, func(f floor) bool { return f.node == e.node })
	}
	if e.kind == LoseDisk {
		n.lost = append(n.lost, e.node)
		n.net = slices.DeleteFunc(n.net, func(p *parcel) bool { return p.m.To == e.node })
		n.next++
	}
	for _, p := range r.sent {
		n.post(p)
	}
	for _, x := range r.notes {
		switch {
		case x.committed != nil:
			n.commit(r.cell, *x.committed, x.digest)
		case x.snapshot != nil:
			n.checkSnapshot(r.cell, *x.snapshot)
		default:
			n.answered(r.cell, *x.read)
		}
	}
	n.check(r.cell)
	return n
}

// react runs the core.
func (m *memory) react(s stimulus) *reaction {
	c := *s.c
	c.raft = c.raft.Clone()
	c.queue = slices.Clone(c.queue)
	r := &reaction{}
	switch s.kind {
	case Deliver:
		c.raft.Step(c.now, s.p.m)
	case Sync:
		if len(c.queue) == 0 {
			return r
		}
		q := c.queue[0]
		c.queue = c.queue[1:]
		c.sync(q)
		m.sent(&c, r, q.w.After)
		if k := len(q.w.Entries); k > 0 {
			c.raft.Persisted(q.w.Entries[k-1].Index, q.w.Entries[k-1].Term)
		}
	case Tick:
		c.now += exploreElection
		c.raft.Tick(c.now)
	case Propose:
		if _, _, ok := c.raft.Propose(fmt.Append(nil, "v", s.other)); !ok {
			return r
		}
	case ReadIndex:
		c.raft.ReadIndex(s.other)
	case Transfer:
		if !c.raft.Transfer() {
			return r
		}
	case Crash:
		c = *begin(c.id, c.now, c.disk)
	case ReuseDisk:
		c = *begin(c.id, c.now, raft.Saved{Snapshot: raft.Snapshot{Members: m.first}})
	case LoseDisk:
		c = *begin(s.other, exploreSpan, raft.Saved{})
	case Compact:
		snap, ok := c.raft.Compact(c.raft.Applied(), binary.BigEndian.AppendUint64(nil, c.digest))
		if !ok {
			return r
		}
		r.notes = append(r.notes, note{snapshot: &snap})
		c.queue = append(c.queue, disking{&raft.Write{Snapshot: &snap}, true})
	case MemberStep:
		ms := c.raft.Members()
		switch x := (raft.Member{ID: s.other}); s.verb {
		case "learner":
			ms = ms.WithLearner(x)
		case "voter":
			ms = ms.WithVoter(x)
		case "swap":
			ms = ms.WithVoter(x).Without(s.gone)
		case "out":
			ms = ms.Without(s.other)
		}
		if c.raft.ProposeMembers(ms) != nil {
			return r
		}
	}
	m.drain(&c, r)
	r.cell = m.seal(&c)
	return r
}

// sync makes a write durable.
func (c *cell) sync(q disking) {
	if q.w.Hard != nil {
		c.disk.Hard = *q.w.Hard
	}
	if s := q.w.Snapshot; s != nil {
		var keep []raft.Entry
		for _, e := range c.disk.Entries {
			if q.compact && e.Index > s.Index {
				keep = append(keep, e)
			}
		}
		c.disk.Snapshot, c.disk.Entries = *s, keep
	}
	for _, e := range q.w.Entries {
		if e.Index > c.disk.Snapshot.Index {
			c.disk.Entries = append(slices.Clip(c.disk.Entries[:e.Index-c.disk.Snapshot.Index-1]), e)
		}
	}
}

// sent takes what a node sends. What its messages promise is on its disk.
func (m *memory) sent(c *cell, r *reaction, ms []raft.Message) {
	for _, msg := range ms {
		vote, kept := raft.HardState{Term: msg.Term, Vote: msg.To}, true
		switch hard := c.disk.Hard; {
		case msg.Type == raft.MsgVote:
			vote.Vote = msg.From
			kept = hard == vote || hard.Term > msg.Term
		case msg.Type == raft.MsgVoteResp && !msg.Reject:
			kept = hard == vote || hard.Term > msg.Term
		case msg.Type == raft.MsgAppendResp && !msg.Reject:
			kept = msg.Index <= c.disk.Snapshot.Index+uint64(len(c.disk.Entries))
		}
		if !kept {
			r.fault = fmt.Sprintf("%d sends what is not on its disk: %s", c.id, describe(msg))
		}
		r.sent = append(r.sent, m.parcel(msg))
	}
}

func (w *world) isNew(p *parcel) bool {
	return w.cell(p.m.To) != nil && !slices.Contains(w.net, p)
}

func (w *world) post(p *parcel) {
	switch m := p.m; {
	case m.Type == raft.MsgVote:
		w.vote(ballot{m.Term, m.From, m.From})
	case m.Type == raft.MsgVoteResp && !m.Reject:
		w.vote(ballot{m.Term, m.From, m.To})
	}
	if w.isNew(p) {
		w.net = append(w.net, p)
	}
}

func (w *world) vote(v ballot) {
	for _, o := range w.ballots {
		if o.term == v.term && o.voter == v.voter {
			if o.candidate != v.candidate {
				w.fail("%d votes for %d and for %d in term %d", v.voter, o.candidate, v.candidate, v.term)
			}
			return
		}
	}
	w.ballots = append(w.ballots, v)
}

// drain carries out what a node wants done.
func (m *memory) drain(c *cell, r *reaction) {
	for {
		e := c.raft.Ready()
		if len(e.Send) == 0 && e.Write == nil && len(e.Committed) == 0 && len(e.Reads) == 0 {
			return
		}
		m.sent(c, r, e.Send)
		if q := e.Write; q != nil {
			if len(c.queue) == 0 && q.Hard == nil && q.Snapshot == nil && len(q.Entries) == 0 {
				m.sent(c, r, q.After) // nothing to wait for
			} else {
				c.queue = append(c.queue, disking{q, false})
			}
		}
		if e.Install != nil {
			r.notes = append(r.notes, note{snapshot: e.Install})
			if len(e.Install.Data) == 8 {
				c.digest = binary.BigEndian.Uint64(e.Install.Data)
			}
		}
		for _, en := range e.Committed {
			c.digest = xxhash.Sum64(fmt.Appendf(nil, "%d %d %d %d %s", c.digest, en.Index, en.Term, en.Type, en.Data))
			r.notes = append(r.notes, note{committed: &en, digest: c.digest})
		}
		for _, x := range e.Reads {
			r.notes = append(r.notes, note{read: &x})
		}
	}
}

func (w *world) answered(c *cell, r raft.Read) {
	for i, f := range w.floors {
		if f.context == r.Context {
			if r.OK && r.Index < f.index {
				w.fail("%d confirms a read point of %d, %d was committed before it was asked", c.id, r.Index, f.index)
			}
			w.floors = slices.Delete(w.floors, i, i+1)
			return
		}
	}
}

// commit judges an entry that a node holds as committed.
func (w *world) commit(c *cell, en raft.Entry, digest uint64) {
	k := int(en.Index) - 1
	switch {
	case k < len(w.chosen):
		if o := w.chosen[k]; o.entry.Term != en.Term || o.digest != digest {
			w.fail("%d holds %d/%d as committed, %d/%d was committed there before, or another state before it", c.id, en.Index, en.Term, o.entry.Index, o.entry.Term)
		}
	case k > len(w.chosen):
		w.fail("%d commits %d, only %d are committed anywhere", c.id, en.Index, len(w.chosen))
	case c.raft.Role() != raft.Leader:
		w.fail("%d holds %d/%d as committed, no leader has committed it", c.id, en.Index, en.Term)
	default:
		members := w.members(en.Index)
		if en.Type == raft.Change {
			members = roster(en.Data)
		}
		w.chosen = append(w.chosen, fact{en, digest, c.raft.Term(), members})
		w.checkDurable(c, en)
	}
}

// checkDurable: an entry that a leader commits is on the disks of a quorum. A
// disk that was lost since it answered counts as having held it.
func (w *world) checkDurable(c *cell, en raft.Entry) {
	voters := c.raft.Members().Voters
	hold := 0
	for _, m := range voters {
		if x := w.cell(m.ID); (x != nil && holdsEntry(x.disk.Snapshot, x.disk.Entries, en)) || slices.Contains(w.lost, m.ID) {
			hold++
		}
	}
	if hold <= len(voters)/2 {
		w.fail("%d commits %d/%d, which is durable at %d of %d voters", c.id, en.Index, en.Term, hold, len(voters))
	}
}

func holdsEntry(s raft.Snapshot, es []raft.Entry, en raft.Entry) bool {
	if en.Index <= s.Index {
		return true
	}
	i := en.Index - s.Index - 1
	return i < uint64(len(es)) && es[i].Term == en.Term
}

// checkSnapshot: a snapshot carries the state and the membership of its index.
func (w *world) checkSnapshot(c *cell, s raft.Snapshot) {
	if s.Index > uint64(len(w.chosen)) {
		w.fail("%d has a snapshot of %d, %d entries are committed", c.id, s.Index, len(w.chosen))
		return
	}
	if d := binary.BigEndian.AppendUint64(nil, w.chosen[s.Index-1].digest); !bytes.Equal(d, s.Data) {
		w.fail("%d has a snapshot of %d with another state", c.id, s.Index)
	}
	if want := w.members(s.Index); want != ids(s.Members) {
		w.fail("%d has a snapshot of %d with %s, not %s", c.id, s.Index, ids(s.Members), want)
	}
}

// members gives the membership that was committed up to index.
func (w *world) members(index uint64) string {
	if k := min(index, uint64(len(w.chosen))); k > 0 {
		return w.chosen[k-1].roster
	}
	return ids(w.first)
}

// check judges the world after c has changed.
func (w *world) check(c *cell) {
	snap, log := c.raft.Log()
	for _, o := range w.nodes {
		if o.id == c.id {
			continue
		}
		os, ol := o.raft.Log()
		w.checkMatching(c.id, snap, log, o.id, os, ol)
	}
	// A node that joins knows no membership before the entry that names it.
	if m := c.raft.InUse()[0]; len(m.All()) > 0 {
		if want := w.members(c.raft.Commit()); ids(m) != want {
			w.fail("%d holds %s as committed up to %d, not %s", c.id, ids(m), c.raft.Commit(), want)
		}
	}
	if c.raft.Role() == raft.Leader {
		term := c.raft.Term()
		if id, ok := w.leaders[term]; !ok {
			heads := make(map[uint64]uint64, len(w.leaders)+1)
			for t, l := range w.leaders {
				heads[t] = l
			}
			heads[term] = c.id
			w.leaders = heads
		} else if id != c.id {
			w.fail("%d and %d lead in term %d", id, c.id, term)
		}
		for _, f := range w.chosen {
			if f.at < term && !holdsEntry(snap, log, f.entry) {
				w.fail("%d leads in term %d without %d/%d, committed in term %d", c.id, term, f.entry.Index, f.entry.Term, f.at)
			}
		}
	}
	w.checkQuorums()
}

// checkMatching: two logs that agree on the term of an index agree on all up to
// it.
func (w *world) checkMatching(a uint64, as raft.Snapshot, ae []raft.Entry, b uint64, bs raft.Snapshot, be []raft.Entry) {
	low := max(as.Index, bs.Index)
	high := min(as.Index+uint64(len(ae)), bs.Index+uint64(len(be)))
	agreed := false
	for i := high; i > low; i-- {
		x, y := ae[i-as.Index-1], be[i-bs.Index-1]
		same := x.Term == y.Term && x.Type == y.Type && bytes.Equal(x.Data, y.Data)
		if agreed = agreed || x.Term == y.Term; agreed && !same {
			w.fail("%d and %d have different entries at %d, %d/%d and %d/%d, and agree on a term there or after it", a, b, i, x.Index, x.Term, y.Index, y.Term)
		}
	}
}

// checkQuorums: memberships that can both decide have no two quorums apart. A
// leader's can decide while a quorum of it has not moved on to a later term.
func (w *world) checkQuorums() {
	var uses []raft.Membership
	for _, c := range w.nodes {
		if c.raft.Role() != raft.Leader {
			continue
		}
		for _, m := range c.raft.InUse() {
			behind := 0
			for _, v := range m.Voters {
				if x := w.cell(v.ID); x != nil && x.raft.Term() <= c.raft.Term() {
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
			if !meet(a.Voters, b.Voters) {
				w.fail("%s and %s are both in use and have quorums apart", ids(a), ids(b))
			}
		}
	}
}

func meet(a, b []raft.Member) bool {
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
	w, err := x.play(trace)
	if err != nil {
		return "", err
	}
	return w.broken, nil
}

func (x Exploration) play(trace []string) (*world, error) {
	w := x.world()
	for i, line := range trace {
		next, err := w.line(line)
		if err != nil {
			return nil, fmt.Errorf("rafttest: line %d: %w", i+1, err)
		}
		if w = next; w.broken != "" {
			break
		}
	}
	return w, nil
}

func (w *world) line(line string) (*world, error) {
	verb, rest, _ := strings.Cut(line, " ")
	switch verb {
	case "forget":
		w = w.fork()
		w.net = nil
		return w, nil
	case "settle":
		return w.settle(strings.Fields(rest), "")
	case "elect":
		among := strings.Fields(rest)
		return w.settle(among, among[0])
	}
	for _, e := range w.events() {
		if e.String() == line {
			if n := w.after(e); n != nil {
				return n, nil
			}
			return nil, fmt.Errorf("%q does nothing", line)
		}
	}
	return nil, fmt.Errorf("%q cannot happen", line)
}

func (w *world) settle(among []string, leader string) (*world, error) {
	in := func(id uint64) bool { return len(among) == 0 || slices.Contains(among, fmt.Sprint(id)) }
	idle := map[uint64]bool{} // messages that do nothing
	for range 10_000 {
		var next *world
		for _, c := range w.nodes {
			if c.raft.Role() == raft.Leader && fmt.Sprint(c.id) == leader {
				return w, nil
			}
		}
		for _, e := range w.events() {
			switch {
			case e.kind == Sync && in(e.node):
				next = w.after(e)
			case e.kind == Deliver && in(e.p.m.From) && in(e.p.m.To) && !idle[e.p.sum]:
				if next = w.after(e); next == nil {
					idle[e.p.sum] = true
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
		if clear(idle); next.broken != "" {
			return next, nil
		}
		w = next
	}
	return nil, fmt.Errorf("does not settle")
}

// Run searches breadth first, so that a violation comes with a shortest trace.
// The error is for a Start that cannot be played.
func (x Exploration) Run() (Explored, error) {
	type visit struct {
		from int32
		by   event
	}
	w, err := x.play(x.Start)
	if err != nil {
		return Explored{}, err
	}
	out := Explored{States: 1}
	visits := []visit{{from: -1}}
	seen := map[uint64]struct{}{w.key(): {}}
	type node struct {
		w  *world
		at int32
	}
	fail := func(w *world, from int32, by ...event) (Explored, error) {
		var steps []string
		for _, e := range by {
			steps = append(steps, e.String())
		}
		for ; from > 0; from = visits[from].from {
			steps = append(steps, visits[from].by.String())
		}
		slices.Reverse(steps)
		out.Violation, out.Trace = w.broken, append(slices.Clone(x.Start), steps...)
		return out, nil
	}
	if w.broken != "" {
		return fail(w, 0)
	}
	front := []node{{w, 0}}
	for ; out.Depth < x.Depth && len(front) > 0; out.Depth++ {
		var next []node
		for i, at := range front {
			front[i].w = nil
			for _, e := range at.w.events() {
				if e.kind != Deliver && e.kind != Sync && at.w.left[e.kind] == 0 {
					continue
				}
				n := at.w.after(e)
				if n == nil {
					continue
				}
				out.Transitions++
				if n.broken != "" {
					return fail(n, at.at, e)
				}
				if e.kind != Deliver && e.kind != Sync {
					n.left[e.kind]--
				}
				k := n.key()
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
	out.Finished = true
	return out, nil
}
