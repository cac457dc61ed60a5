package controlplane

import "sync"

// wakeups is a set of goroutines that wait for a change. A wake-up is not lost: it stays pending
// until the waiter receives it.
type wakeups struct {
	mu      sync.Mutex
	waiters map[chan struct{}]struct{}
}

// subscribe returns a channel that receives a value after each wakeAll, and a function that ends
// the subscription. Wake-ups that are not received yet are merged into one.
func (w *wakeups) subscribe() (woken chan struct{}, unsubscribe func()) {
	woken = make(chan struct{}, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiters == nil {
		w.waiters = map[chan struct{}]struct{}{}
	}
	w.waiters[woken] = struct{}{}
	return woken, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.waiters, woken)
	}
}

func (w *wakeups) wakeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for waiter := range w.waiters {
		wakeUp(waiter)
	}
}

// wakeUp signals a channel of capacity one without blocking.
func wakeUp(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
