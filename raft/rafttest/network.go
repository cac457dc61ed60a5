package rafttest

import (
	"sort"
	"time"

	"lichentray/raft"
)

// inflightMessage is a message on its way.
type inflightMessage struct {
	deliverAt time.Duration
	message   raft.Message
}

// About how many bytes a message takes on the wire, beside the data in it.
const (
	messageOverhead = 100
	entryOverhead   = 30
)

// messageSize returns about how many bytes a message takes on the wire.
func messageSize(m raft.Message) int {
	size := messageOverhead
	for _, e := range m.Entries {
		size += entryOverhead + len(e.Data)
	}
	if m.Snap != nil {
		size += len(m.Snap.Data)
	}
	return size
}

// sendMessages puts messages on their way, unless they are dropped.
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

// transmit returns when the link has sent the last byte of a message.
func (c *Cluster) transmit(m raft.Message) time.Duration {
	l := link{m.From, m.To}
	bytesPerSecond := c.Bandwidth[l]
	if bytesPerSecond <= 0 {
		return c.Now
	}
	size := messageSize(m)
	sentAt := max(c.Now, c.linkFreeAt[l]) + time.Second*time.Duration(size)/time.Duration(bytesPerSecond)
	c.linkFreeAt[l] = sentAt
	c.CarriedBytes[l] += size
	return sentAt
}

// deliverDue delivers the messages that have arrived, in the order of their arrival.
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
			c.inflight = append(c.inflight, m) // it waits in the socket
			continue
		}
		n.Raft.Step(c.Now, m.message)
		c.processReady(n)
	}
}
