package raft

import (
	"slices"
	"time"
)

// progress is a leader's view of another member (the paper, figure 2, "volatile state on
// leaders"). All timestamps are of the leader's clock unless stated otherwise.
type progress struct {
	matchIndex uint64 // last index up to which the member is known to have the leader's log
	nextIndex  uint64 // index of the next entry to send

	lastSentAt     time.Duration // when the last append or snapshot chunk was sent
	lastContact    time.Duration // when the last response of the member arrived, however delayed
	lastProgressAt time.Duration // when the member last advanced or was seen to lack nothing

	// ackedHeartbeatSentAt is when the latest heartbeat that the member has responded to
	// was sent.
	ackedHeartbeatSentAt time.Duration
	// peerClock is the latest reading of the member's clock that the leader has received.
	peerClock time.Duration
	// ackedReadRound is the latest heartbeat round that the member has responded to.
	ackedReadRound uint64

	flow            flowControl
	pendingSnapshot *snapshotTransfer // nil unless a snapshot is being sent

	// The range of entries that the latest rejection caused to be resent, and when.
	resentFrom    uint64
	resentThrough uint64
	resentAt      time.Duration
}

// ensureProgress returns the progress of a member, creating it if needed. A new member is
// sent entries from the end of the log on until it rejects an append.
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

// clone returns a deep copy.
func (p *progress) clone() *progress {
	c := *p
	c.flow.inflights = slices.Clone(p.flow.inflights)
	if p.pendingSnapshot != nil {
		t := *p.pendingSnapshot
		c.pendingSnapshot = &t
	}
	return &c
}

// LastContact returns when this leader last received a response from a member, or when it
// began to track the member if there was none. It returns zero for an unknown member.
func (n *Node) LastContact(id uint64) time.Duration {
	if p := n.progress[id]; p != nil {
		return p.lastContact
	}
	return 0
}

// MatchIndex returns the last index up to which a member is known to have the leader's
// log. For this node itself it returns the stable index.
func (n *Node) MatchIndex(id uint64) uint64 {
	if id == n.config.ID {
		return n.log.stableIndex
	}
	if p := n.progress[id]; p != nil {
		return p.matchIndex
	}
	return 0
}

// StalledFor returns how long a member has lacked entries without acknowledging new ones,
// or zero if it lacks none. A member whose disk hangs is stalled although it still
// responds to heartbeats.
func (n *Node) StalledFor(id uint64) time.Duration {
	p := n.progress[id]
	if p == nil || p.matchIndex >= n.log.lastIndex() {
		return 0
	}
	return n.now - p.lastProgressAt
}

const (
	// minWindowBytes is the minimum size of the window.
	minWindowBytes = 4 << 10
	// maxInflights limits the messages in flight to one member, however small they are.
	maxInflights = 128
	// bytesPerAckTimeout is the number of bytes in flight that extends the
	// acknowledgement timeout by another base timeout.
	bytesPerAckTimeout = 32 << 10
	// ackTimeoutHeartbeats is the base acknowledgement timeout, in heartbeat intervals.
	ackTimeoutHeartbeats = 3
	// maxBackoffDoublings limits how many times the acknowledgement timeout doubles.
	maxBackoffDoublings = 4
	// maxWindowBatches limits the window, in batches of Config.MaxBatchBytes.
	maxWindowBatches = 4
	// minRTTDecayDivisor sets how fast the minimum round-trip time ages: each slower
	// acknowledgement raises it by 1/minRTTDecayDivisor.
	minRTTDecayDivisor = 32
)

// flowControl limits the bytes in flight to one member, since heartbeats on a
// low-bandwidth link queue behind them.
type flowControl struct {
	windowBytes         int // limit of inflightBytes
	inflightBytes       int
	inflights           []inflight
	minRTT              time.Duration // minimum time to an acknowledgement; see minRTTDecayDivisor
	consecutiveTimeouts int
}

// inflight is an append or a snapshot chunk that has not been acknowledged.
type inflight struct {
	end    uint64 // index of the last entry, or the end offset of a chunk
	size   int    // bytes
	sentAt time.Duration
}

// canSend reports whether another message may be sent. If nothing is in flight, a message
// of any size may be sent.
func (f *flowControl) canSend() bool {
	return f.inflightBytes == 0 || f.inflightBytes < f.windowBytes && len(f.inflights) < maxInflights
}

// recordSent adds a message to those in flight. end is as in inflight; size is in bytes.
func (f *flowControl) recordSent(now time.Duration, end uint64, size int) {
	f.inflights = append(f.inflights, inflight{end: end, size: size, sentAt: now})
	f.inflightBytes += size
}

// reset discards the record of all messages in flight.
func (f *flowControl) reset() {
	f.inflights = nil
	f.inflightBytes = 0
}

// recordAck records that all messages ending at or before through are acknowledged. The
// window adapts to the delay, as in LEDBAT (RFC 6817): it halves for each acknowledgement
// whose round-trip time exceeds the minimum by more than a quarter of the election
// timeout, and grows for all others.
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
			f.minRTT += f.minRTT / minRTTDecayDivisor
		}
		if rtt > f.minRTT+config.ElectionTimeout/4 {
			f.windowBytes = max(f.windowBytes/2, minWindowBytes)
		} else {
			f.windowBytes = min(f.windowBytes+acked.size, maxWindowBatches*config.MaxBatchBytes)
		}
	}
}

// ackTimeout returns how long to wait for an acknowledgement before resending. It doubles
// with each consecutive timeout, to avoid filling a slow link with duplicates.
func (f *flowControl) ackTimeout(heartbeatInterval time.Duration) time.Duration {
	sizeFactor := time.Duration(1 + f.inflightBytes/bytesPerAckTimeout)
	return ackTimeoutHeartbeats * heartbeatInterval * sizeFactor << min(f.consecutiveTimeouts, maxBackoffDoublings)
}
