package raft

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// What a model checker needs of a node: a copy of it, its state as bytes, and a
// look at its log.

// Clone gives an independent node in the same state. The data of entries,
// snapshots and messages is shared, as nothing changes it.
func (n *Node) Clone() *Node {
	c := *n
	c.votes = maps.Clone(n.votes)
	c.entries = slices.Clone(n.entries)
	c.memberships = slices.Clone(n.memberships)
	c.reads, c.early = slices.Clone(n.reads), slices.Clone(n.early)
	c.tail = slices.Clone(n.tail)
	if n.incoming != nil {
		in := *n.incoming
		in.snap.Data = slices.Clone(in.snap.Data)
		c.incoming = &in
	}
	c.unsaved = slices.Clone(n.unsaved)
	c.send, c.after = slices.Clone(n.send), slices.Clone(n.after)
	c.done = slices.Clone(n.done)
	if n.peers != nil {
		c.peers = make(map[uint64]*progress, len(n.peers))
		for id, p := range n.peers {
			q := *p
			q.flow.flights = slices.Clone(p.flow.flights)
			if p.transfer != nil {
				t := *p.transfer
				q.transfer = &t
			}
			c.peers[id] = &q
		}
	}
	return &c
}

// Log gives the snapshot and the entries after it that the node holds in
// memory, durable or not. They are not to be changed.
func (n *Node) Log() (Snapshot, []Entry) { return n.snap, n.entries }

// InUse gives the memberships whose quorums can decide in the eyes of this
// node: the newest committed one and all that follow it in the log.
func (n *Node) InUse() []Membership {
	var out []Membership
	for i, m := range n.memberships {
		if i+1 < len(n.memberships) && n.memberships[i+1].index <= n.commit {
			continue
		}
		out = append(out, m.members)
	}
	return out
}

// Fingerprint appends the whole state to b, so that nodes of equal bytes behave
// alike from here on. Instants count relative to the node's clock; those
// further back than span count as equal, which is right if span is longer than
// any patience in Config.
func (n *Node) Fingerprint(b []byte, span time.Duration) []byte {
	at := func(t time.Duration) { b = number(b, uint64(span+max(t-n.now, -span))) }
	b = number(b, n.cfg.ID, n.hard.Term, n.hard.Vote, uint64(n.role), n.leader)
	at(n.heardAt)
	at(n.deadline)
	b = number(b, uint64(len(n.votes)))
	for _, id := range sorted(n.votes) {
		b = boolean(number(b, id), n.votes[id])
	}
	b = n.snap.fingerprint(boolean(b, n.forced))
	b = fingerprintEntries(b, n.entries)
	b = fingerprintEntries(b, n.tail)
	if b = boolean(b, n.incoming != nil); n.incoming != nil {
		b = number(n.incoming.snap.fingerprint(b), uint64(n.incoming.size), uint64(n.incoming.sum))
	}
	at(n.touchedAt)
	for _, t := range [...]touch{n.touching, n.lastTouch} {
		at(t.at)
		b = number(boolean(b, t.at != 0), t.commit)
	}
	b = number(b, n.stable, n.commit, n.applied, uint64(len(n.memberships)))
	for _, m := range n.memberships {
		b = m.members.fingerprint(number(b, m.index))
	}
	b = number(b, uint64(len(n.peers)))
	for _, id := range sorted(n.peers) {
		p := n.peers[id]
		b = number(b, id, p.match, p.next, p.context, p.anewFrom, p.anewThrough)
		if b = boolean(b, p.transfer != nil); p.transfer != nil {
			t := p.transfer
			b = boolean(number(t.snap.fingerprint(b), uint64(t.sum), uint64(t.offset)), t.waiting)
		}
		f := &p.flow
		b = number(b, uint64(p.theirs), uint64(f.window), uint64(f.bytes), uint64(f.rtt), uint64(f.tries), uint64(len(f.flights)))
		for _, x := range f.flights {
			b = number(b, x.last, uint64(x.size))
			at(x.at)
		}
		at(p.sentAt)
		at(p.heardAt)
		at(p.askedAt)
		at(p.ackedAt)
		at(p.anewAt)
	}
	at(n.beatAt)
	b = number(b, n.seq, uint64(len(n.reads)))
	for _, r := range n.reads {
		b = number(b, r.context, r.seq, r.index)
	}
	b = number(number(b, uint64(len(n.early))), n.early...)
	b = number(b, n.transferTo, n.termStart, n.lagMark)
	at(n.transferAt)
	at(n.lagSince)
	b = boolean(b, n.hardDirty)
	b = fingerprintEntries(b, n.unsaved)
	if b = boolean(b, n.install != nil); n.install != nil {
		b = n.install.fingerprint(b)
	}
	b = fingerprintMessages(b, n.send)
	b = fingerprintMessages(b, n.after)
	b = number(b, uint64(len(n.done)))
	for _, r := range n.done {
		b = boolean(number(b, r.Context, r.Index), r.OK)
	}
	return b
}

// Fingerprint appends the whole message to b.
func (m Message) Fingerprint(b []byte) []byte {
	b = number(b, uint64(m.Type), m.From, m.To, m.Term, m.Index, m.LogTerm, m.Commit, m.Hint, m.Context)
	b = number(b, uint64(m.Sent), uint64(m.Echo), uint64(m.Offset), uint64(m.Size), uint64(m.Sum))
	b = boolean(boolean(boolean(b, m.Reject), m.Force), m.Touch)
	b = fingerprintEntries(b, m.Entries)
	if b = boolean(b, m.Snap != nil); m.Snap != nil {
		b = m.Snap.fingerprint(b)
	}
	return b
}

// Fingerprint appends the whole write to b.
func (w *Write) Fingerprint(b []byte) []byte {
	if b = boolean(b, w.Hard != nil); w.Hard != nil {
		b = number(b, w.Hard.Term, w.Hard.Vote)
	}
	if b = boolean(b, w.Snapshot != nil); w.Snapshot != nil {
		b = w.Snapshot.fingerprint(b)
	}
	return fingerprintMessages(fingerprintEntries(b, w.Entries), w.After)
}

// Fingerprint appends all that a disk holds to b.
func (s Saved) Fingerprint(b []byte) []byte {
	return fingerprintEntries(s.Snapshot.fingerprint(number(b, s.Hard.Term, s.Hard.Vote)), s.Entries)
}

func (s Snapshot) fingerprint(b []byte) []byte {
	return text(s.Members.fingerprint(number(b, s.Index, s.Term)), s.Data)
}

func (m Membership) fingerprint(b []byte) []byte {
	for _, ms := range [][]Member{m.Voters, m.Learners} {
		b = number(b, uint64(len(ms)))
		for _, x := range ms {
			b = boolean(text(text(number(b, x.ID), x.Addr), x.API), x.Uncounted)
		}
	}
	return b
}

func fingerprintEntries(b []byte, es []Entry) []byte {
	b = number(b, uint64(len(es)))
	for _, e := range es {
		b = text(number(b, e.Index, e.Term, uint64(e.Type)), e.Data)
	}
	return b
}

func fingerprintMessages(b []byte, ms []Message) []byte {
	b = number(b, uint64(len(ms)))
	for _, m := range ms {
		b = m.Fingerprint(b)
	}
	return b
}

func number(b []byte, vs ...uint64) []byte {
	for _, v := range vs {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

func boolean(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

func text[T string | []byte](b []byte, s T) []byte {
	return append(number(b, uint64(len(s))), s...)
}

func sorted[V any](m map[uint64]V) []uint64 { return slices.Sorted(maps.Keys(m)) }
