package controlplane

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand"
	"time"

	"lichentray/internal/api"
	"lichentray/internal/discovery"
	"lichentray/internal/metrics"
	"lichentray/internal/settings"
	"lichentray/internal/storage"
	"lichentray/loadbalance"
	"lichentray/raft"
)

// Start opens the store and the internal port and runs a node. The caller must stop it with
// Close. If the store cannot be opened, Start retries for some seconds; a store with unreadable
// state is set aside, and the node joins the group as a new member. guard bounds the connections of
// the internal port.
func Start(set *settings.Settings, logger *slog.Logger, metricsRegistry *metrics.Registry, guard *api.Guard) (*Node, error) {
	env := newEnvironment(set, logger, newNodeMetrics(metricsRegistry))
	node, err := startNode(env, guard)
	if err != nil {
		env.close()
		return nil, err
	}
	return node, nil
}

func newEnvironment(set *settings.Settings, logger *slog.Logger, nodeMetrics *nodeMetrics) *environment {
	ctx, cancel := context.WithCancel(context.Background())
	return &environment{
		settings:    set,
		timing:      DeriveTiming(set),
		logger:      logger,
		metrics:     nodeMetrics,
		startedAt:   time.Now(),
		incarnation: rand.Uint64(),
		ctx:         ctx,
		cancel:      cancel,
	}
}

func startNode(env *environment, guard *api.Guard) (_ *Node, err error) {
	state := newSharedState(env)
	disk, err := openStore(env, state)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			disk.store.Close()
		}
	}()
	env.self = raft.Member{
		ID:        disk.memberID,
		Addr:      disk.addr,
		API:       env.settings.Listen.Control,
		Uncounted: !env.settings.QuorumMember,
		Storage:   storageOf(env.settings),
	}
	node := newNode(env, state, disk.store)
	loop := node.restore(disk.saved)
	listener, err := guard.Listen(env.settings.BindAddr(env.self.Addr), api.InternalListener)
	if err != nil {
		return nil, fmt.Errorf("internal port: %w", err)
	}
	env.logger.Info("started", "member", formatMemberID(env.self.ID), "new", disk.isNew, "last_index", loop.raft.LastIndex())
	node.run(listener, loop)
	return node, nil
}

// storageOf returns the type of storage in which a node keeps its log.
func storageOf(set *settings.Settings) raft.Storage {
	if set.DataDirectory == "" {
		return raft.StorageMemory
	}
	return raft.StorageDisk
}

// nodeStore is a node's opened store and the state read from it at start.
type nodeStore struct {
	store    *storage.Store
	memberID uint64
	isNew    bool // the member ID was generated at this start
	saved    raft.PersistentState
	addr     string // this node's internal address
}

// maxOpenAttempts is the maximum number of attempts to open the store. They are half an
// election timeout apart.
const maxOpenAttempts = 21

// openStore opens the store and restores its snapshot into state. At the first start of a
// deployment a seed node also writes the initial membership.
func openStore(env *environment, state *sharedState) (*nodeStore, error) {
	d := &nodeStore{addr: env.settings.InternalAddr(env.settings.Listen.Control)}
	seeds := seedMembership(env.settings)
	var bootstrapID uint64
	if env.settings.Bootstrap && seeds.IsMember(seedMemberID(d.addr)) {
		bootstrapID = seedMemberID(d.addr)
	}
	identity, err := d.open(env, state, bootstrapID)
	if err != nil {
		return nil, fmt.Errorf("open store: %w", err)
	}
	if identity.DiscardReason != nil {
		env.logger.Error("store is unreadable and was set aside; joining as a new member", "cause", identity.DiscardReason)
	}
	d.memberID = identity.ID
	d.isNew = identity.IsNew
	if bootstrapID != 0 && identity.ID == bootstrapID && isUninitialized(&d.saved) {
		d.saved.Snapshot.Members = seeds
		if err := d.store.Save(nil, &d.saved.Snapshot, false, nil); err != nil {
			d.store.Close()
			return nil, fmt.Errorf("bootstrap: %w", err)
		}
	}
	return d, nil
}

// open opens the store, with retries because a disk may fail for some seconds and recover.
func (d *nodeStore) open(env *environment, state *sharedState, bootstrapID uint64) (identity storage.Identity, err error) {
	restore := func(saved raft.PersistentState) error {
		if saved.Snapshot.Data == nil {
			return nil
		}
		return state.replicated.store.Restore(saved.Snapshot.Data)
	}
	for attempt := 1; ; attempt++ {
		d.store, identity, d.saved, err = storage.Open(env.settings.DataDirectory, bootstrapID, restore)
		if err == nil || attempt == maxOpenAttempts {
			return identity, err
		}
		env.metrics.diskFailures.Inc()
		time.Sleep(env.timing.ElectionTimeout / 2)
	}
}

// isUninitialized reports whether a store holds no group state yet.
func isUninitialized(saved *raft.PersistentState) bool {
	return saved.HardState.Term == 0 && len(saved.Entries) == 0 && len(saved.Snapshot.Members.AllMembers()) == 0
}

// seedMembership returns the initial membership of a group: its seed nodes. All seeds must
// write the same one, so it does not contain the description of any member; each seed describes
// itself later, see membershipManager.joinIfNeeded.
func seedMembership(set *settings.Settings) raft.Membership {
	var membership raft.Membership
	for _, api := range set.SeedNodes {
		addr := set.InternalAddr(api)
		member := raft.Member{ID: seedMemberID(addr), Addr: addr, API: api}
		if !membership.IsMember(member.ID) {
			membership.Voters = append(membership.Voters, member)
		}
	}
	return membership
}

// seedMemberID derives a seed node's first member ID from its internal address, so that all
// seeds write the same initial membership. IDs generated later have the highest bit set.
func seedMemberID(addr string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(addr))
	return h.Sum64()&^(1<<63) | 1
}

// newNode creates the components of a node and connects them. env.self must be set.
func newNode(env *environment, state *sharedState, store durableStore) *Node {
	n := &Node{
		environment: env,
		loop:        newEventLoop(env),
		state:       state,
		consensus:   &consensusView{env: env},
		peers:       newPeerPool(env),
		writer:      newLogWriter(env, store),
		history:     &historyCompactor{environment: env, state: state},
		quotas:      &quotaAllocator{environment: env, state: state},
	}
	n.proposer = &proposer{
		environment: env,
		loop:        n.loop,
		peers:       n.peers,
		state:       state,
		consensus:   n.consensus,
	}
	n.membership = &membershipManager{
		environment:  env,
		loop:         n.loop,
		peers:        n.peers,
		consensus:    n.consensus,
		seeds:        env.settings.SeedNodes,
		formation:    newFormation(env.settings),
		joinRejected: make(chan struct{}),
	}
	n.createServices()
	n.createServers()
	n.connectCallbacks()
	return n
}

// createServices creates the components that execute calls.
func (n *Node) createServices() {
	n.rollouts = newRolloutController(n.environment, n.state, n.proposer)
	n.health = &healthMonitor{
		environment:  n.environment,
		loop:         n.loop,
		state:        n.state,
		peers:        n.peers,
		proposer:     n.proposer,
		consensus:    n.consensus,
		rollouts:     n.rollouts,
		heartbeats:   map[string]time.Duration{},
		observations: map[string]loadbalance.Observation{},
	}
	n.directory = &proxyDirectory{
		environment: n.environment,
		state:       n.state,
		consensus:   n.consensus,
		proposer:    n.proposer,
	}
	n.evacuations = &zoneEvacuator{
		environment: n.environment,
		state:       n.state,
		proposer:    n.proposer,
	}
	n.configs = &configurationStore{
		environment:    n.environment,
		state:          n.state,
		proposer:       n.proposer,
		validationSlot: make(chan struct{}, 1),
	}
	n.groups = &groupWatchers{
		environment: n.environment,
		state:       n.state,
		consensus:   n.consensus,
		proposer:    n.proposer,
		byGroup:     map[string]*groupWaiters{},
	}
	n.audit = &auditSink{environment: n.environment, state: n.state, proposer: n.proposer}
}

// createServers creates the components that serve other processes.
func (n *Node) createServers() {
	n.watches = &watchServer{
		environment: n.environment,
		state:       n.state,
		consensus:   n.consensus,
		peers:       n.peers,
		proposer:    n.proposer,
		health:      n.health,
		rollouts:    n.rollouts,
		directory:   n.directory,
		audit:       n.audit,
		sessions:    map[*proxySession]struct{}{},

		isCoreDiskless: n.membership.isCoreDiskless,
	}
	n.reports = &reportAggregator{
		environment: n.environment,
		peers:       n.peers,
		watches:     n.watches,
		health:      n.health,
		rollouts:    n.rollouts,
		quotas:      n.quotas,
	}
	n.server = &connectionServer{
		environment: n.environment,
		loop:        n.loop,
		peers:       n.peers,
		consensus:   n.consensus,
		proposer:    n.proposer,
		membership:  n.membership,
		health:      n.health,
		reports:     n.reports,
		watches:     n.watches,
	}
	n.announcer = discovery.NewAnnouncer(discovery.AnnouncerConfig{
		NodeName:      n.settings.NodeName,
		OwnAddr:       n.self.Addr,
		ContactWindow: n.settings.Bounds.ContactWindow.Duration(),
		SeedAddrs:     n.membership.seedAddrs,
		Core:          n.watches.upToDateCore,
		Metrics:       n.metrics.registry,
	})
}

// connectCallbacks sets the callbacks through which components report to consensus or to the
// membership manager.
func (n *Node) connectCallbacks() {
	n.writer.send = n.peers.sendMessages
	n.writer.reportPersisted = func(index, term uint64) {
		n.loop.post(func(state *loopState) { state.raft.ReportPersisted(index, term) })
	}
	n.peers.onControlNodes = n.membership.setAnnouncedNodes
	n.peers.onLogReconnected = func(addr string) {
		n.loop.post(func(state *loopState) { reportReconnected(state, addr) })
	}
}

// reportReconnected makes consensus resend what was in flight to the member at an address.
func reportReconnected(state *loopState, addr string) {
	for _, m := range state.raft.Membership().AllMembers() {
		if m.Addr == addr {
			state.raft.ReportReconnected(m.ID)
		}
	}
}

// restore derives the node's state from the contents of its store and returns the state of the
// event loop.
func (n *Node) restore(saved raft.PersistentState) *loopState {
	replicated := &n.state.replicated
	replicated.watchCache.Reset(replicated.store.Revision())
	replicated.rebuild()
	replicated.appliedIndex = saved.Snapshot.Index
	snapshots := &snapshotter{env: n.environment}
	for _, entry := range saved.Entries {
		snapshots.countEntry(entry)
	}
	node := raft.New(raft.Config{
		ID:                n.self.ID,
		HeartbeatInterval: n.timing.HeartbeatInterval,
		ElectionTimeout:   n.timing.ElectionTimeout,
		RandInt63n:        rand.Int63n,
		ValidateSnapshot:  snapshots.restoreReceived,
	}, 0, saved)
	n.peers.setMembership(node.Membership())
	planner := newMembershipPlanner(n.self, n.settings, n.timing, n.membership.failureDomainOf)
	state := newLoopState(node, snapshots, planner)
	state.leases.Restart(0, replicated.store.Coordination().Locks)
	return state
}
