package controlplane

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"lichentray/internal/apierror"
	"lichentray/internal/transport"
	"lichentray/registry"
)

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
			l.loop.post(func(loop *loopState) {
				now := l.now()
				for _, m := range ms {
					loop.raft.Step(now, m)
				}
			})
		}
		if len(f.Beats) > 0 {
			bs := f.Beats
			l.loop.post(func(loop *loopState) {
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
				l.loop.post(func(loop *loopState) {
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
		ans = l.answerAsLeader(a.ID, func(loop *loopState) string { return l.proposeOnLoop(loop, cmd, done) }, done)
	case a.Read:
		ans = l.answerAsLeader(a.ID, func(loop *loopState) string { return l.readIndexOnLoop(loop, done) }, done)
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
func (l *Node) answerAsLeader(id uint64, f func(*loopState) string, done chan outcome) *transport.Response {
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
