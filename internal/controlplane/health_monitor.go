package controlplane

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/internal/transport"
	"lichentray/loadbalance"
	"lichentray/registry"
)

// healthMonitor records the heartbeats of endpoints and removes crashed endpoints, which are
// those whose heartbeats stopped and whose health check fails. Every node receives heartbeats and
// reports them to the leader. Only the leader removes endpoints and detects outliers in the
// observations of proxies.
type healthMonitor struct {
	*environment
	loop      *eventLoop
	state     *sharedState
	peers     *peerPool
	proposer  *proposer
	consensus *consensusView
	rollouts  *rolloutController

	// The fields below collect data until it is reported to the leader.
	mu           sync.Mutex
	heartbeats   map[string]time.Duration // arrival time of the newest one, by endpoint
	observations map[string]loadbalance.Observation
}

// endpointLiveness holds what the leader knows about endpoints, keyed by endpoint ID, see
// loopState.
type endpointLiveness struct {
	lastSeen map[string]time.Duration
	// isChecking holds the endpoints with a health check in progress.
	isChecking map[string]bool
	outliers   *loadbalance.OutlierDetector
}

func newEndpointLiveness() endpointLiveness {
	return endpointLiveness{lastSeen: map[string]time.Duration{}, isChecking: map[string]bool{}}
}

// recordSeen records that an endpoint was alive at a given time.
func (l *endpointLiveness) recordSeen(id string, at time.Duration) {
	l.lastSeen[id] = max(l.lastSeen[id], at)
}

// becomeLeader discards the state of an earlier term of this node as leader, so that every
// endpoint gets its full timeout.
func (h *healthMonitor) becomeLeader(state *loopState) {
	state.liveness.lastSeen = map[string]time.Duration{}
	state.liveness.outliers = loadbalance.NewOutlierDetector(h.timing.DeadMemberTimeout / 2)
}

// recordHeartbeat records that an endpoint has just sent a heartbeat to this node.
func (h *healthMonitor) recordHeartbeat(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heartbeats[id] = h.now()
}

// takeHeartbeats returns the heartbeats not yet reported and clears them. It returns nil if there
// are none.
func (h *healthMonitor) takeHeartbeats() map[string]time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.heartbeats) == 0 {
		return nil
	}
	taken := h.heartbeats
	h.heartbeats = map[string]time.Duration{}
	return taken
}

// addObservations adds the observations that proxies made of endpoints.
func (h *healthMonitor) addObservations(observations map[string]loadbalance.Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, o := range observations {
		h.observations[id] = h.observations[id].Add(o)
	}
}

// takeObservations returns the observations not yet reported and clears them.
func (h *healthMonitor) takeObservations() map[string]loadbalance.Observation {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := h.observations
	h.observations = map[string]loadbalance.Observation{}
	return taken
}

// reportHeartbeats sends the heartbeats recorded on this node to the leader.
func (h *healthMonitor) reportHeartbeats(state *loopState, now time.Duration) {
	heartbeats := h.takeHeartbeats()
	if heartbeats == nil {
		return
	}
	if state.isLeader() {
		for id, at := range heartbeats {
			state.liveness.recordSeen(id, at)
		}
		return
	}
	var frame transport.Frame
	for id, at := range heartbeats {
		ago := uint32((now - at).Milliseconds())
		frame.Beats = append(frame.Beats, transport.Heartbeat{ID: id, AgoMS: ago})
	}
	h.peers.enqueue(h.peers.addrOf(state.raft.LeaderID()), &frame)
}

// recordPeerHeartbeats records the heartbeats reported by another node.
func (h *healthMonitor) recordPeerHeartbeats(state *loopState, heartbeats []transport.Heartbeat) {
	now := h.now()
	for _, heartbeat := range heartbeats {
		age := time.Duration(heartbeat.AgoMS) * time.Millisecond
		state.liveness.recordSeen(heartbeat.ID, now-age)
	}
}

// verdicts evaluates all endpoints, including the observations reported since the last call.
func (h *healthMonitor) verdicts(state *loopState, now time.Duration, observations map[string]loadbalance.Observation) []loadbalance.Verdict {
	outliers := state.liveness.outliers
	outliers.Observe(observations)
	return outliers.Verdicts(now, h.state.onLoop(state).endpointsByService())
}

// checkLiveness starts a health check of every endpoint whose heartbeats stopped. It does so only
// while this node is in contact with a majority, and only once it has been leader for long enough
// to have heard of every endpoint that is alive.
func (h *healthMonitor) checkLiveness(state *loopState, now time.Duration) {
	if !state.raft.HasQuorumContact(h.timing.ElectionTimeout) || now-state.leaderSince < h.timing.EndpointTimeout {
		return
	}
	replicated := h.state.onLoop(state)
	liveness := &state.liveness
	for key, endpoint := range replicated.endpoints {
		lastSeen, isKnown := liveness.lastSeen[endpoint.ID]
		if !isKnown {
			liveness.lastSeen[endpoint.ID] = now
			continue
		}
		if now-lastSeen <= h.timing.EndpointTimeout || liveness.isChecking[endpoint.ID] {
			continue
		}
		liveness.isChecking[endpoint.ID] = true
		object, _ := replicated.store.Get(key)
		h.start(func() { h.checkEndpoint(object, endpoint) })
	}
	h.pruneUnregistered(liveness, replicated, now)
}

// pruneUnregistered deletes the heartbeat times of endpoints that are no longer registered.
func (h *healthMonitor) pruneUnregistered(liveness *endpointLiveness, replicated *replicatedState, now time.Duration) {
	for id, lastSeen := range liveness.lastSeen {
		_, isRegistered := replicated.endpoints[registry.EndpointPrefix+id]
		if !isRegistered && now-lastSeen > h.timing.EndpointTimeout {
			delete(liveness.lastSeen, id)
		}
	}
}

// checkEndpoint checks the health of an endpoint whose heartbeats stopped. If the check fails,
// the endpoint is removed unless it has changed since it was read.
func (h *healthMonitor) checkEndpoint(object registry.Object, endpoint registry.Endpoint) {
	path := h.healthCheckPath(endpoint.Service)
	isHealthy := path != "" && isEndpointHealthy(h.ctx, endpoint, path, h.timing.ConnectionTimeout)
	if h.ctx.Err() != nil {
		return // the check was interrupted, so its result is meaningless
	}
	h.metrics.healthChecks().Inc()
	defer h.loop.post(func(state *loopState) {
		delete(state.liveness.isChecking, endpoint.ID)
		if isHealthy {
			state.liveness.lastSeen[endpoint.ID] = h.now()
		}
	})
	if isHealthy {
		return
	}
	response := h.proposer.handleAsLeader(0, func(state *loopState, done chan<- outcome) string {
		if h.now()-state.liveness.lastSeen[endpoint.ID] <= h.timing.EndpointTimeout {
			return "" // a heartbeat has arrived in the meantime
		}
		return h.proposer.startProposal(state, registry.Command{Txn: removeEndpoint(object, endpoint)}, done)
	})
	if !response.Failed && !response.Result.Conflict {
		h.metrics.endpointsRemoved.Inc()
		h.logger.Info("endpoint removed: no heartbeats and health check failed",
			"endpoint", endpoint.ID, "service", endpoint.Service)
	}
}

func (h *healthMonitor) healthCheckPath(service string) (path string) {
	h.state.update(func(r *replicatedState) {
		cluster, _ := r.cluster(service)
		path = cluster.HealthPath
	})
	return path
}

// maxHealthResponseBytes is the maximum size of the body of a health check response.
const maxHealthResponseBytes = 64 << 10

// isEndpointHealthy sends a health check to an endpoint. A response proves the endpoint healthy
// if it carries the ID of the endpoint, because by now another endpoint may listen at the
// address, or if it carries no ID and its status is 200.
func isEndpointHealthy(ctx context.Context, endpoint registry.Endpoint, path string, timeout time.Duration) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + endpoint.Address + path)
	request.Header.Set("X-Target-Instance", endpoint.ID)
	request.SetConnectionClose()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // closes the connection
	dialer := net.Dialer{Timeout: timeout}
	client := fasthttp.HostClient{
		Addr:                      endpoint.Address,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxHealthResponseBytes,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, "tcp4", addr)
			if err == nil {
				context.AfterFunc(ctx, func() { conn.Close() })
			}
			return conn, err
		},
	}
	if err := client.DoTimeout(request, response, timeout); err != nil {
		return false
	}
	id := string(response.Header.Peek("X-Instance-Id"))
	return id == endpoint.ID || (id == "" && response.StatusCode() == fasthttp.StatusOK)
}
