package controlplane

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"lichentray/internal/transport"
)

// sendQueueLength bounds the frames that wait for a peer.
const sendQueueLength = 256

// peerConnection is the outgoing connection to one peer, which its goroutine dials
// anew whenever it is down. Its queue is bounded: what does not fit is dropped.
type peerConnection struct {
	pool       *peerPool
	addr       string
	carriesLog bool
	ctx        context.Context
	cancel     context.CancelFunc

	sendQueue chan *transport.Frame
	// redial receives when the peer has connected here while this side is down.
	redial chan struct{}

	// logConnection is the connection that carries the log to the same peer, guarded by
	// the pool's lock. It is nil until there is something to carry, and in that
	// connection itself.
	logConnection *peerConnection

	mu           sync.Mutex
	pendingCalls map[uint64]*pendingCall
	isConnected  bool
}

// pendingCall is a request that waits for its response.
type pendingCall struct {
	// responses receives one response, or nil when the connection breaks.
	responses chan *transport.Response
	// mayHaveBeenSent is set before the request leaves the queue.
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

// enqueue queues a frame, or drops it if the queue is full.
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

// redialIfDown ends the wait before the next attempt, or the attempt itself.
func (c *peerConnection) redialIfDown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isConnected {
		wakeUp(c.redial)
	}
}

// startCall queues a request. It fails at once if the connection is down or the
// queue is full.
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

// abandonCall gives up a call and reports whether its request may have been sent.
// One that has not been sent never will be.
func (c *peerConnection) abandonCall(id uint64, call *pendingCall) (mayHaveBeenSent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingCalls, id)
	return call.mayHaveBeenSent
}

// claimForSending reports whether a queued frame is still to be sent: a request that
// nobody waits for any more is not. Any other request counts as sent from now on.
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

// deliver hands a response to whoever waits for it.
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

// setDisconnected marks the connection as down and fails the calls that wait.
func (c *peerConnection) setDisconnected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isConnected = false
	for id, call := range c.pendingCalls {
		delete(c.pendingCalls, id)
		call.responses <- nil
	}
}

// run keeps the connection up until the peer is no member any more or the node closes.
// Calls that wait then are left to their time-outs: the peer may have answered.
func (c *peerConnection) run() {
	shortest := c.pool.timing.HeartbeatInterval / 2
	backoff := shortest
	for c.ctx.Err() == nil {
		conn, wasInterrupted, err := c.dial()
		switch {
		case err == nil:
			if c.serveUntilBroken(conn) {
				backoff = shortest
				continue
			}
		case wasInterrupted:
			continue
		}
		select {
		case <-c.ctx.Done():
			return
		case <-c.redial:
			backoff = shortest
		case <-time.After(backoff + time.Duration(rand.Int63n(int64(backoff)))):
			backoff = min(backoff*2, c.pool.timing.ElectionTimeout)
		}
	}
}

// serveUntilBroken serves a new connection and marks it as down when it has ended. It reports
// whether the connection lasted: one that the other end accepts and closes is no better than one
// that it rejects, as a relay does that knows no core, or a node of another version.
func (c *peerConnection) serveUntilBroken(conn *transport.Conn) (hasLasted bool) {
	began := time.Now()
	c.serve(conn)
	if c.ctx.Err() == nil {
		c.setDisconnected()
	}
	return time.Since(began) > c.pool.timing.ElectionTimeout
}

// dial makes one attempt. wasInterrupted reports that it was given up because the peer
// has connected here meanwhile.
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

// serve sends what is queued over a new connection and delivers the responses, until
// the connection breaks or the peer is no member any more. The caller marks it as down.
func (c *peerConnection) serve(conn *transport.Conn) {
	conn.WriteTimeout = c.pool.timing.ConnectionTimeout
	c.dropStaleFrames()
	c.setConnected()
	defer context.AfterFunc(c.ctx, conn.Close)()
	broken := make(chan struct{})
	go func() {
		defer close(broken)
		defer conn.Close()
		c.receive(conn)
	}()
	c.send(conn, broken)
	conn.Close()
	<-broken
}

// dropStaleFrames drops what was queued while the peer was away. Of the log
// connection all of it: what was on its way, or waited for it, is sent anew from what
// the peer is known to hold. Of the other one only the newest frames matter.
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
func (c *peerConnection) send(conn *transport.Conn, broken <-chan struct{}) {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-broken:
			return
		case frame := <-c.sendQueue:
			if c.claimForSending(frame) && conn.Send(frame) != nil {
				return
			}
		}
	}
}

// receive reads what the peer sends back on this connection.
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
