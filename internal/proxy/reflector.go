package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"lichentray/internal/transport"
)

// reflector keeps the mirror of the registry up to date. It is used by a single goroutine.
type reflector struct {
	proxy *Proxy
	// current is the stream in use; nil if there is none.
	current *watchStream
	// search is the search in progress for another stream; nil if there is none.
	search *streamSearch
	// searches tracks the goroutines of searches, including canceled ones.
	searches sync.WaitGroup
	// silenceTimer fires when the current stream has been silent for too long.
	silenceTimer *time.Timer
	lastReport   time.Time
}

// streamSearch is a search for a stream. It runs on its own goroutine.
type streamSearch struct {
	// found receives the opened stream, or nil if none was found.
	found  chan *watchStream
	cancel context.CancelFunc
	// isNearerOnly is true if the search covers only nodes nearer than that of the current stream,
	// which is healthy.
	isNearerOnly bool
}

// ListAndWatch keeps the mirror of the registry up to date until the context ends. It lists the
// registry once and then watches it, on a stream of any up-to-date control-plane node.
//
// A silent stream is kept while another is searched for, and whichever delivers first is used. If
// the proxy's link is saturated, all frames are late, and discarding those in flight would delay
// the proxy further.
func (p *Proxy) ListAndWatch(ctx context.Context) {
	r := &reflector{
		proxy:        p,
		silenceTimer: time.NewTimer(p.timeouts.maxStreamSilence),
		lastReport:   time.Now(),
	}
	defer r.stop()
	r.searchAll(ctx, "")
	for ctx.Err() == nil {
		r.step(ctx)
	}
}

// step waits for the next event and handles it.
func (r *reflector) step(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-r.silenceTimer.C:
		if r.current != nil {
			r.searchAll(ctx, r.current.addr)
		}
	case err := <-r.currentFailure():
		r.replaceStream(ctx, err)
	case s := <-r.searchResult():
		r.finishSearch(ctx, s)
	case f := <-r.currentFrames():
		r.handleFrame(ctx, f)
	}
}

// stop closes the current stream, cancels the search in progress, and waits for all goroutines of
// searches.
func (r *reflector) stop() {
	r.silenceTimer.Stop()
	r.cancelSearch()
	if r.current != nil {
		r.current.close()
	}
	r.searches.Wait()
	r.proxy.streamOpeners.Wait()
}

// currentFrames returns the channel of the current stream's frames, or nil without a stream.
func (r *reflector) currentFrames() <-chan *transport.Frame {
	if r.current == nil {
		return nil
	}
	return r.current.frames
}

// currentFailure returns the channel of the error that ends the current stream, or nil without a
// stream.
func (r *reflector) currentFailure() <-chan error {
	if r.current == nil {
		return nil
	}
	return r.current.failure
}

// searchResult returns the channel of the result of the search in progress, or nil without one.
func (r *reflector) searchResult() <-chan *watchStream {
	if r.search == nil {
		return nil
	}
	return r.search.found
}

// searchAll starts a search over all nodes, unless one is in progress. The node with the address
// avoid is tried last.
func (r *reflector) searchAll(ctx context.Context, avoid string) {
	if r.search != nil && !r.search.isNearerOnly {
		return
	}
	r.startSearch(ctx, false, func(ctx context.Context, request transport.Request) *watchStream {
		return r.proxy.findStream(ctx, avoid, request)
	})
}

// searchNearer starts a search over the nodes nearer than the current one, unless any search is in
// progress.
func (r *reflector) searchNearer(ctx context.Context) {
	if r.search != nil {
		return
	}
	than := r.current.addr
	r.startSearch(ctx, true, func(ctx context.Context, request transport.Request) *watchStream {
		return r.proxy.findNearerStream(ctx, than, request)
	})
}

// startSearch starts a search and cancels the one in progress, if any.
func (r *reflector) startSearch(ctx context.Context, isNearerOnly bool, find func(context.Context, transport.Request) *watchStream) {
	r.cancelSearch()
	ctx, cancel := context.WithCancel(ctx)
	search := &streamSearch{
		found:        make(chan *watchStream),
		cancel:       cancel,
		isNearerOnly: isNearerOnly,
	}
	r.search = search
	request := r.nextRequest()
	r.searches.Add(1)
	go func() {
		defer r.searches.Done()
		s := find(ctx, request)
		select {
		case search.found <- s:
		case <-ctx.Done():
			if s != nil {
				s.close()
			}
		}
	}()
}

// nextRequest returns the request that brings the mirror up to date: a list, or a watch that starts
// at the mirror's revision.
func (r *reflector) nextRequest() transport.Request {
	mirror := r.proxy.mirror
	request := transport.Request{
		ID:    1,
		Least: mirror.Revision(),
		Watch: mirror.HasSynced(),
		List:  !mirror.HasSynced(),
		Packs: true,
	}
	if !r.proxy.hasSearchedNearer {
		request.Zone = r.proxy.settings.Zone
	}
	return request
}

// cancelSearch cancels the search in progress, if any.
func (r *reflector) cancelSearch() {
	if r.search != nil {
		r.search.cancel()
		r.search = nil
	}
}

// finishSearch switches to the stream s that the search has found. If s is nil, it does nothing but
// end the search.
func (r *reflector) finishSearch(ctx context.Context, s *watchStream) {
	wasNearerOnly := r.search.isNearerOnly
	r.cancelSearch()
	if s == nil {
		return
	}
	if r.current != nil {
		reason := errSilentStream
		if wasNearerOnly {
			reason = errNearerNode
		}
		r.dropStream(reason)
	}
	r.current = s
	r.silenceTimer.Reset(r.proxy.timeouts.maxStreamSilence)
	if err := r.proxy.startStream(s); err != nil {
		r.dropStream(err)
		r.searchAll(ctx, "")
	}
}

// handleFrame handles a frame of the current stream.
func (r *reflector) handleFrame(ctx context.Context, f *transport.Frame) {
	r.silenceTimer.Reset(r.proxy.timeouts.maxStreamSilence)
	err := r.proxy.handleFrame(r.current, f, &r.lastReport)
	switch {
	case errors.Is(err, errNearerNode):
		r.current.openedAt = time.Now() // delays the next attempt if no nearer node responds
		r.searchNearer(ctx)
	case err != nil:
		// The search in progress may have requested a watch from a revision of a mirror that is no
		// longer valid.
		r.cancelSearch()
		r.replaceStream(ctx, err)
	case r.search != nil && !r.search.isNearerOnly:
		r.cancelSearch() // the current stream is no longer silent
	}
}

// replaceStream drops the current stream and searches for another, preferably of another node.
func (r *reflector) replaceStream(ctx context.Context, err error) {
	avoid := r.current.addr
	r.dropStream(err)
	r.searchAll(ctx, avoid)
}

// dropStream closes the current stream.
func (r *reflector) dropStream(reason error) {
	p := r.proxy
	if !errors.Is(reason, errNearerNode) {
		p.log.Info("stream lost", "from", r.current.addr, "error", reason)
		p.counters.streamsLost.Inc()
	}
	p.controlConn.Store(nil)
	r.current.close()
	r.current = nil
}
