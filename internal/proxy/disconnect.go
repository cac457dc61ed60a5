package proxy

import (
	"net"
	"sync"
	"time"

	"lichentray/internal/metrics"
	"lichentray/internal/transport"
)

const (
	// disconnectCheckInterval is the interval between sweeps over the client connections with a
	// request in progress. It bounds the delay until a disconnect is detected.
	disconnectCheckInterval = 100 * time.Millisecond
	// maxSweepsAfterDisconnect is the number of sweeps after the detection of a client's
	// disconnect at which a request that is still in progress violates the invariant.
	maxSweepsAfterDisconnect = 4
)

// pastDeadline is a deadline in the past. It makes pending reads or writes fail immediately.
var pastDeadline = time.Unix(1, 0)

// disconnectWatcher detects clients that close or reset their connection while a request is in
// progress. The HTTP server reads a connection only between requests, so it would detect this only
// when the request ends. The watcher polls the connections at intervals, which costs one system
// call for each request that is in progress at a sweep, and nothing while there are no requests.
//
// It is safe for concurrent use and needs no goroutine of its own.
type disconnectWatcher struct {
	mu      sync.Mutex
	watched []*clientWatch
	// timer runs sweep; nil before the first request. isTimerSet is true while a sweep is
	// scheduled or running.
	timer      *time.Timer
	isTimerSet bool

	// sweepBuffer holds the clients of the current sweep. It is used only by sweep.
	sweepBuffer []*clientWatch

	// disconnects counts the detected disconnects, canceledAttempts the attempts canceled because
	// of one, and violations the requests in progress too long after one.
	sweeps           *metrics.Counter
	disconnects      *metrics.Counter
	canceledAttempts *metrics.Counter
	violations       *metrics.Counter
}

func newDisconnectWatcher(r *metrics.Registry) *disconnectWatcher {
	return &disconnectWatcher{
		sweeps:           r.Counter("client_departure_sweeps_total"),
		disconnects:      r.Counter("client_departures_total"),
		canceledAttempts: r.Counter("attempts_cut_by_departure_total"),
		violations:       r.Counter("invariant_violations_total", "invariant", "no_work_for_departed_clients"),
	}
}

// watch starts watching the client of a request. The caller must call unwatch when the request
// ends.
func (w *disconnectWatcher) watch(c *clientWatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.watcher = w
	c.index = len(w.watched)
	w.watched = append(w.watched, c)
	switch {
	case w.isTimerSet:
	case w.timer == nil:
		w.timer = time.AfterFunc(disconnectCheckInterval, w.sweep)
	default:
		w.timer.Reset(disconnectCheckInterval)
	}
	w.isTimerSet = true
}

// unwatch stops watching a client.
func (w *disconnectWatcher) unwatch(c *clientWatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := len(w.watched) - 1
	w.watched[c.index] = w.watched[last]
	w.watched[c.index].index = c.index
	w.watched[last] = nil
	w.watched = w.watched[:last]
}

// sweep checks every watched client once, and schedules the next sweep if any are left.
func (w *disconnectWatcher) sweep() {
	w.mu.Lock()
	w.sweepBuffer = append(w.sweepBuffer[:0], w.watched...)
	w.mu.Unlock()
	for _, c := range w.sweepBuffer {
		c.sweep()
	}
	clear(w.sweepBuffer)
	w.sweeps.Inc()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isTimerSet = len(w.watched) > 0
	if w.isTimerSet {
		w.timer.Reset(disconnectCheckInterval)
	}
}

// clientWatch tracks whether the client of one request has disconnected, and cancels the attempt in
// progress in that case. The zero value is for a client that is not watched; it never reports a
// disconnect.
type clientWatch struct {
	// conn is the client's connection and probe checks its state; both are nil if the client is
	// not watched.
	conn  net.Conn
	probe *transport.PeerProbe
	// watcher and index are managed by disconnectWatcher.
	watcher *disconnectWatcher
	index   int

	mu sync.Mutex
	// isDisconnected is set once the client's disconnect is detected.
	isDisconnected bool
	// isFinished is set once the request has ended.
	isFinished bool
	// sweepsSinceDisconnect counts the sweeps after the disconnect that found the request in
	// progress without an attempt that must complete.
	sweepsSinceDisconnect int
	// disconnectedChan is closed when the disconnect is detected; nil until it is requested.
	disconnectedChan chan struct{}
	// upstream is the connection of the attempt in progress; nil if there is none.
	upstream *upstreamConn
	// isCancelable is true if the attempt in progress is canceled when the client disconnects.
	// Otherwise the attempt must complete: canceling a non-idempotent request may leave it
	// partly executed.
	isCancelable bool
}

// check polls the client's connection and, on a disconnect, cancels the attempt in progress if
// that is cancelable.
func (c *clientWatch) check() {
	if c.probe == nil || c.hasDisconnected() || !c.probe.HasClosed() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDisconnected || c.isFinished {
		return
	}
	c.isDisconnected = true
	c.watcher.disconnects.Inc()
	if c.disconnectedChan != nil {
		close(c.disconnectedChan)
	}
	c.cancelAttempt()
}

// sweep checks one request for the watcher. A request that is still in progress several sweeps
// after its client has disconnected violates an invariant, unless an attempt that must complete is
// in progress.
func (c *clientWatch) sweep() {
	if !c.hasDisconnected() {
		c.check()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	mustComplete := c.upstream != nil && !c.isCancelable
	if c.isFinished || mustComplete {
		return
	}
	c.sweepsSinceDisconnect++
	if c.sweepsSinceDisconnect == maxSweepsAfterDisconnect {
		c.watcher.violations.Inc()
	}
}

// cancelAttempt cancels the attempt in progress, if there is one that is cancelable. It also makes
// writes to the client fail, so that a response to a client that does not read does not block. The
// caller must hold c.mu.
func (c *clientWatch) cancelAttempt() {
	if c.upstream != nil && c.isCancelable {
		c.upstream.close()
		_ = c.conn.SetWriteDeadline(pastDeadline) // fails only if the connection is closed
		c.watcher.canceledAttempts.Inc()
	}
}

// hasDisconnected reports whether a disconnect of the client has been detected.
func (c *clientWatch) hasDisconnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isDisconnected
}

// disconnected returns a channel that is closed when the client's disconnect is detected. It is nil
// for a client that is not watched.
func (c *clientWatch) disconnected() <-chan struct{} {
	if c.probe == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disconnectedChan == nil {
		c.disconnectedChan = make(chan struct{})
		if c.isDisconnected {
			close(c.disconnectedChan)
		}
	}
	return c.disconnectedChan
}

// attach registers an attempt on a connection to an endpoint. It returns false if the client has
// disconnected. If isCancelable, the connection is closed when the client disconnects.
func (c *clientWatch) attach(conn *upstreamConn, isCancelable bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDisconnected {
		return false
	}
	c.upstream = conn
	c.isCancelable = isCancelable
	return true
}

// makeCancelable makes the attempt in progress cancelable, and cancels it if the client has already
// disconnected.
func (c *clientWatch) makeCancelable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isCancelable {
		return
	}
	c.isCancelable = true
	if c.isDisconnected {
		c.cancelAttempt()
	}
}

// detach unregisters the attempt in progress, and reports whether its connection was closed because
// the client has disconnected.
func (c *clientWatch) detach() (wasCanceled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasCanceled = c.upstream != nil && c.isCancelable && c.isDisconnected
	c.upstream = nil
	return wasCanceled
}

// finish stops watching the client when the request ends. Further calls do nothing.
func (c *clientWatch) finish() {
	if c.probe == nil {
		return
	}
	c.mu.Lock()
	wasFinished := c.isFinished
	c.isFinished = true
	c.mu.Unlock()
	if !wasFinished {
		c.watcher.unwatch(c)
	}
}
