package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { plays["limits"] = playLimits }

// playLimits: clients keep their connections while a configuration raises max_header_bytes. Later than
// config_apply_s after its acknowledgement each sends a request with headers that it allows (DENIED). The
// disruption that TROUBLE=0 leaves out is that the limit was smaller before.
func playLimits(r *run) bool {
	const clientCount, headerBytes = 60, 12000
	r.fleet = newFleet(deployment{bounds: boundsPlaces, entryType: "virtual_ip", zones: []string{"z1", "z2", "z3"}})
	f := r.fleet
	first := placesConfiguration
	if r.isTrouble {
		first = strings.Replace(first, `"max_header_bytes":16384`, `"max_header_bytes":4096`, 1)
	}
	f.startAll(first, true)
	for i := range f.zones {
		f.startEndpoint(i, fmt.Sprintf("i-%d", i), "katalog", clientCount, nil, func(*endpoint, *http.Request) {})
	}
	time.Sleep(placesContact + time.Second)
	var connections []*clientConn
	for i := range clientCount {
		c, err := connect(f.frontendAddr(i % len(f.zones)))
		must(err)
		defer c.close()
		r.detail("client %d, a small request: %v", i, c.send(request{method: http.MethodGet, host: "herbar.example", path: "/lookup/1", id: fmt.Sprintf("a-%d", i), deadline: 3 * time.Second}))
		connections = append(connections, c)
	}
	status, _, err := f.call(0, "configuration.replace", "", strings.Replace(placesConfiguration, `"config_version":1`, `"config_version":2`, 1))
	r.note("configuration 2, max_header_bytes 16384: status %d, error %v", status, err)
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	refused := 0
	var clients sync.WaitGroup
	for i, c := range connections {
		clients.Go(func() {
			a := c.send(request{method: http.MethodGet, host: "herbar.example", path: "/lookup/1", id: fmt.Sprintf("b-%d", i), padding: headerBytes, deadline: 3 * time.Second})
			r.detail("client %d, headers of %d bytes: %v", i, headerBytes, a)
			mu.Lock()
			defer mu.Unlock()
			if a.isOwn() && a.status/100 == 4 {
				refused++
			}
		})
	}
	clients.Wait()
	const total = 2 * clientCount
	r.note("requests ended with a 4xx of the proxy's own 5 s after the acknowledgement: %d of %d", refused, total)
	return float64(refused) > 5+total/500.0
}
