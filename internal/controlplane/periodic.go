package controlplane

import (
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/config"
	"lichentray/coordination"
	"lichentray/internal/apierror"
	"lichentray/internal/transport"
	"lichentray/loadbalance"
	"lichentray/raft"
	"lichentray/registry"
	"lichentray/rollout"
)

// runPeriodicTasks are what the actor does by the clock.
func (l *Node) runPeriodicTasks(loop *loopState) {
	now := l.now()
	l.adjustMembership(loop, now)
	if now-loop.periodicTasksAt < 4*l.timing.HeartbeatInterval {
		return
	}
	loop.periodicTasksAt = now
	l.publishConsensus(loop) // this very tick may have made the node the leader
	l.recordRevisionTime(loop, now)
	l.reportHeartbeats(loop, now)
	l.exchangeReports(loop, now)
	ms := loop.raft.Membership()
	if loop.raft.Role() != raft.Leader {
		// A voter without a leader for long may have been replaced meanwhile.
		if !ms.IsMember(l.self.ID) || (loop.raft.LeaderID() == 0 && (!ms.IsVoter(l.self.ID) || now-loop.raft.LastQuorumContact() > l.timing.DeadMemberTimeout)) {
			l.requestJoin(ms)
		}
		return
	}
	l.checkEndpointLiveness(loop, now)
	l.expireProxies(loop, now)
	l.finishZoneReturns(loop, now)
	l.advanceRollouts(loop, now)
	l.trimHistory(loop, now)
}

// recordRevisionTime remembers which revision was reached when.
func (l *Node) recordRevisionTime(loop *loopState, now time.Duration) {
	if n := len(l.revisionTimes); n == 0 || now-l.revisionTimes[n-1].at >= time.Second {
		l.revisionTimes = append(l.revisionTimes, revisionTime{now, l.store.Revision()})
	}
}

// maxAcceptedDigests is for how many versions it is remembered what was taken under them:
// a day and a half of 5,500 changes a day, some 200 bytes each.
const maxAcceptedDigests = 8192

// trimHistory forgets history that nobody may ask for any more.
func (l *Node) trimHistory(loop *loopState, now time.Duration) {
	keep := l.settings.Bounds.HistoryRetention.Duration() * 3 / 2
	if now-l.historyTrimmedAt < keep/4 {
		return
	}
	var before uint64
	i := 0
	for i < len(l.revisionTimes) && now-l.revisionTimes[i].at > keep {
		before = l.revisionTimes[i].revision
		i++
	}
	if i == 0 {
		return
	}
	l.revisionTimes = append([]revisionTime(nil), l.revisionTimes[i:]...)
	l.historyTrimmedAt = now
	loop.raft.Propose(registry.EncodeCommand(registry.Command{Coordination: &coordination.Command{Operation: coordination.CompactHistory, CompactBefore: before}}))
	// Signs of the departed are kept as long as the history.
	var drop registry.Txn
	forget := func(o registry.Object) {
		drop.If = append(drop.If, registry.Compare{Key: o.Key, ModRevision: o.ModRevision})
		drop.Then = append(drop.Then, registry.Write{Key: o.Key, IsDelete: true})
	}
	for _, o := range l.store.List(registry.DepartedPrefix) {
		if o.ModRevision <= before {
			forget(o)
		}
	}
	// So are digests of configurations, by number.
	if marks := l.store.List(registry.AcceptedConfigPrefix); len(marks) > maxAcceptedDigests {
		for _, o := range marks[:len(marks)-maxAcceptedDigests] {
			forget(o)
		}
	}
	if len(drop.Then) > 0 {
		loop.raft.Propose(registry.EncodeCommand(registry.Command{Txn: &drop}))
	}
}

// reportHeartbeats sends the liveness seen here to the leader.
func (l *Node) reportHeartbeats(loop *loopState, now time.Duration) {
	l.mu.Lock()
	beats := l.heartbeatsToReport
	if len(beats) == 0 {
		l.mu.Unlock()
		return
	}
	l.heartbeatsToReport = map[string]time.Duration{}
	l.mu.Unlock()
	if loop.raft.Role() == raft.Leader {
		for id, at := range beats {
			l.endpointLastSeen[id] = max(l.endpointLastSeen[id], at)
		}
		return
	}
	var out []transport.Heartbeat
	for id, at := range beats {
		out = append(out, transport.Heartbeat{ID: id, AgoMS: uint32((now - at).Milliseconds())})
	}
	l.peers.enqueue(l.peers.addrOf(loop.raft.LeaderID()), &transport.Frame{Beats: out})
}

// exchangeReports lets every node know how many proxies there are, and what they
// ask of each service together.
func (l *Node) exchangeReports(loop *loopState, now time.Duration) {
	loads := map[string]loadbalance.Load{}
	here := map[string]uint64{}
	trials := map[string]transport.RolloutReport{}
	l.mu.Lock()
	for s := range l.proxySessions {
		if now-s.reportedAt > l.timing.DeadMemberTimeout {
			continue // frozen, most likely
		}
		here[s.proxyName] = max(here[s.proxyName], s.reportSequence)
		mergeLoads(loads, s.loads)
		mergeTrialProgress(trials, s.trials)
	}
	for service, t := range l.trialEvidence {
		if r := l.rollouts[registry.RolloutPrefix+service]; r != nil && (r.OrderNumber > t.Order || r.OrderNumber == t.Order && r.State != rollout.InProgress) {
			delete(l.trialEvidence, service)
			continue
		}
		t.Proxies, t.Stage, t.AtBase = 0, 0, 0
		if g := trials[service]; g.Order == t.Order {
			t.Proxies, t.Stage, t.AtBase = g.Proxies, g.Stage, g.AtBase
		}
		t.Evidence = t.Evidence.Clone()
		trials[service] = t
	}
	seen := l.observationsToReport
	l.observationsToReport = map[string]loadbalance.Observation{}
	l.mu.Unlock()
	if loop.raft.Role() != raft.Leader {
		l.peers.enqueue(l.peers.addrOf(loop.raft.LeaderID()), &transport.Frame{Proxies: &transport.ProxyAggregate{Here: here, Loads: loads, Seen: seen, Trials: trials, Life: l.incarnation}})
		return
	}
	for name := range here {
		l.proxyLastSeen[name] = now
	}
	l.recordTrials(l.incarnation, trials)
	for id, c := range l.nodeReports {
		if now-c.receivedAt > l.timing.DeadMemberTimeout {
			delete(l.nodeReports, id)
			continue
		}
		for name, seq := range c.reportSequences {
			here[name] = max(here[name], seq)
		}
		mergeLoads(loads, c.loads)
		l.recordTrials(c.incarnation, c.trials)
		mergeTrialProgress(trials, c.trials)
	}
	l.trialProgress = trials
	rounds := l.grantQuotas(loop, now, here)
	l.outlierJudge.Observe(seen)
	verdicts := l.outlierJudge.Verdicts(now, l.endpointsByService())
	l.mu.Lock()
	l.proxyCount, l.serviceLoads, l.quotaRounds, l.outlierVerdicts = len(here), loads, rounds, verdicts
	l.mu.Unlock()
	for _, m := range loop.raft.Membership().AllMembers() {
		l.peers.enqueue(m.Addr, &transport.Frame{Proxies: &transport.ProxyAggregate{Sum: len(here), Loads: loads, Rounds: rounds, Verdicts: verdicts}})
	}
}

// endpointsByService lists the endpoints of each service.
func (l *Node) endpointsByService() map[string][]string {
	out := map[string][]string{}
	for _, e := range l.endpoints {
		out[e.Service] = append(out[e.Service], e.ID)
	}
	return out
}

func mergeObservations(to, from map[string]loadbalance.Observation) {
	for id, x := range from {
		to[id] = to[id].Add(x)
	}
}

func mergeLoads(to, from map[string]loadbalance.Load) {
	for name, x := range from {
		to[name] = to[name].Add(x)
	}
}

// checkEndpointLiveness removes endpoints whose beats stopped and that do not answer a
// health probe either. Only a leader that a majority still hears judges, and
// every endpoint has a fresh grace after a change of leader.
func (l *Node) checkEndpointLiveness(loop *loopState, now time.Duration) {
	if !loop.raft.HasQuorumContact(l.timing.ElectionTimeout) || now-loop.leaderSince < l.timing.EndpointTimeout {
		return
	}
	for _, e := range l.endpoints {
		seen, ok := l.endpointLastSeen[e.ID]
		if !ok {
			// First seen by this leader now.
			l.endpointLastSeen[e.ID] = now
			continue
		}
		if now-seen <= l.timing.EndpointTimeout || l.healthChecksInFlight[e.ID] {
			continue
		}
		l.healthChecksInFlight[e.ID] = true
		o, _ := l.store.Get(e.Key())
		go l.checkEndpointHealth(o, e)
	}
	for id := range l.endpointLastSeen {
		if _, known := l.endpoints[registry.EndpointPrefix+id]; !known && now-l.endpointLastSeen[id] > l.timing.EndpointTimeout {
			delete(l.endpointLastSeen, id)
		}
	}
}

func (l *Node) healthCheckPath(service string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, _ := l.clusterConfig(service)
	return c.HealthPath
}

// checkEndpointHealth asks an endpoint whose beats stopped for its health, and removes it
// if it is not there.
func (l *Node) checkEndpointHealth(o registry.Object, e registry.Endpoint) {
	path := l.healthCheckPath(e.Service)
	there := path != "" && isEndpointHealthy(e, path, l.timing.ConnectionTimeout)
	l.metrics.healthChecks().Inc()
	defer l.loop.post(func(loop *loopState) {
		delete(l.healthChecksInFlight, e.ID)
		if there {
			l.endpointLastSeen[e.ID] = l.now()
		}
	})
	if there {
		return
	}
	done := make(chan outcome, 1)
	remove := func(loop *loopState) string {
		if l.now()-l.endpointLastSeen[e.ID] <= l.timing.EndpointTimeout {
			return "" // it has beaten in the meantime
		}
		return l.proposeOnLoop(loop, registry.Command{Txn: &registry.Txn{
			If:   []registry.Compare{{Key: o.Key, ModRevision: o.ModRevision}},
			Then: []registry.Write{{Key: o.Key, IsDelete: true}},
		}}, done)
	}
	if a := l.answerAsLeader(0, remove, done); !a.Failed && !a.Result.Conflict {
		l.metrics.endpointsRemoved.Inc()
		l.logger.Info("endpoint removed, no beats and no answer to a probe", "endpoint", e.ID, "service", e.Service)
	}
}

func isEndpointHealthy(e registry.Endpoint, path string, wait time.Duration) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + e.Address + path)
	req.Header.Set("X-Target-Instance", e.ID)
	req.SetConnectionClose()
	c := fasthttp.HostClient{
		Addr: e.Address, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 64 << 10,
		Dial: func(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, wait) },
	}
	if err := c.DoTimeout(req, resp, wait); err != nil {
		return false
	}
	id := string(resp.Header.Peek("X-Instance-Id"))
	return id == e.ID || (id == "" && resp.StatusCode() == 200)
}

// transact derives a conditional transaction from what this node holds and
// puts it through; on a conflict it reads again and derives anew. derive gives
// nil when there is nothing to write.
func (l *Node) transact(derive func() (*registry.Txn, error)) (wrote bool, err error) {
	for range 6 {
		l.mu.Lock()
		txn, err := derive()
		l.mu.Unlock()
		if txn == nil || err != nil {
			return false, err
		}
		r, err := l.Propose(registry.Command{Txn: txn})
		if err != nil {
			return false, err
		}
		if !r.Conflict {
			return true, nil
		}
		if err := l.ReadIndex(); err != nil {
			return false, err
		}
	}
	return false, apierror.New(apierror.Unavailable, "the object changes too often")
}

// Heartbeat takes a heartbeat of an endpoint.
func (l *Node) Heartbeat(e registry.Endpoint) error {
	l.metrics.heartbeats.Inc()
	gone := registry.DepartedPrefix + e.ID
	astray := l.sinceLastContact() > l.timing.ConnectionTimeout
	_, err := l.transact(func() (*registry.Txn, error) {
		if _, departed := l.store.Get(gone); departed {
			return nil, nil // a late beat of a life that has signed off
		}
		l.heartbeatsToReport[e.ID] = l.now()
		o, known := l.store.Get(e.Key())
		// A node that has just started may not hold the configuration yet that
		// bounds the service's cold endpoints, so all are marked.
		e.WarmingUp = e.WarmUpSeconds > 0 && l.settings.Bounds.SlowStartOvershoot > 0
		if !known {
			txn := &registry.Txn{
				If:   []registry.Compare{{Key: e.Key()}, {Key: gone}},
				Then: []registry.Write{{Key: e.Key(), Value: e.Encode()}},
			}
			l.addBaseVersion(txn, e)
			return txn, nil
		}
		old, err := registry.DecodeEndpoint(o)
		if err != nil {
			return nil, apierror.New(apierror.Internal, "%v", err)
		}
		if old.Draining || (!e.Draining && (old.WarmingUp == e.WarmingUp || e.Sequence < old.Sequence)) {
			if astray && !old.Draining {
				// The leader would not hear of it and think the endpoint dead.
				return nil, apierror.New(apierror.Unavailable, "this node has lost touch")
			}
			return nil, nil // an ordinary beat, or a late one: no write
		}
		old.Draining, old.Sequence, old.WarmingUp = e.Draining, e.Sequence, e.WarmingUp
		return &registry.Txn{
			If:   []registry.Compare{{Key: e.Key(), ModRevision: o.ModRevision}},
			Then: []registry.Write{{Key: e.Key(), Value: old.Encode()}},
		}, nil
	})
	return err
}

// Deregister removes an endpoint for good.
func (l *Node) Deregister(id string) error {
	key, gone := registry.EndpointPrefix+id, registry.DepartedPrefix+id
	_, err := l.transact(func() (*registry.Txn, error) {
		if _, departed := l.store.Get(gone); departed {
			return nil, nil
		}
		o, known := l.store.Get(key)
		txn := &registry.Txn{
			If:   []registry.Compare{{Key: key, ModRevision: o.ModRevision}, {Key: gone}},
			Then: []registry.Write{{Key: gone, Value: []byte{}}},
		}
		if known {
			txn.Then = append(txn.Then, registry.Write{Key: key, IsDelete: true})
		}
		return txn, nil
	})
	return err
}

// validateConfiguration reads and checks a configuration, one at a time: to check one of 2000
// routes takes some ten megabytes and longer than a storm leaves between two, and
// whoever has waited for too long is better off at another node.
func (l *Node) validateConfiguration(text []byte) (*config.Configuration, error) {
	wait := time.NewTimer(l.timing.RequestTimeout)
	defer wait.Stop()
	select {
	case l.validationSlot <- struct{}{}:
		defer func() { <-l.validationSlot }()
		return config.Parse(text)
	case <-wait.C:
		l.metrics.configsDeferred.Inc()
		return nil, apierror.New(apierror.Unavailable, "too many configurations at once")
	}
}

// ReplaceConfiguration takes a whole configuration.
func (l *Node) ReplaceConfiguration(text []byte) error {
	c, err := l.validateConfiguration(text)
	if apierror.KindOf(err) == apierror.Unavailable {
		return err
	}
	if err != nil {
		return apierror.New(apierror.InvalidConfiguration, "%v", err)
	}
	wrote, err := l.transact(func() (*registry.Txn, error) {
		// What is judged is committed, if not the newest: that a content was taken
		// under a version stays true, and to take one asks for the newest.
		txn, err := l.store.BuildConfigTxn(c.Version, text)
		if err != nil {
			return nil, apierror.New(apierror.Conflict, "%v", err)
		}
		return txn, nil
	})
	if apierror.KindOf(err) == apierror.Conflict {
		l.metrics.configConflicts.Inc()
	}
	if wrote {
		l.logger.Info("configuration acknowledged", "version", c.Version)
	}
	return err
}

// Configuration reads the newest configuration, whole.
func (l *Node) Configuration() ([]byte, error) {
	if err := l.ReadIndex(); err != nil {
		return nil, err
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, text, ok := l.storedConfiguration()
	if !ok {
		return nil, apierror.New(apierror.NotFound, "no configuration yet")
	}
	return text, nil
}

// Cell reads a cell behind a read point.
func (l *Node) Cell(name string) (coordination.Cell, error) {
	if err := l.ReadIndex(); err != nil {
		return coordination.Cell{}, err
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	c, ok := l.store.Coordination().Cells[name]
	if !ok {
		return c, apierror.New(apierror.NotFound, "no cell %q", name)
	}
	return c, nil
}

// watchDescriptorDivisor is the part of the descriptors that waiting watches may take.
const watchDescriptorDivisor = 4

// Watch waits for puts in a group above after.
func (l *Node) Watch(group string, after uint64, wait time.Duration) ([]coordination.Event, uint64, error) {
	if err := l.ReadIndex(); err != nil {
		return nil, 0, err
	}
	l.mu.RLock()
	newest := l.store.Coordination().GroupRevision(group)
	l.mu.RUnlock()
	switch {
	case after == 0:
		return nil, newest, nil
	case after > newest:
		return nil, 0, apierror.New(apierror.BadRequest, "after: %d is above %d, the newest revision of %q", after, newest, group)
	}
	ch := make(chan struct{}, 1)
	l.mu.Lock()
	if l.groupWatcherCount >= l.settings.Limits.MaxOpenFiles/watchDescriptorDivisor {
		l.mu.Unlock()
		return nil, 0, apierror.New(apierror.Overloaded, "too many watches wait here")
	}
	l.groupWatcherCount++
	if l.groupWatchers[group] == nil {
		l.groupWatchers[group] = map[chan struct{}]struct{}{}
	}
	l.groupWatchers[group][ch] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.groupWatcherCount--
		delete(l.groupWatchers[group], ch)
		if len(l.groupWatchers[group]) == 0 {
			delete(l.groupWatchers, group)
		}
		l.mu.Unlock()
	}()
	end := time.NewTimer(wait)
	defer end.Stop()
	check := time.NewTicker(l.timing.ElectionTimeout / 2)
	defer check.Stop()
	for {
		l.mu.RLock()
		events, rev, ok := l.store.Coordination().EventsSince(group, after)
		l.mu.RUnlock()
		if !ok {
			return nil, rev, apierror.New(apierror.RevisionExpired, "after %d", after)
		}
		if len(events) > 0 {
			return events, rev, nil
		}
		select {
		case <-ch:
		case <-end.C:
			return nil, max(rev, after), nil
		case <-check.C:
			if !l.isUpToDate() || l.isStopping.Load() {
				return nil, 0, apierror.New(apierror.Unavailable, "this node has lost touch")
			}
		case <-l.ctx.Done():
			return nil, 0, apierror.New(apierror.Unavailable, "node is stopping")
		}
	}
}

func (l *Node) seedAddresses() []string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.settings.SeedNodes
}

// SetSeeds takes the seed addresses of a settings file that has changed.
func (l *Node) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings.SeedNodes = seeds
	l.logger.Info("settings read again", "seeds", fmt.Sprint(seeds))
}
