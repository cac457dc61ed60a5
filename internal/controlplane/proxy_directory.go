package controlplane

import (
	"strings"
	"time"

	"lichentray/internal/apierror"
	"lichentray/loadbalance"
	"lichentray/registry"
)

// maxResolvedAddresses is the maximum number of addresses in a directory response.
const maxResolvedAddresses = 64

// proxyDirectory selects the proxy nodes that clients use. Proxies register through their
// reports, and the leader removes those whose lease has expired.
type proxyDirectory struct {
	*environment
	state     *sharedState
	consensus *consensusView
	proposer  *proposer
}

// proxyLeases holds when the leader last received a report of each proxy, keyed by name, see
// loopState.
type proxyLeases map[string]time.Duration

// renew renews the leases of the proxies reported by a node.
func (l proxyLeases) renew(now time.Duration, reportSequences map[string]uint64) {
	for name := range reportSequences {
		l[name] = now
	}
}

// becomeLeader restarts the lease of every proxy.
func (d *proxyDirectory) becomeLeader(state *loopState) { state.proxyLeases = proxyLeases{} }

// expire removes the registry entries of proxies whose lease has expired.
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
		state.proxyLeases[name] = now // if the proposal takes no effect, it is repeated after another lease period
		if !isKnown {
			continue
		}
		d.metrics.proxiesRemoved().Inc()
		state.proposeWithoutWaiting(registry.Command{Txn: deleteIfUnchanged(object)})
	}
}

// register writes a proxy's registry entry as reported by the proxy, unless the entry is
// unchanged.
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

// checkHost returns an error if the configuration has no such host. The kind is NoRoute, or
// Unavailable if there is no configuration or this node is not up to date and may lack the newest
// one.
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
