package controlplane

import (
	"strings"
	"time"

	"lichentray/internal/apierror"
	"lichentray/loadbalance"
	"lichentray/registry"
)

// maxResolvedAddresses bounds the addresses in an answer of the directory.
const maxResolvedAddresses = 64

// proxyDirectory selects the proxy nodes that clients use. Proxies register through
// their reports; the leader removes those whose lease has run out.
type proxyDirectory struct {
	*environment
	state     *sharedState
	consensus *consensusView
	proposer  *proposer
}

// proxyLeases are when the leader last heard of each proxy, by name, see loopState.
type proxyLeases map[string]time.Duration

// renew renews the leases of the proxies that a node reports.
func (l proxyLeases) renew(now time.Duration, reportSequences map[string]uint64) {
	for name := range reportSequences {
		l[name] = now
	}
}

// becomeLeader gives every proxy its full lease.
func (d *proxyDirectory) becomeLeader(state *loopState) { state.proxyLeases = proxyLeases{} }

// expire removes the entries of proxies whose lease has run out.
func (d *proxyDirectory) expire(state *loopState, now time.Duration) {
	if !state.raft.HasQuorumContact(d.timing.ElectionTimeout) || now-state.leaderSince < d.timing.ProxyLease {
		return
	}
	for _, object := range d.state.onLoop(state).store.List(registry.ProxyPrefix) {
		name := strings.TrimPrefix(object.Key, registry.ProxyPrefix)
		lastSeen, isKnown := state.proxyLeases[name]
		if isKnown && now-lastSeen <= d.timing.ProxyLease {
			continue
		}
		state.proxyLeases[name] = now // the removal is proposed again if it does not come through
		if !isKnown {
			continue
		}
		d.metrics.proxiesRemoved().Inc()
		state.proposeWithoutWaiting(registry.Command{Txn: deleteIfUnchanged(object)})
	}
}

// register keeps a proxy's entry in the registry as the proxy itself reports it.
func (d *proxyDirectory) register(proxy registry.Proxy) error {
	_, err := d.proposer.transact(func(r *replicatedState) (*registry.Txn, error) {
		object, _ := r.store.Get(proxy.Key())
		if registered, err := registry.DecodeProxy(object); err == nil && registered == proxy {
			return nil, nil
		}
		return putIfUnchanged(proxy.Key(), object.ModRevision, proxy.Encode()), nil
	})
	return err
}

// resolve selects proxies for a client, see Node.Resolve.
func (d *proxyDirectory) resolve(client, host, region, zone string) (addresses []string, ttl time.Duration, err error) {
	isUpToDate := d.consensus.isUpToDate()
	regionOf := func(zone string) string { return d.settings.RegionByZone[zone] }
	if known, ok := d.settings.RegionByZone[zone]; ok {
		region = known
	}
	d.state.update(func(r *replicatedState) {
		if err = checkHost(r, host, isUpToDate); err != nil {
			return
		}
		nodes := make([]loadbalance.ProxyNode, 0, len(r.proxies))
		for _, proxy := range r.proxies {
			nodes = append(nodes, proxy)
		}
		addresses = loadbalance.SelectProxies(nodes, client, zone, region, regionOf, maxResolvedAddresses)
	})
	if err != nil {
		return nil, 0, err
	}
	if len(addresses) == 0 {
		return nil, 0, apierror.New(apierror.Unavailable, "no proxy node is registered")
	}
	return addresses, d.timing.DirectoryTTL, nil
}

// checkHost returns an error if the configuration does not have a host: of kind
// NoRoute, or Unavailable at a node that is not up to date and may lack the newest
// configuration.
func checkHost(r *replicatedState, host string, isUpToDate bool) error {
	table := r.routeTable()
	switch {
	case table != nil && table.HasHost(host):
		return nil
	case table == nil || !isUpToDate:
		return apierror.New(apierror.Unavailable, "name %q is not known here yet", host)
	}
	return apierror.New(apierror.NoRoute, "name: no configuration has host %q", host)
}
