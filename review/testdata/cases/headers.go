package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { plays["headers"] = playHeaders }

// playHeaders kills a proxy, which starts again at once. Clients connect as soon as it
// listens, keep their connections, and later send requests with headers that every
// configuration of the day allows. The configuration never changes.
func playHeaders(r *run) bool {
	const clientCount = 40
	r.fleet = newFleet(deployment{bounds: boundsPlaces, entryType: "virtual_ip", zones: []string{
		"scanhalle", "kellerraum", "dachstock", "scanhalle", "kellerraum", "dachstock", "scanhalle", "kellerraum", "dachstock",
	}, diskless: 6, edgeOnly: 3})
	f := r.fleet
	f.startAll(placesConfiguration, true)
	work := func(*http.Request) int {
		time.Sleep(20 * time.Millisecond)
		return http.StatusOK
	}
	for i := range 3 {
		f.startEndpoint(i, fmt.Sprintf("i-%d", i), "katalog", 64, work, func(*endpoint, *http.Request) {})
	}
	time.Sleep(4 * time.Second)
	proxy := len(f.zones) - 1 // its machine has no other process
	if r.isTrouble {
		f.kill("lichentray-proxy", proxy)
		r.note("proxy killed")
	}
	const downtime = 300 * time.Millisecond
	inTouchFrom := time.Now().Add(downtime + 3500*time.Millisecond) // contact_s after the start, and more
	if r.isTrouble {
		time.AfterFunc(downtime, func() {
			f.startProgram("lichentray-proxy", proxy)
			r.note("proxy started again")
		})
	}
	var mu sync.Mutex
	total, refused := 0, map[int]int{}
	var clients sync.WaitGroup
	for i := range clientCount {
		clients.Add(1)
		go func() {
			defer clients.Done()
			var c *clientConn
			for end := time.Now().Add(8 * time.Second); ; time.Sleep(2 * time.Millisecond) {
				var err error
				if c, err = connect(f.frontendAddr(proxy)); err == nil {
					break
				}
				if time.Now().After(end) {
					r.note("client %d cannot connect: %v", i, err)
					return
				}
			}
			r.detail("client %d connected", i)
			// Small requests for as long as the machine is not in touch, then some with more
			// header bytes; a client whose connection was closed opens another.
			for n := range 12 {
				q := request{method: "GET", host: "herbar.example", path: "/lookup/x", id: fmt.Sprintf("c%d-%d", i, n), deadline: 3 * time.Second}
				if n >= 8 {
					q.padding = 8000
				}
				isInTouch := time.Now().After(inTouchFrom)
				a := c.send(q)
				r.detail("client %d request %d, %d bytes of padding: %v", i, n, q.padding, a)
				mu.Lock()
				if total++; isInTouch && a.isOwn() && a.status/100 == 4 && a.status != 408 && a.status != 421 && a.status != 429 {
					refused[a.status]++
				}
				mu.Unlock()
				if a.err != nil || a.status == 503 || a.status/100 == 4 {
					c.close()
					var err error
					if c, err = connect(f.frontendAddr(proxy)); err != nil {
						return
					}
				}
				time.Sleep(600 * time.Millisecond)
			}
			c.close()
		}()
	}
	clients.Wait()
	sum := 0
	for _, n := range refused {
		sum += n
	}
	allowed := 5 + float64(total)/500
	r.note("%d requests, all proper; ended with a 4xx of the proxy's own while it was in touch: %d by status %v; allowed: %.1f", total, sum, refused, allowed)
	return float64(sum) > allowed
}
