package proxy

import (
	"net"
	"sync"
	"time"

	"lichentray/internal/metrics"
	"lichentray/internal/transport"
)

const (
	// departureCheckInterval is how often the connections of the clients whose requests are in
	// progress are looked at. A client that leaves is noticed after this time at most.
	departureCheckInterval = 100 * time.Millisecond
	// maxSweepsAfterDeparture is in how many sweeps after its client's departure was noticed a
	// request may not be found in progress.
	maxSweepsAfterDeparture = 4
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// departureWatcher notices when clients leave while their requests are in progress: when they
// close or reset the connection. The HTTP server reads a connection only between two requests and
// would notice at the end. The watcher looks at all of them at intervals, which costs one system
// call for each request that lasts so long, and nothing while there are no requests.
//
// It is safe for concurrent use and needs no goroutine of its own.
type departureWatcher struct {
	mu      sync.Mutex
	watched []*departure
	// timer runs sweep; nil before the first request. isArmed: it will do so.
	timer   *time.Timer
	isArmed bool

	// swept is what the present sweep looks at. Only sweep uses it.
	swept []*departure

	// sweeps, departures and cut count sweeps, the departures that were noticed and the attempts
	// that were broken off for one.
	sweeps     *metrics.Counter
	departures *metrics.Counter
	cut        *metrics.Counter
	violations *metrics.Counter
}

func newDepartureWatcher(r *metrics.Registry) *departureWatcher {
	return &departureWatcher{
		sweeps:     r.Counter("client_departure_sweeps_total"),
		departures: r.Counter("client_departures_total"),
		cut:        r.Counter("attempts_cut_by_departure_total"),
		violations: r.Counter("invariant_violations_total", "invariant", "no_work_for_departed_clients"),
	}
}

// watch begins to watch the client of a request. The caller calls unwatch when the request ends.
func (w *departureWatcher) watch(d *departure) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d.watcher = w
	d.index = len(w.watched)
	w.watched = append(w.watched, d)
	switch {
	case w.isArmed:
	case w.timer == nil:
		w.timer = time.AfterFunc(departureCheckInterval, w.sweep)
	default:
		w.timer.Reset(departureCheckInterval)
	}
	w.isArmed = true
}

// unwatch ends the watch.
func (w *departureWatcher) unwatch(d *departure) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := len(w.watched) - 1
	w.watched[d.index] = w.watched[last]
	w.watched[d.index].index = d.index
	w.watched[last] = nil
	w.watched = w.watched[:last]
}

// sweep looks at every client once, and comes again while there are any.
func (w *departureWatcher) sweep() {
	w.mu.Lock()
	w.swept = append(w.swept[:0], w.watched...)
	w.mu.Unlock()
	for _, d := range w.swept {
		d.sweep()
	}
	clear(w.swept)
	w.sweeps.Inc()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isArmed = len(w.watched) > 0
	if w.isArmed {
		w.timer.Reset(departureCheckInterval)
	}
}

// departure is whether the client of one request has left, and what has to end then. The zero
// value is of a client that is not watched and never leaves.
type departure struct {
	// client is the client's connection and conn looks at it; both are nil if it is not watched.
	client net.Conn
	conn   *transport.PeerProbe
	// watcher and index belong to departureWatcher.
	watcher *departureWatcher
	index   int

	mu sync.Mutex
	// isLeft: it was noticed that the client has left.
	isLeft bool
	// isEnded: the request is not in progress any more.
	isEnded bool
	// sweepsSinceLeft is how many sweeps have found the request in progress since then, though
	// nothing keeps it.
	sweepsSinceLeft int
	// noticed is closed then; nil if nobody waits for it.
	noticed chan struct{}
	// upstream is the connection of the attempt in progress; nil if there is none.
	upstream *upstreamConn
	// canBreakOff: the attempt in progress ends with the client. Otherwise it goes on to its
	// end, as a request that may run once and was broken off may have been executed in part.
	canBreakOff bool
}

// check looks whether the client has left by now, and ends what has to end then.
func (d *departure) check() {
	if d.conn == nil || d.hasLeft() || !d.conn.HasClosed() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isLeft || d.isEnded {
		return
	}
	d.isLeft = true
	d.watcher.departures.Inc()
	if d.noticed != nil {
		close(d.noticed)
	}
	d.breakOff()
}

// sweep is one look at the request by the watcher. A request that is still in progress some sweeps
// after its client has left violates an invariant, unless an endpoint works on it that must not be
// interrupted.
func (d *departure) sweep() {
	if !d.hasLeft() {
		d.check()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	mustGoOn := d.upstream != nil && !d.canBreakOff
	if d.isEnded || mustGoOn {
		return
	}
	d.sweepsSinceLeft++
	if d.sweepsSinceLeft == maxSweepsAfterDeparture {
		d.watcher.violations.Inc()
	}
}

// breakOff ends the attempt in progress, if there is one that ends with the client. A response on
// its way to a client that does not read it is not waited for either. The caller has the lock.
func (d *departure) breakOff() {
	if d.upstream != nil && d.canBreakOff {
		d.upstream.close()
		_ = d.client.SetWriteDeadline(longAgo) // fails only if it is closed
		d.watcher.cut.Inc()
	}
}

// hasLeft reports whether it was noticed that the client has left.
func (d *departure) hasLeft() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isLeft
}

// whenLeft returns a channel that is closed when it is noticed that the client has left. It is nil
// for a client that is not watched.
func (d *departure) whenLeft() <-chan struct{} {
	if d.conn == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.noticed == nil {
		d.noticed = make(chan struct{})
		if d.isLeft {
			close(d.noticed)
		}
	}
	return d.noticed
}

// attach begins an attempt on a connection to an endpoint. It returns false if the client has left.
// The connection is closed when the client leaves, if canBreakOff.
func (d *departure) attach(conn *upstreamConn, canBreakOff bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isLeft {
		return false
	}
	d.upstream = conn
	d.canBreakOff = canBreakOff
	return true
}

// allowBreakOff lets the attempt in progress end with the client from now on.
func (d *departure) allowBreakOff() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.canBreakOff {
		return
	}
	d.canBreakOff = true
	if d.isLeft {
		d.breakOff()
	}
}

// detach ends the attempt in progress, and reports whether its connection was closed because the
// client has left.
func (d *departure) detach() (wasBrokenOff bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wasBrokenOff = d.upstream != nil && d.canBreakOff && d.isLeft
	d.upstream = nil
	return wasBrokenOff
}

// end ends the watch when the request ends.
func (d *departure) end() {
	if d.conn == nil {
		return
	}
	d.mu.Lock()
	wasEnded := d.isEnded
	d.isEnded = true
	d.mu.Unlock()
	if !wasEnded {
		d.watcher.unwatch(d)
	}
}
