package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The doses of the case of the route names. They are those of the site files: a storm of changes
// (config_storm) and the routes of a large configuration (big_config).
const (
	stormLength = 4 * time.Second
	stormGap    = 150 * time.Millisecond
	stormPause  = time.Second
	bigRoutes   = 1640
	// ordersAtOnce is how many orders are under way at most, as the pages have it.
	ordersAtOnce = 8
	// memoryMB is memory_mb of the settings. A process that goes over it is killed.
	memoryMB = 184
	// killsThatBreak on machinesThatBreak machines are what the rule calls a fault.
	killsThatBreak    = 3
	machinesThatBreak = 2
	// stormsEnd is when the last storm ends at the latest.
	stormsEnd    = 98 * time.Second
	restartDelay = 300 * time.Millisecond
)

func init() { plays["routenames"] = playRouteNames }

// playRouteNames: large configurations come in storms; each takes routes away and adds others. No
// process may go over its memory (Fault).
func playRouteNames(r *run) bool {
	r.fleet = newFleet(deployment{bounds: boundsPlaces, entryType: "virtual_ip", zones: []string{"z1", "z2", "z3"}})
	f := r.fleet
	f.controlHTTP.Timeout = 3 * time.Second // large bodies get more than a second
	f.startAll(placesConfiguration, true)
	f.startEndpoint(0, "i-1", "katalog", 200, func(*http.Request) int {
		time.Sleep(100 * time.Millisecond)
		return http.StatusOK
	}, func(*endpoint, *http.Request) {})
	time.Sleep(time.Second)

	p := &memoryPlatform{run: r, kills: make([]int, len(f.zones)), peak: make([]int, len(f.zones))}
	ended := make(chan struct{})
	var helpers sync.WaitGroup
	helpers.Go(func() { p.watch(ended) })
	var cut, answered counter
	for machine := range f.zones {
		helpers.Go(func() { askSteadily(r, machine, ended, &cut, &answered) })
	}

	version := 1
	var acknowledged counter
	var orders sync.WaitGroup
	underWay := make(chan struct{}, ordersAtOnce)
	for !p.isFault() && time.Since(r.began) < stormsEnd-stormLength {
		began := time.Now()
		for next := began; time.Since(began) < stormLength; time.Sleep(time.Until(next)) {
			next = next.Add(stormGap)
			version++
			order := version
			names := 0
			if r.isTrouble {
				names = version
			}
			underWay <- struct{}{}
			orders.Go(func() {
				defer func() { <-underWay }()
				status, _, err := f.call(order%len(f.zones), "configuration.replace", "", largeConfiguration(order, names))
				if status == http.StatusOK {
					acknowledged.add()
				} else {
					r.detail("version %d: status %d, error %v", order, status, err)
				}
			})
		}
		time.Sleep(stormPause)
		r.note("version %d: memory of the proxies in MB %v, killed for it so far %v", version, p.memory(), p.killed())
	}
	orders.Wait()
	close(ended)
	helpers.Wait()
	r.note("%d changes acknowledged; most memory of a proxy in MB, by machine: %v; killed for their memory: %v; requests answered %d, broken off without an answer %d",
		acknowledged.value(), p.peaks(), p.killed(), answered.value(), cut.value())
	return p.isFault()
}

// largeConfiguration is a configuration of bigRoutes routes beside the one that is used. With
// another number of names, all of them are other routes.
func largeConfiguration(version, names int) string {
	var routes strings.Builder
	for i := range bigRoutes {
		fmt.Fprintf(&routes, `,
{"name":"r-%d-%d","route_type":"idempotent","target_latency_s":0.8,"priority":2,"match":{"path_prefix":"/%d/%d/"},"action":{"backend_service":"katalog","timeout_s":%d,"max_attempts":2}}`, names, i, names, i, 1+version%6)
	}
	const firstRules = `"max_attempts":2}}]}]`
	text := strings.Replace(placesConfiguration, `"config_version":1`, fmt.Sprintf(`"config_version":%d`, version), 1)
	return strings.Replace(text, firstRules, `"max_attempts":2}}`+routes.String()+`]}]`, 1)
}

// memoryPlatform is the platform: it kills a proxy that goes over its memory, and starts it again.
type memoryPlatform struct {
	run *run

	mu    sync.Mutex
	kills []int // by machine
	peak  []int // MB
}

func (p *memoryPlatform) watch(ended <-chan struct{}) {
	f := p.run.fleet
	for {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for machine, used := range p.memory() {
			p.mu.Lock()
			p.peak[machine] = max(p.peak[machine], used)
			p.mu.Unlock()
			if used <= memoryMB {
				continue
			}
			p.run.note("the proxy of machine %d uses %d MB, over memory_mb: it is killed", machine+1, used)
			f.kill("lichentray-proxy", machine)
			p.mu.Lock()
			p.kills[machine]++
			p.mu.Unlock()
			time.AfterFunc(restartDelay, func() { f.startProgram("lichentray-proxy", machine) })
		}
	}
}

// memory is the resident memory of each proxy in MB; 0 of one that does not run.
func (p *memoryPlatform) memory() []int {
	used := make([]int, len(p.run.fleet.zones))
	for machine := range used {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.run.fleet.process("lichentray-proxy", machine).Process.Pid))
		if err != nil {
			continue
		}
		_, line, _ := strings.Cut(string(status), "VmRSS:")
		kB, err := strconv.Atoi(strings.Fields(line + " 0")[0])
		if err == nil {
			used[machine] = kB >> 10
		}
	}
	return used
}

func (p *memoryPlatform) killed() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]int(nil), p.kills...)
}

func (p *memoryPlatform) peaks() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]int(nil), p.peak...)
}

// isFault reports whether enough processes have ended often enough.
func (p *memoryPlatform) isFault() bool {
	machines := 0
	for _, kills := range p.killed() {
		if kills >= killsThatBreak {
			machines++
		}
	}
	return machines >= machinesThatBreak
}

// counter counts.
type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

func (c *counter) value() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// askSteadily sends requests to one proxy, and counts those that were sent whole and broken off.
func askSteadily(r *run, machine int, ended <-chan struct{}, cut, answered *counter) {
	for i := 0; ; i++ {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		conn, err := connect(r.fleet.frontendAddr(machine))
		if err != nil {
			continue // it is just down
		}
		a := conn.send(request{method: http.MethodGet, host: "herbar.example", path: "/lookup/1", id: fmt.Sprintf("m%d-%d", machine, i), deadline: 6 * time.Second})
		conn.close()
		if a.err != nil {
			cut.add()
			r.detail("request m%d-%d: %v", machine, i, a)
		} else {
			answered.add()
		}
	}
}
