package overload

import "time"

// Account holds the connections of a process and the bytes that are kept for them.
type Account struct {
	limits  Limits
	holders map[*Holder]struct{}
	// connections counts the open connections by listener, without the evicted ones.
	connections map[Listener]int
	// reserved is the sum of all bytes that are kept; reclaiming is the part of it that belongs to
	// evicted connections, which are about to release it.
	reserved, reclaiming int64
}

// NewAccount returns an account without connections.
func NewAccount(limits Limits) *Account {
	return &Account{limits: limits, holders: map[*Holder]struct{}{}, connections: map[Listener]int{}}
}

// Reserved returns the number of bytes that are kept.
func (a *Account) Reserved() int64 { return a.reserved }

// Limit returns the number of bytes that may be kept.
func (a *Account) Limit() int64 { return a.limits.Bytes }

// SetLimit changes the number of bytes that may be kept. Connections are evicted for a lower limit
// when the next one is opened or bytes are reserved.
func (a *Account) SetLimit(bytes int64) { a.limits.Bytes = bytes }

// Connections returns the number of open connections of a listener.
func (a *Account) Connections(listener Listener) int { return a.connections[listener] }

// Open adds a connection, for which base bytes are kept as long as it is open. It returns the
// connections to evict for it. The new connection itself is evicted if there is no other.
func (a *Account) Open(now time.Duration, listener Listener, base int64) (*Holder, []*Holder) {
	h := &Holder{listener: listener, since: now, base: base, bytes: base}
	a.holders[h] = struct{}{}
	a.connections[listener]++
	a.reserved += base
	var evicted []*Holder
	if limit, ok := a.limits.Connections[listener]; ok && a.connections[listener] > limit {
		victim := a.costliest(now, func(other *Holder) bool { return other != h && other.listener == listener })
		if victim == nil {
			victim = h
		}
		evicted = append(evicted, a.evict(victim))
	}
	return h, append(evicted, a.makeRoom(now, h)...)
}

// Reserve reserves n more bytes for a connection if they fit (Limits.Reservable). If not, it returns the
// connections to evict; the caller tries again when one of them was closed. isRejected means that
// the connection itself gives way.
func (a *Account) Reserve(now time.Duration, h *Holder, n int64) (isReserved, isRejected bool, evicted []*Holder) {
	switch {
	case h.isClosed || h.isEvicted || h.bytes+n > a.limits.Reservable():
		return false, true, nil
	case a.reserved+n <= a.limits.Reservable():
		a.reserved += n
		h.setBytes(now, h.bytes+n)
		return true, false, nil
	}
	for a.reserved-a.reclaiming+n > a.limits.Reservable() {
		victim := a.costliest(now, func(other *Holder) bool { return other != h && !other.listener.isProtected() })
		if victim == nil {
			break // requests in process will release bytes
		}
		if h.isEvictable() && h.cost(now) > victim.cost(now) {
			a.evict(h)
			return false, true, evicted
		}
		evicted = append(evicted, a.evict(victim))
	}
	return false, false, evicted
}

// Force reserves n more bytes for a connection even if they do not fit, and returns the connections
// to evict for them. It is for bytes that exist already.
func (a *Account) Force(now time.Duration, h *Holder, n int64) []*Holder {
	if h.isClosed {
		return nil
	}
	a.reserved += n
	if h.isEvicted {
		a.reclaiming += n
	}
	h.setBytes(now, h.bytes+n)
	return a.makeRoom(now, h)
}

// Release releases n bytes of a connection.
func (a *Account) Release(now time.Duration, h *Holder, n int64) {
	if h.isClosed {
		return
	}
	a.subtract(h, n)
	h.setBytes(now, h.bytes-n)
}

// SetBase changes the number of bytes that are kept as long as a connection is open.
func (a *Account) SetBase(now time.Duration, h *Holder, base int64) []*Holder {
	added := base - h.base
	h.base = base
	return a.Force(now, h, added)
}

// SetState sets what a connection is used for. It returns false if the connection was evicted, and
// then its request must not be passed on. Only the base bytes are kept in the state Idle.
func (a *Account) SetState(now time.Duration, h *Holder, state State) bool {
	if h.isClosed || h.isEvicted {
		return false
	}
	if state == Idle {
		a.Release(now, h, h.bytes-h.base)
	}
	h.setState(now, state)
	return true
}

// Close removes a connection and releases its bytes.
func (a *Account) Close(h *Holder) {
	if h.isClosed {
		return
	}
	a.subtract(h, h.bytes)
	h.isClosed = true
	delete(a.holders, h)
	if !h.isEvicted {
		a.connections[h.listener]--
	}
}

// subtract subtracts n bytes of a connection from the sums.
func (a *Account) subtract(h *Holder, n int64) {
	a.reserved -= n
	if h.isEvicted {
		a.reclaiming -= n
	}
}

// makeRoom evicts connections until the rest fits, and h last.
func (a *Account) makeRoom(now time.Duration, h *Holder) (evicted []*Holder) {
	for a.reserved-a.reclaiming > a.limits.Bytes {
		victim := a.costliest(now, func(other *Holder) bool { return other != h && !other.listener.isProtected() })
		if victim == nil && h.isEvictable() && !h.listener.isProtected() {
			victim = h
		}
		if victim == nil {
			return evicted
		}
		evicted = append(evicted, a.evict(victim))
	}
	return evicted
}

// evict marks a connection as one that gives way.
func (a *Account) evict(h *Holder) *Holder {
	h.isEvicted = true
	a.reclaiming += h.bytes
	a.connections[h.listener]--
	return h
}

// costliest returns the evictable connection with the highest cost among those for which matches
// returns true, or nil if there is none.
func (a *Account) costliest(now time.Duration, matches func(*Holder) bool) (victim *Holder) {
	highest := 0.0
	for h := range a.holders {
		if !h.isEvictable() || !matches(h) {
			continue
		}
		if cost := h.cost(now); victim == nil || cost > highest {
			victim, highest = h, cost
		}
	}
	return victim
}
