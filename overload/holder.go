package overload

import "time"

// State is what a connection is used for at the moment.
type State uint8

const (
	// Idle is a connection without a complete head of a request.
	Idle State = iota
	// Receiving is a connection whose request has a body that is not complete.
	Receiving
	// Waiting is a connection whose caller waits for an event, and loses nothing if it has to ask
	// again.
	Waiting
	// Processing is a connection with a request that may have been passed on. It is never evicted.
	Processing
	// Responding is a connection whose client is being sent a response.
	Responding
)

// Holder is one connection, for which the process keeps bytes. Its fields belong to the Account.
type Holder struct {
	listener Listener
	state    State
	// since is when state began, or when bytes last changed in it.
	since time.Duration
	// base is the number of bytes that are kept as long as the connection is open, and bytes the
	// number of all bytes that are kept.
	base, bytes int64
	// byteSeconds is the integral of bytes over the time in this state, up to since.
	byteSeconds float64
	isEvicted   bool
	isClosed    bool
}

// IsEvicted reports whether the connection was chosen to give way.
func (h *Holder) IsEvicted() bool { return h.isEvicted }

// Bytes returns the number of bytes that are kept for the connection.
func (h *Holder) Bytes() int64 { return h.bytes }

// State returns what the connection is used for.
func (h *Holder) State() State { return h.state }

// cost returns how much the process has kept for the connection in its present state, in
// byte-seconds.
func (h *Holder) cost(now time.Duration) float64 {
	return h.byteSeconds + float64(h.bytes)*(now-h.since).Seconds()
}

// isEvictable reports whether the connection may be chosen to give way.
func (h *Holder) isEvictable() bool { return !h.isEvicted && h.state != Processing }

// setBytes changes the number of bytes that are kept.
func (h *Holder) setBytes(now time.Duration, bytes int64) {
	h.byteSeconds = h.cost(now)
	h.since = now
	h.bytes = bytes
}

// setState begins a new state.
func (h *Holder) setState(now time.Duration, state State) {
	h.state = state
	h.since = now
	h.byteSeconds = 0
}
