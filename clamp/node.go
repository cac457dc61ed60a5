package clamp

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"sort"
	"time"
)

type progress struct {
	match    uint64
	next     uint64
	sentAt   time.Duration // last append or snapshot
	heardAt  time.Duration
	ackedAt  time.Duration // last time match moved or was whole
	context  uint64
	snapshot bool
	// What was sent anew after the newest rejection, and when.
	anewFrom, anewThrough uint64
	anewAt                time.Duration
}

type pendingRead struct {
	context uint64
	seq     uint64
	index   uint64
}

type placedMembership struct {
	index   uint64
	members Membership
}

// Node is one member of the group.
type Node struct {
	cfg  Config
	now  time.Duration
	hard HardState
	role Role

	leader      uint64
	heardAt     time.Duration // from the leader
	deadline    time.Duration // of the election timer
	votes       map[uint64]bool
	forced      bool
	snap        Snapshot // its Data may be dropped; see Compact
	entries     []Entry  // entries[0].Index == snap.Index+1
	stable      uint64
	commit      uint64
	applied     uint64
	memberships []placedMembership

	peers      map[uint64]*progress
	beatAt     time.Duration
	seq        uint64
	reads      []pendingRead
	transferTo uint64
	transferAt time.Duration
	termStart  uint64 // index of the entry that opened this leader's term
	lagMark    uint64
	lagSince   time.Duration

	hardDirty bool
	unsaved   []Entry
	install   *Snapshot
	send      []Message
	after     []Message
	done      []Read
}

// New makes a node from what its disk holds. A node whose membership is empty
// follows until a leader sends it one.
func New(cfg Config, now time.Duration, saved Saved) *Node {
	if cfg.MaxBatch == 0 {
		cfg.MaxBatch = 1 << 20
	}
	n := &Node{cfg: cfg, now: now, hard: saved.Hard, snap: saved.Snapshot, entries: saved.Entries}
	n.commit, n.applied = saved.Snapshot.Index, saved.Snapshot.Index
	n.stable = n.last()
	n.memberships = []placedMembership{{saved.Snapshot.Index, saved.Snapshot.Members}}
	for _, e := range n.entries {
		n.noteMembership(e)
	}
	// A node that has just started has no leader to disturb: PreVote asks first.
	n.hurry()
	return n
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
		return m, fmt.Errorf("clamp: membership: %w", err)
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

// ID, Term, Role, Leader, Commit, Applied, Stable and Last tell the state.
func (n *Node) ID() uint64     { return n.cfg.ID }
func (n *Node) Term() uint64   { return n.hard.Term }
func (n *Node) Role() Role     { return n.role }
func (n *Node) Leader() uint64 { return n.leader }
func (n *Node) Commit() uint64 { return n.commit }

// Applied is the last index handed out as committed.
func (n *Node) Applied() uint64 { return n.applied }

// Stable is the last index known to be durable here.
func (n *Node) Stable() uint64 { return n.stable }

// Last is the last index of the log.
func (n *Node) Last() uint64 { return n.last() }

// HeardAt is when a follower last heard from its leader.
func (n *Node) HeardAt() time.Duration { return n.heardAt }

// LogSize is how many entries the log holds past its snapshot.
func (n *Node) LogSize() int { return len(n.entries) }

func (n *Node) last() uint64 { return n.snap.Index + uint64(len(n.entries)) }

func (n *Node) term(i uint64) (uint64, bool) {
	switch {
	case i == n.snap.Index:
		return n.snap.Term, true
	case i < n.snap.Index || i > n.last():
		return 0, false
	}
	return n.entries[i-n.snap.Index-1].Term, true
}

func (n *Node) lastTerm() uint64 { t, _ := n.term(n.last()); return t }

func (n *Node) reset(leader uint64) {
	n.leader = leader
	n.votes = nil
	n.forced = false
	n.transferTo = 0
	span := int64(n.cfg.Election)
	n.deadline = n.now + n.cfg.Election + time.Duration(n.cfg.Rand(span))
}

// hurry sets a short election timer. It is for nodes that only ask whether an
// election would be welcome, which disturbs nobody.
func (n *Node) hurry() {
	n.deadline = n.now + n.cfg.Heartbeat + time.Duration(n.cfg.Rand(int64(n.cfg.Election/2)))
}

func (n *Node) become(role Role, term, leader uint64) {
	if term != n.hard.Term {
		n.hard = HardState{Term: term}
		n.hardDirty = true
	}
	if n.role == Leader && role != Leader {
		n.dropReads()
	}
	n.role = role
	n.reset(leader)
}

func (n *Node) dropReads() {
	for _, r := range n.reads {
		n.done = append(n.done, Read{Context: r.context})
	}
	n.reads = nil
}

// Tick lets time pass. now is a steady clock.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if now >= n.deadline {
		n.reset(n.leader)
		if n.Members().Voter(n.cfg.ID) {
			n.campaign(PreCandidate, false)
		} else {
			n.leader = 0
		}
	}
}

func (n *Node) tickLeader() {
	if n.now >= n.deadline { // CheckQuorum
		n.deadline = n.now + n.cfg.Election
		if !n.InTouch(n.cfg.Election) {
			n.become(Follower, n.hard.Term, 0)
			return
		}
	}
	if n.transferTo != 0 && n.now-n.transferAt > n.cfg.Election {
		n.transferTo = 0
	}
	// A leader whose own disk takes too long over one entry gives way.
	if n.stable >= n.lagMark {
		n.lagMark, n.lagSince = n.last(), n.now
	} else if n.now-n.lagSince > n.cfg.Election {
		n.lagSince = n.now
		n.Transfer()
	}
	if n.now-n.beatAt >= n.cfg.Heartbeat {
		n.beat()
	}
}

// InTouch tells whether a leader has heard from a majority within span.
func (n *Node) InTouch(span time.Duration) bool {
	if n.role != Leader {
		return false
	}
	count := 0
	voters := n.Members().Voters
	for _, m := range voters {
		if m.ID == n.cfg.ID {
			count++
		} else if p := n.peers[m.ID]; p != nil && n.now-p.heardAt <= span {
			count++
		}
	}
	return count > len(voters)/2
}

// Heard tells when a leader last heard from a member.
func (n *Node) Heard(id uint64) time.Duration {
	if p := n.peers[id]; p != nil {
		return p.heardAt
	}
	return 0
}

// Match tells up to where a member is known to hold the leader's log.
func (n *Node) Match(id uint64) uint64 {
	if id == n.cfg.ID {
		return n.stable
	}
	if p := n.peers[id]; p != nil {
		return p.match
	}
	return 0
}

func (n *Node) beat() {
	n.beatAt = n.now
	for _, m := range n.Members().All() {
		if m.ID == n.cfg.ID {
			continue
		}
		p := n.peer(m.ID)
		// Nothing acknowledged for a while: send again from what is known.
		if p.match < n.last() && n.now-p.sentAt > 3*n.cfg.Heartbeat && n.now-p.ackedAt > 3*n.cfg.Heartbeat {
			p.next, p.snapshot = p.match+1, false
			if n.now-p.heardAt <= n.cfg.Election {
				n.append(m.ID)
			}
		}
		n.out(Message{Type: MsgHeartbeat, To: m.ID, Commit: min(n.commit, p.match), Context: n.seq})
	}
}

func (n *Node) peer(id uint64) *progress {
	p := n.peers[id]
	if p == nil {
		p = &progress{next: n.last() + 1, heardAt: n.now, ackedAt: n.now}
		n.peers[id] = p
	}
	return p
}

func (n *Node) out(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.send = append(n.send, m)
}

func (n *Node) outAfter(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.after = append(n.after, m)
}

// Campaign makes a voter stand for election now.
func (n *Node) Campaign() {
	if n.role != Leader && n.Members().Voter(n.cfg.ID) {
		n.campaign(PreCandidate, false)
	}
}

func (n *Node) campaign(role Role, force bool) {
	term := n.hard.Term
	if role == Candidate {
		term++
		n.become(Candidate, term, 0)
		n.hard.Vote = n.cfg.ID
		n.hardDirty = true
	} else {
		n.become(PreCandidate, term, 0)
		n.hurry()
		term++
	}
	n.forced = force
	n.votes = map[uint64]bool{n.cfg.ID: true}
	if n.won() {
		n.advance()
		return
	}
	for _, m := range n.Members().Voters {
		if m.ID == n.cfg.ID {
			continue
		}
		msg := Message{To: m.ID, Term: term, Index: n.last(), LogTerm: n.lastTerm(), Force: force}
		if role == Candidate {
			msg.Type = MsgVote
			n.outAfter(msg)
		} else {
			msg.Type = MsgPreVote
			n.out(msg)
		}
	}
}

func (n *Node) won() bool {
	voters := n.Members().Voters
	yes := 0
	for _, m := range voters {
		if n.votes[m.ID] {
			yes++
		}
	}
	return yes > len(voters)/2
}

func (n *Node) lost() bool {
	voters := n.Members().Voters
	no := 0
	for _, m := range voters {
		if v, ok := n.votes[m.ID]; ok && !v {
			no++
		}
	}
	return no > len(voters)/2 || (len(voters)%2 == 0 && no >= len(voters)/2)
}

func (n *Node) advance() {
	if n.role == PreCandidate {
		n.campaign(Candidate, n.forced)
		return
	}
	n.become(Leader, n.hard.Term, n.cfg.ID)
	n.deadline = n.now + n.cfg.Election
	n.peers = map[uint64]*progress{}
	n.seq, n.lagMark = 0, 0
	for _, m := range n.Members().All() {
		if m.ID != n.cfg.ID {
			n.peer(m.ID)
		}
	}
	n.termStart = n.last() + 1
	n.push(Entry{Type: Normal}) // commits what earlier terms left behind
	n.beat()
}

func (n *Node) push(e Entry) uint64 {
	e.Term, e.Index = n.hard.Term, n.last()+1
	n.entries = append(n.entries, e)
	n.unsaved = append(n.unsaved, e)
	n.noteMembership(e)
	return e.Index
}

// Propose appends a command at the leader. ok is false, and nothing was done,
// if this node does not lead or is handing its leadership on.
func (n *Node) Propose(data []byte) (index, term uint64, ok bool) {
	if n.role != Leader || n.transferTo != 0 {
		return 0, 0, false
	}
	return n.push(Entry{Type: Normal, Data: data}), n.hard.Term, true
}

// Changing tells whether a change of membership is still on its way, or the
// leader has not yet committed in its own term.
func (n *Node) Changing() bool {
	return n.memberships[len(n.memberships)-1].index > n.commit || n.commit < n.termStart
}

// ProposeMembers appends a membership that differs from the present one by at
// most one voter.
func (n *Node) ProposeMembers(m Membership) error {
	switch {
	case n.role != Leader || n.transferTo != 0:
		return fmt.Errorf("clamp: not the leader")
	case n.Changing():
		return fmt.Errorf("clamp: another change is on its way")
	case distance(n.Members().Voters, m.Voters) > 1:
		return fmt.Errorf("clamp: more than one voter changed")
	case !m.Voter(n.cfg.ID):
		return fmt.Errorf("clamp: a leader does not remove itself")
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

// ReadIndex asks for a confirmed read point. It comes out of Ready in Reads.
func (n *Node) ReadIndex(context uint64) {
	if n.role != Leader || n.commit < n.termStart {
		n.done = append(n.done, Read{Context: context})
		return
	}
	if len(n.Members().Voters) == 1 {
		n.done = append(n.done, Read{Context: context, Index: n.commit, OK: true})
		return
	}
	n.reads = append(n.reads, pendingRead{context, n.seq + 1, n.commit})
}

// Transfer hands leadership to the best follower, if there is one.
func (n *Node) Transfer() bool {
	if n.role != Leader {
		return false
	}
	var best uint64
	var bestMatch uint64
	for _, m := range n.Members().Voters {
		p := n.peers[m.ID]
		if m.ID == n.cfg.ID || p == nil || n.now-p.heardAt > n.cfg.Election {
			continue
		}
		if best == 0 || p.match > bestMatch {
			best, bestMatch = m.ID, p.match
		}
	}
	if best == 0 {
		return false
	}
	n.transferTo, n.transferAt = best, n.now
	n.tryTransfer()
	return true
}

func (n *Node) tryTransfer() {
	if p := n.peers[n.transferTo]; p != nil && p.match == n.last() {
		n.out(Message{Type: MsgTimeoutNow, To: n.transferTo})
	}
}

// Step takes a message from a peer.
func (n *Node) Step(now time.Duration, m Message) {
	n.now = max(n.now, now)
	if m.To != n.cfg.ID {
		return // meant for an earlier life of this address
	}
	if m.Term > n.hard.Term {
		switch m.Type {
		case MsgPreVote:
		case MsgPreVoteResp:
			if m.Reject {
				n.become(Follower, m.Term, 0)
			}
		case MsgVote:
			if !m.Force && n.leased() {
				return
			}
			n.become(Follower, m.Term, 0)
		case MsgAppend, MsgHeartbeat, MsgSnapshot:
			n.become(Follower, m.Term, m.From)
		default:
			n.become(Follower, m.Term, 0)
		}
	} else if m.Term < n.hard.Term {
		switch m.Type {
		case MsgAppend, MsgHeartbeat, MsgSnapshot:
			n.outAfter(Message{Type: MsgAppendResp, To: m.From, Reject: true, Hint: n.last()})
		case MsgPreVote:
			n.outAfter(Message{Type: MsgPreVoteResp, To: m.From, Reject: true})
		}
		return
	}
	switch m.Type {
	case MsgPreVote:
		n.stepPreVote(m)
	case MsgVote:
		n.stepVote(m)
	case MsgPreVoteResp, MsgVoteResp:
		n.stepVoteResp(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		if n.role == Leader {
			return // two leaders of a term cannot be; a corrupt peer is ignored
		}
		if n.role != Follower || n.leader != m.From {
			n.become(Follower, m.Term, m.From)
		}
		n.heardAt = n.now
		n.deadline = n.now + n.cfg.Election + time.Duration(n.cfg.Rand(int64(n.cfg.Election)))
		switch m.Type {
		case MsgAppend:
			n.stepAppend(m)
		case MsgHeartbeat:
			n.commitTo(min(m.Commit, n.last()))
			resp := Message{Type: MsgHeartbeatResp, To: m.From, Context: m.Context, Index: n.last()}
			if n.hardDirty {
				n.outAfter(resp)
			} else {
				n.out(resp)
			}
		case MsgSnapshot:
			n.stepSnapshot(m)
		}
	case MsgAppendResp, MsgHeartbeatResp:
		if n.role == Leader {
			n.stepResp(m)
		}
	case MsgTimeoutNow:
		if n.role != Leader && n.Members().Voter(n.cfg.ID) {
			n.campaign(Candidate, true)
		}
	}
}

// leased tells whether this node has a living leader, so that a vote asked for
// by somebody else is not answered.
func (n *Node) leased() bool {
	if n.role == Leader {
		return n.InTouch(n.cfg.Election)
	}
	return n.leader != 0 && n.now-n.heardAt < n.cfg.Election
}

func (n *Node) upToDate(m Message) bool {
	t := n.lastTerm()
	return m.LogTerm > t || (m.LogTerm == t && m.Index >= n.last())
}

func (n *Node) stepPreVote(m Message) {
	ok := m.Term > n.hard.Term && n.upToDate(m) && !n.leased()
	resp := Message{Type: MsgPreVoteResp, To: m.From, Term: m.Term, Reject: !ok}
	if !ok {
		resp.Term = n.hard.Term
	}
	n.outAfter(resp)
}

func (n *Node) stepVote(m Message) {
	ok := (n.hard.Vote == 0 || n.hard.Vote == m.From) && n.leader == 0 && n.upToDate(m)
	if ok {
		if n.hard.Vote != m.From {
			n.hard.Vote = m.From
			n.hardDirty = true
		}
		n.deadline = n.now + n.cfg.Election + time.Duration(n.cfg.Rand(int64(n.cfg.Election)))
	}
	n.outAfter(Message{Type: MsgVoteResp, To: m.From, Reject: !ok})
}

func (n *Node) stepVoteResp(m Message) {
	want := MsgVoteResp
	if n.role == PreCandidate {
		want = MsgPreVoteResp
	}
	if (n.role != PreCandidate && n.role != Candidate) || m.Type != want {
		return
	}
	if _, seen := n.votes[m.From]; !seen {
		n.votes[m.From] = !m.Reject
	}
	switch {
	case n.won():
		n.advance()
	case n.lost():
		n.become(Follower, n.hard.Term, 0)
	}
}

func (n *Node) stepAppend(m Message) {
	if m.Index < n.commit {
		n.outAfter(Message{Type: MsgAppendResp, To: m.From, Index: n.commit})
		return
	}
	if t, ok := n.term(m.Index); !ok || t != m.LogTerm {
		hint := min(m.Index, n.last())
		for hint > n.commit {
			if t, ok := n.term(hint); ok && t <= m.LogTerm {
				break
			}
			hint--
		}
		n.outAfter(Message{Type: MsgAppendResp, To: m.From, Reject: true, Index: m.Index, Hint: hint})
		return
	}
	for i, e := range m.Entries {
		if t, ok := n.term(e.Index); ok && t == e.Term {
			continue
		}
		n.cut(e.Index)
		for _, e := range m.Entries[i:] {
			n.entries = append(n.entries, e)
			n.unsaved = append(n.unsaved, e)
			n.noteMembership(e)
		}
		break
	}
	held := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, held))
	n.outAfter(Message{Type: MsgAppendResp, To: m.From, Index: held})
}

// cut removes all entries from index on. Committed ones never go.
func (n *Node) cut(index uint64) {
	if index > n.last() || index <= n.commit {
		return
	}
	n.entries = append([]Entry(nil), n.entries[:index-n.snap.Index-1]...)
	n.stable = min(n.stable, index-1)
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
	for i, e := range n.unsaved {
		if e.Index >= index {
			n.unsaved = n.unsaved[:i]
			break
		}
	}
}

func (n *Node) commitTo(i uint64) {
	if i > n.commit {
		n.commit = i
	}
}

func (n *Node) stepSnapshot(m Message) {
	s := m.Snap
	if s == nil {
		return
	}
	if t, ok := n.term(s.Index); s.Index <= n.commit || (ok && t == s.Term) {
		n.commitTo(min(s.Index, n.last()))
		n.outAfter(Message{Type: MsgAppendResp, To: m.From, Index: n.commit})
		return
	}
	n.entries, n.unsaved = nil, nil
	n.snap = *s
	n.commit, n.applied, n.stable = s.Index, s.Index, s.Index
	n.memberships = []placedMembership{{s.Index, s.Members}}
	n.install = s
	n.outAfter(Message{Type: MsgAppendResp, To: m.From, Index: s.Index})
}

func (n *Node) stepResp(m Message) {
	p := n.peers[m.From]
	if p == nil {
		return
	}
	p.heardAt = n.now
	if m.Type == MsgHeartbeatResp {
		if m.Context > p.context {
			p.context = m.Context
			n.releaseReads()
		}
		if p.match >= n.last() {
			p.ackedAt = n.now
		}
		return
	}
	if m.Reject {
		if m.Index == 0 || m.Index < p.match {
			return
		}
		// A peer that was away rejects each of the appends that were on their way;
		// the first rejection has everything sent anew, the others are of before.
		if m.Index >= p.anewFrom && m.Index <= p.anewThrough && n.now-p.anewAt <= 3*n.cfg.Heartbeat {
			return
		}
		p.next = max(p.match+1, min(m.Hint+1, m.Index))
		p.anewFrom, p.anewThrough, p.anewAt = p.next, n.last(), n.now
		p.snapshot = false
		n.append(m.From)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.ackedAt = n.now
	}
	p.snapshot = p.snapshot && p.match < n.snap.Index
	p.next = max(p.next, p.match+1)
	n.maybeCommit()
	if n.transferTo == m.From {
		n.tryTransfer()
	}
}

func (n *Node) append(to uint64) {
	p := n.peers[to]
	if p == nil || p.snapshot {
		return
	}
	if p.next <= n.snap.Index {
		if n.snap.Data == nil {
			return
		}
		s := n.snap
		p.snapshot, p.sentAt, p.next = true, n.now, n.snap.Index+1
		n.out(Message{Type: MsgSnapshot, To: to, Snap: &s})
		return
	}
	for p.next <= n.last() {
		prev := p.next - 1
		t, _ := n.term(prev)
		from := n.entries[p.next-n.snap.Index-1:]
		size, k := 0, 0
		for k < len(from) && (k == 0 || size+len(from[k].Data) < n.cfg.MaxBatch) {
			size += len(from[k].Data)
			k++
		}
		// A copy, as the log may be cut while the message waits.
		n.out(Message{Type: MsgAppend, To: to, Index: prev, LogTerm: t, Commit: n.commit, Entries: append([]Entry(nil), from[:k]...)})
		p.next += uint64(k)
		p.sentAt = n.now
	}
}

func (n *Node) maybeCommit() {
	voters := n.Members().Voters
	if len(voters) == 0 {
		return
	}
	got := make([]uint64, 0, len(voters))
	for _, m := range voters {
		got = append(got, n.Match(m.ID))
	}
	sort.Slice(got, func(i, j int) bool { return got[i] > got[j] })
	i := got[len(voters)/2]
	if t, ok := n.term(i); ok && t == n.hard.Term && i > n.commit {
		n.commit = i
	}
}

func (n *Node) releaseReads() {
	voters := n.Members().Voters
	got := make([]uint64, 0, len(voters))
	for _, m := range voters {
		if m.ID == n.cfg.ID {
			got = append(got, n.seq)
		} else if p := n.peers[m.ID]; p != nil {
			got = append(got, p.context)
		} else {
			got = append(got, 0)
		}
	}
	sort.Slice(got, func(i, j int) bool { return got[i] > got[j] })
	sure := got[len(voters)/2]
	keep := n.reads[:0]
	for _, r := range n.reads {
		if r.seq <= sure {
			n.done = append(n.done, Read{Context: r.context, Index: r.index, OK: true})
		} else {
			keep = append(keep, r)
		}
	}
	n.reads = keep
}

// Persisted tells that the write whose last entry stood at index in term is
// durable.
func (n *Node) Persisted(index, term uint64) {
	if t, ok := n.term(index); ok && t == term && index > n.stable {
		n.stable = index
		if n.role == Leader {
			n.maybeCommit()
		}
	}
}

// Compact drops the log up to a snapshot that the caller made of its state at
// index. Until the next one, lagging members are sent this one.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, bool) {
	t, ok := n.term(index)
	if !ok || index <= n.snap.Index || index > n.applied {
		return Snapshot{}, false
	}
	var members Membership
	for len(n.memberships) > 1 && n.memberships[1].index <= index {
		n.memberships = n.memberships[1:]
	}
	members = n.memberships[0].members
	n.memberships[0].index = index
	n.entries = append([]Entry(nil), n.entries[index-n.snap.Index:]...)
	n.snap = Snapshot{Index: index, Term: t, Members: members, Data: data}
	return n.snap, true
}

// Ready hands out what is to be done since the last call.
func (n *Node) Ready() Effects {
	if n.role == Leader {
		if len(n.reads) > 0 && n.reads[len(n.reads)-1].seq > n.seq {
			n.seq++
			n.beat()
		}
		for _, m := range n.Members().All() {
			if m.ID != n.cfg.ID && n.peer(m.ID).next <= n.last() {
				// A member that is not heard is not sent more until it answers.
				if n.now-n.peer(m.ID).heardAt <= n.cfg.Election {
					n.append(m.ID)
				}
			}
		}
	}
	var e Effects
	e.Send, n.send = n.send, nil
	e.Reads, n.done = n.done, nil
	if n.hardDirty || len(n.unsaved) > 0 || len(n.after) > 0 || n.install != nil {
		w := &Write{Entries: n.unsaved, After: n.after, Snapshot: n.install}
		if n.hardDirty {
			h := n.hard
			w.Hard = &h
		}
		e.Write = w
		e.Install = n.install
		n.hardDirty, n.unsaved, n.after, n.install = false, nil, nil, nil
	}
	if n.commit > n.applied {
		e.Committed = append([]Entry(nil), n.entries[n.applied-n.snap.Index:n.commit-n.snap.Index]...)
		n.applied = n.commit
	}
	return e
}
