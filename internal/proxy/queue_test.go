package proxy

import (
	"testing"
	"time"
)

// TestWaitersAreServedByRank: an endpoint that becomes free goes to the smaller priority number,
// then to the client that asked less often.
func TestWaitersAreServedByRank(t *testing.T) {
	e := newStubEndpoint(t, func(int, string) string { return okResponse("x") })
	p, _ := startProxy(t, e)
	s := p.services["s"]
	s.pool.SetMaxConnections(1) // one request at a time
	busy, _ := s.acquireEndpoint(p, queueRank{}, queueWait{}, nil)
	if busy == nil {
		t.Fatal("no free place at the start")
	}
	var press queueRank
	for range 12 {
		press = s.recordArrival("noisy", 1)
	}
	calm := s.recordArrival("calm", 1)
	order := make(chan string, 3)
	enter := func(name string, r queueRank, queued int) {
		go func() {
			got, _ := s.acquireEndpoint(p, r, queueWait{limit: 20 * time.Second, client: &clientWatch{}}, nil)
			order <- name
			s.releaseEndpoint(p, got, true, 0)
		}()
		for { // until it stands in the queue
			s.mu.Lock()
			n := len(s.queue.waiters)
			s.mu.Unlock()
			if n == queued {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	enter("noisy", press, 1)
	enter("calm", calm, 2)
	enter("urgent", queueRank{priority: 0}, 3)
	s.releaseEndpoint(p, busy, true, 0)
	for _, want := range []string{"urgent", "calm", "noisy"} {
		if got := <-order; got != want {
			t.Errorf("%s went where %s should", got, want)
		}
	}
}
