package controlplane

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lichentray/internal/transport"
	"lichentray/raft"
)

// peerPool maintains this node's outgoing connections to the other members. There are two for
// each member: one for heartbeats, votes, forwarded requests and reports, and one for log entries
// and snapshots. A configuration of one megabyte takes seconds on a slow link, and must not delay
// the traffic of the first connection. Consensus limits how much of the log is in flight, so that
// the two connections do not starve each other on the link that they share.
//
// Its methods may be called from any goroutine, and none of them except call blocks.
type peerPool struct {
	*environment
	// onControlNodes is called with the group members reported by a relay, and onLogReconnected
	// with the address of a peer whose log connection was re-established.
	onControlNodes   func([]transport.ControlNode)
	onLogReconnected func(addr string)

	lastCallID atomic.Uint64

	mu          sync.Mutex
	connections map[string]*peerConnection // by address
	addrByID    map[uint64]string
	zoneByAddr  map[string]string // of the nodes whose zone is known
}

func newPeerPool(env *environment) *peerPool {
	return &peerPool{
		environment: env,
		connections: map[string]*peerConnection{},
		addrByID:    map[uint64]string{},
		zoneByAddr:  map[string]string{env.self.Addr: env.settings.Zone},
	}
}

// setMembership starts connecting to the members of the group, before there is a message for
// them, and closes the connections to all other nodes.
func (p *peerPool) setMembership(membership raft.Membership) {
	members := membership.AllMembers()
	p.disconnectOthers(members)
	for _, m := range members {
		p.recordAddr(m.ID, m.Addr)
		if m.ID != p.self.ID && m.Addr != p.self.Addr {
			p.logConnection(m.Addr)
		}
	}
}

// disconnectOthers closes the connections to all nodes but the members. A node that knows no
// members yet keeps the connections to the nodes that it asks to join.
func (p *peerPool) disconnectOthers(members []raft.Member) {
	if len(members) == 0 {
		return
	}
	isMember := map[string]bool{}
	for _, m := range members {
		isMember[m.Addr] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, connection := range p.connections {
		if !isMember[addr] {
			connection.cancel()
			delete(p.connections, addr)
		}
	}
}

// recordAddr records the address of a member. Zero values are ignored.
func (p *peerPool) recordAddr(id uint64, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id != 0 && addr != "" {
		p.addrByID[id] = addr
	}
}

// knownAddrs returns the addresses of members, as recorded from memberships and as given by the
// peers themselves.
func (p *peerPool) knownAddrs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.addrByID))
}

// recordZone records the zone of the node at an address.
func (p *peerPool) recordZone(addr, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr != "" {
		p.zoneByAddr[addr] = zone
	}
}

// zoneOf returns the zone of the node at an address, or an empty string if it is unknown.
func (p *peerPool) zoneOf(addr string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.zoneByAddr[addr]
}

// addrOf returns the address of a member, or an empty string if it is unknown.
func (p *peerPool) addrOf(id uint64) string {
	if id == p.self.ID {
		return p.self.Addr
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addrByID[id]
}

// connection returns the connection to an address, and starts it if there is none.
func (p *peerPool) connection(addr string) *peerConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectionLocked(addr)
}

// logConnection returns the connection that carries the log to an address, and starts it if there
// is none.
func (p *peerPool) logConnection(addr string) *peerConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	connection := p.connectionLocked(addr)
	if connection.logConnection == nil {
		connection.logConnection = p.startConnection(connection.ctx, addr, true)
	}
	return connection.logConnection
}

func (p *peerPool) connectionLocked(addr string) *peerConnection {
	connection := p.connections[addr]
	if connection == nil {
		connection = p.startConnection(p.ctx, addr, false)
		p.connections[addr] = connection
	}
	return connection
}

func (p *peerPool) startConnection(ctx context.Context, addr string, carriesLog bool) *peerConnection {
	connection := newPeerConnection(ctx, p, addr, carriesLog)
	p.start(connection.run)
	return connection
}

// sendMessages queues consensus messages for their recipients. Each message that carries log
// entries or a snapshot is sent in a frame of its own on the log connection; the other messages
// to a peer share one frame. Messages that do not fit into a queue are dropped, and consensus
// sends them again.
func (p *peerPool) sendMessages(messages []raft.Message) {
	var order []uint64
	frames := map[uint64]*transport.Frame{}
	for _, m := range messages {
		addr := p.addrOf(m.To)
		if addr == "" || addr == p.self.Addr {
			continue
		}
		if m.Type == raft.MsgAppend || m.Type == raft.MsgSnapshot {
			p.logConnection(addr).enqueue(&transport.Frame{Raft: []raft.Message{m}})
			continue
		}
		if frames[m.To] == nil {
			frames[m.To] = &transport.Frame{}
			order = append(order, m.To)
		}
		frames[m.To].Raft = append(frames[m.To].Raft, m)
	}
	for _, to := range order {
		p.connection(p.addrOf(to)).enqueue(frames[to])
	}
}

// enqueue queues a frame for an address, or drops it if the queue is full. Frames without an
// address or addressed to this node itself are dropped.
func (p *peerPool) enqueue(addr string, frame *transport.Frame) {
	if addr == "" || addr == p.self.Addr {
		return
	}
	p.connection(addr).enqueue(frame)
}

// isConnected reports whether the connection to an address is up.
func (p *peerPool) isConnected(addr string) bool {
	p.mu.Lock()
	connection := p.connections[addr]
	p.mu.Unlock()
	return connection != nil && connection.isUp()
}

// redialNow immediately redials the connections to a peer that has just connected to this node,
// if they are down. Otherwise an attempt that began while the peer was powered off would hang for
// a long time, and after a refused attempt the connection would wait for its backoff.
func (p *peerPool) redialNow(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	connection := p.connections[addr]
	if connection == nil {
		return
	}
	connection.redialIfDown()
	if connection.logConnection != nil {
		connection.logConnection.redialIfDown()
	}
}

// Errors of peerPool.call.
var (
	errPeerNotConnected = errors.New("controlplane: peer is not connected")
	errPeerTimeout      = errors.New("controlplane: timeout waiting for a response from the peer")
	errPeerDisconnected = errors.New("controlplane: connection to the peer was lost")
	errLeaderChanged    = errors.New("controlplane: leader changed")
)

// call sends a request to a peer and waits for the response until the leader changes or the
// timeout expires. With an error, mayHaveArrived reports whether the peer may have received the
// request; if it is false, the peer never will.
func (p *peerPool) call(target callTarget, request *transport.Request, timeout time.Duration) (response *transport.Response, mayHaveArrived bool, err error) {
	request.ID = p.lastCallID.Add(1)
	connection := p.connection(target.addr)
	call, err := connection.startCall(request)
	if err != nil {
		return nil, false, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case response := <-call.responses:
		if response != nil {
			return response, true, nil
		}
		err = errPeerDisconnected
	case <-target.leaderChanged:
		err = errLeaderChanged
	case <-timer.C:
		err = errPeerTimeout
	case <-p.ctx.Done():
		err = errPeerDisconnected
	}
	return nil, connection.abandonCall(request.ID, call), err
}
