package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// placesContact and placesRecovery are contact_s and recovery_s of boundsPlaces, and of boundsGateway.
	placesContact  = 3 * time.Second
	placesRecovery = 15 * time.Second
	// downFor is how long the killed processes are down: they "come back within a second".
	downFor = 800 * time.Millisecond
	// judgedFor is for how long it is looked, recovery_s after the return, whether requests are
	// served and the configuration is read.
	judgedFor = 12 * time.Second
)

func init() { plays["seeds"] = playSeeds }

// playSeeds: a gateway whose first seed nodes are control-plane nodes on machines without a disk. Right
// after a configuration was acknowledged a kill strikes all processes, and they come back. What was
// acknowledged must be there (LOST), and requests must be served again (RECOVER).
//
// With SEEDS=disk in the environment the seed nodes are those on the machines with a disk, with SEEDS=one
// only one of them is on a machine without. With WIPE=1 one machine loses its disk at the kill, as many as
// the settings tolerate.
func playSeeds(r *run) bool {
	d := deployment{bounds: boundsGateway, guarantees: `"base","drain","config","cost","retry","recover","coord"`, entryType: "virtual_ip", zones: []string{"z1", "z2", "z3", "z1", "z2", "z3"}, diskless: 3, seeds: []int{3, 4, 5}}
	switch os.Getenv("SEEDS") {
	case "disk":
		d.seeds = []int{0, 1, 2}
	case "one":
		d.seeds = []int{0, 1, 5}
	}
	r.fleet = newFleet(d)
	f := r.fleet
	r.note("machines 1 to 3 have a disk, 4 to 6 have none; all run a proxy and a control-plane node; seed nodes on machines %v", machineNumbers(d.seeds))
	f.startAll(gatewayConfiguration, true)
	for i := range 3 {
		f.startEndpoint(i, fmt.Sprintf("i-%d", i), "katalog", 6, nil, func(*endpoint, *http.Request) {})
	}
	time.Sleep(placesContact + 5*time.Second)
	before := f.measureService(r, 3*time.Second, "before")

	second := strings.Replace(gatewayConfiguration, `"config_version":1`, `"config_version":2`, 1)
	status := 0
	for status != http.StatusOK {
		status, _, _ = f.call(0, "configuration.replace", "", second)
	}
	r.note("configuration 2 is acknowledged: status %d", status)
	if r.isTrouble {
		f.killAllAtOnce()
		r.note("a kill strikes all processes")
		if os.Getenv("WIPE") == "1" {
			must(os.RemoveAll(filepath.Join(f.dir, "lichentray-controlplane-1")))
			r.note("machine 1 loses its disk")
		}
		time.Sleep(downFor)
		for i := range f.zones {
			f.startProgram("lichentray-controlplane", i)
			f.startProgram("lichentray-proxy", i)
		}
		r.note("all processes are started again, on the disks that they have")
	}
	time.Sleep(placesRecovery)

	var after float64
	var version uint64
	var helpers sync.WaitGroup
	helpers.Go(func() { after = f.measureService(r, judgedFor, "recovery_s and more after the return") })
	helpers.Go(func() { version = f.readBack(r, judgedFor) })
	helpers.Wait()
	isLost, isDown := version < 2, before >= 0.25 && after < 0.25
	r.note("acknowledged configuration 2, read back %d (0: it did not come); lost: %v; served less than a quarter: %v", version, isLost, isDown)
	return isLost || isDown
}

func machineNumbers(machines []int) []int {
	var numbers []int
	for _, m := range machines {
		numbers = append(numbers, m+1)
	}
	return numbers
}

// killAllAtOnce kills every process, all before the first is waited for.
func (f *fleet) killAllAtOnce() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.processes {
		must(c.Process.Kill())
	}
	for _, c := range f.processes {
		_ = c.Wait() // it was killed
	}
}

// measureService sends requests to all proxies for a time, and returns the part that was served.
func (f *fleet) measureService(r *run, span time.Duration, when string) float64 {
	served, sent := 0, 0
	last := answer{}
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		sent++
		conn, err := connect(f.frontendAddr(sent % len(f.zones)))
		if err != nil {
			last = answer{err: err}
			continue
		}
		last = conn.send(request{method: http.MethodGet, host: "herbar.example", path: "/lookup/1", id: fmt.Sprintf("s%d-%d", time.Now().UnixNano(), sent), deadline: 2 * time.Second})
		conn.close()
		if last.status == http.StatusOK {
			served++
		}
	}
	r.note("%s: %d of %d requests served; the last one: %v", when, served, sent, last)
	return float64(served) / float64(max(1, sent))
}

// readBack asks for the configuration, one node after the other, until it comes or the time is over. It
// returns its version, or 0.
func (f *fleet) readBack(r *run, span time.Duration) uint64 {
	asked := 0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		node := asked % f.controlCount()
		asked++
		status, body, err := f.call(node, "configuration.read", "", "")
		r.detail("configuration.read at node %d: status %d, error %v", node+1, status, err)
		var configuration struct {
			Version uint64 `json:"config_version"`
		}
		if status == http.StatusOK && json.Unmarshal(body, &configuration) == nil {
			r.note("the configuration is read at node %d: version %d", node+1, configuration.Version)
			return configuration.Version
		}
	}
	r.note("the configuration was asked for %d times, at all nodes, and never came", asked)
	return 0
}
