package proxy

import (
	"testing"
	"time"
)

// TestWaitersAreServedByRank checks that an endpoint that becomes available is given to the waiting
// request with the smallest priority number, then to that of the client with fewer requests.
func TestWaitersAreServedByRank(t *testing.T) {
	e := newStubEndpoint(t, func(int, string) string { return okResponse("x") })
	p, _ := startProxy(t, e)
	s := p.services["s"]
	s.pool.SetMaxConnections(1) // one request at a time
	busy, _ := s.acquireEndpoint(p, queueRank{}, queueWait{}, nil)
	if busy == nil {
		t.Fatal("no endpoint is available at the start")
	}
	var frequent queueRank
	for range 12 {
		frequent = s.recordArrival("frequent", 1)
	}
	rare := s.recordArrival("rare", 1)
	order := make(chan string, 3)
	enqueue := func(name string, r queueRank, queued int) {
		go func() {
			got, _ := s.acquireEndpoint(p, r, queueWait{limit: 20 * time.Second, client: &clientWatch{}}, nil)
			order <- name
			s.releaseEndpoint(p, got, true, 0)
		}()
		for { // until it is queued
			s.mu.Lock()
			n := len(s.queue.waiters)
			s.mu.Unlock()
			if n == queued {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	enqueue("frequent", frequent, 1)
	enqueue("rare", rare, 2)
	enqueue("urgent", queueRank{priority: 0}, 3)
	s.releaseEndpoint(p, busy, true, 0)
	for _, want := range []string{"urgent", "rare", "frequent"} {
		if got := <-order; got != want {
			t.Errorf("next request served = %s, want %s", got, want)
		}
	}
}
