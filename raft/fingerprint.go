package raft

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// Support for package modelcheck: cloning a node, serializing its state and accessing its
// log. TestFingerprintIsComplete fails if a struct has a field that it does not list.

// Clone returns an independent node in the same state. The data of entries, snapshots
// and messages is shared, as it is never modified.
func (n *Node) Clone() *Node {
	c := *n
	c.log = n.log.clone()
	c.votes = maps.Clone(n.votes)
	c.incomingSnapshot = n.incomingSnapshot.clone()
	c.reads.pending = slices.Clone(n.reads.pending)
	c.reads.deferred = slices.Clone(n.reads.deferred)
	c.reads.states = slices.Clone(n.reads.states)
	c.messages = slices.Clone(n.messages)
	c.messagesAfterAppend = slices.Clone(n.messagesAfterAppend)
	if n.progress != nil {
		c.progress = make(map[uint64]*progress, len(n.progress))
		for id, p := range n.progress {
			c.progress[id] = p.clone()
		}
	}
	return &c
}

// Log returns the snapshot and the entries after it that the node has in memory, durable
// or not. The caller must not modify them.
func (n *Node) Log() (Snapshot, []Entry) { return n.log.snapshot, n.log.entries }

// Fingerprint appends the complete state of the node to b, such that nodes with equal
// fingerprints behave identically from then on. Timestamps are encoded relative to the
// node's clock. Those older than horizon are encoded as equal, so horizon must be longer
// than any timeout that results from Config.
func (n *Node) Fingerprint(b []byte, horizon time.Duration) []byte {
	w := fingerprinter{bytes: b, now: n.now, horizon: horizon}
	w.election(n)
	w.log(&n.log)
	w.incomingSnapshot(n.incomingSnapshot)
	w.contact(&n.contact)
	w.leader(n)
	w.pendingOutput(n)
	return w.bytes
}

// Fingerprint appends the complete message to b.
func (m Message) Fingerprint(b []byte) []byte {
	w := fingerprinter{bytes: b}
	w.message(&m)
	return w.bytes
}

// Fingerprint appends the complete write to b.
func (s *StorageWrite) Fingerprint(b []byte) []byte {
	w := fingerprinter{bytes: b}
	if w.bool(s.HardState != nil); s.HardState != nil {
		w.uints(s.HardState.Term, s.HardState.Vote)
	}
	w.optionalSnapshot(s.Snapshot)
	w.entries(s.Entries)
	w.messages(s.MessagesAfterAppend)
	return w.bytes
}

// Fingerprint appends the complete persistent state to b.
func (s PersistentState) Fingerprint(b []byte) []byte {
	w := fingerprinter{bytes: b}
	w.uints(s.HardState.Term, s.HardState.Vote)
	w.snapshot(&s.Snapshot)
	w.entries(s.Entries)
	return w.bytes
}

// fingerprinter concatenates encoded values. Values of variable length are preceded by
// their length, so that different states have different encodings.
type fingerprinter struct {
	bytes        []byte
	now, horizon time.Duration // for timestamps
}

func (w *fingerprinter) uints(values ...uint64) {
	for _, v := range values {
		w.bytes = binary.AppendUvarint(w.bytes, v)
	}
}

func (w *fingerprinter) length(n int) { w.uints(uint64(n)) }

func (w *fingerprinter) bool(v bool) {
	if v {
		w.bytes = append(w.bytes, 1)
	} else {
		w.bytes = append(w.bytes, 0)
	}
}

func (w *fingerprinter) data(b []byte) {
	w.length(len(b))
	w.bytes = append(w.bytes, b...)
}

func (w *fingerprinter) text(s string) {
	w.length(len(s))
	w.bytes = append(w.bytes, s...)
}

func (w *fingerprinter) timestamp(t time.Duration) {
	w.uints(uint64(w.horizon + max(t-w.now, -w.horizon)))
}

func (w *fingerprinter) election(n *Node) {
	w.uints(n.config.ID, n.hardState.Term, n.hardState.Vote, uint64(n.role), n.leaderID)
	w.timestamp(n.lastLeaderContact)
	w.timestamp(n.electionDeadline)
	w.length(len(n.votes))
	for _, id := range slices.Sorted(maps.Keys(n.votes)) {
		w.uints(id)
		w.bool(n.votes[id])
	}
	w.bool(n.isForcedCampaign)
}

func (w *fingerprinter) log(l *raftLog) {
	w.snapshot(&l.snapshot)
	w.entries(l.entries)
	w.entries(l.compactedTail)
	w.entries(l.entriesToWrite)
	w.uints(l.stableIndex, l.commitIndex, l.appliedIndex)
	w.length(len(l.memberships))
	for i := range l.memberships {
		w.uints(l.memberships[i].index)
		w.membership(&l.memberships[i].membership)
	}
}

func (w *fingerprinter) incomingSnapshot(in *incomingSnapshot) {
	if w.bool(in != nil); in != nil {
		w.snapshot(&in.snapshot)
		w.uints(uint64(in.totalSize), uint64(in.checksum))
	}
}

func (w *fingerprinter) contact(c *quorumContact) {
	w.timestamp(c.last)
	for _, proof := range [...]contactProof{c.pendingProof, c.newestProof} {
		w.timestamp(proof.asOf)
		w.bool(proof.asOf != 0)
		w.uints(proof.commitIndex)
	}
}

func (w *fingerprinter) leader(n *Node) {
	w.length(len(n.progress))
	for _, id := range slices.Sorted(maps.Keys(n.progress)) {
		w.uints(id)
		w.progress(n.progress[id])
	}
	w.timestamp(n.lastHeartbeatAt)
	w.uints(n.reads.round)
	w.length(len(n.reads.pending))
	for _, r := range n.reads.pending {
		w.uints(r.requestID, r.round, r.readIndex)
	}
	w.length(len(n.reads.deferred))
	w.uints(n.reads.deferred...)
	w.uints(n.transferTarget, n.termStartIndex, n.diskLagIndex)
	w.timestamp(n.transferStartedAt)
	w.timestamp(n.diskLagSince)
}

func (w *fingerprinter) progress(p *progress) {
	w.uints(p.matchIndex, p.nextIndex, p.ackedReadRound, p.resentFrom, p.resentThrough)
	if t := p.pendingSnapshot; t == nil {
		w.bool(false)
	} else {
		w.bool(true)
		w.snapshot(&t.snapshot)
		w.uints(uint64(t.checksum), uint64(t.ackedOffset))
		w.bool(t.isAwaitingAck)
	}
	w.uints(uint64(p.peerClock))
	f := &p.flow
	w.uints(uint64(f.windowBytes), uint64(f.inflightBytes), uint64(f.minRTT), uint64(f.consecutiveTimeouts))
	w.length(len(f.inflights))
	for _, x := range f.inflights {
		w.uints(x.end, uint64(x.size))
		w.timestamp(x.sentAt)
	}
	w.timestamp(p.lastSentAt)
	w.timestamp(p.lastContact)
	w.timestamp(p.ackedHeartbeatSentAt)
	w.timestamp(p.lastProgressAt)
	w.timestamp(p.resentAt)
}

func (w *fingerprinter) pendingOutput(n *Node) {
	w.bool(n.hardStateChanged)
	w.optionalSnapshot(n.snapshotToInstall)
	w.messages(n.messages)
	w.messages(n.messagesAfterAppend)
	w.length(len(n.reads.states))
	for _, r := range n.reads.states {
		w.uints(r.RequestID, r.Index)
		w.bool(r.Confirmed)
	}
}

func (w *fingerprinter) message(m *Message) {
	w.uints(uint64(m.Type), m.From, m.To, m.Term, m.Index, m.LogTerm, m.Commit, m.Hint, m.Context)
	w.uints(uint64(m.Sent), uint64(m.Echo), uint64(m.Offset), uint64(m.Size), uint64(m.Sum))
	w.bool(m.Reject)
	w.bool(m.Force)
	w.bool(m.Touch)
	w.entries(m.Entries)
	w.optionalSnapshot(m.Snap)
}

func (w *fingerprinter) messages(messages []Message) {
	w.length(len(messages))
	for i := range messages {
		w.message(&messages[i])
	}
}

func (w *fingerprinter) entries(entries []Entry) {
	w.length(len(entries))
	for i := range entries {
		e := &entries[i]
		w.uints(e.Index, e.Term, uint64(e.Type))
		w.data(e.Data)
	}
}

func (w *fingerprinter) optionalSnapshot(s *Snapshot) {
	if w.bool(s != nil); s != nil {
		w.snapshot(s)
	}
}

func (w *fingerprinter) snapshot(s *Snapshot) {
	w.uints(s.Index, s.Term)
	w.membership(&s.Members)
	w.data(s.Data)
}

func (w *fingerprinter) membership(m *Membership) {
	for _, members := range [...][]Member{m.Voters, m.Learners} {
		w.length(len(members))
		for _, x := range members {
			w.uints(x.ID)
			w.text(x.Addr)
			w.text(x.API)
			w.bool(x.Uncounted)
			w.uints(uint64(x.Storage))
		}
	}
}
