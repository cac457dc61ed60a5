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

// duties are what the actor does by the clock.
func (l *Lathe) duties() {
	now := l.now()
	l.tendMembers(now)
	if now-l.checkedAt < 4*l.timing.Heartbeat {
		return
	}
	l.checkedAt = now
	l.publish() // this very tick may have made the node the leader
	l.noteTime(now)
	l.reportBeats(now)
	l.countProxies(now)
	ms := l.node.Membership()
	if l.node.Role() != raft.Leader {
		// A voter without a leader for long may have been replaced meanwhile.
		if !ms.IsMember(l.self.ID) || (l.node.LeaderID() == 0 && (!ms.IsVoter(l.self.ID) || now-l.node.LastQuorumContact() > l.timing.Dead)) {
			l.join(ms)
		}
		return
	}
	l.findCrashed(now)
	l.dropProxies(now)
	l.endReturns(now)
	l.guideRollouts(now)
	l.trim(now)
}

// noteTime remembers which revision was reached when.
func (l *Lathe) noteTime(now time.Duration) {
	if n := len(l.marks); n == 0 || now-l.marks[n-1].at >= time.Second {
		l.marks = append(l.marks, mark{now, l.store.Revision()})
	}
}

// acceptedMost is for how many versions it is remembered what was taken under them:
// a day and a half of 5,500 changes a day, some 200 bytes each.
const acceptedMost = 8192

// trim forgets history that nobody may ask for any more.
func (l *Lathe) trim(now time.Duration) {
	keep := l.set.Bounds.HistoryRetention.Duration() * 3 / 2
	if now-l.trimAt < keep/4 {
		return
	}
	var before uint64
	i := 0
	for i < len(l.marks) && now-l.marks[i].at > keep {
		before = l.marks[i].revision
		i++
	}
	if i == 0 {
		return
	}
	l.marks = append([]mark(nil), l.marks[i:]...)
	l.trimAt = now
	l.node.Propose(registry.EncodeCommand(registry.Command{Coordination: &coordination.Command{Operation: coordination.CompactHistory, CompactBefore: before}}))
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
	if marks := l.store.List(registry.AcceptedConfigPrefix); len(marks) > acceptedMost {
		for _, o := range marks[:len(marks)-acceptedMost] {
			forget(o)
		}
	}
	if len(drop.Then) > 0 {
		l.node.Propose(registry.EncodeCommand(registry.Command{Txn: &drop}))
	}
}

// reportBeats sends the liveness seen here to the leader.
func (l *Lathe) reportBeats(now time.Duration) {
	l.mu.Lock()
	beats := l.beats
	if len(beats) == 0 {
		l.mu.Unlock()
		return
	}
	l.beats = map[string]time.Duration{}
	l.mu.Unlock()
	if l.node.Role() == raft.Leader {
		for id, at := range beats {
			l.alive[id] = max(l.alive[id], at)
		}
		return
	}
	var out []transport.Heartbeat
	for id, at := range beats {
		out = append(out, transport.Heartbeat{ID: id, AgoMS: uint32((now - at).Milliseconds())})
	}
	l.links.tell(l.links.addr(l.node.LeaderID()), &transport.Frame{Beats: out})
}

// countProxies lets every node know how many proxies there are, and what they
// ask of each service together.
func (l *Lathe) countProxies(now time.Duration) {
	loads := map[string]loadbalance.Load{}
	here := map[string]uint64{}
	trials := map[string]transport.RolloutReport{}
	l.mu.Lock()
	for s := range l.sessions {
		if now-s.at > l.timing.Dead {
			continue // frozen, most likely
		}
		here[s.node] = max(here[s.node], s.seq)
		addLoads(loads, s.loads)
		gauge(trials, s.trials)
	}
	for service, t := range l.tryOuts {
		if r := l.rollouts[registry.RolloutPrefix+service]; r != nil && (r.OrderNumber > t.Order || r.OrderNumber == t.Order && r.State != rollout.InProgress) {
			delete(l.tryOuts, service)
			continue
		}
		t.Proxies, t.Stage, t.AtBase = 0, 0, 0
		if g := trials[service]; g.Order == t.Order {
			t.Proxies, t.Stage, t.AtBase = g.Proxies, g.Stage, g.AtBase
		}
		t.Evidence = t.Evidence.Clone()
		trials[service] = t
	}
	seen := l.seen
	l.seen = map[string]loadbalance.Observation{}
	l.mu.Unlock()
	if l.node.Role() != raft.Leader {
		l.links.tell(l.links.addr(l.node.LeaderID()), &transport.Frame{Proxies: &transport.ProxyAggregate{Here: here, Loads: loads, Seen: seen, Trials: trials, Life: l.life}})
		return
	}
	for name := range here {
		l.proxies[name] = now
	}
	l.takeTrials(l.life, trials)
	for id, c := range l.counts {
		if now-c.at > l.timing.Dead {
			delete(l.counts, id)
			continue
		}
		for name, seq := range c.here {
			here[name] = max(here[name], seq)
		}
		addLoads(loads, c.loads)
		l.takeTrials(c.life, c.trials)
		gauge(trials, c.trials)
	}
	l.trials = trials
	rounds := l.share(now, here)
	l.judge.Observe(seen)
	verdicts := l.judge.Verdicts(now, l.byService())
	l.mu.Lock()
	l.sum, l.loads, l.rounds, l.verdicts = len(here), loads, rounds, verdicts
	l.mu.Unlock()
	for _, m := range l.node.Membership().AllMembers() {
		l.links.tell(m.Addr, &transport.Frame{Proxies: &transport.ProxyAggregate{Sum: len(here), Loads: loads, Rounds: rounds, Verdicts: verdicts}})
	}
}

// byService lists the endpoints of each service.
func (l *Lathe) byService() map[string][]string {
	out := map[string][]string{}
	for _, e := range l.endpoints {
		out[e.Service] = append(out[e.Service], e.ID)
	}
	return out
}

func addSeen(to, from map[string]loadbalance.Observation) {
	for id, x := range from {
		to[id] = to[id].Add(x)
	}
}

func addLoads(to, from map[string]loadbalance.Load) {
	for name, x := range from {
		to[name] = to[name].Add(x)
	}
}

// findCrashed removes endpoints whose beats stopped and that do not answer a
// health probe either. Only a leader that a majority still hears judges, and
// every endpoint has a fresh grace after a change of leader.
func (l *Lathe) findCrashed(now time.Duration) {
	if !l.node.HasQuorumContact(l.timing.Election) || now-l.leadSince < l.timing.Missed {
		return
	}
	for _, e := range l.endpoints {
		seen, ok := l.alive[e.ID]
		if !ok {
			// First seen by this leader now.
			l.alive[e.ID] = now
			continue
		}
		if now-seen <= l.timing.Missed || l.probing[e.ID] {
			continue
		}
		l.probing[e.ID] = true
		o, _ := l.store.Get(e.Key())
		go l.probe(o, e)
	}
	for id := range l.alive {
		if _, known := l.endpoints[registry.EndpointPrefix+id]; !known && now-l.alive[id] > l.timing.Missed {
			delete(l.alive, id)
		}
	}
}

func (l *Lathe) healthPath(service string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, _ := l.cluster(service)
	return c.HealthPath
}

// probe asks an endpoint whose beats stopped for its health, and removes it
// if it is not there.
func (l *Lathe) probe(o registry.Object, e registry.Endpoint) {
	path := l.healthPath(e.Service)
	there := path != "" && probeOnce(e, path, l.timing.Silence)
	l.board.Counter("probes_total").Inc()
	defer l.post(func() {
		delete(l.probing, e.ID)
		if there {
			l.alive[e.ID] = l.now()
		}
	})
	if there {
		return
	}
	done := make(chan outcome, 1)
	remove := func() string {
		if l.now()-l.alive[e.ID] <= l.timing.Missed {
			return "" // it has beaten in the meantime
		}
		return l.propose(registry.Command{Txn: &registry.Txn{
			If:   []registry.Compare{{Key: o.Key, ModRevision: o.ModRevision}},
			Then: []registry.Write{{Key: o.Key, IsDelete: true}},
		}}, done)
	}
	if a := l.await(0, remove, done); !a.Failed && !a.Result.Conflict {
		l.nRemoved.Inc()
		l.log.Info("endpoint removed, no beats and no answer to a probe", "endpoint", e.ID, "service", e.Service)
	}
}

func probeOnce(e registry.Endpoint, path string, wait time.Duration) bool {
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
func (l *Lathe) transact(derive func() (*registry.Txn, error)) (wrote bool, err error) {
	for range 6 {
		l.mu.Lock()
		txn, err := derive()
		l.mu.Unlock()
		if txn == nil || err != nil {
			return false, err
		}
		r, err := l.Do(registry.Command{Txn: txn})
		if err != nil {
			return false, err
		}
		if !r.Conflict {
			return true, nil
		}
		if err := l.ReadPoint(); err != nil {
			return false, err
		}
	}
	return false, apierror.New(apierror.Unavailable, "the object changes too often")
}

// Beat takes a heartbeat of an endpoint.
func (l *Lathe) Beat(e registry.Endpoint) error {
	l.nBeats.Inc()
	gone := registry.DepartedPrefix + e.ID
	astray := l.outOfTouch() > l.timing.Silence
	_, err := l.transact(func() (*registry.Txn, error) {
		if _, departed := l.store.Get(gone); departed {
			return nil, nil // a late beat of a life that has signed off
		}
		l.beats[e.ID] = l.now()
		o, known := l.store.Get(e.Key())
		// A node that has just started may not hold the configuration yet that
		// bounds the service's cold endpoints, so all are marked.
		e.WarmingUp = e.WarmUpSeconds > 0 && l.set.Bounds.SlowStartOvershoot > 0
		if !known {
			txn := &registry.Txn{
				If:   []registry.Compare{{Key: e.Key()}, {Key: gone}},
				Then: []registry.Write{{Key: e.Key(), Value: e.Encode()}},
			}
			l.nameBase(txn, e)
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

// SignOff removes an endpoint for good.
func (l *Lathe) SignOff(id string) error {
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

// readConfig reads and checks a configuration, one at a time: to check one of 2000
// routes takes some ten megabytes and longer than a storm leaves between two, and
// whoever has waited for too long is better off at another node.
func (l *Lathe) readConfig(text []byte) (*config.Configuration, error) {
	wait := time.NewTimer(l.timing.Answer)
	defer wait.Stop()
	select {
	case l.checking <- struct{}{}:
		defer func() { <-l.checking }()
		return config.Parse(text)
	case <-wait.C:
		l.nBusy.Inc()
		return nil, apierror.New(apierror.Unavailable, "too many configurations at once")
	}
}

// Replace takes a whole configuration.
func (l *Lathe) Replace(text []byte) error {
	c, err := l.readConfig(text)
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
		l.nTaken.Inc()
	}
	if wrote {
		l.log.Info("configuration acknowledged", "version", c.Version)
	}
	return err
}

// Configuration reads the newest configuration, whole.
func (l *Lathe) Configuration() ([]byte, error) {
	if err := l.ReadPoint(); err != nil {
		return nil, err
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, text, ok := l.configuration()
	if !ok {
		return nil, apierror.New(apierror.NotFound, "no configuration yet")
	}
	return text, nil
}

// Cell reads a cell behind a read point.
func (l *Lathe) Cell(name string) (coordination.Cell, error) {
	if err := l.ReadPoint(); err != nil {
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

// watchersPart is the part of the descriptors that waiting watches may take.
const watchersPart = 4

// Watch waits for puts in a group above after.
func (l *Lathe) Watch(group string, after uint64, wait time.Duration) ([]coordination.Event, uint64, error) {
	if err := l.ReadPoint(); err != nil {
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
	if l.watchers >= l.set.Limits.MaxOpenFiles/watchersPart {
		l.mu.Unlock()
		return nil, 0, apierror.New(apierror.Overloaded, "too many watches wait here")
	}
	l.watchers++
	if l.groups[group] == nil {
		l.groups[group] = map[chan struct{}]struct{}{}
	}
	l.groups[group][ch] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.watchers--
		delete(l.groups[group], ch)
		if len(l.groups[group]) == 0 {
			delete(l.groups, group)
		}
		l.mu.Unlock()
	}()
	end := time.NewTimer(wait)
	defer end.Stop()
	check := time.NewTicker(l.timing.Election / 2)
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
			if !l.fresh() || l.closing.Load() {
				return nil, 0, apierror.New(apierror.Unavailable, "this node has lost touch")
			}
		case <-l.ctx.Done():
			return nil, 0, apierror.New(apierror.Unavailable, "node is stopping")
		}
	}
}

func (l *Lathe) seeds() []string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.set.SeedNodes
}

// SetSeeds takes the seed addresses of a settings file that has changed.
func (l *Lathe) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set.SeedNodes = seeds
	l.log.Info("settings read again", "seeds", fmt.Sprint(seeds))
}
