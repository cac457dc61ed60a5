package controlplane

import (
	"lichentray/internal/transport"
	"lichentray/raft"
	"lichentray/registry"
)

// Appends and snapshots go to a peer on a connection of their own: a configuration
// of a megabyte takes seconds on a narrow link, and heartbeats, votes, forwarded calls
// and read points don't wait behind it. Consensus bounds how much is on its way, so
// that the connections don't starve each other on the link that they share.

// logConnection gives the link to a peer that carries the log.
func (s *peerPool) logConnection(addr string) *peerConnection {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.connectionLocked(addr)
	if k.logConnection == nil {
		k.logConnection = s.startConnection(k.ctx, addr, true)
	}
	return k.logConnection
}

// sendMessages queues messages for their peers: what carries the log alone, else those of
// one peer in one frame.
func (s *peerPool) sendMessages(ms []raft.Message) {
	var order []uint64
	frames := map[uint64]*transport.Frame{}
	for _, m := range ms {
		addr := s.addrOf(m.To)
		switch {
		case addr == "" || addr == s.node.self.Addr:
		case m.Type == raft.MsgAppend || m.Type == raft.MsgSnapshot:
			enqueueOrDrop(s.logConnection(addr), &transport.Frame{Raft: []raft.Message{m}})
		case frames[m.To] == nil:
			frames[m.To] = &transport.Frame{}
			order = append(order, m.To)
			fallthrough
		default:
			frames[m.To].Raft = append(frames[m.To].Raft, m)
		}
	}
	for _, to := range order {
		enqueueOrDrop(s.connection(s.addrOf(to)), frames[to])
	}
}

// enqueueOrDrop queues a frame, or drops it.
func enqueueOrDrop(k *peerConnection, f *transport.Frame) {
	select {
	case k.sendQueue <- f:
	default:
	}
}

// resetLogConnection begins a new connection for the log: what was on its way on the one
// before, or waited for it, is sent from what the peer is known to hold.
func (l *Node) resetLogConnection(k *peerConnection) {
	for len(k.sendQueue) > 0 {
		<-k.sendQueue
	}
	l.post(func() {
		for _, m := range l.raftNode.Membership().AllMembers() {
			if m.Addr == k.addr {
				l.raftNode.ReportReconnected(m.ID)
			}
		}
	})
}

// restoreSaved takes the state that the disk holds.
func (l *Node) restoreSaved(saved raft.PersistentState) error {
	if saved.Snapshot.Data == nil {
		return nil
	}
	return l.store.Restore(saved.Snapshot.Data)
}

// restoreReceived restores a leader's snapshot beside the state held, which it replaces
// once it is installed.
func (l *Node) restoreReceived(data []byte) error {
	s := registry.NewStore()
	if err := s.Restore(data); err != nil {
		l.logger.Error("snapshot cannot be read, this node goes on lagging", "error", err)
		return err
	}
	l.restoredStore = s
	return nil
}
