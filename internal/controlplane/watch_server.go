package controlplane

import (
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lichentray/internal/apierror"
	"lichentray/internal/metrics"
	"lichentray/internal/transport"
	"lichentray/loadbalance"
	"lichentray/registry"
	"lichentray/watchcache"
)

// proxySession is one proxy that lists and watches here.
type proxySession struct {
	proxyName     string
	ackedRevision atomic.Uint64
	// Under the node's lock.
	loads          map[string]loadbalance.Load
	trials         map[string]transport.RolloutReport // of the newest report
	reportSequence uint64
	reportedAt     time.Duration // of the newest report
	// At most one write of its entry is on its way.
	isRegistering atomic.Bool
	// And one batch of its account.
	isAppendingAudit atomic.Bool
}

// maxEventsPerFrame bounds one frame of a stream.
const maxEventsPerFrame = 512

// serveProxy answers a proxy's list and then streams to it. A proxy too slow
// to take its stream is cut off and lists again.
func (l *Node) serveProxy(conn *transport.Conn, h transport.Hello) {
	s := &proxySession{proxyName: h.Node, reportedAt: l.now()}
	l.mu.Lock()
	l.proxySessions[s] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.proxySessions, s)
		l.mu.Unlock()
	}()
	started := false
	gone := make(chan struct{})
	defer close(gone)
	for {
		f, err := conn.Receive(0)
		if err != nil {
			return
		}
		if f.Ack > 0 {
			s.ackedRevision.Store(f.Ack)
		}
		if r := f.Report; r != nil {
			l.mu.Lock()
			if s.reportedAt = l.now(); r.Seq > 0 {
				s.loads, s.reportSequence = r.Loads, r.Seq
				s.trials = r.Trials
			}
			l.trialEvidence.add(r.Trials)
			mergeObservations(l.observationsToReport, r.Seen)
			l.mu.Unlock()
			if b := r.Account; b != nil && l.settings.Audit != nil && s.isAppendingAudit.CompareAndSwap(false, true) {
				go func() {
					defer s.isAppendingAudit.Store(false)
					l.appendAudit(conn, b)
				}()
			}
			if r.Self != nil && s.isRegistering.CompareAndSwap(false, true) {
				go func() {
					defer s.isRegistering.Store(false)
					_ = l.registerProxy(*r.Self) // the next report tries again
				}()
			}
		}
		if f.Ask == nil || started {
			continue
		}
		ans, after := l.listOrWatch(f.Ask)
		if conn.Send(&transport.Frame{Answer: ans}) != nil || ans.Failed {
			return
		}
		if !ans.Gone && ans.Nearer == nil {
			started = true
			go l.streamEvents(conn, s, after, f.Ask.Packs, gone)
		}
	}
}

// listOrWatch answers the first call of a proxy: a list behind a read point, or a
// watch from a revision that this node must have reached.
func (l *Node) listOrWatch(a *transport.Request) (*transport.Response, uint64) {
	// At the first moment not every node's zone may be known, so it is looked twice.
	if n := l.redirectToZone(a); n != nil {
		return &transport.Response{ID: a.ID, Nearer: n}, 0
	}
	// A proxy waits for this answer while it asks others. After a loss of power a leader
	// comes soon, and to be sent away to ask again takes as long as that.
	if err := l.readIndexWithin(l.timing.DeadMemberTimeout); err != nil {
		return errorAnswer(a.ID, err), 0
	}
	if n := l.redirectToZone(a); n != nil {
		return &transport.Response{ID: a.ID, Nearer: n}, 0
	}
	if !a.Watch {
		return l.listObjects(a)
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	ans := &transport.Response{ID: a.ID, Revision: l.store.Revision()}
	if ans.Revision < a.Least {
		return l.staleAnswer(a, ans.Revision), 0
	}
	_, err := l.watchCache.EventsSince(a.Least, 1)
	ans.Gone = errors.Is(err, watchcache.ErrGone)
	return ans, a.Least
}

// redirectToZone names the core to a proxy that would list here while a node of its own
// zone is up. A proxy that has just started knows the seeds alone; after a loss of
// power all of them would list at the seed that is back first.
func (l *Node) redirectToZone(a *transport.Request) []transport.ControlNode {
	if !a.List || a.Zone == "" || a.Zone == l.settings.Zone {
		return nil
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, m := range l.consensus.membership.AllMembers() {
		if l.peers.zoneOf(m.Addr) == a.Zone && l.peers.isConnected(m.Addr) {
			l.metrics.listsRedirected.Inc()
			return l.controlNodes()
		}
	}
	return nil
}

func (l *Node) staleAnswer(a *transport.Request, rev uint64) *transport.Response {
	return errorAnswer(a.ID, apierror.New(apierror.Unavailable, "this node is at revision %d, behind %d", rev, a.Least))
}

// sharedEncodings is what proxies list, encoded once for all that ask while none of its
// objects changes, and the newest large events that they are sent.
type sharedEncodings struct {
	listMu       sync.Mutex
	listRevision uint64 // the newest change of a watched object in it
	listData     []byte

	eventsMu                                sync.Mutex
	firstRevision, lastRevision, eventCount uint64 // of the events
	eventsData                              []byte
	eventsEncodedTotal                      *metrics.Counter
}

// packEvents lets a frame of large events be encoded once for all watchers. Each that
// encodes 400 KB of configuration for itself holds a megabyte while it does.
func (p *sharedEncodings) packEvents(f *transport.Frame) {
	size := 0
	for _, e := range f.Events {
		size += len(e.Object.Value) + len(e.Patch)
	}
	if size < transport.CompressionThreshold {
		return
	}
	first, last, n := f.Events[0].Revision, f.Events[len(f.Events)-1].Revision, uint64(len(f.Events))
	p.eventsMu.Lock()
	defer p.eventsMu.Unlock()
	if p.eventsData == nil || p.firstRevision != first || p.lastRevision != last || p.eventCount != n {
		p.eventsEncodedTotal.Inc()
		data, err := transport.Pack(f.Events)
		if err != nil {
			return // it goes as it is
		}
		p.firstRevision, p.lastRevision, p.eventCount, p.eventsData = first, last, n, data
	}
	f.Events, f.PackedEvents = nil, p.eventsData
}

// listObjects answers with all watched objects. After a loss of power every proxy asks at
// the same moment; whoever comes while the list is encoded waits for it.
func (l *Node) listObjects(a *transport.Request) (*transport.Response, uint64) {
	if a.Packs {
		l.encodings.listMu.Lock()
		defer l.encodings.listMu.Unlock()
	}
	l.mu.RLock()
	rev, at := l.store.Revision(), l.watchedRevision
	held := a.Packs && l.encodings.listData != nil && l.encodings.listRevision == at
	var objects []registry.Object
	if rev >= a.Least && !held {
		for _, prefix := range watchedPrefixes {
			objects = append(objects, l.store.List(prefix)...)
		}
	}
	l.mu.RUnlock()
	if rev < a.Least {
		return l.staleAnswer(a, rev), 0
	}
	l.metrics.lists.Inc()
	ans := &transport.Response{ID: a.ID, Revision: rev}
	if !a.Packs {
		ans.Objects = objects
		return ans, rev
	}
	if !held {
		data, err := transport.Pack(objects)
		if err != nil {
			return errorAnswer(a.ID, err), 0
		}
		l.encodings.listData, l.encodings.listRevision = data, at
		l.metrics.listsEncoded.Inc()
	}
	ans.Packed = l.encodings.listData
	return ans, rev
}

// watchedPrefixes are the kinds of object that proxies hold a copy of.
var watchedPrefixes = [...]string{registry.EndpointPrefix, registry.EvacuationPrefix, registry.RolloutPrefix, registry.ConfigKey}

func isWatched(key string) bool {
	for _, prefix := range watchedPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// controlNodes lists the members of the core for whoever follows one of them. The
// caller has the node's lock.
func (l *Node) controlNodes() []transport.ControlNode {
	var out []transport.ControlNode
	for _, m := range l.consensus.membership.AllMembers() {
		out = append(out, transport.ControlNode{Addr: m.Addr, API: m.API, Zone: l.peers.zoneOf(m.Addr)})
	}
	return out
}

func (l *Node) newBookmark(s *proxySession) *transport.Bookmark {
	l.mu.RLock()
	defer l.mu.RUnlock()
	b := &transport.Bookmark{Revision: l.store.Revision(), Proxies: l.proxyCount, Loads: l.serviceLoads, Control: l.controlNodes()}
	if r, ok := l.quotaRounds[s.proxyName]; ok {
		b.Round = &r
	}
	return b
}

// serveRelay lets a relay know, for as long as this node is in touch, that it
// may send callers here.
func (l *Node) serveRelay(conn *transport.Conn) {
	mark := time.NewTicker(l.timing.BookmarkInterval)
	defer mark.Stop()
	for !l.isStopping.Load() && l.isUpToDate() {
		l.mu.RLock()
		b := &transport.Bookmark{Control: l.controlNodes(), Diskless: l.settings.DataDirectory == ""}
		l.mu.RUnlock()
		if conn.Send(&transport.Frame{Bookmark: b}) != nil {
			return
		}
		select {
		case <-l.ctx.Done():
			return
		case <-mark.C:
		}
	}
}

// bookmarksPerVerdicts is how many bookmarks one carries the verdicts on endpoints.
const bookmarksPerVerdicts = 3

// streamEvents sends events as they come and bookmarks while this node is in touch
// with the newest state; without them the proxy looks for another node.
func (l *Node) streamEvents(conn *transport.Conn, s *proxySession, after uint64, packs bool, gone chan struct{}) {
	defer conn.Close()
	wake := make(chan struct{}, 1)
	l.mu.Lock()
	l.streamWakeups[wake] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.streamWakeups, wake)
		l.mu.Unlock()
	}()
	mark := time.NewTicker(l.timing.BookmarkInterval)
	defer mark.Stop()
	// The first mark tells whom else to ask; it must not cover events that are
	// still to be sent.
	first := l.newBookmark(s)
	first.Revision = after
	if conn.Send(&transport.Frame{Bookmark: first}) != nil {
		return
	}
	round := 0
	for {
		l.mu.RLock()
		events, err := l.watchCache.EventsSince(after, maxEventsPerFrame)
		l.mu.RUnlock()
		if err != nil {
			_ = conn.Send(&transport.Frame{Gone: true}) // it lists again either way
			return
		}
		if n := len(events); n > 0 {
			out := events[:0]
			for _, e := range events {
				if isWatched(e.Object.Key) {
					out = append(out, e)
				}
			}
			after = events[n-1].Revision
			f := &transport.Frame{Events: out, Bookmark: &transport.Bookmark{Revision: after}}
			if packs {
				l.encodings.packEvents(f)
			}
			if conn.Send(f) != nil {
				return
			}
			continue
		}
		select {
		case <-gone:
			return
		case <-l.ctx.Done():
			return
		case <-wake:
		case <-mark.C:
			if l.isStopping.Load() {
				return
			}
			// Events that came since go out before the mark that covers them.
			b := l.newBookmark(s)
			if round++; round%bookmarksPerVerdicts == 0 {
				l.mu.RLock()
				b.Judged, b.Verdicts = true, l.outlierVerdicts
				l.mu.RUnlock()
			}
			l.mu.RLock()
			rest, err := l.watchCache.EventsSince(after, 1)
			l.mu.RUnlock()
			if len(rest) > 0 || err != nil || !l.isUpToDate() {
				wakeUp(wake)
				continue
			}
			if conn.Send(&transport.Frame{Bookmark: b}) != nil {
				return
			}
			after = max(after, b.Revision)
		}
	}
}
