package controlplane

import (
	"time"

	"lichentray/internal/apierror"
	"lichentray/internal/transport"
	"lichentray/raft"
)

// adjustMembership takes one step towards a full set of voters that can be counted on.
func (l *Node) adjustMembership(loop *loopState, now time.Duration) {
	if loop.raft.Role() != raft.Leader || (now-l.membershipCheckedAt < 4*l.timing.HeartbeatInterval && !l.membershipCheckDue) {
		return
	}
	l.membershipCheckedAt, l.membershipCheckDue = now, false
	next, why := l.membership.nextChange(loop.raft, now)
	if why == "" {
		return
	}
	if err := loop.raft.ProposeConfChange(next); err == nil {
		l.logger.Info("changing the membership", "why", why, "voters", len(next.Voters), "learners", len(next.Learners))
	}
}

// failureDomainOf gives what of a member may be lost at once besides machines: its
// region, else its zone.
func (l *Node) failureDomainOf(m raft.Member) string {
	zone := l.peers.zoneOf(m.Addr)
	if l.settings.FaultTolerance.Regions > 0 {
		return l.settings.RegionByZone[zone]
	}
	if l.settings.FaultTolerance.Zones > 0 {
		return zone
	}
	return ""
}

// requestJoin asks every control-plane node known to be taken in.
func (l *Node) requestJoin(ms raft.Membership) {
	asked := map[string]bool{l.self.Addr: true}
	var addrs []string
	for _, m := range ms.AllMembers() {
		addrs = append(addrs, m.Addr)
	}
	for _, s := range l.seedAddresses() {
		addrs = append(addrs, l.settings.InternalAddr(s))
	}
	l.mu.RLock()
	for _, n := range l.relayedNodes {
		addrs = append(addrs, n.Addr)
	}
	l.mu.RUnlock()
	self := l.self
	for _, a := range addrs {
		if asked[a] {
			continue
		}
		asked[a] = true
		go func() {
			// Refused or unheard, it is asked again at the next duty.
			_, _, _ = l.peers.call(callTarget{addr: a}, &transport.Request{Join: &self}, l.timing.ElectionTimeout)
		}()
	}
}

// admitLearner takes a node in as a learner; only the leader can.
func (l *Node) admitLearner(m raft.Member) error {
	err, stopped := callLoop(l.loop, func(loop *loopState) error {
		switch {
		case loop.raft.Role() != raft.Leader:
			return ErrNotLeader
		case loop.raft.Membership().IsMember(m.ID):
			return nil
		}
		if err := loop.raft.ProposeConfChange(loop.raft.Membership().WithLearner(m)); err != nil {
			return apierror.New(apierror.Unavailable, "%v", err)
		}
		l.logger.Info("node joins as a learner", "member", formatMemberID(m.ID), "address", m.Addr)
		return nil
	})
	if stopped != nil {
		return ErrNotLeader
	}
	return err
}

// PrepareShutdown hands leadership on, if this node has it, and has its vote taken over where
// another node can; it returns once the group has let this node go, or after wait.
func (l *Node) PrepareShutdown(wait time.Duration) {
	l.isStopping.Store(true)
	var handed time.Time
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(l.timing.HeartbeatInterval) {
		l.mu.RLock()
		v := l.consensus
		l.mu.RUnlock()
		switch {
		case v.role == raft.Leader:
			if len(v.membership.Voters) == 1 {
				return
			}
			if time.Since(handed) > 2*l.timing.ElectionTimeout {
				handed = time.Now()
				l.loop.post(func(loop *loopState) { loop.raft.TransferLeadership() })
			}
		case v.leaderAddr != "":
			if a, _, err := l.peers.call(callTarget{addr: v.leaderAddr}, &transport.Request{Leave: l.self.ID}, l.timing.ElectionTimeout); err == nil && !a.Failed {
				return
			}
		}
	}
}

// approveLeave takes a member's wish to leave; only the leader can. An error tells that it is
// to stay for now.
func (l *Node) approveLeave(id uint64) error {
	err, stopped := callLoop(l.loop, func(loop *loopState) error {
		l.membershipCheckDue = true
		switch {
		case loop.raft.Role() != raft.Leader:
			return ErrNotLeader
		case l.membership.requestLeave(loop.raft, l.now(), id):
			return nil
		}
		return apierror.New(apierror.Unavailable, "the group still counts on this member")
	})
	if stopped != nil {
		return ErrNotLeader
	}
	return err
}
