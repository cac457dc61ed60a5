package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { plays["status"] = playStatus }

// playStatus has one endpoint of eight fail a part of the requests that it runs, with 503 and
// its signature, while its health answer is good.
func playStatus(r *run) bool {
	r.fleet = newFleet(deployment{bounds: boundsWorld, entryType: "directory", kind: "world", zones: []string{"scanhalle", "kellerraum", "dachstock"}})
	f := r.fleet
	f.startAll(worldConfiguration, true)
	var mu sync.Mutex
	gave := map[string]int{}
	runs := 0
	work := func(isGrey bool) func(*http.Request) int {
		return func(q *http.Request) int {
			time.Sleep(20 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			status := http.StatusOK
			if isGrey {
				if runs++; runs%20 < 9 { // 0.45 of them
					status = http.StatusServiceUnavailable
				}
			}
			gave[q.Header.Get("X-Attempt-Id")] = status
			return status
		}
	}
	for i := range 8 {
		f.startEndpoint(i%len(f.zones), fmt.Sprintf("i-%d", i), "leihbuch", 6, work(r.isTrouble && i == 0), func(*endpoint, *http.Request) {})
	}
	time.Sleep(7 * time.Second) // longer than contact_s
	wrong, failed := 0, 0
	for n := range 400 {
		c, err := connect(f.frontendAddr(n % len(f.zones)))
		must(err)
		id := fmt.Sprintf("c%d", n)
		a := c.send(request{method: "POST", host: "herbar.example", path: "/ausleihe/x", id: id, deadline: 8 * time.Second})
		c.close()
		mu.Lock()
		status := gave[id]
		mu.Unlock()
		if status >= 400 {
			failed++
			r.detail("%s: the endpoint ran it and gave %d, the client got %v", id, status, a)
		}
		if a.err == nil && a.signature != "" && a.status >= 400 && a.status != status {
			wrong++
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.note("400 requests, %d failed by the endpoint; failures that bear its signature and another status than it gave: %d", failed, wrong)
	return wrong > 0
}
