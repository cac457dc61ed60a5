package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"lichentray/internal/transport"
)

// reflector keeps the mirror of the registry up to date. One goroutine uses it.
type reflector struct {
	proxy *Proxy
	// current is the stream that is followed; nil if there is none.
	current *watchStream
	// search is the search for another stream; nil if there is none.
	search *streamSearch
	// searchers are the goroutines of searches, also of cancelled ones.
	searchers sync.WaitGroup
	// silence fires when the current stream has been silent for too long.
	silence    *time.Timer
	lastReport time.Time
}

// streamSearch is a search for a stream, which runs on a goroutine of its own.
type streamSearch struct {
	// found receives the stream; nil if there is none.
	found  chan *watchStream
	cancel context.CancelFunc
	// isForNearer: the current stream works, and a nearer node is sought.
	isForNearer bool
}

// ListAndWatch keeps the mirror of the registry up to date until the context ends: one list,
// then the watch, from whichever control-plane node is up to date.
//
// A stream that is silent is kept while another is sought, and whichever delivers
// first is followed: on a proxy whose link is saturated every frame arrives late, and to
// discard those in flight would delay it further.
func (p *Proxy) ListAndWatch(ctx context.Context) {
	r := &reflector{
		proxy:      p,
		silence:    time.NewTimer(p.timeouts.streamSilence),
		lastReport: time.Now(),
	}
	defer r.stop()
	r.seek(ctx, "")
	for ctx.Err() == nil {
		r.step(ctx)
	}
}

// step handles the next thing that happens.
func (r *reflector) step(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-r.silence.C:
		if r.current != nil {
			r.seek(ctx, r.current.addr)
		}
	case err := <-r.currentFailure():
		r.replace(ctx, err)
	case s := <-r.searchResult():
		r.endSearch(ctx, s)
	case f := <-r.currentFrames():
		r.handleFrame(ctx, f)
	}
}

// stop ends what the reflector has started.
func (r *reflector) stop() {
	r.silence.Stop()
	r.cancelSearch()
	if r.current != nil {
		r.current.close()
	}
	r.searchers.Wait()
	r.proxy.openers.Wait()
}

// currentFrames receives the frames of the current stream.
func (r *reflector) currentFrames() <-chan *transport.Frame {
	if r.current == nil {
		return nil
	}
	return r.current.frames
}

// currentFailure receives the error that ends the current stream.
func (r *reflector) currentFailure() <-chan error {
	if r.current == nil {
		return nil
	}
	return r.current.failure
}

// searchResult receives the stream that a search has found.
func (r *reflector) searchResult() <-chan *watchStream {
	if r.search == nil {
		return nil
	}
	return r.search.found
}

// seek starts a search over all nodes, unless one is under way. The node of the address
// avoid is asked last.
func (r *reflector) seek(ctx context.Context, avoid string) {
	if r.search != nil && !r.search.isForNearer {
		return
	}
	r.startSearch(ctx, false, func(ctx context.Context, request transport.Request) *watchStream {
		return r.proxy.findStream(ctx, avoid, request)
	})
}

// seekNearer starts a search over the nodes nearer than the current one, unless any search
// is under way.
func (r *reflector) seekNearer(ctx context.Context) {
	if r.search != nil {
		return
	}
	than := r.current.addr
	r.startSearch(ctx, true, func(ctx context.Context, request transport.Request) *watchStream {
		return r.proxy.findNearerStream(ctx, than, request)
	})
}

// startSearch starts a search and cancels one that is under way.
func (r *reflector) startSearch(ctx context.Context, isForNearer bool, find func(context.Context, transport.Request) *watchStream) {
	r.cancelSearch()
	ctx, cancel := context.WithCancel(ctx)
	search := &streamSearch{
		found:       make(chan *watchStream),
		cancel:      cancel,
		isForNearer: isForNearer,
	}
	r.search = search
	request := r.nextRequest()
	r.searchers.Add(1)
	go func() {
		defer r.searchers.Done()
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

// nextRequest is the request that brings the mirror up to date: a list, or a watch from
// the mirror's revision on.
func (r *reflector) nextRequest() transport.Request {
	mirror := r.proxy.mirror
	request := transport.Request{
		ID:    1,
		Least: mirror.Revision(),
		Watch: mirror.HasSynced(),
		List:  !mirror.HasSynced(),
		Packs: true,
	}
	if !r.proxy.hasMovedNearer {
		request.Zone = r.proxy.settings.Zone
	}
	return request
}

// cancelSearch ends a search that is under way.
func (r *reflector) cancelSearch() {
	if r.search != nil {
		r.search.cancel()
		r.search = nil
	}
}

// endSearch follows the stream that a search has found, if any.
func (r *reflector) endSearch(ctx context.Context, s *watchStream) {
	wasForNearer := r.search.isForNearer
	r.cancelSearch()
	if s == nil {
		return
	}
	if r.current != nil {
		reason := errStreamTimeout
		if wasForNearer {
			reason = errNearerNode
		}
		r.drop(reason)
	}
	r.current = s
	r.silence.Reset(r.proxy.timeouts.streamSilence)
	if err := r.proxy.startStream(s); err != nil {
		r.drop(err)
		r.seek(ctx, "")
	}
}

// handleFrame handles a frame of the current stream.
func (r *reflector) handleFrame(ctx context.Context, f *transport.Frame) {
	r.silence.Reset(r.proxy.timeouts.streamSilence)
	err := r.proxy.handleFrame(r.current, f, &r.lastReport)
	switch {
	case errors.Is(err, errNearerNode):
		r.current.openedAt = time.Now() // if no nearer node answers, they are asked again later
		r.seekNearer(ctx)
	case err != nil:
		// A search under way may resume from a mirror that is no longer valid.
		r.cancelSearch()
		r.replace(ctx, err)
	case r.search != nil && !r.search.isForNearer:
		r.cancelSearch() // the current stream delivers again
	}
}

// replace drops the current stream and seeks another, preferably of another node.
func (r *reflector) replace(ctx context.Context, err error) {
	avoid := r.current.addr
	r.drop(err)
	r.seek(ctx, avoid)
}

// drop ends the current stream.
func (r *reflector) drop(reason error) {
	p := r.proxy
	if !errors.Is(reason, errNearerNode) {
		p.log.Info("stream lost", "from", r.current.addr, "error", reason)
		p.counters.streamsLost.Inc()
	}
	p.controlConn.Store(nil)
	r.current.close()
	r.current = nil
}
