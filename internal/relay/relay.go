// Package relay is a control-plane node on a machine without a disk, beside core nodes
// that have disks. It stores nothing, and forwards calls to a core node that is up
// to date, the nearest if possible.
//
// It forwards instead of redirecting, as a redirect costs the caller a round trip more to
// a node that may be far away (measured in docs/notes/placement.md). Only what is too
// large for that is redirected, see mustRedirect.
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
)

// ErrCoreDiskless is returned by Run when no machine of the core has a disk. A relay
// is of no use then, and the node should join the core.
var ErrCoreDiskless = errors.New("no machine of the core has a disk")

// maxRequestBody bounds the body of a call, in bytes.
const maxRequestBody = 16 << 20

// relay is the state of a running relay.
type relay struct {
	nodeName string
	// ownAddr is the internal address of this relay.
	ownAddr  string
	timeouts timeouts
	log      *slog.Logger
	locator  *discovery.Locator
	metrics  *metrics.Registry

	// target is the core node that is followed; nil if none is up to date.
	target atomic.Pointer[coreTarget]
	// coreDiskless is closed when a core node reports that no core machine has a disk.
	coreDiskless chan struct{}

	forwarded      *metrics.Counter
	redirected     *metrics.Counter // callers sent to the core, see mustRedirect
	unavailable    *metrics.Counter // calls of which not one byte was sent
	abandoned      *metrics.Counter // calls that were not forwarded, as their callers had left
	outcomeUnknown *metrics.Counter
	// asked and askedInVain count who connected to learn where the core is, and those of them
	// that this relay could not tell.
	asked       *metrics.Counter
	askedInVain *metrics.Counter
	// searchesFailed counts the rounds over all known nodes in which none could be followed.
	searchesFailed *metrics.Counter
	// watchesAbandoned counts the watches that were broken off because their callers had left.
	watchesAbandoned *metrics.Counter
	// announcements counts the announcements of the core that were received.
	announcements *metrics.Counter
}

// timeouts are the durations that a relay derives from the settings.
type timeouts struct {
	call  time.Duration // of a forwarded call
	watch time.Duration // of a forwarded watch, which waits for an event
	// contact is how long a core node is followed at the least before a nearer one
	// is preferred.
	contact time.Duration
	// silence is how long a core node may be silent and still count as up to date: 3/10 of
	// the time in which a change has to reach every node.
	silence time.Duration
	// retry is the pause before the core nodes are attempted again.
	retry time.Duration
	// shutdown is how long calls in flight may take to end.
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
		nodeName:       set.NodeName,
		ownAddr:        set.InternalAddr(set.IPAddress),
		timeouts:       newTimeouts(set),
		log:            log,
		locator:        discovery.NewLocator(set),
		metrics:        registry,
		coreDiskless:   make(chan struct{}),
		forwarded:      registry.Counter("relay_forwarded_total"),
		redirected:     registry.Counter("relay_redirected_total"),
		unavailable:    registry.Counter("relay_unavailable_total"),
		abandoned:      registry.Counter("relay_abandoned_total"),
		outcomeUnknown: registry.Counter("relay_outcome_unknown_total"),
		asked:          registry.Counter("relay_asked_for_core_total"),
		askedInVain:    registry.Counter("relay_asked_for_core_in_vain_total"),
		searchesFailed: registry.Counter("relay_core_searches_failed_total"),
		announcements:  registry.Counter("relay_core_announcements_received_total"),

		watchesAbandoned: registry.Counter("relay_watches_abandoned_total"),
	}
}

// Run runs a relay until sig.Stop is closed, a listener fails, or it turns out that no
// machine of the core has a disk, which is ErrCoreDiskless.
func Run(set *settings.Settings, log *slog.Logger, sig *daemon.Signals) error {
	r := newRelay(set, log)
	var running sync.WaitGroup
	defer running.Wait()
	calls, err := api.Listen(set.BindAddr(set.Listen.Control), r.metrics)
	if err != nil {
		return err
	}
	defer calls.Close()
	// A proxy on this machine connects here to learn whether it shares the link with a
	// relay, and whoever has only relays for seeds to learn where the core is.
	internal, err := net.Listen("tcp4", set.BindAddr(r.ownAddr))
	if err != nil {
		return err
	}
	defer internal.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	server := api.NewServer(r.handle, maxRequestBody)
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
		go r.serveInternal(conn) // ends when the peer does, or is silent
	}
}

// serveInternal serves one connection of the internal protocol.
func (r *relay) serveInternal(raw net.Conn) {
	defer raw.Close()
	conn, hello, err := transport.Accept(raw, r.timeouts.silence)
	if err != nil {
		return
	}
	if hello.Role == transport.RoleAnnouncer {
		discovery.ReceiveAnnouncements(conn, r.timeouts.contact, r.learnCore, r.locator.Nodes)
		return
	}
	if hello.Role == transport.RolePeer {
		// A core node still counts on a member at this address, which had no disk or has lost it. It
		// announces the core to none of its members.
		r.locator.Suggest(hello.Addr)
	}
	r.referToCore(conn)
}

// learnCore takes an announcement of the core.
func (r *relay) learnCore(nodes []transport.ControlNode) {
	r.announcements.Inc()
	r.locator.Announce(nodes)
}

// newAnnouncer returns the announcer to those seeds that are relays too. It vouches for the core
// only while a node of it is followed.
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

// referToCore sends the addresses of the core to a process that has this relay among its
// seeds.
func (r *relay) referToCore(conn *transport.Conn) {
	nodes := r.locator.Nodes()
	r.asked.Inc()
	if len(nodes) == 0 {
		r.askedInVain.Inc()
		return
	}
	err := conn.Send(&transport.Frame{Bookmark: &transport.Bookmark{Control: nodes}})
	// The kernel resets a connection that is closed with unread bytes, and the peer
	// then loses what was sent. So the peer closes first.
	for err == nil {
		_, err = conn.Receive(r.timeouts.silence)
	}
}
