package proxy

import (
	"context"
	"errors"
	"math/rand"
	"time"

	"lichentray/internal/transport"
)

const (
	// maxConcurrentOpens is how many control-plane nodes are asked at a time.
	maxConcurrentOpens = 4
	// listBackoffDivisor shortens the longest backoff between rounds while the mirror has
	// not synced: until then the node cannot serve.
	listBackoffDivisor = 8
)

// streamFinder asks control-plane nodes until one opens a stream. A next one is asked when
// one has failed or is slow to answer; those asked before may still answer.
type streamFinder struct {
	proxy   *Proxy
	request transport.Request
	// connectTimeout bounds connecting to one node.
	connectTimeout time.Duration
	// hedgeDelay is how long one node is waited for before the next is asked.
	hedgeDelay time.Duration
	// maxBackoff bounds the backoff between two rounds over all candidates.
	maxBackoff time.Duration

	results chan openResult
	// pending is how many nodes have been asked and not answered.
	pending int
	// relays are those that referred to the core. They may be nearer than any core
	// node, even on this machine, and would otherwise be asked first in every round.
	relays map[string]bool
}

// openResult is the end of one attempt to open a stream.
type openResult struct {
	addr   string
	stream *watchStream
	err    error
}

// findStream opens a stream of whichever control-plane node answers first. The node of the
// address avoid is asked last. It returns nil when the context ends.
//
// It does not wait for the attempts at other nodes that it cancels: after a power failure
// an attempt to connect may hang for a while, and the stream is needed at once. The
// reflector waits for them when it stops.
func (p *Proxy) findStream(ctx context.Context, avoid string, request transport.Request) *watchStream {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := newStreamFinder(p, request)
	backoff := p.timeouts.dial / 4
	for isFirstRound := true; ctx.Err() == nil; {
		s, hasLearned := f.askCandidates(ctx, avoid)
		if s != nil {
			return s
		}
		if hasLearned {
			continue
		}
		p.counters.searchesFailed.Inc()
		if isFirstRound {
			isFirstRound = false
			p.log.Info("no control-plane node answered, searching on",
				"candidates", p.controlNodes.Candidates(avoid), "members_known", len(p.controlNodes.Nodes()))
		}
		avoid = ""
		clear(f.relays) // a relay may know of a working core node by now
		if s := f.backOff(ctx, backoff); s != nil {
			return s
		}
		backoff = min(backoff*2, f.maxBackoff)
	}
	return nil
}

// newStreamFinder returns a finder for a request. For a list, the attempts to connect
// are short: after a power failure most nodes are still down, and an attempt to connect to
// one hangs. For a watch they are long, as the link to the nodes may be saturated.
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
		// A list takes work to answer, and after a power failure all proxies ask for one.
		f.hedgeDelay = p.timeouts.openHedgeDelay
		f.maxBackoff = p.timeouts.openHedgeDelay / listBackoffDivisor
	}
	return f
}

// askCandidates asks the candidates in order until a stream is open. hasLearned is true
// if more candidates are known now.
func (f *streamFinder) askCandidates(ctx context.Context, avoid string) (s *watchStream, hasLearned bool) {
	for _, addr := range f.proxy.controlNodes.Candidates(avoid) {
		if f.relays[addr] {
			continue
		}
		if f.pending < maxConcurrentOpens {
			f.pending++
			request := f.request
			f.proxy.openers.Go(func() { f.open(ctx, addr, request) })
		}
		s, err := f.await(ctx, f.hedgeDelay)
		if s != nil {
			return s, false
		}
		if errors.Is(err, errNearerNode) {
			f.request.Zone = "" // a node is asked for a nearer one only once
			return nil, true
		}
		if errors.Is(err, errReferred) {
			return nil, true
		}
		if ctx.Err() != nil {
			return nil, false
		}
	}
	return nil, false
}

// open opens a stream and sends it to results, or closes it if the search has ended.
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

// await waits for the end of one attempt to open a stream, and returns nil and nil if none
// ends in time.
func (f *streamFinder) await(ctx context.Context, timeout time.Duration) (*watchStream, error) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case r := <-f.results:
		f.pending--
		if errors.Is(r.err, errReferred) {
			f.relays[r.addr] = true
		}
		return r.stream, r.err
	case <-t.C:
	case <-ctx.Done():
	}
	return nil, nil
}

// backOff waits for a time around backoff, or until a node that was asked opens a stream.
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

// findNearerStream asks the nodes that are nearer than one, each once. It returns nil if
// none opens a stream.
func (p *Proxy) findNearerStream(ctx context.Context, than string, request transport.Request) *watchStream {
	for _, addr := range p.controlNodes.NodesNearerThan(than) {
		if s, _ := p.openStream(ctx, addr, request, p.timeouts.openStream); s != nil {
			return s
		}
	}
	return nil
}
