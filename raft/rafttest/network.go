package rafttest

import (
	"sort"
	"time"

	"lichentray/raft"
)

// inflightMessage is a message in transit.
type inflightMessage struct {
	deliverAt time.Duration
	message   raft.Message
}

// Approximate sizes of a message and of an entry on the wire, without their data.
const (
	messageOverheadBytes = 100
	entryOverheadBytes   = 30
)

// messageSize returns the approximate size of a message on the wire, in bytes.
func messageSize(m raft.Message) int {
	size := messageOverheadBytes
	for _, e := range m.Entries {
		size += entryOverheadBytes + len(e.Data)
	}
	if m.Snap != nil {
		size += len(m.Snap.Data)
	}
	return size
}

// sendMessages sends messages over the simulated network, which may drop some of them.
func (c *Cluster) sendMessages(messages []raft.Message) {
	for _, m := range messages {
		if c.Rand.Float64() < c.Faults.DropProbability {
			continue
		}
		sentAt := c.transmit(m)
		delay := time.Duration(c.Rand.Int63n(int64(c.Faults.MaxDelay) + 1))
		c.inflight = append(c.inflight, inflightMessage{deliverAt: sentAt + delay, message: m})
	}
}

// transmit queues a message on its link and returns when its last byte is sent.
func (c *Cluster) transmit(m raft.Message) time.Duration {
	l := link{m.From, m.To}
	bytesPerSecond := c.Bandwidth[l]
	if bytesPerSecond <= 0 {
		return c.Now
	}
	size := messageSize(m)
	sentAt := max(c.Now, c.linkFreeAt[l]) + time.Second*time.Duration(size)/time.Duration(bytesPerSecond)
	c.linkFreeAt[l] = sentAt
	c.SentBytes[l] += size
	return sentAt
}

// deliverDue delivers the messages that are due, in order of arrival.
func (c *Cluster) deliverDue() {
	messages := c.inflight
	c.inflight = nil
	sort.SliceStable(messages, func(i, j int) bool { return messages[i].deliverAt < messages[j].deliverAt })
	for _, m := range messages {
		if m.deliverAt > c.Now {
			c.inflight = append(c.inflight, m)
			continue
		}
		n := c.Nodes[m.message.To]
		if n == nil || !n.isUp || c.IsLinkCut(m.message.From, m.message.To) {
			continue
		}
		if n.isFrozen {
			c.inflight = append(c.inflight, m) // buffered in the node's socket
			continue
		}
		n.Raft.Step(c.Now, m.message)
		c.processReady(n)
	}
}
