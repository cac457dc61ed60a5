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

// link is the outgoing connection to one peer. Its queue is bounded: what does
// not fit is dropped, and consensus sends it again.
type link struct {
	addr  string
	queue chan *transport.Frame
	mu    sync.Mutex
	calls map[uint64]*call
	up    bool
	kick  chan struct{} // the peer has shown itself
	ctx   context.Context
	stop  context.CancelFunc
	// log carries appends and snapshots, nil until there are any and in that link
	// itself.
	log       *link
	forTheLog bool
}

type linkSet struct {
	l      *Lathe
	mu     sync.Mutex
	byAddr map[string]*link
	addrOf map[uint64]string
	zoneOf map[string]string // by address, as far as it was told
}

// learn takes the addresses of a membership and ends links to those who left.
func (s *linkSet) learn(ms raft.Membership) {
	member := map[string]bool{}
	for _, m := range ms.AllMembers() {
		member[m.Addr] = true
	}
	s.mu.Lock()
	for addr, k := range s.byAddr {
		if len(member) > 0 && !member[addr] {
			k.stop()
			delete(s.byAddr, addr)
		}
	}
	s.mu.Unlock()
	for _, m := range ms.AllMembers() {
		s.note(m.ID, m.Addr)
		if m.ID != s.l.self.ID && m.Addr != s.l.self.Addr {
			s.logLink(m.Addr) // begins to connect ahead of the first message
		}
	}
}

func (s *linkSet) note(id uint64, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != 0 && addr != "" {
		s.addrOf[id] = addr
	}
}

func (s *linkSet) noteZone(addr, zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr != "" {
		s.zoneOf[addr] = zone
	}
}

func (s *linkSet) zone(addr string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.zoneOf[addr]
}

func (s *linkSet) addr(id uint64) string {
	if id == s.l.self.ID {
		return s.l.self.Addr
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addrOf[id]
}

func (s *linkSet) get(addr string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.getLocked(addr)
}

func (s *linkSet) getLocked(addr string) *link {
	k := s.byAddr[addr]
	if k == nil {
		k = s.begin(s.l.ctx, addr, false)
		s.byAddr[addr] = k
	}
	return k
}

func (s *linkSet) begin(ctx context.Context, addr string, forTheLog bool) *link {
	k := &link{addr: addr, queue: make(chan *transport.Frame, 256), calls: map[uint64]*call{}, kick: make(chan struct{}, 1), forTheLog: forTheLog}
	k.ctx, k.stop = context.WithCancel(ctx)
	go s.l.turnLink(k)
	return k
}

var errNotSent = errors.New("controlplane: peer is not connected")

// call is one that waits for its answer.
type call struct {
	answer chan *transport.Response
	sent   bool // it may have left
}

// ask sends a call to a peer and waits for its answer, until another leads. sent tells
// whether the peer may have got it; if not, it never will.
func (s *linkSet) ask(to aim, a *transport.Request, left time.Duration) (ans *transport.Response, sent bool, err error) {
	k := s.get(to.leader)
	a.ID = s.l.askSeq.Add(1)
	c := &call{answer: make(chan *transport.Response, 1)}
	k.mu.Lock()
	if !k.up {
		k.mu.Unlock()
		return nil, false, errNotSent
	}
	k.calls[a.ID] = c
	k.mu.Unlock()
	forget := func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.calls, a.ID)
		return c.sent
	}
	select {
	case k.queue <- &transport.Frame{Ask: a}:
	default:
		forget()
		return nil, false, errNotSent
	}
	t := time.NewTimer(left)
	defer t.Stop()
	err = errors.New("controlplane: peer did not answer")
	select {
	case ans := <-c.answer:
		if ans != nil {
			return ans, true, nil
		}
		err = errors.New("controlplane: connection to the peer broke")
	case <-to.turned:
		err = errors.New("controlplane: another leads, or none")
	case <-t.C:
	}
	return nil, forget(), err
}

// leaves tells whether a frame is still to be sent: a call that nobody waits for any
// more is not.
func (k *link) leaves(f *transport.Frame) bool {
	if f.Ask == nil {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.calls[f.Ask.ID]
	if c != nil {
		c.sent = true
	}
	return c != nil
}

// tell queues a frame without waiting.
func (s *linkSet) tell(addr string, f *transport.Frame) {
	if addr == "" || addr == s.l.self.Addr {
		return
	}
	select {
	case s.get(addr).queue <- f:
	default:
	}
}

// isUp tells whether the link to a peer is connected.
func (s *linkSet) isUp(addr string) bool {
	s.mu.Lock()
	k := s.byAddr[addr]
	s.mu.Unlock()
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.up
}

// shows lets the link to a peer that has just connected here be dialled at once:
// an attempt that began while its machine had no power hangs for long, and one that
// was refused waits.
func (s *linkSet) shows(addr string) {
	s.mu.Lock()
	var both []*link
	if k := s.byAddr[addr]; k != nil {
		both = append(both, k)
		if k.log != nil {
			both = append(both, k.log)
		}
	}
	s.mu.Unlock()
	for _, k := range both {
		k.mu.Lock()
		if !k.up {
			poke(k.kick)
		}
		k.mu.Unlock()
	}
}

// dial makes one attempt. shown tells that it was given up because the peer has
// shown itself meanwhile.
func (l *Lathe) dial(k *link) (conn *transport.Conn, shown bool, err error) {
	ctx, cancel := context.WithCancel(k.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-k.kick:
			shown = true
			cancel()
		case <-ctx.Done():
		}
	}()
	conn, err = transport.Dial(ctx, k.addr, l.timing.Silence/2, transport.Hello{Role: transport.RolePeer, Node: l.set.NodeName, ID: l.self.ID, Addr: l.self.Addr, Zone: l.set.Zone})
	cancel()
	<-done
	return conn, shown, err
}

// turnLink keeps one link up.
func (l *Lathe) turnLink(k *link) {
	backoff := l.timing.Heartbeat / 2
	for {
		conn, shown, err := l.dial(k)
		if err != nil {
			if shown {
				continue
			}
			select {
			case <-k.ctx.Done():
				return
			case <-k.kick:
				backoff = l.timing.Heartbeat / 2
				continue
			case <-time.After(backoff + time.Duration(rand.Int63n(int64(backoff)))):
			}
			backoff = min(backoff*2, l.timing.Election)
			continue
		}
		conn.WriteTimeout = l.timing.Silence
		backoff = l.timing.Heartbeat / 2
		if k.forTheLog {
			l.resumeLog(k)
		} else {
			// Of what was queued while the peer was away only the newest matters.
			for len(k.queue) > cap(k.queue)/8 {
				<-k.queue
			}
		}
		k.mu.Lock()
		k.up = true
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
					l.pointed = b.Control
					l.mu.Unlock()
				}
				if f.Answer != nil {
					k.mu.Lock()
					c := k.calls[f.Answer.ID]
					delete(k.calls, f.Answer.ID)
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
			case f := <-k.queue:
				ok = !k.leaves(f) || conn.Send(f) == nil
			}
		}
		conn.Close()
		<-dead
		k.mu.Lock()
		k.up = false
		for id, c := range k.calls {
			delete(k.calls, id)
			c.answer <- nil
		}
		k.mu.Unlock()
	}
}

func (l *Lathe) accept(ln net.Listener) {
	defer close(l.portDone)
	defer context.AfterFunc(l.ctx, func() { ln.Close() })()
	for {
		raw, err := ln.Accept()
		if err != nil {
			if l.ctx.Err() != nil {
				return
			}
			time.Sleep(l.timing.Tick)
			continue
		}
		go l.serve(raw)
	}
}

// serve speaks with one process that connected.
func (l *Lathe) serve(raw net.Conn) {
	conn, hello, err := transport.Accept(raw, l.timing.Silence)
	if err != nil {
		raw.Close()
		l.refusePeer(raw, err)
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

func (l *Lathe) refusePeer(raw net.Conn, err error) {
	var ne net.Error
	if errors.As(err, &ne) || errors.Is(err, io.EOF) {
		return // silence, a broken connection, or one given up before its first byte
	}
	l.nBadPeer.Inc()
	if l.nBadPeer.Value() == 1 {
		l.log.Warn("refused a peer that does not speak this wire (further ones are only counted)", "peer", raw.RemoteAddr().String(), "error", err)
	}
}

func (l *Lathe) servePeer(conn *transport.Conn, h transport.Hello) {
	l.links.note(h.ID, h.Addr)
	l.links.noteZone(h.Addr, h.Zone)
	l.links.shows(h.Addr)
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
					l.node.Step(now, m)
				}
			})
		}
		if len(f.Beats) > 0 {
			bs := f.Beats
			l.post(func() {
				now := l.now()
				for _, b := range bs {
					l.alive[b.ID] = max(l.alive[b.ID], now-time.Duration(b.AgoMS)*time.Millisecond)
				}
			})
		}
		if p := f.Proxies; p != nil {
			if p.Sum > 0 {
				l.mu.Lock()
				l.sum, l.loads, l.rounds, l.verdicts = p.Sum, p.Loads, p.Rounds, p.Verdicts
				l.mu.Unlock()
			} else {
				l.post(func() {
					now := l.now()
					l.counts[h.ID] = proxyCount{here: p.Here, loads: p.Loads, trials: p.Trials, life: p.Life, at: now}
					l.mu.Lock()
					addSeen(l.seen, p.Seen)
					l.mu.Unlock()
					for name := range p.Here {
						l.proxies[name] = now
					}
				})
			}
		}
		if f.Ask != nil {
			go l.serveAsk(conn, f.Ask)
		}
	}
}

func failed(id uint64, err error) *transport.Response {
	var e *apierror.Error
	if errors.As(err, &e) {
		return &transport.Response{ID: id, Failed: true, Kind: e.Kind, Detail: e.Detail}
	}
	return &transport.Response{ID: id, Failed: true, Kind: apierror.Internal, Detail: err.Error()}
}

// serveAsk answers a call that a peer forwarded. It does not forward again, but for
// a node that wants to join.
func (l *Lathe) serveAsk(conn *transport.Conn, a *transport.Request) {
	ans := &transport.Response{ID: a.ID}
	done := make(chan outcome, 1)
	switch {
	case a.Command != nil:
		cmd, err := registry.DecodeCommand(a.Command)
		if err != nil {
			ans = failed(a.ID, apierror.New(apierror.BadRequest, "%v", err))
			break
		}
		ans = l.await(a.ID, func() string { return l.propose(cmd, done) }, done)
	case a.Read:
		ans = l.await(a.ID, func() string { return l.readIndex(done) }, done)
		ans.Index = ans.Result.Revision
	case a.Leave != 0:
		if err := l.letGo(a.Leave); err != nil {
			ans = failed(a.ID, err)
		}
	case a.Join != nil:
		if err := l.admit(*a.Join); err != nil {
			ans = failed(a.ID, err)
			l.mu.RLock()
			leader := l.view.leaderAt
			l.mu.RUnlock()
			if errors.Is(err, errNotLeader) && !a.Passed && leader != "" && leader != l.self.Addr {
				// None of the nodes that a new one knows may be the leader.
				if x, _, err := l.links.ask(aim{leader: leader}, &transport.Request{Join: a.Join, Passed: true}, l.timing.Election); err == nil {
					ans = x
					ans.ID = a.ID
				}
			}
		}
	}
	_ = conn.Send(&transport.Frame{Answer: ans}) // a broken connection ends at its reader
}

// await answers a call that only a leader carries out: f starts it and gives the
// leader's address.
func (l *Lathe) await(id uint64, f func() string, done chan outcome) *transport.Response {
	end := time.Now().Add(l.timing.Answer)
	to, err := l.ask(f)
	if err != nil || to.leader != l.self.Addr {
		return failed(id, errNotLeader)
	}
	r, err := l.wait(done, to.turned, end)
	if apierror.KindOf(err) == apierror.UnknownOutcome {
		l.nUnknown.Inc()
	}
	if err != nil {
		return failed(id, err)
	}
	return &transport.Response{ID: id, Result: r}
}
