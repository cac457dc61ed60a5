package proxy

import (
	"strings"
	"time"

	"lichentray/config"
	"lichentray/loadbalance"
	"lichentray/registry"
	"lichentray/rollout"
	"lichentray/routing"
)

// resync applies every object of the mirror. It is called after a list.
func (p *Proxy) resync() {
	objects := p.mirror.Objects()
	for key, o := range objects {
		if key != registry.ConfigKey {
			p.applyObject(o, false)
		}
	}
	p.reactivateZones(objects)
	p.clearRollouts(objects)
	// Applied after the endpoints, so that no route is visible before its endpoints.
	if o, ok := objects[registry.ConfigKey]; ok {
		p.applyConfig(o)
	}
	for _, s := range p.services {
		s.retainEndpoints(func(id string) bool {
			_, ok := objects[registry.EndpointPrefix+id]
			return ok
		})
	}
}

// reactivateZones sets the zones without an evacuation in the registry to active.
func (p *Proxy) reactivateZones(objects map[string]registry.Object) {
	for zone := range p.zoneStates {
		if _, ok := objects[registry.EvacuationPrefix+zone]; !ok {
			p.setZoneState(zone, loadbalance.ZoneActive)
		}
	}
}

// clearRollouts clears the rollout of services that have none in the registry.
func (p *Proxy) clearRollouts(objects map[string]registry.Object) {
	for name, s := range p.services {
		if _, ok := objects[registry.RolloutPrefix+name]; !ok && s.rollout.Base != "" {
			p.setRollout(s, rollout.Rollout{})
		}
	}
}

// applyEvents applies events in order. If an event does not follow the mirror's revision,
// applyEvents invalidates the mirror, so that the registry is listed again.
func (p *Proxy) applyEvents(events []registry.Event) error {
	for _, e := range events {
		if err := p.applyEvent(e); err != nil {
			p.mirror.Invalidate()
			return err
		}
	}
	return nil
}

// applyEvent applies one event to the mirror and to the services or routes.
func (p *Proxy) applyEvent(e registry.Event) error {
	changed, err := p.mirror.ApplyEvent(e)
	if err != nil || !changed {
		return err
	}
	if e.Type == registry.Deleted {
		p.deleteObject(e.Object.Key)
		return nil
	}
	p.applyObject(p.mirror.Objects()[e.Object.Key], true)
	return nil
}

// applyObject applies an object's new state. isWatchEvent is true if the object comes from a
// watch event, so the change is recent, and false if it comes from a list.
func (p *Proxy) applyObject(o registry.Object, isWatchEvent bool) {
	if o.Key == registry.ConfigKey {
		p.applyConfig(o)
		return
	}
	if zone, ok := strings.CutPrefix(o.Key, registry.EvacuationPrefix); ok {
		p.applyEvacuation(zone, o)
		return
	}
	if name, ok := strings.CutPrefix(o.Key, registry.RolloutPrefix); ok {
		p.applyRollout(name, o)
		return
	}
	p.applyEndpoint(o, isWatchEvent)
}

// deleteObject applies the deletion of an object.
func (p *Proxy) deleteObject(key string) {
	if zone, ok := strings.CutPrefix(key, registry.EvacuationPrefix); ok {
		p.setZoneState(zone, loadbalance.ZoneActive)
	}
	if id, ok := strings.CutPrefix(key, registry.EndpointPrefix); ok {
		for _, s := range p.services {
			s.removeEndpoint(id)
		}
	}
}

// applyEvacuation applies the state of a zone's evacuation.
func (p *Proxy) applyEvacuation(zone string, o registry.Object) {
	state := loadbalance.ZoneEvacuated
	if registry.DecodeEvacuation(o).State() == registry.Returning {
		state = loadbalance.ZoneReturning
	}
	p.setZoneState(zone, state)
}

// setZoneState sets a zone's state, also for all services.
func (p *Proxy) setZoneState(zone string, state loadbalance.ZoneState) {
	if p.zoneStates[zone] == state {
		return
	}
	if state == loadbalance.ZoneActive {
		delete(p.zoneStates, zone)
	} else {
		p.zoneStates[zone] = state
	}
	for _, s := range p.services {
		s.setZoneState(zone, state)
	}
	p.log.Info("zone state changed", "zone", zone, "state", state)
}

// applyEndpoint applies an endpoint's state. Only an endpoint from a watch event gets a
// warm-up time: for one from a list, the remaining time is not known.
func (p *Proxy) applyEndpoint(o registry.Object, isWatchEvent bool) {
	e, err := registry.DecodeEndpoint(o)
	if err != nil {
		p.log.Error("cannot decode endpoint", "key", o.Key, "error", err)
		return
	}
	warmUp := time.Duration(0)
	if isWatchEvent {
		warmUp = time.Duration(e.WarmUpSeconds * float64(time.Second))
	}
	p.ensureService(e.Service).upsertEndpoint(p.now(), loadbalance.EndpointSpec{
		ID:          e.ID,
		Address:     e.Address,
		Zone:        e.Zone,
		Version:     e.Version,
		Capacity:    e.Capacity,
		Draining:    e.Draining,
		WarmingUp:   e.WarmingUp,
		RegionIndex: p.regionIndexOf(e.Zone),
	}, warmUp)
}

// applyConfig compiles a configuration and replaces the routing snapshot. It ignores a version
// that is not newer than the current one.
func (p *Proxy) applyConfig(o registry.Object) {
	_, text, ok := registry.DecodeConfig(o)
	if !ok {
		return
	}
	c, err := config.DecodeValidated(text)
	if err != nil {
		p.log.Error("cannot decode configuration; keeping the current one", "error", err)
		return
	}
	old := p.snapshot.Load()
	if old != nil && old.table.Version >= c.Version {
		return
	}
	p.snapshot.Store(p.newSnapshot(routing.Compile(c), old))
	if old == nil {
		close(p.firstConfig)
	}
	p.counters.configVersion.Set(int64(c.Version))
	p.log.Info("configuration applied", "version", c.Version)
}

// newSnapshot returns the snapshot of a route table. It applies the table's limits to the
// services and reuses the statistics of routes that exist in old. old may be nil.
func (p *Proxy) newSnapshot(table *routing.Table, old *routingSnapshot) *routingSnapshot {
	stats := map[string]*routeStats{}
	if old != nil {
		for _, s := range old.routeStats {
			stats[s.name] = s
		}
	}
	snapshot := &routingSnapshot{table: table}
	for _, cluster := range table.Services {
		s := p.ensureService(cluster.Name)
		p.applyProxyCount(s)
		s.configure(int(cluster.MaxConnections), cluster.WarmUpRatePerSecond)
		snapshot.services = append(snapshot.services, s)
	}
	for _, route := range table.Routes {
		s := stats[route.Name]
		if s == nil {
			s = newRouteStats(route.Name, p.metrics)
		}
		snapshot.routeStats = append(snapshot.routeStats, s)
		snapshot.regionMasks = append(snapshot.regionMasks, p.regionMask(route.Regions))
	}
	return snapshot
}

// setProxyCount sets the number of proxy nodes, which share the slack of the retry budgets and the
// connection limits of endpoints. It ignores counts below 1.
func (p *Proxy) setProxyCount(n int) {
	if n < 1 || p.proxyCount.Swap(int64(n)) == int64(n) {
		return
	}
	for _, s := range p.services {
		p.applyProxyCount(s)
	}
}

// applyProxyCount sets the number of proxy nodes on a service, if that number is known.
func (p *Proxy) applyProxyCount(s *service) {
	if n := int(p.proxyCount.Load()); n >= 1 {
		s.setProxyCount(n, p.settings.Bounds.RetryBudgetSlack)
	}
}
