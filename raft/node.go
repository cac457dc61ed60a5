package raft

import (
	"time"
)

// Node is one member of the group.
type Node struct {
	cfg  Config
	now  time.Duration
	hard HardState
	role Role

	leader      uint64
	heardAt     time.Duration // from the leader
	touchedAt   time.Duration // see TouchedAt
	touching    touch         // the oldest proof that waits for what it asks to be applied
	lastTouch   touch         // the newest one
	deadline    time.Duration // of the election timer
	votes       map[uint64]bool
	forced      bool
	snap        Snapshot // its Data may be dropped; see Compact
	entries     []Entry  // entries[0].Index == snap.Index+1
	tail        []Entry  // the newest that snap stands for, for lagging members
	incoming    *incoming
	stable      uint64
	commit      uint64
	applied     uint64
	memberships []placedMembership

	peers      map[uint64]*progress
	beatAt     time.Duration
	seq        uint64
	reads      []pendingRead
	early      []uint64 // contexts of reads before termStart is committed
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
		cfg.MaxBatch = 64 << 10
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

// ID, Term, Role, Leader, Commit, Applied, Stable and Last tell the state.
func (n *Node) ID() uint64 { return n.cfg.ID }

func (n *Node) Term() uint64 { return n.hard.Term }

func (n *Node) Role() Role { return n.role }

func (n *Node) Leader() uint64 { return n.leader }

func (n *Node) Commit() uint64 { return n.commit }

// Applied is the last index handed out as committed.
func (n *Node) Applied() uint64 { return n.applied }

// Stable is the last index known to be durable here.
func (n *Node) Stable() uint64 { return n.stable }

// Last is the last index of the log.
func (n *Node) Last() uint64 { return n.last() }

// LogSize is how many applied entries the log holds past its snapshot, which Compact
// would drop.
func (n *Node) LogSize() int { return int(n.applied - n.snap.Index) }

func (n *Node) last() uint64 { return n.snap.Index + uint64(len(n.entries)) }

func (n *Node) term(i uint64) (uint64, bool) {
	switch {
	case i == n.snap.Index:
		return n.snap.Term, true
	case i > n.last():
		return 0, false
	case i < n.snap.Index:
		if len(n.tail) == 0 || i < n.tail[0].Index {
			return 0, false
		}
		return n.tail[i-n.tail[0].Index].Term, true
	}
	return n.entries[i-n.snap.Index-1].Term, true
}

// from gives the log from index i on, whose predecessor's term is known.
func (n *Node) from(i uint64) []Entry {
	if i > n.snap.Index {
		return n.entries[i-n.snap.Index-1:]
	}
	return n.tail[i-n.tail[0].Index:]
}

func (n *Node) lastTerm() uint64 { t, _ := n.term(n.last()); return t }

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
		if !n.hears(n.cfg.Election) {
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

func (n *Node) out(m Message) {
	// A sole voter elects itself before its vote is durable: what it says as the
	// leader waits for that, or its next life leads in the same term again.
	if n.role == Leader && n.stable < n.termStart && len(n.Members().Voters) == 1 {
		n.outAfter(m)
		return
	}
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
			// An entry of the same place and term is the same, and so is all before it,
			// whether or not the leader has heard that this log holds it.
			if t, ok := n.term(m.Index); ok && t == m.LogTerm {
				n.commitTo(m.Index)
			}
			n.noteTouch(m)
			resp := Message{Type: MsgHeartbeatResp, To: m.From, Context: m.Context, Index: n.last(), Sent: n.now, Echo: m.Sent}
			if n.hardDirty {
				n.outAfter(resp)
			} else {
				n.out(resp)
			}
		case MsgSnapshot:
			n.stepSnapshot(m)
		}
	case MsgAppendResp, MsgHeartbeatResp, MsgSnapshotResp:
		if n.role == Leader {
			n.stepResp(m)
		}
	case MsgTimeoutNow:
		if n.role != Leader && n.Members().Voter(n.cfg.ID) {
			n.campaign(Candidate, true)
		}
	}
}

// Ready hands out what is to be done since the last call. What earlier calls handed
// out as committed counts as applied.
func (n *Node) Ready() Effects {
	n.settleTouch()
	if n.role == Leader {
		n.askEarly()
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
