package api

import (
	"errors"
	"net"
	"runtime/debug"
	runtimemetrics "runtime/metrics"
	"sync"
	"time"

	"lichentray/internal/metrics"
	"lichentray/overload"
)

const (
	// reservationTimeout is how long a reservation waits until evicted connections are closed and
	// requests in process have ended.
	reservationTimeout = 500 * time.Millisecond
	// writeStallTimeout is how long a client may read nothing of a response. It is longer than a
	// client on a slow link takes for maxWriteChunkBytes.
	writeStallTimeout = 30 * time.Second
)

const (
	// liveHeapMetric is the size of the objects that the last garbage collection found in use.
	liveHeapMetric = "/gc/heap/live:bytes"
	// measurementInterval is the shortest time between two measurements of the heap.
	measurementInterval = time.Second
	// measuredShareDivisor is the part of the limit that clients have to hold for a measurement.
	measuredShareDivisor = 4
)

// The reasons in the metric client_connections_evicted_total.
const (
	reasonMemory      = "memory"
	reasonConnections = "connections"
)

// errReservationRejected means that a connection cannot get the memory that it asks for.
var errReservationRejected = errors.New("api: too much memory is held for clients")

// Guard bounds what clients make a process hold, over all of its listeners: the connections of each
// and the bytes that are kept for them. The decisions are those of overload.Account. A Guard is
// safe for concurrent use.
type Guard struct {
	limits    overload.Limits
	startedAt time.Time

	mu      sync.Mutex
	account *overload.Account
	conns   map[*overload.Holder]*Conn
	// released is closed, and replaced, when bytes are released.
	released chan struct{}
	// hasWaiters is set while reservations wait for released.
	hasWaiters bool

	// heap reads the size of the live heap; measuredAt is when it was last read.
	heap       []runtimemetrics.Sample
	measuredAt time.Duration

	registry *metrics.Registry
	limit    *metrics.Counter // gauge, bytes
	reserved *metrics.Counter // gauge, bytes
	rejected *metrics.Counter
}

// NewGuard returns a guard with the given limits. Its metrics are client_bytes_reserved and
// client_bytes_limit, client_connections by listener, client_connections_evicted_total by listener
// and reason, and client_reservations_rejected_total.
func NewGuard(limits overload.Limits, registry *metrics.Registry) *Guard {
	g := &Guard{
		limits:    limits,
		startedAt: time.Now(),
		account:   overload.NewAccount(limits),
		conns:     map[*overload.Holder]*Conn{},
		released:  make(chan struct{}),
		heap:      []runtimemetrics.Sample{{Name: liveHeapMetric}},
		registry:  registry,
		limit:     registry.Counter("client_bytes_limit"),
		reserved:  registry.Counter("client_bytes_reserved"),
		rejected:  registry.Counter("client_reservations_rejected_total"),
	}
	g.limit.Set(limits.Bytes)
	return g
}

// updateLimit adapts the limit to the state that the process holds. It does nothing while clients
// hold little, or shortly after it was called. The caller must hold g.mu.
func (g *Guard) updateLimit(now time.Duration) {
	reserved := g.account.Reserved()
	if now-g.measuredAt < measurementInterval || reserved < g.limits.Bytes/measuredShareDivisor {
		return
	}
	g.measuredAt = now
	runtimemetrics.Read(g.heap)
	if g.heap[0].Value.Kind() != runtimemetrics.KindUint64 {
		return // unknown to this version of Go
	}
	state := int64(g.heap[0].Value.Uint64()) - reserved
	limit := overload.ClientBytes(g.limits.Bytes, debug.SetMemoryLimit(-1), state)
	g.account.SetLimit(limit)
	g.limit.Set(limit)
}

// ListenerConfig describes one listener of a Guard.
type ListenerConfig struct {
	// Name selects the limit of connections, and is a label in metrics.
	Name overload.Listener
	// ConnectionBytes is the memory that an idle connection takes, in bytes.
	ConnectionBytes int64
	// BoundsWrites is set if a client that reads nothing for writeStallTimeout is disconnected.
	BoundsWrites bool
}

// internalConnectionBytes is the memory that a connection of the internal port takes: its buffers and
// the state of its encoder and decoder.
const internalConnectionBytes = 24 << 10

// InternalListener is the configuration of the listener of the internal port. Its connections are
// Idle until their hello was read.
var InternalListener = ListenerConfig{Name: overload.Internal, ConnectionBytes: internalConnectionBytes}

// Listen opens a TCP listener on address (IP:port) like the function Listen. Its connections are
// of type *Conn.
func (g *Guard) Listen(address string, config ListenerConfig) (net.Listener, error) {
	listener, err := Listen(address, g.registry)
	if err != nil {
		return nil, err
	}
	return &guardedListener{
		Listener:    listener,
		guard:       g,
		config:      config,
		connections: g.registry.Counter("client_connections", "listener", string(config.Name)),
		evictions: map[string]*metrics.Counter{
			reasonMemory:      g.registry.Counter("client_connections_evicted_total", "listener", string(config.Name), "reason", reasonMemory),
			reasonConnections: g.registry.Counter("client_connections_evicted_total", "listener", string(config.Name), "reason", reasonConnections),
		},
	}, nil
}

// guardedListener is a listener of a Guard.
type guardedListener struct {
	net.Listener
	guard       *Guard
	config      ListenerConfig
	connections *metrics.Counter // gauge
	evictions   map[string]*metrics.Counter
}

// Accept waits for the next connection. If the listener has too many, it closes the one that the
// account chooses.
func (l *guardedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.guard.open(raw, l), nil
}

// now returns the time for the account.
func (g *Guard) now() time.Duration { return time.Since(g.startedAt) }

// open adds a connection.
func (g *Guard) open(raw net.Conn, listener *guardedListener) *Conn {
	c := &Conn{Conn: raw, guard: g, listener: listener}
	g.mu.Lock()
	g.updateLimit(g.now())
	holder, evicted := g.account.Open(g.now(), listener.config.Name, listener.config.ConnectionBytes)
	c.holder = holder
	g.conns[holder] = c
	victims := g.evicted(evicted)
	g.update(listener)
	g.mu.Unlock()
	for i := range victims {
		victims[i].isReceiving = false // closes it, as its descriptor is needed
	}
	disconnect(victims, reasonConnections)
	return c
}

// victim is an evicted connection.
type victim struct {
	conn *Conn
	// isReceiving is true if it was receiving a body.
	isReceiving bool
}

// evicted returns the connections of evicted holders. The caller must hold g.mu.
func (g *Guard) evicted(holders []*overload.Holder) []victim {
	var victims []victim
	for _, h := range holders {
		victims = append(victims, victim{g.conns[h], h.State() == overload.Receiving})
	}
	return victims
}

// update sets the gauges. The caller must hold g.mu.
func (g *Guard) update(listener *guardedListener) {
	g.reserved.Set(g.account.Reserved())
	listener.connections.Set(int64(g.account.Connections(listener.config.Name)))
}

// disconnect ends evicted connections.
func disconnect(victims []victim, reason string) {
	for _, v := range victims {
		v.conn.listener.evictions[reason].Inc()
		v.conn.disconnect(v.isReceiving)
	}
}

// notify wakes the reservations that wait. The caller must hold g.mu.
func (g *Guard) notify() {
	if !g.hasWaiters {
		return
	}
	close(g.released)
	g.released = make(chan struct{})
	g.hasWaiters = false
}

// reserve reserves bytes for a connection, and waits for them for at most reservationTimeout.
func (g *Guard) reserve(c *Conn, n int64) error {
	var timeout <-chan time.Time
	for {
		g.mu.Lock()
		g.updateLimit(g.now())
		isReserved, isRejected, evicted := g.account.Reserve(g.now(), c.holder, n)
		victims := g.evicted(evicted)
		released := g.released
		g.hasWaiters = g.hasWaiters || !isReserved && !isRejected
		g.reserved.Set(g.account.Reserved())
		g.mu.Unlock()
		disconnect(victims, reasonMemory)
		if isReserved {
			return nil
		}
		if isRejected {
			g.rejected.Inc()
			return errReservationRejected
		}
		if timeout == nil {
			timer := time.NewTimer(reservationTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-released:
		case <-timeout:
			g.rejected.Inc()
			return errReservationRejected
		}
	}
}

// everFits reports whether n more bytes fit for a connection once nothing is reserved for others.
func (g *Guard) everFits(c *Conn, n int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.holder.Bytes()+n <= g.limits.Reservable()
}

// force reserves bytes that exist already.
func (g *Guard) force(c *Conn, n int64) {
	g.disconnectFor(func(now time.Duration) []*overload.Holder { return g.account.Force(now, c.holder, n) })
}

// setBase changes what is kept for an idle connection.
func (g *Guard) setBase(c *Conn, bytes int64) {
	g.disconnectFor(func(now time.Duration) []*overload.Holder { return g.account.SetBase(now, c.holder, bytes) })
}

// disconnectFor makes a change to the account and ends the connections that it evicts.
func (g *Guard) disconnectFor(change func(now time.Duration) (evicted []*overload.Holder)) {
	g.mu.Lock()
	victims := g.evicted(change(g.now()))
	g.reserved.Set(g.account.Reserved())
	g.mu.Unlock()
	disconnect(victims, reasonMemory)
}

// release releases bytes of a connection.
func (g *Guard) release(c *Conn, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Release(g.now(), c.holder, n)
	g.reserved.Set(g.account.Reserved())
	g.notify()
}

// setState sets what a connection is used for. It returns false if the connection was evicted.
func (g *Guard) setState(c *Conn, state overload.State) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.account.Reserved()
	ok := g.account.SetState(g.now(), c.holder, state)
	if after := g.account.Reserved(); after < before {
		g.reserved.Set(after)
		g.notify()
	}
	return ok
}

// close removes a connection.
func (g *Guard) close(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Close(c.holder)
	delete(g.conns, c.holder)
	g.update(c.listener)
	g.notify()
}
