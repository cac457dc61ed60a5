package controlplane

import (
	"slices"
	"strings"
	"time"

	"lichentray/config"
	"lichentray/internal/apierror"
	"lichentray/internal/transport"
	"lichentray/loadbalance"
	"lichentray/registry"
)

// routeTable gives the compiled configuration that this node holds, or nil. The
// caller has the node's lock for writing.
func (l *Node) routeTable() *config.Table {
	o, _ := l.store.Get(registry.ConfigKey)
	if o.ModRevision == l.compiledRevision {
		return l.compiledTable
	}
	l.compiledTable, l.compiledRevision = nil, o.ModRevision
	if _, text, ok := registry.DecodeConfig(o); ok {
		if c, err := config.DecodeValidated(text); err == nil {
			l.compiledTable = config.Compile(c)
		}
	}
	return l.compiledTable
}

// clusterConfig gives a service as configured. The caller has the node's lock for
// writing.
func (l *Node) clusterConfig(name string) (config.Cluster, bool) {
	t := l.routeTable()
	if t == nil {
		return config.Cluster{}, false
	}
	i := t.ServiceIndex(name)
	if i < 0 {
		return config.Cluster{}, false
	}
	return t.Services[i], true
}

// registerProxy keeps a proxy's entry in the registry as the proxy itself says.
func (l *Node) registerProxy(p registry.Proxy) error {
	_, err := l.transact(func() (*registry.Txn, error) {
		o, _ := l.store.Get(p.Key())
		if old, err := registry.DecodeProxy(o); err == nil && old == p {
			return nil, nil
		}
		return &registry.Txn{
			If:   []registry.Compare{{Key: p.Key(), ModRevision: o.ModRevision}},
			Then: []registry.Write{{Key: p.Key(), Value: p.Encode()}},
		}, nil
	})
	return err
}

// applyEvent takes a change of the registry into what the node keeps decoded of it.
// The caller has the node's lock.
func (l *Node) applyEvent(e registry.Event) {
	switch key := e.Object.Key; {
	case strings.HasPrefix(key, registry.ProxyPrefix):
		l.applyProxyEvent(e)
	case strings.HasPrefix(key, registry.EvacuationPrefix):
		l.applyEvacuationEvent(e)
	case strings.HasPrefix(key, registry.RolloutPrefix):
		l.applyRolloutEvent(e)
	case strings.HasPrefix(key, registry.EndpointPrefix):
		delete(l.endpoints, key)
		if e.Type == registry.Deleted {
			break
		}
		if p, err := registry.DecodeEndpoint(e.Object); err == nil {
			l.endpoints[key] = p
		}
	}
	if isWatched(e.Object.Key) {
		l.watchedRevision = e.Revision
	}
}

// rebuildFromStore does so for a state taken whole. The caller has the node's lock.
func (l *Node) rebuildFromStore() {
	clear(l.directoryPlaces)
	clear(l.endpoints)
	clear(l.rollouts)
	for _, prefix := range [...]string{registry.ProxyPrefix, registry.EvacuationPrefix, registry.RolloutPrefix, registry.EndpointPrefix} {
		for _, o := range l.store.List(prefix) {
			l.applyEvent(registry.Event{Type: registry.Added, Object: o})
		}
	}
	l.watchedRevision = l.store.Revision()
}

func (l *Node) applyProxyEvent(e registry.Event) {
	if e.Type == registry.Deleted {
		delete(l.directoryPlaces, e.Object.Key)
		return
	}
	if p, err := registry.DecodeProxy(e.Object); err == nil {
		l.directoryPlaces[e.Object.Key] = loadbalance.ProxyNode{Address: p.Address, Zone: p.Zone, Weight: p.Weight, Draining: p.Leaving}
	}
}

// maxResolvedAddresses is how many addresses an answer of the directory may name.
const maxResolvedAddresses = 64

// Resolve tells a client which proxy nodes to go to, and for how long that
// holds. A node that lost touch answers from what it still holds: proxies that
// were there a while ago are better than none.
func (l *Node) Resolve(client, host, region, zone string) ([]string, time.Duration, error) {
	fresh := l.isUpToDate()
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.routeTable(); t == nil || !t.HasHost(host) {
		if !fresh || t == nil {
			return nil, 0, apierror.New(apierror.Unavailable, "name %q is not known here yet", host)
		}
		return nil, 0, apierror.New(apierror.NoRoute, "name: no configuration has host %q", host)
	}
	if known, ok := l.settings.RegionByZone[zone]; ok {
		region = known
	}
	all := make([]loadbalance.ProxyNode, 0, len(l.directoryPlaces))
	for _, p := range l.directoryPlaces {
		all = append(all, p)
	}
	out := loadbalance.SelectProxies(all, client, zone, region, func(z string) string { return l.settings.RegionByZone[z] }, maxResolvedAddresses)
	if len(out) == 0 {
		return nil, 0, apierror.New(apierror.Unavailable, "no proxy node is registered")
	}
	return out, l.timing.DirectoryTTL, nil
}

// Evacuate empties a zone, or takes it back, as long as waits tells that the caller
// still waits; else it is of kind Unavailable.
func (l *Node) Evacuate(zone string, begin bool, waits func() bool) error {
	if _, known := l.settings.RegionByZone[zone]; !known {
		return apierror.New(apierror.BadRequest, "of: zone %q is not known", zone)
	}
	// Whether there is anything to write is judged by a state that holds all that
	// was acknowledged before: a node that is just back knows of no evacuation.
	if err := l.ReadIndex(); err != nil {
		return err
	}
	key := registry.EvacuationPrefix + zone
	bound := l.settings.Bounds.AckTimeout.Duration()
	repeats := registry.RepeatWindow{Acknowledged: bound / 5, Unacknowledged: bound}
	var now registry.Evacuation
	wrote, err := l.transact(func() (*registry.Txn, error) {
		if !waits() {
			return nil, apierror.New(apierror.Unavailable, "the caller has gone on to another node")
		}
		o, _ := l.store.Get(key)
		was := registry.DecodeEvacuation(o)
		if now = was.ApplyOrder(begin, l.now()-l.evacuationOrderedAt[evacuationOrder{key, begin}], repeats); now == was {
			return nil, nil
		}
		return &registry.Txn{
			If:   []registry.Compare{{Key: key, ModRevision: o.ModRevision}},
			Then: []registry.Write{{Key: key, Value: now.Encode()}},
		}, nil
	})
	if wrote {
		l.logger.Info("evacuation order acknowledged", "zone", zone, "begin", begin, "state", now.State(), "open", now.BeginCount-now.FinishCount)
	}
	if err == nil && now != now.Acknowledge(begin) {
		time.AfterFunc(l.timing.HeartbeatInterval, func() { l.recordOrderAnswered(key, begin, now) })
	}
	return err
}

// evacuationOrder is an evacuation's key, and whether it is begun or taken back.
type evacuationOrder struct {
	key     string
	isBegin bool
}

// recordOrderAnswered notes that this node lived on after it answered an order, so that a
// further one of its kind is hardly a repeat. A note that does not come through
// is not tried again: without it more orders count as repeats.
func (l *Node) recordOrderAnswered(key string, begin bool, order registry.Evacuation) {
	_, _ = l.transact(func() (*registry.Txn, error) {
		o, _ := l.store.Get(key)
		now := registry.DecodeEvacuation(o)
		noted := now.Acknowledge(begin)
		if now == noted || now.BeginCount != order.BeginCount || now.FinishCount != order.FinishCount {
			return nil, nil
		}
		return &registry.Txn{
			If:   []registry.Compare{{Key: key, ModRevision: o.ModRevision}},
			Then: []registry.Write{{Key: key, Value: noted.Encode()}},
		}, nil
	})
}

func (l *Node) applyEvacuationEvent(e registry.Event) {
	order := registry.DecodeEvacuation(e.Object)
	was := l.evacuationOrders[e.Object.Key]
	l.evacuationOrders[e.Object.Key] = order
	if order.BeginCount != was.BeginCount {
		l.evacuationOrderedAt[evacuationOrder{e.Object.Key, true}] = l.now()
	}
	if order.FinishCount != was.FinishCount {
		l.evacuationOrderedAt[evacuationOrder{e.Object.Key, false}] = l.now()
	}
}

// Evacuations lists the zones that are not in ordinary use.
func (l *Node) Evacuations() (map[string]string, error) {
	if err := l.ReadIndex(); err != nil {
		return nil, err
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.zoneStates(), nil
}

// zoneStates reads what is held. The caller has the node's lock.
func (l *Node) zoneStates() map[string]string {
	out := map[string]string{}
	for _, o := range l.store.List(registry.EvacuationPrefix) {
		out[o.Key[len(registry.EvacuationPrefix):]] = registry.DecodeEvacuation(o).State()
	}
	return out
}

// finishZoneReturns takes zones back into ordinary use once their endpoints' beats
// have had the time to tell which are cold.
func (l *Node) finishZoneReturns(loop *loopState, now time.Duration) {
	for _, o := range l.store.List(registry.EvacuationPrefix) {
		if registry.DecodeEvacuation(o).State() != registry.Returning {
			delete(l.returningZones, o.Key)
			continue
		}
		since, ok := l.returningZones[o.Key]
		if !ok || since.revision != o.ModRevision {
			l.returningZones[o.Key] = revisionTime{now, o.ModRevision}
			continue
		}
		if now-since.at > 2*l.settings.HeartbeatInterval.Duration()+l.timing.ConnectionTimeout {
			loop.raft.Propose(registry.EncodeCommand(registry.Command{Txn: &registry.Txn{
				If:   []registry.Compare{{Key: o.Key, ModRevision: o.ModRevision}},
				Then: []registry.Write{{Key: o.Key, IsDelete: true}},
			}}))
			l.returningZones[o.Key] = revisionTime{now, o.ModRevision} // asked again if it did not come through
		}
	}
}

// expireProxies removes entries of proxies whose lease has run out. Every proxy
// has a fresh one after a change of leader.
func (l *Node) expireProxies(loop *loopState, now time.Duration) {
	if !loop.raft.HasQuorumContact(l.timing.ElectionTimeout) || now-loop.leaderSince < l.timing.ProxyLease {
		return
	}
	for _, o := range l.store.List(registry.ProxyPrefix) {
		name := o.Key[len(registry.ProxyPrefix):]
		seen, ok := l.proxyLastSeen[name]
		if !ok {
			l.proxyLastSeen[name] = now
			continue
		}
		if now-seen <= l.timing.ProxyLease {
			continue
		}
		l.proxyLastSeen[name] = now // asked again if it does not come through
		l.metrics.proxiesRemoved().Inc()
		loop.raft.Propose(registry.EncodeCommand(registry.Command{Txn: &registry.Txn{
			If:   []registry.Compare{{Key: o.Key, ModRevision: o.ModRevision}},
			Then: []registry.Write{{Key: o.Key, IsDelete: true}},
		}}))
	}
}

// warmingEndpoints lists the cold endpoints, and which of the proxies told of may send to
// each: those of its zone, else of its region, else all. The caller has the
// node's lock for writing.
func (l *Node) warmingEndpoints(told map[string]uint64) []loadbalance.WarmingEndpoint {
	var out []loadbalance.WarmingEndpoint
	evac := l.zoneStates()
	var byZone, byRegion map[string][]string
	var all []string
	for _, e := range l.endpoints {
		if e.Draining || (!e.WarmingUp && evac[e.Zone] != registry.Returning) {
			continue
		}
		c, ok := l.clusterConfig(e.Service)
		if !ok || c.WarmupRatePerSecond <= 0 {
			continue
		}
		if byZone == nil {
			byZone, byRegion = map[string][]string{}, map[string][]string{}
			for name := range told {
				p, there := l.directoryPlaces[registry.ProxyPrefix+name]
				if !there || p.Draining {
					continue
				}
				r := l.settings.RegionByZone[p.Zone]
				byZone[p.Zone] = append(byZone[p.Zone], name)
				byRegion[r] = append(byRegion[r], name)
				all = append(all, name)
			}
		}
		near := byZone[e.Zone]
		if len(near) == 0 {
			near = byRegion[l.settings.RegionByZone[e.Zone]]
		}
		if len(near) == 0 {
			near = all
		}
		b := l.settings.Bounds
		out = append(out, loadbalance.WarmingEndpoint{ID: e.ID, Rate: c.WarmupRatePerSecond, MaxPerSecond: 0.9 * (c.WarmupRatePerSecond*b.SlowStartOvershoot + b.SlowStartSlack), Proxies: near})
	}
	slices.SortFunc(out, func(a, b loadbalance.WarmingEndpoint) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// grantQuotas grants what cold endpoints may get to the proxies told of.
func (l *Node) grantQuotas(loop *loopState, now time.Duration, told map[string]uint64) map[string]transport.QuotaGrants {
	if l.settings.Bounds.SlowStartOvershoot <= 0 || !loop.raft.HasQuorumContact(l.timing.ElectionTimeout) {
		return nil // nothing is bounded, or another may lead by now
	}
	l.mu.Lock()
	cold := l.warmingEndpoints(told)
	l.mu.Unlock()
	rounds := map[string]transport.QuotaGrants{}
	for name, grants := range l.quotaGranter.Allocate(now, cold) {
		rounds[name] = transport.QuotaGrants{Seq: told[name], Grants: grants}
	}
	return rounds
}
