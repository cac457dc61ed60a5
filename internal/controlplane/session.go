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

// session is one proxy that lists and watches here.
type session struct {
	node  string
	acked atomic.Uint64
	// Under the node's lock.
	loads  map[string]loadbalance.Load
	trials map[string]transport.RolloutReport // of the newest report
	seq    uint64
	at     time.Duration // of the newest report
	// At most one write of its entry is on its way.
	writing atomic.Bool
	// And one batch of its account.
	accounting atomic.Bool
}

// eventsAFrame bounds one frame of a stream.
const eventsAFrame = 512

// serveProxy answers a proxy's list and then streams to it. A proxy too slow
// to take its stream is cut off and lists again.
func (l *Lathe) serveProxy(conn *transport.Conn, h transport.Hello) {
	s := &session{node: h.Node, at: l.now()}
	l.mu.Lock()
	l.sessions[s] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.sessions, s)
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
			s.acked.Store(f.Ack)
		}
		if r := f.Report; r != nil {
			l.mu.Lock()
			if s.at = l.now(); r.Seq > 0 {
				s.loads, s.seq = r.Loads, r.Seq
				s.trials = r.Trials
			}
			l.tryOuts.add(r.Trials)
			addSeen(l.seen, r.Seen)
			l.mu.Unlock()
			if b := r.Account; b != nil && l.set.Audit != nil && s.accounting.CompareAndSwap(false, true) {
				go func() {
					defer s.accounting.Store(false)
					l.takeAccount(conn, b)
				}()
			}
			if r.Self != nil && s.writing.CompareAndSwap(false, true) {
				go func() {
					defer s.writing.Store(false)
					_ = l.register(*r.Self) // the next report tries again
				}()
			}
		}
		if f.Ask == nil || started {
			continue
		}
		ans, after := l.open(f.Ask)
		if conn.Send(&transport.Frame{Answer: ans}) != nil || ans.Failed {
			return
		}
		if !ans.Gone && ans.Nearer == nil {
			started = true
			go l.stream(conn, s, after, f.Ask.Packs, gone)
		}
	}
}

// open answers the first call of a proxy: a list behind a read point, or a
// watch from a revision that this node must have reached.
func (l *Lathe) open(a *transport.Request) (*transport.Response, uint64) {
	// At the first moment not every node's zone may be known, so it is looked twice.
	if n := l.nearer(a); n != nil {
		return &transport.Response{ID: a.ID, Nearer: n}, 0
	}
	// A proxy waits for this answer while it asks others. After a loss of power a leader
	// comes soon, and to be sent away to ask again takes as long as that.
	if err := l.readPoint(l.timing.Dead); err != nil {
		return failed(a.ID, err), 0
	}
	if n := l.nearer(a); n != nil {
		return &transport.Response{ID: a.ID, Nearer: n}, 0
	}
	if !a.Watch {
		return l.list(a)
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	ans := &transport.Response{ID: a.ID, Revision: l.store.Revision()}
	if ans.Revision < a.Least {
		return l.behind(a, ans.Revision), 0
	}
	_, err := l.cache.EventsSince(a.Least, 1)
	ans.Gone = errors.Is(err, watchcache.ErrGone)
	return ans, a.Least
}

// nearer names the core to a proxy that would list here while a node of its own
// zone is up. A proxy that has just started knows the seeds alone; after a loss of
// power all of them would list at the seed that is back first.
func (l *Lathe) nearer(a *transport.Request) []transport.ControlNode {
	if !a.List || a.Zone == "" || a.Zone == l.set.Zone {
		return nil
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, m := range l.view.members.AllMembers() {
		if l.links.zone(m.Addr) == a.Zone && l.links.isUp(m.Addr) {
			l.nMoved.Inc()
			return l.control()
		}
	}
	return nil
}

func (l *Lathe) behind(a *transport.Request, rev uint64) *transport.Response {
	return failed(a.ID, apierror.New(apierror.Unavailable, "this node is at revision %d, behind %d", rev, a.Least))
}

// packed is what proxies list, encoded once for all that ask while none of its
// objects changes, and the newest large events that they are sent.
type packed struct {
	mu   sync.Mutex
	at   uint64 // the newest change of a watched object in it
	data []byte

	eventsMu           sync.Mutex
	first, last, count uint64 // of the events
	eventsData         []byte
	encoded            *metrics.Counter
}

// events lets a frame of large events be encoded once for all watchers. Each that
// encodes 400 KB of configuration for itself holds a megabyte while it does.
func (p *packed) events(f *transport.Frame) {
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
	if p.eventsData == nil || p.first != first || p.last != last || p.count != n {
		p.encoded.Inc()
		data, err := transport.Pack(f.Events)
		if err != nil {
			return // it goes as it is
		}
		p.first, p.last, p.count, p.eventsData = first, last, n, data
	}
	f.Events, f.PackedEvents = nil, p.eventsData
}

// list answers with all watched objects. After a loss of power every proxy asks at
// the same moment; whoever comes while the list is encoded waits for it.
func (l *Lathe) list(a *transport.Request) (*transport.Response, uint64) {
	if a.Packs {
		l.packed.mu.Lock()
		defer l.packed.mu.Unlock()
	}
	l.mu.RLock()
	rev, at := l.store.Revision(), l.changedAt
	held := a.Packs && l.packed.data != nil && l.packed.at == at
	var objects []registry.Object
	if rev >= a.Least && !held {
		for _, prefix := range watched {
			objects = append(objects, l.store.List(prefix)...)
		}
	}
	l.mu.RUnlock()
	if rev < a.Least {
		return l.behind(a, rev), 0
	}
	l.nRelist.Inc()
	ans := &transport.Response{ID: a.ID, Revision: rev}
	if !a.Packs {
		ans.Objects = objects
		return ans, rev
	}
	if !held {
		data, err := transport.Pack(objects)
		if err != nil {
			return failed(a.ID, err), 0
		}
		l.packed.data, l.packed.at = data, at
		l.nPacked.Inc()
	}
	ans.Packed = l.packed.data
	return ans, rev
}

// watched are the kinds of object that proxies hold a copy of.
var watched = [...]string{registry.EndpointPrefix, registry.EvacuationPrefix, registry.RolloutPrefix, registry.ConfigKey}

func isWatched(key string) bool {
	for _, prefix := range watched {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// control lists the members of the core for whoever follows one of them. The
// caller has the node's lock.
func (l *Lathe) control() []transport.ControlNode {
	var out []transport.ControlNode
	for _, m := range l.view.members.AllMembers() {
		out = append(out, transport.ControlNode{Addr: m.Addr, API: m.API, Zone: l.links.zone(m.Addr)})
	}
	return out
}

func (l *Lathe) bookmark(s *session) *transport.Bookmark {
	l.mu.RLock()
	defer l.mu.RUnlock()
	b := &transport.Bookmark{Revision: l.store.Revision(), Proxies: l.sum, Loads: l.loads, Control: l.control()}
	if r, ok := l.rounds[s.node]; ok {
		b.Round = &r
	}
	return b
}

// serveRelay lets a relay know, for as long as this node is in touch, that it
// may send callers here.
func (l *Lathe) serveRelay(conn *transport.Conn) {
	mark := time.NewTicker(l.timing.Bookmark)
	defer mark.Stop()
	for !l.closing.Load() && l.fresh() {
		l.mu.RLock()
		b := &transport.Bookmark{Control: l.control(), Diskless: l.set.DataDirectory == ""}
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

// judgedEvery is how many bookmarks one carries the verdicts on endpoints.
const judgedEvery = 3

// stream sends events as they come and bookmarks while this node is in touch
// with the newest state; without them the proxy looks for another node.
func (l *Lathe) stream(conn *transport.Conn, s *session, after uint64, packs bool, gone chan struct{}) {
	defer conn.Close()
	wake := make(chan struct{}, 1)
	l.mu.Lock()
	l.wake[wake] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.wake, wake)
		l.mu.Unlock()
	}()
	mark := time.NewTicker(l.timing.Bookmark)
	defer mark.Stop()
	// The first mark tells whom else to ask; it must not cover events that are
	// still to be sent.
	first := l.bookmark(s)
	first.Revision = after
	if conn.Send(&transport.Frame{Bookmark: first}) != nil {
		return
	}
	round := 0
	for {
		l.mu.RLock()
		events, err := l.cache.EventsSince(after, eventsAFrame)
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
				l.packed.events(f)
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
			if l.closing.Load() {
				return
			}
			// Events that came since go out before the mark that covers them.
			b := l.bookmark(s)
			if round++; round%judgedEvery == 0 {
				l.mu.RLock()
				b.Judged, b.Verdicts = true, l.verdicts
				l.mu.RUnlock()
			}
			l.mu.RLock()
			rest, err := l.cache.EventsSince(after, 1)
			l.mu.RUnlock()
			if len(rest) > 0 || err != nil || !l.fresh() {
				poke(wake)
				continue
			}
			if conn.Send(&transport.Frame{Bookmark: b}) != nil {
				return
			}
			after = max(after, b.Revision)
		}
	}
}
