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
	// announcementIntervalDivisor divides the contact window into the interval between two
	// announcements. The other divisors divide this interval.
	announcementIntervalDivisor = 3
	// minAnnouncerBackoffDivisor gives the initial delay before reconnecting to a seed node.
	minAnnouncerBackoffDivisor = 16
	// targetCheckDivisor gives the interval of checks whether the core is known and which seed
	// nodes do not belong to it.
	targetCheckDivisor = 8
	// announcerDialDivisor gives the timeout for connecting to a seed node.
	announcerDialDivisor = 2
)

// AnnouncementInterval returns the time between two announcements to the same seed node, given the
// contact window from the settings.
func AnnouncementInterval(contactWindow time.Duration) time.Duration {
	return contactWindow / announcementIntervalDivisor
}

// Announcer announces the members of the core to the seed nodes.
//
// Seed nodes may be relays, which know the core only while they run. If all of them restart at the
// same time, they cannot learn the core from each other, and processes that have only them as seed
// nodes cannot find the core. Therefore nodes that know the core announce it to the seed nodes
// outside the core, and again whenever one of these has restarted.
//
// Between processes that can reach each other, knowledge of the core thus propagates both ways
// along each entry of a seed list: from the seed node to the process that asks, and from the
// process to the seed node.
type Announcer struct {
	nodeName string
	ownAddr  string
	interval time.Duration
	seeds    func() []string
	core     func() []transport.ControlNode

	sent              *metrics.Counter
	acknowledged      *metrics.Counter
	connectionsFailed *metrics.Counter
	violations        *metrics.Counter
}

// AnnouncerConfig configures an Announcer.
type AnnouncerConfig struct {
	// NodeName is the node name from the settings.
	NodeName string
	// OwnAddr is the internal address (IP:port) of this node.
	OwnAddr string
	// ContactWindow is the contact window from the settings.
	ContactWindow time.Duration
	// SeedAddrs returns the internal addresses of the current seed nodes.
	SeedAddrs func() []string
	// Core returns the members of the core, or none while this node does not know them for certain.
	Core func() []transport.ControlNode
	// Metrics receives the counters.
	Metrics *metrics.Registry
}

// NewAnnouncer returns an announcer. The caller starts it with Run.
func NewAnnouncer(c AnnouncerConfig) *Announcer {
	return &Announcer{
		nodeName:          c.NodeName,
		ownAddr:           c.OwnAddr,
		interval:          AnnouncementInterval(c.ContactWindow),
		seeds:             c.SeedAddrs,
		core:              c.Core,
		sent:              c.Metrics.Counter("core_announcements_sent_total"),
		acknowledged:      c.Metrics.Counter("core_announcements_acknowledged_total"),
		connectionsFailed: c.Metrics.Counter("core_announcement_connections_failed_total"),
		violations:        c.Metrics.Counter("invariant_violations_total", "invariant", "announced_core_is_known"),
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
		// While the core is not known, existing connections are kept.
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

// adjustSessions stops the sessions with nodes that are no longer targets, and starts sessions with
// new targets.
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

// targets returns the internal addresses of the seed nodes outside the core, except this node.
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

// keepAnnouncing announces the core to one seed node until the context ends. It reconnects with
// exponential backoff whenever the connection has ended.
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

// announce announces the core over one connection until the connection ends. It reports whether
// the seed node acknowledged an announcement.
func (a *Announcer) announce(ctx context.Context, addr string) (isAcknowledged bool) {
	hello := transport.Hello{Role: transport.RoleAnnouncer, Node: a.nodeName}
	conn, err := transport.Dial(ctx, addr, a.interval/announcerDialDivisor, hello)
	if err != nil {
		a.connectionsFailed.Inc()
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

// sendAnnouncements sends the members of the core periodically until the connection or the context
// ends. It skips announcements while they are not known.
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

// receiveAcknowledgements counts acknowledgements until the connection ends. Each lists the members
// of the core that the seed node now knows. An empty list violates the invariant that a node to
// which the core was announced can refer others to it.
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

// ReceiveAnnouncements serves a connection from an Announcer until it ends or is silent for the
// contact window. It passes each announcement to update, and acknowledges it with the result of a
// subsequent call of currentNodes.
func ReceiveAnnouncements(conn *transport.Conn, contactWindow time.Duration, update func([]transport.ControlNode), currentNodes func() []transport.ControlNode) {
	for {
		frame, err := conn.Receive(contactWindow)
		if err != nil {
			return
		}
		if frame.Bookmark == nil || len(frame.Bookmark.Control) == 0 {
			continue
		}
		update(frame.Bookmark.Control)
		if conn.Send(&transport.Frame{Bookmark: &transport.Bookmark{Control: currentNodes()}}) != nil {
			return
		}
	}
}
