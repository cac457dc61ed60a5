package controlplane

import (
	"strings"
	"time"

	"lichentray/config"
	"lichentray/loadbalance"
	"lichentray/registry"
	"lichentray/rollout"
	"lichentray/routing"
)

// decodedObjects caches decoded registry objects, so that requests need not decode them. The maps
// are keyed by registry key.
type decodedObjects struct {
	endpoints map[string]registry.Endpoint
	proxies   map[string]loadbalance.ProxyNode
	rollouts  map[string]*rolloutRecord

	evacuations map[string]registry.Evacuation
	// lastEvacuationRequestAt is the time at which this node applied the newest request of each
	// kind.
	lastEvacuationRequestAt map[evacuationRequest]time.Duration

	// watchedRevision is the revision of the newest change to a watched object.
	watchedRevision uint64
}

// evacuationRequest identifies a kind of request for a zone: the registry key of the zone's
// evacuation, and whether the request begins or finishes it.
type evacuationRequest struct {
	key     string
	isBegin bool
}

func newDecodedObjects() decodedObjects {
	return decodedObjects{
		endpoints:               map[string]registry.Endpoint{},
		proxies:                 map[string]loadbalance.ProxyNode{},
		rollouts:                map[string]*rolloutRecord{},
		evacuations:             map[string]registry.Evacuation{},
		lastEvacuationRequestAt: map[evacuationRequest]time.Duration{},
	}
}

// watchedPrefixes are the key prefixes of the objects that proxies replicate.
var watchedPrefixes = [...]string{
	registry.EndpointPrefix,
	registry.EvacuationPrefix,
	registry.RolloutPrefix,
	registry.ConfigKey,
}

func isWatched(key string) bool {
	for _, prefix := range watchedPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// decodedPrefixes are the key prefixes of the objects that are cached in decoded form.
var decodedPrefixes = [...]string{
	registry.ProxyPrefix,
	registry.EvacuationPrefix,
	registry.RolloutPrefix,
	registry.EndpointPrefix,
}

// rebuild decodes all objects of a store that was restored from a snapshot.
func (r *replicatedState) rebuild() {
	clear(r.proxies)
	clear(r.endpoints)
	clear(r.rollouts)
	for _, prefix := range decodedPrefixes {
		for _, o := range r.store.List(prefix) {
			r.applyEvent(registry.Event{Type: registry.Added, Object: o})
		}
	}
	r.watchedRevision = r.store.Revision()
}

// applyEvent updates the decoded objects after a change in the registry.
func (r *replicatedState) applyEvent(e registry.Event) {
	switch key := e.Object.Key; {
	case strings.HasPrefix(key, registry.ProxyPrefix):
		r.applyProxyEvent(e)
	case strings.HasPrefix(key, registry.EvacuationPrefix):
		r.applyEvacuationEvent(e)
	case strings.HasPrefix(key, registry.RolloutPrefix):
		r.applyRolloutEvent(e)
	case strings.HasPrefix(key, registry.EndpointPrefix):
		r.applyEndpointEvent(e)
	}
	if isWatched(e.Object.Key) {
		r.watchedRevision = e.Revision
	}
}

func (r *replicatedState) applyEndpointEvent(e registry.Event) {
	delete(r.endpoints, e.Object.Key)
	if e.Type == registry.Deleted {
		return
	}
	if endpoint, err := registry.DecodeEndpoint(e.Object); err == nil {
		r.endpoints[e.Object.Key] = endpoint
	}
}

func (r *replicatedState) applyProxyEvent(e registry.Event) {
	if e.Type == registry.Deleted {
		delete(r.proxies, e.Object.Key)
		return
	}
	proxy, err := registry.DecodeProxy(e.Object)
	if err != nil {
		return
	}
	r.proxies[e.Object.Key] = loadbalance.ProxyNode{
		Address:  proxy.Address,
		Zone:     proxy.Zone,
		Weight:   proxy.Weight,
		Draining: proxy.Leaving,
	}
}

func (r *replicatedState) applyEvacuationEvent(e registry.Event) {
	key := e.Object.Key
	previous := r.evacuations[key]
	current := registry.DecodeEvacuation(e.Object)
	r.evacuations[key] = current
	if current.BeginCount != previous.BeginCount {
		r.lastEvacuationRequestAt[evacuationRequest{key: key, isBegin: true}] = r.env.now()
	}
	if current.FinishCount != previous.FinishCount {
		r.lastEvacuationRequestAt[evacuationRequest{key: key, isBegin: false}] = r.env.now()
	}
}

func (r *replicatedState) applyRolloutEvent(e registry.Event) {
	key := e.Object.Key
	if e.Type == registry.Deleted {
		delete(r.rollouts, key)
		return
	}
	decoded, err := rollout.Decode(e.Object.Value)
	if err != nil {
		r.env.logger.Error("cannot decode rollout", "key", key, "error", err)
		return
	}
	previous := r.rollouts[key]
	r.rollouts[key] = &rolloutRecord{
		Rollout:   decoded,
		revision:  e.Object.ModRevision,
		appliedAt: r.env.now(),
	}
	if decoded.State == "" || (previous != nil && previous.Rollout == decoded) {
		return
	}
	r.env.logger.Info("rollout changed",
		"service", serviceOfRollout(key),
		"target", decoded.Target,
		"state", string(decoded.State),
		"stage", decoded.Stage,
		"elapsed_s", decoded.ElapsedSeconds,
		"reason", decoded.Reason)
}

// configuration returns the newest configuration that this node has applied, as it was submitted.
func (r *replicatedState) configuration() (version uint64, text []byte, ok bool) {
	o, _ := r.store.Get(registry.ConfigKey)
	return registry.DecodeConfig(o)
}

// zoneStates returns the state of each zone that is not in normal use.
func (r *replicatedState) zoneStates() map[string]string {
	states := map[string]string{}
	for _, o := range r.store.List(registry.EvacuationPrefix) {
		zone := strings.TrimPrefix(o.Key, registry.EvacuationPrefix)
		states[zone] = registry.DecodeEvacuation(o).State()
	}
	return states
}

// endpointsByService returns the endpoint IDs of each service.
func (r *replicatedState) endpointsByService() map[string][]string {
	ids := map[string][]string{}
	for _, e := range r.endpoints {
		ids[e.Service] = append(ids[e.Service], e.ID)
	}
	return ids
}

// compiledConfig caches the compiled configuration. It is compiled on demand, once for each
// revision.
type compiledConfig struct {
	table    *routing.Table
	revision uint64
}

// routeTable returns the compiled configuration, or nil if there is none. The caller must hold
// the state locked for writing, see sharedState.update.
func (r *replicatedState) routeTable() *routing.Table {
	o, _ := r.store.Get(registry.ConfigKey)
	if o.ModRevision == r.compiled.revision {
		return r.compiled.table
	}
	r.compiled = compiledConfig{revision: o.ModRevision}
	if _, text, ok := registry.DecodeConfig(o); ok {
		if c, err := config.DecodeValidated(text); err == nil {
			r.compiled.table = routing.Compile(c)
		}
	}
	return r.compiled.table
}

// cluster returns the configuration of a service. The caller must hold the state locked for
// writing.
func (r *replicatedState) cluster(service string) (config.Cluster, bool) {
	table := r.routeTable()
	if table == nil {
		return config.Cluster{}, false
	}
	i := table.ServiceIndex(service)
	if i < 0 {
		return config.Cluster{}, false
	}
	return table.Services[i], true
}
