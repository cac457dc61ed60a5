package proxy

import (
	"context"
	"errors"
	"time"

	"lichentray/internal/transport"
)

var (
	// errNearerNode means that a control-plane node nearer to this one is known.
	errNearerNode = errors.New("proxy: a nearer control-plane node is known")
	// errReferred means that a relay named the nodes of the core instead of answering.
	errReferred = errors.New("proxy: referred to the core by a relay")
	// errStreamTimeout means that a stream was silent while another node answered.
	errStreamTimeout = errors.New("proxy: stream is silent and another control-plane node answered")
	// errRejected means that a control-plane node rejected a request.
	errRejected = errors.New("proxy: rejected by the control-plane node")
	// errTooSlow means that this node read its stream too slowly and events were dropped.
	errTooSlow = errors.New("proxy: stream was cut off, as it was read too slowly")
)

// watchStream is an open stream of events of one control-plane node. The node's answer to
// the request that opened it comes first.
type watchStream struct {
	addr string
	conn *transport.Conn
	// isList: the first answer is a list; else the watch goes on.
	isList        bool
	firstResponse *transport.Response
	openedAt      time.Time
	// hasReported: a report was sent on it.
	hasReported bool

	// frames receives what the node sends, failure the error that ends the stream.
	frames  chan *transport.Frame
	failure chan error
	// closed is closed by close, done when the goroutine that reads has ended.
	closed chan struct{}
	done   chan struct{}
}

// newWatchStream starts to read a connection. The caller closes the stream.
func newWatchStream(addr string, conn *transport.Conn, isList bool, answer *transport.Response) *watchStream {
	s := &watchStream{
		addr:          addr,
		conn:          conn,
		isList:        isList,
		firstResponse: answer,
		openedAt:      time.Now(),
		frames:        make(chan *transport.Frame),
		failure:       make(chan error, 1),
		closed:        make(chan struct{}),
		done:          make(chan struct{}),
	}
	go s.readFrames()
	return s
}

// close closes the stream and waits until nothing reads it.
func (s *watchStream) close() {
	close(s.closed)
	s.conn.Close()
	<-s.done
}

// readFrames sends what it reads to frames until the stream fails or is closed.
func (s *watchStream) readFrames() {
	defer close(s.done)
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

// openStream asks a control-plane node for a list or for the watch to go on. The time
// connectTimeout bounds the connecting alone.
func (p *Proxy) openStream(ctx context.Context, addr string, request transport.Request, connectTimeout time.Duration) (*watchStream, error) {
	hello := transport.Hello{Role: transport.RoleProxy, Node: p.settings.NodeName}
	conn, err := transport.Dial(ctx, addr, connectTimeout, hello)
	if err != nil {
		return nil, err
	}
	conn.WriteTimeout = p.timeouts.streamSilence
	stopClosing := context.AfterFunc(ctx, conn.Close)
	answer, err := p.requestStream(conn, &request)
	if err != nil || !stopClosing() {
		conn.Close()
		return nil, errors.Join(err, ctx.Err())
	}
	return newWatchStream(addr, conn, request.List, answer), nil
}

// requestStream sends a request and returns the answer that opens the stream. Where a
// watch cannot go on, it asks for a list and changes the request to that.
func (p *Proxy) requestStream(conn *transport.Conn, request *transport.Request) (*transport.Response, error) {
	for {
		if err := conn.Send(&transport.Frame{Ask: request}); err != nil {
			return nil, err
		}
		f, err := conn.Receive(p.timeouts.openStream)
		if err != nil {
			return nil, err
		}
		a := f.Answer
		switch {
		case a == nil && f.Bookmark != nil && len(f.Bookmark.Control) > 0:
			p.controlNodes.UpdateNodes(f.Bookmark.Control)
			return nil, errReferred
		case a == nil || a.Failed:
			return nil, errRejected
		case a.Nearer != nil:
			p.controlNodes.UpdateNodes(a.Nearer)
			return nil, errNearerNode
		case !a.Gone:
			return a, nil
		}
		*request = transport.Request{ID: request.ID + 1, Least: request.Least, List: true, Packs: true}
	}
}

// startStream applies the answer with which a stream began, and follows the stream.
func (p *Proxy) startStream(s *watchStream) error {
	if s.isList {
		p.counters.lists.Inc()
		objects, err := s.firstResponse.UnpackObjects()
		if err != nil {
			return err
		}
		if err := p.mirror.Replace(s.firstResponse.Revision, objects); err != nil {
			return err
		}
		p.resync()
	} else {
		p.counters.watches.Inc()
	}
	s.firstResponse = nil // which may be large
	p.log.Info("following", "from", s.addr, "revision", p.mirror.Revision())
	p.controlConn.Store(s.conn)
	return nil
}

// handleFrame applies one frame, and reports on the stream if that is due. lastReport is
// when the last report was sent. It returns errNearerNode if a nearer node should be
// sought; after any other error the stream is lost.
func (p *Proxy) handleFrame(s *watchStream, f *transport.Frame, lastReport *time.Time) error {
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
	if f.Bookmark != nil {
		p.applyBookmark(f.Bookmark)
		if p.shouldMoveNearer(s) {
			p.hasMovedNearer = true
			return errNearerNode
		}
	}
	p.counters.registryRevision.Set(int64(p.mirror.Revision()))
	if f.Gone {
		return errTooSlow
	}
	return p.reportIfDue(s, f.Bookmark != nil, lastReport)
}

// applyBookmark applies the revision that the stream has reached, and the totals, verdicts
// and quota grants that the control plane computes from the reports of all proxies.
func (p *Proxy) applyBookmark(b *transport.Bookmark) {
	p.mirror.ApplyBookmark(b.Revision)
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
}

// shouldMoveNearer reports whether a nearer node should be sought. After the first time
// that is not urgent: a nearer node may have been left because it was unhealthy.
func (p *Proxy) shouldMoveNearer(s *watchStream) bool {
	if !p.controlNodes.HasNearer(s.addr) {
		return false
	}
	return !p.hasMovedNearer || time.Since(s.openedAt) > p.settings.Bounds.ContactWindow.Duration()
}

// reportIfDue reports to the control plane: at each interval, and on a new stream with
// its first bookmark.
func (p *Proxy) reportIfDue(s *watchStream, isBookmark bool, lastReport *time.Time) error {
	span := time.Since(*lastReport)
	isFirst := !s.hasReported && isBookmark
	if span <= p.timeouts.reportInterval && !isFirst {
		return nil
	}
	s.hasReported = true
	if span > p.timeouts.minRateSpan {
		*lastReport = time.Now()
	}
	if snapshot := p.snapshot.Load(); snapshot != nil {
		now := time.Now()
		for _, svc := range snapshot.services {
			svc.closeExpiredConnections(now)
		}
	}
	return s.conn.Send(&transport.Frame{Ack: p.mirror.Revision(), Report: p.buildReport(span)})
}
