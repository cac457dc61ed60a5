package controlplane

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"lichentray/audit"
	"lichentray/internal/apierror"
	"lichentray/internal/transport"
	"lichentray/loadbalance"
	"lichentray/registry"
	"lichentray/watchcache"
)

// watchServer serves the proxies and relays that connect here: a proxy lists the
// watched objects and then streams their changes, and reports its load and what it
// observes. Each connection has a goroutine that reads and, once the watch has
// begun, one that streams.
type watchServer struct {
	*environment
	state     *sharedState
	consensus *consensusView
	peers     *peerPool
	proposer  *proposer
	health    *healthMonitor
	rollouts  *rolloutController
	directory *proxyDirectory
	audit     *auditSink
	// isCoreDiskless reports whether nodes without a disk have to take part in the group.
	isCoreDiskless func() bool

	encodings sharedEncodings

	mu       sync.RWMutex
	sessions map[*proxySession]struct{}
	summary  proxySummary
}

// proxySummary is what the leader sums up over all proxies and sends to each of them.
// It is replaced as a whole and never changed.
type proxySummary struct {
	proxies  int
	loads    map[string]loadbalance.Load      // by service
	quotas   map[string]transport.QuotaGrants // by proxy
	verdicts []loadbalance.Verdict
}

// proxySession is one proxy that is connected here.
type proxySession struct {
	proxyName     string
	ackedRevision atomic.Uint64
	// isRegistering and isIngestingAudit admit one write of the proxy's entry, and of
	// its audit batch, at a time. What is skipped comes again with a later report.
	isRegistering    atomic.Bool
	isIngestingAudit atomic.Bool

	// What follows is of the newest report, guarded by watchServer.mu.
	loads          map[string]loadbalance.Load
	rollouts       map[string]transport.RolloutReport
	reportSequence uint64
	reportedAt     time.Duration
}

func (w *watchServer) setSummary(summary proxySummary) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.summary = summary
}

func (w *watchServer) getSummary() proxySummary {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.summary
}

func (w *watchServer) openSession(proxyName string) *proxySession {
	session := &proxySession{proxyName: proxyName, reportedAt: w.now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sessions[session] = struct{}{}
	return session
}

func (w *watchServer) closeSession(session *proxySession) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.sessions, session)
}

// serveProxy handles a proxy's reports and answers its list or watch, after which it
// streams. A proxy too slow to take its stream is disconnected and lists again.
func (w *watchServer) serveProxy(conn *transport.Conn, hello transport.Hello) {
	session := w.openSession(hello.Node)
	defer w.closeSession(session)
	disconnected := make(chan struct{})
	defer close(disconnected)
	isStreaming := false
	for {
		frame, err := conn.Receive(0)
		if err != nil {
			return
		}
		if frame.Ack > 0 {
			session.ackedRevision.Store(frame.Ack)
		}
		if frame.Report != nil {
			w.handleReport(conn, session, frame.Report)
		}
		if frame.Ask == nil || isStreaming {
			continue
		}
		response, after := w.listOrWatch(frame.Ask)
		if conn.Send(&transport.Frame{Answer: response}) != nil || response.Failed {
			return
		}
		if response.Gone || response.Nearer != nil {
			continue // the proxy lists, here or at another node
		}
		isStreaming = true
		stream := &eventStream{
			watchServer:  w,
			conn:         conn,
			session:      session,
			after:        after,
			isPacked:     frame.Ask.Packs,
			disconnected: disconnected,
		}
		w.start(stream.run)
	}
}

// handleReport records what a proxy reports. The writes that it asks for run in their
// own goroutines, so that the connection's reader does not wait for them.
func (w *watchServer) handleReport(conn *transport.Conn, session *proxySession, report *transport.ProxyReport) {
	w.recordReport(session, report)
	if report.Account != nil && w.audit.isEnabled() && session.isIngestingAudit.CompareAndSwap(false, true) {
		w.startIngest(conn, session, report.Account)
	}
	if report.Self != nil && session.isRegistering.CompareAndSwap(false, true) {
		w.start(func() {
			defer session.isRegistering.Store(false)
			_ = w.directory.register(*report.Self) // the next report tries again
		})
	}
}

func (w *watchServer) startIngest(conn *transport.Conn, session *proxySession, batch *audit.Batch) {
	w.start(func() {
		defer session.isIngestingAudit.Store(false)
		w.audit.ingest(conn, batch)
	})
}

func (w *watchServer) recordReport(session *proxySession, report *transport.ProxyReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	session.reportedAt = w.now()
	if report.Seq > 0 {
		session.loads = report.Loads
		session.reportSequence = report.Seq
		session.rollouts = report.Trials
	}
	w.rollouts.addEvidence(report.Trials)
	w.health.addObservations(report.Seen)
}

// collectReports sums up the proxies that are connected here, and returns what they
// observed of endpoints since the last call. Sessions that have not reported for long
// are left out: their proxies are frozen, most likely.
func (w *watchServer) collectReports(state *loopState, now time.Duration) (nodeReport, map[string]loadbalance.Observation) {
	report := nodeReport{
		sequences:   map[string]uint64{},
		loads:       map[string]loadbalance.Load{},
		rollouts:    map[string]transport.RolloutReport{},
		incarnation: w.incarnation,
		receivedAt:  now,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for session := range w.sessions {
		if now-session.reportedAt > w.timing.DeadMemberTimeout {
			continue
		}
		report.sequences[session.proxyName] = max(report.sequences[session.proxyName], session.reportSequence)
		mergeLoads(report.loads, session.loads)
		mergeRolloutProgress(report.rollouts, session.rollouts)
	}
	w.rollouts.addTotalEvidence(state, report.rollouts)
	return report, w.health.takeObservations()
}

// listOrWatch answers the first request of a proxy: a list behind a read index, or a
// watch from a revision that this node must have reached. It returns the revision
// after which the stream begins.
func (w *watchServer) listOrWatch(request *transport.Request) (response *transport.Response, after uint64) {
	// At the first moment not every node's zone may be known, so it is looked up
	// before the read and after it.
	if nodes := w.redirectToZone(request); nodes != nil {
		return &transport.Response{ID: request.ID, Nearer: nodes}, 0
	}
	// The time-out is long, as a proxy asks other nodes while it waits. After a loss of
	// power a leader is elected soon, and a rejected proxy would not be served earlier.
	if err := w.proposer.readIndex(w.timing.DeadMemberTimeout); err != nil {
		return errorResponse(request.ID, err), 0
	}
	if nodes := w.redirectToZone(request); nodes != nil {
		return &transport.Response{ID: request.ID, Nearer: nodes}, 0
	}
	if request.Watch {
		return w.openWatch(request)
	}
	return w.listObjects(request)
}

// openWatch answers a watch after a revision, with Gone if the watch cache no longer
// reaches back so far.
func (w *watchServer) openWatch(request *transport.Request) (response *transport.Response, after uint64) {
	w.state.view(func(r *replicatedState) {
		revision := r.store.Revision()
		if revision < request.Least {
			response = staleResponse(request, revision)
			return
		}
		_, err := r.watchCache.EventsSince(request.Least, 1)
		response = &transport.Response{
			ID:       request.ID,
			Revision: revision,
			Gone:     errors.Is(err, watchcache.ErrGone),
		}
		after = request.Least
	})
	return response, after
}

// redirectToZone returns the members of the group to a proxy that would list here
// while a node of its own zone is up, else nil. A proxy that has just started knows
// the seeds alone; after a loss of power all proxies would list at the seed that is
// back first.
func (w *watchServer) redirectToZone(request *transport.Request) []transport.ControlNode {
	if !request.List || request.Zone == "" || request.Zone == w.settings.Zone {
		return nil
	}
	for _, m := range w.consensus.get().membership.AllMembers() {
		if w.peers.zoneOf(m.Addr) == request.Zone && w.peers.isConnected(m.Addr) {
			w.metrics.listsRedirected.Inc()
			return w.controlNodes()
		}
	}
	return nil
}

func staleResponse(request *transport.Request, revision uint64) *transport.Response {
	return errorResponse(request.ID, apierror.New(apierror.Unavailable, "this node is at revision %d, behind %d", revision, request.Least))
}

// listObjects answers with all watched objects. After a loss of power every proxy asks
// at the same moment; those that ask while the list is encoded wait and share it.
func (w *watchServer) listObjects(request *transport.Request) (response *transport.Response, after uint64) {
	if !request.Packs {
		return w.listPlain(request)
	}
	encoding := &w.encodings.list
	encoding.mu.Lock()
	defer encoding.mu.Unlock()
	var revision, watchedRevision uint64
	var objects []registry.Object
	var isCurrent bool
	w.state.view(func(r *replicatedState) {
		revision = r.store.Revision()
		watchedRevision = r.watchedRevision
		isCurrent = encoding.isOf(watchedRevision)
		if revision >= request.Least && !isCurrent {
			objects = r.watchedObjects()
		}
	})
	if revision < request.Least {
		return staleResponse(request, revision), 0
	}
	w.metrics.lists.Inc()
	if !isCurrent {
		if err := encoding.encode(objects, watchedRevision); err != nil {
			return errorResponse(request.ID, err), 0
		}
		w.metrics.listsEncoded.Inc()
	}
	return &transport.Response{ID: request.ID, Revision: revision, Packed: encoding.data}, revision
}

// listPlain answers a proxy of a version that does not know the packed form.
func (w *watchServer) listPlain(request *transport.Request) (response *transport.Response, after uint64) {
	w.state.view(func(r *replicatedState) {
		after = r.store.Revision()
		if after < request.Least {
			response = staleResponse(request, after)
			after = 0
			return
		}
		response = &transport.Response{ID: request.ID, Revision: after, Objects: r.watchedObjects()}
	})
	if !response.Failed {
		w.metrics.lists.Inc()
	}
	return response, after
}

// watchedObjects returns all objects that proxies hold a copy of.
func (r *replicatedState) watchedObjects() []registry.Object {
	var objects []registry.Object
	for _, prefix := range watchedPrefixes {
		objects = append(objects, r.store.List(prefix)...)
	}
	return objects
}

// controlNodes lists the members of the group for a proxy or relay that follows one of
// them.
func (w *watchServer) controlNodes() []transport.ControlNode {
	var nodes []transport.ControlNode
	for _, m := range w.consensus.get().membership.AllMembers() {
		nodes = append(nodes, transport.ControlNode{Addr: m.Addr, API: m.API, Zone: w.peers.zoneOf(m.Addr)})
	}
	return nodes
}

// upToDateCore lists the members of the group, or nothing while this node cannot vouch for
// them.
func (w *watchServer) upToDateCore() []transport.ControlNode {
	if !w.consensus.isUpToDate() {
		return nil
	}
	return w.controlNodes()
}

// newBookmark returns a bookmark at the newest revision, with what the leader sums up.
func (w *watchServer) newBookmark(proxyName string) *transport.Bookmark {
	summary := w.getSummary()
	bookmark := &transport.Bookmark{
		Revision: w.state.revision(),
		Proxies:  summary.proxies,
		Loads:    summary.loads,
		Control:  w.controlNodes(),
	}
	if quota, isGranted := summary.quotas[proxyName]; isGranted {
		bookmark.Round = &quota
	}
	return bookmark
}

// serveRelay sends bookmarks to a relay for as long as this node is up to date. While
// they come, the relay forwards its callers here.
func (w *watchServer) serveRelay(conn *transport.Conn) {
	ticker := time.NewTicker(w.timing.BookmarkInterval)
	defer ticker.Stop()
	for !w.isStopping.Load() && w.consensus.isUpToDate() {
		bookmark := &transport.Bookmark{
			Control:  w.controlNodes(),
			Diskless: w.isCoreDiskless(),
		}
		if conn.Send(&transport.Frame{Bookmark: bookmark}) != nil {
			return
		}
		select {
		case <-w.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
