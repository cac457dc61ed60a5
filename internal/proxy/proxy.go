package proxy

import (
	"context"
	"log/slog"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lichentray/internal/discovery"
	"lichentray/internal/metrics"
	"lichentray/internal/settings"
	"lichentray/internal/transport"
	"lichentray/loadbalance"
	"lichentray/watchcache"
)

// proxiesPerZoneToYield is the number of proxies per zone from which the others can carry
// the traffic of one.
const proxiesPerZoneToYield = 10

// Proxy is a running proxy node.
type Proxy struct {
	settings  *settings.Settings
	timeouts  timeouts
	log       *slog.Logger
	metrics   *metrics.Registry
	counters  counters
	startedAt time.Time
	// random draws from [0, 1) where requests are split. It is safe for concurrent use.
	random       func() float64
	controlNodes *discovery.Locator
	pacer        *pacer
	departures   *disconnectWatcher
	// audit is nil if the settings ask for no audit log.
	audit *auditRecorder

	// snapshot has the routes in force; nil until there is a configuration.
	snapshot atomic.Pointer[routingSnapshot]
	// firstConfig is closed once there is a first configuration.
	firstConfig chan struct{}
	isDraining  atomic.Bool
	// proxyCount is how many proxy nodes there are; 0 while that is not known.
	proxyCount atomic.Int64
	// lastBookmarkAt is when the last bookmark came from a control-plane node that is up
	// to date, as a time.Duration of the clock of Proxy.now.
	lastBookmarkAt atomic.Int64
	// sharesLinkWithRelay: a relay of the control plane runs on this machine.
	sharesLinkWithRelay atomic.Bool
	// controlConn is the connection to the control-plane node that is followed; nil if
	// there is none.
	controlConn atomic.Pointer[transport.Conn]
	// openers are the goroutines that open streams of control-plane nodes, also those of
	// cancelled searches.
	openers sync.WaitGroup

	// regionIndex gives each region a dense index; ownRegion is this node's.
	regionIndex map[string]int
	ownRegion   int

	// The goroutine of ListAndWatch owns the following.

	// mirror is this node's copy of the watched objects of the registry.
	mirror   *watchcache.Mirror
	services map[string]*service
	// zoneStates has the zones that are not active.
	zoneStates map[string]loadbalance.ZoneState
	// reportSentAt has when the latest reports were sent, by their sequence numbers.
	reportSentAt map[uint64]time.Duration
	reportSeq    uint64
	// hasMovedNearer: a nearer control-plane node was sought once.
	hasMovedNearer bool
}

// New returns a proxy node without a configuration. It starts no goroutine: the caller runs
// ListAndWatch and DetectRelay, and a Frontend.
func New(set *settings.Settings, log *slog.Logger, registry *metrics.Registry) *Proxy {
	p := &Proxy{
		settings:     set,
		timeouts:     deriveTimeouts(set),
		log:          log,
		metrics:      registry,
		counters:     newCounters(registry),
		startedAt:    time.Now(),
		random:       rand.Float64,
		controlNodes: discovery.NewLocator(set),
		pacer:        newPacer(set.Limits.BandwidthMbps),
		departures:   newDisconnectWatcher(registry),
		audit:        newAuditRecorder(set, registry),
		firstConfig:  make(chan struct{}),
		regionIndex:  indexRegions(set.RegionByZone),
		mirror:       watchcache.NewMirror(),
		services:     map[string]*service{},
		zoneStates:   map[string]loadbalance.ZoneState{},
		reportSentAt: map[uint64]time.Duration{},
		// A later incarnation of this node begins above the sequences of an earlier one.
		reportSeq: uint64(time.Now().UnixMilli()),
	}
	p.ownRegion = p.regionIndexOf(set.Zone)
	return p
}

// indexRegions gives each region a dense index.
func indexRegions(regionByZone map[string]string) map[string]int {
	index := map[string]int{}
	for _, region := range regionByZone {
		if _, ok := index[region]; !ok {
			index[region] = len(index)
		}
	}
	return index
}

// regionIndexOf returns the index of a zone's region; -1 if it is not known.
func (p *Proxy) regionIndexOf(zone string) int {
	if i, ok := p.regionIndex[p.settings.RegionByZone[zone]]; ok {
		return i
	}
	return -1
}

// SetSeeds sets the seed addresses, as from a settings file that has changed. It is safe
// for concurrent use.
func (p *Proxy) SetSeeds(seeds []string) {
	p.controlNodes.SetSeeds(seeds)
	p.log.Info("settings reloaded", "seeds", seeds)
}

// now is the monotonic time since the start of the node.
func (p *Proxy) now() time.Duration { return time.Since(p.startedAt) }

// Ready reports whether this node wants new connections. It is safe for concurrent use.
func (p *Proxy) Ready() bool {
	return !p.isDraining.Load() &&
		p.snapshot.Load() != nil &&
		!p.yieldsToPeers() &&
		p.audit.isReady()
}

// yieldsToPeers reports whether this node leaves the clients to other proxies: it shares
// its machine's link with a relay of the control plane, whose calls are small and urgent,
// and the zones have so many proxies that the
// others can carry its traffic.
func (p *Proxy) yieldsToPeers() bool {
	enough := proxiesPerZoneToYield * max(1, len(p.settings.RegionByZone))
	return p.sharesLinkWithRelay.Load() && int(p.proxyCount.Load()) >= enough
}

// DetectRelay notices whether a relay runs on this machine, until the context ends.
// Relays run on machines that hold no disk of the core; they accept connections at the
// internal port as a core node would.
func (p *Proxy) DetectRelay(ctx context.Context) {
	if p.settings.QuorumMember || p.settings.EntryType == settings.EntryTypeDirectory {
		return
	}
	for {
		conn, err := net.DialTimeout("tcp4", p.settings.InternalAddr(p.settings.IPAddress), p.timeouts.dial)
		if err == nil {
			conn.Close()
		}
		p.sharesLinkWithRelay.Store(err == nil)
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.settings.Bounds.ContactWindow.Duration()):
		}
	}
}
