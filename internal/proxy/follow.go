package proxy

import (
	"context"
	"errors"
	"math/rand"
	"time"

	"lichentray/internal/transport"
	"lichentray/registry"
)

// stream is an open stream of one control-plane node.
type stream struct {
	addr   string
	conn   *transport.Conn
	list   bool // the answer is a list, else the watch went on
	answer *transport.Response
	began  time.Time
	told   bool // a report has been sent
	frames chan *transport.Frame
	broken chan error
	ended  chan struct{}
}

func (s *stream) close() {
	close(s.ended)
	s.conn.Close()
}

// read hands the frames on until the stream breaks.
func (s *stream) read() {
	for {
		f, err := s.conn.Receive(0)
		if err != nil {
			s.broken <- err
			return
		}
		select {
		case s.frames <- f:
		case <-s.ended:
			return
		}
	}
}

// Follow keeps the copy up to date until the context ends: one list, then the
// watch, from whichever control-plane node is in touch.
//
// A stream that falls quiet is kept while another is sought, and whichever speaks
// first is followed: a node whose own link is full hears late of everything, and to
// break off what is on its way there makes it later still.
func (p *Plane) Follow(ctx context.Context) {
	var cur *stream
	var found chan *stream
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
		to := make(chan *stream)
		found = to
		want := transport.Request{ID: 1, Least: p.mirror.Revision(), Watch: p.mirror.HasSynced(), List: !p.mirror.HasSynced(), Packs: true}
		if !p.movedOnce {
			want.Zone = p.set.Zone
		}
		go func() {
			var s *stream
			if nearer {
				s = p.approach(sctx, avoid, want)
			} else {
				s = p.search(sctx, avoid, want)
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
		if !errors.Is(err, errNearer) {
			p.log.Info("stream lost", "from", cur.addr, "error", err)
			p.n.streamLost.Inc()
		}
		p.stream.Store(nil)
		cur.close()
		cur = nil
	}
	defer func() {
		stop()
		if cur != nil {
			cur.close()
		}
	}()
	silence := time.NewTimer(p.timing.Silence)
	defer silence.Stop()
	sweep := time.Now()
	seek("", false)
	for {
		var frames chan *transport.Frame
		var broken chan error
		if cur != nil {
			frames, broken = cur.frames, cur.broken
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
				why := errQuiet
				if closer {
					why = errNearer
				}
				drop(why)
			}
			cur = s
			silence.Reset(p.timing.Silence)
			if err := p.opened(s); err != nil {
				drop(err)
				seek("", false)
			}
		case f := <-frames:
			silence.Reset(p.timing.Silence)
			avoid := cur.addr
			err := p.take(cur, f, &sweep)
			switch {
			case errors.Is(err, errNearer):
				cur.began = time.Now() // if nobody there answers, it is asked again later
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

var errNearer = errors.New("proxy: a nearer control-plane node is known")

var errPointed = errors.New("proxy: a relay told where the core is")

var errQuiet = errors.New("proxy: quiet, and another control-plane node answered")

var errRefused = errors.New("proxy: refused by the control-plane node")

// search asks one candidate after the other until one opens a stream. A next one is
// asked when one has failed or is slow to answer; those asked before may answer
// still.
func (p *Plane) search(ctx context.Context, avoid string, want transport.Request) *stream {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		addr string
		s    *stream
		err  error
	}
	results := make(chan result)
	stagger := p.timing.Call / 2
	if want.List {
		stagger = p.timing.Call // to answer takes work, and after a loss of power all ask
	}
	pause := p.timing.Dial / 4
	out := 0
	// Without a view all that counts is to find a node that is up: after a loss of power
	// most are not yet, and an attempt at one hangs. With one, the way may be a full link.
	dial := p.timing.Open
	if want.List {
		dial = p.timing.Call / 2
	}
	// Relays that told where the core is. They lie as near as any node, this one's own
	// machine among them, and would be asked first for ever.
	relays := map[string]bool{}
	for ctx.Err() == nil {
		wait := func(span time.Duration) (*stream, error) {
			t := time.NewTimer(span)
			defer t.Stop()
			select {
			case r := <-results:
				out--
				if errors.Is(r.err, errPointed) {
					relays[r.addr] = true
				}
				return r.s, r.err
			case <-t.C:
			case <-ctx.Done():
			}
			return nil, nil
		}
		again := false // more candidates are known now
		for _, addr := range p.line.Candidates(avoid) {
			if relays[addr] {
				continue
			}
			if out < openMost {
				out++
				go func(want transport.Request) {
					s, err := p.open(ctx, addr, want, dial)
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
			if errors.Is(err, errNearer) {
				want.Zone = ""
			}
			if again = errors.Is(err, errNearer) || errors.Is(err, errPointed); again || ctx.Err() != nil {
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
		most := p.timing.Call
		if want.List {
			most /= 8 // without a view every moment counts
		}
		pause = min(pause*2, most)
	}
	return nil
}

// approach asks the nodes that lie nearer than one that is followed, once.
func (p *Plane) approach(ctx context.Context, addr string, want transport.Request) *stream {
	for _, a := range p.line.NodesNearerThan(addr) {
		if s, _ := p.open(ctx, a, want, p.timing.Open); s != nil {
			return s
		}
	}
	return nil
}

// openMost is how many control-plane nodes are asked at a time.
const openMost = 4

// open asks one node for a list or for the watch to go on.
func (p *Plane) open(ctx context.Context, addr string, want transport.Request, wait time.Duration) (*stream, error) {
	conn, err := transport.Dial(ctx, addr, wait, transport.Hello{Role: transport.RoleProxy, Node: p.set.NodeName})
	if err != nil {
		return nil, err
	}
	conn.WriteTimeout = p.timing.Silence
	release := context.AfterFunc(ctx, conn.Close)
	for {
		if err := conn.Send(&transport.Frame{Ask: &want}); err != nil {
			conn.Close()
			return nil, err
		}
		f, err := conn.Receive(p.timing.Open)
		if err != nil {
			conn.Close()
			return nil, err
		}
		a := f.Answer
		switch {
		case a == nil && f.Bookmark != nil && len(f.Bookmark.Control) > 0:
			p.line.UpdateNodes(f.Bookmark.Control)
			err = errPointed
		case a == nil || a.Failed:
			err = errRefused
		case a.Nearer != nil:
			p.line.UpdateNodes(a.Nearer)
			err = errNearer
		case a.Gone:
			want = transport.Request{ID: want.ID + 1, Least: want.Least, List: true, Packs: true}
			continue
		}
		if err != nil || !release() {
			conn.Close()
			return nil, errors.Join(err, ctx.Err())
		}
		s := &stream{addr: addr, conn: conn, list: want.List, answer: a, began: time.Now(),
			frames: make(chan *transport.Frame), broken: make(chan error, 1), ended: make(chan struct{})}
		go s.read()
		return s, nil
	}
}

// opened takes the answer with which a stream began.
func (p *Plane) opened(s *stream) error {
	if s.list {
		p.n.lists.Inc()
		objects, err := s.answer.UnpackObjects()
		if err != nil {
			return err
		}
		if err := p.mirror.Replace(s.answer.Revision, objects); err != nil {
			return err
		}
		p.rebuild()
	} else {
		p.n.watches.Inc()
	}
	s.answer = nil
	p.log.Info("following", "from", s.addr, "revision", p.mirror.Revision())
	p.stream.Store(s.conn)
	return nil
}

// take takes one frame and reports when it is time to.
func (p *Plane) take(s *stream, f *transport.Frame, sweep *time.Time) error {
	events, err := f.UnpackEvents()
	if err != nil {
		return err
	}
	if err := p.takeEvents(events); err != nil {
		return err
	}
	if f.Account != nil {
		p.account.acked(f.Account)
	}
	if b := f.Bookmark; b != nil {
		p.mirror.ApplyBookmark(b.Revision)
		p.heard.Store(int64(p.now()))
		p.line.UpdateNodes(b.Control)
		if b.Control != nil {
			p.setProxies(b.Proxies)
			p.told(b.Loads)
		}
		if b.Judged {
			p.judged(b.Verdicts)
		}
		if b.Round != nil {
			p.granted(b.Round)
		}
		// A node that lies nearer takes over, but not in a hurry: it may have
		// been left because it was not well.
		if p.line.HasNearer(s.addr) && (!p.movedOnce || time.Since(s.began) > p.set.Bounds.ContactWindow.Duration()) {
			p.movedOnce = true
			return errNearer
		}
	}
	rev := p.mirror.Revision()
	p.n.revision.Set(int64(rev))
	if f.Gone {
		return errors.New("proxy: cut off as too slow")
	}
	if span := time.Since(*sweep); span > 2*p.timing.Silence/3 || (!s.told && f.Bookmark != nil) {
		s.told = true
		if span > p.timing.Silence/3 {
			*sweep = time.Now()
		}
		if r := p.routing.Load(); r != nil {
			p.sweep(r.services)
		}
		return s.conn.Send(&transport.Frame{Ack: rev, Report: p.report(span)})
	}
	return nil
}

// takeEvents takes changes in order. If one doesn't fit, the copy is listed anew.
func (p *Plane) takeEvents(events []registry.Event) error {
	for _, e := range events {
		if err := p.takeEvent(e); err != nil {
			p.mirror.Invalidate()
			return err
		}
	}
	return nil
}
