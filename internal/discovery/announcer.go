package discovery

import (
	"context"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lichentray/internal/metrics"
	"lichentray/internal/transport"
)

const (
	// announcementIntervalDivisor is the part of the contact window after which an announcement
	// is repeated, as a divisor.
	announcementIntervalDivisor = 3
	// minAnnouncerBackoffDivisor is the part of that interval after which a seed node that could
	// not be reached is first tried again, as a divisor.
	minAnnouncerBackoffDivisor = 16
	// targetCheckDivisor is the part of that interval after which it is looked up whether the core
	// is known by now and which seed nodes do not belong to it, as a divisor.
	targetCheckDivisor = 8
	// announcerDialDivisor is the part of that interval that connecting may take, as a divisor.
	announcerDialDivisor = 2
)

// AnnouncementInterval returns the time between two announcements to the same seed node, from the
// contact window of the settings.
func AnnouncementInterval(contactWindow time.Duration) time.Duration {
	return contactWindow / announcementIntervalDivisor
}

// Announcer tells the seed nodes where the core is.
//
// The seed nodes may be relays, which know the core only for as long as they run. When all of them
// start anew at the same time, asking each other tells them nothing, and nobody whose settings name
// only them finds the core. So whoever knows the core tells it to those seed nodes that do not
// belong to it, and again whenever one of them has restarted.
//
// Between processes that can reach each other, what one of them knows of the core thereby travels
// both ways along each entry of a seed list: from the seed node to the process that asks, and from
// the process to the seed node.
type Announcer struct {
	nodeName string
	ownAddr  string
	interval time.Duration
	seeds    func() []string
	core     func() []transport.ControlNode

	sent         *metrics.Counter
	acknowledged *metrics.Counter
	failures     *metrics.Counter
	violations   *metrics.Counter
}

// AnnouncerConfig is what an Announcer needs.
type AnnouncerConfig struct {
	// NodeName is the name of this node in its settings.
	NodeName string
	// OwnAddr is the internal address (IP:port) of this node.
	OwnAddr string
	// ContactWindow is that of the settings.
	ContactWindow time.Duration
	// SeedAddrs returns the internal addresses of the present seed nodes.
	SeedAddrs func() []string
	// Core returns the members of the core; nothing while this node cannot vouch for them.
	Core func() []transport.ControlNode
	// Metrics receives the counters.
	Metrics *metrics.Registry
}

// NewAnnouncer returns an announcer, which the caller runs with Run.
func NewAnnouncer(c AnnouncerConfig) *Announcer {
	return &Announcer{
		nodeName:     c.NodeName,
		ownAddr:      c.OwnAddr,
		interval:     AnnouncementInterval(c.ContactWindow),
		seeds:        c.SeedAddrs,
		core:         c.Core,
		sent:         c.Metrics.Counter("core_announcements_sent_total"),
		acknowledged: c.Metrics.Counter("core_announcements_acknowledged_total"),
		failures:     c.Metrics.Counter("core_announcement_connections_failed_total"),
		violations:   c.Metrics.Counter("invariant_violations_total", "invariant", "announced_core_is_known"),
	}
}

// Run announces the core until the context ends. It returns once all its goroutines have ended.
func (a *Announcer) Run(ctx context.Context) {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	cancelByAddr := map[string]context.CancelFunc{}
	ticker := time.NewTicker(a.interval / targetCheckDivisor)
	defer ticker.Stop()
	for {
		// While the core is not known, the connections that there are stay.
		if core := a.core(); len(core) > 0 {
			a.adjustSessions(ctx, a.targets(core), cancelByAddr, &sessions)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// adjustSessions ends the sessions with nodes that are no targets any more, and starts those that
// are missing.
func (a *Announcer) adjustSessions(ctx context.Context, targets []string, cancelByAddr map[string]context.CancelFunc, sessions *sync.WaitGroup) {
	for addr, cancel := range cancelByAddr {
		if !slices.Contains(targets, addr) {
			cancel()
			delete(cancelByAddr, addr)
		}
	}
	for _, addr := range targets {
		if cancelByAddr[addr] != nil {
			continue
		}
		sessionCtx, cancel := context.WithCancel(ctx)
		cancelByAddr[addr] = cancel
		sessions.Go(func() { a.keepAnnouncing(sessionCtx, addr) })
	}
}

// targets returns the internal addresses of the seed nodes that do not belong to the core.
func (a *Announcer) targets(core []transport.ControlNode) []string {
	isMember := func(addr string) bool {
		return slices.ContainsFunc(core, func(node transport.ControlNode) bool { return node.Addr == addr })
	}
	var targets []string
	for _, addr := range a.seeds() {
		if addr != a.ownAddr && !isMember(addr) && !slices.Contains(targets, addr) {
			targets = append(targets, addr)
		}
	}
	return targets
}

// keepAnnouncing announces the core to one seed node until the context ends, and connects anew
// whenever the connection has ended.
func (a *Announcer) keepAnnouncing(ctx context.Context, addr string) {
	minBackoff := a.interval / minAnnouncerBackoffDivisor
	backoff := minBackoff
	for ctx.Err() == nil {
		if len(a.core()) > 0 && a.announce(ctx, addr) {
			backoff = minBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + time.Duration(rand.Int63n(int64(backoff)))):
		}
		backoff = min(2*backoff, a.interval)
	}
}

// announce announces the core over one connection until that ends. It reports whether the seed
// node acknowledged an announcement.
func (a *Announcer) announce(ctx context.Context, addr string) (isAcknowledged bool) {
	hello := transport.Hello{Role: transport.RoleAnnouncer, Node: a.nodeName}
	conn, err := transport.Dial(ctx, addr, a.interval/announcerDialDivisor, hello)
	if err != nil {
		a.failures.Inc()
		return false
	}
	defer context.AfterFunc(ctx, conn.Close)()
	var acknowledgements atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.receiveAcknowledgements(conn, &acknowledgements)
	}()
	a.sendAnnouncements(ctx, conn, ended)
	conn.Close()
	<-ended
	return acknowledgements.Load() > 0
}

// sendAnnouncements sends what is known of the core at intervals, until the connection or the
// context ends.
func (a *Announcer) sendAnnouncements(ctx context.Context, conn *transport.Conn, ended <-chan struct{}) {
	ticker := time.NewTicker(a.interval)
	defer ticker.Stop()
	for {
		if core := a.core(); len(core) > 0 {
			if conn.Send(&transport.Frame{Bookmark: &transport.Bookmark{Control: core}}) != nil {
				return
			}
			a.sent.Inc()
		}
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-ticker.C:
		}
	}
}

// receiveAcknowledgements counts the acknowledgements until the connection ends. Each names the
// core as the seed node knows it now. An empty one violates the invariant that a node to which
// the core was announced can tell others where it is.
func (a *Announcer) receiveAcknowledgements(conn *transport.Conn, acknowledgements *atomic.Int64) {
	for {
		frame, err := conn.Receive(0)
		if err != nil {
			return
		}
		if frame.Bookmark == nil {
			continue
		}
		if len(frame.Bookmark.Control) == 0 {
			a.violations.Inc()
			continue
		}
		acknowledgements.Add(1)
		a.acknowledged.Inc()
	}
}

// ReceiveAnnouncements serves the connection of an Announcer until it ends or is silent for the
// contact window. It passes each announcement to learn, and acknowledges it with what known
// returns then.
func ReceiveAnnouncements(conn *transport.Conn, contactWindow time.Duration, learn func([]transport.ControlNode), known func() []transport.ControlNode) {
	for {
		frame, err := conn.Receive(contactWindow)
		if err != nil {
			return
		}
		if frame.Bookmark == nil || len(frame.Bookmark.Control) == 0 {
			continue
		}
		learn(frame.Bookmark.Control)
		if conn.Send(&transport.Frame{Bookmark: &transport.Bookmark{Control: known()}}) != nil {
			return
		}
	}
}
