package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// signatureRequests is how many requests are sent.
	signatureRequests = 300
	// signatureEndpoints is how many endpoints there are. One is ill: the sites have a share of 0.14
	// to 0.16 of the endpoints.
	signatureEndpoints = 7
	// failingShare is the part of its requests that the ill endpoint fails, one in so many. The
	// sites have up to 0.5.
	failingShare = 3
)

func init() { plays["signature"] = playSignature }

// playSignature: an endpoint runs requests that may run once, and fails some of them with a 503 of its
// own. A failure that bears its signature must bear its status (MIXED).
func playSignature(r *run) bool {
	r.fleet = newFleet(deployment{bounds: boundsWorld, entryType: "directory", kind: "world", zones: []string{"z1", "z2", "z3"}})
	f := r.fleet
	f.startAll(worldConfiguration, true)
	var mu sync.Mutex
	statuses := map[string]int{}
	requests, failed := 0, 0
	for i := range signatureEndpoints {
		isIll := r.isTrouble && i == 0
		f.startEndpoint(i%len(f.zones), fmt.Sprintf("i-%d", i), "leihbuch", 6, func(q *http.Request) int {
			mu.Lock()
			defer mu.Unlock()
			status := http.StatusOK
			if isIll {
				if requests++; requests%failingShare == 0 {
					status = http.StatusServiceUnavailable
					failed++
				}
			}
			statuses[q.Header.Get("X-Attempt-Id")] = status
			return status
		}, func(*endpoint, *http.Request) {})
	}
	time.Sleep(worldContact + time.Second)
	wrong := 0
	for i := range signatureRequests {
		id := fmt.Sprintf("a%d", i)
		conn, err := connect(f.frontendAddr(i % len(f.zones)))
		must(err)
		a := conn.send(request{method: http.MethodPost, host: "herbar.example", path: "/ausleihe/1", id: id, deadline: 8 * time.Second})
		conn.close()
		mu.Lock()
		given, hasRun := statuses[id]
		mu.Unlock()
		r.detail("%s: the endpoint ran it: %v, its status %d; the client got %v", id, hasRun, given, a)
		if a.err == nil && a.signature != "" && a.status != given {
			wrong++
			r.note("%s: the client got %d with the signature %q, the endpoint had answered %d", id, a.status, a.signature, given)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	r.note("%d requests, of which the ill endpoint ran %d and failed %d; %d answers with a signature and another status than the endpoint's", signatureRequests, requests, failed, wrong)
	return wrong > 0
}
