package controlplane

import (
	"context"
	"errors"
	"io"
	"net"

	"lichentray/internal/apierror"
	"lichentray/internal/discovery"
	"lichentray/internal/transport"
	"lichentray/registry"
)

// connectionServer accepts the connections of peers, proxies and relays at the
// internal address and speaks with the peers. Each connection has a goroutine, and
// each request of a peer another one.
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

// acceptConnections serves whoever connects until the node closes.
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

// serveConnection speaks with one process that connected, until it ends the
// connection or the node closes.
func (s *connectionServer) serveConnection(raw net.Conn) {
	defer context.AfterFunc(s.ctx, func() { raw.Close() })()
	conn, hello, err := transport.Accept(raw, s.timing.ConnectionTimeout)
	if err != nil {
		raw.Close()
		s.recordRejectedPeer(raw, err)
		return
	}
	defer conn.Close()
	switch hello.Role {
	case transport.RolePeer:
		s.servePeer(conn, hello)
	case transport.RoleProxy:
		s.watches.serveProxy(conn, hello)
	case transport.RoleRelay:
		s.watches.serveRelay(conn)
	case transport.RoleAnnouncer:
		// This node is a seed of one that does not know it as a member: it is new, or lost its disk.
		contactWindow := s.settings.Bounds.ContactWindow.Duration()
		discovery.ReceiveAnnouncements(conn, contactWindow, s.membership.setAnnouncedNodes, s.membership.announcedCore)
	}
}

// recordRejectedPeer counts a peer that speaks another protocol or version. Only the
// first one is logged. A time-out, a broken connection, and one that was closed before
// its first byte are not counted.
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

// servePeer handles what another member sends. Its requests are answered on the same
// connection, everything else on this node's own connection to it.
func (s *connectionServer) servePeer(conn *transport.Conn, hello transport.Hello) {
	s.peers.rememberAddr(hello.ID, hello.Addr)
	s.peers.rememberZone(hello.Addr, hello.Zone)
	s.peers.redialNow(hello.Addr)
	for {
		frame, err := conn.Receive(0)
		if err != nil {
			return
		}
		s.handlePeerFrame(conn, hello.ID, frame)
	}
}

// handlePeerFrame handles one frame of a member. What concerns consensus or the leader
// goes to the event loop, each request to a goroutine of its own.
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
		s.loop.post(func(state *loopState) { s.health.recordReported(state, heartbeats) })
	}
	if aggregate := frame.Proxies; aggregate != nil {
		s.handleAggregate(from, aggregate)
	}
	if request := frame.Ask; request != nil {
		s.start(func() { s.serveRequest(conn, request) })
	}
}

// handleAggregate records the leader's sums or, at the leader, what one node reports.
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

// serveRequest answers a request of a peer. It does not forward it, but for that of
// a node that wants to join.
func (s *connectionServer) serveRequest(conn *transport.Conn, request *transport.Request) {
	response := s.answer(request)
	response.ID = request.ID
	_ = conn.Send(&transport.Frame{Answer: response}) // a broken connection ends at its reader
}

func (s *connectionServer) answer(request *transport.Request) *transport.Response {
	switch {
	case request.Command != nil:
		return s.answerCommand(request)
	case request.Read:
		return s.proposer.handleAsLeader(request.ID, s.proposer.startReadIndex)
	case request.Leave != 0:
		return responseOf(request.ID, s.membership.approveLeave(request.Leave))
	case request.Join != nil:
		return s.answerJoin(request)
	}
	return &transport.Response{}
}

func (s *connectionServer) answerCommand(request *transport.Request) *transport.Response {
	cmd, err := registry.DecodeCommand(request.Command)
	if err != nil {
		return errorResponse(request.ID, apierror.New(apierror.BadRequest, "%v", err))
	}
	return s.proposer.handleAsLeader(request.ID, func(state *loopState, done chan<- outcome) string {
		return s.proposer.startProposal(state, cmd, done)
	})
}

// answerJoin admits a node, or forwards its request to the leader once: none of the
// nodes that a new one knows may be the leader.
func (s *connectionServer) answerJoin(request *transport.Request) *transport.Response {
	err := s.membership.admitLearner(*request.Join)
	leader := s.consensus.get().leaderAddr
	if errors.Is(err, ErrNotLeader) && !request.Passed && leader != "" && leader != s.self.Addr {
		forwarded := &transport.Request{Join: request.Join, Passed: true}
		response, _, callErr := s.peers.call(callTarget{addr: leader}, forwarded, s.timing.ElectionTimeout)
		if callErr == nil {
			return response
		}
	}
	return responseOf(request.ID, err)
}

// responseOf is the response to a request that has no other result than an error.
func responseOf(id uint64, err error) *transport.Response {
	if err != nil {
		return errorResponse(id, err)
	}
	return &transport.Response{ID: id}
}

// errorResponse is the response to a request that failed. An error without a kind is
// Internal.
func errorResponse(id uint64, err error) *transport.Response {
	var apiErr *apierror.Error
	if errors.As(err, &apiErr) {
		return &transport.Response{ID: id, Failed: true, Kind: apiErr.Kind, Detail: apiErr.Detail}
	}
	return &transport.Response{ID: id, Failed: true, Kind: apierror.Internal, Detail: err.Error()}
}
