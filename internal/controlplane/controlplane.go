// Package controlplane is the control-plane node: an actor that turns consensus,
// the registry and its cacher, with disk, peers and timers round it.
package controlplane

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lichentray/config"
	"lichentray/coordination"
	"lichentray/internal/apierror"
	"lichentray/internal/metrics"
	"lichentray/internal/settings"
	"lichentray/internal/storage"
	"lichentray/internal/transport"
	"lichentray/loadbalance"
	"lichentray/raft"
	"lichentray/registry"
	"lichentray/watchcache"
)

// Timing are the node's own figures, all derived from the bounds.
type Timing struct {
	Tick      time.Duration
	Heartbeat time.Duration
	Election  time.Duration
	Dead      time.Duration // a member not heard for so long may be replaced
	Silence   time.Duration // of a connection between processes
	Bookmark  time.Duration
	Answer    time.Duration // longest wait for an outcome
	Window    time.Duration // of the cacher
	Missed    time.Duration // an endpoint's beats before it is probed
	Lease     time.Duration // of a proxy's entry
	TTL       time.Duration // of an answer of the directory
	Pause     time.Duration // until the first answers of a roll-out's stage are judged
}

// TimingOf derives the figures.
func TimingOf(s *settings.Settings) Timing {
	contact := s.Bounds.ContactWindow.Duration()
	return Timing{
		Tick:      contact / 150,
		Heartbeat: contact / 50,
		Election:  contact / 10,
		Dead:      contact / 2,
		Silence:   contact / 4,
		Bookmark:  s.PropagationBound() / 10,
		Answer:    min(s.Bounds.AckTimeout.Duration()/5, 900*time.Millisecond),
		Window:    5 * time.Minute,
		Missed:    s.HeartbeatInterval.Duration()*2 + contact/6,
		Lease:     contact / 4,
		TTL:       s.Bounds.MaxTTL.Duration() / 4,
		Pause:     s.PropagationBound() / 2,
	}
}

type waiter struct {
	term uint64
	done chan outcome
}

type outcome struct {
	result registry.Result
	err    error
}

// Lathe is a running control-plane node.
type Lathe struct {
	set    *settings.Settings
	timing Timing
	log    *slog.Logger
	board  *metrics.Registry
	start  time.Time
	life   uint64 // drawn at each start
	self   raft.Member
	chest  *storage.Store

	mail chan func()
	disk chan diskJob
	ctx  context.Context
	stop context.CancelFunc

	diskDone, portDone chan struct{}

	// Owned by the actor.
	node      *raft.Node
	pending   map[uint64]waiter
	reads     map[uint64]chan outcome
	readSeq   uint64
	alive     map[string]time.Duration
	probing   map[string]bool
	leadSince time.Duration
	role      raft.Role
	leader    uint64
	turned    chan struct{} // closed, and made anew, when role or leader changes
	logBytes  int
	checkedAt time.Duration
	roster    *roster // of members, at the leader
	tendedAt  time.Duration
	tendNow   bool // the membership, without waiting for the next duty
	trimAt    time.Duration
	marks     []mark
	restored  *registry.Store // of a leader's snapshot, until it is installed
	membersAt uint64          // log index of the membership that the links follow
	counts    map[uint64]proxyCount
	proxies   map[string]time.Duration // when the leader last heard of each
	returning map[string]mark          // since when a zone is being taken back
	granter   *loadbalance.QuotaAllocator
	guides    map[string]*guide                  // of the roll-outs under way, at the leader
	trials    map[string]transport.RolloutReport // where all proxies together stand
	judge     *loadbalance.OutlierDetector

	// Shared behind a short lock.
	mu       sync.RWMutex
	store    *registry.Store
	cache    *watchcache.Cache
	locks    map[string]lockTimer
	view     view
	wake     map[chan struct{}]struct{}
	groups   map[string]map[chan struct{}]struct{}
	watchers int                     // waiting, over all groups
	pointed  []transport.ControlNode // where a relay said that the core is
	applied  map[chan struct{}]uint64
	index    uint64
	sessions map[*session]struct{}
	beats    map[string]time.Duration
	sum      int
	loads    map[string]loadbalance.Load        // replaced whole
	rounds   map[string]transport.QuotaGrants   // replaced whole
	seen     map[string]loadbalance.Observation // of endpoints, to be told to the leader
	verdicts []loadbalance.Verdict              // replaced whole
	// What is kept decoded of the registry, by key; the actor alone writes it.
	places    map[string]loadbalance.ProxyNode
	endpoints map[string]registry.Endpoint
	rollouts  map[string]*rolloutRecord
	tryOuts   tryOuts
	// changedAt is the revision of the newest change of a watched object.
	changedAt uint64
	// Each zone's evacuation as last applied, and when its newest orders were.
	orders  map[string]registry.Evacuation
	ordered map[orderKind]time.Duration
	// The configuration compiled, and the revision that it had.
	compiled   *config.Table
	compiledAt uint64

	links  linkSet
	packed packed
	// checking holds one token for whoever checks a configuration.
	checking chan struct{}
	askSeq   atomic.Uint64
	closing  atomic.Bool

	nProposals, nUnknown, nUnread, nElections, nSync, nSyncUS, nDiskFail, nBadPeer, nRelist, nPacked, nMoved, nBusy, nTaken, nBeats, nRemoved, nApplied *metrics.Counter
}

type proxyCount struct {
	here  map[string]uint64
	loads map[string]loadbalance.Load
	// trials by service, life the one of the node that told them.
	trials map[string]transport.RolloutReport
	life   uint64
	at     time.Duration
}

type mark struct {
	at       time.Duration
	revision uint64
}

type lockTimer struct {
	grant uint64
	until time.Duration
}

// view is what other goroutines need to know of the consensus state.
type view struct {
	role      raft.Role
	leader    uint64
	term      uint64
	leaderAt  string        // internal address
	touchedAt time.Duration // see clamp.Node.TouchedAt
	members   raft.Membership
	commit    uint64
	stable    uint64
}

func memberID(addr string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(addr))
	return h.Sum64()&^(1<<63) | 1
}

// Start opens the disk and begins to turn.
func Start(set *settings.Settings, log *slog.Logger, board *metrics.Registry) (*Lathe, error) {
	ctx, stop := context.WithCancel(context.Background())
	l := &Lathe{
		set: set, timing: TimingOf(set), log: log, board: board, start: time.Now(),
		mail: make(chan func(), 1024), disk: make(chan diskJob, 4096), ctx: ctx, stop: stop, diskDone: make(chan struct{}), portDone: make(chan struct{}),
		pending: map[uint64]waiter{}, reads: map[uint64]chan outcome{},
		alive: map[string]time.Duration{}, probing: map[string]bool{}, counts: map[uint64]proxyCount{},
		proxies: map[string]time.Duration{}, returning: map[string]mark{}, places: map[string]loadbalance.ProxyNode{}, endpoints: map[string]registry.Endpoint{},
		rollouts: map[string]*rolloutRecord{}, tryOuts: tryOuts{}, guides: map[string]*guide{}, life: rand.Uint64(),
		seen:  map[string]loadbalance.Observation{},
		store: registry.NewStore(), locks: map[string]lockTimer{},
		wake: map[chan struct{}]struct{}{}, groups: map[string]map[chan struct{}]struct{}{},
		applied: map[chan struct{}]uint64{}, sessions: map[*session]struct{}{}, beats: map[string]time.Duration{},
		orders: map[string]registry.Evacuation{}, ordered: map[orderKind]time.Duration{}, checking: make(chan struct{}, 1),
		turned: make(chan struct{}),
	}
	l.cache = watchcache.NewCache(l.timing.Window, 20000, int(set.Limits.MemoryMB*(1<<20))/12)
	l.nProposals = board.Counter("proposals_total")
	l.nUnknown = board.Counter("proposals_unknown_total")
	l.nUnread = board.Counter("reads_unconfirmed_total")
	l.nElections = board.Counter("elections_total")
	l.nSync = board.Counter("disk_syncs_total")
	l.nSyncUS = board.Counter("disk_sync_microseconds_total")
	l.nDiskFail = board.Counter("disk_failures_total")
	l.nBadPeer = board.Counter("bad_peers_total")
	l.nRelist = board.Counter("watch_lists_total")
	l.nPacked = board.Counter("watch_lists_encoded_total")
	l.nMoved = board.Counter("watch_lists_sent_nearer_total")
	l.packed.encoded = board.Counter("watch_events_encoded_total")
	l.nBusy = board.Counter("configurations_put_off_total")
	l.nTaken = board.Counter("configurations_taken_otherwise_total")
	l.nBeats = board.Counter("beats_total")
	l.nRemoved = board.Counter("endpoints_removed_total")
	l.nApplied = board.Counter("applied_index")

	addr := set.InternalAddr(set.Listen.Control)
	var initial raft.Membership
	isSeed := false
	for _, s := range set.SeedNodes {
		m := raft.Member{Addr: set.InternalAddr(s), API: s}
		m.ID = memberID(m.Addr)
		if initial.IsMember(m.ID) {
			continue
		}
		initial.Voters = append(initial.Voters, m)
		isSeed = isSeed || m.Addr == addr
	}
	var first uint64
	if set.Bootstrap && isSeed {
		first = memberID(addr)
	}
	ch, id, saved, err := storage.Open(set.DataDirectory, first, l.restore)
	for tries := 0; err != nil && tries < 20; tries++ {
		// A disk in trouble refuses for seconds; a start waits for it.
		l.nDiskFail.Inc()
		time.Sleep(l.timing.Election / 2)
		ch, id, saved, err = storage.Open(set.DataDirectory, first, l.restore)
	}
	if err != nil {
		stop()
		return nil, fmt.Errorf("open store: %w", err)
	}
	if id.DiscardReason != nil {
		log.Error("store set aside as unreadable, joining as a new member", "cause", id.DiscardReason)
	}
	l.chest = ch
	blank := saved.HardState.Term == 0 && len(saved.Entries) == 0 && len(saved.Snapshot.Members.AllMembers()) == 0
	if blank && first != 0 && id.ID == first {
		saved.Snapshot.Members = initial
		if err := ch.Save(nil, &saved.Snapshot, false, nil); err != nil {
			stop()
			return nil, fmt.Errorf("bootstrap: %w", err)
		}
	}
	l.self = raft.Member{ID: id.ID, Addr: addr, API: set.Listen.Control, Uncounted: !set.QuorumMember}
	l.roster = newRoster(set, l.timing, l.placeOf)
	l.cache.Reset(l.store.Revision())
	l.noteAll()
	l.index = saved.Snapshot.Index
	l.armLocks(0)
	for _, e := range saved.Entries {
		l.logBytes += len(e.Data)
	}
	l.node = raft.New(raft.Config{ID: id.ID, HeartbeatInterval: l.timing.Heartbeat, ElectionTimeout: l.timing.Election, RandInt63n: rand.Int63n, ValidateSnapshot: l.checkSnapshot}, 0, saved)
	l.links = linkSet{l: l, byAddr: map[string]*link{}, addrOf: map[uint64]string{}, zoneOf: map[string]string{addr: set.Zone}}
	l.membersAt = l.node.MembershipIndex()
	l.links.learn(l.node.Membership())

	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		stop()
		return nil, fmt.Errorf("internal port: %w", err)
	}
	log.Info("started", "member", hexID(id.ID), "fresh", id.IsNew, "last", l.node.LastIndex())
	go l.accept(ln)
	go l.writeDisk()
	go l.run()
	return l, nil
}

func (l *Lathe) now() time.Duration { return time.Since(l.start) }

// post hands work to the actor.
func (l *Lathe) post(f func()) bool {
	select {
	case l.mail <- f:
		return true
	case <-l.ctx.Done():
		return false
	}
}

func (l *Lathe) run() {
	tick := time.NewTicker(l.timing.Tick)
	defer tick.Stop()
	l.flush()
	for {
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.mail:
			f()
			// What else has arrived goes into the same batch.
			for more := true; more; {
				select {
				case f := <-l.mail:
					f()
				default:
					more = false
				}
			}
		case <-tick.C:
			l.node.Tick(l.now())
			l.duties()
		}
		l.flush()
	}
}

// flush carries out what the node wants done.
func (l *Lathe) flush() {
	for {
		e := l.node.Ready()
		l.publish()
		if len(e.Messages) == 0 && e.Write == nil && len(e.CommittedEntries) == 0 && len(e.ReadStates) == 0 {
			return
		}
		l.links.send(e.Messages)
		if e.Write != nil {
			l.disk <- diskJob{hard: e.Write.HardState, install: e.Write.Snapshot, entries: e.Write.Entries, after: e.Write.MessagesAfterAppend}
		}
		if e.SnapshotToInstall != nil {
			l.installSnapshot(e.SnapshotToInstall)
		}
		for _, en := range e.CommittedEntries {
			l.apply(en)
		}
		for _, r := range e.ReadStates {
			if ch := l.reads[r.RequestID]; ch != nil {
				delete(l.reads, r.RequestID)
				o := outcome{result: registry.Result{Revision: r.Index}}
				if !r.Confirmed {
					o.err = errNotLeader
				}
				ch <- o
			}
		}
		l.maybeCompact()
	}
}

var errNotLeader = apierror.New(apierror.Unavailable, "this node does not lead")

// publish lets the other goroutines see the consensus state.
func (l *Lathe) publish() {
	n := l.node
	now := l.now()
	role, leader := n.Role(), n.LeaderID()
	if role != l.role || leader != l.leader {
		// Whoever waits for the old leader's answer waits in vain.
		close(l.turned)
		l.turned = make(chan struct{})
		if role == raft.Leader && l.role != raft.Leader {
			l.leadSince = now
			l.nElections.Inc()
			l.alive, l.counts = map[string]time.Duration{}, map[uint64]proxyCount{}
			l.proxies, l.returning = map[string]time.Duration{}, map[string]mark{}
			l.guides = map[string]*guide{}
			l.judge = loadbalance.NewOutlierDetector(l.timing.Dead / 2)
			l.granter = loadbalance.NewQuotaAllocator(now, l.set.QuotaGrantLifetime())
			l.log.Info("leading", "term", n.Term())
		} else if role != raft.Leader && (l.role == raft.Leader || leader != l.leader && leader != 0) {
			l.log.Info("following", "term", n.Term(), "leader", hexID(leader))
		}
		l.role, l.leader = role, leader
	}
	ms := n.Membership()
	if at := n.MembershipIndex(); at != l.membersAt {
		l.membersAt = at
		l.links.learn(ms)
	}
	v := view{role: role, leader: leader, term: n.Term(), members: ms, commit: n.CommitIndex(), stable: n.StableIndex()}
	v.leaderAt = l.links.addr(leader)
	v.touchedAt = n.LastQuorumContact()
	l.mu.Lock()
	l.view = v
	l.mu.Unlock()
}

func (l *Lathe) apply(en raft.Entry) {
	var res registry.Result
	var events []registry.Event
	if en.Type == raft.EntryNormal && len(en.Data) > 0 {
		cmd, err := registry.DecodeCommand(en.Data)
		if err != nil {
			// Every replica skips it alike.
			l.log.Error("log entry cannot be read", "index", en.Index, "error", err)
		} else {
			now := l.now()
			l.mu.Lock()
			res, events = l.store.Apply(cmd)
			if cmd.Coordination != nil {
				l.timeLock(now, cmd.Coordination, res.Latch)
			}
			l.cache.Append(now, l.store.Revision(), events)
			for _, e := range events {
				l.note(e)
			}
			if len(events) > 0 {
				for ch := range l.wake {
					poke(ch)
				}
			}
			if cmd.Coordination != nil && cmd.Coordination.Operation == coordination.PutCell {
				for ch := range l.groups[coordination.GroupOf(cmd.Coordination.Name)] {
					poke(ch)
				}
			}
			l.mu.Unlock()
		}
	} else if en.Type == raft.EntryConfChange {
		l.tendNow = true // a replacement takes two
		l.log.Info("membership changed", "index", en.Index, "voters", len(l.node.Membership().Voters), "learners", len(l.node.Membership().Learners))
	}
	l.logBytes += len(en.Data)
	l.nApplied.Set(int64(en.Index))
	l.mu.Lock()
	l.index = en.Index
	for ch, at := range l.applied {
		if en.Index >= at {
			delete(l.applied, ch)
			poke(ch)
		}
	}
	l.mu.Unlock()
	if w, ok := l.pending[en.Index]; ok {
		delete(l.pending, en.Index)
		if w.term == en.Term {
			w.done <- outcome{result: res}
		} else {
			// Another entry stands in its place: it never takes effect.
			w.done <- outcome{err: apierror.New(apierror.Unavailable, "leadership changed")}
		}
	}
}

func poke(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (l *Lathe) timeLock(now time.Duration, c *coordination.Command, r coordination.Result) {
	switch c.Operation {
	case coordination.AcquireLock, coordination.RenewLock:
		// The state's time, not the command's: a renewal that comes late may ask for less.
		if k := l.store.Coordination().Locks[c.Name]; r.Code == coordination.OK {
			l.locks[c.Name] = lockTimer{k.Grant, now + time.Duration(k.HoldMS)*time.Millisecond}
		}
	case coordination.ReleaseLock:
		if _, held := l.store.Coordination().Locks[c.Name]; !held {
			delete(l.locks, c.Name)
		}
	}
}

// armLocks starts every lock's time anew, as after a snapshot.
func (l *Lathe) armLocks(now time.Duration) {
	l.locks = map[string]lockTimer{}
	for name, k := range l.store.Coordination().Locks {
		l.locks[name] = lockTimer{k.Grant, now + time.Duration(k.HoldMS)*time.Millisecond}
	}
}

func (l *Lathe) installSnapshot(s *raft.Snapshot) {
	l.mu.Lock()
	l.store, l.restored = l.restored, nil
	l.cache.Reset(l.store.Revision())
	l.noteAll()
	l.index = s.Index
	l.armLocks(l.now())
	for ch := range l.wake {
		poke(ch)
	}
	for _, g := range l.groups {
		for ch := range g {
			poke(ch)
		}
	}
	l.mu.Unlock()
	l.logBytes = 0
	for i, w := range l.pending {
		if i <= s.Index {
			delete(l.pending, i)
			w.done <- outcome{err: apierror.New(apierror.UnknownOutcome, "replaced by a snapshot")}
		}
	}
	l.log.Info("snapshot installed", "index", s.Index)
}

// maybeCompact bounds the log, in memory and on disk.
func (l *Lathe) maybeCompact() {
	most := 4 << 20
	if mb := l.set.Limits.DiskMB; mb > 0 {
		most = min(most, int(mb*(1<<20))/16) // the write-ahead log holds as much again
	}
	if l.node.CompactableEntries() < 6000 && l.logBytes < most {
		return
	}
	data, err := l.store.Snapshot()
	if err != nil {
		l.log.Error("snapshot failed", "error", err)
		l.logBytes = 0
		return
	}
	s, ok := l.node.Compact(l.node.AppliedIndex(), data)
	l.logBytes = 0
	if ok {
		l.disk <- diskJob{compact: &s}
	}
}

// Close stops the node at once and gives its disk and port back.
func (l *Lathe) Close() {
	l.stop()
	<-l.diskDone
	<-l.portDone
}

type diskJob struct {
	hard    *raft.HardState
	install *raft.Snapshot
	compact *raft.Snapshot
	entries []raft.Entry
	after   []raft.Message
}

// writeDisk is the actor of the disk: all that waits goes into one sync.
func (l *Lathe) writeDisk() {
	defer close(l.diskDone)
	defer l.chest.Close()
	for {
		var job diskJob
		select {
		case <-l.ctx.Done():
			return
		case job = <-l.disk:
		}
		var next *diskJob
		for more := true; more && job.install == nil; {
			select {
			case j := <-l.disk:
				if j.install != nil {
					next, more = &j, false
					break
				}
				job = merge(job, j)
			default:
				more = false
			}
		}
		l.save(job)
		if next != nil {
			l.save(*next)
		}
	}
}

func merge(a, b diskJob) diskJob {
	if b.hard != nil {
		a.hard = b.hard
	}
	if b.compact != nil {
		a.compact = b.compact
	}
	if len(b.entries) > 0 {
		at := b.entries[0].Index
		i := len(a.entries)
		for i > 0 && a.entries[i-1].Index >= at {
			i--
		}
		if i == 0 {
			a.entries = b.entries
		} else {
			a.entries = append(slices.Clip(a.entries[:i]), b.entries...)
		}
	}
	a.after = append(a.after, b.after...)
	return a
}

func (l *Lathe) save(j diskJob) {
	if j.hard != nil || j.install != nil || j.compact != nil || len(j.entries) > 0 {
		failed := false
		for {
			t := time.Now()
			snapshot := j.compact
			if j.install != nil {
				snapshot = j.install
			}
			err := l.chest.Save(j.hard, snapshot, j.install != nil, j.entries)
			l.nSync.Inc()
			l.nSyncUS.Add(time.Since(t).Microseconds())
			if err == nil {
				break
			}
			l.nDiskFail.Inc()
			if !failed {
				failed = true
				l.log.Error("disk refuses, nothing is promised until it takes the write", "error", err)
			}
			select {
			case <-l.ctx.Done():
				return
			case <-time.After(l.timing.Heartbeat):
			}
		}
		if failed {
			l.log.Info("disk takes writes again")
		}
	}
	l.links.send(j.after)
	if n := len(j.entries); n > 0 {
		last := j.entries[n-1]
		l.post(func() { l.node.ReportPersisted(last.Index, last.Term) })
	}
}

// aim is whom a call goes to: the leader's address, or none, and what is closed when
// another leads.
type aim struct {
	leader string
	turned chan struct{}
}

// ask hands f, which gives the leader's address, to the actor.
func (l *Lathe) ask(f func() string) (aim, error) {
	at := make(chan aim, 1)
	if !l.post(func() { at <- aim{f(), l.turned} }) {
		return aim{}, apierror.New(apierror.Unavailable, "node is stopping")
	}
	return <-at, nil
}

// again tells whether a call that met no leader waits a moment and tries once more.
// A node that has been out of touch for long says so at once.
func (l *Lathe) again(end time.Time) bool {
	if time.Until(end) < l.timing.Answer/2 || l.outOfTouch() > 2*l.timing.Answer {
		return false
	}
	time.Sleep(l.timing.Tick)
	return true
}

// Do puts a command through the log, here or at the leader, within Timing.Answer. An
// error of kind Unavailable promises that nothing was done and never will be; one of
// kind Unknown promises nothing.
//
// A command whose leader went silent, or that stopped leading, is sent once more to
// the next leader, so it may be carried out twice. That is the same as once for each
// kind: a transaction asks for revisions that it changes itself, a put is known by
// its value, a begin and a renewal by their holder, to finish twice does nothing
// more, a number drawn twice leaves a gap, an account's records have numbers.
func (l *Lathe) Do(cmd registry.Command) (registry.Result, error) {
	end := time.Now().Add(l.timing.Answer)
	var data []byte
	unknown := false
	for {
		done := make(chan outcome, 1)
		to, err := l.ask(func() string { return l.propose(cmd, done) })
		if err != nil {
			return registry.Result{}, err
		}
		switch to.leader {
		case l.self.Addr:
			r, err := l.wait(done, to.turned, end)
			if apierror.KindOf(err) == apierror.UnknownOutcome {
				l.nUnknown.Inc()
			}
			if err == nil || apierror.KindOf(err) != apierror.Unavailable {
				return r, err
			}
		case "":
		default:
			if data == nil {
				data = registry.EncodeCommand(cmd)
			}
			ans, sent, err := l.links.ask(to, &transport.Request{Command: data}, time.Until(end))
			if err == nil && !ans.Failed {
				return ans.Result, nil
			}
			unknown = unknown || err != nil && sent || err == nil && ans.Kind == apierror.UnknownOutcome
			if err == nil && ans.Kind != apierror.Unavailable && ans.Kind != apierror.UnknownOutcome {
				return registry.Result{}, &apierror.Error{Kind: ans.Kind, Detail: ans.Detail}
			}
		}
		if l.again(end) {
			continue
		}
		if unknown {
			l.nUnknown.Inc()
			return registry.Result{}, apierror.New(apierror.UnknownOutcome, "the leader did not answer")
		}
		return registry.Result{}, apierror.New(apierror.Unavailable, "no leader")
	}
}

// wait waits for what becomes of an entry of this node's log. When this node stops
// leading, the next leader's log mostly tells soon.
func (l *Lathe) wait(done chan outcome, turned chan struct{}, end time.Time) (registry.Result, error) {
	t := time.NewTimer(time.Until(end))
	defer t.Stop()
	for {
		select {
		case o := <-done:
			return o.result, o.err
		case <-turned:
			turned = nil
			t.Reset(min(time.Until(end), l.timing.Election))
		case <-t.C:
			return registry.Result{}, apierror.New(apierror.UnknownOutcome, "no majority in time")
		}
	}
}

// propose runs in the actor. It gives the leader's address.
func (l *Lathe) propose(cmd registry.Command, done chan outcome) string {
	if l.node.Role() != raft.Leader {
		return l.links.addr(l.node.LeaderID())
	}
	if c := cmd.Coordination; c != nil && c.Operation == coordination.AcquireLock {
		// Name the grant that has run out by this leader's steady clock.
		spent := *c
		spent.ExpiredToken, spent.ExpiredGrant = 0, 0
		if k, held := l.store.Coordination().Locks[c.Name]; held {
			if t := l.locks[c.Name]; t.grant == k.Grant && l.now() >= t.until {
				spent.ExpiredToken, spent.ExpiredGrant = k.Fence, k.Grant
			}
		}
		cmd.Coordination = &spent
	}
	index, term, ok := l.node.Propose(registry.EncodeCommand(cmd))
	if !ok {
		return ""
	}
	l.nProposals.Inc()
	l.pending[index] = waiter{term, done}
	return l.self.Addr
}

// ReadPoint returns once this node's state holds all that was acknowledged before
// the call (ReadIndex), within Timing.Answer; its errors are of kind Unavailable.
func (l *Lathe) ReadPoint() error { return l.readPoint(l.timing.Answer) }

func (l *Lathe) readPoint(within time.Duration) error {
	end := time.Now().Add(within)
	for {
		done := make(chan outcome, 1)
		to, err := l.ask(func() string { return l.readIndex(done) })
		if err != nil {
			return err
		}
		switch to.leader {
		case l.self.Addr:
			r, err := l.wait(done, to.turned, end)
			if err == nil {
				return l.waitApplied(r.Revision, time.Until(end))
			}
			l.nUnread.Inc()
		case "":
		default:
			ans, _, err := l.links.ask(to, &transport.Request{Read: true}, min(time.Until(end), l.timing.Answer))
			if err == nil && !ans.Failed {
				return l.waitApplied(ans.Index, time.Until(end))
			}
		}
		if !l.again(end) {
			return apierror.New(apierror.Unavailable, "no confirmed read point")
		}
	}
}

func (l *Lathe) readIndex(done chan outcome) string {
	if l.node.Role() != raft.Leader {
		return l.links.addr(l.node.LeaderID())
	}
	l.readSeq++
	l.reads[l.readSeq] = done
	l.node.ReadIndex(l.readSeq)
	return l.self.Addr
}

func (l *Lathe) waitApplied(index uint64, left time.Duration) error {
	ch := make(chan struct{}, 1)
	l.mu.Lock()
	if l.index >= index {
		l.mu.Unlock()
		return nil
	}
	l.applied[ch] = index
	l.mu.Unlock()
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-ch:
		return nil
	case <-t.C:
		l.mu.Lock()
		delete(l.applied, ch)
		l.mu.Unlock()
		return apierror.New(apierror.Unavailable, "this node lags behind")
	}
}

// fresh tells whether this node holds all that was acknowledged anywhere up to two
// election time-outs ago, and so whether others may count on it. A node that has just
// started does not, however young it is.
func (l *Lathe) fresh() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.view.touchedAt != 0 && l.now()-l.view.touchedAt <= 2*l.timing.Election
}

// outOfTouch is for how long this node has not been in touch with a majority, or has
// not applied what the majority holds; at most since its start.
func (l *Lathe) outOfTouch() time.Duration {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.now() - l.view.touchedAt
}

// configuration reads what is held. The caller has the node's lock.
func (l *Lathe) configuration() (version uint64, text []byte, ok bool) {
	o, _ := l.store.Get(registry.ConfigKey)
	return registry.DecodeConfig(o)
}
