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
	c.pendingReads, c.deferredReads = slices.Clone(n.pendingReads), slices.Clone(n.deferredReads)
	c.compactedTail = slices.Clone(n.compactedTail)
	if n.incomingSnapshot != nil {
		in := *n.incomingSnapshot
		in.snapshot.Data = slices.Clone(in.snapshot.Data)
		c.incomingSnapshot = &in
	}
	c.entriesToWrite = slices.Clone(n.entriesToWrite)
	c.messages, c.messagesAfterAppend = slices.Clone(n.messages), slices.Clone(n.messagesAfterAppend)
	c.readStates = slices.Clone(n.readStates)
	if n.progress != nil {
		c.progress = make(map[uint64]*progress, len(n.progress))
		for id, p := range n.progress {
			q := *p
			q.flow.inflights = slices.Clone(p.flow.inflights)
			if p.pendingSnapshot != nil {
				t := *p.pendingSnapshot
				q.pendingSnapshot = &t
			}
			c.progress[id] = &q
		}
	}
	return &c
}

// Log gives the snapshot and the entries after it that the node holds in
// memory, durable or not. They are not to be changed.
func (n *Node) Log() (Snapshot, []Entry) { return n.snapshot, n.entries }

// ActiveMemberships gives the memberships whose quorums can decide in the eyes of this
// node: the newest committed one and all that follow it in the log.
func (n *Node) ActiveMemberships() []Membership {
	var out []Membership
	for i, m := range n.memberships {
		if i+1 < len(n.memberships) && n.memberships[i+1].index <= n.commitIndex {
			continue
		}
		out = append(out, m.membership)
	}
	return out
}

// Fingerprint appends the whole state to b, so that nodes of equal bytes behave
// alike from here on. Instants count relative to the node's clock; those
// further back than span count as equal, which is right if span is longer than
// any patience in Config.
func (n *Node) Fingerprint(b []byte, span time.Duration) []byte {
	at := func(t time.Duration) { b = appendUvarints(b, uint64(span+max(t-n.now, -span))) }
	b = appendUvarints(b, n.config.ID, n.hardState.Term, n.hardState.Vote, uint64(n.role), n.leaderID)
	at(n.lastLeaderContact)
	at(n.electionDeadline)
	b = appendUvarints(b, uint64(len(n.votes)))
	for _, id := range sortedKeys(n.votes) {
		b = appendBool(appendUvarints(b, id), n.votes[id])
	}
	b = n.snapshot.fingerprint(appendBool(b, n.isForcedCampaign))
	b = fingerprintEntries(b, n.entries)
	b = fingerprintEntries(b, n.compactedTail)
	if b = appendBool(b, n.incomingSnapshot != nil); n.incomingSnapshot != nil {
		b = appendUvarints(n.incomingSnapshot.snapshot.fingerprint(b), uint64(n.incomingSnapshot.totalSize), uint64(n.incomingSnapshot.checksum))
	}
	at(n.lastQuorumContact)
	for _, t := range [...]contactProof{n.pendingProof, n.newestProof} {
		at(t.asOf)
		b = appendUvarints(appendBool(b, t.asOf != 0), t.commitIndex)
	}
	b = appendUvarints(b, n.stableIndex, n.commitIndex, n.appliedIndex, uint64(len(n.memberships)))
	for _, m := range n.memberships {
		b = m.membership.fingerprint(appendUvarints(b, m.index))
	}
	b = appendUvarints(b, uint64(len(n.progress)))
	for _, id := range sortedKeys(n.progress) {
		p := n.progress[id]
		b = appendUvarints(b, id, p.matchIndex, p.nextIndex, p.ackedReadRound, p.resentFrom, p.resentThrough)
		if b = appendBool(b, p.pendingSnapshot != nil); p.pendingSnapshot != nil {
			t := p.pendingSnapshot
			b = appendBool(appendUvarints(t.snapshot.fingerprint(b), uint64(t.checksum), uint64(t.ackedOffset)), t.isAwaitingAck)
		}
		f := &p.flow
		b = appendUvarints(b, uint64(p.peerClock), uint64(f.windowBytes), uint64(f.inflightBytes), uint64(f.minRTT), uint64(f.consecutiveTimeouts), uint64(len(f.inflights)))
		for _, x := range f.inflights {
			b = appendUvarints(b, x.end, uint64(x.size))
			at(x.sentAt)
		}
		at(p.lastSentAt)
		at(p.lastContact)
		at(p.ackedHeartbeatSentAt)
		at(p.lastProgressAt)
		at(p.resentAt)
	}
	at(n.lastHeartbeatAt)
	b = appendUvarints(b, n.readRound, uint64(len(n.pendingReads)))
	for _, r := range n.pendingReads {
		b = appendUvarints(b, r.requestID, r.round, r.readIndex)
	}
	b = appendUvarints(appendUvarints(b, uint64(len(n.deferredReads))), n.deferredReads...)
	b = appendUvarints(b, n.transferTarget, n.termStartIndex, n.diskLagIndex)
	at(n.transferStartedAt)
	at(n.diskLagSince)
	b = appendBool(b, n.hardStateChanged)
	b = fingerprintEntries(b, n.entriesToWrite)
	if b = appendBool(b, n.snapshotToInstall != nil); n.snapshotToInstall != nil {
		b = n.snapshotToInstall.fingerprint(b)
	}
	b = fingerprintMessages(b, n.messages)
	b = fingerprintMessages(b, n.messagesAfterAppend)
	b = appendUvarints(b, uint64(len(n.readStates)))
	for _, r := range n.readStates {
		b = appendBool(appendUvarints(b, r.RequestID, r.Index), r.Confirmed)
	}
	return b
}

// Fingerprint appends the whole message to b.
func (m Message) Fingerprint(b []byte) []byte {
	b = appendUvarints(b, uint64(m.Type), m.From, m.To, m.Term, m.Index, m.LogTerm, m.Commit, m.Hint, m.Context)
	b = appendUvarints(b, uint64(m.Sent), uint64(m.Echo), uint64(m.Offset), uint64(m.Size), uint64(m.Sum))
	b = appendBool(appendBool(appendBool(b, m.Reject), m.Force), m.Touch)
	b = fingerprintEntries(b, m.Entries)
	if b = appendBool(b, m.Snap != nil); m.Snap != nil {
		b = m.Snap.fingerprint(b)
	}
	return b
}

// Fingerprint appends the whole write to b.
func (w *StorageWrite) Fingerprint(b []byte) []byte {
	if b = appendBool(b, w.HardState != nil); w.HardState != nil {
		b = appendUvarints(b, w.HardState.Term, w.HardState.Vote)
	}
	if b = appendBool(b, w.Snapshot != nil); w.Snapshot != nil {
		b = w.Snapshot.fingerprint(b)
	}
	return fingerprintMessages(fingerprintEntries(b, w.Entries), w.MessagesAfterAppend)
}

// Fingerprint appends all that a disk holds to b.
func (s PersistentState) Fingerprint(b []byte) []byte {
	return fingerprintEntries(s.Snapshot.fingerprint(appendUvarints(b, s.HardState.Term, s.HardState.Vote)), s.Entries)
}

func (s Snapshot) fingerprint(b []byte) []byte {
	return appendBytes(s.Members.fingerprint(appendUvarints(b, s.Index, s.Term)), s.Data)
}

func (m Membership) fingerprint(b []byte) []byte {
	for _, ms := range [][]Member{m.Voters, m.Learners} {
		b = appendUvarints(b, uint64(len(ms)))
		for _, x := range ms {
			b = appendBool(appendBytes(appendBytes(appendUvarints(b, x.ID), x.Addr), x.API), x.Uncounted)
		}
	}
	return b
}

func fingerprintEntries(b []byte, es []Entry) []byte {
	b = appendUvarints(b, uint64(len(es)))
	for _, e := range es {
		b = appendBytes(appendUvarints(b, e.Index, e.Term, uint64(e.Type)), e.Data)
	}
	return b
}

func fingerprintMessages(b []byte, ms []Message) []byte {
	b = appendUvarints(b, uint64(len(ms)))
	for _, m := range ms {
		b = m.Fingerprint(b)
	}
	return b
}

func appendUvarints(b []byte, vs ...uint64) []byte {
	for _, v := range vs {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

func appendBytes[T string | []byte](b []byte, s T) []byte {
	return append(appendUvarints(b, uint64(len(s))), s...)
}

func sortedKeys[V any](m map[uint64]V) []uint64 { return slices.Sorted(maps.Keys(m)) }
