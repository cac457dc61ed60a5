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

// logLink gives the link to a peer that carries the log.
func (s *linkSet) logLink(addr string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.getLocked(addr)
	if k.log == nil {
		k.log = s.begin(k.ctx, addr, true)
	}
	return k.log
}

// send queues messages for their peers: what carries the log alone, else those of
// one peer in one frame.
func (s *linkSet) send(ms []raft.Message) {
	var order []uint64
	frames := map[uint64]*transport.Frame{}
	for _, m := range ms {
		addr := s.addr(m.To)
		switch {
		case addr == "" || addr == s.l.self.Addr:
		case m.Type == raft.MsgAppend || m.Type == raft.MsgSnapshot:
			offer(s.logLink(addr), &transport.Frame{Raft: []raft.Message{m}})
		case frames[m.To] == nil:
			frames[m.To] = &transport.Frame{}
			order = append(order, m.To)
			fallthrough
		default:
			frames[m.To].Raft = append(frames[m.To].Raft, m)
		}
	}
	for _, to := range order {
		offer(s.get(s.addr(to)), frames[to])
	}
}

// offer queues a frame, or drops it.
func offer(k *link, f *transport.Frame) {
	select {
	case k.queue <- f:
	default:
	}
}

// resumeLog begins a new connection for the log: what was on its way on the one
// before, or waited for it, is sent from what the peer is known to hold.
func (l *Lathe) resumeLog(k *link) {
	for len(k.queue) > 0 {
		<-k.queue
	}
	l.post(func() {
		for _, m := range l.node.Membership().AllMembers() {
			if m.Addr == k.addr {
				l.node.ReportReconnected(m.ID)
			}
		}
	})
}

// restore takes the state that the disk holds.
func (l *Lathe) restore(saved raft.PersistentState) error {
	if saved.Snapshot.Data == nil {
		return nil
	}
	return l.store.Restore(saved.Snapshot.Data)
}

// checkSnapshot restores a leader's snapshot beside the state held, which it replaces
// once it is installed.
func (l *Lathe) checkSnapshot(data []byte) error {
	s := registry.NewStore()
	if err := s.Restore(data); err != nil {
		l.log.Error("snapshot cannot be read, this node goes on lagging", "error", err)
		return err
	}
	l.restored = s
	return nil
}
