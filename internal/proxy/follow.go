package proxy

import (
	"context"
	"errors"
	"math/rand"
	"time"

	"lichentray/internal/transport"
)

// watchStream is an open stream of one control-plane node.
type watchStream struct {
	addr        string
	conn        *transport.Conn
	isList      bool // the answer is a list, else the watch went on
	firstAnswer *transport.Response
	openedAt    time.Time
	hasReported bool // a report has been sent
	frames      chan *transport.Frame
	failure     chan error
	closed      chan struct{}
}

func (s *watchStream) close() {
	close(s.closed)
	s.conn.Close()
}

// readFrames hands the frames on until the stream breaks.
func (s *watchStream) readFrames() {
	for {
		f, err := s.conn.Receive(0)
		if err != nil {
			s.failure <- err
			return
		}
		select {
		case s.frames <- f:
		case <-s.closed:
			return
		}
	}
}

// ListAndWatch keeps the copy up to date until the context ends: one list, then the
// watch, from whichever control-plane node is in touch.
//
// A stream that falls quiet is kept while another is sought, and whichever speaks
// first is followed: a node whose own link is full hears late of everything, and to
// break off what is on its way there makes it later still.
func (p *Proxy) ListAndWatch(ctx context.Context) {
	var cur *watchStream
	var found chan *watchStream
	var cancel context.CancelFunc
	closer := false // what is sought is a node that lies nearer, while cur is well
	stop := func() {
		if cancel != nil {
			cancel()
			found, cancel = nil, nil
		}
	}
	seek := func(avoid string, nearer bool) {
		if found != nil && (nearer || !closer) {
			return
		}
		stop()
		closer = nearer
		var sctx context.Context
		sctx, cancel = context.WithCancel(ctx)
		to := make(chan *watchStream)
		found = to
		want := transport.Request{ID: 1, Least: p.store.Revision(), Watch: p.store.HasSynced(), List: !p.store.HasSynced(), Packs: true}
		if !p.hasMovedNearer {
			want.Zone = p.settings.Zone
		}
		go func() {
			var s *watchStream
			if nearer {
				s = p.findNearerStream(sctx, avoid, want)
			} else {
				s = p.findStream(sctx, avoid, want)
			}
			select {
			case to <- s:
			case <-sctx.Done():
				if s != nil {
					s.close()
				}
			}
		}()
	}
	drop := func(err error) {
		if !errors.Is(err, errNearerNode) {
			p.log.Info("stream lost", "from", cur.addr, "error", err)
			p.counters.streamsLost.Inc()
		}
		p.controlConn.Store(nil)
		cur.close()
		cur = nil
	}
	defer func() {
		stop()
		if cur != nil {
			cur.close()
		}
	}()
	silence := time.NewTimer(p.timeouts.streamSilence)
	defer silence.Stop()
	sweep := time.Now()
	seek("", false)
	for {
		var frames chan *transport.Frame
		var broken chan error
		if cur != nil {
			frames, broken = cur.frames, cur.failure
		}
		select {
		case <-ctx.Done():
			return
		case <-silence.C:
			if cur != nil {
				seek(cur.addr, false)
			}
		case err := <-broken:
			avoid := cur.addr
			drop(err)
			seek(avoid, false)
		case s := <-found:
			stop()
			if s == nil {
				continue
			}
			if cur != nil {
				why := errStreamTimeout
				if closer {
					why = errNearerNode
				}
				drop(why)
			}
			cur = s
			silence.Reset(p.timeouts.streamSilence)
			if err := p.startStream(s); err != nil {
				drop(err)
				seek("", false)
			}
		case f := <-frames:
			silence.Reset(p.timeouts.streamSilence)
			avoid := cur.addr
			err := p.handleFrame(cur, f, &sweep)
			switch {
			case errors.Is(err, errNearerNode):
				cur.openedAt = time.Now() // if nobody there answers, it is asked again later
				seek(cur.addr, true)
			case err != nil:
				stop() // a search under way may count on a copy that no longer holds
				drop(err)
				seek(avoid, false)
			case !closer:
				stop()
			}
		}
	}
}

var errNearerNode = errors.New("proxy: a nearer control-plane node is known")

var errReferred = errors.New("proxy: a relay told where the core is")

var errStreamTimeout = errors.New("proxy: quiet, and another control-plane node answered")

var errRejected = errors.New("proxy: refused by the control-plane node")

// findStream asks one candidate after the other until one opens a stream. A next one is
// asked when one has failed or is slow to answer; those asked before may answer
// still.
func (p *Proxy) findStream(ctx context.Context, avoid string, want transport.Request) *watchStream {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		addr string
		s    *watchStream
		err  error
	}
	results := make(chan result)
	stagger := p.timeouts.openHedgeDelay / 2
	if want.List {
		stagger = p.timeouts.openHedgeDelay // to answer takes work, and after a loss of power all ask
	}
	pause := p.timeouts.dial / 4
	out := 0
	// Without a view all that counts is to find a node that is up: after a loss of power
	// most are not yet, and an attempt at one hangs. With one, the way may be a full link.
	dial := p.timeouts.openStream
	if want.List {
		dial = p.timeouts.openHedgeDelay / 2
	}
	// Relays that told where the core is. They lie as near as any node, this one's own
	// machine among them, and would be asked first for ever.
	relays := map[string]bool{}
	for ctx.Err() == nil {
		wait := func(span time.Duration) (*watchStream, error) {
			t := time.NewTimer(span)
			defer t.Stop()
			select {
			case r := <-results:
				out--
				if errors.Is(r.err, errReferred) {
					relays[r.addr] = true
				}
				return r.s, r.err
			case <-t.C:
			case <-ctx.Done():
			}
			return nil, nil
		}
		again := false // more candidates are known now
		for _, addr := range p.controlNodes.Candidates(avoid) {
			if relays[addr] {
				continue
			}
			if out < maxConcurrentOpens {
				out++
				go func(want transport.Request) {
					s, err := p.openStream(ctx, addr, want, dial)
					select {
					case results <- result{addr, s, err}:
					case <-ctx.Done():
						if s != nil {
							s.close()
						}
					}
				}(want)
			}
			s, err := wait(stagger)
			if s != nil {
				return s
			}
			if errors.Is(err, errNearerNode) {
				want.Zone = ""
			}
			if again = errors.Is(err, errNearerNode) || errors.Is(err, errReferred); again || ctx.Err() != nil {
				break
			}
		}
		if again {
			continue
		}
		avoid = ""
		clear(relays) // what they know may be newer by now
		for left, end := pause/2+time.Duration(rand.Int63n(int64(pause))), time.Now(); left > 0 && ctx.Err() == nil; {
			if s, _ := wait(left); s != nil {
				return s
			}
			now := time.Now()
			left -= now.Sub(end)
			end = now
		}
		most := p.timeouts.openHedgeDelay
		if want.List {
			most /= 8 // without a view every moment counts
		}
		pause = min(pause*2, most)
	}
	return nil
}

// findNearerStream asks the nodes that lie nearer than one that is followed, once.
func (p *Proxy) findNearerStream(ctx context.Context, addr string, want transport.Request) *watchStream {
	for _, a := range p.controlNodes.NodesNearerThan(addr) {
		if s, _ := p.openStream(ctx, a, want, p.timeouts.openStream); s != nil {
			return s
		}
	}
	return nil
}

// maxConcurrentOpens is how many control-plane nodes are asked at a time.
const maxConcurrentOpens = 4

// openStream asks one node for a list or for the watch to go on.
func (p *Proxy) openStream(ctx context.Context, addr string, want transport.Request, wait time.Duration) (*watchStream, error) {
	conn, err := transport.Dial(ctx, addr, wait, transport.Hello{Role: transport.RoleProxy, Node: p.settings.NodeName})
	if err != nil {
		return nil, err
	}
	conn.WriteTimeout = p.timeouts.streamSilence
	release := context.AfterFunc(ctx, conn.Close)
	for {
		if err := conn.Send(&transport.Frame{Ask: &want}); err != nil {
			conn.Close()
			return nil, err
		}
		f, err := conn.Receive(p.timeouts.openStream)
		if err != nil {
			conn.Close()
			return nil, err
		}
		a := f.Answer
		switch {
		case a == nil && f.Bookmark != nil && len(f.Bookmark.Control) > 0:
			p.controlNodes.UpdateNodes(f.Bookmark.Control)
			err = errReferred
		case a == nil || a.Failed:
			err = errRejected
		case a.Nearer != nil:
			p.controlNodes.UpdateNodes(a.Nearer)
			err = errNearerNode
		case a.Gone:
			want = transport.Request{ID: want.ID + 1, Least: want.Least, List: true, Packs: true}
			continue
		}
		if err != nil || !release() {
			conn.Close()
			return nil, errors.Join(err, ctx.Err())
		}
		s := &watchStream{addr: addr, conn: conn, isList: want.List, firstAnswer: a, openedAt: time.Now(),
			frames: make(chan *transport.Frame), failure: make(chan error, 1), closed: make(chan struct{})}
		go s.readFrames()
		return s, nil
	}
}

// startStream takes the answer with which a stream began.
func (p *Proxy) startStream(s *watchStream) error {
	if s.isList {
		p.counters.lists.Inc()
		objects, err := s.firstAnswer.UnpackObjects()
		if err != nil {
			return err
		}
		if err := p.store.Replace(s.firstAnswer.Revision, objects); err != nil {
			return err
		}
		p.resync()
	} else {
		p.counters.watches.Inc()
	}
	s.firstAnswer = nil
	p.log.Info("following", "from", s.addr, "revision", p.store.Revision())
	p.controlConn.Store(s.conn)
	return nil
}

// handleFrame takes one frame and reports when it is time to.
func (p *Proxy) handleFrame(s *watchStream, f *transport.Frame, sweep *time.Time) error {
	events, err := f.UnpackEvents()
	if err != nil {
		return err
	}
	if err := p.applyEvents(events); err != nil {
		return err
	}
	if f.Account != nil {
		p.audit.acknowledge(f.Account)
	}
	if b := f.Bookmark; b != nil {
		p.store.ApplyBookmark(b.Revision)
		p.lastBookmarkAt.Store(int64(p.now()))
		p.controlNodes.UpdateNodes(b.Control)
		if b.Control != nil {
			p.setProxyCount(b.Proxies)
			p.applyLoads(b.Loads)
		}
		if b.Judged {
			p.applyVerdicts(b.Verdicts)
		}
		if b.Round != nil {
			p.applyGrants(b.Round)
		}
		// A node that lies nearer takes over, but not in a hurry: it may have
		// been left because it was not well.
		if p.controlNodes.HasNearer(s.addr) && (!p.hasMovedNearer || time.Since(s.openedAt) > p.settings.Bounds.ContactWindow.Duration()) {
			p.hasMovedNearer = true
			return errNearerNode
		}
	}
	rev := p.store.Revision()
	p.counters.registryRevision.Set(int64(rev))
	if f.Gone {
		return errors.New("proxy: cut off as too slow")
	}
	if span := time.Since(*sweep); span > 2*p.timeouts.streamSilence/3 || (!s.hasReported && f.Bookmark != nil) {
		s.hasReported = true
		if span > p.timeouts.streamSilence/3 {
			*sweep = time.Now()
		}
		if r := p.snapshot.Load(); r != nil {
			for _, svc := range r.services {
				svc.closeExpiredConnections(time.Now())
			}
		}
		return s.conn.Send(&transport.Frame{Ack: rev, Report: p.buildReport(span)})
	}
	return nil
}
