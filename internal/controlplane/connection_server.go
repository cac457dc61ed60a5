package controlplane

import (
	"context"
	"errors"
	"io"
	"net"

	"lichentray/internal/api"
	"lichentray/internal/apierror"
	"lichentray/internal/discovery"
	"lichentray/internal/transport"
	"lichentray/registry"
)

// connectionServer accepts connections from peers, proxies and relays on the internal address and
// handles the frames of peers. Each connection has its own goroutine, and so does each request
// from a peer.
type connectionServer struct {
	*environment
	loop       *eventLoop
	peers      *peerPool
	consensus  *consensusView
	proposer   *proposer
	membership *membershipManager
	health     *healthMonitor
	reports    *reportAggregator
	watches    *watchServer
}

// acceptConnections accepts and serves connections until the node closes.
func (s *connectionServer) acceptConnections(listener net.Listener) {
	defer context.AfterFunc(s.ctx, func() { listener.Close() })()
	for {
		raw, err := listener.Accept()
		if err == nil {
			if !s.start(func() { s.serveConnection(raw) }) {
				raw.Close()
			}
			continue
		}
		if s.ctx.Err() != nil {
			return
		}
		s.sleep(s.timing.TickInterval)
	}
}

// serveConnection serves one connection until the remote process closes it or the node closes.
func (s *connectionServer) serveConnection(raw net.Conn) {
	defer context.AfterFunc(s.ctx, func() { raw.Close() })()
	conn, hello, err := transport.Accept(raw, s.timing.ConnectionTimeout)
	if err != nil {
		raw.Close()
		s.recordRejectedPeer(raw, err)
		return
	}
	defer conn.Close()
	api.AsGuarded(raw).BeginProcessing() // false if it was just closed, which the first read shows
	switch hello.Role {
	case transport.RolePeer:
		s.servePeer(conn, hello)
	case transport.RoleProxy:
		s.watches.serveProxy(conn, hello)
	case transport.RoleRelay:
		s.watches.serveRelay(conn)
	case transport.RoleAnnouncer:
		// The connecting node has this node as a seed but does not know it as a member: this node
		// is new or has lost its disk.
		contactWindow := s.settings.Bounds.ContactWindow.Duration()
		discovery.ReceiveAnnouncements(conn, contactWindow, s.membership.setAnnouncedNodes, s.membership.announcedCore)
	}
}

// recordRejectedPeer counts connections of peers that use a different protocol or version, and
// logs the first one. Timeouts, broken connections and connections closed before the first byte
// are not counted.
func (s *connectionServer) recordRejectedPeer(raw net.Conn, err error) {
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) {
		return
	}
	s.metrics.rejectedPeers.Inc()
	if s.metrics.rejectedPeers.Value() == 1 {
		s.logger.Warn("rejected a peer of another protocol or version (further ones are only counted)",
			"peer", raw.RemoteAddr().String(), "error", err)
	}
}

// servePeer handles the frames of another member. Requests are answered on the same connection;
// everything else is sent on this node's own connection to the member.
func (s *connectionServer) servePeer(conn *transport.Conn, hello transport.Hello) {
	s.peers.recordAddr(hello.ID, hello.Addr)
	s.peers.recordZone(hello.Addr, hello.Zone)
	s.peers.redialNow(hello.Addr)
	for {
		frame, err := conn.Receive(0)
		if err != nil {
			return
		}
		s.handlePeerFrame(conn, hello.ID, frame)
	}
}

// handlePeerFrame handles one frame from a member. Messages for consensus or for the leader are
// posted to the event loop; each request runs in its own goroutine.
func (s *connectionServer) handlePeerFrame(conn *transport.Conn, from uint64, frame *transport.Frame) {
	if messages := frame.Raft; len(messages) > 0 {
		s.loop.post(func(state *loopState) {
			now := s.now()
			for _, m := range messages {
				state.raft.Step(now, m)
			}
		})
	}
	if heartbeats := frame.Beats; len(heartbeats) > 0 {
		s.loop.post(func(state *loopState) { s.health.recordPeerHeartbeats(state, heartbeats) })
	}
	if aggregate := frame.Proxies; aggregate != nil {
		s.handleAggregate(from, aggregate)
	}
	if request := frame.Ask; request != nil {
		s.start(func() { s.serveRequest(conn, request) })
	}
}

// handleAggregate records the leader's totals or, on the leader, the report of another node.
func (s *connectionServer) handleAggregate(from uint64, aggregate *transport.ProxyAggregate) {
	if aggregate.Sum > 0 {
		s.watches.setSummary(proxySummary{
			proxies:  aggregate.Sum,
			loads:    aggregate.Loads,
			quotas:   aggregate.Rounds,
			verdicts: aggregate.Verdicts,
		})
		return
	}
	s.loop.post(func(state *loopState) { s.reports.recordNode(state, from, aggregate) })
}

// serveRequest responds to a request from a peer. Only join requests are forwarded to other
// nodes.
func (s *connectionServer) serveRequest(conn *transport.Conn, request *transport.Request) {
	response := s.handleRequest(request)
	response.ID = request.ID
	_ = conn.Send(&transport.Frame{Answer: response}) // the reader detects a broken connection
}

func (s *connectionServer) handleRequest(request *transport.Request) *transport.Response {
	switch {
	case request.Command != nil:
		return s.handleCommand(request)
	case request.Read:
		return s.proposer.handleAsLeader(request.ID, s.proposer.startReadIndex)
	case request.Leave != 0:
		return newResponse(request.ID, s.membership.approveLeave(request.Leave))
	case request.Join != nil:
		return s.handleJoin(request)
	}
	return &transport.Response{}
}

func (s *connectionServer) handleCommand(request *transport.Request) *transport.Response {
	cmd, err := registry.DecodeCommand(request.Command)
	if err != nil {
		return errorResponse(request.ID, apierror.New(apierror.BadRequest, "%v", err))
	}
	return s.proposer.handleAsLeader(request.ID, func(state *loopState, done chan<- outcome) string {
		return s.proposer.startProposal(state, cmd, done)
	})
}

// handleJoin admits a node. If this node is not the leader, it forwards the request to the leader
// once, because the leader may not be among the nodes known to the joining node.
func (s *connectionServer) handleJoin(request *transport.Request) *transport.Response {
	err := s.membership.admitLearner(*request.Join)
	leader := s.consensus.get().leaderAddr
	if errors.Is(err, ErrNotLeader) && !request.Passed && leader != "" && leader != s.self.Addr {
		forwarded := &transport.Request{Join: request.Join, Passed: true}
		response, _, callErr := s.peers.call(callTarget{addr: leader}, forwarded, s.timing.ElectionTimeout)
		if callErr == nil {
			return response
		}
	}
	return newResponse(request.ID, err)
}

// newResponse returns the response to a request whose only result is an error or nil.
func newResponse(id uint64, err error) *transport.Response {
	if err != nil {
		return errorResponse(id, err)
	}
	return &transport.Response{ID: id}
}

// errorResponse returns the response to a failed request. An error without a kind becomes
// Internal.
func errorResponse(id uint64, err error) *transport.Response {
	var apiErr *apierror.Error
	if errors.As(err, &apiErr) {
		return &transport.Response{ID: id, Failed: true, Kind: apiErr.Kind, Detail: apiErr.Detail}
	}
	return &transport.Response{ID: id, Failed: true, Kind: apierror.Internal, Detail: err.Error()}
}
