package proxy

import (
	"context"
	"errors"
	"math/rand"
	"time"

	"lichentray/internal/transport"
)

const (
	// maxConcurrentOpens is the maximum number of concurrent attempts to open a stream.
	maxConcurrentOpens = 4
	// listMaxBackoffDivisor divides the maximum backoff between rounds for a list. A list is
	// requested while the mirror has not synced, and until then the node cannot serve requests.
	listMaxBackoffDivisor = 8
)

// streamFinder tries control-plane nodes until one opens a stream. It tries the next node when
// one has failed or is slow to respond (hedging); earlier attempts remain pending.
type streamFinder struct {
	proxy   *Proxy
	request transport.Request
	// connectTimeout bounds connecting to one node.
	connectTimeout time.Duration
	// hedgeDelay is how long to wait for one node before the next is tried.
	hedgeDelay time.Duration
	// maxBackoff bounds the backoff between two rounds over all candidates.
	maxBackoff time.Duration

	results chan openResult
	// pending is the number of attempts whose result has not been received.
	pending int
	// relays holds the addresses of relays that referred to a core node. They are skipped for
	// the rest of the round: a relay may be nearer than any core node, even on this machine,
	// and would otherwise always be tried first.
	relays map[string]bool
}

// openResult is the result of one attempt to open a stream.
type openResult struct {
	addr   string
	stream *watchStream
	err    error
}

// findStream opens a stream from the control-plane node that responds first. The node at the
// address avoid is tried last. findStream returns nil when the context ends.
//
// It does not wait for the pending attempts that it cancels: after a power failure, an attempt
// to connect may hang for a while, and the stream is needed immediately. The reflector waits
// for them when it stops.
func (p *Proxy) findStream(ctx context.Context, avoid string, request transport.Request) *watchStream {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := newStreamFinder(p, request)
	backoff := p.timeouts.dial / 4
	for isFirstRound := true; ctx.Err() == nil; {
		s, hasNewCandidates := f.tryCandidates(ctx, avoid)
		if s != nil {
			return s
		}
		if hasNewCandidates {
			continue
		}
		p.counters.searchesFailed.Inc()
		if isFirstRound {
			isFirstRound = false
			p.log.Info("no control-plane node responded; retrying",
				"candidates", p.controlNodes.Candidates(avoid), "members_known", len(p.controlNodes.Nodes()))
		}
		avoid = ""
		clear(f.relays) // by now, a relay may have found a working core node
		if s := f.backOff(ctx, backoff); s != nil {
			return s
		}
		backoff = min(backoff*2, f.maxBackoff)
	}
	return nil
}

// newStreamFinder returns a finder for a request. The connect timeout is short for a list:
// after a power failure most nodes are still down, and an attempt to connect to one of them
// hangs. It is long for a watch, because the link to the nodes may be saturated.
func newStreamFinder(p *Proxy, request transport.Request) *streamFinder {
	f := &streamFinder{
		proxy:          p,
		request:        request,
		connectTimeout: p.timeouts.openStream,
		hedgeDelay:     p.timeouts.openHedgeDelay / 2,
		maxBackoff:     p.timeouts.openHedgeDelay,
		results:        make(chan openResult),
		relays:         map[string]bool{},
	}
	if request.List {
		f.connectTimeout = p.timeouts.openHedgeDelay / 2
		// A list is expensive to serve, and after a power failure all proxies request one.
		f.hedgeDelay = p.timeouts.openHedgeDelay
		f.maxBackoff = p.timeouts.openHedgeDelay / listMaxBackoffDivisor
	}
	return f
}

// tryCandidates tries the candidates in order until a stream is open. hasNewCandidates is true
// if a node has referred to others, so that more candidates are known.
func (f *streamFinder) tryCandidates(ctx context.Context, avoid string) (s *watchStream, hasNewCandidates bool) {
	for _, addr := range f.proxy.controlNodes.Candidates(avoid) {
		if f.relays[addr] {
			continue
		}
		if f.pending < maxConcurrentOpens {
			f.pending++
			request := f.request
			f.proxy.streamOpeners.Go(func() { f.open(ctx, addr, request) })
		}
		s, err := f.await(ctx, f.hedgeDelay)
		if s != nil {
			return s, false
		}
		if errors.Is(err, errNearerNode) {
			f.request.Zone = "" // a referral to a nearer node is requested only once
			return nil, true
		}
		if errors.Is(err, errReferredToCore) {
			return nil, true
		}
		if ctx.Err() != nil {
			return nil, false
		}
	}
	return nil, false
}

// open opens a stream and sends it to results, or closes it if the context has ended.
func (f *streamFinder) open(ctx context.Context, addr string, request transport.Request) {
	s, err := f.proxy.openStream(ctx, addr, request, f.connectTimeout)
	select {
	case f.results <- openResult{addr: addr, stream: s, err: err}:
	case <-ctx.Done():
		if s != nil {
			s.close()
		}
	}
}

// await waits for the result of one attempt to open a stream. It returns nil and nil if the timeout
// expires or the context ends.
func (f *streamFinder) await(ctx context.Context, timeout time.Duration) (*watchStream, error) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case r := <-f.results:
		f.pending--
		if errors.Is(r.err, errReferredToCore) {
			f.relays[r.addr] = true
		}
		return r.stream, r.err
	case <-t.C:
	case <-ctx.Done():
	}
	return nil, nil
}

// backOff waits for a random time between half and one and a half times backoff. If a pending
// attempt opens a stream meanwhile, backOff returns it.
func (f *streamFinder) backOff(ctx context.Context, backoff time.Duration) *watchStream {
	remaining := backoff/2 + time.Duration(rand.Int63n(int64(backoff)))
	for at := time.Now(); remaining > 0 && ctx.Err() == nil; {
		if s, _ := f.await(ctx, remaining); s != nil {
			return s
		}
		now := time.Now()
		remaining -= now.Sub(at)
		at = now
	}
	return nil
}

// findNearerStream tries, once each, the nodes that are nearer than the node at the address than.
// It returns nil if none opens a stream.
func (p *Proxy) findNearerStream(ctx context.Context, than string, request transport.Request) *watchStream {
	for _, addr := range p.controlNodes.NodesNearerThan(than) {
		if s, _ := p.openStream(ctx, addr, request, p.timeouts.openStream); s != nil {
			return s
		}
	}
	return nil
}
