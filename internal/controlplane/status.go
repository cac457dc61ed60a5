package controlplane

import (
	"fmt"

	"lichentray/raft"
	"lichentray/registry"
	"lichentray/rollout"
)

// MemberStatus is one member of the core as the asked node sees it.
type MemberStatus struct {
	ID      string `json:"id"`
	Addr    string `json:"internal_address"`
	API     string `json:"control_plane"`
	Zone    string `json:"zone"`
	IsVoter bool   `json:"voter"`
	// MatchIndex and AgoMS are known at the leader only; AgoMS is -1 elsewhere.
	MatchIndex    uint64 `json:"match_index"`
	LastContactMS int64  `json:"heard_ms_ago"`
}

// ProxyStatus is one proxy node that watches at the asked node.
type ProxyStatus struct {
	Node     string `json:"node"`
	Revision uint64 `json:"revision"`
}

// ServiceStatus is a service's versions: how its newest roll-out stands and how many
// endpoints there are of each.
type ServiceStatus struct {
	Rollout   rollout.Rollout `json:"rollout"`
	Endpoints map[string]int  `json:"endpoints"`
}

// Status is what a control-plane node tells of itself.
type Status struct {
	Node          string         `json:"node"`
	ID            string         `json:"id"`
	Role          string         `json:"role"`
	Term          uint64         `json:"term"`
	Leader        string         `json:"leader"`
	CommitIndex   uint64         `json:"commit_index"`
	DurableIndex  uint64         `json:"durable_index"`
	Revision      uint64         `json:"revision"`
	ConfigVersion uint64         `json:"config_version"`
	Endpoints     int            `json:"endpoints"`
	Draining      int            `json:"draining"`
	IsUpToDate    bool           `json:"in_touch"`
	Members       []MemberStatus `json:"members"`
	Proxies       []ProxyStatus  `json:"proxies"`
	// WarmingUp endpoints, and those that all proxies together find ill.
	WarmingUp int `json:"cold"`
	Unhealthy int `json:"sick"`
	// Zones that are not in ordinary use, and the proxies in the directory.
	Zones map[string]string `json:"zones"`
	// Services tells, where versions are told apart, which versions there are.
	Services   map[string]ServiceStatus `json:"services,omitempty"`
	Registered []registry.Proxy         `json:"registered"`
}

func formatMemberID(id uint64) string { return fmt.Sprintf("%016x", id) }

// Status tells the node's state.
func (l *Node) Status() *Status {
	s, err := callLoop(l.loop, func(loop *loopState) *Status {
		n := loop.raft
		now := l.now()
		s := &Status{Node: l.settings.NodeName, ID: formatMemberID(l.self.ID), Role: n.Role().String(), Term: n.Term(), Leader: formatMemberID(n.LeaderID()), CommitIndex: n.CommitIndex(), DurableIndex: n.StableIndex()}
		ms := n.Membership()
		for _, m := range ms.AllMembers() {
			st := MemberStatus{ID: formatMemberID(m.ID), Addr: m.Addr, API: m.API, Zone: l.peers.zoneOf(m.Addr), IsVoter: ms.IsVoter(m.ID), LastContactMS: -1}
			if n.Role() == raft.Leader {
				st.MatchIndex, st.LastContactMS = n.MatchIndex(m.ID), 0
				if m.ID != l.self.ID {
					st.LastContactMS = (now - n.LastContact(m.ID)).Milliseconds()
				}
			}
			s.Members = append(s.Members, st)
		}
		return s
	})
	if err != nil {
		return &Status{Node: l.settings.NodeName}
	}
	s.IsUpToDate = l.isUpToDate()
	l.mu.RLock()
	defer l.mu.RUnlock()
	s.Revision = l.store.Revision()
	for _, o := range l.store.List(registry.EndpointPrefix) {
		s.Endpoints++
		if e, err := registry.DecodeEndpoint(o); err == nil {
			if e.Draining {
				s.Draining++
			}
			if e.WarmingUp {
				s.WarmingUp++
			}
		}
	}
	for _, v := range l.outlierVerdicts {
		if v.Sick {
			s.Unhealthy++
		}
	}
	for key, r := range l.rollouts {
		if s.Services == nil {
			s.Services = map[string]ServiceStatus{}
		}
		s.Services[key[len(registry.RolloutPrefix):]] = ServiceStatus{r.Rollout, map[string]int{}}
	}
	for _, e := range l.endpoints {
		if x, told := s.Services[e.Service]; told {
			x.Endpoints[e.Version]++
		}
	}
	s.Zones = l.zoneStates()
	for _, o := range l.store.List(registry.ProxyPrefix) {
		if p, err := registry.DecodeProxy(o); err == nil {
			s.Registered = append(s.Registered, p)
		}
	}
	s.ConfigVersion, _, _ = l.storedConfiguration()
	for p := range l.proxySessions {
		s.Proxies = append(s.Proxies, ProxyStatus{Node: p.proxyName, Revision: p.ackedRevision.Load()})
	}
	return s
}
