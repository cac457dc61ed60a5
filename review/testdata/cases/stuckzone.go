package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// emptyFor is how long the operator evacuates each zone.
	emptyFor = 6 * time.Second
	// pauseAfterReturn lets a zone return before the next one is evacuated.
	pauseAfterReturn = 5 * time.Second
)

func init() { plays["stuckzone"] = playStuckZone }

// playStuckZone: one operator evacuates three zones one after the other and takes each back. The first answer
// to each evacuations.begin is lost, so that the order is sent again. All orders are acknowledged. A closing
// fault strikes right after the last acknowledgement: a kill of all processes, which come back on their disks.
// Requests must be served again (RECOVER).
func playStuckZone(r *run) bool {
	zones := []string{"z1", "z2", "z3"}
	r.fleet = newFleet(deployment{bounds: boundsPlaces, entryType: "virtual_ip", zones: zones})
	f := r.fleet
	f.startAll(placesConfiguration, true)
	var mu sync.Mutex
	runs := map[string]int{} // by zone, since the last note
	onRun := func(e *endpoint, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		runs[e.zone]++
	}
	for i := range 6 {
		f.startEndpoint(i%3, fmt.Sprintf("i-%d", i), "katalog", 4, nil, onRun)
	}
	time.Sleep(placesContact + time.Second)
	served := &serviceRecord{}
	ended := make(chan struct{})
	var clients sync.WaitGroup
	for machine := range f.zones {
		clients.Go(func() { served.ask(f, machine, ended) })
	}
	time.Sleep(time.Second)

	leader := f.leader()
	if leader < 0 {
		panic(impossible("no node leads"))
	}
	node, other := f.controlAddr(leader), f.controlAddr((leader+1)%len(zones))
	for i, zone := range zones {
		path := node
		if r.isTrouble {
			path = answerLosingPath(r, fmt.Sprintf("%s.20%d", f.network, i), node)
		}
		f.orderZone(r, "the operator", "evacuations.begin", zone, path, other)
		time.Sleep(emptyFor)
		f.orderZone(r, "the operator", "evacuations.finish", zone, node, other)
		if i < len(zones)-1 {
			time.Sleep(pauseAfterReturn)
		}
		mu.Lock()
		r.note("requests run by zone so far: %v", runs)
		mu.Unlock()
	}
	f.killAllAtOnce()
	struck := time.Now()
	r.note("right after the acknowledgement a kill strikes all processes")
	time.Sleep(downFor)
	for machine := range f.zones {
		f.startProgram("lichentray-controlplane", machine)
		f.startProgram("lichentray-proxy", machine)
	}
	returned := time.Now()
	r.note("all processes are started again, on their disks")
	time.Sleep(placesRecovery)
	mu.Lock()
	clear(runs)
	mu.Unlock()
	time.Sleep(judgedFor)
	close(ended)
	clients.Wait()

	mu.Lock()
	r.note("requests run by zone, recovery_s and more after the return: %v", runs)
	mu.Unlock()
	before, after := served.share(r, time.Time{}, struck, "before the kill"), served.share(r, returned.Add(placesRecovery), time.Now(), "sent recovery_s and more after the return")
	return before >= 0.25 && after < 0.25
}

// serviceRecord is what clients were answered, and when they had asked.
type serviceRecord struct {
	mu       sync.Mutex
	requests []servedRequest
}

type servedRequest struct {
	sent   time.Time
	status int
}

// ask sends requests to a proxy until it is told to end.
func (s *serviceRecord) ask(f *fleet, machine int, ended <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		request := request{method: http.MethodGet, host: "herbar.example", path: "/lookup/1", id: fmt.Sprintf("m%d-%d", machine, i), deadline: 6 * time.Second}
		sent, a := time.Now(), answer{}
		if conn, err := connect(f.frontendAddr(machine)); err == nil {
			a = conn.send(request)
			conn.close()
		}
		s.mu.Lock()
		s.requests = append(s.requests, servedRequest{sent, a.status})
		s.mu.Unlock()
	}
}

// share returns the part of the requests sent in a span that was served.
func (s *serviceRecord) share(r *run, from, to time.Time, when string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, statuses := 0, map[int]int{}
	for _, q := range s.requests {
		if !q.sent.Before(from) && q.sent.Before(to) {
			sent++
			statuses[q.status]++
		}
	}
	r.note("%s: %d requests, answers by status (0: none) %v", when, sent, statuses)
	return float64(statuses[http.StatusOK]) / float64(max(1, sent))
}
