package proxy

import (
	"context"
	"errors"
	"math/rand"
	"sync"
	"time"

	"lichentray/internal/transport"
)

const (
	// maxConcurrentOpens is how many control-plane nodes are asked at a time.
	maxConcurrentOpens = 4
	// listPauseDivisor shortens the longest pause between rounds while there is no copy:
	// without one every moment counts.
	listPauseDivisor = 8
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
	// maxPause bounds the pause between two rounds over all candidates.
	maxPause time.Duration

	results chan openResult
	// pending is how many nodes have been asked and not answered.
	pending int
	// relays are those that referred to the core. They are as near as any node, this one's
	// own machine among them, and would be asked first for ever.
	relays map[string]bool
	// openers are the goroutines that ask.
	openers sync.WaitGroup
}

// openResult is the end of one attempt to open a stream.
type openResult struct {
	addr   string
	stream *watchStream
	err    error
}

// findStream opens a stream of whichever control-plane node answers first. The node of the
// address avoid is asked last. It returns nil when the context ends.
func (p *Proxy) findStream(ctx context.Context, avoid string, request transport.Request) *watchStream {
	ctx, cancel := context.WithCancel(ctx)
	f := newStreamFinder(p, request)
	defer f.openers.Wait()
	defer cancel()
	pause := p.timeouts.dial / 4
	for ctx.Err() == nil {
		s, hasLearned := f.askCandidates(ctx, avoid)
		if s != nil {
			return s
		}
		if hasLearned {
			continue
		}
		avoid = ""
		clear(f.relays) // what they know may be newer by now
		if s := f.backOff(ctx, pause); s != nil {
			return s
		}
		pause = min(pause*2, f.maxPause)
	}
	return nil
}

// newStreamFinder returns a finder for a request. Without a copy of the registry all that
// counts is to find a node that is up: after a loss of power most are not yet, and an
// attempt to connect to one hangs. With a copy the way may be a full link.
func newStreamFinder(p *Proxy, request transport.Request) *streamFinder {
	f := &streamFinder{
		proxy:          p,
		request:        request,
		connectTimeout: p.timeouts.openStream,
		hedgeDelay:     p.timeouts.openHedgeDelay / 2,
		maxPause:       p.timeouts.openHedgeDelay,
		results:        make(chan openResult),
		relays:         map[string]bool{},
	}
	if request.List {
		f.connectTimeout = p.timeouts.openHedgeDelay / 2
		// A list takes work to answer, and after a loss of power all proxies ask for one.
		f.hedgeDelay = p.timeouts.openHedgeDelay
		f.maxPause = p.timeouts.openHedgeDelay / listPauseDivisor
	}
	return f
}

// askCandidates asks the candidates in order until a stream is open. hasLearned says that
// more candidates are known now.
func (f *streamFinder) askCandidates(ctx context.Context, avoid string) (s *watchStream, hasLearned bool) {
	for _, addr := range f.proxy.controlNodes.Candidates(avoid) {
		if f.relays[addr] {
			continue
		}
		if f.pending < maxConcurrentOpens {
			f.pending++
			f.openers.Add(1)
			go f.open(ctx, addr, f.request)
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

// open opens a stream and hands it over, or closes it if nobody waits for it.
func (f *streamFinder) open(ctx context.Context, addr string, request transport.Request) {
	defer f.openers.Done()
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

// backOff waits for a time around pause, or until a node that was asked opens a stream.
func (f *streamFinder) backOff(ctx context.Context, pause time.Duration) *watchStream {
	remaining := pause/2 + time.Duration(rand.Int63n(int64(pause)))
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
