package controlplane

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"lichentray/internal/transport"
)

// sendQueueLength is the maximum number of frames queued for a peer.
const sendQueueLength = 256

// peerConnection is the outgoing connection to one peer. Its goroutine redials whenever the
// connection is down. Frames that do not fit into its bounded queue are dropped.
type peerConnection struct {
	pool       *peerPool
	addr       string
	carriesLog bool
	ctx        context.Context
	cancel     context.CancelFunc

	sendQueue chan *transport.Frame
	// redial receives a value when the peer has connected to this node while this connection is
	// down.
	redial chan struct{}

	// logConnection is the connection that carries the log to the same peer, guarded by the
	// pool's lock. It is nil until it is first needed, and in the log connection itself.
	logConnection *peerConnection

	mu           sync.Mutex
	pendingCalls map[uint64]*pendingCall
	isConnected  bool
}

// pendingCall is a request that waits for its response.
type pendingCall struct {
	// responses receives one response, or nil when the connection breaks.
	responses chan *transport.Response
	// mayHaveBeenSent is set before the request is taken from the queue to be sent.
	mayHaveBeenSent bool
}

func newPeerConnection(ctx context.Context, pool *peerPool, addr string, carriesLog bool) *peerConnection {
	c := &peerConnection{
		pool:         pool,
		addr:         addr,
		carriesLog:   carriesLog,
		sendQueue:    make(chan *transport.Frame, sendQueueLength),
		redial:       make(chan struct{}, 1),
		pendingCalls: map[uint64]*pendingCall{},
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// enqueue queues a frame, or drops it and returns false if the queue is full.
func (c *peerConnection) enqueue(frame *transport.Frame) bool {
	select {
	case c.sendQueue <- frame:
		return true
	default:
		return false
	}
}

// isUp reports whether the connection is up.
func (c *peerConnection) isUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isConnected
}

// redialIfDown interrupts the wait before the next dial attempt, or the attempt in progress, so
// that the peer is dialed immediately.
func (c *peerConnection) redialIfDown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isConnected {
		wakeUp(c.redial)
	}
}

// startCall queues a request. It fails immediately if the connection is down or the queue is
// full.
func (c *peerConnection) startCall(request *transport.Request) (*pendingCall, error) {
	call := &pendingCall{responses: make(chan *transport.Response, 1)}
	c.mu.Lock()
	if !c.isConnected {
		c.mu.Unlock()
		return nil, errPeerNotConnected
	}
	c.pendingCalls[request.ID] = call
	c.mu.Unlock()
	if !c.enqueue(&transport.Frame{Ask: request}) {
		c.abandonCall(request.ID, call)
		return nil, errPeerNotConnected
	}
	return call, nil
}

// abandonCall cancels a call and reports whether its request may have been sent. A request that
// has not been sent never will be.
func (c *peerConnection) abandonCall(id uint64, call *pendingCall) (mayHaveBeenSent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingCalls, id)
	return call.mayHaveBeenSent
}

// claimForSending reports whether a queued frame should still be sent. A request whose call was
// abandoned is not sent; any other request counts as possibly sent from then on.
func (c *peerConnection) claimForSending(frame *transport.Frame) bool {
	if frame.Ask == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.pendingCalls[frame.Ask.ID]
	if call == nil {
		return false
	}
	call.mayHaveBeenSent = true
	return true
}

// deliver passes a response to the call that waits for it, if any.
func (c *peerConnection) deliver(response *transport.Response) {
	c.mu.Lock()
	call := c.pendingCalls[response.ID]
	delete(c.pendingCalls, response.ID)
	c.mu.Unlock()
	if call != nil {
		call.responses <- response
	}
}

// setConnected marks the connection as up.
func (c *peerConnection) setConnected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isConnected = true
}

// setDisconnected marks the connection as down and fails the pending calls.
func (c *peerConnection) setDisconnected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isConnected = false
	for id, call := range c.pendingCalls {
		delete(c.pendingCalls, id)
		call.responses <- nil
	}
}

// run keeps the connection up until the peer is no longer a member or the node closes. Calls that
// are pending at that point end with their timeouts, because the peer may still have responded.
func (c *peerConnection) run() {
	minBackoff := c.pool.timing.HeartbeatInterval / 2
	backoff := minBackoff
	for c.ctx.Err() == nil {
		conn, wasInterrupted, err := c.dial()
		switch {
		case err == nil:
			if c.serveUntilClosed(conn) {
				backoff = minBackoff
				continue
			}
		case wasInterrupted:
			continue
		}
		select {
		case <-c.ctx.Done():
			return
		case <-c.redial:
			backoff = minBackoff
		case <-time.After(backoff + time.Duration(rand.Int63n(int64(backoff)))):
			backoff = min(backoff*2, c.pool.timing.ElectionTimeout)
		}
	}
}

// serveUntilClosed serves a new connection and marks it as down when it has ended. It reports
// whether the connection was stable, that is, lasted longer than ElectionTimeout. One that the
// peer accepts and then closes is treated like one that it rejects: a relay that knows no core
// and a node of a different version close connections this way.
func (c *peerConnection) serveUntilClosed(conn *transport.Conn) (wasStable bool) {
	began := time.Now()
	c.serve(conn)
	if c.ctx.Err() == nil {
		c.setDisconnected()
	}
	return time.Since(began) > c.pool.timing.ElectionTimeout
}

// dial makes one attempt. wasInterrupted reports whether it was canceled because the peer has
// connected to this node in the meantime.
func (c *peerConnection) dial() (conn *transport.Conn, wasInterrupted bool, err error) {
	ctx, cancel := context.WithCancel(c.ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case <-c.redial:
			wasInterrupted = true
			cancel()
		case <-ctx.Done():
		}
	}()
	env := c.pool.environment
	hello := transport.Hello{
		Role: transport.RolePeer,
		Node: env.settings.NodeName,
		ID:   env.self.ID,
		Addr: env.self.Addr,
		Zone: env.settings.Zone,
	}
	conn, err = transport.Dial(ctx, c.addr, env.timing.ConnectionTimeout/2, hello)
	cancel()
	<-watched
	return conn, wasInterrupted, err
}

// serve sends queued frames over a new connection and delivers the responses, until the
// connection breaks or the peer is no longer a member. The caller marks the connection as down.
func (c *peerConnection) serve(conn *transport.Conn) {
	conn.WriteTimeout = c.pool.timing.ConnectionTimeout
	c.dropStaleFrames()
	c.setConnected()
	defer context.AfterFunc(c.ctx, conn.Close)()
	receiverDone := make(chan struct{})
	go func() {
		defer close(receiverDone)
		defer conn.Close()
		c.receive(conn)
	}()
	c.send(conn, receiverDone)
	conn.Close()
	<-receiverDone
}

// dropStaleFrames drops frames that were queued while the peer was unreachable. A log connection
// drops all of them, because the log entries in flight and in the queue are sent again from the
// position that the peer is known to have reached. The other connection keeps only the newest
// frames.
func (c *peerConnection) dropStaleFrames() {
	if c.carriesLog {
		for len(c.sendQueue) > 0 {
			<-c.sendQueue
		}
		c.pool.onLogReconnected(c.addr)
		return
	}
	for len(c.sendQueue) > cap(c.sendQueue)/8 {
		<-c.sendQueue
	}
}

// send writes queued frames until the connection breaks.
func (c *peerConnection) send(conn *transport.Conn, receiverDone <-chan struct{}) {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-receiverDone:
			return
		case frame := <-c.sendQueue:
			if c.claimForSending(frame) && conn.Send(frame) != nil {
				return
			}
		}
	}
}

// receive reads the frames that the peer sends on this connection.
func (c *peerConnection) receive(conn *transport.Conn) {
	for {
		frame, err := conn.Receive(0)
		if err != nil {
			return
		}
		if b := frame.Bookmark; b != nil && len(b.Control) > 0 {
			c.pool.onControlNodes(b.Control)
		}
		if frame.Answer != nil {
			c.deliver(frame.Answer)
		}
	}
}
