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

// minProxiesPerZoneToYield is the average number of proxies per zone from which the others can
// take over the traffic of one.
const minProxiesPerZoneToYield = 10

// Proxy is a running proxy node.
type Proxy struct {
	settings  *settings.Settings
	timeouts  timeouts
	log       *slog.Logger
	metrics   *metrics.Registry
	counters  counters
	startedAt time.Time
	// random returns a number in [0, 1) to split traffic by. It is safe for concurrent use.
	random            func() float64
	controlNodes      *discovery.Locator
	pacer             *pacer
	disconnectWatcher *disconnectWatcher
	// audit is nil if the settings do not enable the audit log.
	audit *auditRecorder

	// snapshot is the current routing snapshot; nil until a configuration is applied.
	snapshot atomic.Pointer[routingSnapshot]
	// firstConfig is closed when the first configuration is applied.
	firstConfig chan struct{}
	isDraining  atomic.Bool
	// proxyCount is the number of proxy nodes; 0 while it is unknown.
	proxyCount atomic.Int64
	// lastBookmarkAt is when the last bookmark of an up-to-date control-plane node was received, as
	// a time.Duration in terms of Proxy.now.
	lastBookmarkAt atomic.Int64
	// sharesLinkWithRelay is true if a control-plane relay runs on this machine.
	sharesLinkWithRelay atomic.Bool
	// controlConn is the connection of the current stream; nil if there is none.
	controlConn atomic.Pointer[transport.Conn]
	// streamOpeners tracks the goroutines that open streams, including those of canceled searches.
	streamOpeners sync.WaitGroup

	// regionIndex maps each region to a dense index; ownRegion is the index of this node's region.
	regionIndex map[string]int
	ownRegion   int

	// The fields below are used only by the goroutine of ListAndWatch.

	// mirror is this node's copy of the watched registry objects.
	mirror   *watchcache.Mirror
	services map[string]*service
	// zoneStates holds the zones that are not active.
	zoneStates map[string]loadbalance.ZoneState
	// reportSentAt holds the times of recent reports by their sequence numbers.
	reportSentAt map[uint64]time.Duration
	reportSeq    uint64
	// hasSearchedNearer is set once a search for a nearer control-plane node was requested.
	hasSearchedNearer bool
}

// New returns a proxy node without a configuration. It starts no goroutine; the caller must run
// ListAndWatch, DetectRelay and a Frontend.
func New(set *settings.Settings, log *slog.Logger, registry *metrics.Registry) *Proxy {
	p := &Proxy{
		settings:          set,
		timeouts:          deriveTimeouts(set),
		log:               log,
		metrics:           registry,
		counters:          newCounters(registry),
		startedAt:         time.Now(),
		random:            rand.Float64,
		controlNodes:      discovery.NewLocator(set),
		pacer:             newPacer(set.Limits.BandwidthMbps),
		disconnectWatcher: newDisconnectWatcher(registry),
		audit:             newAuditRecorder(set, registry),
		firstConfig:       make(chan struct{}),
		regionIndex:       indexRegions(set.RegionByZone),
		mirror:            watchcache.NewMirror(),
		services:          map[string]*service{},
		zoneStates:        map[string]loadbalance.ZoneState{},
		reportSentAt:      map[uint64]time.Duration{},
		// Starts above the sequence numbers that this node used before a restart.
		reportSeq: uint64(time.Now().UnixMilli()),
	}
	p.ownRegion = p.regionIndexOf(set.Zone)
	return p
}

// indexRegions assigns a dense index to each region.
func indexRegions(regionByZone map[string]string) map[string]int {
	index := map[string]int{}
	for _, region := range regionByZone {
		if _, ok := index[region]; !ok {
			index[region] = len(index)
		}
	}
	return index
}

// regionIndexOf returns the index of a zone's region, or -1 if it is unknown.
func (p *Proxy) regionIndexOf(zone string) int {
	if i, ok := p.regionIndex[p.settings.RegionByZone[zone]]; ok {
		return i
	}
	return -1
}

// SetSeeds replaces the seed addresses, for example after the settings file was reloaded. It is
// safe for concurrent use.
func (p *Proxy) SetSeeds(seeds []string) {
	p.controlNodes.SetSeeds(seeds)
	p.log.Info("settings reloaded", "seeds", seeds)
}

// now returns the monotonic time since the node started.
func (p *Proxy) now() time.Duration { return time.Since(p.startedAt) }

// Ready reports whether this node should receive new connections. It is safe for concurrent use.
func (p *Proxy) Ready() bool {
	return !p.isDraining.Load() &&
		p.snapshot.Load() != nil &&
		!p.yieldsToPeers() &&
		p.audit.isReady()
}

// yieldsToPeers reports whether this node leaves new clients to other proxies. It does so if its
// machine's link is shared with a control-plane relay, whose messages are small and
// latency-sensitive, and there are enough proxies to take over its traffic.
func (p *Proxy) yieldsToPeers() bool {
	enough := minProxiesPerZoneToYield * max(1, len(p.settings.RegionByZone))
	return p.sharesLinkWithRelay.Load() && int(p.proxyCount.Load()) >= enough
}

// DetectRelay periodically checks whether a control-plane relay runs on this machine, until the
// context ends. Relays run only on machines that are no quorum members, and accept connections on
// the internal port as a core node does.
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
