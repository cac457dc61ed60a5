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

// The names and the order of the exported fields in this file are part of the protocol. Where a
// name is not descriptive, its comment says what the field holds.

// Role is the role of the process that opened a connection.
type Role uint8

// The values of the roles are part of the protocol.
const (
	// RolePeer is a control-plane node that takes part in the consensus group.
	RolePeer Role = iota + 1
	// RoleProxy is a proxy node.
	RoleProxy
	// RoleRelay is a control-plane node without a disk, which forwards calls to a core node and
	// stores no state.
	RoleRelay
	// RoleAnnouncer is a control-plane node that knows the members of the core and announces
	// them to a seed node: it sends bookmarks with only Control set, and each is answered with
	// one.
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

// Hello identifies the process that opened a connection.
type Hello struct {
	// Version is the protocol version, set by Dial.
	Version int
	Role    Role
	// Node is the node name from the settings.
	Node string
	// ID is the Raft member ID of a peer.
	ID uint64
	// Addr is the internal address (IP:port) of a peer.
	Addr string
	// Zone is the zone of a peer.
	Zone string
}

// Heartbeat is a heartbeat call of an endpoint, which the receiving control-plane node forwards
// to the leader. The leader decides whether endpoints are alive.
type Heartbeat struct {
	// ID is the endpoint's instance ID.
	ID string
	// AgoMS is the time in milliseconds from the receipt of the call until the frame was sent. It
	// is relative, as clocks of different machines are not comparable.
	AgoMS uint32
}

// Request is a call that is answered by one Response. One of Command, Read, Join, Leave, List
// and Watch is set and selects the operation.
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
	// Leave is the ID of a member whose process asks whether it may stop. The member repeats the
	// request until it succeeds.
	Leave uint64
	// List asks a control-plane node for a linearizable read of all watched objects, and for the
	// events that follow.
	List bool
	// Least is the minimum revision of a list, or the revision after which a watch starts.
	Least uint64
	// Watch asks for the events after Least, without a list.
	Watch bool
	// Packs says that the caller supports Response.Packed and Frame.PackedEvents.
	Packs bool
	// Zone is the caller's zone. If it is set, the node may redirect a list because a core node
	// in this zone is up, see Response.Nearer.
	Zone string
}

// Response answers the Request with the same ID.
type Response struct {
	ID uint64
	// Failed reports an error, which Kind and Detail hold. No other field is set then.
	Failed bool
	Kind   apierror.Kind
	Detail string
	// Result is the result of a Command.
	Result registry.Result
	// Index is the read index requested by Read.
	Index uint64
	// Revision is the revision of a list, or the latest revision at the node that serves a watch.
	Revision uint64
	// Objects holds the objects of a list.
	Objects []registry.Object
	// Gone rejects a watch, as the events after Least are no longer retained.
	Gone bool
	// Nearer redirects a list: it holds the core nodes, at least one of which is in the zone of
	// the request.
	Nearer []ControlNode
	// Packed replaces Objects in the response to a caller that set Packs, see Pack.
	Packed []byte
}

// UnpackObjects returns the objects from Packed, or Objects if there are no packed ones.
func (r *Response) UnpackObjects() ([]registry.Object, error) {
	if r.Packed == nil {
		return r.Objects, nil
	}
	return unpack[registry.Object](r.Packed)
}

// ControlNode is a member of the core of the control plane.
type ControlNode struct {
	// Addr is its internal address (IP:port).
	Addr string
	// API is the address (IP:port) of its HTTP API.
	API string
	// Zone is empty if it is not known.
	Zone string
}

// Bookmark reports the progress of a watch and that its sender is up to date: a follower that
// receives none looks for another node.
type Bookmark struct {
	// Revision is the revision up to which all events have been sent.
	Revision uint64
	// Control lists the core nodes that a follower may choose from. Empty means no change.
	Control []ControlNode
	// Proxies is the number of proxies in the deployment, or 0 if it is not known.
	Proxies int
	// Loads is the total load of all proxies, with the keys of ProxyReport.Loads.
	Loads map[string]loadbalance.Load
	// Round holds the quota grants of the receiving proxy, or nil if it has none.
	Round *QuotaGrants
	// Judged reports whether the bookmark carries Verdicts, which may be empty. Not every
	// bookmark does.
	Judged bool
	// Verdicts replaces all verdicts on endpoints that were sent before.
	Verdicts []loadbalance.Verdict
	// Diskless reports that all members of the core keep their logs in memory: no core machine
	// has a disk, so a relay has to join the consensus group.
	Diskless bool
}

// ProxyReport is sent periodically by a proxy to the control-plane node that it watches.
type ProxyReport struct {
	// Seq numbers the reports of a process, starting at 1. QuotaGrants refer to the report that
	// they answer, so that the proxy can date them by its own clock. A report with Seq 0 has no
	// data about requests.
	Seq uint64
	// Loads is the proxy's load by service and, if there is more than one region, also by service
	// and zone, separated by a zero byte.
	Loads map[string]loadbalance.Load
	// Seen holds the proxy's observations of endpoints since its last report, by instance ID.
	Seen map[string]loadbalance.Observation
	// Self is the proxy's registry entry, if the deployment has a directory that lists proxies
	// for clients.
	Self *registry.Proxy
	// Trials holds the proxy's report on each rollout in progress, by service.
	Trials map[string]RolloutReport
	// Account holds audit records that have not been acknowledged yet.
	Account *audit.Batch
}

// AuditAck acknowledges that audit records of a proxy process have been committed, so that the
// proxy does not send them again.
type AuditAck struct {
	// Life is the incarnation of the proxy process.
	Life string
	// Seq is the sequence number of the last committed record.
	Seq uint64
	// Closed reports that the end of the incarnation has been committed too.
	Closed bool
}

// RolloutReport is the state of one rollout as seen by a proxy, or by all proxies of a
// control-plane node.
type RolloutReport struct {
	// Order is the number of the order that started the rollout.
	Order uint64
	// Evidence counts outcomes by route and version: in a proxy's report since its last report,
	// in a control-plane node's report since the start of its process.
	Evidence rollout.Evidence
	// Proxies is the number of proxies that Stage and AtBase cover.
	Proxies int
	// Stage is the lowest stage of the rollout that any of these proxies has applied.
	Stage int
	// AtBase is the number of requests that these proxies have in flight at endpoints of the
	// base version.
	AtBase int
}

// QuotaGrants are the shares of endpoints in slow start that the leader grants to one proxy.
type QuotaGrants struct {
	// Seq is the Seq of the ProxyReport that the grants answer.
	Seq    uint64
	Grants []loadbalance.Grant
}

// ProxyAggregate aggregates reports of proxies. A node sends the leader the reports of its own
// proxies in Here, Loads, Seen, Trials and Life. The leader sends every node the totals over all
// proxies in Sum and Loads, and its decisions in Rounds and Verdicts.
type ProxyAggregate struct {
	// Here holds the Seq of the latest report of each proxy that watches the sending node, by
	// proxy name.
	Here map[string]uint64
	// Sum is the number of all proxies. It is greater than 0 only in messages from the leader.
	Sum int
	// Loads is the total load of the node's proxies or, from the leader, of all proxies, with the
	// keys of ProxyReport.Loads.
	Loads map[string]loadbalance.Load
	// Seen holds the proxies' observations of endpoints since the node's last message, by
	// instance ID.
	Seen map[string]loadbalance.Observation
	// Rounds holds the quota grants by proxy name.
	Rounds map[string]QuotaGrants
	// Trials holds the rollout reports by service. The leader stores them by Life, as the counts
	// of a node start at zero when it restarts.
	Trials map[string]RolloutReport
	// Life is the incarnation of the sending process.
	Life uint64
	// Verdicts are the leader's verdicts on all endpoints.
	Verdicts []loadbalance.Verdict
}
