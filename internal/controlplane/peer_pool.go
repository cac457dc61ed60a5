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

// peerPool keeps this node's outgoing connections to the other members: one for
// heartbeats, votes, forwarded requests and reports, and one for what carries the
// log. A configuration of a megabyte takes seconds on a narrow link, and the former
// must not wait behind it. Consensus bounds how much of the log is on its way, so
// that the two do not starve each other on the link that they share.
//
// Its methods may be called from any goroutine, and none of them but call waits.
type peerPool struct {
	*environment
	// onControlNodes is called with the members of the group as a relay names them, and
	// onLogReconnected with the address of a peer whose log connection is a new one.
	onControlNodes   func([]transport.ControlNode)
	onLogReconnected func(addr string)

	lastCallID atomic.Uint64

	mu          sync.Mutex
	connections map[string]*peerConnection // by address
	addrByID    map[uint64]string
	zoneByAddr  map[string]string // as far as it is known
}

func newPeerPool(env *environment) *peerPool {
	return &peerPool{
		environment: env,
		connections: map[string]*peerConnection{},
		addrByID:    map[uint64]string{},
		zoneByAddr:  map[string]string{env.self.Addr: env.settings.Zone},
	}
}

// setMembership begins to connect to the members of the group, ahead of the first
// message to each, and ends the connections to all others.
func (p *peerPool) setMembership(membership raft.Membership) {
	members := membership.AllMembers()
	p.disconnectOthers(members)
	for _, m := range members {
		p.rememberAddr(m.ID, m.Addr)
		if m.ID != p.self.ID && m.Addr != p.self.Addr {
			p.logConnection(m.Addr)
		}
	}
}

// disconnectOthers ends the connections to all but the members. A node that knows
// no members yet keeps those to whom it asks to join.
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

// rememberAddr records where a member is reached; zero values are ignored.
func (p *peerPool) rememberAddr(id uint64, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id != 0 && addr != "" {
		p.addrByID[id] = addr
	}
}

// knownAddrs lists the addresses at which members have been reached or have said to be reached.
func (p *peerPool) knownAddrs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.addrByID))
}

// rememberZone records in which zone the node at an address is.
func (p *peerPool) rememberZone(addr, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr != "" {
		p.zoneByAddr[addr] = zone
	}
}

// zoneOf returns the zone of the node at an address, or an empty string.
func (p *peerPool) zoneOf(addr string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.zoneByAddr[addr]
}

// addrOf returns where a member is reached, or an empty string.
func (p *peerPool) addrOf(id uint64) string {
	if id == p.self.ID {
		return p.self.Addr
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addrByID[id]
}

// connection returns the connection to an address, and begins it if there is none.
func (p *peerPool) connection(addr string) *peerConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectionLocked(addr)
}

// logConnection returns the connection that carries the log to an address.
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

// sendMessages queues the messages of consensus for their peers: what carries the
// log alone, the others of one peer in one frame. What does not fit into a queue is
// dropped, and consensus sends it again.
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

// enqueue queues a frame for an address, or drops it if the queue is full. Frames to
// no address or to this node itself are dropped.
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

// redialNow has the connections to a peer that has just connected here dialled at once
// if they are down: an attempt that began while its machine had no power hangs for
// long, and after one that was refused the connection waits out its backoff.
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

// The reasons why a call to a peer has no response.
var (
	errPeerNotConnected = errors.New("controlplane: peer is not connected")
	errPeerTimeout      = errors.New("controlplane: peer did not answer")
	errPeerDisconnected = errors.New("controlplane: connection to the peer broke")
	errLeaderChanged    = errors.New("controlplane: another node leads, or none")
)

// call sends a request to a peer and waits for the response, until another node
// leads or the time-out passes. With an error, mayHaveArrived reports whether the peer
// may have got the request; if not, it never will.
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
