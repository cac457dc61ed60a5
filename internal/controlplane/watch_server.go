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

// watchServer serves the proxies and relays that connect to this node. A proxy lists the watched
// objects, streams their changes, and reports its load and its observations. Each connection has
// a goroutine that reads and, once the watch has started, another one that streams.
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
	// isCoreDiskless reports whether nodes without a disk must be members of the group.
	isCoreDiskless func() bool

	encodings sharedEncodings

	mu       sync.RWMutex
	sessions map[*proxySession]struct{}
	summary  proxySummary
}

// proxySummary is what the leader computes over all proxies and sends to every node, for its
// proxies. It is immutable and replaced as a whole.
type proxySummary struct {
	proxies  int
	loads    map[string]loadbalance.Load      // by service
	quotas   map[string]transport.QuotaGrants // by proxy
	verdicts []loadbalance.Verdict
}

// proxySession is a proxy that is connected to this node.
type proxySession struct {
	proxyName     string
	ackedRevision atomic.Uint64
	// isRegistering and isIngestingAudit limit writes of the proxy's registry entry and of its
	// audit batches to one at a time. Skipped data is sent again with a later report.
	isRegistering    atomic.Bool
	isIngestingAudit atomic.Bool

	// The fields below come from the newest report and are guarded by watchServer.mu.
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

func (w *watchServer) currentSummary() proxySummary {
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

// serveProxy handles the reports of a proxy and its list and watch requests, and then starts the
// stream. A proxy that is too slow to receive its stream is disconnected and lists again.
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
			continue // the proxy will list, on this node or another one
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

// handleReport records a proxy's report. Writes that result from it run in their own goroutines,
// so that they do not block the connection's reader.
func (w *watchServer) handleReport(conn *transport.Conn, session *proxySession, report *transport.ProxyReport) {
	w.recordReport(session, report)
	if report.Account != nil && w.audit.isEnabled() && session.isIngestingAudit.CompareAndSwap(false, true) {
		w.startIngest(conn, session, report.Account)
	}
	if report.Self != nil && session.isRegistering.CompareAndSwap(false, true) {
		w.start(func() {
			defer session.isRegistering.Store(false)
			_ = w.directory.register(*report.Self) // retried with the next report
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

// collectReports sums the reports of the proxies that are connected to this node, and returns
// their observations of endpoints since the last call. It skips sessions that have not reported
// for DeadMemberTimeout, whose proxies are most likely frozen.
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

// listOrWatch responds to the first request of a proxy, which is a list after a read index or a
// watch from a revision that this node must have reached. It returns the revision after which the
// stream begins.
func (w *watchServer) listOrWatch(request *transport.Request) (response *transport.Response, after uint64) {
	// Shortly after a start the zones of some nodes may still be unknown, so the zone is checked
	// both before and after the read.
	if nodes := w.redirectToZone(request); nodes != nil {
		return &transport.Response{ID: request.ID, Nearer: nodes}, 0
	}
	// The timeout is long because the proxy tries other nodes while it waits. After a power
	// failure a leader is elected soon, and a rejected proxy would not be served any earlier.
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

// openWatch responds to a watch after a revision. Gone is set if the watch cache no longer
// reaches back that far.
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

// redirectToZone returns the members of the group if a proxy should list on a node of its own
// zone instead of this one, and nil otherwise. A proxy that has just started knows only the
// seeds; without the redirect, all proxies would list on the first seed that is back after a
// power failure.
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

// listObjects responds with all watched objects. After a power failure all proxies send the
// request at the same time; requests that arrive while the list is being encoded wait for it and
// share the encoding.
func (w *watchServer) listObjects(request *transport.Request) (response *transport.Response, after uint64) {
	if !request.Packs {
		return w.listUnpacked(request)
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
		isCurrent = encoding.isAtRevision(watchedRevision)
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

// listUnpacked responds to a proxy of a version that does not support packed lists.
func (w *watchServer) listUnpacked(request *transport.Request) (response *transport.Response, after uint64) {
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

// watchedObjects returns all objects that proxies replicate.
func (r *replicatedState) watchedObjects() []registry.Object {
	var objects []registry.Object
	for _, prefix := range watchedPrefixes {
		objects = append(objects, r.store.List(prefix)...)
	}
	return objects
}

// controlNodes returns the members of the group for a proxy or relay that connects to one of
// them.
func (w *watchServer) controlNodes() []transport.ControlNode {
	var nodes []transport.ControlNode
	for _, m := range w.consensus.get().membership.AllMembers() {
		nodes = append(nodes, transport.ControlNode{Addr: m.Addr, API: m.API, Zone: w.peers.zoneOf(m.Addr)})
	}
	return nodes
}

// upToDateCore returns the members of the group, or nil while this node is not up to date.
func (w *watchServer) upToDateCore() []transport.ControlNode {
	if !w.consensus.isUpToDate() {
		return nil
	}
	return w.controlNodes()
}

// newBookmark returns a bookmark at the newest revision, with the summary computed by the leader.
func (w *watchServer) newBookmark(proxyName string) *transport.Bookmark {
	summary := w.currentSummary()
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

// serveRelay sends bookmarks to a relay while this node is up to date. While it receives them,
// the relay forwards requests to this node.
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
