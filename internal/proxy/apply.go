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

// resync applies every object of the mirror, as after a list.
func (p *Proxy) resync() {
	objects := p.mirror.Objects()
	for key, o := range objects {
		if key != registry.ConfigKey {
			p.applyObject(o, false)
		}
	}
	p.forgetZoneStates(objects)
	p.forgetRollouts(objects)
	// After the endpoints, so that no request meets routes without them.
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

// forgetZoneStates makes active the zones for which the registry holds no evacuation.
func (p *Proxy) forgetZoneStates(objects map[string]registry.Object) {
	for zone := range p.zoneStates {
		if _, ok := objects[registry.EvacuationPrefix+zone]; !ok {
			p.setZoneState(zone, loadbalance.ZoneActive)
		}
	}
}

// forgetRollouts resets the services for which the registry holds no roll-out.
func (p *Proxy) forgetRollouts(objects map[string]registry.Object) {
	for name, s := range p.services {
		if _, ok := objects[registry.RolloutPrefix+name]; !ok && s.rollout.Base != "" {
			p.setRollout(s, rollout.Rollout{})
		}
	}
}

// applyEvents applies changes in order. If one does not continue the mirror's revision, the
// mirror is invalidated, so that the registry is listed again.
func (p *Proxy) applyEvents(events []registry.Event) error {
	for _, e := range events {
		if err := p.applyEvent(e); err != nil {
			p.mirror.Invalidate()
			return err
		}
	}
	return nil
}

// applyEvent applies one change.
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

// applyObject applies an object's new state. isLive is true if the change has just
// happened, and false if the object comes from a list.
func (p *Proxy) applyObject(o registry.Object, isLive bool) {
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
	p.applyEndpoint(o, isLive)
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

// setZoneState sets how a zone is used.
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

// applyEndpoint applies an endpoint's state. Only one that has just changed may be warming
// up: of others it is not known for how long.
func (p *Proxy) applyEndpoint(o registry.Object, isLive bool) {
	e, err := registry.DecodeEndpoint(o)
	if err != nil {
		p.log.Error("endpoint is unreadable", "key", o.Key, "error", err)
		return
	}
	warmUp := time.Duration(0)
	if isLive {
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

// applyConfig compiles a configuration and replaces the routing snapshot. An older version
// than that in force is ignored.
func (p *Proxy) applyConfig(o registry.Object) {
	_, text, ok := registry.DecodeConfig(o)
	if !ok {
		return
	}
	c, err := config.DecodeValidated(text)
	if err != nil {
		p.log.Error("configuration is unreadable, the present one is kept", "error", err)
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
	p.log.Info("configuration in force", "version", c.Version)
}

// newSnapshot returns the snapshot of a route table. It sets the table's limits at the
// services, and keeps the statistics of routes that old has too. old may be nil.
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
		s.configure(int(cluster.MaxConnections), cluster.WarmupRatePerSecond)
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

// setProxyCount sets how many proxy nodes there are, which share the slack of the retry
// budgets and the connections.
func (p *Proxy) setProxyCount(n int) {
	if n < 1 || p.proxyCount.Swap(int64(n)) == int64(n) {
		return
	}
	for _, s := range p.services {
		p.applyProxyCount(s)
	}
}

// applyProxyCount sets the number of proxy nodes at a service, once it is known.
func (p *Proxy) applyProxyCount(s *service) {
	if n := int(p.proxyCount.Load()); n >= 1 {
		s.setProxyCount(n, p.settings.Bounds.RetryBudgetSlack)
	}
}
