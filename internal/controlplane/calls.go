package controlplane

import (
	"time"

	"lichentray/audit"
	"lichentray/coordination"
	"lichentray/registry"
	"lichentray/rollout"
)

// The calls of this file may be made at any node and from any goroutine. All errors
// are of type *apierror.Error. Reads are linearizable: they return what holds all
// that was acknowledged before the call.

// Propose puts a command through the log, here or at the leader, within
// Timing.RequestTimeout. An error of kind Unavailable promises that nothing was done
// and never will be; one of kind UnknownOutcome promises nothing.
//
// A command whose leader fell silent, or stopped leading, is sent once more to the
// next leader, so it may be carried out twice. That has the effect of once for each
// kind of command: a transaction compares revisions that it changes itself, a put is
// known by its value, the acquisition and renewal of a lock by its holder, to release
// a lock twice does nothing more, a number drawn twice leaves a gap, and audit records
// are numbered.
func (n *Node) Propose(cmd registry.Command) (registry.Result, error) { return n.proposer.propose(cmd) }

// ReadIndex returns once this node's state holds all that was acknowledged before the
// call (Ongaro, Consensus: Bridging Theory and Practice, section 6.4), within
// Timing.RequestTimeout. Its errors are of kind Unavailable.
func (n *Node) ReadIndex() error { return n.proposer.readIndex(n.timing.RequestTimeout) }

// Heartbeat records a heartbeat of an endpoint and registers the endpoint if it is new.
// A heartbeat that is late, or of an endpoint that has deregistered, changes nothing.
func (n *Node) Heartbeat(endpoint registry.Endpoint) error { return n.health.heartbeat(endpoint) }

// Deregister removes an endpoint for good: late heartbeats do not register it again.
func (n *Node) Deregister(id string) error { return n.health.deregister(id) }

// ReplaceConfiguration validates a complete configuration and replaces the present one
// by it. A version below the present one is acknowledged without effect if its content
// is the one accepted under it. The kinds of error are InvalidConfiguration, Conflict
// if another content was accepted under the version, Unavailable and UnknownOutcome.
func (n *Node) ReplaceConfiguration(text []byte) error { return n.configs.replace(text) }

// Configuration reads the newest configuration as it was submitted. Its error is of
// kind NotFound if there is none yet.
func (n *Node) Configuration() ([]byte, error) { return n.configs.read() }

// Cell reads a coordination cell. Its error is of kind NotFound if there is none.
func (n *Node) Cell(name string) (coordination.Cell, error) { return n.groups.cell(name) }

// Watch waits for puts in a group of cells above the group's revision after. It
// returns them and the group's newest revision, or no events once the time-out has
// passed; with after 0 it returns the newest revision at once. The kinds of error are
// RevisionExpired if the history no longer reaches back to after, BadRequest if after
// is above the newest revision, Overloaded, and Unavailable, which is also the end of a watch
// for which callerIsWaiting reports false.
func (n *Node) Watch(group string, after uint64, timeout time.Duration, callerIsWaiting func() bool) ([]coordination.Event, uint64, error) {
	return n.groups.watch(group, after, timeout, callerIsWaiting)
}

// Evacuate carries out an order to evacuate a zone (begin) or to return it to use.
// Nothing is proposed once callerIsWaiting reports false; the error is of kind
// Unavailable then.
func (n *Node) Evacuate(zone string, begin bool, callerIsWaiting func() bool) error {
	return n.evacuations.order(zone, begin, callerIsWaiting)
}

// Evacuations returns the state of each zone that is not in ordinary use.
func (n *Node) Evacuations() (map[string]string, error) { return n.evacuations.list() }

// BeginRollout orders that a service's traffic move to a version by a deadline. Its
// error is of kind Conflict if the order contradicts the service's present roll-out,
// and of kind NoRoute if this deployment has no roll-outs.
func (n *Node) BeginRollout(service, target string, deadline time.Duration) error {
	return n.rollouts.begin(service, target, deadline)
}

// Rollout reads the newest roll-out of a service. Its error is of kind NotFound if
// there was none yet.
func (n *Node) Rollout(service string) (rollout.Rollout, error) { return n.rollouts.read(service) }

// Resolve selects the proxy nodes that a client uses for a host, and how long it may
// keep the answer. A node that has lost contact with the group answers from what it
// holds: proxies that were there a while ago are better than none.
func (n *Node) Resolve(client, host, region, zone string) (addresses []string, ttl time.Duration, err error) {
	return n.directory.resolve(client, host, region, zone)
}

// ReadAudit queries the audit log. Its error is of kind NoRoute if this deployment
// keeps none.
func (n *Node) ReadAudit(filter audit.Filter) (audit.QueryResult, error) {
	return n.audit.read(filter)
}

// SetSeeds replaces the API addresses of the seed nodes after a reload of the settings.
func (n *Node) SetSeeds(seeds []string) { n.membership.setSeeds(seeds) }

// PrepareShutdown transfers leadership, if this node has it, and asks the leader to
// give its vote to another node where there is one. It returns once the leader has
// approved the departure, or after the time-out. Streams and watches end meanwhile.
// Close is to follow.
func (n *Node) PrepareShutdown(timeout time.Duration) {
	n.isStopping.Store(true)
	n.membership.prepareShutdown(timeout)
}
