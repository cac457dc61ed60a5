package controlplane

import "testing"

func TestWakeups(t *testing.T) {
	var w wakeups
	first, unsubscribeFirst := w.subscribe()
	second, unsubscribeSecond := w.subscribe()
	w.wakeAll()
	w.wakeAll() // merged with the pending wake-up
	unsubscribeSecond()
	w.wakeAll()
	for name, woken := range map[string]chan struct{}{"first": first, "second": second} {
		select {
		case <-woken:
		default:
			t.Errorf("%s waiter was not woken", name)
		}
	}
	w.wakeAll()
	if len(first) != 1 || len(second) != 0 {
		t.Errorf("pending wake-ups after the second subscription ended = %d and %d, want 1 and 0", len(first), len(second))
	}
	unsubscribeFirst()
	if len(w.waiters) != 0 {
		t.Errorf("%d waiters are left, want 0", len(w.waiters))
	}
}
