package raft

import (
	"slices"
	"time"
)

// progress is what a leader knows of another member (the paper, figure 2, "volatile
// state on leaders"). All instants are of the leader's clock unless said otherwise.
type progress struct {
	matchIndex uint64 // the member is known to hold the leader's log up to here
	nextIndex  uint64 // first entry that has not been sent

	lastSentAt     time.Duration // last append or snapshot chunk
	lastContact    time.Duration // last message from the member, however old its content
	lastProgressAt time.Duration // when matchIndex last rose or had nothing to reach

	// ackedHeartbeatSentAt is when the newest heartbeat that the member has answered
	// was sent.
	ackedHeartbeatSentAt time.Duration
	// peerClock is the newest reading of the member's clock that has arrived here.
	peerClock time.Duration
	// ackedReadRound is the newest heartbeat round that the member has answered.
	ackedReadRound uint64

	flow            flowControl
	pendingSnapshot *snapshotTransfer // nil unless a snapshot is being sent

	// The entries that were sent again after the newest rejection, and when.
	resentFrom    uint64
	resentThrough uint64
	resentAt      time.Duration
}

// ensureProgress returns the progress of a member. One that is new is assumed to hold
// the complete log, until it rejects an append.
func (n *Node) ensureProgress(id uint64) *progress {
	p := n.progress[id]
	if p == nil {
		p = &progress{
			nextIndex:            n.log.lastIndex() + 1,
			lastContact:          n.now,
			ackedHeartbeatSentAt: n.now,
			lastProgressAt:       n.now,
			flow:                 flowControl{windowBytes: n.config.MaxBatchBytes},
		}
		n.progress[id] = p
	}
	return p
}

// clone returns an independent copy.
func (p *progress) clone() *progress {
	c := *p
	c.flow.inflights = slices.Clone(p.flow.inflights)
	if p.pendingSnapshot != nil {
		t := *p.pendingSnapshot
		c.pendingSnapshot = &t
	}
	return &c
}

// LastContact returns when this leader last received a message from a member, or zero
// if it knows nothing of it.
func (n *Node) LastContact(id uint64) time.Duration {
	if p := n.progress[id]; p != nil {
		return p.lastContact
	}
	return 0
}

// MatchIndex returns the index up to which a member is known to hold the leader's log;
// for this node itself, its stable index.
func (n *Node) MatchIndex(id uint64) uint64 {
	if id == n.config.ID {
		return n.log.stableIndex
	}
	if p := n.progress[id]; p != nil {
		return p.matchIndex
	}
	return 0
}

// StalledFor returns for how long a member has lacked entries without acknowledging a
// new one, or zero if it lacks none. A member whose disk hangs stalls while it still
// answers heartbeats.
func (n *Node) StalledFor(id uint64) time.Duration {
	p := n.progress[id]
	if p == nil || p.matchIndex >= n.log.lastIndex() {
		return 0
	}
	return n.now - p.lastProgressAt
}

const (
	// minWindowBytes is the least that a window shrinks to.
	minWindowBytes = 4 << 10
	// maxInflights limits the messages in flight to one member, however small they are.
	maxInflights = 128
	// bytesPerTimeout is how many bytes in flight lengthen the wait for an
	// acknowledgement by its basic length once more.
	bytesPerTimeout = 32 << 10
	// ackTimeoutHeartbeats is the basic wait for an acknowledgement, in heartbeats.
	ackTimeoutHeartbeats = 3
	// maxBackoffDoublings limits how often the wait doubles.
	maxBackoffDoublings = 4
	// maxWindowBatches limits the window, in batches of Config.MaxBatchBytes.
	maxWindowBatches = 4
	// minRTTDecay is the fraction, 1/minRTTDecay, by which the least round trip is
	// raised with each acknowledgement that took longer, so that it is forgotten slowly.
	minRTTDecay = 32
)

// flowControl bounds the bytes in flight to one member. On a narrow link, heartbeats
// wait behind whatever is in flight.
type flowControl struct {
	windowBytes         int // limit of inflightBytes
	inflightBytes       int
	inflights           []inflight
	minRTT              time.Duration // least time to an acknowledgement, slowly forgotten
	consecutiveTimeouts int
}

// inflight is an append or a snapshot chunk that has not been acknowledged.
type inflight struct {
	end    uint64 // index of the last entry; of a chunk, the offset of its end
	size   int    // bytes
	sentAt time.Duration
}

// canSend reports whether another message may be sent. With nothing in flight, one
// always may, whatever its size.
func (f *flowControl) canSend() bool {
	return f.inflightBytes == 0 || f.inflightBytes < f.windowBytes && len(f.inflights) < maxInflights
}

// recordSent counts a message that ends at end, of size bytes, as in flight.
func (f *flowControl) recordSent(now time.Duration, end uint64, size int) {
	f.inflights = append(f.inflights, inflight{end: end, size: size, sentAt: now})
	f.inflightBytes += size
}

// reset counts nothing as in flight any more.
func (f *flowControl) reset() {
	f.inflights = nil
	f.inflightBytes = 0
}

// recordAck counts all messages that end at or before through as received. The window
// follows the delay, as in LEDBAT (RFC 6817): it halves with each acknowledgement that
// comes later than the least round trip by more than a quarter of the election timeout,
// and grows with each other one.
func (f *flowControl) recordAck(config *Config, now time.Duration, through uint64) {
	for len(f.inflights) > 0 && f.inflights[0].end <= through {
		acked := f.inflights[0]
		f.inflights = f.inflights[1:]
		f.inflightBytes -= acked.size
		f.consecutiveTimeouts = 0
		rtt := now - acked.sentAt
		if f.minRTT == 0 || rtt < f.minRTT {
			f.minRTT = rtt
		} else {
			f.minRTT += f.minRTT / minRTTDecay
		}
		if rtt > f.minRTT+config.ElectionTimeout/4 {
			f.windowBytes = max(f.windowBytes/2, minWindowBytes)
		} else {
			f.windowBytes = min(f.windowBytes+acked.size, maxWindowBatches*config.MaxBatchBytes)
		}
	}
}

// ackTimeout returns how long to wait for an acknowledgement before sending again. It
// doubles with each timeout in a row, so that a link slower than expected is not filled
// with copies.
func (f *flowControl) ackTimeout(heartbeatInterval time.Duration) time.Duration {
	transfers := time.Duration(1 + f.inflightBytes/bytesPerTimeout)
	return ackTimeoutHeartbeats * heartbeatInterval * transfers << min(f.consecutiveTimeouts, maxBackoffDoublings)
}
