// Package relay implements a control-plane node on a machine without a disk, in a deployment whose
// core nodes have disks. It stores nothing and forwards calls to a core node that is up to date,
// the nearest if possible.
//
// It forwards instead of redirecting, as a redirect costs the caller an additional round trip to
// a node that may be far away (see docs/notes/placement.md). Only calls that are too large are
// redirected, see mustRedirect.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lichentray/internal/api"
	"lichentray/internal/daemon"
	"lichentray/internal/discovery"
	"lichentray/internal/metrics"
	"lichentray/internal/settings"
	"lichentray/internal/transport"
	"lichentray/overload"
)

// ErrCoreDiskless is returned by Run when no core machine has a disk. The node should then
// join the core instead of running a relay.
var ErrCoreDiskless = errors.New("no core machine has a disk")

// maxRequestBodyBytes bounds the body of a call, in bytes. What exceeds maxForwardedBytes is read, so
// that the caller can read the redirection, and discarded.
const maxRequestBodyBytes = 16 << 20

// relay is the state of a running relay.
type relay struct {
	nodeName string
	// ownAddr is the internal address of this relay.
	ownAddr  string
	timeouts timeouts
	log      *slog.Logger
	locator  *discovery.Locator
	metrics  *metrics.Registry

	// maxCoreConnections bounds the connections to a core node, and thereby the calls in flight.
	// Watches may use half of them, as they are long-lived and must not block other calls.
	maxCoreConnections int

	// target is the core node that is followed, or nil if none is up to date.
	target atomic.Pointer[coreTarget]
	// coreDiskless is closed when a core node reports that no core machine has a disk.
	coreDiskless chan struct{}

	forwarded      *metrics.Counter
	redirected     *metrics.Counter // calls redirected to the core, see mustRedirect
	unavailable    *metrics.Counter // calls of which no byte was sent
	abandoned      *metrics.Counter // calls not forwarded, as the caller had disconnected
	outcomeUnknown *metrics.Counter
	// referralRequests counts connections that asked for the addresses of the core, and
	// referralsUnavailable those of them that got no answer, as the core was not known.
	referralRequests     *metrics.Counter
	referralsUnavailable *metrics.Counter
	// searchesFailed counts passes over all known nodes in which none could be followed.
	searchesFailed *metrics.Counter
	// watchesAbandoned counts watches that were canceled as their callers had disconnected.
	watchesAbandoned *metrics.Counter
	// announcements counts received announcements of the core.
	announcements *metrics.Counter
}

// timeouts are the durations that a relay derives from the settings.
type timeouts struct {
	call  time.Duration // timeout of a forwarded call
	watch time.Duration // timeout of a forwarded watch, which waits for an event
	// contact is how long a core node is followed before the relay may switch to a nearer one.
	contact time.Duration
	// silence is how long a core node may be silent and still count as up to date: 3/10 of the
	// time in which a change must reach every node.
	silence time.Duration
	// retry is the pause before another attempt to follow a core node.
	retry time.Duration
	// shutdown is how long calls in flight may take to finish during a shutdown.
	shutdown time.Duration
}

func newTimeouts(set *settings.Settings) timeouts {
	contact := set.Bounds.ContactWindow.Duration()
	silence := set.PropagationBound() * 3 / 10
	return timeouts{
		call:     contact,
		watch:    set.Bounds.HistoryRetention.Duration() + contact,
		contact:  contact,
		silence:  silence,
		retry:    silence / 8,
		shutdown: set.Bounds.GracePeriod.Duration() / 6,
	}
}

func newRelay(set *settings.Settings, log *slog.Logger) *relay {
	registry := metrics.NewRegistry()
	return &relay{
		nodeName:             set.NodeName,
		ownAddr:              set.InternalAddr(set.IPAddress),
		timeouts:             newTimeouts(set),
		log:                  log,
		locator:              discovery.NewLocator(set),
		metrics:              registry,
		coreDiskless:         make(chan struct{}),
		maxCoreConnections:   maxCoreConnections,
		forwarded:            registry.Counter("relay_forwarded_total"),
		redirected:           registry.Counter("relay_redirected_total"),
		unavailable:          registry.Counter("relay_unavailable_total"),
		abandoned:            registry.Counter("relay_abandoned_total"),
		outcomeUnknown:       registry.Counter("relay_outcome_unknown_total"),
		referralRequests:     registry.Counter("relay_asked_for_core_total"),
		referralsUnavailable: registry.Counter("relay_asked_for_core_in_vain_total"),
		searchesFailed:       registry.Counter("relay_core_searches_failed_total"),
		announcements:        registry.Counter("relay_core_announcements_received_total"),

		watchesAbandoned: registry.Counter("relay_watches_abandoned_total"),
	}
}

// Run runs a relay until sig.Stop is closed or a listener fails. It returns ErrCoreDiskless if a
// core node reports that no core machine has a disk.
func Run(set *settings.Settings, log *slog.Logger, sig *daemon.Signals) error {
	r := newRelay(set, log)
	var running sync.WaitGroup
	defer running.Wait()
	limits := overload.Divide(set.Limits.MemoryBytes(), set.Limits.MaxOpenFiles)
	guard := api.NewGuard(limits, r.metrics)
	r.maxCoreConnections = min(maxCoreConnections, limits.Connections[overload.Upstream])
	calls, err := guard.Listen(set.BindAddr(set.Listen.Control), api.CallListener(overload.ControlPlane))
	if err != nil {
		return err
	}
	defer calls.Close()
	// A proxy on this machine connects here to detect that it shares the link with a relay.
	// Processes whose seed nodes are all relays connect here to find the core.
	internal, err := guard.Listen(set.BindAddr(r.ownAddr), api.InternalListener)
	if err != nil {
		return err
	}
	defer internal.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	server := api.NewStreamServer(r.handle)
	failed := make(chan error, 1)
	running.Go(func() { r.acceptInternal(internal) })
	running.Go(func() { r.followNearest(ctx) })
	running.Go(func() { r.newAnnouncer().Run(ctx) })
	running.Go(func() { failed <- server.Serve(calls) })
	for {
		select {
		case err := <-failed:
			return err
		case <-r.coreDiskless:
			return ErrCoreDiskless
		case changed := <-sig.SettingsChanged:
			r.locator.SetSeeds(changed.SeedNodes)
			log.Info("settings reloaded", "seeds", changed.SeedNodes)
		case <-sig.Stop:
			api.Shutdown(server, r.timeouts.shutdown)
			return nil
		}
	}
}

// acceptInternal serves connections of the internal protocol until the listener is
// closed.
func (r *relay) acceptInternal(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serveInternal(conn) // ends when the peer closes the connection or is silent
	}
}

// serveInternal serves one connection of the internal protocol.
func (r *relay) serveInternal(raw net.Conn) {
	defer raw.Close()
	conn, hello, err := transport.Accept(raw, r.timeouts.silence)
	if err != nil {
		return
	}
	api.AsGuarded(raw).BeginProcessing() // false if it was just closed, which the first read shows
	if hello.Role == transport.RoleAnnouncer {
		discovery.ReceiveAnnouncements(conn, r.timeouts.contact, r.recordAnnouncement, r.locator.Nodes)
		return
	}
	if hello.Role == transport.RolePeer {
		// The core still has a member with this address, which had no disk or has lost it. Core
		// nodes do not announce the core to members.
		r.locator.Suggest(hello.Addr)
	}
	r.referToCore(conn)
}

// recordAnnouncement stores the members of the core from an announcement.
func (r *relay) recordAnnouncement(nodes []transport.ControlNode) {
	r.announcements.Inc()
	r.locator.UpdateAnnounced(nodes)
}

// newAnnouncer returns an announcer for the seed nodes that are relays too. It announces the core
// only while the relay follows a core node.
func (r *relay) newAnnouncer() *discovery.Announcer {
	return discovery.NewAnnouncer(discovery.AnnouncerConfig{
		NodeName:      r.nodeName,
		OwnAddr:       r.ownAddr,
		ContactWindow: r.timeouts.contact,
		SeedAddrs:     r.locator.SeedAddrs,
		Core: func() []transport.ControlNode {
			if r.target.Load() == nil {
				return nil
			}
			return r.locator.Nodes()
		},
		Metrics: r.metrics,
	})
}

// referToCore sends the addresses of the core to a process that has this relay as a seed node.
func (r *relay) referToCore(conn *transport.Conn) {
	nodes := r.locator.Nodes()
	r.referralRequests.Inc()
	if len(nodes) == 0 {
		r.referralsUnavailable.Inc()
		return
	}
	err := conn.Send(&transport.Frame{Bookmark: &transport.Bookmark{Control: nodes}})
	// Closing a connection with unread data resets it, and the peer may lose the bookmark. So the
	// relay waits for the peer to close first.
	for err == nil {
		_, err = conn.Receive(r.timeouts.silence)
	}
}
