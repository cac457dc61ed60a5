package controlplane

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand"
	"net"
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

type pendingProposal struct {
	term uint64
	done chan outcome
}

type outcome struct {
	result registry.Result
	err    error
}

// Node is a running control-plane node.
type Node struct {
	*environment
	writer *logWriter

	loop         *eventLoop
	listenerDone chan struct{}

	// Owned by the actor.
	pendingProposals     map[uint64]pendingProposal
	pendingReads         map[uint64]chan outcome
	lastReadID           uint64
	endpointLastSeen     map[string]time.Duration
	healthChecksInFlight map[string]bool
	logSizeBytes         int
	membership           *membershipPlanner // of members, at the leader
	membershipCheckedAt  time.Duration
	membershipCheckDue   bool // the membership, without waiting for the next duty
	historyTrimmedAt     time.Duration
	revisionTimes        []revisionTime
	restoredStore        *registry.Store // of a leader's snapshot, until it is installed
	nodeReports          map[uint64]nodeReport
	proxyLastSeen        map[string]time.Duration // when the leader last heard of each
	returningZones       map[string]revisionTime  // since when a zone is being taken back
	quotaGranter         *loadbalance.QuotaAllocator
	rolloutsInProgress   map[string]*rolloutProgress        // of the roll-outs under way, at the leader
	trialProgress        map[string]transport.RolloutReport // where all proxies together stand
	outlierJudge         *loadbalance.OutlierDetector

	leases leaseTimers

	// Shared behind a short lock.
	mu                   sync.RWMutex
	store                *registry.Store
	watchCache           *watchcache.Cache
	consensus            consensusStatus
	streamWakeups        map[chan struct{}]struct{}
	groupWatchers        map[string]map[chan struct{}]struct{}
	groupWatcherCount    int                     // waiting, over all groups
	relayedNodes         []transport.ControlNode // where a relay said that the core is
	applyWaiters         map[chan struct{}]uint64
	appliedIndex         uint64
	proxySessions        map[*proxySession]struct{}
	heartbeatsToReport   map[string]time.Duration
	proxyCount           int
	serviceLoads         map[string]loadbalance.Load        // replaced whole
	quotaRounds          map[string]transport.QuotaGrants   // replaced whole
	observationsToReport map[string]loadbalance.Observation // of endpoints, to be told to the leader
	outlierVerdicts      []loadbalance.Verdict              // replaced whole
	// What is kept decoded of the registry, by key; the actor alone writes it.
	directoryPlaces map[string]loadbalance.ProxyNode
	endpoints       map[string]registry.Endpoint
	rollouts        map[string]*rolloutRecord
	trialEvidence   trialEvidence
	// watchedRevision is the revision of the newest change of a watched object.
	watchedRevision uint64
	// Each zone's evacuation as last applied, and when its newest orders were.
	evacuationOrders    map[string]registry.Evacuation
	evacuationOrderedAt map[evacuationOrder]time.Duration
	// The configuration compiled, and the revision that it had.
	compiledTable    *config.Table
	compiledRevision uint64

	peers     *peerPool
	encodings sharedEncodings
	// validationSlot holds one token for whoever checks a configuration.
	validationSlot chan struct{}
	lastCallID     atomic.Uint64
}

type nodeReport struct {
	reportSequences map[string]uint64
	loads           map[string]loadbalance.Load
	// trialProgress by service, life the one of the node that told them.
	trials      map[string]transport.RolloutReport
	incarnation uint64
	receivedAt  time.Duration
}

type revisionTime struct {
	at       time.Duration
	revision uint64
}

// consensus is what other goroutines need to know of the consensus state.
type consensusStatus struct {
	role         raft.Role
	leaderID     uint64
	term         uint64
	leaderAddr   string        // internal address
	lastContact  time.Duration // see raft.Node.TouchedAt
	membership   raft.Membership
	commitIndex  uint64
	durableIndex uint64
}

func memberIDOf(addr string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(addr))
	return h.Sum64()&^(1<<63) | 1
}

// Start opens the disk and begins to turn.
func Start(set *settings.Settings, log *slog.Logger, board *metrics.Registry) (*Node, error) {
	ctx, stop := context.WithCancel(context.Background())
	l := &Node{
		environment: &environment{
			settings:    set,
			timing:      DeriveTiming(set),
			logger:      log,
			metrics:     newNodeMetrics(board),
			startedAt:   time.Now(),
			incarnation: rand.Uint64(),
			ctx:         ctx,
			cancel:      stop,
		},
		listenerDone:     make(chan struct{}),
		pendingProposals: map[uint64]pendingProposal{}, pendingReads: map[uint64]chan outcome{},
		endpointLastSeen: map[string]time.Duration{}, healthChecksInFlight: map[string]bool{}, nodeReports: map[uint64]nodeReport{},
		proxyLastSeen: map[string]time.Duration{}, returningZones: map[string]revisionTime{}, directoryPlaces: map[string]loadbalance.ProxyNode{}, endpoints: map[string]registry.Endpoint{},
		rollouts: map[string]*rolloutRecord{}, trialEvidence: trialEvidence{}, rolloutsInProgress: map[string]*rolloutProgress{},
		observationsToReport: map[string]loadbalance.Observation{},
		store:                registry.NewStore(),
		streamWakeups:        map[chan struct{}]struct{}{}, groupWatchers: map[string]map[chan struct{}]struct{}{},
		applyWaiters: map[chan struct{}]uint64{}, proxySessions: map[*proxySession]struct{}{}, heartbeatsToReport: map[string]time.Duration{},
		evacuationOrders: map[string]registry.Evacuation{}, evacuationOrderedAt: map[evacuationOrder]time.Duration{}, validationSlot: make(chan struct{}, 1),
	}
	l.watchCache = watchcache.NewCache(l.timing.WatchWindow, 20000, int(set.Limits.MemoryMB*(1<<20))/12)
	l.encodings.eventsEncodedTotal = l.metrics.eventsEncoded

	addr := set.InternalAddr(set.Listen.Control)
	var initial raft.Membership
	isSeed := false
	for _, s := range set.SeedNodes {
		m := raft.Member{Addr: set.InternalAddr(s), API: s}
		m.ID = memberIDOf(m.Addr)
		if initial.IsMember(m.ID) {
			continue
		}
		initial.Voters = append(initial.Voters, m)
		isSeed = isSeed || m.Addr == addr
	}
	var first uint64
	if set.Bootstrap && isSeed {
		first = memberIDOf(addr)
	}
	ch, id, saved, err := storage.Open(set.DataDirectory, first, l.restoreSaved)
	for tries := 0; err != nil && tries < 20; tries++ {
		// A disk in trouble refuses for seconds; a start waits for it.
		l.metrics.diskFailures.Inc()
		time.Sleep(l.timing.ElectionTimeout / 2)
		ch, id, saved, err = storage.Open(set.DataDirectory, first, l.restoreSaved)
	}
	if err != nil {
		stop()
		return nil, fmt.Errorf("open store: %w", err)
	}
	if id.DiscardReason != nil {
		log.Error("store set aside as unreadable, joining as a new member", "cause", id.DiscardReason)
	}
	l.loop = newEventLoop(l.environment)
	l.writer = newLogWriter(l.environment, ch)
	l.writer.send = func(ms []raft.Message) { l.peers.sendMessages(ms) }
	l.writer.reportPersisted = func(index, term uint64) {
		l.loop.post(func(loop *loopState) { loop.raft.ReportPersisted(index, term) })
	}
	blank := saved.HardState.Term == 0 && len(saved.Entries) == 0 && len(saved.Snapshot.Members.AllMembers()) == 0
	if blank && first != 0 && id.ID == first {
		saved.Snapshot.Members = initial
		if err := ch.Save(nil, &saved.Snapshot, false, nil); err != nil {
			stop()
			return nil, fmt.Errorf("bootstrap: %w", err)
		}
	}
	l.self = raft.Member{ID: id.ID, Addr: addr, API: set.Listen.Control, Uncounted: !set.QuorumMember}
	l.membership = newMembershipPlanner(set, l.timing, l.failureDomainOf)
	l.watchCache.Reset(l.store.Revision())
	l.rebuildFromStore()
	l.appliedIndex = saved.Snapshot.Index
	l.leases.restart(0, l.store.Coordination().Locks)
	for _, e := range saved.Entries {
		l.logSizeBytes += len(e.Data)
	}
	loop := &loopState{
		raft:          raft.New(raft.Config{ID: id.ID, HeartbeatInterval: l.timing.HeartbeatInterval, ElectionTimeout: l.timing.ElectionTimeout, RandInt63n: rand.Int63n, ValidateSnapshot: l.restoreReceived}, 0, saved),
		leaderChanged: make(chan struct{}),
	}
	l.peers = newPeerPool(l.environment)
	l.peers.onControlNodes = l.setRelayedNodes
	l.peers.onLogReconnected = func(addr string) {
		l.loop.post(func(loop *loopState) { l.reportReconnected(loop, addr) })
	}
	loop.membershipIndex = loop.raft.MembershipIndex()
	l.peers.setMembership(loop.raft.Membership())

	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		stop()
		return nil, fmt.Errorf("internal port: %w", err)
	}
	log.Info("started", "member", formatMemberID(id.ID), "fresh", id.IsNew, "last", loop.raft.LastIndex())
	go l.acceptConnections(ln)
	l.start(l.writer.run)
	l.start(func() { l.loop.run(loop, l.tick, l.processReady) })
	return l, nil
}

func (l *Node) tick(loop *loopState) {
	loop.raft.Tick(l.now())
	l.runPeriodicTasks(loop)
}

// processReady carries out what the node wants done.
func (l *Node) processReady(loop *loopState) {
	for {
		e := loop.raft.Ready()
		l.publishConsensus(loop)
		if len(e.Messages) == 0 && e.Write == nil && len(e.CommittedEntries) == 0 && len(e.ReadStates) == 0 {
			return
		}
		l.peers.sendMessages(e.Messages)
		if e.Write != nil {
			l.writer.submit(writeRequest{
				hardState:         e.Write.HardState,
				installedSnapshot: e.Write.Snapshot,
				entries:           e.Write.Entries,
				sendAfterSync:     e.Write.MessagesAfterAppend,
			})
		}
		if e.SnapshotToInstall != nil {
			l.installSnapshot(loop, e.SnapshotToInstall)
		}
		for _, en := range e.CommittedEntries {
			l.applyEntry(loop, en)
		}
		for _, r := range e.ReadStates {
			if ch := l.pendingReads[r.RequestID]; ch != nil {
				delete(l.pendingReads, r.RequestID)
				o := outcome{result: registry.Result{Revision: r.Index}}
				if !r.Confirmed {
					o.err = ErrNotLeader
				}
				ch <- o
			}
		}
		l.compactIfNeeded(loop)
	}
}

var ErrNotLeader = apierror.New(apierror.Unavailable, "this node does not lead")

func (l *Node) setRelayedNodes(nodes []transport.ControlNode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relayedNodes = nodes
}

// reportReconnected has consensus send the log anew to the member at an address.
func (l *Node) reportReconnected(loop *loopState, addr string) {
	for _, m := range loop.raft.Membership().AllMembers() {
		if m.Addr == addr {
			loop.raft.ReportReconnected(m.ID)
		}
	}
}

// publishConsensus lets the other goroutines see the consensus state.
func (l *Node) publishConsensus(loop *loopState) {
	n := loop.raft
	now := l.now()
	role, leader := n.Role(), n.LeaderID()
	if role != loop.role || leader != loop.leaderID {
		// Whoever waits for the old leader's answer waits in vain.
		close(loop.leaderChanged)
		loop.leaderChanged = make(chan struct{})
		if role == raft.Leader && loop.role != raft.Leader {
			loop.leaderSince = now
			l.metrics.elections.Inc()
			l.endpointLastSeen, l.nodeReports = map[string]time.Duration{}, map[uint64]nodeReport{}
			l.proxyLastSeen, l.returningZones = map[string]time.Duration{}, map[string]revisionTime{}
			l.rolloutsInProgress = map[string]*rolloutProgress{}
			l.outlierJudge = loadbalance.NewOutlierDetector(l.timing.DeadMemberTimeout / 2)
			l.quotaGranter = loadbalance.NewQuotaAllocator(now, l.settings.QuotaGrantLifetime())
			l.logger.Info("leading", "term", n.Term())
		} else if role != raft.Leader && (loop.role == raft.Leader || leader != loop.leaderID && leader != 0) {
			l.logger.Info("following", "term", n.Term(), "leader", formatMemberID(leader))
		}
		loop.role, loop.leaderID = role, leader
	}
	ms := n.Membership()
	if at := n.MembershipIndex(); at != loop.membershipIndex {
		loop.membershipIndex = at
		l.peers.setMembership(ms)
	}
	v := consensusStatus{role: role, leaderID: leader, term: n.Term(), membership: ms, commitIndex: n.CommitIndex(), durableIndex: n.StableIndex()}
	v.leaderAddr = l.peers.addrOf(leader)
	v.lastContact = n.LastQuorumContact()
	l.mu.Lock()
	l.consensus = v
	l.mu.Unlock()
}

func (l *Node) applyEntry(loop *loopState, en raft.Entry) {
	var res registry.Result
	var events []registry.Event
	if en.Type == raft.EntryNormal && len(en.Data) > 0 {
		cmd, err := registry.DecodeCommand(en.Data)
		if err != nil {
			// Every replica skips it alike.
			l.logger.Error("log entry cannot be read", "index", en.Index, "error", err)
		} else {
			now := l.now()
			l.mu.Lock()
			res, events = l.store.Apply(cmd)
			if cmd.Coordination != nil {
				l.leases.update(now, cmd.Coordination, res.Latch, l.store.Coordination().Locks)
			}
			l.watchCache.Append(now, l.store.Revision(), events)
			for _, e := range events {
				l.applyEvent(e)
			}
			if len(events) > 0 {
				for ch := range l.streamWakeups {
					wakeUp(ch)
				}
			}
			if cmd.Coordination != nil && cmd.Coordination.Operation == coordination.PutCell {
				for ch := range l.groupWatchers[coordination.GroupOf(cmd.Coordination.Name)] {
					wakeUp(ch)
				}
			}
			l.mu.Unlock()
		}
	} else if en.Type == raft.EntryConfChange {
		l.membershipCheckDue = true // a replacement takes two
		l.logger.Info("membership changed", "index", en.Index, "voters", len(loop.raft.Membership().Voters), "learners", len(loop.raft.Membership().Learners))
	}
	l.logSizeBytes += len(en.Data)
	l.metrics.appliedIndex.Set(int64(en.Index))
	l.mu.Lock()
	l.appliedIndex = en.Index
	for ch, at := range l.applyWaiters {
		if en.Index >= at {
			delete(l.applyWaiters, ch)
			wakeUp(ch)
		}
	}
	l.mu.Unlock()
	if w, ok := l.pendingProposals[en.Index]; ok {
		delete(l.pendingProposals, en.Index)
		if w.term == en.Term {
			w.done <- outcome{result: res}
		} else {
			// Another entry stands in its place: it never takes effect.
			w.done <- outcome{err: apierror.New(apierror.Unavailable, "leadership changed")}
		}
	}
}

func wakeUp(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (l *Node) installSnapshot(loop *loopState, s *raft.Snapshot) {
	l.mu.Lock()
	l.store, l.restoredStore = l.restoredStore, nil
	l.watchCache.Reset(l.store.Revision())
	l.rebuildFromStore()
	l.appliedIndex = s.Index
	l.leases.restart(l.now(), l.store.Coordination().Locks)
	for ch := range l.streamWakeups {
		wakeUp(ch)
	}
	for _, g := range l.groupWatchers {
		for ch := range g {
			wakeUp(ch)
		}
	}
	l.mu.Unlock()
	l.logSizeBytes = 0
	for i, w := range l.pendingProposals {
		if i <= s.Index {
			delete(l.pendingProposals, i)
			w.done <- outcome{err: apierror.New(apierror.UnknownOutcome, "replaced by a snapshot")}
		}
	}
	l.logger.Info("snapshot installed", "index", s.Index)
}

// compactIfNeeded bounds the log, in memory and on disk.
func (l *Node) compactIfNeeded(loop *loopState) {
	most := 4 << 20
	if mb := l.settings.Limits.DiskMB; mb > 0 {
		most = min(most, int(mb*(1<<20))/16) // the write-ahead log holds as much again
	}
	if loop.raft.CompactableEntries() < 6000 && l.logSizeBytes < most {
		return
	}
	data, err := l.store.Snapshot()
	if err != nil {
		l.logger.Error("snapshot failed", "error", err)
		l.logSizeBytes = 0
		return
	}
	s, ok := loop.raft.Compact(loop.raft.AppliedIndex(), data)
	l.logSizeBytes = 0
	if ok {
		l.writer.submit(writeRequest{compactedSnapshot: &s})
	}
}

// Close stops the node at once and gives its disk and port back.
func (l *Node) Close() {
	l.close()
	<-l.listenerDone
}

// callTarget is whom a call goes to: the leader's address, or none, and what is closed when
// another leads.
type callTarget struct {
	addr          string
	leaderChanged chan struct{}
}

// startAtLeader runs f, which gives the leader's address, on the event loop.
func (l *Node) startAtLeader(f func(*loopState) string) (callTarget, error) {
	return callLoop(l.loop, func(loop *loopState) callTarget { return callTarget{f(loop), loop.leaderChanged} })
}

// waitToRetry tells whether a call that met no leader waits a moment and tries once more.
// A node that has been out of touch for long says so at once.
func (l *Node) waitToRetry(end time.Time) bool {
	if time.Until(end) < l.timing.RequestTimeout/2 || l.sinceLastContact() > 2*l.timing.RequestTimeout {
		return false
	}
	time.Sleep(l.timing.TickInterval)
	return true
}

// Propose puts a command through the log, here or at the leader, within Timing.Answer. An
// error of kind Unavailable promises that nothing was done and never will be; one of
// kind Unknown promises nothing.
//
// A command whose leader went silent, or that stopped leading, is sent once more to
// the next leader, so it may be carried out twice. That is the same as once for each
// kind: a transaction asks for revisions that it changes itself, a put is known by
// its value, a begin and a renewal by their holder, to finish twice does nothing
// more, a number drawn twice leaves a gap, an account's records have numbers.
func (l *Node) Propose(cmd registry.Command) (registry.Result, error) {
	end := time.Now().Add(l.timing.RequestTimeout)
	var data []byte
	unknown := false
	for {
		done := make(chan outcome, 1)
		to, err := l.startAtLeader(func(loop *loopState) string { return l.proposeOnLoop(loop, cmd, done) })
		if err != nil {
			return registry.Result{}, err
		}
		switch to.addr {
		case l.self.Addr:
			r, err := l.awaitOutcome(done, to.leaderChanged, end)
			if apierror.KindOf(err) == apierror.UnknownOutcome {
				l.metrics.proposalsUnknown.Inc()
			}
			if err == nil || apierror.KindOf(err) != apierror.Unavailable {
				return r, err
			}
		case "":
		default:
			if data == nil {
				data = registry.EncodeCommand(cmd)
			}
			ans, sent, err := l.peers.call(to, &transport.Request{Command: data}, time.Until(end))
			if err == nil && !ans.Failed {
				return ans.Result, nil
			}
			unknown = unknown || err != nil && sent || err == nil && ans.Kind == apierror.UnknownOutcome
			if err == nil && ans.Kind != apierror.Unavailable && ans.Kind != apierror.UnknownOutcome {
				return registry.Result{}, &apierror.Error{Kind: ans.Kind, Detail: ans.Detail}
			}
		}
		if l.waitToRetry(end) {
			continue
		}
		if unknown {
			l.metrics.proposalsUnknown.Inc()
			return registry.Result{}, apierror.New(apierror.UnknownOutcome, "the leader did not answer")
		}
		return registry.Result{}, apierror.New(apierror.Unavailable, "no leader")
	}
}

// awaitOutcome waits for what becomes of an entry of this node's log. When this node stops
// leading, the next leader's log mostly tells soon.
func (l *Node) awaitOutcome(done chan outcome, turned chan struct{}, end time.Time) (registry.Result, error) {
	t := time.NewTimer(time.Until(end))
	defer t.Stop()
	for {
		select {
		case o := <-done:
			return o.result, o.err
		case <-turned:
			turned = nil
			t.Reset(min(time.Until(end), l.timing.ElectionTimeout))
		case <-t.C:
			return registry.Result{}, apierror.New(apierror.UnknownOutcome, "no majority in time")
		}
	}
}

// proposeOnLoop runs in the actor. It gives the leader's address.
func (l *Node) proposeOnLoop(loop *loopState, cmd registry.Command, done chan outcome) string {
	if loop.raft.Role() != raft.Leader {
		return l.peers.addrOf(loop.raft.LeaderID())
	}
	if c := cmd.Coordination; c != nil && c.Operation == coordination.AcquireLock {
		cmd.Coordination = l.leases.withExpiredGrant(l.now(), c, l.store.Coordination().Locks)
	}
	index, term, ok := loop.raft.Propose(registry.EncodeCommand(cmd))
	if !ok {
		return ""
	}
	l.metrics.proposals.Inc()
	l.pendingProposals[index] = pendingProposal{term, done}
	return l.self.Addr
}

// ReadIndex returns once this node's state holds all that was acknowledged before
// the call (ReadIndex), within Timing.Answer; its errors are of kind Unavailable.
func (l *Node) ReadIndex() error { return l.readIndexWithin(l.timing.RequestTimeout) }

func (l *Node) readIndexWithin(within time.Duration) error {
	end := time.Now().Add(within)
	for {
		done := make(chan outcome, 1)
		to, err := l.startAtLeader(func(loop *loopState) string { return l.readIndexOnLoop(loop, done) })
		if err != nil {
			return err
		}
		switch to.addr {
		case l.self.Addr:
			r, err := l.awaitOutcome(done, to.leaderChanged, end)
			if err == nil {
				return l.waitApplied(r.Revision, time.Until(end))
			}
			l.metrics.readsUnconfirmed.Inc()
		case "":
		default:
			ans, _, err := l.peers.call(to, &transport.Request{Read: true}, min(time.Until(end), l.timing.RequestTimeout))
			if err == nil && !ans.Failed {
				return l.waitApplied(ans.Index, time.Until(end))
			}
		}
		if !l.waitToRetry(end) {
			return apierror.New(apierror.Unavailable, "no confirmed read point")
		}
	}
}

func (l *Node) readIndexOnLoop(loop *loopState, done chan outcome) string {
	if loop.raft.Role() != raft.Leader {
		return l.peers.addrOf(loop.raft.LeaderID())
	}
	l.lastReadID++
	l.pendingReads[l.lastReadID] = done
	loop.raft.ReadIndex(l.lastReadID)
	return l.self.Addr
}

func (l *Node) waitApplied(index uint64, left time.Duration) error {
	ch := make(chan struct{}, 1)
	l.mu.Lock()
	if l.appliedIndex >= index {
		l.mu.Unlock()
		return nil
	}
	l.applyWaiters[ch] = index
	l.mu.Unlock()
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-ch:
		return nil
	case <-t.C:
		l.mu.Lock()
		delete(l.applyWaiters, ch)
		l.mu.Unlock()
		return apierror.New(apierror.Unavailable, "this node lags behind")
	}
}

// isUpToDate tells whether this node holds all that was acknowledged anywhere up to two
// election time-outs ago, and so whether others may count on it. A node that has just
// started does not, however young it is.
func (l *Node) isUpToDate() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.consensus.lastContact != 0 && l.now()-l.consensus.lastContact <= 2*l.timing.ElectionTimeout
}

// sinceLastContact is for how long this node has not been in touch with a majority, or has
// not applied what the majority holds; at most since its start.
func (l *Node) sinceLastContact() time.Duration {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.now() - l.consensus.lastContact
}

// storedConfiguration reads what is held. The caller has the node's lock.
func (l *Node) storedConfiguration() (version uint64, text []byte, ok bool) {
	o, _ := l.store.Get(registry.ConfigKey)
	return registry.DecodeConfig(o)
}
