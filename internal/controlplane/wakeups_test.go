package controlplane

import "testing"

func TestWakeups(t *testing.T) {
	var w wakeups
	first, leaveFirst := w.subscribe()
	second, leaveSecond := w.subscribe()
	w.wakeAll()
	w.wakeAll() // a waiter that has not looked yet is woken once
	leaveSecond()
	w.wakeAll()
	for name, woken := range map[string]chan struct{}{"first": first, "second": second} {
		select {
		case <-woken:
		default:
			t.Errorf("the %s waiter was not woken", name)
		}
	}
	w.wakeAll()
	if len(first) != 1 || len(second) != 0 {
		t.Errorf("signals after the end of the second subscription: %d and %d", len(first), len(second))
	}
	leaveFirst()
	if len(w.waiters) != 0 {
		t.Errorf("%d waiters are left", len(w.waiters))
	}
}
