package lathe

import (
	"time"

	"lichentray/clamp"
	"lichentray/internal/dowel"
	"lichentray/internal/notch"
)

// Who votes and who follows only: joining, leaving and replacement.

// join asks every control-plane node known to be taken in.
func (l *Lathe) join(ms clamp.Membership) {
	asked := map[string]bool{l.self.Addr: true}
	var addrs []string
	for _, m := range ms.All() {
		addrs = append(addrs, m.Addr)
	}
	for _, s := range l.seeds() {
		addrs = append(addrs, l.set.InternalAddr(s))
	}
	l.mu.RLock()
	for _, n := range l.pointed {
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
			_, _, _ = l.links.ask(a, &dowel.Ask{Join: &self}, l.timing.Election)
		}()
	}
}

// repairMembers takes one step towards a full set of living voters.
func (l *Lathe) repairMembers(now time.Duration, ms clamp.Membership) {
	if l.node.Changing() {
		return
	}
	newest := map[string]uint64{}
	for _, m := range ms.All() {
		if old, ok := newest[m.Addr]; !ok || l.node.Heard(m.ID) > l.node.Heard(old) {
			newest[m.Addr] = m.ID
		}
	}
	alive := func(m clamp.Member) bool {
		return m.ID == l.self.ID || (newest[m.Addr] == m.ID && now-l.node.Heard(m.ID) < l.timing.Dead)
	}
	var dead *clamp.Member
	living := 0
	votes := map[string]int{} // by place, of those that live
	for i, m := range ms.Voters {
		if alive(m) {
			living++
			votes[l.placeOf(m)]++
		} else {
			dead = &ms.Voters[i]
		}
	}
	want := 2*l.set.Tolerance.Machines + 1
	// No place may hold a majority of the votes, or its loss stops the core.
	most := want
	if l.set.Tolerance.Regions+l.set.Tolerance.Zones > 0 {
		most = (want - 1) / 2
	}
	var candidate *clamp.Member
	for i, m := range ms.Learners {
		// Whoever follows within what one batch brings is caught up.
		if !alive(m) || l.node.Match(m.ID)+100 < l.node.Last() || votes[l.placeOf(m)] >= most {
			continue
		}
		if candidate == nil || votes[l.placeOf(m)] < votes[l.placeOf(*candidate)] ||
			(votes[l.placeOf(m)] == votes[l.placeOf(*candidate)] && l.node.Match(m.ID) > l.node.Match(candidate.ID)) {
			candidate = &ms.Learners[i]
		}
	}
	crowded := false
	for _, n := range votes {
		crowded = crowded || n > most
	}
	var next clamp.Membership
	why := ""
	switch {
	case dead != nil && len(ms.Voters)%2 == 0 && living > len(ms.Voters)/2:
		next, why = ms.WithLearner(*dead), "dead voter follows only"
		if newest[dead.Addr] != dead.ID {
			next, why = ms.Without(dead.ID), "replaced voter leaves"
		}
	case candidate != nil && (dead != nil || len(ms.Voters) < want || (crowded && len(ms.Voters)%2 == 1)):
		next, why = ms.WithVoter(*candidate), "learner votes"
	case len(ms.Voters) > want && len(ms.Voters)%2 == 0:
		var slow *clamp.Member
		for i, m := range ms.Voters {
			if m.ID == l.self.ID {
				continue
			}
			if n, has := votes[l.placeOf(m)], slow != nil; !has || n > votes[l.placeOf(*slow)] ||
				(n == votes[l.placeOf(*slow)] && l.node.Match(m.ID) < l.node.Match(slow.ID)) {
				slow = &ms.Voters[i]
			}
		}
		next, why = ms.WithLearner(*slow), "spare voter follows only"
	default:
		for _, m := range ms.Learners {
			if newest[m.Addr] != m.ID || now-l.node.Heard(m.ID) > max(l.set.Bounds.Recovery.D(), 2*l.set.Bounds.CatchUp.D()) {
				next, why = ms.Without(m.ID), "learner not heard leaves"
			}
		}
	}
	if why == "" {
		return
	}
	if err := l.node.ProposeMembers(next); err == nil {
		l.log.Info("changing the membership", "why", why, "voters", len(next.Voters), "learners", len(next.Learners))
	}
}

// placeOf gives what of a member may be lost at once besides machines: its
// region, else its zone.
func (l *Lathe) placeOf(m clamp.Member) string {
	zone := l.links.zone(m.Addr)
	if l.set.Tolerance.Regions > 0 {
		return l.set.Zones[zone]
	}
	if l.set.Tolerance.Zones > 0 {
		return zone
	}
	return ""
}

// Resign hands leadership on, if this node has it, and waits a little for the
// new leader.
func (l *Lathe) Resign(wait time.Duration) {
	l.closing.Store(true)
	end := time.Now().Add(wait)
	l.post(func() { l.node.Transfer() })
	for time.Now().Before(end) {
		l.mu.RLock()
		v := l.view
		l.mu.RUnlock()
		if v.role != clamp.Leader && v.leader != 0 {
			return
		}
		time.Sleep(l.timing.Tick)
	}
}

// admit takes a node in as a learner; only the leader can.
func (l *Lathe) admit(m clamp.Member) error {
	got := make(chan error, 1)
	l.post(func() {
		switch {
		case l.node.Role() != clamp.Leader:
			got <- errNotLeader
		case l.node.Members().Has(m.ID):
			got <- nil
		default:
			if err := l.node.ProposeMembers(l.node.Members().WithLearner(m)); err != nil {
				got <- notch.New(notch.Unavailable, "%v", err)
				return
			}
			l.log.Info("node joins as a learner", "member", hexID(m.ID), "address", m.Addr)
			got <- nil
		}
	})
	select {
	case err := <-got:
		return err
	case <-l.ctx.Done():
		return errNotLeader
	}
}
