package controlplane

import (
	"time"

	"lichentray/internal/apierror"
	"lichentray/internal/settings"
	"lichentray/internal/transport"
	"lichentray/raft"
)

// Who votes and who follows only: joining, leaving and replacement.

// tolerance is what may be lost at once (fault_tolerance).
type tolerance struct {
	machines int
	places   int // zones or regions
}

// mostVoters bounds the voters where the tolerance asks for fewer: beyond it each
// further one costs latency and bears nothing that the pages name.
const mostVoters = 5

// least is how many voters the tolerance asks for.
func (t tolerance) least() int { return 2*t.machines + 1 }

// share is how many of so many votes one place may hold: as many places as may be
// lost must not hold a majority together.
func (t tolerance) share(votes int) int {
	if t.places == 0 {
		return votes
	}
	return max(1, (votes-1)/2/t.places)
}

// voters is how many members should vote where so many could in each place: an odd
// number, as large as they and the shares allow.
func (t tolerance) voters(could map[string]int) int {
	w := max(t.least(), mostVoters)
	for ; w > t.least(); w -= 2 {
		n := 0
		for _, k := range could {
			n += min(k, t.share(w))
		}
		if n >= w {
			break
		}
	}
	return w
}

// standing is what the leader knows of a member.
type standing struct {
	alive    bool // heard of late and, if it votes, acknowledging what it is sent
	leaving  bool // its process is about to end
	replaced bool // another life is heard at its address
	caughtUp bool // holds all but the newest entries
	unheard  bool // for so long that it need not be kept
	match    uint64
	place    string
}

// serves tells whether the group may count on the member.
func (s standing) serves() bool { return s.alive && !s.leaving && !s.replaced }

// worse tells which of two voters that the group can't count on goes first.
func (s standing) worse(t standing) bool {
	rank := func(s standing) int {
		switch {
		case s.replaced:
			return 2
		case !s.alive:
			return 1
		}
		return 0 // leaving: it acknowledges still
	}
	return rank(s) > rank(t)
}

// nextMembership takes one step, of one voter at most, towards a full set of voters
// that can be counted on. self leads. why is empty when there is nothing to do.
func nextMembership(ms raft.Membership, self uint64, tol tolerance, of func(raft.Member) standing) (next raft.Membership, why string) {
	var gone, candidate *raft.Member
	goners, serving, alive := 0, 0, 0
	votes := map[string]int{} // by place, of the voters that serve
	for i, m := range ms.Voters {
		s := of(m)
		if s.alive && !s.replaced {
			alive++
		}
		if s.serves() {
			serving++
			votes[s.place]++
			continue
		}
		goners++
		if gone == nil || s.worse(of(*gone)) {
			gone = &ms.Voters[i]
		}
	}
	// Who could vote now, and who could once it has caught up: voters are added for
	// the former and given up for the latter, so that one that lags for a moment
	// moves nothing.
	now, soon := map[string]int{}, map[string]int{}
	for p, n := range votes {
		now[p], soon[p] = n, n
	}
	for _, m := range ms.Learners {
		if s := of(m); s.serves() && !m.Uncounted {
			soon[s.place]++
			if s.caughtUp {
				now[s.place]++
			}
		}
	}
	n := len(ms.Voters)
	want := tol.voters(now)
	share := tol.share(max(want, n-1+n%2))
	for i, m := range ms.Learners {
		s := of(m)
		if !s.serves() || !s.caughtUp || votes[s.place] >= share || (m.Uncounted && n >= tol.least()) {
			continue
		}
		if candidate == nil {
			candidate = &ms.Learners[i]
			continue
		}
		c := of(*candidate)
		switch {
		case m.Uncounted != candidate.Uncounted:
			if m.Uncounted {
				continue
			}
		case votes[s.place] != votes[c.place]:
			if votes[s.place] > votes[c.place] {
				continue
			}
		case s.match <= c.match:
			continue
		}
		candidate = &ms.Learners[i]
	}
	crowded := false
	for _, k := range votes {
		crowded = crowded || k > share
	}
	// Without the one to go, the others must be a majority that acknowledges.
	left := alive
	if gone != nil {
		if s := of(*gone); s.alive && !s.replaced {
			left--
		}
	}
	canGo := gone != nil && left > (n-1)/2 && (n > tol.least() || serving > n/2)
	switch {
	case canGo && n%2 == 0:
		return withoutVote(ms, *gone, of(*gone))
	case candidate != nil && (gone != nil || n < want || (crowded && n%2 == 1)):
		return ms.WithVoter(*candidate), "learner votes"
	case canGo && goners >= 2 && n >= tol.least()+2:
		// Nobody takes their place: three of three bear a loss, three of five none.
		return withoutVote(ms, *gone, of(*gone))
	case gone == nil && n%2 == 0 && n > tol.voters(soon):
		var spare *raft.Member
		for i, m := range ms.Voters {
			if m.ID == self {
				continue
			}
			s := of(m)
			if spare == nil {
				spare = &ms.Voters[i]
			} else if t := of(*spare); votes[s.place] > votes[t.place] || (votes[s.place] == votes[t.place] && s.match < t.match) {
				spare = &ms.Voters[i]
			}
		}
		return ms.WithLearner(*spare), "spare voter follows only"
	}
	for _, m := range ms.Learners {
		if s := of(m); s.replaced || s.unheard {
			return ms.Without(m.ID), "learner not heard leaves"
		}
	}
	return ms, ""
}

func withoutVote(ms raft.Membership, m raft.Member, s standing) (raft.Membership, string) {
	switch {
	case s.replaced:
		return ms.Without(m.ID), "replaced voter leaves"
	case !s.alive:
		return ms.WithLearner(m), "dead voter follows only"
	}
	return ms.WithLearner(m), "leaving voter follows only"
}

// mayLeave tells whether a member's process may end: what was committed when it asked,
// up to mark, is held by every voter that serves, these are a majority, and without
// the member the group bears what it is to bear, or nobody is there to take its vote.
func mayLeave(ms raft.Membership, self, id uint64, tol tolerance, mark uint64, of func(raft.Member) standing) bool {
	serving := 0
	for _, m := range ms.Voters {
		if s := of(m); s.serves() && m.ID != id {
			serving++
			if s.match < mark {
				return false
			}
		}
	}
	n := len(ms.Voters)
	if serving <= n/2 {
		return false
	}
	if !ms.IsVoter(id) || serving-(n/2+1) >= tol.machines {
		return true
	}
	if _, why := nextMembership(ms, self, tol, of); why != "" {
		return false
	}
	for _, m := range ms.Learners {
		if of(m).serves() && (!m.Uncounted || n < tol.least()) {
			return false // it will vote instead
		}
	}
	return true
}

// roster is a leader's view of its members over time. Its spans are fixed; the rest is
// of one leadership.
type roster struct {
	tol     tolerance
	dead    time.Duration // a voter not heard for so long is replaced
	recent  time.Duration // entries younger than this need not be held to be caught up
	leaves  time.Duration // a leaver that has not asked for so long stays
	forget  time.Duration // a learner not heard for so long is given up
	place   func(raft.Member) string
	term    uint64
	marks   []logMark
	leaving map[uint64]leave
}

type logMark struct {
	at   time.Duration
	last uint64
}

type leave struct {
	asked  time.Duration // last
	commit uint64        // when it asked first
}

func newRoster(set *settings.Settings, t Timing, place func(raft.Member) string) *roster {
	f := set.FaultTolerance
	return &roster{
		tol:  tolerance{f.Machines, max(f.Zones, f.Regions)},
		dead: t.Dead, recent: t.Election, leaves: t.Silence,
		forget: max(set.Bounds.Recovery.Duration(), 2*set.Bounds.CatchUp.Duration()), place: place,
	}
}

// note remembers how long the log of n, which leads, is now, and forgets what has had
// its time.
func (r *roster) note(n *raft.Node, now time.Duration) {
	if r.term != n.Term() {
		r.term, r.marks, r.leaving = n.Term(), nil, map[uint64]leave{}
	}
	r.marks = append(r.marks, logMark{now, n.LastIndex()})
	for len(r.marks) > 1 && now-r.marks[1].at >= r.recent {
		r.marks = r.marks[1:]
	}
	for id, x := range r.leaving {
		if now-x.asked > r.leaves {
			delete(r.leaving, id)
		}
	}
}

// standings gives what n, which leads, knows of each member.
func (r *roster) standings(n *raft.Node, now time.Duration) func(raft.Member) standing {
	ms := n.Membership()
	// Of two lives at one address the one heard last counts. Just after an election
	// both may have been heard at the same moment; then neither is judged by it.
	newest := map[string]time.Duration{}
	for _, m := range ms.AllMembers() {
		newest[m.Addr] = max(newest[m.Addr], n.LastContact(m.ID))
		if m.ID == n.ID() {
			newest[m.Addr] = now + 1
		}
	}
	return func(m raft.Member) standing {
		if m.ID == n.ID() {
			return standing{alive: true, caughtUp: true, match: n.MatchIndex(m.ID), place: r.place(m)}
		}
		heard := n.LastContact(m.ID)
		_, leaving := r.leaving[m.ID]
		return standing{
			alive:    now-heard < r.dead && (!ms.IsVoter(m.ID) || n.StalledFor(m.ID) < r.dead),
			leaving:  leaving,
			replaced: heard < newest[m.Addr],
			caughtUp: len(r.marks) > 0 && n.MatchIndex(m.ID) >= r.marks[0].last,
			unheard:  now-heard > r.forget,
			match:    n.MatchIndex(m.ID),
			place:    r.place(m),
		}
	}
}

// next gives the membership to be proposed now, and why, or why is empty.
func (r *roster) next(n *raft.Node, now time.Duration) (raft.Membership, string) {
	r.note(n, now)
	if n.HasPendingConfChange() {
		return raft.Membership{}, ""
	}
	return nextMembership(n.Membership(), n.ID(), r.tol, r.standings(n, now))
}

// leave takes a member's wish to leave and tells whether its process may end.
func (r *roster) leave(n *raft.Node, now time.Duration, id uint64) bool {
	r.note(n, now)
	x, known := r.leaving[id]
	if !known {
		x.commit = n.CommitIndex()
	}
	x.asked = now
	r.leaving[id] = x
	return !n.HasPendingConfChange() && mayLeave(n.Membership(), n.ID(), id, r.tol, x.commit, r.standings(n, now))
}

// tendMembers takes one step towards a full set of voters that can be counted on.
func (l *Lathe) tendMembers(now time.Duration) {
	if l.node.Role() != raft.Leader || (now-l.tendedAt < 4*l.timing.Heartbeat && !l.tendNow) {
		return
	}
	l.tendedAt, l.tendNow = now, false
	next, why := l.roster.next(l.node, now)
	if why == "" {
		return
	}
	if err := l.node.ProposeConfChange(next); err == nil {
		l.log.Info("changing the membership", "why", why, "voters", len(next.Voters), "learners", len(next.Learners))
	}
}

// placeOf gives what of a member may be lost at once besides machines: its
// region, else its zone.
func (l *Lathe) placeOf(m raft.Member) string {
	zone := l.links.zone(m.Addr)
	if l.set.FaultTolerance.Regions > 0 {
		return l.set.RegionByZone[zone]
	}
	if l.set.FaultTolerance.Zones > 0 {
		return zone
	}
	return ""
}

// join asks every control-plane node known to be taken in.
func (l *Lathe) join(ms raft.Membership) {
	asked := map[string]bool{l.self.Addr: true}
	var addrs []string
	for _, m := range ms.AllMembers() {
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
			_, _, _ = l.links.ask(aim{leader: a}, &transport.Request{Join: &self}, l.timing.Election)
		}()
	}
}

// admit takes a node in as a learner; only the leader can.
func (l *Lathe) admit(m raft.Member) error {
	got := make(chan error, 1)
	l.post(func() {
		switch {
		case l.node.Role() != raft.Leader:
			got <- errNotLeader
		case l.node.Membership().IsMember(m.ID):
			got <- nil
		default:
			if err := l.node.ProposeConfChange(l.node.Membership().WithLearner(m)); err != nil {
				got <- apierror.New(apierror.Unavailable, "%v", err)
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

// Resign hands leadership on, if this node has it, and has its vote taken over where
// another node can; it returns once the group has let this node go, or after wait.
func (l *Lathe) Resign(wait time.Duration) {
	l.closing.Store(true)
	var handed time.Time
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(l.timing.Heartbeat) {
		l.mu.RLock()
		v := l.view
		l.mu.RUnlock()
		switch {
		case v.role == raft.Leader:
			if len(v.members.Voters) == 1 {
				return
			}
			if time.Since(handed) > 2*l.timing.Election {
				handed = time.Now()
				l.post(func() { l.node.TransferLeadership() })
			}
		case v.leaderAt != "":
			if a, _, err := l.links.ask(aim{leader: v.leaderAt}, &transport.Request{Leave: l.self.ID}, l.timing.Election); err == nil && !a.Failed {
				return
			}
		}
	}
}

// letGo takes a member's wish to leave; only the leader can. An error tells that it is
// to stay for now.
func (l *Lathe) letGo(id uint64) error {
	got := make(chan error, 1)
	l.post(func() {
		now := l.now()
		switch {
		case l.node.Role() != raft.Leader:
			got <- errNotLeader
		case l.roster.leave(l.node, now, id):
			got <- nil
		default:
			got <- apierror.New(apierror.Unavailable, "the group still counts on this member")
		}
		l.tendNow = true
	})
	select {
	case err := <-got:
		return err
	case <-l.ctx.Done():
		return errNotLeader
	}
}
