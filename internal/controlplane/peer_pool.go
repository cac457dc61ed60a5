package controlplane

import (
	"context"
	"errors"
	"io"
	"math/rand"
	"net"
	"sync"
	"time"

	"lichentray/internal/apierror"
	"lichentray/internal/transport"
	"lichentray/raft"
	"lichentray/registry"
)

// peerConnection is the outgoing connection to one peer. Its queue is bounded: what does
// not fit is dropped, and consensus sends it again.
type peerConnection struct {
	addr         string
	sendQueue    chan *transport.Frame
	mu           sync.Mutex
	pendingCalls map[uint64]*pendingCall
	isConnected  bool
	redial       chan struct{} // the peer has shown itself
	ctx          context.Context
	cancel       context.CancelFunc
	// logConnection carries appends and snapshots, nil until there are any and in that link
	// itself.
	logConnection *peerConnection
	carriesLog    bool
}

type peerPool struct {
	node        *Node
	mu          sync.Mutex
	connections map[string]*peerConnection
	addrByID    map[uint64]string
	zoneByAddr  map[string]string // by address, as far as it was told
}

// setMembership takes the addresses of a membership and ends links to those who left.
func (s *peerPool) setMembership(ms raft.Membership) {
	member := map[string]bool{}
	for _, m := range ms.AllMembers() {
		member[m.Addr] = true
	}
	s.mu.Lock()
	for addr, k := range s.connections {
		if len(member) > 0 && !member[addr] {
			k.cancel()
			delete(s.connections, addr)
		}
	}
	s.mu.Unlock()
	for _, m := range ms.AllMembers() {
		s.rememberAddr(m.ID, m.Addr)
		if m.ID != s.node.self.ID && m.Addr != s.node.self.Addr {
			s.logConnection(m.Addr) // begins to connect ahead of the first message
		}
	}
}

func (s *peerPool) rememberAddr(id uint64, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != 0 && addr != "" {
		s.addrByID[id] = addr
	}
}

func (s *peerPool) rememberZone(addr, zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr != "" {
		s.zoneByAddr[addr] = zone
	}
}

func (s *peerPool) zoneOf(addr string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.zoneByAddr[addr]
}

func (s *peerPool) addrOf(id uint64) string {
	if id == s.node.self.ID {
		return s.node.self.Addr
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addrByID[id]
}

func (s *peerPool) connection(addr string) *peerConnection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connectionLocked(addr)
}

func (s *peerPool) connectionLocked(addr string) *peerConnection {
	k := s.connections[addr]
	if k == nil {
		k = s.startConnection(s.node.ctx, addr, false)
		s.connections[addr] = k
	}
	return k
}

func (s *peerPool) startConnection(ctx context.Context, addr string, forTheLog bool) *peerConnection {
	k := &peerConnection{addr: addr, sendQueue: make(chan *transport.Frame, 256), pendingCalls: map[uint64]*pendingCall{}, redial: make(chan struct{}, 1), carriesLog: forTheLog}
	k.ctx, k.cancel = context.WithCancel(ctx)
	go s.node.maintainConnection(k)
	return k
}

var errPeerNotConnected = errors.New("lathe: peer is not connected")

// pendingCall is one that waits for its answer.
type pendingCall struct {
	answer          chan *transport.Response
	mayHaveBeenSent bool // it may have left
}

// pendingCall sends a call to a peer and waits for its answer, until another leads. sent tells
// whether the peer may have got it; if not, it never will.
func (s *peerPool) call(to callTarget, a *transport.Request, left time.Duration) (ans *transport.Response, sent bool, err error) {
	k := s.connection(to.addr)
	a.ID = s.node.lastCallID.Add(1)
	c := &pendingCall{answer: make(chan *transport.Response, 1)}
	k.mu.Lock()
	if !k.isConnected {
		k.mu.Unlock()
		return nil, false, errPeerNotConnected
	}
	k.pendingCalls[a.ID] = c
	k.mu.Unlock()
	forget := func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.pendingCalls, a.ID)
		return c.mayHaveBeenSent
	}
	select {
	case k.sendQueue <- &transport.Frame{Ask: a}:
	default:
		forget()
		return nil, false, errPeerNotConnected
	}
	t := time.NewTimer(left)
	defer t.Stop()
	err = errors.New("lathe: peer did not answer")
	select {
	case ans := <-c.answer:
		if ans != nil {
			return ans, true, nil
		}
		err = errors.New("lathe: connection to the peer broke")
	case <-to.leaderChanged:
		err = errors.New("lathe: another leads, or none")
	case <-t.C:
	}
	return nil, forget(), err
}

// claimForSending tells whether a frame is still to be sent: a call that nobody waits for any
// more is not.
func (k *peerConnection) claimForSending(f *transport.Frame) bool {
	if f.Ask == nil {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.pendingCalls[f.Ask.ID]
	if c != nil {
		c.mayHaveBeenSent = true
	}
	return c != nil
}

// enqueue queues a frame without waiting.
func (s *peerPool) enqueue(addr string, f *transport.Frame) {
	if addr == "" || addr == s.node.self.Addr {
		return
	}
	select {
	case s.connection(addr).sendQueue <- f:
	default:
	}
}

// isConnected tells whether the link to a peer is connected.
func (s *peerPool) isConnected(addr string) bool {
	s.mu.Lock()
	k := s.connections[addr]
	s.mu.Unlock()
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isConnected
}

// redialNow lets the link to a peer that has just connected here be dialled at once:
// an attempt that began while its machine had no power hangs for long, and one that
// was refused waits.
func (s *peerPool) redialNow(addr string) {
	s.mu.Lock()
	var both []*peerConnection
	if k := s.connections[addr]; k != nil {
		both = append(both, k)
		if k.logConnection != nil {
			both = append(both, k.logConnection)
		}
	}
	s.mu.Unlock()
	for _, k := range both {
		k.mu.Lock()
		if !k.isConnected {
			wakeUp(k.redial)
		}
		k.mu.Unlock()
	}
}

// dialPeer makes one attempt. shown tells that it was given up because the peer has
// shown itself meanwhile.
func (l *Node) dialPeer(k *peerConnection) (conn *transport.Conn, shown bool, err error) {
	ctx, cancel := context.WithCancel(k.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-k.redial:
			shown = true
			cancel()
		case <-ctx.Done():
		}
	}()
	conn, err = transport.Dial(ctx, k.addr, l.timing.ConnectionTimeout/2, transport.Hello{Role: transport.RolePeer, Node: l.settings.NodeName, ID: l.self.ID, Addr: l.self.Addr, Zone: l.settings.Zone})
	cancel()
	<-done
	return conn, shown, err
}

// maintainConnection keeps one link up.
func (l *Node) maintainConnection(k *peerConnection) {
	backoff := l.timing.HeartbeatInterval / 2
	for {
		conn, shown, err := l.dialPeer(k)
		if err != nil {
			if shown {
				continue
			}
			select {
			case <-k.ctx.Done():
				return
			case <-k.redial:
				backoff = l.timing.HeartbeatInterval / 2
				continue
			case <-time.After(backoff + time.Duration(rand.Int63n(int64(backoff)))):
			}
			backoff = min(backoff*2, l.timing.ElectionTimeout)
			continue
		}
		conn.WriteTimeout = l.timing.ConnectionTimeout
		backoff = l.timing.HeartbeatInterval / 2
		if k.carriesLog {
			l.resetLogConnection(k)
		} else {
			// Of what was queued while the peer was away only the newest matters.
			for len(k.sendQueue) > cap(k.sendQueue)/8 {
				<-k.sendQueue
			}
		}
		k.mu.Lock()
		k.isConnected = true
		k.mu.Unlock()
		dead := make(chan struct{})
		go func() {
			defer close(dead)
			defer conn.Close()
			for {
				f, err := conn.Receive(0)
				if err != nil {
					return
				}
				if b := f.Bookmark; b != nil && len(b.Control) > 0 {
					l.mu.Lock()
					l.relayedNodes = b.Control
					l.mu.Unlock()
				}
				if f.Answer != nil {
					k.mu.Lock()
					c := k.pendingCalls[f.Answer.ID]
					delete(k.pendingCalls, f.Answer.ID)
					k.mu.Unlock()
					if c != nil {
						c.answer <- f.Answer
					}
				}
			}
		}()
		for ok := true; ok; {
			select {
			case <-k.ctx.Done():
				conn.Close()
				return
			case <-dead:
				ok = false
			case f := <-k.sendQueue:
				ok = !k.claimForSending(f) || conn.Send(f) == nil
			}
		}
		conn.Close()
		<-dead
		k.mu.Lock()
		k.isConnected = false
		for id, c := range k.pendingCalls {
			delete(k.pendingCalls, id)
			c.answer <- nil
		}
		k.mu.Unlock()
	}
}

func (l *Node) acceptConnections(ln net.Listener) {
	defer close(l.listenerDone)
	defer context.AfterFunc(l.ctx, func() { ln.Close() })()
	for {
		raw, err := ln.Accept()
		if err != nil {
			if l.ctx.Err() != nil {
				return
			}
			time.Sleep(l.timing.TickInterval)
			continue
		}
		go l.serveConnection(raw)
	}
}

// serveConnection speaks with one process that connected.
func (l *Node) serveConnection(raw net.Conn) {
	conn, hello, err := transport.Accept(raw, l.timing.ConnectionTimeout)
	if err != nil {
		raw.Close()
		l.recordRejectedPeer(raw, err)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(l.ctx, conn.Close)()
	switch hello.Role {
	case transport.RolePeer:
		l.servePeer(conn, hello)
	case transport.RoleProxy:
		l.serveProxy(conn, hello)
	case transport.RoleRelay:
		l.serveRelay(conn)
	}
}

func (l *Node) recordRejectedPeer(raw net.Conn, err error) {
	var ne net.Error
	if errors.As(err, &ne) || errors.Is(err, io.EOF) {
		return // silence, a broken connection, or one given up before its first byte
	}
	l.metrics.rejectedPeers.Inc()
	if l.metrics.rejectedPeers.Value() == 1 {
		l.logger.Warn("refused a peer that does not speak this wire (further ones are only counted)", "peer", raw.RemoteAddr().String(), "error", err)
	}
}

func (l *Node) servePeer(conn *transport.Conn, h transport.Hello) {
	l.peers.rememberAddr(h.ID, h.Addr)
	l.peers.rememberZone(h.Addr, h.Zone)
	l.peers.redialNow(h.Addr)
	for {
		f, err := conn.Receive(0)
		if err != nil {
			return
		}
		if len(f.Raft) > 0 {
			ms := f.Raft
			l.post(func() {
				now := l.now()
				for _, m := range ms {
					l.raftNode.Step(now, m)
				}
			})
		}
		if len(f.Beats) > 0 {
			bs := f.Beats
			l.post(func() {
				now := l.now()
				for _, b := range bs {
					l.endpointLastSeen[b.ID] = max(l.endpointLastSeen[b.ID], now-time.Duration(b.AgoMS)*time.Millisecond)
				}
			})
		}
		if p := f.Proxies; p != nil {
			if p.Sum > 0 {
				l.mu.Lock()
				l.proxyCount, l.serviceLoads, l.quotaRounds, l.outlierVerdicts = p.Sum, p.Loads, p.Rounds, p.Verdicts
				l.mu.Unlock()
			} else {
				l.post(func() {
					now := l.now()
					l.nodeReports[h.ID] = nodeReport{reportSequences: p.Here, loads: p.Loads, trials: p.Trials, incarnation: p.Life, receivedAt: now}
					l.mu.Lock()
					mergeObservations(l.observationsToReport, p.Seen)
					l.mu.Unlock()
					for name := range p.Here {
						l.proxyLastSeen[name] = now
					}
				})
			}
		}
		if f.Ask != nil {
			go l.serveCall(conn, f.Ask)
		}
	}
}

func errorAnswer(id uint64, err error) *transport.Response {
	var e *apierror.Error
	if errors.As(err, &e) {
		return &transport.Response{ID: id, Failed: true, Kind: e.Kind, Detail: e.Detail}
	}
	return &transport.Response{ID: id, Failed: true, Kind: apierror.Internal, Detail: err.Error()}
}

// serveCall answers a call that a peer forwarded. It does not forward again, but for
// a node that wants to join.
func (l *Node) serveCall(conn *transport.Conn, a *transport.Request) {
	ans := &transport.Response{ID: a.ID}
	done := make(chan outcome, 1)
	switch {
	case a.Command != nil:
		cmd, err := registry.DecodeCommand(a.Command)
		if err != nil {
			ans = errorAnswer(a.ID, apierror.New(apierror.BadRequest, "%v", err))
			break
		}
		ans = l.answerAsLeader(a.ID, func() string { return l.proposeOnLoop(cmd, done) }, done)
	case a.Read:
		ans = l.answerAsLeader(a.ID, func() string { return l.readIndexOnLoop(done) }, done)
		ans.Index = ans.Result.Revision
	case a.Leave != 0:
		if err := l.approveLeave(a.Leave); err != nil {
			ans = errorAnswer(a.ID, err)
		}
	case a.Join != nil:
		if err := l.admitLearner(*a.Join); err != nil {
			ans = errorAnswer(a.ID, err)
			l.mu.RLock()
			leader := l.consensus.leaderAddr
			l.mu.RUnlock()
			if errors.Is(err, ErrNotLeader) && !a.Passed && leader != "" && leader != l.self.Addr {
				// None of the nodes that a new one knows may be the leader.
				if x, _, err := l.peers.call(callTarget{addr: leader}, &transport.Request{Join: a.Join, Passed: true}, l.timing.ElectionTimeout); err == nil {
					ans = x
					ans.ID = a.ID
				}
			}
		}
	}
	_ = conn.Send(&transport.Frame{Answer: ans}) // a broken connection ends at its reader
}

// answerAsLeader answers a call that only a leader carries out: f starts it and gives the
// leader's address.
func (l *Node) answerAsLeader(id uint64, f func() string, done chan outcome) *transport.Response {
	end := time.Now().Add(l.timing.RequestTimeout)
	to, err := l.startAtLeader(f)
	if err != nil || to.addr != l.self.Addr {
		return errorAnswer(id, ErrNotLeader)
	}
	r, err := l.awaitOutcome(done, to.leaderChanged, end)
	if apierror.KindOf(err) == apierror.UnknownOutcome {
		l.metrics.proposalsUnknown.Inc()
	}
	if err != nil {
		return errorAnswer(id, err)
	}
	return &transport.Response{ID: id, Result: r}
}
