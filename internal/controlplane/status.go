package controlplane

import (
	"fmt"

	"lichentray/raft"
	"lichentray/registry"
	"lichentray/rollout"
)

// Status is the state of a control-plane node as the node itself sees it.
type Status struct {
	Node   string `json:"node"`
	ID     string `json:"id"`
	Role   string `json:"role"`
	Term   uint64 `json:"term"`
	Leader string `json:"leader"`
	// CommitIndex is the newest log index known to be committed, and DurableIndex the newest one
	// on this node's disk.
	CommitIndex  uint64 `json:"commit_index"`
	DurableIndex uint64 `json:"durable_index"`
	// Revision is the revision of the registry, and ConfigVersion the version of the
	// configuration.
	Revision      uint64 `json:"revision"`
	ConfigVersion uint64 `json:"config_version"`
	// Endpoints counts the registered endpoints, and Draining those of them that are draining.
	Endpoints int `json:"endpoints"`
	Draining  int `json:"draining"`
	// IsUpToDate reports whether other processes may rely on this node: it holds everything that
	// was acknowledged anywhere until a moment ago.
	IsUpToDate bool           `json:"in_touch"`
	Members    []MemberStatus `json:"members"`
	// Proxies are the proxies that watch on this node.
	Proxies []ProxyStatus `json:"proxies"`
	// WarmingUp counts the endpoints in slow start, and Unhealthy those that are outliers by the
	// observations of all proxies.
	WarmingUp int `json:"cold"`
	Unhealthy int `json:"sick"`
	// Zones holds the state of each zone that is not in normal use.
	Zones map[string]string `json:"zones"`
	// Services holds the rollout and the endpoints of each service in deployments with
	// rollouts.
	Services map[string]ServiceStatus `json:"services,omitempty"`
	// Registered are the proxies in the directory.
	Registered []registry.Proxy `json:"registered"`
}

// MemberStatus is the state of a member of the group as the queried node sees it.
type MemberStatus struct {
	ID      string `json:"id"`
	Addr    string `json:"internal_address"`
	API     string `json:"control_plane"`
	Zone    string `json:"zone"`
	IsVoter bool   `json:"voter"`
	// MatchIndex and LastContactMS are known only on the leader. LastContactMS is the time in
	// milliseconds since the last message from the member, and -1 on any other node.
	MatchIndex    uint64 `json:"match_index"`
	LastContactMS int64  `json:"heard_ms_ago"`
}

// ProxyStatus is a proxy that watches on the queried node.
type ProxyStatus struct {
	Node string `json:"node"`
	// Revision is the newest revision that the proxy has acknowledged.
	Revision uint64 `json:"revision"`
}

// ServiceStatus holds a service's newest rollout and the number of its endpoints by version.
type ServiceStatus struct {
	Rollout   rollout.Rollout `json:"rollout"`
	Endpoints map[string]int  `json:"endpoints"`
}

// formatMemberID formats a member ID as it appears in logs and in the status.
func formatMemberID(id uint64) string { return fmt.Sprintf("%016x", id) }

// Status returns the node's state. It may be called from any goroutine. If the node is stopping,
// the status holds only its name.
func (n *Node) Status() *Status {
	status, err := callLoop(n.loop, n.consensusStatus)
	if err != nil {
		return &Status{Node: n.settings.NodeName}
	}
	status.IsUpToDate = n.consensus.isUpToDate()
	n.state.view(status.addReplicated)
	n.watches.addStatus(status)
	return status
}

// consensusStatus returns the part of the status that is owned by the event loop.
func (n *Node) consensusStatus(state *loopState) *Status {
	node := state.raft
	status := &Status{
		Node:         n.settings.NodeName,
		ID:           formatMemberID(n.self.ID),
		Role:         node.Role().String(),
		Term:         node.Term(),
		Leader:       formatMemberID(node.LeaderID()),
		CommitIndex:  node.CommitIndex(),
		DurableIndex: node.StableIndex(),
	}
	for _, m := range node.Membership().AllMembers() {
		status.Members = append(status.Members, n.memberStatus(state, m))
	}
	return status
}

func (n *Node) memberStatus(state *loopState, m raft.Member) MemberStatus {
	status := MemberStatus{
		ID:            formatMemberID(m.ID),
		Addr:          m.Addr,
		API:           m.API,
		Zone:          n.peers.zoneOf(m.Addr),
		IsVoter:       state.raft.Membership().IsVoter(m.ID),
		LastContactMS: -1,
	}
	if !state.isLeader() {
		return status
	}
	status.MatchIndex = state.raft.MatchIndex(m.ID)
	status.LastContactMS = 0
	if m.ID != n.self.ID {
		status.LastContactMS = (n.now() - state.raft.LastContact(m.ID)).Milliseconds()
	}
	return status
}

// addReplicated adds the part of the status that comes from the replicated state.
func (s *Status) addReplicated(r *replicatedState) {
	s.Revision = r.store.Revision()
	s.ConfigVersion, _, _ = r.configuration()
	s.Zones = r.zoneStates()
	s.addEndpoints(r)
	s.addServices(r)
	for _, o := range r.store.List(registry.ProxyPrefix) {
		if proxy, err := registry.DecodeProxy(o); err == nil {
			s.Registered = append(s.Registered, proxy)
		}
	}
}

func (s *Status) addEndpoints(r *replicatedState) {
	s.Endpoints = len(r.store.List(registry.EndpointPrefix))
	for _, e := range r.endpoints {
		if e.Draining {
			s.Draining++
		}
		if e.WarmingUp {
			s.WarmingUp++
		}
	}
}

func (s *Status) addServices(r *replicatedState) {
	if len(r.rollouts) == 0 {
		return
	}
	s.Services = map[string]ServiceStatus{}
	for key, record := range r.rollouts {
		s.Services[serviceOfRollout(key)] = ServiceStatus{Rollout: record.Rollout, Endpoints: map[string]int{}}
	}
	for _, e := range r.endpoints {
		if service, isKnown := s.Services[e.Service]; isKnown {
			service.Endpoints[e.Version]++
		}
	}
}

// addStatus adds the proxies that watch on this node and the number of unhealthy endpoints from
// the summary.
func (w *watchServer) addStatus(status *Status) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	for _, verdict := range w.summary.verdicts {
		if verdict.Sick {
			status.Unhealthy++
		}
	}
	for session := range w.sessions {
		status.Proxies = append(status.Proxies, ProxyStatus{Node: session.proxyName, Revision: session.ackedRevision.Load()})
	}
}
