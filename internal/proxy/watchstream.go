package proxy

import (
	"context"
	"errors"
	"time"

	"lichentray/internal/transport"
)

var (
	// errNearerNode means that a control-plane node nearer to this proxy is known.
	errNearerNode = errors.New("proxy: a nearer control-plane node is known")
	// errReferredToCore means that a relay listed the core nodes instead of opening a stream.
	errReferredToCore = errors.New("proxy: referred to the core by a relay")
	// errSilentStream means that a stream was silent and another node opened one instead.
	errSilentStream = errors.New("proxy: stream is silent and another control-plane node answered")
	// errRejected means that a control-plane node rejected the request for a stream.
	errRejected = errors.New("proxy: rejected by the control-plane node")
	// errReadTooSlow means that this proxy read its stream too slowly and events were dropped.
	errReadTooSlow = errors.New("proxy: stream was read too slowly and events were dropped")
)

// watchStream is an open stream of events from one control-plane node. It starts with the node's
// response to the request that opened it.
type watchStream struct {
	addr string
	conn *transport.Conn
	// isList is true if the first response is a list, and false if the watch was resumed.
	isList        bool
	firstResponse *transport.Response
	openedAt      time.Time
	// hasReported is set once a report was sent on the stream.
	hasReported bool

	// frames receives the node's frames, and failure the error that ends the stream.
	frames  chan *transport.Frame
	failure chan error
	// closed is closed by close, and done when the goroutine that reads frames has ended.
	closed chan struct{}
	done   chan struct{}
}

// newWatchStream starts reading frames from a connection. The caller must close the stream.
func newWatchStream(addr string, conn *transport.Conn, isList bool, response *transport.Response) *watchStream {
	s := &watchStream{
		addr:          addr,
		conn:          conn,
		isList:        isList,
		firstResponse: response,
		openedAt:      time.Now(),
		frames:        make(chan *transport.Frame),
		failure:       make(chan error, 1),
		closed:        make(chan struct{}),
		done:          make(chan struct{}),
	}
	go s.readFrames()
	return s
}

// close closes the stream and waits for the goroutine that reads it.
func (s *watchStream) close() {
	close(s.closed)
	s.conn.Close()
	<-s.done
}

// readFrames reads frames and sends them to s.frames until the stream fails or is closed.
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

// openStream opens a stream by requesting a list or a watch from a control-plane node.
// connectTimeout applies only to connecting.
func (p *Proxy) openStream(ctx context.Context, addr string, request transport.Request, connectTimeout time.Duration) (*watchStream, error) {
	hello := transport.Hello{Role: transport.RoleProxy, Node: p.settings.NodeName}
	conn, err := transport.Dial(ctx, addr, connectTimeout, hello)
	if err != nil {
		return nil, err
	}
	conn.WriteTimeout = p.timeouts.maxStreamSilence
	stopClosing := context.AfterFunc(ctx, conn.Close)
	response, err := p.requestStream(conn, &request)
	if err != nil || !stopClosing() {
		conn.Close()
		return nil, errors.Join(err, ctx.Err())
	}
	return newWatchStream(addr, conn, request.List, response), nil
}

// requestStream sends a request and returns the response that opens the stream. If a watch cannot
// be resumed, it requests a list instead and updates request accordingly.
func (p *Proxy) requestStream(conn *transport.Conn, request *transport.Request) (*transport.Response, error) {
	for {
		if err := conn.Send(&transport.Frame{Ask: request}); err != nil {
			return nil, err
		}
		f, err := conn.Receive(p.timeouts.openStream)
		if err != nil {
			return nil, err
		}
		response := f.Answer
		switch {
		case response == nil && f.Bookmark != nil && len(f.Bookmark.Control) > 0:
			p.controlNodes.UpdateNodes(f.Bookmark.Control)
			return nil, errReferredToCore
		case response == nil || response.Failed:
			return nil, errRejected
		case response.Nearer != nil:
			p.controlNodes.UpdateNodes(response.Nearer)
			return nil, errNearerNode
		case !response.Gone:
			return response, nil
		}
		*request = transport.Request{ID: request.ID + 1, Least: request.Least, List: true, Packs: true}
	}
}

// startStream applies the response that opened a stream, and makes its connection the current one.
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
	s.firstResponse = nil // releases a list, which may be large
	p.log.Info("following", "from", s.addr, "revision", p.mirror.Revision())
	p.controlConn.Store(s.conn)
	return nil
}

// handleFrame applies one frame, and sends a report on the stream if one is due. lastReport is the
// time of the last report. It returns errNearerNode if a nearer node should be searched for. After
// any other error, the stream must be dropped.
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
		if p.shouldSearchNearer(s) {
			p.hasSearchedNearer = true
			return errNearerNode
		}
	}
	p.counters.registryRevision.Set(int64(p.mirror.Revision()))
	if f.Gone {
		return errReadTooSlow
	}
	return p.reportIfDue(s, f.Bookmark != nil, lastReport)
}

// applyBookmark applies the revision that the stream has reached, and the totals, verdicts and
// quota grants that the control plane computes from the reports of all proxies.
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

// shouldSearchNearer reports whether a nearer node should be searched for. After the first search,
// this is so only once the stream has been open for some time, as the proxy may have disconnected
// from a nearer node because it was unhealthy.
func (p *Proxy) shouldSearchNearer(s *watchStream) bool {
	if !p.controlNodes.HasNearer(s.addr) {
		return false
	}
	return !p.hasSearchedNearer || time.Since(s.openedAt) > p.settings.Bounds.ContactWindow.Duration()
}

// reportIfDue sends a report to the control plane at regular intervals, and after the first
// bookmark of a new stream.
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
