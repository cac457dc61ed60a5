package controlplane

import (
	"time"

	"lichentray/audit"
	"lichentray/coordination"
	"lichentray/registry"
	"lichentray/rollout"
)

// The methods in this file may be called on any node and from any goroutine. All errors are of
// type *apierror.Error. All reads except Resolve are linearizable: the result reflects everything
// that was acknowledged before the call.

// Propose commits a command to the log and returns its result, on this node or through the
// leader, within Timing.RequestTimeout. An error of kind Unavailable guarantees that the command
// has not been applied and never will be; with one of kind UnknownOutcome it may have been.
//
// If the leader does not respond or loses leadership, the command is sent once more to the next
// leader, so it may be applied twice. Each kind of command is idempotent in effect: a transaction
// compares revisions that it changes itself, a put is recognized by its value, and the
// acquisition and renewal of a lock by the holder. Releasing a lock twice has no further effect,
// a number that is allocated twice leaves a gap, and audit records are numbered.
func (n *Node) Propose(cmd registry.Command) (registry.Result, error) { return n.proposer.propose(cmd) }

// ReadIndex returns once this node's state reflects everything that was acknowledged before the
// call (Ongaro, Consensus: Bridging Theory and Practice, section 6.4), within
// Timing.RequestTimeout. Its errors are of kind Unavailable.
func (n *Node) ReadIndex() error { return n.proposer.readIndex(n.timing.RequestTimeout) }

// Heartbeat records a heartbeat of an endpoint and registers the endpoint if it is new. A
// heartbeat that arrives late, or after the endpoint has deregistered, changes nothing.
func (n *Node) Heartbeat(endpoint registry.Endpoint) error { return n.health.heartbeat(endpoint) }

// Deregister removes an endpoint permanently: late heartbeats do not register it again.
func (n *Node) Deregister(id string) error { return n.health.deregister(id) }

// ReplaceConfiguration validates a complete configuration and replaces the current one with it. A
// version below the current one is acknowledged without effect if its content is the one accepted
// for that version. The error is of kind InvalidConfiguration, Conflict if different content was
// accepted for the version, Unavailable, UnknownOutcome, or an error of reserve. If reserve is not
// nil, it reserves the memory that decoding the text takes.
func (n *Node) ReplaceConfiguration(text []byte, reserve ReserveFunc) error {
	return n.configs.replace(text, reserve)
}

// Configuration returns the newest configuration as it was submitted. The error is of kind
// NotFound if there is none yet.
func (n *Node) Configuration() ([]byte, error) { return n.configs.read() }

// Cell returns a coordination cell. The error is of kind NotFound if the cell does not exist.
func (n *Node) Cell(name string) (coordination.Cell, error) { return n.groups.cell(name) }

// Watch waits for puts in a group of cells with a revision above after. It returns them and the
// group's newest revision, or no events when the timeout expires. With after 0 it returns the
// newest revision immediately. The error is of kind RevisionExpired if the history no longer
// reaches back to after, BadRequest if after is above the newest revision, Overloaded, or
// Unavailable. A watch also ends with Unavailable when callerIsWaiting reports false.
func (n *Node) Watch(group string, after uint64, timeout time.Duration, callerIsWaiting func() bool) ([]coordination.Event, uint64, error) {
	return n.groups.watch(group, after, timeout, callerIsWaiting)
}

// Evacuate begins or finishes the evacuation of a zone. Nothing is proposed once callerIsWaiting
// reports false; the error is then of kind Unavailable.
func (n *Node) Evacuate(zone string, begin bool, callerIsWaiting func() bool) error {
	return n.evacuations.submitRequest(zone, begin, callerIsWaiting)
}

// Evacuations returns the state of each zone that is not in normal use.
func (n *Node) Evacuations() (map[string]string, error) { return n.evacuations.list() }

// BeginRollout orders that a service's traffic move to a version by a deadline. The error is of
// kind Conflict if the order contradicts the service's current rollout, and of kind NoRoute if
// the deployment has no rollouts.
func (n *Node) BeginRollout(service, target string, deadline time.Duration) error {
	return n.rollouts.begin(service, target, deadline)
}

// Rollout returns the newest rollout of a service. The error is of kind NotFound if there has
// been none yet.
func (n *Node) Rollout(service string) (rollout.Rollout, error) { return n.rollouts.read(service) }

// Resolve selects the proxy nodes that a client should use for a host, and how long the client
// may cache the answer. A node that has lost contact with the group answers from its local state,
// because proxies that were registered a while ago are better than none.
func (n *Node) Resolve(client, host, region, zone string) (addresses []string, ttl time.Duration, err error) {
	return n.directory.resolve(client, host, region, zone)
}

// ReadAudit queries the audit log. The error is of kind NoRoute if the deployment keeps none.
func (n *Node) ReadAudit(filter audit.Filter) (audit.QueryResult, error) {
	return n.audit.read(filter)
}

// SetSeeds replaces the API addresses of the seed nodes after the settings were reloaded.
func (n *Node) SetSeeds(seeds []string) { n.membership.setSeeds(seeds) }

// PrepareShutdown transfers leadership, if this node has it, and asks the leader to replace this
// node as a voter if another node is available. It returns once the leader has approved the
// departure, or after the timeout. Meanwhile streams and watches are closed. The caller calls
// Close afterwards.
func (n *Node) PrepareShutdown(timeout time.Duration) {
	n.isStopping.Store(true)
	n.membership.prepareShutdown(timeout)
}
