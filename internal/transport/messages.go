package transport

import (
	"strconv"

	"lichentray/audit"
	"lichentray/internal/apierror"
	"lichentray/loadbalance"
	"lichentray/raft"
	"lichentray/registry"
	"lichentray/rollout"
)

// The names and the order of the exported fields in this file are part of the wire. Where a
// name says little, its comment says what it holds.

// Role is what the process is that opened a connection.
type Role uint8

// The roles. Their values are part of the wire.
const (
	// RolePeer is a control-plane node that takes part in the consensus group.
	RolePeer Role = iota + 1
	// RoleProxy is a proxy node.
	RoleProxy
	// RoleRelay is a control-plane node without a disk, which forwards calls to a node of
	// the core and holds no state.
	RoleRelay
	// RoleAnnouncer is a control-plane node that knows the core and tells a seed node where it
	// is: it sends bookmarks of which only Control is set, and each is answered with one.
	RoleAnnouncer
)

// String returns the role in lower case.
func (r Role) String() string {
	switch r {
	case RolePeer:
		return "peer"
	case RoleProxy:
		return "proxy"
	case RoleRelay:
		return "relay"
	case RoleAnnouncer:
		return "announcer"
	}
	return "role(" + strconv.Itoa(int(r)) + ")"
}

// Hello introduces the process that opened a connection.
type Hello struct {
	// Version is set by Dial, see the constant Version.
	Version int
	Role    Role
	// Node is the name of the node in its settings.
	Node string
	// ID is the Raft member ID of a peer.
	ID uint64
	// Addr is the internal address (IP:port) at which a peer is reached.
	Addr string
	// Zone is the zone of a peer.
	Zone string
}

// Heartbeat says that an endpoint has called a control-plane node. The node that received the
// call forwards it to the leader, which judges liveness.
type Heartbeat struct {
	// ID is the endpoint's instance ID.
	ID string
	// AgoMS is how long before the sending of the frame the call came, in milliseconds.
	// Clocks of different machines are not compared.
	AgoMS uint32
}

// Request is a call that is answered by one Response. One of Command, Read, Join and Leave, or
// List or Watch, says what is wanted.
type Request struct {
	// ID is chosen by the caller and returned in the Response.
	ID uint64
	// Command is an encoded registry command for the leader to propose.
	Command []byte
	// Read asks the leader for a read index (ReadIndex; Ongaro, section 6.4).
	Read bool
	// Join asks to add the given node as a learner.
	Join *raft.Member
	// Passed marks a Join that a follower forwarded to the leader. It is not forwarded again.
	Passed bool
	// Leave is the ID of a member whose process asks whether it may end. The member repeats the
	// request until the response is no failure.
	Leave uint64
	// List asks a control-plane node for all watched objects as of a linearizable read, and
	// for the events that follow.
	List bool
	// Least is the revision that a list must have reached at least, or after which a watch
	// begins.
	Least uint64
	// Watch asks for the events after Least, without a list.
	Watch bool
	// Packs says that the caller understands Response.Packed and Frame.PackedEvents.
	Packs bool
	// Zone, if it is set, is the caller's zone and allows the node to redirect a list because a
	// node of this zone is up, see Response.Nearer.
	Zone string
}

// Response answers the Request with the same ID.
type Response struct {
	ID uint64
	// Failed says that Kind and Detail hold an error and that nothing else is set.
	Failed bool
	Kind   apierror.Kind
	Detail string
	// Result is the outcome of a Command.
	Result registry.Result
	// Index is the read index that Read asked for.
	Index uint64
	// Revision is that of a list, or the newest one at the node of a watch.
	Revision uint64
	// Objects is the list.
	Objects []registry.Object
	// Gone rejects a watch, as the events after Least are no longer retained.
	Gone bool
	// Nearer, in place of a list, names the core, which has a node in the zone that the
	// request gave.
	Nearer []ControlNode
	// Packed takes the place of Objects in an answer to a caller that set Packs, see Pack.
	Packed []byte
}

// UnpackObjects returns the list, whichever of Objects and Packed holds it.
func (r *Response) UnpackObjects() ([]registry.Object, error) {
	if r.Packed == nil {
		return r.Objects, nil
	}
	return unpack[registry.Object](r.Packed)
}

// ControlNode is a member of the control plane's core.
type ControlNode struct {
	// Addr is its internal address (IP:port).
	Addr string
	// API is the address (IP:port) of its HTTP API.
	API string
	// Zone is empty while it is not known.
	Zone string
}

// Bookmark says how far a watch has come, and that its sender is up to date: a follower that
// hears none looks for another node.
type Bookmark struct {
	// Revision says that all events up to it have been sent.
	Revision uint64
	// Control is the core, for a follower to choose from. Empty means no change.
	Control []ControlNode
	// Proxies is the number of proxies in the deployment, 0 while it is not known.
	Proxies int
	// Loads is the load of all proxies together, with the keys of ProxyReport.Loads.
	Loads map[string]loadbalance.Load
	// Round holds the quota grants of the receiving proxy, or nil if it has none.
	Round *QuotaGrants
	// Judged says that Verdicts is set, be it to none. It is not in every bookmark.
	Judged bool
	// Verdicts replaces the verdicts on endpoints that were sent before.
	Verdicts []loadbalance.Verdict
	// Diskless says that all members of the core keep their logs in memory: no machine has a
	// disk, so a relay has to take part in the group.
	Diskless bool
}

// ProxyReport is what a proxy sends at intervals to the control-plane node that it watches.
type ProxyReport struct {
	// Seq numbers the reports of a process, from 1 on. QuotaGrants name the report that they
	// answer, so that the proxy can date them by its own clock. 0 is a report that holds
	// nothing of requests.
	Seq uint64
	// Loads is the proxy's load by service and, where there is more than one region, also by
	// service and zone, with a zero byte between them.
	Loads map[string]loadbalance.Load
	// Seen is what the proxy observed of endpoints since its last report, by instance ID.
	Seen map[string]loadbalance.Observation
	// Self is the proxy's entry in the registry, where a directory names proxies to clients.
	Self *registry.Proxy
	// Trials is what the proxy knows of each roll-out in progress, by service.
	Trials map[string]RolloutReport
	// Account holds audit records that were not acknowledged yet.
	Account *audit.Batch
}

// AuditAck says that audit records of a proxy process have been committed, so that the proxy
// need not send them again.
type AuditAck struct {
	// Life is the incarnation of the proxy process.
	Life string
	// Seq is the number of the last committed record.
	Seq uint64
	// Closed says that the end of the incarnation has been committed too.
	Closed bool
}

// RolloutReport is what a proxy, or a control-plane node for all its proxies, knows of one
// roll-out.
type RolloutReport struct {
	// Order is the number of the order that began the roll-out.
	Order uint64
	// Evidence counts outcomes by route and version: in the report of a proxy since its last
	// report, in that of a control-plane node since the start of its process.
	Evidence rollout.Evidence
	// Proxies is the number of proxies that Stage and AtBase speak of.
	Proxies int
	// Stage is the lowest stage of the roll-out that any of these proxies has applied.
	Stage int
	// AtBase is how many requests these proxies have in flight at endpoints of the old
	// version.
	AtBase int
}

// QuotaGrants are the shares of endpoints in slow start that the leader grants one proxy.
type QuotaGrants struct {
	// Seq is that of the ProxyReport which the grants answer.
	Seq    uint64
	Grants []loadbalance.Grant
}

// ProxyAggregate sums up reports of proxies. A node sends the leader what its own proxies
// reported: Here, Loads, Seen, Trials and Life. The leader sends every node the sums over all
// proxies: Sum, Loads, Rounds and Verdicts.
type ProxyAggregate struct {
	// Here holds, for each proxy that watches at the sending node, the Seq of its newest
	// report by the proxy's name.
	Here map[string]uint64
	// Sum is the number of all proxies. It is above 0 in a message of the leader, and only
	// there.
	Sum int
	// Loads is the load of the node's proxies or of all, with the keys of ProxyReport.Loads.
	Loads map[string]loadbalance.Load
	// Seen is what proxies observed of endpoints since the node's last message, by instance
	// ID.
	Seen map[string]loadbalance.Observation
	// Rounds are the grants by name of the proxy.
	Rounds map[string]QuotaGrants
	// Trials is by service. The leader keeps it under Life, as a node that restarts begins
	// to count anew.
	Trials map[string]RolloutReport
	// Life is the incarnation of the sending process.
	Life uint64
	// Verdicts are the leader's on all endpoints.
	Verdicts []loadbalance.Verdict
}
